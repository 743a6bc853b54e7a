//! Holds on cached context. The partition owner decides the lease of a hold; the endpoint's
//! instance manages leases, releases holds and reconciles them with the endpoint's reports.
//!
//! Releasing a hold never depends on a single message: a hold ends when its program ends, when its
//! lease expires, or, if this instance does not know it, soon after the endpoint reports it.

use std::time as std_time;

use crate::ids;
use crate::messages;
use crate::output;
use crate::policy;
use crate::systems::due_timers;
use crate::systems::programs;
use crate::tables::conversations;
use crate::tables::holds;
use crate::tables::timers;
use crate::work;
use crate::world;

/// Delay before an unconfirmed release is retried.
const RELEASE_RETRY_DELAY: std_time::Duration = std_time::Duration::from_secs(1);
/// Lease of a hold that the endpoint reports and that an earlier incarnation of this instance
/// created.
const ADOPTED_LEASE: std_time::Duration = std_time::Duration::from_secs(30);
/// Age from which a hold that the endpoint does not report is removed. Younger holds may be missing
/// because reports lag.
const MAX_REPORT_LAG: std_time::Duration = std_time::Duration::from_secs(10);

/// Processes the endpoint's reports, releases, expired leases and release results, and sends the
/// releases that are due.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    process_reports(world, tick);
    fetch_report_when_due(world, tick);
    for hold in std::mem::take(&mut world.tables.inbox.releases) {
        request_release(world, hold);
    }
    let expired = due_timers::take_matching(world, |timer| match timer {
        timers::Timer::HoldExpiry(hold) => Some(*hold),
        _ => None,
    });
    for hold in expired {
        request_release(world, hold);
    }
    process_release_results(world, tick);
    for hold in std::mem::take(&mut world.tables.dirty.holds_to_release) {
        send_release(world, tick, hold);
    }
}

fn fetch_report_when_due(world: &mut world::World, tick: &world::Tick) {
    let due = due_timers::take_matching(world, |timer| {
        (*timer == timers::Timer::ReportFetch).then_some(())
    });
    if due.is_empty() || world.tables.endpoints.fetching_report {
        return;
    }
    let _ = tick;
    world.tables.endpoints.fetching_report = true;
    world.emit(output::Output::FetchEndpointReport);
}

/// Factor by which reports are fetched less often while the endpoint is idle.
const IDLE_REPORT_FACTOR: u32 = 10;

fn process_reports(world: &mut world::World, tick: &world::Tick) {
    for report in std::mem::take(&mut world.tables.inbox.endpoint_reports) {
        let idle = world.tables.runs.rows.is_empty() && world.tables.holds.rows.is_empty();
        let factor = if idle { IDLE_REPORT_FACTOR } else { 1 };
        let endpoints = &mut world.tables.endpoints;
        endpoints.fetching_report = false;
        endpoints.healthy = report.is_some();
        if let Some(report) = report {
            endpoints.prefill_rate = report.prefill_rate;
            endpoints.pressure = report.pressure;
            reconcile_holds(world, tick, &report.holds);
        }
        let at = tick.now.after(world.settings.report_interval * factor);
        world.tables.timers.set(timers::Timer::ReportFetch, at);
    }
}

/// Reconciles the holds that the endpoint reports with the holds that this instance knows.
fn reconcile_holds(world: &mut world::World, tick: &world::Tick, reported: &[ids::HoldId]) {
    for id in reported {
        if world.tables.holds.rows.contains_key(id) {
            continue;
        }
        let expires_at = tick.now.after(ADOPTED_LEASE);
        let hold =
            holds::Hold { program: None, expires_at, releasing: false, known_since: tick.now };
        world.tables.holds.insert(*id, hold);
        world.tables.timers.set(timers::Timer::HoldExpiry(*id), expires_at);
    }
    let unreported: Vec<ids::HoldId> = world
        .tables
        .holds
        .rows
        .iter()
        .filter(|(id, row)| {
            !reported.contains(id)
                && tick.now.since(row.known_since) > MAX_REPORT_LAG
                && !row.releasing
        })
        .map(|(id, _)| *id)
        .collect();
    for id in unreported {
        remove_hold(world, id);
    }
}

fn remove_hold(world: &mut world::World, id: ids::HoldId) {
    world.tables.holds.remove(id);
    world.tables.timers.clear(&timers::Timer::HoldExpiry(id));
    world.tables.timers.clear(&timers::Timer::HoldRelease(id));
}

fn request_release(world: &mut world::World, id: ids::HoldId) {
    let Some(row) = world.tables.holds.rows.get_mut(&id) else {
        return;
    };
    row.releasing = true;
    world.tables.dirty.holds_to_release.insert(id);
}

fn send_release(world: &mut world::World, tick: &world::Tick, hold: ids::HoldId) {
    let releasing = world.tables.holds.rows.get(&hold).is_some_and(|row| row.releasing);
    if !releasing {
        return;
    }
    let fencing_token = world.tables.endpoints.fencing_token;
    world.emit(output::Output::ReleaseHold { hold, fencing_token });
    let at = tick.now.after(RELEASE_RETRY_DELAY);
    world.tables.timers.set(timers::Timer::HoldRelease(hold), at);
}

fn process_release_results(world: &mut world::World, _tick: &world::Tick) {
    for (hold, confirmed) in std::mem::take(&mut world.tables.inbox.release_results) {
        if confirmed {
            remove_hold(world, hold);
        }
    }
}

/// Registers the hold that an attempt is about to create. From then on, the hold expires regardless
/// of how the attempt ends.
pub fn register(world: &mut world::World, tick: &world::Tick, dispatch: &messages::Dispatch) {
    let messages::Job::Model { hold: Some(hold_lease), .. } = &dispatch.job else {
        return;
    };
    let expires_at = tick.now.after(dispatch.time_left + hold_lease.lease);
    insert_hold(world, tick, dispatch, hold_lease.id, expires_at);
}

fn insert_hold(
    world: &mut world::World,
    tick: &world::Tick,
    dispatch: &messages::Dispatch,
    id: ids::HoldId,
    expires_at: crate::time::Timestamp,
) {
    let program = Some(dispatch.program.clone());
    let hold = holds::Hold { program, expires_at, releasing: false, known_since: tick.now };
    world.tables.holds.insert(id, hold);
    world.tables.timers.set(timers::Timer::HoldExpiry(id), expires_at);
}

/// Starts the lease of the hold of an attempt that ended with a complete response, and releases the
/// hold that it replaces.
pub fn start_lease(world: &mut world::World, tick: &world::Tick, dispatch: &messages::Dispatch) {
    let messages::Job::Model { hold, replaces, .. } = &dispatch.job else {
        return;
    };
    if let Some(replaced) = replaces {
        request_release(world, *replaced);
    }
    let Some(hold_lease) = hold else {
        return;
    };
    let released = world.tables.holds.rows.get(&hold_lease.id).is_some_and(|row| row.releasing);
    if !released {
        insert_hold(world, tick, dispatch, hold_lease.id, tick.now.after(hold_lease.lease));
    }
}

/// Returns the lease under which the endpoint is to hold the context of a call after the call;
/// `None` to hold nothing. Called by the owner.
pub fn choose_lease(
    world: &mut world::World,
    key: &ids::CallKey,
    candidate: &policy::Candidate,
) -> Option<messages::HoldLease> {
    let row = world.tables.conversations.rows.get(&key.conversation)?;
    let endpoint = world.tables.endpoints.rows.get(&candidate.endpoint);
    let context = policy::RetentionContext {
        tokens: candidate.prompt_tokens,
        pressure: endpoint.map_or(0.0, |row| row.load.pressure),
        turns: row.last_turn,
        max_lease: world.settings.hold_lease,
    };
    let lease = world.policies.retention.lease(&context)?;
    let id = ids::HoldId(world.rng.next_u64());
    Some(messages::HoldLease { id, lease })
}

/// Releases the hold of a conversation that is about to run on `endpoint` if the hold is on another
/// endpoint. Otherwise returns it, so that the call replaces it.
pub fn release_elsewhere(
    world: &mut world::World,
    tick: &world::Tick,
    key: &ids::CallKey,
    endpoint: &ids::EndpointName,
) -> Option<ids::HoldId> {
    let row = world.tables.conversations.rows.get(&key.conversation)?;
    let location = row.context_location.as_ref()?;
    if location.endpoint == *endpoint {
        return location.hold;
    }
    programs::release_conversation_hold(world, tick, &key.conversation);
    None
}

/// Records the endpoint and the instance that have a conversation's context after a call.
pub fn record_context_location(
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
    row.last_response_at = Some(tick.now);
    // Counts tokens of the previous context that the engine had to compute again.
    let previously_cached = row.context_location.as_ref().map_or(0, |location| location.tokens);
    let recomputed = previously_cached.min(usage.prompt_tokens).saturating_sub(usage.cached_tokens);
    row.context_location = Some(conversations::ContextLocation {
        endpoint: endpoint.clone(),
        instance: instance.clone(),
        hold,
        tokens: usage.prompt_tokens.saturating_add(usage.completion_tokens),
        used_at: tick.now,
    });
    if recomputed > 0 {
        let metric = output::Metric::WastedCacheTokens(u64::from(recomputed));
        world.emit(output::Output::Metric(metric));
    }
}
