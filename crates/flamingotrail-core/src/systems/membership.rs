//! Which processes are there: the platform's list, probes, and what was heard directly.
//!
//! Suspicion only decides when to act (send elsewhere, claim), never whether it is safe.

use std::time as std_time;

use crate::ids;
use crate::messages;
use crate::output;
use crate::systems::configuration;
use crate::systems::execution;
use crate::systems::outbox;
use crate::systems::timers as due;
use crate::tables::timers;
use crate::time;
use crate::world;

/// Delay before the list is fetched again after it did not answer.
const LIST_RETRY: std_time::Duration = std_time::Duration::from_secs(1);

/// Takes lists, probes and failed connections; probes processes with which business is open.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    take_lists(world, tick);
    take_probes(world, tick);
    take_lost(world, tick);
    fetch_list(world);
    probe_due(world, tick);
    silence_due(world, tick);
}

fn take_lists(world: &mut world::World, tick: &world::Tick) {
    for list in std::mem::take(&mut world.tables.inbox.lists) {
        world.tables.instances.fetching = false;
        let wait = match list {
            Some(list) => {
                world.tables.instances.take_list(&list);
                world.settings.list_interval
            }
            None => LIST_RETRY,
        };
        world.tables.timers.set(timers::Timer::List, tick.now.after(wait));
    }
}

fn fetch_list(world: &mut world::World) {
    let due = due::take_due(world, |timer| (*timer == timers::Timer::List).then_some(()));
    if due.is_empty() || world.tables.instances.fetching {
        return;
    }
    world.tables.instances.fetching = true;
    world.emit(output::Output::FetchList);
}

fn take_probes(world: &mut world::World, tick: &world::Tick) {
    for (from, message) in std::mem::take(&mut world.tables.inbox.probes) {
        match message {
            messages::Message::Ping { version, .. } => {
                let pong = messages::Message::Pong {
                    incarnation: world.identity.peer.incarnation,
                    version: world.tables.configuration.version(),
                    load: execution::local_load(world),
                };
                outbox::send(world, &from, pong);
                configuration::request_if_newer(world, tick, &from, version);
            }
            messages::Message::Pong { version, load, .. } => {
                take_load(world, tick, &from, load);
                configuration::request_if_newer(world, tick, &from, version);
            }
            messages::Message::Leaving { incarnation } => {
                let row = world.tables.instances.row(&from);
                if row.incarnation == Some(incarnation) {
                    row.told_leaving = true;
                }
            }
            _ => {}
        }
    }
}

/// Notes the load that the process beside an endpoint told.
pub fn take_load(
    world: &mut world::World,
    tick: &world::Tick,
    from: &ids::InstanceName,
    load: messages::Load,
) {
    let listed = world.tables.instances.rows.get(from).and_then(|row| row.listed.as_ref());
    let Some(endpoint) = listed.and_then(|listed| listed.endpoint.clone()) else {
        return;
    };
    let row = world.tables.endpoints.row(&endpoint);
    row.load = load;
    row.told_at = Some(tick.now);
    row.sent_since = 0;
    if load.leaving {
        world.tables.instances.row(from).told_leaving = true;
    }
}

fn take_lost(world: &mut world::World, tick: &world::Tick) {
    for instance in std::mem::take(&mut world.tables.inbox.lost) {
        let row = world.tables.instances.row(&instance);
        row.broken_at.get_or_insert(tick.now);
        if row.watches == 0 {
            continue;
        }
        ping(world, tick, &instance);
        let at = tick.now.after(world.settings.probe_interval);
        world.tables.timers.set_earlier(timers::Timer::Silence(instance), at);
    }
}

/// Sends a probe.
pub fn ping(world: &mut world::World, tick: &world::Tick, to: &ids::InstanceName) {
    world.tables.instances.probed_at = tick.now;
    let incarnation = world.identity.peer.incarnation;
    let version = world.tables.configuration.version();
    outbox::send(world, to, messages::Message::Ping { incarnation, version });
}

fn probe_due(world: &mut world::World, tick: &world::Tick) {
    let due = due::take_due(world, |timer| match timer {
        timers::Timer::Probe(instance) => Some(instance.clone()),
        _ => None,
    });
    for instance in due {
        probe(world, tick, &instance);
    }
}

fn probe(world: &mut world::World, tick: &world::Tick, instance: &ids::InstanceName) {
    let interval = probe_interval(world);
    let row = world.tables.instances.row(instance);
    if row.watches == 0 {
        return;
    }
    let heard_at = row.heard_at.unwrap_or(tick.now);
    row.heard_at.get_or_insert(tick.now);
    let silence = tick.now.since(heard_at);
    if silence >= world.settings.suspect_after.max(interval * 2) && !row.suspected {
        suspect(world, tick, instance);
    } else if silence >= interval / 2 {
        ping(world, tick, instance);
    }
    let at = tick.now.after(interval);
    world.tables.timers.set(timers::Timer::Probe(instance.clone()), at);
}

/// Interval between probes of one process: longer where many are watched, so that probes stay
/// within their share of the control traffic.
fn probe_interval(world: &world::World) -> std_time::Duration {
    let calls = world.tables.calls.by_instance.len();
    let requests = world.tables.requests.by_instance.len();
    let watched = u32::try_from(calls + requests).unwrap_or(u32::MAX);
    let share =
        std_time::Duration::from_secs(1) * watched / world.settings.probes_per_second.max(1);
    world.settings.probe_interval.max(share)
}

fn silence_due(world: &mut world::World, tick: &world::Tick) {
    let due = due::take_due(world, |timer| match timer {
        timers::Timer::Silence(instance) => Some(instance.clone()),
        _ => None,
    });
    for instance in due {
        let row = world.tables.instances.row(&instance);
        if row.broken_at.is_some() && !row.suspected {
            suspect(world, tick, &instance);
        }
    }
}

/// Notes that `instance` is silent: its business goes elsewhere.
pub fn suspect(world: &mut world::World, _tick: &world::Tick, instance: &ids::InstanceName) {
    world.tables.instances.row(instance).suspected = true;
    world.event("instance_suspected", instance, "silent");
    release_business(world, instance);
}

fn release_business(world: &mut world::World, instance: &ids::InstanceName) {
    let tables = &mut world.tables;
    if let Some(requests) = tables.requests.by_instance.get(instance) {
        tables.dirty.requests.extend(requests.iter().copied());
    }
    if let Some(calls) = tables.calls.by_instance.get(instance) {
        tables.dirty.lost.extend(calls.iter().cloned());
    }
    wake_partitions(world);
}

fn wake_partitions(world: &mut world::World) {
    let tables = &mut world.tables;
    for (partition, row) in &tables.partitions.rows {
        if !row.waiting.is_empty() {
            tables.dirty.partitions.insert(partition.clone());
        }
    }
}

/// Notes that `instance` was heard of directly, in its start `incarnation`.
pub fn heard(
    world: &mut world::World,
    tick: &world::Tick,
    instance: &ids::InstanceName,
    incarnation: ids::Incarnation,
) {
    let row = world.tables.instances.row(instance);
    row.heard_at = Some(tick.now);
    row.broken_at = None;
    let came_back = std::mem::take(&mut row.suspected);
    let known = row.incarnation.replace(incarnation);
    if known == Some(incarnation) {
        if came_back || known.is_none() {
            wake_partitions(world);
        }
        let probing = world.tables.partitions.rows.values().any(|row| !row.waiting.is_empty());
        if probing {
            wake_partitions(world);
        }
        return;
    }
    row.told_leaving = false;
    if known.is_some() {
        world.event("instance_restarted", instance, "a new start was heard of");
        release_business(world, instance);
    } else {
        wake_partitions(world);
    }
}

/// Notes business with `left` as closed and with `came` as open.
pub fn watch(
    world: &mut world::World,
    tick: &world::Tick,
    left: Option<ids::InstanceName>,
    came: Option<ids::InstanceName>,
) {
    if let Some(instance) = left {
        let row = world.tables.instances.row(&instance);
        row.watches = row.watches.saturating_sub(1);
    }
    let Some(instance) = came else {
        return;
    };
    if instance == world.identity.peer.instance {
        return;
    }
    let at = tick.now.after(probe_interval(world));
    let row = world.tables.instances.row(&instance);
    row.watches += 1;
    if row.watches == 1 {
        row.heard_at = Some(row.heard_at.map_or(tick.now, |heard| latest(heard, tick.now)));
        world.tables.timers.set_earlier(timers::Timer::Probe(instance), at);
    }
}

/// Silence counts from the opening of business, not from an earlier one.
fn latest(heard: time::Timestamp, now: time::Timestamp) -> time::Timestamp {
    heard.max(now)
}
