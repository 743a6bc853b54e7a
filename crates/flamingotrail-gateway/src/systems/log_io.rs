//! Begins appends and reads: one of each at a time for each partition, appends at the pace that the
//! log takes.

use crate::ids;
use crate::journal;
use crate::output;
use crate::tables::timers;
use crate::world;

/// Records of one append at most.
const MAX_RECORDS: usize = 256;
/// Part of an append's bytes that the texts of its records may take; the rest is for their other fields.
const TEXTS_OF_APPEND: usize = 2;

/// Looks at the dirty partitions, and at those that wait for the pace.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    for partition in std::mem::take(&mut world.tables.dirty.partitions) {
        if is_held_back(world, partition) {
            continue;
        }
        let row = world.tables.partitions.row(partition);
        if row.retry_at > tick.now {
            continue;
        }
        if row.needs_append() {
            let since = row.waits_since;
            world.tables.partitions.paced.insert((since, partition));
        }
        read(world, partition);
    }
    append_paced(world, tick);
}

/// Whether a partition waits for the log to be back: while it is away, one partition at a time finds
/// out, and all are tried at once when it answers.
fn is_held_back(world: &mut world::World, partition: ids::Partition) -> bool {
    let partitions = &mut world.tables.partitions;
    if !partitions.is_away {
        return false;
    }
    let probe = *partitions.probe.get_or_insert(partition);
    probe != partition
}

fn append_paced(world: &mut world::World, tick: &world::Tick) {
    world.tables.dirty.pace = false;
    let share = fair_append_rate(world);
    while let Some((since, partition)) = world.tables.partitions.paced.first().copied() {
        let tables = &mut world.tables;
        let row = tables.partitions.row(partition);
        if row.needs_append() && row.retry_at <= tick.now {
            if !tables.pace.take(share, tick.now) {
                tables.timers.set_earlier(timers::Timer::Pace, tables.pace.next(tick.now));
                return;
            }
            append(world, tick, partition);
        }
        world.tables.partitions.paced.remove(&(since, partition));
    }
}

/// This process's even share of the log's limit, in appends a second.
pub fn fair_append_rate(world: &world::World) -> f64 {
    world.settings.appends_per_s / (world.tables.peers.rows.len() + 1) as f64
}

fn append(world: &mut world::World, tick: &world::Tick, partition: ids::Partition) {
    let max_bytes = world.settings.append_bytes / TEXTS_OF_APPEND;
    let row = world.tables.partitions.row(partition);
    row.appending = next_batch(&mut row.queue, max_bytes);
    row.waits_since = tick.now;
    let records = row.appending.clone();
    world.out.push(output::Output::Append { partition, records });
}

fn read(world: &mut world::World, partition: ids::Partition) {
    let row = world.tables.partitions.row(partition);
    if !row.needs_read() {
        return;
    }
    row.reading = true;
    row.reads += 1;
    let from = ids::Offset(row.applied);
    world.out.push(output::Output::Read { partition, from });
}

fn next_batch(
    queue: &mut std::collections::VecDeque<journal::Record>,
    max_bytes: usize,
) -> Vec<journal::Record> {
    let mut bytes = 0;
    let mut batch = Vec::new();
    while let Some(record) = queue.front() {
        bytes += record.text_bytes();
        if batch.len() == MAX_RECORDS || (bytes > max_bytes && !batch.is_empty()) {
            break;
        }
        batch.extend(queue.pop_front());
    }
    batch
}
