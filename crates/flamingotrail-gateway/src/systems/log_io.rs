//! Begins appends and reads: one of each at a time for each partition.

use crate::ids;
use crate::journal;
use crate::output;
use crate::world;

/// Records of one append at most.
const MAX_RECORDS: usize = 256;
/// Bytes of texts of one append at most; the platform takes 2 MiB.
const MAX_BYTES: usize = 1 << 20;

/// Looks at the dirty partitions.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    for partition in std::mem::take(&mut world.tables.dirty.partitions) {
        let row = world.tables.partitions.row(partition);
        if row.retry_at > tick.now {
            continue;
        }
        if row.needs_append() {
            row.appending = next_batch(&mut row.queue);
            let records = row.appending.clone();
            world.out.push(output::Output::Append { partition, records });
        }
        read(world, partition);
    }
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

fn next_batch(queue: &mut std::collections::VecDeque<journal::Record>) -> Vec<journal::Record> {
    let mut bytes = 0;
    let mut batch = Vec::new();
    while let Some(record) = queue.front() {
        bytes += record.text_bytes();
        if batch.len() == MAX_RECORDS || (bytes > MAX_BYTES && !batch.is_empty()) {
            break;
        }
        batch.extend(queue.pop_front());
    }
    batch
}
