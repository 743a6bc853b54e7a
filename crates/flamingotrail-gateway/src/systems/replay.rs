//! Applies records again that were applied before and removed from memory since. Of the records that a
//! replay reads, it applies those of the turns and programs that it was requested for.

use std::ops;

use crate::ids;
use crate::journal;
use crate::systems::journal as journal_system;
use crate::systems::turn_records;
use crate::tables;
use crate::world;

/// Applies a record that was applied before if the replay of its partition waits for it. The read of
/// the record began at `read_start`.
pub fn apply(
    world: &mut world::World,
    tick: &world::Tick,
    partition: ids::Partition,
    read_start: u64,
    offset: u64,
    record: Option<&journal::Record>,
) {
    let row = world.tables.partitions.row(partition);
    let (Some(replay), Some(record)) = (row.replay.as_mut(), record) else { return };
    let is_due = |program: &ids::ProgramId| {
        let next = replay.programs.get(program).copied();
        next.is_some_and(|next| (read_start..=offset).contains(&next))
    };
    match record {
        journal::Record::Start(start) if is_due(&start.program) => {
            journal_system::apply_start(world, tick, start);
        }
        journal::Record::Settle(settle) if is_due(&settle.program) => {
            journal_system::apply_settle(world, tick, settle);
        }
        journal::Record::End(end) if replay.turns.contains(&end.turn) => {
            journal_system::store_turn(world, tick, end);
        }
        journal::Record::Part(part) if replay.turns.contains(&part.turn) => {
            turn_records::store_part(world, tick, part);
        }
        journal::Record::LongEnd(long) if replay.turns.contains(&long.end.turn) => {
            turn_records::store_long_end(world, tick, long);
        }
        _ => return,
    }
    let tables = &mut world.tables;
    if let Some(replay) = tables.partitions.row(partition).replay.as_mut() {
        replay.turns.retain(|turn| !tables.turns.rows.contains_key(turn));
    }
}

/// Advances the replay of a partition; the accounts of programs whose records were all read hold
/// from now on.
pub fn advance(tables: &mut tables::Tables, partition: ids::Partition, read: &ops::Range<u64>) {
    for program in tables.partitions.row(partition).advance_replay(read) {
        if let Some(row) = tables.programs.rows.get_mut(&program) {
            row.is_partial = false;
        }
    }
}
