//! Cached context: terms of holds at the owner; leases, release and reconciliation at the process
//! beside the endpoint. Reclaim never depends on one message: a hold ends with its program, on
//! expiry, or when the endpoint reports one that nobody knows.

use std::time as std_time;

use crate::ids;
use crate::messages;
use crate::output;
use crate::policy;
use crate::systems::programs;
use crate::systems::timers as due;
use crate::tables::conversations;
use crate::tables::holds;
use crate::tables::timers;
use crate::work;
use crate::world;

/// Delay before an order that was not confirmed is sent again.
const ORDER_RETRY: std_time::Duration = std_time::Duration::from_secs(1);
/// How long a hold that an earlier start of this process made is kept.
const ADOPTED_LEASE: std_time::Duration = std_time::Duration::from_secs(30);
/// Age from which a hold that the endpoint no longer reports is forgotten; reports lag.
const REPORT_LAG: std_time::Duration = std_time::Duration::from_secs(10);

/// Takes reports, releases and ends of orders, and gives the orders that are due.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    take_reports(world, tick);
    fetch_due(world, tick);
    for hold in std::mem::take(&mut world.tables.inbox.releases) {
        release(world, hold);
    }
    let expired = due::take_due(world, |timer| match timer {
        timers::Timer::Hold(hold) => Some(*hold),
        _ => None,
    });
    for hold in expired {
        release(world, hold);
    }
    take_orders(world, tick);
    for hold in std::mem::take(&mut world.tables.dirty.holds) {
        order(world, tick, hold);
    }
}

fn fetch_due(world: &mut world::World, tick: &world::Tick) {
    let due = due::take_due(world, |timer| (*timer == timers::Timer::Report).then_some(()));
    if due.is_empty() || world.tables.endpoints.reporting {
        return;
    }
    let _ = tick;
    world.tables.endpoints.reporting = true;
    world.emit(output::Output::FetchReport);
}

/// Idle endpoints are asked less often, by this factor.
const IDLE_FACTOR: u32 = 10;

fn take_reports(world: &mut world::World, tick: &world::Tick) {
    for report in std::mem::take(&mut world.tables.inbox.reports) {
        let idle = world.tables.runs.rows.is_empty() && world.tables.holds.rows.is_empty();
        let factor = if idle { IDLE_FACTOR } else { 1 };
        let endpoints = &mut world.tables.endpoints;
        endpoints.reporting = false;
        endpoints.healthy = report.is_some();
        if let Some(report) = report {
            endpoints.prefill_rate = report.prefill_rate;
            endpoints.pressure = report.pressure;
            reconcile(world, tick, &report.holds);
        }
        let at = tick.now.after(world.settings.report_interval * factor);
        world.tables.timers.set(timers::Timer::Report, at);
    }
}

/// Compares what the endpoint keeps with what this process knows.
fn reconcile(world: &mut world::World, tick: &world::Tick, reported: &[ids::HoldId]) {
    for id in reported {
        if world.tables.holds.rows.contains_key(id) {
            continue;
        }
        let expires = tick.now.after(ADOPTED_LEASE);
        let hold = holds::Hold { program: None, expires, releasing: false, since: tick.now };
        world.tables.holds.insert(*id, hold);
        world.tables.timers.set(timers::Timer::Hold(*id), expires);
    }
    let gone: Vec<ids::HoldId> = world
        .tables
        .holds
        .rows
        .iter()
        .filter(|(id, row)| {
            !reported.contains(id) && tick.now.since(row.since) > REPORT_LAG && !row.releasing
        })
        .map(|(id, _)| *id)
        .collect();
    for id in gone {
        forget(world, id);
    }
}

fn forget(world: &mut world::World, id: ids::HoldId) {
    world.tables.holds.remove(id);
    world.tables.timers.clear(&timers::Timer::Hold(id));
    world.tables.timers.clear(&timers::Timer::HoldRelease(id));
}

fn release(world: &mut world::World, id: ids::HoldId) {
    let Some(row) = world.tables.holds.rows.get_mut(&id) else {
        return;
    };
    row.releasing = true;
    world.tables.dirty.holds.insert(id);
}

fn order(world: &mut world::World, tick: &world::Tick, hold: ids::HoldId) {
    let releasing = world.tables.holds.rows.get(&hold).is_some_and(|row| row.releasing);
    if !releasing {
        return;
    }
    let fence = world.tables.endpoints.fence;
    world.emit(output::Output::ReleaseHold { hold, fence });
    let at = tick.now.after(ORDER_RETRY);
    world.tables.timers.set(timers::Timer::HoldRelease(hold), at);
}

fn take_orders(world: &mut world::World, _tick: &world::Tick) {
    for (hold, confirmed) in std::mem::take(&mut world.tables.inbox.orders) {
        if confirmed {
            forget(world, hold);
        }
    }
}

/// Notes the hold that a run is about to make: from here on it ends on expiry, whatever becomes of
/// the run.
pub fn register(world: &mut world::World, tick: &world::Tick, dispatch: &messages::Dispatch) {
    let messages::Job::Model { hold: Some(terms), .. } = &dispatch.job else {
        return;
    };
    let expires = tick.now.after(dispatch.time_left + terms.lease);
    keep(world, tick, dispatch, terms.id, expires);
}

fn keep(
    world: &mut world::World,
    tick: &world::Tick,
    dispatch: &messages::Dispatch,
    id: ids::HoldId,
    expires: crate::time::Timestamp,
) {
    let program = Some(dispatch.program.clone());
    let hold = holds::Hold { program, expires, releasing: false, since: tick.now };
    world.tables.holds.insert(id, hold);
    world.tables.timers.set(timers::Timer::Hold(id), expires);
}

/// A run ended with a complete answer: its hold's lease starts, the one it replaces is released.
pub fn start_lease(world: &mut world::World, tick: &world::Tick, dispatch: &messages::Dispatch) {
    let messages::Job::Model { hold, replaces, .. } = &dispatch.job else {
        return;
    };
    if let Some(replaced) = replaces {
        release(world, *replaced);
    }
    let Some(terms) = hold else {
        return;
    };
    let released = world.tables.holds.rows.get(&terms.id).is_some_and(|row| row.releasing);
    if !released {
        keep(world, tick, dispatch, terms.id, tick.now.after(terms.lease));
    }
}

/// Terms on which the context of a call is to be kept after it, at the owner.
pub fn lease_terms(
    world: &mut world::World,
    key: &ids::CallKey,
    candidate: &policy::Candidate,
) -> Option<messages::HoldTerms> {
    let row = world.tables.conversations.rows.get(&key.conversation)?;
    let endpoint = world.tables.endpoints.rows.get(&candidate.endpoint);
    let view = policy::Pause {
        tokens: candidate.prompt_tokens,
        pressure: endpoint.map_or(0.0, |row| row.load.pressure),
        turns: row.last,
        longest: world.settings.hold_lease,
    };
    let lease = world.policies.retention.lease(&view)?;
    let id = ids::HoldId(world.rng.draw());
    Some(messages::HoldTerms { id, lease })
}

/// A conversation is about to run on `endpoint`: a hold elsewhere is let go of; one there is
/// returned, to be replaced.
pub fn release_elsewhere(
    world: &mut world::World,
    tick: &world::Tick,
    key: &ids::CallKey,
    endpoint: &ids::EndpointName,
) -> Option<ids::HoldId> {
    let row = world.tables.conversations.rows.get(&key.conversation)?;
    let place = row.place.as_ref()?;
    if place.endpoint == *endpoint {
        return place.hold;
    }
    programs::release_place(world, tick, &key.conversation);
    None
}

/// Notes where a conversation's context is after a call.
pub fn record_cache_location(
    world: &mut world::World,
    tick: &world::Tick,
    key: &ids::CallKey,
    endpoint: &ids::EndpointName,
    instance: &ids::InstanceName,
    usage: &work::Usage,
) {
    let Some(call) = world.tables.calls.rows.get(key) else {
        return;
    };
    if !matches!(call.work, work::Work::Model { .. }) {
        return;
    }
    let hold = call.hold;
    let Some(row) = world.tables.conversations.rows.get_mut(&key.conversation) else {
        return;
    };
    row.answered_at = Some(tick.now);
    // Cached tokens of the last call that had to be computed again.
    let had = row.place.as_ref().map_or(0, |place| place.tokens);
    let again = had.min(usage.prompt_tokens).saturating_sub(usage.cached_tokens);
    row.place = Some(conversations::Place {
        endpoint: endpoint.clone(),
        instance: instance.clone(),
        hold,
        tokens: usage.prompt_tokens.saturating_add(usage.completion_tokens),
        at: tick.now,
    });
    if again > 0 {
        let measure = output::Measure::WastedCacheTokens(u64::from(again));
        world.emit(output::Output::Measure(measure));
    }
}
