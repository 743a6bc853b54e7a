//! Hands the rows that are due to the systems that take them.

use crate::tables::timers;
use crate::world;

/// Pops every timer that is due.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    start(world, tick);
    while let Some(timer) = world.tables.timers.pop_due(tick.now) {
        let dirty = &mut world.tables.dirty;
        match timer {
            timers::Timer::PartitionStep(partition) => {
                dirty.partitions.insert(partition);
            }
            timers::Timer::CallDeadline(call) => {
                dirty.expired_calls.insert(call);
            }
            timers::Timer::QueueStep => dirty.queue = true,
            timers::Timer::DrainStep => dirty.drain = true,
            timers::Timer::HoldRelease(hold) => {
                dirty.holds_to_release.insert(hold);
            }
            timer => {
                world.tables.inbox.due_timers.insert(timer);
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
    timers.set(timers::Timer::ListFetch, tick.now);
    timers.set(timers::Timer::ConfigRead, tick.now);
    timers.set(timers::Timer::ConfigAsk, tick.now.after(world.settings.probe_interval));
    if world.identity.endpoint.is_some() {
        timers.set(timers::Timer::EndpointClaim, tick.now);
        timers.set(timers::Timer::ReportFetch, tick.now);
        timers.set(timers::Timer::SuspectsRead, tick.now);
    }
}

/// Takes the due timers for which `wanted` gives something, in order.
pub fn take_due<T>(
    world: &mut world::World,
    wanted: impl Fn(&timers::Timer) -> Option<T>,
) -> Vec<T> {
    let due = &mut world.tables.inbox.due_timers;
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
