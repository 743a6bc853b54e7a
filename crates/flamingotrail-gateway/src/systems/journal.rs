//! Applies the records of the log in order, and handles the results of appends and reads.

use std::time;

use flamingotrail_core::time as core_time;

use crate::ids;
use crate::input;
use crate::journal;
use crate::output;
use crate::systems::budgets;
use crate::systems::log_io;
use crate::systems::rejections;
use crate::systems::relay;
use crate::systems::replay;
use crate::systems::rewriting;
use crate::systems::turn_records;
use crate::systems::turns;
use crate::tables::calls;
use crate::tables::timers;
use crate::world;

/// Delay before the first retry of a failed append or read; doubles with each further failure.
const MIN_RETRY_DELAY: time::Duration = time::Duration::from_millis(25);
/// Maximum retry delay; the end of a log outage is noticed at most this much later.
const MAX_RETRY_DELAY: time::Duration = time::Duration::from_millis(400);
/// Time without a success after which the log counts as unreachable: longer than a slow response.
const UNREACHABLE_AFTER: time::Duration = time::Duration::from_millis(300);
/// Consecutive failures after which the log may count as unreachable.
const UNREACHABLE_FAILURES: u32 = 2;
/// Interval between two events of a stream during a log outage, while its turn cannot be logged:
/// callers close a stream that is silent for 2 s.
const OUTAGE_EVENT_INTERVAL: time::Duration = time::Duration::from_millis(1_600);
/// Time that turns are kept beyond their route's retention, for clock differences and late reads.
pub const RETENTION_MARGIN: time::Duration = time::Duration::from_secs(5);
/// Retention while no route is known: the longest in the users' workload descriptions.
const DEFAULT_RETENTION: time::Duration = time::Duration::from_secs(60);

/// Handles the results of appends and reads.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    for (partition, result) in std::mem::take(&mut world.tables.inbox.append_results) {
        handle_append(world, tick, partition, result);
    }
    for (partition, result) in std::mem::take(&mut world.tables.inbox.read_results) {
        handle_read(world, tick, partition, result);
    }
}

/// Applies the records of a successful append; queues those of a failed one again.
fn handle_append(
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
        Err(input::LogError::Rejected) => {
            handle_success(world, tick, partition);
            rejections::handle_rejected_append(world, tick, partition, records);
            return;
        }
        Err(error) => {
            // Records are idempotent, so a batch that may have been appended is appended again.
            for record in records.into_iter().rev() {
                if error == input::LogError::Unknown {
                    relay::mark_uncertain(&mut world.tables.relay, &record);
                }
                row.queue.push_front(record);
            }
            handle_failure(world, tick, partition, error);
            return;
        }
    };
    handle_success(world, tick, partition);
    let row = world.tables.partitions.row(partition);
    let end = offset + records.len() as u64;
    if offset == row.applied && !row.reading && row.replay.is_none() {
        row.applied = end;
        for (record, offset) in records.iter().zip(offset..) {
            apply(world, tick, ids::Offset(offset), record);
        }
        return;
    }
    // `Start` records are applied in log order, so the records before them have to be read first.
    // `End` records are valid in any order.
    if records.iter().any(|record| matches!(record, journal::Record::Start(_))) {
        row.needed = row.needed.max(end);
    }
    for record in &records {
        match record {
            journal::Record::Start(_) => {}
            journal::Record::End(end) => apply_end(world, tick, end),
            journal::Record::Part(part) => apply_part(world, tick, part),
            journal::Record::LongEnd(long) => apply_long_end(world, tick, long),
            journal::Record::Settle(_) => confirm_settlement(world, tick, record),
        }
    }
}

/// Applies the records of a page that this gateway has not applied yet, and those that it reads again.
fn handle_read(
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
        Err(input::LogError::Expired(first)) if first > row.next_read_offset() => {
            row.applied = row.applied.max(first.0);
            replay::advance(&mut world.tables, partition, &(0..first.0));
            world.emit_event("log_expired", format_args!("partition={partition} first={first}"));
            wake_searches(world);
            return;
        }
        Err(error) => {
            handle_failure(world, tick, partition, error);
            return;
        }
    };
    if page.records.is_empty() && page.from < page.end {
        handle_failure(world, tick, partition, input::LogError::Unknown);
        return;
    }
    handle_success(world, tick, partition);
    let row = world.tables.partitions.row(partition);
    let already_applied = row.applied;
    let read = page.from.0..page.from.0 + page.records.len() as u64;
    row.applied = row.applied.max(read.end);
    if row.applied >= page.end.0 {
        row.last_complete_read = row.reads_started;
    }
    let (again, new): (Vec<_>, Vec<_>) =
        read.clone().zip(&page.records).partition(|(offset, _)| *offset < already_applied);
    for (offset, record) in again {
        replay::apply(world, tick, partition, read.start, offset, record.as_ref());
    }
    replay::advance(&mut world.tables, partition, &read);
    for (offset, record) in new {
        if let Some(record) = record {
            apply(world, tick, ids::Offset(offset), record);
        }
    }
    wake_searches(world);
}

/// Marks the searches for turns, whose results may have been read.
fn wake_searches(world: &mut world::World) {
    let resolving: Vec<ids::CallId> = world
        .tables
        .calls
        .rows
        .iter()
        .filter(|(_, call)| call.phase == calls::Phase::Resolving)
        .map(|(id, _)| *id)
        .collect();
    world.tables.dirty.calls.extend(resolving);
    let lookups = world.tables.relay.peer_lookups.keys();
    world.tables.dirty.peer_lookups.extend(lookups);
}

/// Schedules the retry of a failed append or read, and detects an outage of the log.
fn handle_failure(
    world: &mut world::World,
    tick: &world::Tick,
    partition: ids::Partition,
    error: input::LogError,
) {
    if error == input::LogError::Busy {
        let fair_rate = log_io::fair_append_rate(world);
        world.tables.append_rate.record_refusal(fair_rate, tick.now);
    }
    let row = world.tables.partitions.row(partition);
    let delay = MIN_RETRY_DELAY.saturating_mul(1 << row.failures.min(5)).min(MAX_RETRY_DELAY);
    row.failures += 1;
    row.retry_at = tick.now.after(add_jitter(delay, partition, tick));
    let retry_at = row.retry_at;
    world.tables.timers.set(timers::Timer::PartitionRetry(partition), retry_at);
    record_store_failure(world, tick, format_args!("partition={partition} error={error:?}"));
}

/// Counts a failed call of the platform's store, and detects an outage of the log. Gateways without
/// turns learn of it from their reads of the list.
pub fn record_store_failure(
    world: &mut world::World,
    tick: &world::Tick,
    cause: std::fmt::Arguments<'_>,
) {
    let partitions = &mut world.tables.partitions;
    partitions.failures += 1;
    let since_success = tick.now.since(partitions.last_success);
    if !partitions.is_unreachable
        && partitions.failures >= UNREACHABLE_FAILURES
        && since_success >= UNREACHABLE_AFTER
    {
        partitions.is_unreachable = true;
        world.emit_event("log_lost", cause);
        world.emit(output::Output::SetEventInterval(Some(OUTAGE_EVENT_INTERVAL)));
        relay::handle_log_loss(world);
    }
}

/// Returns a duration between half of `delay` and all of it, so that gateways that failed together
/// do not retry together.
fn add_jitter(
    delay: time::Duration,
    partition: ids::Partition,
    tick: &world::Tick,
) -> time::Duration {
    const STEPS: u64 = 64;
    let hash = ids::stable_hash(&format!("{partition}/{}", tick.now.as_micros()));
    let step = u32::try_from(hash % STEPS).unwrap_or(0);
    delay / 2 + delay / 2 * step / STEPS as u32
}

fn handle_success(world: &mut world::World, tick: &world::Tick, partition: ids::Partition) {
    let row = world.tables.partitions.row(partition);
    row.failures = 0;
    row.retry_at = core_time::Timestamp::ZERO;
    mark_store_reachable(world, tick);
}

/// Records a response of the platform's store, which ends a log outage.
pub fn mark_store_reachable(world: &mut world::World, tick: &world::Tick) {
    let partitions = &mut world.tables.partitions;
    let away_ms = tick.now.since(partitions.last_success).as_millis();
    partitions.last_success = tick.now;
    partitions.failures = 0;
    partitions.probe = None;
    if std::mem::take(&mut partitions.is_unreachable) {
        // Queued records are appended at once, since this instance may be removed soon.
        for (partition, row) in &mut partitions.rows {
            row.retry_at = core_time::Timestamp::ZERO;
            world.tables.dirty.partitions.insert(*partition);
        }
        world.emit_event("log_regained", format_args!("away_ms={away_ms}"));
        world.emit(output::Output::SetEventInterval(None));
        relay::wake_unsent_calls(world);
    }
}

/// Applies the record at `offset`; all records of the partition before it are applied. The account of
/// a program takes no record while earlier ones are missing: all are applied by a replay.
fn apply(
    world: &mut world::World,
    tick: &world::Tick,
    offset: ids::Offset,
    record: &journal::Record,
) {
    let tables = &mut world.tables;
    match record {
        journal::Record::Start(start) => {
            let is_partial = tables.touch_program(&start.program, tick.now).is_partial;
            tables.log_index.insert_program(&start.program, offset);
            if !is_partial {
                apply_start(world, tick, start);
            }
        }
        journal::Record::End(end) => {
            tables.log_index.insert_turn(&end.turn, offset);
            apply_end(world, tick, end);
        }
        journal::Record::Part(part) => {
            tables.log_index.insert_turn(&part.turn, offset);
            apply_part(world, tick, part);
        }
        journal::Record::LongEnd(long) => {
            tables.log_index.insert_turn(&long.end.turn, offset);
            apply_long_end(world, tick, long);
        }
        journal::Record::Settle(settle) => {
            let is_partial = tables.touch_program(&settle.program, tick.now).is_partial;
            tables.log_index.insert_program(&settle.program, offset);
            if !is_partial {
                apply_settle(world, tick, settle);
            }
            confirm_settlement(world, tick, record);
        }
    }
}

/// Applies a `Settle` record to its program's account.
pub fn apply_settle(world: &mut world::World, tick: &world::Tick, settle: &journal::Settle) {
    let carry_at = rewriting::carry_at(world, tick, settle.age);
    let program = world.tables.touch_program(&settle.program, tick.now);
    settle.settled.iter().for_each(|settled| program.settle(settled));
    settle.open.iter().for_each(|open| program.reopen(open));
    program.carry_from(settle.settled.len() + settle.open.len(), carry_at);
}

/// Confirms a `Settle` record that is stored in the log.
fn confirm_settlement(world: &mut world::World, tick: &world::Tick, record: &journal::Record) {
    if let Some(key) = record.key() {
        relay::confirm_record(world, tick, &key, None);
    }
}

/// Applies a `Start` record to its program's account, which decides on it.
pub fn apply_start(world: &mut world::World, tick: &world::Tick, start: &journal::Start) {
    let carry_at = rewriting::carry_at(world, tick, start.age);
    let program = world.tables.touch_program(&start.program, tick.now);
    start.settled.iter().for_each(|settled| program.settle(settled));
    let is_own = program.owns_allowance(&start.turn);
    let granted = program.grant(&start.turn, start.min_tokens, start.desired_tokens, start.budget);
    program.carry_from(start.settled.len() + usize::from(granted.is_some()), carry_at);
    relay::confirm_record(world, tick, &journal::Key::Start(start.turn.clone()), granted);
    apply_allowance_decision(world, tick, start, granted);
    if is_own {
        rewriting::carry_allowances(world, tick, &start.program);
    }
}

/// Applies the decision on one of this gateway's allowances: its size, or `None` if it was denied.
pub fn apply_allowance_decision(
    world: &mut world::World,
    tick: &world::Tick,
    start: &journal::Start,
    size: Option<u64>,
) {
    let program = world.tables.touch_program(&start.program, tick.now);
    let (decided, unreserved) = program.apply_decision(&start.turn, size);
    if decided.is_empty() && unreserved.is_empty() {
        // Its turns ended before the decision, and no later one settles it.
        if size.is_some() && program.owns_allowance(&start.turn) {
            budgets::schedule_settlement(
                world,
                tick,
                &start.program,
                start.min_tokens,
                start.budget,
            );
        }
        return;
    }
    let detail = format_args!(
        "request={} program={} granted={} budget={} settled={} committed={} asked={}",
        start.turn,
        start.program,
        size.unwrap_or(0),
        start.budget,
        program.settled_tokens,
        program.committed_tokens(),
        start.desired_tokens,
    );
    world.outputs.push(output::Output::Event(output::Event::new("budget_decided", detail)));
    for (turn, granted) in decided {
        let decision =
            if granted { calls::Reservation::Granted } else { calls::Reservation::Denied };
        if let Some(call) = set_reservation(world, &turn, decision) {
            world.tables.dirty.calls.insert(call);
        }
    }
    for turn in unreserved {
        if let Some(call) = set_reservation(world, &turn, calls::Reservation::None) {
            turns::reserve_budget(world, tick, call);
        }
    }
}

/// Sets the reservation of the call that runs `turn`, if there is one.
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
    relay::confirm_record(world, tick, &journal::Key::End(end.turn.clone()), None);
    store_turn(world, tick, end);
}

fn apply_part(world: &mut world::World, tick: &world::Tick, part: &journal::Part) {
    let key = journal::Key::Part(part.turn.clone(), part.number);
    relay::confirm_record(world, tick, &key, None);
    turn_records::store_part(world, tick, part);
}

fn apply_long_end(world: &mut world::World, tick: &world::Tick, long: &journal::LongEnd) {
    relay::confirm_record(world, tick, &journal::Key::End(long.end.turn.clone()), None);
    turn_records::store_long_end(world, tick, long);
}

/// Stores an ended turn that is in the log, and wakes the call that runs it.
pub fn store_turn(world: &mut world::World, tick: &world::Tick, end: &journal::End) {
    let expires = turn_expiry(world, tick);
    let rewrite_at = rewriting::rewrite_at(world, tick, end.age);
    world.tables.turns.insert(end, expires, rewrite_at);
    if let Some(id) = world.tables.calls.by_turn.get(&end.turn) {
        world.tables.dirty.calls.insert(*id);
    }
}

/// Returns the time until which a turn that is read now is kept in memory.
pub fn turn_expiry(world: &world::World, tick: &world::Tick) -> core_time::Timestamp {
    tick.now.after(max_retention(world) + RETENTION_MARGIN)
}

/// Returns the longest retention of all configured routes.
pub fn max_retention(world: &world::World) -> time::Duration {
    let current = world.tables.routes.current.as_ref();
    let max = current.and_then(|configuration| {
        configuration.routes.iter().filter_map(|route| route.retention).max()
    });
    max.unwrap_or(DEFAULT_RETENTION)
}
