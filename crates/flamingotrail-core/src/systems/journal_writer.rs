//! Group commit of journal records. Each owned partition has at most one batch in flight. Work that
//! needs a record to be durable waits until the record's batch has been read back from the stream.
//!
//! The append rate adapts to refusals by the log with additive increase and multiplicative decrease
//! (Chiu and Jain, "Analysis of the increase and decrease algorithms", 1989).

use std::time as std_time;

use crate::ids;
use crate::input;
use crate::journal;
use crate::output;
use crate::systems::checkpoints;
use crate::systems::due_timers;
use crate::systems::ownership;
use crate::systems::programs;
use crate::tables::partitions;
use crate::tables::timers;
use crate::world;

/// Increase of the append rate after each successful append, in appends per second.
const APPEND_RATE_STEP: f64 = 0.5;
/// Factor by which the append interval grows after a refusal.
const INTERVAL_BACKOFF_FACTOR: u32 = 2;

/// Processes append results, appends batches that are due and re-appends state that would expire.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    process_append_results(world, tick);
    run_due_reappends(world, tick);
    for partition in std::mem::take(&mut world.tables.dirty.partitions) {
        if world.tables.partitions.epoch(&partition).is_some() {
            advance(world, tick, &partition);
        }
        schedule_next_step(world, &partition);
    }
}

/// Sets the timer for the next step of a partition.
fn schedule_next_step(world: &mut world::World, partition: &ids::Partition) {
    let timer = timers::Timer::PartitionStep(partition.clone());
    match ownership::partition_row(world, partition).next_step_at() {
        Some(at) => world.tables.timers.set(timer, at),
        None => world.tables.timers.clear(&timer),
    }
}

/// Queues a record for the next batch of `partition`.
pub fn append(world: &mut world::World, partition: &ids::Partition, record: journal::Record) {
    ownership::partition_row(world, partition).pending_records.push_back(record);
    world.tables.dirty.partitions.insert(partition.clone());
}

/// Returns whether `partition` is backing off because the log refused or did not respond to a
/// request.
pub fn is_stalled(world: &world::World, partition: &ids::Partition) -> bool {
    world.tables.partitions.rows.get(partition).is_some_and(|row| !row.backoff.is_zero())
}

fn process_append_results(world: &mut world::World, tick: &world::Tick) {
    for (stream, nonce, result) in std::mem::take(&mut world.tables.inbox.append_results) {
        let Some(partition) = world.tables.partitions.by_stream.get(&stream).cloned() else {
            world.tables.inbox.append_results.push((stream, nonce, result));
            continue;
        };
        let row = ownership::partition_row(world, &partition);
        if row.in_flight.as_ref().is_none_or(|append| append.nonce != nonce) {
            continue;
        }
        if matches!(row.ownership, partitions::OwnershipState::Claiming { .. }) {
            ownership::handle_claim_append(world, tick, &partition, result);
            continue;
        }
        handle_batch_append(world, tick, &partition, result);
    }
}

fn handle_batch_append(
    world: &mut world::World,
    tick: &world::Tick,
    partition: &ids::Partition,
    result: input::AppendResult,
) {
    let min_interval = world.settings.journal_interval_min;
    let max_interval = world.settings.journal_interval_max;
    let row = ownership::partition_row(world, partition);
    match result {
        input::AppendResult::Committed(_) => {
            let rate = 1.0 / row.append_interval.as_secs_f64() + APPEND_RATE_STEP;
            row.append_interval = std_time::Duration::from_secs_f64(1.0 / rate).max(min_interval);
            mark_completed(row);
            ownership::read_stream(world, partition);
        }
        input::AppendResult::Unknown => {
            mark_completed(row);
            ownership::back_off(world, tick, partition);
            ownership::read_stream(world, partition);
        }
        input::AppendResult::RateLimited => {
            row.append_interval =
                (row.append_interval * INTERVAL_BACKOFF_FACTOR).clamp(min_interval, max_interval);
            mark_completed(row);
            ownership::back_off(world, tick, partition);
        }
    }
}

fn mark_completed(row: &mut partitions::Partition) {
    if let Some(append) = &mut row.in_flight {
        append.completed = true;
    }
}

fn advance(world: &mut world::World, tick: &world::Tick, partition: &ids::Partition) {
    let row = ownership::partition_row(world, partition);
    if row.reading {
        return;
    }
    if let Some(in_flight) = row.in_flight.clone() {
        if row.replay.seen_nonces.contains(&in_flight.nonce) {
            commit_batch(world, tick, partition, in_flight);
        } else if in_flight.completed && !row.is_in_backoff(tick.now) {
            // The stream was read to its end without this batch. Resending it under the same nonce
            // is safe because readers skip a second copy.
            send_batch(world, tick, partition, in_flight.nonce, in_flight.records);
        }
        return;
    }
    if row.pending_records.is_empty() {
        return;
    }
    let due_at = row.last_append_at.map_or(tick.now, |at| at.after(row.append_interval));
    if due_at > tick.now {
        return;
    }
    let records = take_batch(row);
    let nonce = ids::Nonce(world.rng.next_u64());
    send_batch(world, tick, partition, nonce, records);
}

fn take_batch(row: &mut partitions::Partition) -> Vec<journal::Record> {
    let mut records = Vec::new();
    let mut size = 0;
    while let Some(record) = row.pending_records.front() {
        size += record.approximate_bytes();
        if !records.is_empty() && size > journal::MAX_ENTRY_BYTES {
            break;
        }
        records.extend(row.pending_records.pop_front());
    }
    records
}

fn send_batch(
    world: &mut world::World,
    tick: &world::Tick,
    partition: &ids::Partition,
    nonce: ids::Nonce,
    records: Vec<journal::Record>,
) {
    let row = ownership::partition_row(world, partition);
    let Some(epoch) = row.epoch() else {
        return;
    };
    row.last_append_at = Some(tick.now);
    row.append_count += 1;
    row.in_flight = Some(partitions::InFlightAppend {
        nonce,
        records: records.clone(),
        completed: false,
        sent_at: tick.now,
    });
    let writer = world.identity.peer.clone();
    let body = journal::Body::Records { epoch, records };
    let entry = journal::Entry { nonce, writer, body };
    world.emit(output::Output::Append { stream: partition.stream(), entry });
}

/// Applies a batch that was read back under this owner's epoch, with no newer claim before it.
fn commit_batch(
    world: &mut world::World,
    tick: &world::Tick,
    partition: &ids::Partition,
    in_flight: partitions::InFlightAppend,
) {
    let row = ownership::partition_row(world, partition);
    row.in_flight = None;
    row.backoff = std_time::Duration::ZERO;
    for record in &in_flight.records {
        programs::apply_confirmed(world, tick, record);
    }
    if !ownership::partition_row(world, partition).pending_records.is_empty() {
        world.tables.dirty.partitions.insert(partition.clone());
    }
}

fn run_due_reappends(world: &mut world::World, tick: &world::Tick) {
    let due = due_timers::take_matching(world, |timer| match timer {
        timers::Timer::PartitionCheckpoint(partition) => Some(partition.clone()),
        _ => None,
    });
    for partition in due {
        reappend_live_state(world, tick, &partition);
    }
}

/// Appends the epoch and the state of old live programs again, before log retention removes them.
fn reappend_live_state(world: &mut world::World, tick: &world::Tick, partition: &ids::Partition) {
    if world.tables.partitions.epoch(partition).is_none() {
        return;
    }
    append(world, partition, journal::Record::Reassert);
    checkpoints::checkpoint_aging_programs(world, tick, partition);
    let at = tick.now.after(world.settings.log_retention / 4);
    world.tables.timers.set(timers::Timer::PartitionCheckpoint(partition.clone()), at);
}
