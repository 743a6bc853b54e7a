//! Hands the rows that are due to the systems that take them.

use crate::tables::timers;
use crate::world;

/// Pops every timer that is due.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    start(world, tick);
    while let Some(timer) = world.tables.timers.pop(tick.now) {
        let dirty = &mut world.tables.dirty;
        match timer {
            timers::Timer::Partition(partition) => {
                dirty.partitions.insert(partition);
            }
            timers::Timer::CallDeadline(call) => {
                dirty.late.insert(call);
            }
            timers::Timer::Queue => dirty.queue = true,
            timers::Timer::Drain => dirty.drain = true,
            timers::Timer::HoldRelease(hold) => {
                dirty.holds.insert(hold);
            }
            timer => {
                world.tables.inbox.due.insert(timer);
            }
        }
    }
}

/// Schedules what a process does from its first tick on.
fn start(world: &mut world::World, tick: &world::Tick) {
    if world.started {
        return;
    }
    world.started = true;
    let timers = &mut world.tables.timers;
    timers.set(timers::Timer::List, tick.now);
    timers.set(timers::Timer::ConfigRead, tick.now);
    timers.set(timers::Timer::ConfigAsk, tick.now.after(world.settings.probe_interval));
    if world.identity.endpoint.is_some() {
        timers.set(timers::Timer::EndpointClaim, tick.now);
        timers.set(timers::Timer::Report, tick.now);
        timers.set(timers::Timer::SuspectsRead, tick.now);
    }
}

/// Takes the due timers for which `wanted` gives something, in order.
pub fn take_matching<T>(
    world: &mut world::World,
    wanted: impl Fn(&timers::Timer) -> Option<T>,
) -> Vec<T> {
    let due = &mut world.tables.inbox.due;
    let mut taken = Vec::new();
    due.retain(|timer| match wanted(timer) {
        Some(value) => {
            taken.push(value);
            false
        }
        None => true,
    });
    taken
}
