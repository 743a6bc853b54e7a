//! Distributes the inputs of a tick to the inbox queues of the systems that handle them.

use std::collections;

use crate::ids;
use crate::input;
use crate::tables::peers;
use crate::tables::timers;
use crate::world;

/// Moves all inputs into the inbox.
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
            input::Input::Peers(rows) => update_peers(world, rows),
            input::Input::Entrusted { ticket, record } => inbox.entrusted.push((ticket, *record)),
            input::Input::EntrustAnswered { peer, key, answer } => {
                inbox.entrust_answers.push((peer, key, answer));
            }
            input::Input::Sought { ticket, turn } => inbox.sought.push((ticket, turn)),
            input::Input::SeekAnswered { call, peer, answer } => {
                inbox.seek_answers.push((call, peer, answer));
            }
            input::Input::Drain => start_drain(world, tick),
        }
    }
}

fn update_peers(
    world: &mut world::World,
    mut rows: collections::BTreeMap<ids::InstanceName, peers::Peer>,
) {
    rows.remove(&world.identity.instance);
    let count = rows.len();
    if world.tables.peers.rows != rows {
        world.event("peers_changed", format_args!("count={count}"));
        world.tables.peers.rows = rows;
    }
}

fn start_drain(world: &mut world::World, tick: &world::Tick) {
    if world.draining_since.is_some() {
        return;
    }
    world.draining_since = Some(tick.now);
    world.tables.dirty.drain = true;
    world.tables.timers.set(timers::Timer::Drain, tick.now);
    let calls = world.tables.calls.rows.len();
    world.event("draining", format_args!("calls={calls}"));
}
