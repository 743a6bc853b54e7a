//! Removes turns and programs whose retention has passed.

use std::time;

use crate::ids;
use crate::systems::journal;
use crate::tables::programs;
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
    world.tables.shares.expire(tick.now);
    world.tables.log_index.expire(tick.now, world.settings.log_retention);
    let log_retention = world.settings.log_retention.max(retention);
    let tables = &mut world.tables;
    let is_kept = |row: &programs::Program| {
        // What this gateway owes the log is in no record; it can be settled as long as the log has
        // the request for the allowance.
        let kept_for = if row.owes_settlement() { log_retention } else { retention };
        row.has_running_turns() || tick.now.since(row.last_used) < kept_for
    };
    let removed = tables.programs.rows.extract_if(.., |_, row| !is_kept(row));
    for (program, _) in removed.filter(|(_, row)| row.is_partial) {
        let partition = ids::Partition::of_program(&program, world.settings.partitions);
        tables.partitions.row(partition).cancel_replay(&program);
    }
}
