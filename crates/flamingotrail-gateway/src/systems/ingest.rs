//! Sorts inputs by the system that takes them.

use crate::input;
use crate::tables::timers;
use crate::world;

/// Empties the inputs into the inbox.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    while let Some(next) = world.inputs.pop_front() {
        let inbox = &mut world.tables.inbox;
        match next {
            input::Input::Arrived(arrival) => inbox.arrivals.push(*arrival),
            input::Input::Left(call) => inbox.left.push(call),
            input::Input::Outcome { call, attempt, outcome } => {
                inbox.outcomes.push((call, attempt, outcome));
            }
            input::Input::Delivered(call) => inbox.delivered.push(call),
            input::Input::Appended { partition, result } => {
                inbox.appended.push((partition, result));
            }
            input::Input::Read { partition, result } => inbox.read.push((partition, result)),
            input::Input::Configuration(configuration) => {
                inbox.configurations.push(*configuration);
            }
            input::Input::Endpoints(membership) => inbox.memberships.push(Some(membership)),
            input::Input::ListUnreachable => inbox.memberships.push(None),
            input::Input::Drain => drain(world, tick),
        }
    }
}

fn drain(world: &mut world::World, tick: &world::Tick) {
    if world.draining_since.is_some() {
        return;
    }
    world.draining_since = Some(tick.now);
    world.tables.dirty.drain = true;
    world.tables.timers.set(timers::Timer::Drain, tick.now);
    let calls = world.tables.calls.rows.len();
    world.event("draining", format_args!("calls={calls}"));
}
