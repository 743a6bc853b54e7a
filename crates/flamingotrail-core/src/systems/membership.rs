//! Cluster membership: combines the platform's instance list, probes and messages from peers.
//!
//! Suspecting an instance decides only when to act (send work elsewhere, claim its partitions),
//! never whether acting is safe.

use std::time as std_time;

use crate::ids;
use crate::messages;
use crate::output;
use crate::systems::configuration;
use crate::systems::due_timers;
use crate::systems::execution;
use crate::systems::outbox;
use crate::tables::timers;
use crate::time;
use crate::world;

/// Delay before a failed fetch of the instance list is retried.
const LIST_RETRY_DELAY: std_time::Duration = std_time::Duration::from_secs(1);

/// Processes instance lists, probes and connection failures, and probes the instances with which
/// this one has open work.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    process_lists(world, tick);
    process_probes(world, tick);
    process_connection_failures(world, tick);
    fetch_list(world);
    run_due_probes(world, tick);
    suspect_disconnected(world, tick);
}

fn process_lists(world: &mut world::World, tick: &world::Tick) {
    for list in std::mem::take(&mut world.tables.inbox.instance_lists) {
        world.tables.instances.fetching = false;
        let delay = match list {
            Some(list) => {
                world.tables.instances.apply_list(&list);
                world.settings.list_interval
            }
            None => LIST_RETRY_DELAY,
        };
        world.tables.timers.set(timers::Timer::ListFetch, tick.now.after(delay));
    }
}

fn fetch_list(world: &mut world::World) {
    let due = due_timers::take_matching(world, |timer| {
        (*timer == timers::Timer::ListFetch).then_some(())
    });
    if due.is_empty() || world.tables.instances.fetching {
        return;
    }
    world.tables.instances.fetching = true;
    world.emit(output::Output::FetchInstanceList);
}

fn process_probes(world: &mut world::World, tick: &world::Tick) {
    for (from, message) in std::mem::take(&mut world.tables.inbox.probe_messages) {
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
                record_load(world, tick, &from, load);
                configuration::request_if_newer(world, tick, &from, version);
            }
            messages::Message::Leaving { incarnation } => {
                let row = world.tables.instances.get_or_insert(&from);
                if row.incarnation == Some(incarnation) {
                    row.announced_leaving = true;
                }
            }
            _ => {}
        }
    }
}

/// Records the load that the instance serving an endpoint reported.
pub fn record_load(
    world: &mut world::World,
    tick: &world::Tick,
    from: &ids::InstanceName,
    load: messages::Load,
) {
    let listed = world.tables.instances.rows.get(from).and_then(|row| row.listed.as_ref());
    let Some(endpoint) = listed.and_then(|listed| listed.endpoint.clone()) else {
        return;
    };
    let row = world.tables.endpoints.get_or_insert(&endpoint);
    row.load = load;
    row.load_reported_at = Some(tick.now);
    row.sent_since_report = 0;
    if load.leaving {
        world.tables.instances.get_or_insert(from).announced_leaving = true;
    }
}

fn process_connection_failures(world: &mut world::World, tick: &world::Tick) {
    for instance in std::mem::take(&mut world.tables.inbox.lost_connections) {
        let row = world.tables.instances.get_or_insert(&instance);
        row.connection_lost_at.get_or_insert(tick.now);
        if row.watch_count == 0 {
            continue;
        }
        ping(world, tick, &instance);
        let at = tick.now.after(world.settings.probe_interval);
        world.tables.timers.set_earlier(timers::Timer::SilenceTimeout(instance), at);
    }
}

/// Sends a probe to `to`.
pub fn ping(world: &mut world::World, tick: &world::Tick, to: &ids::InstanceName) {
    world.tables.instances.last_probe_at = tick.now;
    let incarnation = world.identity.peer.incarnation;
    let version = world.tables.configuration.version();
    outbox::send(world, to, messages::Message::Ping { incarnation, version });
}

fn run_due_probes(world: &mut world::World, tick: &world::Tick) {
    let due = due_timers::take_matching(world, |timer| match timer {
        timers::Timer::Probe(instance) => Some(instance.clone()),
        _ => None,
    });
    for instance in due {
        probe(world, tick, &instance);
    }
}

fn probe(world: &mut world::World, tick: &world::Tick, instance: &ids::InstanceName) {
    let interval = probe_interval(world);
    let row = world.tables.instances.get_or_insert(instance);
    if row.watch_count == 0 {
        return;
    }
    let heard_at = row.last_heard_at.unwrap_or(tick.now);
    row.last_heard_at.get_or_insert(tick.now);
    let silence = tick.now.since(heard_at);
    if silence >= world.settings.suspect_after.max(interval * 2) && !row.suspected {
        mark_suspected(world, tick, instance);
    } else if silence >= interval / 2 {
        ping(world, tick, instance);
    }
    let at = tick.now.after(interval);
    world.tables.timers.set(timers::Timer::Probe(instance.clone()), at);
}

/// Returns the interval between probes of one instance. It grows with the number of watched
/// instances, so that probes stay within their share of the control traffic.
fn probe_interval(world: &world::World) -> std_time::Duration {
    let calls = world.tables.calls.by_instance.len();
    let requests = world.tables.requests.by_instance.len();
    let watched = u32::try_from(calls + requests).unwrap_or(u32::MAX);
    let share =
        std_time::Duration::from_secs(1) * watched / world.settings.probes_per_second.max(1);
    world.settings.probe_interval.max(share)
}

fn suspect_disconnected(world: &mut world::World, tick: &world::Tick) {
    let due = due_timers::take_matching(world, |timer| match timer {
        timers::Timer::SilenceTimeout(instance) => Some(instance.clone()),
        _ => None,
    });
    for instance in due {
        let row = world.tables.instances.get_or_insert(&instance);
        if row.connection_lost_at.is_some() && !row.suspected {
            mark_suspected(world, tick, &instance);
        }
    }
}

/// Marks `instance` as suspected of having failed and moves its open work elsewhere.
pub fn mark_suspected(world: &mut world::World, _tick: &world::Tick, instance: &ids::InstanceName) {
    world.tables.instances.get_or_insert(instance).suspected = true;
    world.event("instance_suspected", instance, "silent");
    release_open_work(world, instance);
}

fn release_open_work(world: &mut world::World, instance: &ids::InstanceName) {
    let tables = &mut world.tables;
    if let Some(requests) = tables.requests.by_instance.get(instance) {
        tables.dirty.requests_to_send.extend(requests.iter().copied());
    }
    if let Some(calls) = tables.calls.by_instance.get(instance) {
        tables.dirty.lost_calls.extend(calls.iter().cloned());
    }
    wake_waiting_partitions(world);
}

fn wake_waiting_partitions(world: &mut world::World) {
    let tables = &mut world.tables;
    for (partition, row) in &tables.partitions.rows {
        if !row.waiting_submits.is_empty() {
            tables.dirty.partitions.insert(partition.clone());
        }
    }
}

/// Records a message received directly from the given incarnation of `instance`.
pub fn record_contact(
    world: &mut world::World,
    tick: &world::Tick,
    instance: &ids::InstanceName,
    incarnation: ids::Incarnation,
) {
    let row = world.tables.instances.get_or_insert(instance);
    row.last_heard_at = Some(tick.now);
    row.connection_lost_at = None;
    let was_suspected = std::mem::take(&mut row.suspected);
    let known = row.incarnation.replace(incarnation);
    if known == Some(incarnation) {
        if was_suspected || known.is_none() {
            wake_waiting_partitions(world);
        }
        let has_waiting_calls =
            world.tables.partitions.rows.values().any(|row| !row.waiting_submits.is_empty());
        if has_waiting_calls {
            wake_waiting_partitions(world);
        }
        return;
    }
    row.announced_leaving = false;
    if known.is_some() {
        world.event("instance_restarted", instance, "a new incarnation was observed");
        release_open_work(world, instance);
    } else {
        wake_waiting_partitions(world);
    }
}

/// Decrements the watch count of `previous` and increments that of `next`. Probing of `next` starts
/// when its count becomes 1.
pub fn update_watches(
    world: &mut world::World,
    tick: &world::Tick,
    previous: Option<ids::InstanceName>,
    next: Option<ids::InstanceName>,
) {
    if let Some(instance) = previous {
        let row = world.tables.instances.get_or_insert(&instance);
        row.watch_count = row.watch_count.saturating_sub(1);
    }
    let Some(instance) = next else {
        return;
    };
    if instance == world.identity.peer.instance {
        return;
    }
    let at = tick.now.after(probe_interval(world));
    let row = world.tables.instances.get_or_insert(&instance);
    row.watch_count += 1;
    if row.watch_count == 1 {
        row.last_heard_at =
            Some(row.last_heard_at.map_or(tick.now, |heard| silence_start(heard, tick.now)));
        world.tables.timers.set_earlier(timers::Timer::Probe(instance), at);
    }
}

/// Returns the start of an instance's silence: when work with it was opened, not an earlier
/// message.
fn silence_start(heard: time::Timestamp, now: time::Timestamp) -> time::Timestamp {
    heard.max(now)
}
