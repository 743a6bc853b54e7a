//! Starts appends and reads: at most one of each at a time per partition, with the rate of appends
//! limited to what the log accepts.

use crate::ids;
use crate::journal;
use crate::output;
use crate::tables::timers;
use crate::world;

/// Maximum number of records in one append.
const MAX_APPEND_RECORDS: usize = 256;
/// The texts of an append's records may take its maximum size divided by this number; the rest is
/// for their other fields.
const TEXT_SIZE_DIVISOR: usize = 2;

/// Starts the reads and appends of dirty partitions, and appends that wait for the rate limit.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    for partition in std::mem::take(&mut world.tables.dirty.partitions) {
        if is_suspended(world, partition) {
            continue;
        }
        let row = world.tables.partitions.row(partition);
        if row.retry_at > tick.now {
            continue;
        }
        if row.needs_append() {
            let since = row.queued_since;
            world.tables.partitions.waiting_to_append.insert((since, partition));
        }
        start_read(world, partition);
    }
    append_within_rate(world, tick);
}

/// Whether a partition waits for the end of a log outage: one partition probes the log, and all are
/// retried as soon as it responds.
fn is_suspended(world: &mut world::World, partition: ids::Partition) -> bool {
    let partitions = &mut world.tables.partitions;
    if !partitions.is_unreachable {
        return false;
    }
    let probe = *partitions.probe.get_or_insert(partition);
    probe != partition
}

/// Starts appends, the longest-waiting partition first, while the rate limit allows.
fn append_within_rate(world: &mut world::World, tick: &world::Tick) {
    world.tables.dirty.append_rate = false;
    let fair_rate = fair_append_rate(world);
    while let Some((since, partition)) = world.tables.partitions.waiting_to_append.first().copied()
    {
        let tables = &mut world.tables;
        let row = tables.partitions.row(partition);
        if row.needs_append() && row.retry_at <= tick.now {
            if !tables.append_rate.try_acquire(fair_rate, tick.now) {
                tables.timers.set_earlier(
                    timers::Timer::AppendRate,
                    tables.append_rate.next_append_at(tick.now),
                );
                return;
            }
            start_append(world, tick, partition);
        }
        world.tables.partitions.waiting_to_append.remove(&(since, partition));
    }
}

/// Returns this gateway's equal share of the log's rate limit, in appends per second.
pub fn fair_append_rate(world: &world::World) -> f64 {
    world.settings.max_appends_per_s / (world.tables.peers.rows.len() + 1) as f64
}

fn start_append(world: &mut world::World, tick: &world::Tick, partition: ids::Partition) {
    let max_bytes = world.settings.max_append_bytes / TEXT_SIZE_DIVISOR;
    let row = world.tables.partitions.row(partition);
    let max_records = if row.single_appends > 0 { 1 } else { MAX_APPEND_RECORDS };
    row.single_appends = row.single_appends.saturating_sub(1);
    row.appending = next_batch(&mut row.queue, max_records, max_bytes);
    row.queued_since = tick.now;
    let records = row.appending.clone();
    world.outputs.push(output::Output::Append { partition, records });
}

fn start_read(world: &mut world::World, partition: ids::Partition) {
    let row = world.tables.partitions.row(partition);
    if !row.needs_read() {
        return;
    }
    row.reading = true;
    row.reads_started += 1;
    let from = row.next_read_offset();
    world.outputs.push(output::Output::Read { partition, from });
}

/// Removes the records of the next append from `queue`: at least one, up to both limits.
fn next_batch(
    queue: &mut std::collections::VecDeque<journal::Record>,
    max_records: usize,
    max_bytes: usize,
) -> Vec<journal::Record> {
    let mut bytes = 0;
    let mut batch = Vec::new();
    while let Some(record) = queue.front() {
        bytes += record.text_bytes();
        if batch.len() == max_records || (bytes > max_bytes && !batch.is_empty()) {
            break;
        }
        batch.extend(queue.pop_front());
    }
    batch
}
