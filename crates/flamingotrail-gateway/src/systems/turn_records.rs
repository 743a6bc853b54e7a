//! Writes the records of completed turns, and stores those that are in the log. A turn that is too long
//! for one record is written in parts.

use crate::journal;
use crate::systems::journal as journal_system;
use crate::systems::relay;
use crate::world;

/// The texts in a record may take its maximum size divided by this number; the rest is for its other
/// fields.
const TEXT_SIZE_DIVISOR: usize = 2;

/// Submits the record of a completed turn to the log.
pub fn submit(world: &mut world::World, tick: &world::Tick, end: journal::End) {
    let max_bytes = world.settings.max_record_bytes / TEXT_SIZE_DIVISOR;
    if end.input.len() + end.output.len() <= max_bytes {
        relay::submit(world, tick, journal::Record::End(end));
        return;
    }
    let (parts, long) = end.split(max_bytes);
    for part in parts {
        relay::submit(world, tick, journal::Record::Part(part));
    }
    relay::submit(world, tick, journal::Record::LongEnd(long));
}

/// Stores a part of a long turn that is in the log.
pub fn store_part(world: &mut world::World, tick: &world::Tick, part: &journal::Part) {
    let expires = journal_system::turn_expiry(world, tick);
    if let Some(end) = world.tables.turns.add_part(part, expires) {
        journal_system::store_turn(world, tick, &end);
    }
}

/// Stores the end of a long turn that is in the log.
pub fn store_long_end(world: &mut world::World, tick: &world::Tick, long: &journal::LongEnd) {
    let expires = journal_system::turn_expiry(world, tick);
    if let Some(end) = world.tables.turns.add_long_end(long, expires) {
        journal_system::store_turn(world, tick, &end);
    }
}
