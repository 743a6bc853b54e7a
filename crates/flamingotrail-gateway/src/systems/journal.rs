//! Applies the records of the log in their order, and follows appends and reads.

use std::time;

use flamingotrail_core::time as core_time;

use crate::ids;
use crate::input;
use crate::journal;
use crate::output;
use crate::systems::log_io;
use crate::systems::relay;
use crate::systems::turns;
use crate::tables::calls;
use crate::tables::timers;
use crate::world;

/// First pause before a failed append or read is repeated; doubles with each further failure.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(25);
/// Longest such pause: an outage of the log ends for a caller at most this much later.
const MAX_PAUSE: time::Duration = time::Duration::from_millis(400);
/// Time without any success after which the log counts as away: longer than its slow answers.
const AWAY_AFTER: time::Duration = time::Duration::from_millis(300);
/// Failures in a row after which the log may count as away.
const AWAY_FAILURES: u32 = 2;
/// Time between two events of a turn while its end can't be logged: callers leave a stream that is silent
/// for 2 s.
const OUTAGE_PACE: time::Duration = time::Duration::from_millis(1_600);
/// Time that turns are kept beyond their route's retention, for clocks and reads that lag.
pub const RETENTION_SLACK: time::Duration = time::Duration::from_secs(5);
/// Retention of a turn whose route is not known: the longest of the users' sheets.
const DEFAULT_RETENTION: time::Duration = time::Duration::from_secs(60);

/// Takes the results of appends and reads.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    for (partition, result) in std::mem::take(&mut world.tables.inbox.appended) {
        appended(world, tick, partition, result);
    }
    for (partition, result) in std::mem::take(&mut world.tables.inbox.read) {
        read(world, tick, partition, result);
    }
}

fn appended(
    world: &mut world::World,
    tick: &world::Tick,
    partition: ids::Partition,
    result: Result<ids::Offset, input::LogError>,
) {
    let row = world.tables.partitions.row(partition);
    let records = std::mem::take(&mut row.appending);
    world.tables.dirty.partitions.insert(partition);
    let offset = match result {
        Ok(offset) => offset.0,
        Err(error) => {
            // Taking a record twice changes nothing, so a batch of unknown fate is sent again.
            for record in records.into_iter().rev() {
                row.queue.push_front(record);
            }
            failed(world, tick, partition, error);
            return;
        }
    };
    succeeded(world, tick, partition);
    let row = world.tables.partitions.row(partition);
    let end = offset + records.len() as u64;
    if offset == row.applied && !row.reading {
        row.applied = end;
        for record in &records {
            apply(world, tick, record);
        }
        return;
    }
    // What stands between is read, for the order of starts; an end counts whatever its order.
    if records.iter().any(|record| matches!(record, journal::Record::Start(_))) {
        row.wanted = row.wanted.max(end);
    }
    for record in &records {
        match record {
            journal::Record::Start(_) => {}
            journal::Record::End(end) => apply_end(world, tick, end),
            journal::Record::Settle(_) => settle_logged(world, tick, record),
        }
    }
}

fn read(
    world: &mut world::World,
    tick: &world::Tick,
    partition: ids::Partition,
    result: Result<input::Page, input::LogError>,
) {
    let row = world.tables.partitions.row(partition);
    row.reading = false;
    world.tables.dirty.partitions.insert(partition);
    let page = match result {
        Ok(page) => page,
        Err(input::LogError::Expired(first)) => {
            row.applied = row.applied.max(first.0);
            world.event("log_expired", format_args!("partition={partition} first={first}"));
            return;
        }
        Err(error) => {
            failed(world, tick, partition, error);
            return;
        }
    };
    succeeded(world, tick, partition);
    let row = world.tables.partitions.row(partition);
    let known = usize::try_from(row.applied.saturating_sub(page.from.0)).unwrap_or(usize::MAX);
    row.applied = row.applied.max(page.from.0 + page.records.len() as u64);
    if row.applied >= page.end.0 {
        row.caught_up = row.reads;
    }
    for record in page.records.iter().skip(known).flatten() {
        apply(world, tick, record);
    }
    let waiting: Vec<ids::CallId> = world
        .tables
        .calls
        .rows
        .iter()
        .filter(|(_, call)| call.phase == calls::Phase::Resolving)
        .map(|(id, _)| *id)
        .collect();
    world.tables.dirty.calls.extend(waiting);
    let lookups = world.tables.relay.lookups.keys();
    world.tables.dirty.lookups.extend(lookups);
}

fn failed(
    world: &mut world::World,
    tick: &world::Tick,
    partition: ids::Partition,
    error: input::LogError,
) {
    if error == input::LogError::Busy {
        let share = log_io::share(world);
        world.tables.pace.refused(share, tick.now);
    }
    let row = world.tables.partitions.row(partition);
    let pause = FIRST_PAUSE.saturating_mul(1 << row.failures.min(5)).min(MAX_PAUSE);
    row.failures += 1;
    row.retry_at = tick.now.after(spread(pause, partition, tick));
    let (at, queued) = (row.retry_at, row.queue.len());
    world.tables.timers.set(timers::Timer::Partition(partition), at);
    let partitions = &mut world.tables.partitions;
    partitions.failures += 1;
    let silent = tick.now.since(partitions.last_success);
    if !partitions.is_away && partitions.failures >= AWAY_FAILURES && silent >= AWAY_AFTER {
        partitions.is_away = true;
        let detail = format_args!("partition={partition} error={error:?} queued={queued}");
        world.event("log_lost", detail);
        world.emit(output::Output::Pace(Some(OUTAGE_PACE)));
        relay::log_lost(world);
    }
}

/// Half to all of `pause`, so that processes that failed together do not come back together.
fn spread(pause: time::Duration, partition: ids::Partition, tick: &world::Tick) -> time::Duration {
    const STEPS: u64 = 64;
    let mixed = ids::stable_hash(&format!("{partition}/{}", tick.now.as_micros()));
    let step = u32::try_from(mixed % STEPS).unwrap_or(0);
    pause / 2 + pause / 2 * step / STEPS as u32
}

fn succeeded(world: &mut world::World, tick: &world::Tick, partition: ids::Partition) {
    let row = world.tables.partitions.row(partition);
    row.failures = 0;
    row.retry_at = core_time::Timestamp::ZERO;
    reached(world, tick);
}

/// Takes a sign that the platform's store answers this process.
pub fn reached(world: &mut world::World, tick: &world::Tick) {
    let partitions = &mut world.tables.partitions;
    let away_ms = tick.now.since(partitions.last_success).as_millis();
    partitions.last_success = tick.now;
    partitions.failures = 0;
    partitions.probe = None;
    if std::mem::take(&mut partitions.is_away) {
        // What waits is tried at once: the machines may be taken away soon.
        for (partition, row) in &mut partitions.rows {
            row.retry_at = core_time::Timestamp::ZERO;
            world.tables.dirty.partitions.insert(*partition);
        }
        world.event("log_regained", format_args!("away_ms={away_ms}"));
        world.emit(output::Output::Pace(None));
    }
}

fn apply(world: &mut world::World, tick: &world::Tick, record: &journal::Record) {
    match record {
        journal::Record::Start(start) => apply_start(world, tick, start),
        journal::Record::End(end) => apply_end(world, tick, end),
        journal::Record::Settle(settle) => {
            let program = world.tables.programs.touch(&settle.program, tick.now);
            settle.settled.iter().for_each(|settled| program.settle(settled));
            settle_logged(world, tick, record);
        }
    }
}

/// Takes the log's word that a record of allowances that are over stands in it.
fn settle_logged(world: &mut world::World, tick: &world::Tick, record: &journal::Record) {
    if let Some(key) = record.key() {
        relay::logged(world, tick, &key, None);
    }
}

fn apply_start(world: &mut world::World, tick: &world::Tick, start: &journal::Start) {
    let program = world.tables.programs.touch(&start.program, tick.now);
    start.settled.iter().for_each(|settled| program.settle(settled));
    let size = program.open(&start.turn, start.least, start.wanted, start.budget);
    relay::logged(world, tick, &journal::Key::Start(start.turn.clone()), size);
    decide(world, tick, start, size);
}

/// Takes the decision on one of this process's starts.
pub fn decide(
    world: &mut world::World,
    tick: &world::Tick,
    start: &journal::Start,
    size: Option<u64>,
) {
    let program = world.tables.programs.touch(&start.program, tick.now);
    let (decided, left_over) = program.decide(&start.turn, size);
    if decided.is_empty() && left_over.is_empty() {
        return;
    }
    let detail = format_args!(
        "request={} program={} granted={} budget={} settled={} committed={} asked={}",
        start.turn,
        start.program,
        size.unwrap_or(0),
        start.budget,
        program.settled,
        program.committed(),
        start.wanted,
    );
    world.out.push(output::Output::Event(output::Event::new("budget_decided", detail)));
    for (turn, granted) in decided {
        let decision =
            if granted { calls::Reservation::Granted } else { calls::Reservation::Denied };
        if let Some(call) = set_reservation(world, &turn, decision) {
            world.tables.dirty.calls.insert(call);
        }
    }
    for turn in left_over {
        if let Some(call) = set_reservation(world, &turn, calls::Reservation::None) {
            turns::reserve(world, tick, call);
        }
    }
}

fn set_reservation(
    world: &mut world::World,
    turn: &ids::TurnId,
    decision: calls::Reservation,
) -> Option<ids::CallId> {
    let calls = &mut world.tables.calls;
    let id = calls.by_turn.get(turn).copied()?;
    calls.rows.get_mut(&id)?.turn.as_mut()?.reservation = decision;
    Some(id)
}

fn apply_end(world: &mut world::World, tick: &world::Tick, end: &journal::End) {
    relay::logged(world, tick, &journal::Key::End(end.turn.clone()), None);
    keep_turn(world, tick, end);
}

/// Takes a turn that counts.
pub fn keep_turn(world: &mut world::World, tick: &world::Tick, end: &journal::End) {
    let expires = tick.now.after(longest_retention(world) + RETENTION_SLACK);
    world.tables.turns.insert(end, expires);
    if let Some(id) = world.tables.calls.by_turn.get(&end.turn) {
        world.tables.dirty.calls.insert(*id);
    }
}

/// The longest retention of any route in force.
pub fn longest_retention(world: &world::World) -> time::Duration {
    let current = world.tables.routes.current.as_ref();
    let longest = current.and_then(|set| set.routes.iter().filter_map(|r| r.retention).max());
    longest.unwrap_or(DEFAULT_RETENTION)
}
