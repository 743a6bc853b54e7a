//! Removes turns and programs whose retention has passed.

use std::time;

use crate::systems::journal;
use crate::tables::timers;
use crate::world;

/// Interval between two removals of expired rows.
const EXPIRY_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// Removes expired rows when the expiry timer has fired.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    if !world.tables.timers.is_set(&timers::Timer::Expiry) {
        world.tables.timers.set(timers::Timer::Expiry, tick.now.after(EXPIRY_INTERVAL));
    }
    if !std::mem::take(&mut world.tables.dirty.expiry) {
        return;
    }
    let retention = journal::max_retention(world) + journal::RETENTION_MARGIN;
    world.tables.turns.expire(tick.now);
    world.tables.log_index.expire(tick.now, world.settings.log_retention);
    world.tables.programs.rows.retain(|_, row| {
        !row.allowances.is_empty() && row.is_busy() || tick.now.since(row.last_used) < retention
    });
}
