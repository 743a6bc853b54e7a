//! Keeps requests that crash endpoints away from them, at all gateways.
//!
//! A request counts if it was lost with its connection and its endpoint ended. The list says so: it
//! drops the endpoint or shows a later start of it. An answer that was lost on the way, or a gateway
//! that is cut off, is no crash.

use crate::ids;
use crate::input;
use crate::output;
use crate::tables::calls;
use crate::world;

/// Applies the messages of other gateways, and the ends of endpoints.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    for told in std::mem::take(&mut world.tables.inbox.peer_crashes) {
        for crash in world.tables.crashes.record_crashes(&told, tick.now) {
            emit_crash(world, &crash, "peer");
        }
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
            let fingerprint = call.fingerprint();
            tables.crashes.record_loss(fingerprint, &running.endpoint, running.sent_at, tick.now);
        }
        input::Outcome::Answered { .. } | input::Outcome::Streamed { complete: true, .. }
            if !tables.crashes.is_empty() =>
        {
            tables.crashes.record_success(call.fingerprint());
        }
        _ => {}
    }
}

/// Returns the refusal of a call that is quarantined.
pub fn refusal(
    world: &mut world::World,
    tick: &world::Tick,
    call: &calls::Call,
) -> Option<output::Refusal> {
    if !world.tables.crashes.has_suspects() {
        return None;
    }
    let until = world.tables.crashes.admit(call.fingerprint(), tick.now).err()?;
    let retry_after = Some(until.since(tick.now));
    Some(output::Refusal { reason: output::Reason::Quarantined, retry_after })
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
