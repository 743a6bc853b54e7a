//! Removes turns and programs whose retention has passed, and turns that memory has no room for.

use std::collections;
use std::time;

use crate::ids;
use crate::output;
use crate::systems::journal;
use crate::tables::calls;
use crate::tables::programs;
use crate::tables::timers;
use crate::world;

/// Interval between two removals of expired rows.
const EXPIRY_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// Part of the memory for histories up to which turns are kept that no call needs.
const UNNEEDED_DIVISOR: usize = 2;

/// Removes turns beyond the memory for histories, and expired rows when the expiry timer has fired.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    remove_histories(world);
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

/// Removes the turns that were not used for longest. Chains that are being assembled go only where
/// memory has no room for them at all: a part that was removed would have to be read again and again.
fn remove_histories(world: &mut world::World) {
    // Records that wait for the log, and parts of turns whose end is missing, share the memory.
    let tables = &world.tables;
    let others = tables.partitions.unlogged_bytes() + tables.turns.incomplete_bytes();
    let max_bytes = world.settings.max_history_bytes.saturating_sub(others);
    let (turns, calls) = (&mut world.tables.turns, &world.tables.calls);
    if turns.bytes <= max_bytes / UNNEEDED_DIVISOR {
        return;
    }
    let resolving = calls.rows.values().filter(|call| call.phase == calls::Phase::Resolving);
    let chains = resolving.filter_map(|call| call.arrival.previous.as_ref());
    let needed: collections::BTreeSet<ids::TurnId> =
        chains.flat_map(|last| turns.stored_chain(last)).map(|(id, _)| id.clone()).collect();
    let is_running = |turn: &ids::TurnId| calls.by_turn.contains_key(turn);
    let unneeded = turns
        .shrink(max_bytes / UNNEEDED_DIVISOR, |turn| is_running(turn) || needed.contains(turn));
    if unneeded + turns.shrink(max_bytes, is_running) > 0 {
        world.emit(output::Output::Count("histories_removed"));
    }
}
