//! Drops turns and programs that nobody may ask for any more.

use std::time;

use crate::systems::journal;
use crate::tables::timers;
use crate::world;

/// Pause between two looks at what has expired.
const INTERVAL: time::Duration = time::Duration::from_secs(5);

/// Drops what has expired, where that is due.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    if !world.tables.timers.is_set(&timers::Timer::Expiry) {
        world.tables.timers.set(timers::Timer::Expiry, tick.now.after(INTERVAL));
    }
    if !std::mem::take(&mut world.tables.dirty.expiry) {
        return;
    }
    let keep = journal::max_retention(world) + journal::RETENTION_MARGIN;
    world.tables.turns.expire(tick.now);
    world.tables.programs.rows.retain(|_, row| {
        !row.allowances.is_empty() && row.is_busy() || tick.now.since(row.touched) < keep
    });
}
