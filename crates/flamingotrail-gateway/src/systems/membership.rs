//! Keeps the endpoints in sync with the platform's list.
//!
//! During an outage of the platform's store, entries disappear from the list; they return within a
//! known time after the outage. Until then, missing endpoints are kept, but used only if there is
//! no other.

use std::time;

use crate::ids;
use crate::input;
use crate::systems::journal;
use crate::tables::endpoints;
use crate::tables::timers;
use crate::world;

/// Time within which entries return after an outage of the list, as the platform specifies it.
const RELIST_TIME: time::Duration = time::Duration::from_millis(2_000);

/// Applies the list snapshots in the inbox.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    for snapshot in std::mem::take(&mut world.tables.inbox.memberships) {
        match snapshot {
            Some(membership) => apply_membership(world, tick, membership),
            None => handle_list_failure(world, tick),
        }
    }
    if std::mem::take(&mut world.tables.dirty.lapsed_endpoints) {
        remove_lapsed(world, tick);
    }
}

fn handle_list_failure(world: &mut world::World, tick: &world::Tick) {
    journal::record_store_failure(world, tick, format_args!("list=unreadable"));
    let endpoints = &mut world.tables.endpoints;
    endpoints.last_read = None;
    if endpoints.unreadable_since.is_none() {
        endpoints.unreadable_since = Some(tick.now);
        world.emit_event("list_lost", format_args!(""));
    }
}

fn apply_membership(world: &mut world::World, tick: &world::Tick, membership: input::Membership) {
    journal::mark_store_reachable(world, tick);
    let endpoints = &mut world.tables.endpoints;
    endpoints.is_loaded = true;
    endpoints.last_read = Some(tick.now);
    if let Some(since) = endpoints.unreadable_since.take() {
        endpoints.keep_lapsed_until = tick.now.after(RELIST_TIME);
        world.tables.timers.set(timers::Timer::LapsedEndpoints, endpoints.keep_lapsed_until);
        let away_ms = tick.now.since(since).as_millis();
        world.emit_event("list_regained", format_args!("away_ms={away_ms}"));
    }
    remove_missing(world, tick, &membership);
    let listed = &membership.endpoints;
    world.tables.notices.remove_unlisted(|id| listed.contains_key(id), tick.now);
    for (id, listed) in membership.endpoints {
        update_endpoint(world, id, listed);
    }
}

/// Removes the endpoints that are not in the list, or marks them as lapsed shortly after an outage.
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
            world.tables.dirty.ended_endpoints.insert(id.clone());
        } else if let Some(row) = endpoints.rows.get_mut(&id) {
            row.lapsed = true;
        }
        let action = if keep { "kept" } else { "removed" };
        world
            .outputs
            .push(event("endpoint_unlisted", format_args!("endpoint={id} action={action}")));
    }
}

/// Adds an endpoint, or updates what the list says of it.
fn update_endpoint(world: &mut world::World, id: ids::EndpointId, listed: input::Endpoint) {
    if let Some(started_at_ms) = listed.started_at_ms {
        let row = world.tables.endpoints.rows.get(&id);
        // The row outlives what the announcements know of an endpoint that is missing for a while.
        let known = row.and_then(|row| row.listed.started_at_ms);
        let has_other_start = known.is_some_and(|known| known != started_at_ms);
        if world.tables.notices.record_start(&id, started_at_ms) || has_other_start {
            world.tables.endpoints.rows.remove(&id);
            world.tables.dirty.ended_endpoints.insert(id.clone());
            world.emit_event("endpoint_restarted", format_args!("endpoint={id}"));
        }
    }
    let endpoints = &mut world.tables.endpoints;
    let Some(row) = endpoints.rows.get_mut(&id) else {
        let detail = format_args!(
            "endpoint={id} service={} address={} domain={} draining={}",
            listed.service, listed.address, listed.domain, listed.draining
        );
        world.outputs.push(event("endpoint_listed", detail));
        endpoints.rows.insert(id, endpoints::Endpoint::new(listed));
        return;
    };
    if listed.draining && !row.listed.draining {
        // It has outlived the requests that were lost there, and may end with others.
        world.tables.crashes.clear_losses(&id);
    }
    if row.listed.draining != listed.draining {
        let detail = format_args!("endpoint={id} draining={}", listed.draining);
        world.outputs.push(event("endpoint_changed", detail));
    }
    row.lapsed = false;
    row.listed = listed;
}

/// Removes the lapsed endpoints once the time for their return has passed.
fn remove_lapsed(world: &mut world::World, tick: &world::Tick) {
    let endpoints = &mut world.tables.endpoints;
    if endpoints.unreadable_since.is_some() || tick.now < endpoints.keep_lapsed_until {
        return;
    }
    let removed = endpoints.rows.extract_if(.., |_, row| row.lapsed).map(|(id, _)| id);
    let removed: Vec<ids::EndpointId> = removed.collect();
    if !removed.is_empty() {
        let count = removed.len();
        world.tables.dirty.ended_endpoints.extend(removed);
        world.emit_event("endpoints_lapsed", format_args!("dropped={count}"));
    }
}

fn event(name: &'static str, detail: std::fmt::Arguments<'_>) -> crate::output::Output {
    crate::output::Output::Event(crate::output::Event::new(name, detail))
}
