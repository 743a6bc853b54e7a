//! Quarantine of content that was in flight when an endpoint crashed. Suspected content runs alone,
//! a crash while it runs alone convicts it, and the instances of a region share the verdicts
//! through a stream.

use std::time as std_time;

use crate::digest;
use crate::ids;
use crate::input;
use crate::journal;
use crate::messages;
use crate::output;
use crate::systems::due_timers;
use crate::systems::outbox;
use crate::tables::timers;
use crate::work;
use crate::world;

/// Interval between reads of the region's stream of suspects.
const READ_INTERVAL: std_time::Duration = std_time::Duration::from_secs(30);
/// Delay before a refused or unanswered append is retried.
const APPEND_RETRY_DELAY: std_time::Duration = std_time::Duration::from_secs(1);

/// Returns the name of the region's stream of suspects.
pub fn stream_name(region: &ids::RegionName) -> ids::StreamName {
    ids::StreamName::new(format!("suspects.{region}"))
}

/// Applies notices from peers and from the stream, and appends this instance's own notices.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    for notice in std::mem::take(&mut world.tables.inbox.suspect_notices) {
        world.tables.suspects.apply(&notice);
    }
    process_reads(world, tick);
    process_append_results(world, tick);
    let due = due_timers::take_matching(world, |timer| match timer {
        timers::Timer::SuspectsRead => Some(true),
        timers::Timer::SuspectsFlush => Some(false),
        _ => None,
    });
    for is_read in due {
        if is_read {
            read_stream(world);
        } else {
            append_pending(world, tick);
        }
    }
}

fn read_stream(world: &mut world::World) {
    let suspects = &mut world.tables.suspects;
    if suspects.reading {
        return;
    }
    suspects.reading = true;
    let from = suspects.cursor;
    let stream = stream_name(&world.identity.region);
    world.emit(output::Output::Read { stream, from, wait: std_time::Duration::ZERO });
}

fn process_reads(world: &mut world::World, tick: &world::Tick) {
    let stream = stream_name(&world.identity.region);
    let reads = std::mem::take(&mut world.tables.inbox.read_results);
    for (read_stream, page) in reads {
        if read_stream != stream {
            continue;
        }
        world.tables.suspects.reading = false;
        world.tables.timers.set(timers::Timer::SuspectsRead, tick.now.after(READ_INTERVAL));
        let Some(page) = page else {
            continue;
        };
        for stream_entry in &page.entries {
            apply_entry(world, stream_entry);
        }
        let suspects = &mut world.tables.suspects;
        suspects.cursor = suspects.cursor.max(page.next);
    }
}

fn apply_entry(world: &mut world::World, stream_entry: &input::StreamEntry) {
    if stream_entry.offset < world.tables.suspects.cursor {
        return;
    }
    let Some(entry) = &stream_entry.entry else {
        return;
    };
    let journal::Body::Suspects { notices } = &entry.body else {
        return;
    };
    for notice in notices {
        world.tables.suspects.apply(notice);
    }
}

/// Handles the outcome of an attempt on the local endpoint. After a crash, all content in flight is
/// suspected. Content that ran alone is convicted by a crash and cleared by a response.
pub fn handle_attempt_outcome(
    world: &mut world::World,
    tick: &world::Tick,
    attempt: &ids::AttemptId,
    outcome: &work::AttemptOutcome,
) {
    let crashed = matches!(outcome, work::AttemptOutcome::Broken { endpoint_crashed: true, .. });
    let Some(run) = world.tables.runs.rows.get(attempt) else {
        return;
    };
    let fingerprint = run.dispatch.fingerprint;
    let is_suspect = world.tables.suspects.rows.contains_key(&fingerprint);
    let ran_alone = world.tables.runs.exclusive;
    if crashed && ran_alone {
        publish_verdicts(world, tick, vec![(fingerprint, journal::Verdict::Convicted)]);
        return;
    }
    if crashed {
        let in_flight: Vec<(digest::Digest, journal::Verdict)> = world
            .tables
            .runs
            .rows
            .values()
            .filter(|run| run.started_at.is_some())
            .map(|run| (run.dispatch.fingerprint, journal::Verdict::Suspected))
            .filter(|(fingerprint, _)| !world.tables.suspects.rows.contains_key(fingerprint))
            .collect();
        publish_verdicts(world, tick, in_flight);
        return;
    }
    if is_suspect && ran_alone && matches!(outcome, work::AttemptOutcome::Answered(_)) {
        publish_verdicts(world, tick, vec![(fingerprint, journal::Verdict::Cleared)]);
    }
}

/// Sends verdicts to every listed endpoint instance at once and appends them to the region's
/// stream.
fn publish_verdicts(
    world: &mut world::World,
    tick: &world::Tick,
    verdicts: Vec<(digest::Digest, journal::Verdict)>,
) {
    let notices: Vec<journal::SuspectNotice> = verdicts
        .into_iter()
        .map(|(fingerprint, verdict)| journal::SuspectNotice { fingerprint, verdict })
        .collect();
    if notices.is_empty() {
        return;
    }
    for notice in &notices {
        world.event("content_verdict", notice.fingerprint, format!("{:?}", notice.verdict));
        world.tables.suspects.apply(notice);
    }
    let own = world.identity.peer.instance.clone();
    let peers: Vec<ids::InstanceName> = world
        .tables
        .instances
        .rows
        .iter()
        .filter(|(name, row)| {
            **name != own && row.listed.as_ref().is_some_and(|listed| listed.endpoint.is_some())
        })
        .map(|(name, _)| name.clone())
        .collect();
    for peer in peers {
        let message = messages::Message::Suspects { notices: notices.clone() };
        let timeout = world.settings.suspect_after;
        outbox::send_reliable(world, tick, &peer, None, message, timeout);
    }
    world.tables.suspects.pending_notices.extend(notices);
    append_pending(world, tick);
}

fn append_pending(world: &mut world::World, _tick: &world::Tick) {
    let suspects = &mut world.tables.suspects;
    if suspects.in_flight.is_none() {
        if suspects.pending_notices.is_empty() {
            return;
        }
        let notices = std::mem::take(&mut suspects.pending_notices);
        suspects.in_flight = Some((ids::Nonce(world.rng.next_u64()), notices));
    }
    let Some((nonce, notices)) = world.tables.suspects.in_flight.clone() else {
        return;
    };
    let body = journal::Body::Suspects { notices };
    let entry = journal::Entry { nonce, writer: world.identity.peer.clone(), body };
    let stream = stream_name(&world.identity.region);
    world.emit(output::Output::Append { stream, entry });
}

fn process_append_results(world: &mut world::World, tick: &world::Tick) {
    for (_, nonce, result) in std::mem::take(&mut world.tables.inbox.append_results) {
        let Some((own_nonce, _)) = &world.tables.suspects.in_flight else {
            continue;
        };
        if *own_nonce != nonce {
            continue;
        }
        if matches!(result, input::AppendResult::Committed(_)) {
            world.tables.suspects.in_flight = None;
        }
        let has_unsent = world.tables.suspects.in_flight.is_some()
            || !world.tables.suspects.pending_notices.is_empty();
        if has_unsent {
            world
                .tables
                .timers
                .set(timers::Timer::SuspectsFlush, tick.now.after(APPEND_RETRY_DELAY));
        }
    }
}
