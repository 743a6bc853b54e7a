//! Marks the rows whose timers have expired, for the systems that handle them.

use crate::tables::timers;
use crate::world;

/// Handles all expired timers.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    while let Some(timer) = world.tables.timers.pop_due(tick.now) {
        let dirty = &mut world.tables.dirty;
        match timer {
            timers::Timer::CallDeadline(call) => {
                dirty.late.insert(call);
            }
            timers::Timer::CallRetry(call) => {
                dirty.place.insert(call);
                dirty.calls.insert(call);
            }
            timers::Timer::AttemptSlow(call, attempt) => {
                dirty.slow.insert((call, attempt));
            }
            timers::Timer::Wait(key) => {
                dirty.waits.insert(key);
            }
            timers::Timer::Relay(ticket) => {
                dirty.overdue.insert(ticket);
            }
            timers::Timer::Partition(partition) => {
                dirty.partitions.insert(partition);
            }
            timers::Timer::Settle(program) => {
                dirty.settle.insert(program);
            }
            timers::Timer::Pace => dirty.pace = true,
            timers::Timer::Expiry => dirty.expiry = true,
            timers::Timer::Lapsed => dirty.lapsed = true,
            timers::Timer::Drain => dirty.drain = true,
        }
    }
}
