//! Delivers due timers to the systems that handle them.

use crate::tables::timers;
use crate::world;

/// Pops every due timer and marks its row as dirty, or queues the timer for [`take_matching`].
pub fn run(world: &mut world::World, tick: &world::Tick) {
    set_initial_timers(world, tick);
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

/// Sets the timers that an instance needs from its first tick on.
fn set_initial_timers(world: &mut world::World, tick: &world::Tick) {
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

/// Removes the due timers for which `select` returns a value, and returns these values in order.
pub fn take_matching<T>(
    world: &mut world::World,
    select: impl Fn(&timers::Timer) -> Option<T>,
) -> Vec<T> {
    let due = &mut world.tables.inbox.due_timers;
    let mut taken = Vec::new();
    due.retain(|timer| match select(timer) {
        Some(value) => {
            taken.push(value);
            false
        }
        None => true,
    });
    taken
}
