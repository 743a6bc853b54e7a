//! Keeps the endpoints in step with the platform's list.
//!
//! Entries vanish from the list while the platform's store is away, and come back within a known
//! time once it is there again. Until then an endpoint that has vanished is kept as a last resort.

use std::time;

use crate::ids;
use crate::input;
use crate::systems::journal;
use crate::tables::endpoints;
use crate::tables::timers;
use crate::world;

/// How long entries may take to come back after the list was out of reach; the platform's figure.
const RETURN: time::Duration = time::Duration::from_millis(2_000);

/// Takes the readings of the inbox.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    for reading in std::mem::take(&mut world.tables.inbox.memberships) {
        match reading {
            Some(membership) => listed(world, tick, membership),
            None => unreachable(world, tick),
        }
    }
    if std::mem::take(&mut world.tables.dirty.lapsed) {
        drop_lapsed(world, tick);
    }
}

fn unreachable(world: &mut world::World, tick: &world::Tick) {
    let endpoints = &mut world.tables.endpoints;
    endpoints.contact = None;
    if endpoints.lost_since.is_none() {
        endpoints.lost_since = Some(tick.now);
        world.event("list_lost", format_args!(""));
    }
}

fn listed(world: &mut world::World, tick: &world::Tick, membership: input::Membership) {
    journal::mark_store_reachable(world, tick);
    let endpoints = &mut world.tables.endpoints;
    endpoints.listed = true;
    endpoints.contact = Some(tick.now);
    if let Some(since) = endpoints.lost_since.take() {
        endpoints.keep_lapsed_until = tick.now.after(RETURN);
        world.tables.timers.set(timers::Timer::Lapsed, endpoints.keep_lapsed_until);
        let away_ms = tick.now.since(since).as_millis();
        world.event("list_regained", format_args!("away_ms={away_ms}"));
    }
    remove_missing(world, tick, &membership);
    for (id, listed) in membership.endpoints {
        update(world, id, listed);
    }
}

fn remove_missing(world: &mut world::World, tick: &world::Tick, membership: &input::Membership) {
    let endpoints = &mut world.tables.endpoints;
    let keep = tick.now < endpoints.keep_lapsed_until;
    let missing: Vec<ids::EndpointId> = endpoints
        .rows
        .keys()
        .filter(|id| !membership.endpoints.contains_key(*id))
        .cloned()
        .collect();
    for id in missing {
        if !keep {
            endpoints.rows.remove(&id);
        } else if let Some(row) = endpoints.rows.get_mut(&id) {
            row.lapsed = true;
        }
        let action = if keep { "kept" } else { "removed" };
        world.out.push(event("endpoint_unlisted", format_args!("endpoint={id} action={action}")));
    }
}

fn update(world: &mut world::World, id: ids::EndpointId, listed: input::Endpoint) {
    let endpoints = &mut world.tables.endpoints;
    let Some(row) = endpoints.rows.get_mut(&id) else {
        let detail = format_args!(
            "endpoint={id} service={} address={} domain={} draining={}",
            listed.service, listed.address, listed.domain, listed.draining
        );
        world.out.push(event("endpoint_listed", detail));
        endpoints.rows.insert(id, endpoints::Endpoint::new(listed));
        return;
    };
    if row.listed.draining != listed.draining {
        let detail = format_args!("endpoint={id} draining={}", listed.draining);
        world.out.push(event("endpoint_changed", detail));
    }
    row.lapsed = false;
    row.listed = listed;
}

fn drop_lapsed(world: &mut world::World, tick: &world::Tick) {
    let endpoints = &mut world.tables.endpoints;
    if endpoints.lost_since.is_some() || tick.now < endpoints.keep_lapsed_until {
        return;
    }
    let before = endpoints.rows.len();
    endpoints.rows.retain(|_, row| !row.lapsed);
    let dropped = before - endpoints.rows.len();
    if dropped > 0 {
        world.event("endpoints_lapsed", format_args!("dropped={dropped}"));
    }
}

fn event(name: &'static str, detail: std::fmt::Arguments<'_>) -> crate::output::Output {
    crate::output::Output::Event(crate::output::Event::new(name, detail))
}
