//! Keeps requests that crash endpoints away from them, at all gateways.
//!
//! A request counts if it was lost with its connection and its endpoint ended. The list says so: it
//! drops the endpoint or shows a later start of it. An answer that was lost on the way, or a gateway
//! that is cut off, is no crash.
//!
//! Gateways tell each other of crashes as they are confirmed, and of requests that were survived after
//! all. What a gateway knows, losses that are not confirmed yet included, is saved in the store, so that it
//! outlives restarts of this gateway and of all.

use std::time;

use crate::ids;
use crate::input;
use crate::output;
use crate::systems::completion;
use crate::tables::calls;
use crate::tables::crashes;
use crate::tables::timers;
use crate::world;

/// Interval at which a call that waits for the trial of another copy is checked.
const TRIAL_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Delay after which the caller of a call that has waited in vain may ask again.
const TRIAL_RETRY_AFTER: time::Duration = time::Duration::from_millis(200);
/// Minimum time between two messages to a gateway, and between two records in the store.
const PUBLISH_INTERVAL: time::Duration = time::Duration::from_millis(1_000);
/// Status from which on a response says that the endpoint has failed, perhaps without running the request.
const SERVER_ERROR: u16 = 500;

/// Applies the messages of other gateways, and the ends of endpoints.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    apply_messages(world, tick);
    if world.tables.crashes.has_loaded_suspicions && world.tables.endpoints.is_loaded {
        world.tables.crashes.has_loaded_suspicions = false;
        mark_ended_endpoints(world);
    }
    for endpoint in std::mem::take(&mut world.tables.dirty.ended_endpoints) {
        let crashes = world.tables.crashes.record_end(&endpoint, tick.now);
        if crashes.is_empty() {
            continue;
        }
        for crash in &crashes {
            emit_crash(world, crash, "own");
        }
        tell_peers(world, &crashes);
    }
    for ticket in std::mem::take(&mut world.tables.inbox.crash_requests) {
        let crashes = world.tables.crashes.all(tick.now);
        world.emit(output::Output::RespondToCrashes(ticket, crashes));
    }
    if !world.tables.crashes.has_asked && !world.tables.peers.rows.is_empty() {
        world.tables.crashes.has_asked = true;
        ask_peers(world);
    }
    let is_due = std::mem::take(&mut world.tables.dirty.unpublished_crashes);
    let crashes = &world.tables.crashes;
    if is_due || crashes.is_unsaved || !crashes.untold_survivals.is_empty() {
        publish(world, tick);
    }
}

fn apply_messages(world: &mut world::World, tick: &world::Tick) {
    for told in std::mem::take(&mut world.tables.inbox.peer_crashes) {
        for crash in world.tables.crashes.record_crashes(&told, tick.now) {
            emit_crash(world, &crash, "peer");
        }
    }
    for known in std::mem::take(&mut world.tables.inbox.known_crashes) {
        world.tables.crashes.adopt(&known, tick.now);
    }
    for saved in std::mem::take(&mut world.tables.inbox.saved_crashes) {
        let (records, losses) = (saved.len(), saved.iter().map(|record| record.losses.len()));
        let losses: usize = losses.sum();
        world.emit_event("crashes_loaded", format_args!("records={records} losses={losses}"));
        world.tables.crashes.load(&saved, tick.now);
    }
    for is_stored in std::mem::take(&mut world.tables.inbox.crash_saves) {
        world.tables.crashes.is_unsaved |= !is_stored;
    }
    for fingerprint in std::mem::take(&mut world.tables.inbox.survivals) {
        if world.tables.crashes.record_success(fingerprint) {
            emit_survival(world, fingerprint, "peer");
        }
    }
}

/// Marks the endpoints that have ended while this gateway was not there to see it.
fn mark_ended_endpoints(world: &mut world::World) {
    let rows = &world.tables.endpoints.rows;
    let ended = world.tables.crashes.ended_suspects(|endpoint, started_at_ms| {
        rows.get(endpoint).is_none_or(|row| row.listed.started_at_ms != started_at_ms)
    });
    world.tables.dirty.ended_endpoints.extend(ended);
}

/// Records what an attempt says of whether its endpoint has survived the request.
pub fn record_outcome(
    world: &mut world::World,
    tick: &world::Tick,
    id: ids::CallId,
    running: &calls::RunningAttempt,
    outcome: &input::Outcome,
) {
    let tables = &mut world.tables;
    let Some(call) = tables.calls.rows.get(&id) else { return };
    let row = tables.endpoints.rows.get(&running.endpoint);
    let is_leaving =
        row.is_none_or(|row| row.listed.draining) || tables.notices.is_leaving(&running.endpoint);
    match outcome {
        // An endpoint that leaves may end before its requests do, and this gateway may have cancelled
        // the attempt.
        input::Outcome::Lost(input::Failure::Closed)
        | input::Outcome::Streamed { complete: false, .. }
            if !is_leaving && call.phase != calls::Phase::Closed =>
        {
            let (fingerprint, started_at_ms) = (call.fingerprint(), running.started_at_ms);
            let run = crashes::Run { sent_at: running.sent_at, lost_at: tick.now };
            tables.crashes.record_loss(fingerprint, &running.endpoint, started_at_ms, run);
            tables.dirty.unpublished_crashes = true;
            if row.is_some_and(|row| row.listed.started_at_ms != started_at_ms) {
                // The list has shown the end already.
                tables.dirty.ended_endpoints.insert(running.endpoint.clone());
            }
        }
        input::Outcome::Answered { status: ..SERVER_ERROR, .. }
        | input::Outcome::Streamed { complete: true, .. }
            if !tables.crashes.is_empty() =>
        {
            let fingerprint = call.fingerprint();
            if tables.crashes.record_success(fingerprint) {
                tables.crashes.untold_survivals.insert(fingerprint);
                tables.dirty.unpublished_crashes = true;
                emit_survival(world, fingerprint, "own");
            }
        }
        _ if tables.crashes.is_restricting() => {
            tables.crashes.end_trial(call.fingerprint(), tick.now);
        }
        _ => {}
    }
}

/// Returns the refusal of a call whose request is quarantined.
pub fn refusal(
    world: &world::World,
    tick: &world::Tick,
    call: &calls::Call,
) -> Option<output::Refusal> {
    match restriction(world, tick, call)? {
        crashes::Restriction::Quarantined(time_left) => Some(output::Refusal {
            reason: output::Reason::Quarantined,
            retry_after: Some(time_left),
        }),
        crashes::Restriction::OnTrial => None,
    }
}

/// Keeps a call from being sent now if its request may crash endpoints. While another copy is on trial, the
/// call waits for the result, for as long as its caller does; otherwise it is refused. Returns whether it
/// is kept.
pub fn hold_or_refuse(world: &mut world::World, tick: &world::Tick, id: ids::CallId) -> bool {
    let Some(call) = world.tables.calls.rows.get(&id) else { return false };
    let Some(restriction) = restriction(world, tick, call) else { return false };
    let wait_end = call.wait_end();
    let refusal = match restriction {
        _ if call.may_have_run() => {
            output::Refusal { reason: output::Reason::Lost, retry_after: None }
        }
        crashes::Restriction::OnTrial if tick.now < wait_end => {
            let check_at = tick.now.after(TRIAL_CHECK_INTERVAL).min(wait_end);
            world.tables.timers.set(timers::Timer::CallRetry(id), check_at);
            return true;
        }
        crashes::Restriction::OnTrial => output::Refusal {
            reason: output::Reason::Quarantined,
            retry_after: Some(TRIAL_RETRY_AFTER),
        },
        crashes::Restriction::Quarantined(time_left) => {
            output::Refusal { reason: output::Reason::Quarantined, retry_after: Some(time_left) }
        }
    };
    completion::refuse(world, tick, id, refusal);
    true
}

fn restriction(
    world: &world::World,
    tick: &world::Tick,
    call: &calls::Call,
) -> Option<crashes::Restriction> {
    if !world.tables.crashes.is_restricting() {
        return None;
    }
    let fingerprint = call.fingerprint();
    let place = world.tables.peers.place(&world.identity.instance, &fingerprint.to_string());
    world.tables.crashes.restriction(fingerprint, place, tick.now)
}

/// Records that a call is sent, which may be a trial of its request.
pub fn record_sent(world: &mut world::World, tick: &world::Tick, id: ids::CallId) {
    let tables = &mut world.tables;
    if !tables.crashes.is_restricting() {
        return;
    }
    let Some(call) = tables.calls.rows.get(&id) else { return };
    let (fingerprint, request) = (call.fingerprint(), call.arrival.id.clone());
    if tables.crashes.begin_trial(fingerprint, tick.now) {
        let detail = format_args!("request={request} fingerprint={fingerprint}");
        world.emit_event("request_on_trial", detail);
    }
}

/// Tells the other gateways of survived requests, and saves what this one knows.
fn publish(world: &mut world::World, tick: &world::Tick) {
    let crashes = &mut world.tables.crashes;
    if let Some(next_at) = crashes.published_at.map(|at| at.after(PUBLISH_INTERVAL)) {
        if next_at > tick.now {
            world.tables.timers.set(timers::Timer::PublishCrashes, next_at);
            return;
        }
    }
    crashes.published_at = Some(tick.now);
    let survivals: Vec<ids::Fingerprint> =
        std::mem::take(&mut crashes.untold_survivals).into_iter().collect();
    if crashes.is_loaded && std::mem::take(&mut crashes.is_unsaved) {
        let record = crashes.record(tick.now);
        world.emit(output::Output::SaveCrashes(record));
    }
    if survivals.is_empty() {
        return;
    }
    let peers = world.tables.peers.rows.iter();
    let messages = peers.map(|(name, peer)| output::Output::TellSurvivals {
        peer: name.clone(),
        address: peer.address.clone(),
        survivals: survivals.clone(),
    });
    world.outputs.extend(messages);
}

fn emit_survival(world: &mut world::World, fingerprint: ids::Fingerprint, source: &str) {
    let detail = format_args!("fingerprint={fingerprint} source={source}");
    world.emit_event("request_survived", detail);
}

fn emit_crash(world: &mut world::World, crash: &input::PeerCrash, source: &str) {
    let input::PeerCrash { fingerprint, endpoint, age, .. } = crash;
    let age_ms = age.as_millis();
    world.emit_event(
        "endpoint_crashed_by_request",
        format_args!(
            "endpoint={endpoint} fingerprint={fingerprint} age_ms={age_ms} source={source}"
        ),
    );
}

fn tell_peers(world: &mut world::World, crashes: &[input::PeerCrash]) {
    let peers = world.tables.peers.rows.iter();
    let messages = peers.map(|(name, peer)| output::Output::TellCrashes {
        peer: name.clone(),
        address: peer.address.clone(),
        crashes: crashes.to_vec(),
    });
    world.outputs.extend(messages);
}

fn ask_peers(world: &mut world::World) {
    let peers = world.tables.peers.asked_at_start(&world.identity);
    let asks = peers.map(|(name, peer)| output::Output::AskCrashes {
        peer: name.clone(),
        address: peer.address.clone(),
    });
    world.outputs.extend(asks);
}
