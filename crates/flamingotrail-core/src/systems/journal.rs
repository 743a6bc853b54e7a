//! Group commit of an owner's records: one batch in flight for each partition, read back before
//! anything that matters is acted on.
//!
//! The rate of appends follows the log's refusals by additive increase and multiplicative decrease
//! (Chiu and Jain, "Analysis of the increase and decrease algorithms", 1989).

use std::time as std_time;

use crate::ids;
use crate::input;
use crate::journal;
use crate::output;
use crate::systems::checkpoints;
use crate::systems::ownership;
use crate::systems::programs;
use crate::systems::timers as due;
use crate::tables::partitions;
use crate::tables::timers;
use crate::world;

/// Added to the rate of appends after each success, in appends a second.
const RATE_STEP: f64 = 0.5;
/// Factor on the interval after a refusal.
const REFUSED_FACTOR: u32 = 2;

/// Takes the ends of appends, sends batches that are due and carries rows forward.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    take_appended(world, tick);
    carry_due(world, tick);
    for partition in std::mem::take(&mut world.tables.dirty.partitions) {
        if world.tables.partitions.epoch(&partition).is_some() {
            step(world, tick, &partition);
        }
        arm(world, &partition);
    }
}

/// Sets the timer of a partition to its next step.
fn arm(world: &mut world::World, partition: &ids::Partition) {
    let timer = timers::Timer::Partition(partition.clone());
    match ownership::row(world, partition).wakes_at() {
        Some(at) => world.tables.timers.set(timer, at),
        None => world.tables.timers.clear(&timer),
    }
}

/// Adds a record for the next batch of `partition`.
pub fn append(world: &mut world::World, partition: &ids::Partition, record: journal::Record) {
    ownership::row(world, partition).pending.push_back(record);
    world.tables.dirty.partitions.insert(partition.clone());
}

/// Whether the log has not answered an append of `partition` for a while.
pub fn is_stalled(world: &world::World, partition: &ids::Partition) -> bool {
    world.tables.partitions.rows.get(partition).is_some_and(|row| !row.backoff.is_zero())
}

fn take_appended(world: &mut world::World, tick: &world::Tick) {
    for (stream, nonce, result) in std::mem::take(&mut world.tables.inbox.appended) {
        let Some(partition) = world.tables.partitions.by_stream.get(&stream).cloned() else {
            world.tables.inbox.appended.push((stream, nonce, result));
            continue;
        };
        let row = ownership::row(world, &partition);
        if row.flight.as_ref().is_none_or(|flight| flight.nonce != nonce) {
            continue;
        }
        if matches!(row.standing, partitions::Standing::Claiming { .. }) {
            ownership::claim_appended(world, tick, &partition, result);
            continue;
        }
        batch_appended(world, tick, &partition, result);
    }
}

fn batch_appended(
    world: &mut world::World,
    tick: &world::Tick,
    partition: &ids::Partition,
    result: input::AppendResult,
) {
    let fastest = world.settings.journal_interval_min;
    let slowest = world.settings.journal_interval_max;
    let row = ownership::row(world, partition);
    match result {
        input::AppendResult::At(_) => {
            let rate = 1.0 / row.interval.as_secs_f64() + RATE_STEP;
            row.interval = std_time::Duration::from_secs_f64(1.0 / rate).max(fastest);
            mark_answered(row);
            ownership::read(world, partition);
        }
        input::AppendResult::Lost => {
            mark_answered(row);
            ownership::back_off(world, tick, partition);
            ownership::read(world, partition);
        }
        input::AppendResult::Refused => {
            row.interval = (row.interval * REFUSED_FACTOR).clamp(fastest, slowest);
            mark_answered(row);
            ownership::back_off(world, tick, partition);
        }
    }
}

fn mark_answered(row: &mut partitions::Partition) {
    if let Some(flight) = &mut row.flight {
        flight.answered = true;
    }
}

fn step(world: &mut world::World, tick: &world::Tick, partition: &ids::Partition) {
    let row = ownership::row(world, partition);
    if row.reading {
        return;
    }
    if let Some(flight) = row.flight.clone() {
        if row.replay.nonces.contains(&flight.nonce) {
            confirm(world, tick, partition, flight);
        } else if flight.answered && !row.is_backed_off(tick.now) {
            // Not in the stream as read to its end: send the same nonce again.
            send(world, tick, partition, flight.nonce, flight.records);
        }
        return;
    }
    if row.pending.is_empty() {
        return;
    }
    let due = row.appended_at.map_or(tick.now, |at| at.after(row.interval));
    if due > tick.now {
        return;
    }
    let records = take_batch(row);
    let nonce = ids::Nonce(world.rng.draw());
    send(world, tick, partition, nonce, records);
}

fn take_batch(row: &mut partitions::Partition) -> Vec<journal::Record> {
    let mut records = Vec::new();
    let mut size = 0;
    while let Some(record) = row.pending.front() {
        size += record.size();
        if !records.is_empty() && size > journal::MAX_ENTRY_BYTES {
            break;
        }
        records.extend(row.pending.pop_front());
    }
    records
}

fn send(
    world: &mut world::World,
    tick: &world::Tick,
    partition: &ids::Partition,
    nonce: ids::Nonce,
    records: Vec<journal::Record>,
) {
    let row = ownership::row(world, partition);
    let Some(epoch) = row.epoch() else {
        return;
    };
    row.appended_at = Some(tick.now);
    row.appends += 1;
    row.flight = Some(partitions::Flight {
        nonce,
        records: records.clone(),
        answered: false,
        sent_at: tick.now,
    });
    let writer = world.identity.peer.clone();
    let body = journal::Body::Records { epoch, records };
    let entry = journal::Entry { nonce, writer, body };
    world.emit(output::Output::Append { stream: partition.stream(), entry });
}

/// The batch stands in the stream under the own epoch, with no newer claim in front of it.
fn confirm(
    world: &mut world::World,
    tick: &world::Tick,
    partition: &ids::Partition,
    flight: partitions::Flight,
) {
    let row = ownership::row(world, partition);
    row.flight = None;
    row.backoff = std_time::Duration::ZERO;
    for record in &flight.records {
        programs::confirmed(world, tick, record);
    }
    if !ownership::row(world, partition).pending.is_empty() {
        world.tables.dirty.partitions.insert(partition.clone());
    }
}

fn carry_due(world: &mut world::World, tick: &world::Tick) {
    let due = due::take_due(world, |timer| match timer {
        timers::Timer::Carry(partition) => Some(partition.clone()),
        _ => None,
    });
    for partition in due {
        carry(world, tick, &partition);
    }
}

/// Carries the epoch and every live program that is old in the log forward.
fn carry(world: &mut world::World, tick: &world::Tick, partition: &ids::Partition) {
    if world.tables.partitions.epoch(partition).is_none() {
        return;
    }
    append(world, partition, journal::Record::Reassert);
    checkpoints::checkpoint_aging_programs(world, tick, partition);
    let at = tick.now.after(world.settings.log_retention / 4);
    world.tables.timers.set(timers::Timer::Carry(partition.clone()), at);
}
