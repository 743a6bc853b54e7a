//! Searches the log for turns that are not in memory, for this gateway's calls and for the lookups of
//! other gateways.
//!
//! Memory holds the turns that were read recently. A turn that is missing there exists in the log if
//! the index has it, and possibly if its partition was not read to its end since the search began.

use crate::ids;
use crate::tables;
use crate::tables::partitions;
use crate::world;

/// What is known of a turn that is missing in memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Knowledge {
    /// A read will tell.
    Pending,
    /// The log has no such turn.
    Absent,
}

/// Continues the search for `missing`, or begins it if `search` is for another turn.
pub fn advance(
    tables: &mut tables::Tables,
    tick: &world::Tick,
    partition: ids::Partition,
    missing: &ids::TurnId,
    search: &mut Option<partitions::TurnSearch>,
) -> Knowledge {
    let row = tables.partitions.row(partition);
    let current = search.as_ref().filter(|search| search.turn == *missing);
    let awaited_read = match current.map(|search| search.awaited_read) {
        Some(Some(number)) if row.last_complete_read >= number => return Knowledge::Absent,
        Some(Some(_)) => return Knowledge::Pending,
        Some(None) if row.is_replaying_turn(missing) => return Knowledge::Pending,
        // Another turn has the same hash, or the log has dropped the record.
        Some(None) => Some(row.request_read()),
        None => match tables.log_index.turn_offset(missing, tick.now) {
            Some(offset) if offset.0 < row.applied => {
                row.replay_turn(missing, offset);
                None
            }
            _ => Some(row.request_read()),
        },
    };
    tables.dirty.partitions.insert(partition);
    *search = Some(partitions::TurnSearch { turn: missing.clone(), awaited_read });
    Knowledge::Pending
}
