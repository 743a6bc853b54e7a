//! Selects an endpoint for each waiting call and sends the call to it.

use std::time;

use flamingotrail_core::time as core_time;

use crate::ids;
use crate::input;
use crate::output;
use crate::policy;
use crate::systems::admission;
use crate::systems::admission_control;
use crate::systems::admission_order;
use crate::systems::allowances;
use crate::systems::completion;
use crate::systems::crashes;
use crate::systems::identity;
use crate::tables::calls;
use crate::tables::endpoints;
use crate::tables::notices;
use crate::tables::timers;
use crate::world;

/// A call waits for its share of a limit for at most its route's target latency divided by this
/// number: after a longer wait, a refusal would leave the caller too little time to try elsewhere.
const MAX_WAIT_DIVISOR: u32 = 4;
/// Number of refused attempts, in addition to the route's maximum, after which a call fails.
const MAX_REFUSALS: u32 = 4;
/// A repeatable attempt counts as slow after the remaining time divided by this number.
const SLOW_ATTEMPT_DIVISOR: u32 = 3;
/// Callers follow a request to return later only if the delay is at most their remaining time
/// divided by this number.
pub(crate) const PATIENCE_DIVISOR: u32 = 3;
/// Lowest rate at which refused callers are asked to return, in callers per second.
const MIN_RETURN_RATE_PER_S: f64 = 0.1;

/// Costs that differ by less than the delay of this many requests count as equal: gateways don't know of
/// the newest requests of others. It is less than one, so that a gateway's own requests are told apart.
const NEAR_COST_REQUESTS: f64 = 0.5;

/// The result of selecting an endpoint for a call.
enum Selection {
    /// An endpoint that the call can be sent to now.
    Endpoint(ids::EndpointId),
    /// All endpoints have reached their limits. Contains the time at which this gateway may send
    /// the next request to one of them; `None` if it has no share of the limits.
    Limited(Option<core_time::Timestamp>),
    /// There is no endpoint.
    None,
}

/// Places the waiting calls in the order of admission.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    let unplaced = std::mem::take(&mut world.tables.dirty.unplaced_calls);
    let tables = &world.tables;
    let mut waiting: Vec<(admission_order::Place, ids::CallId)> = unplaced
        .into_iter()
        .filter_map(|id| {
            Some((admission_order::place(tables, tables.calls.rows.get(&id)?, tick.now), id))
        })
        .collect();
    waiting.sort_unstable();
    for (_, id) in waiting {
        place(world, tick, id);
    }
}

/// Sends a call to an endpoint; refuses it if its reservation was denied, if too many attempts have
/// failed, or if it is a first turn that would wait too long.
fn place(world: &mut world::World, tick: &world::Tick, id: ids::CallId) {
    let Some(call) = world.tables.calls.rows.get(&id) else { return };
    if call.phase != calls::Phase::Placing {
        return;
    }
    if let Some(refusal) = identity::refusal(world, call) {
        completion::refuse(world, tick, id, refusal);
        return;
    }
    if call.turn.as_ref().is_some_and(|turn| turn.reservation == calls::Reservation::Denied) {
        completion::refuse_over_budget(world, tick, id);
        return;
    }
    if call.attempts > MAX_REFUSALS + call.max_attempts {
        completion::fail_call(world, tick, id);
        return;
    }
    if crashes::hold_or_refuse(world, tick, id)
        || admission_control::refuse_if_hopeless(world, tick, id)
        || !allowances::admits(world, tick, id)
    {
        return;
    }
    let Some(call) = world.tables.calls.rows.get(&id) else { return };
    match select_endpoint(world, tick, call) {
        Selection::Endpoint(endpoint) => send(world, tick, id, endpoint),
        Selection::Limited(due) => wait_for_share(world, tick, id, due),
        Selection::None => completion::fail_call(world, tick, id),
    }
}

/// Schedules another try for the time `due` at which this gateway may send the next request, or
/// refuses the call at once if that is too late.
fn wait_for_share(
    world: &mut world::World,
    tick: &world::Tick,
    id: ids::CallId,
    due: Option<core_time::Timestamp>,
) {
    let Some(call) = world.tables.calls.rows.get(&id) else { return };
    let wait_end = call.arrival.received.after(call.target_latency / MAX_WAIT_DIVISOR);
    match due {
        Some(due) if due <= wait_end.min(call.deadline) => {
            world.tables.timers.set(timers::Timer::CallRetry(id), due);
        }
        _ if call.possible_runs > 0 => completion::fail_call(world, tick, id),
        _ => {
            let retry_after = Some(schedule_return(world, tick, id, due));
            let reason = output::Reason::Unavailable;
            completion::refuse(world, tick, id, output::Refusal { reason, retry_after });
        }
    }
}

/// Returns how long the caller of a call should wait before it tries again: refused callers return
/// at the pace of this gateway's share of the limits, or soon if it has none, since others have.
fn schedule_return(
    world: &mut world::World,
    tick: &world::Tick,
    id: ids::CallId,
    due: Option<core_time::Timestamp>,
) -> time::Duration {
    let tables = &mut world.tables;
    let Some(call) = tables.calls.rows.get(&id) else { return admission::DEFAULT_RETRY_AFTER };
    let Some(due) = due else { return admission::DEFAULT_RETRY_AFTER };
    let endpoints = tables.endpoints.rows.iter();
    let shares = endpoints
        .filter(|(id, row)| serves(&tables.notices, id, row, &call.service))
        .filter_map(|(id, _)| tables.notices.share_per_s(id));
    let rate = shares.sum::<f64>().max(MIN_RETURN_RATE_PER_S);
    let interval = time::Duration::from_secs_f64(1.0 / rate);
    let patience = call.remaining_time(tick.now) / PATIENCE_DIVISOR;
    let wait = tables.returns.schedule(&call.service, due, interval, patience, tick.now);
    wait.max(admission::DEFAULT_RETRY_AFTER)
}

/// Whether an endpoint provides `service` and is not leaving, according to the list or to its own
/// announcement, whichever came first.
pub(crate) fn serves(
    notices: &notices::Notices,
    id: &ids::EndpointId,
    row: &endpoints::Endpoint,
    service: &ids::ServiceName,
) -> bool {
    &row.listed.service == service && !row.listed.draining && !notices.is_leaving(id)
}

/// Selects an endpoint among those that accept a request now: one of the lowest costs, for a call to an
/// engine by a hash of the call, else by the gateway's own order; a suspect one only if there is no other.
fn select_endpoint(world: &world::World, tick: &world::Tick, call: &calls::Call) -> Selection {
    let request = placement_request(world, tick, call);
    let candidates = candidates(world, tick, call);
    let accepting = candidates.iter().filter(|(_, _, due)| due.is_some_and(|due| due <= tick.now));
    let ranked: Vec<policy::choice::Ranked<'_>> = accepting
        .map(|(id, row, _)| {
            let candidate = placement_candidate(world, id, row);
            policy::choice::Ranked {
                id,
                is_suspect: row.lapsed || row.avoid_until > tick.now,
                cost: world.placement.cost(&request, &candidate),
                uncached_tokens: policy::prompts::uncached_tokens(&request, &candidate),
                is_limited: candidate.is_limited,
            }
        })
        .collect();
    let chosen = if request.is_engine {
        let margin = request.profile.request_ms * NEAR_COST_REQUESTS;
        // The call comes last: the hash mixes the end of a text worse than its beginning.
        let key = format!("{}/{}/{}", world.identity.instance, call.attempts, call.arrival.id);
        let order = |id: &ids::EndpointId| ids::stable_hash(&format!("{id}/{key}"));
        policy::choice::choose(&ranked, margin, order)
    } else {
        let order =
            |id: &ids::EndpointId| ids::stable_hash(&format!("{}/{id}", world.identity.instance));
        policy::choice::choose(&ranked, 0.0, order)
    };
    match chosen {
        Some(chosen) => Selection::Endpoint(chosen.id.clone()),
        None if candidates.is_empty() => Selection::None,
        None => Selection::Limited(candidates.iter().filter_map(|(_, _, due)| *due).min()),
    }
}

/// Returns the properties of a call that placement depends on.
fn placement_request<'a>(
    world: &'a world::World,
    tick: &world::Tick,
    call: &'a calls::Call,
) -> policy::Request<'a> {
    let previous = call.turn.as_ref().and_then(|turn| turn.previous());
    let usage = call.arrival.usage;
    policy::Request {
        prompt: &call.arrival.prompt,
        prompt_tokens: usage.map_or(0, |usage| usage.prompt),
        call_tokens: usage.map_or(0, |usage| usage.prompt.saturating_add(usage.max_output)),
        previous: previous
            .and_then(|turn| world.tables.turns.rows.get(turn))
            .map(|row| &row.endpoint),
        affinity: call.arrival.affinity.filter(|_| world.tables.routes.is_sticky(&call.route)),
        is_engine: call.engine.is_some(),
        memory_tokens: call.engine.as_ref().and_then(|engine| engine.memory_tokens),
        profile: world.tables.profiles.profile(&call.service),
        now: tick.now,
    }
}

/// Returns the properties of an endpoint that placement depends on.
fn placement_candidate<'a>(
    world: &world::World,
    id: &'a ids::EndpointId,
    row: &'a endpoints::Endpoint,
) -> policy::Candidate<'a> {
    let is_limited = world.tables.notices.limit(id).is_some();
    policy::Candidate { id, row, way_ms: way_ms(world, &row.listed.domain), is_limited }
}

/// Returns the expected round-trip time to the endpoints of `domain`, in milliseconds.
fn way_ms(world: &world::World, domain: &ids::DomainName) -> f64 {
    let own = &world.identity;
    let is_own_region = own.regions.get(domain) == Some(&own.region);
    world.tables.ways.expected_ms(domain, *domain == own.domain, is_own_region)
}

/// Returns the endpoints that may run a call, each with the time at which it accepts a request:
/// those that were not tried, or else, for a call that may run again, those that ran it before.
fn candidates<'a>(
    world: &'a world::World,
    tick: &world::Tick,
    call: &calls::Call,
) -> Vec<(&'a ids::EndpointId, &'a endpoints::Endpoint, Option<core_time::Timestamp>)> {
    let tables = &world.tables;
    let serving = || {
        let rows = tables.endpoints.rows.iter();
        rows.filter(|(id, row)| serves(&tables.notices, id, row, &call.service))
            .map(|(id, row)| (id, row, tables.notices.next_due(id, tick.now)))
    };
    let mut candidates: Vec<_> = serving()
        .filter(|(id, ..)| call.may_use_another_endpoint() && !call.tried_endpoints.contains(*id))
        .collect();
    if candidates.is_empty() && call.may_retry() {
        candidates.extend(serving().filter(|(id, ..)| call.ran_endpoints.contains(*id)));
    }
    candidates
}

/// Returns the row of an attempt that is about to be sent, with what placement expects of it.
fn new_attempt(
    world: &world::World,
    tick: &world::Tick,
    id: ids::CallId,
    endpoint: &ids::EndpointId,
) -> Option<calls::RunningAttempt> {
    let call = world.tables.calls.rows.get(&id)?;
    let row = world.tables.endpoints.rows.get(endpoint)?;
    let request = placement_request(world, tick, call);
    let candidate = placement_candidate(world, endpoint, row);
    let affinity =
        request.affinity.map(|object| (object, row.affinities.contains(object, tick.now)));
    let expected_load = policy::load::expected_load(row, request.profile.duration_ms, tick.now);
    let memory_use = request
        .memory_tokens
        .map(|_| policy::memory::expected_use(&request, &candidate, expected_load));
    Some(calls::RunningAttempt {
        endpoint: endpoint.clone(),
        started_at_ms: row.listed.started_at_ms,
        sent_at: tick.now,
        began_at: None,
        reported_load: None,
        uncached_tokens: policy::prompts::uncached_tokens(&request, &candidate),
        tokens: request.call_tokens,
        expected_memory: memory_use.map_or(0, |memory_use| memory_use.tokens as u64),
        expected_load,
        expected_slowdown: row.slowdown.factor(request.profile.slowdown, tick.now),
        expected_way: time::Duration::from_secs_f64(candidate.way_ms / 1000.0),
        affinity,
    })
}

/// Sends a call to `endpoint`, with the texts of the turns that it continues.
fn send(world: &mut world::World, tick: &world::Tick, id: ids::CallId, endpoint: ids::EndpointId) {
    let tokens_per_event = completion::tokens_per_event(world, id);
    let Some(running) = new_attempt(world, tick, id, &endpoint) else { return };
    let waiting = world.tables.calls.rows.get(&id);
    let urgency = waiting.and_then(|call| admission_order::urgency(&world.tables, call));
    let tables = &mut world.tables;
    let Some(call) = tables.calls.rows.get_mut(&id) else { return };
    let Some(row) = tables.endpoints.rows.get_mut(&endpoint) else { return };
    let mut body = Vec::new();
    if let Some(previous) = call.turn.as_ref().and_then(|turn| turn.previous()) {
        match tables.turns.chain(previous) {
            Ok(texts) => body = texts,
            Err(_) => {
                // The turn expired after the lookup; look it up again.
                call.phase = calls::Phase::Resolving;
                tables.dirty.calls.insert(id);
                return;
            }
        }
    }
    body.push(call.arrival.body.clone());
    call.attempts += 1;
    call.phase = calls::Phase::Running;
    call.tried_endpoints.insert(endpoint.clone());
    let memory_tokens = call.engine.as_ref().and_then(|engine| engine.memory_tokens);
    row.record_sent(call, &running, memory_tokens);
    tables.notices.record_request(&endpoint, tick.now);
    let repeatable = call.kind.is_repeatable();
    let timeout = call.remaining_time(tick.now);
    let max_events =
        call.max_events(tokens_per_event).map(|max| max.saturating_sub(call.streamed.count));
    let keeps_history = call.turn.as_ref().is_some_and(|turn| turn.history.is_some());
    let dispatch = output::Dispatch {
        call: id,
        attempt: call.attempts,
        address: row.listed.address.clone(),
        timeout,
        urgency,
        workspace: call.workspace.clone(),
        hides_credentials: call.is_identified || tables.routes.has_workspaces(),
        body,
        repeatable,
        is_stream: call.kind.is_stream(),
        gated: call
            .turn
            .as_ref()
            .is_some_and(|turn| turn.reservation != calls::Reservation::Granted),
        max_events,
        resume_after: call.streamed.last,
        paced: keeps_history,
        keeps_output: keeps_history,
        endpoint,
    };
    let detail = format_args!(
        "request={} endpoint={} attempt={} within_ms={} own={} route={} read={} memory={} \
         slowdown={:.2}",
        call.arrival.id,
        dispatch.endpoint,
        dispatch.attempt,
        timeout.as_millis(),
        row.in_flight,
        call.route,
        running.uncached_tokens,
        running.expected_memory,
        running.expected_slowdown,
    );
    world.outputs.push(output::Output::Event(output::Event::new("sent", detail)));
    call.running = Some(running);
    if call.kind == input::RouteKind::Idempotent && call.possible_runs + 1 < call.max_attempts {
        let slow_at = tick.now.after(timeout / SLOW_ATTEMPT_DIVISOR);
        tables.timers.set(timers::Timer::AttemptSlow(id, call.attempts), slow_at);
    }
    world.outputs.push(output::Output::Send(Box::new(dispatch)));
    allowances::spend(world, tick, id);
    crashes::record_sent(world, tick, id);
}

/// Returns the delay before a retry of a call that could not be placed.
pub fn retry_after(call: &calls::Call) -> time::Duration {
    (call.target_latency / MAX_WAIT_DIVISOR).max(admission::DEFAULT_RETRY_AFTER)
}
