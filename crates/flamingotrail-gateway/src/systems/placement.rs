//! Selects an endpoint for each waiting call and sends the call to it.

use std::time;

use crate::ids;
use crate::input;
use crate::output;
use crate::policy;
use crate::systems::admission;
use crate::systems::completion;
use crate::tables::calls;
use crate::tables::timers;
use crate::world;

/// Delay before another try to place a call for which there is no endpoint.
const PLACEMENT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);
/// A call waits for an endpoint for at most its route's target latency divided by this number:
/// after a longer wait, a refusal would leave the caller too little time to try elsewhere.
const MAX_WAIT_DIVISOR: u32 = 4;
/// Number of refused attempts, in addition to the route's maximum, after which a call fails.
const MAX_REFUSALS: u32 = 4;
/// A repeatable attempt counts as slow after the remaining time divided by this number.
const SLOW_ATTEMPT_DIVISOR: u32 = 3;
/// Urgency of the highest priority class. Engines accept 0 to 9; 5 is the default.
const HIGHEST_CLASS_URGENCY: u8 = 3;
/// Lowest urgency that engines accept.
const LOWEST_URGENCY: u8 = 9;

/// Places the waiting calls in the order of their priority.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    let mut waiting: Vec<(u8, ids::CallId)> =
        std::mem::take(&mut world.tables.dirty.unplaced_calls)
            .into_iter()
            .filter_map(|id| world.tables.calls.rows.get(&id).map(|call| (call.priority, id)))
            .collect();
    waiting.sort_unstable();
    for (_, id) in waiting {
        place(world, tick, id);
    }
}

/// Sends a call to an endpoint; refuses it if its reservation was denied or too many attempts have
/// failed.
fn place(world: &mut world::World, tick: &world::Tick, id: ids::CallId) {
    let Some(call) = world.tables.calls.rows.get(&id) else { return };
    if call.phase != calls::Phase::Placing {
        return;
    }
    if call.turn.as_ref().is_some_and(|turn| turn.reservation == calls::Reservation::Denied) {
        let refusal = output::Refusal { reason: output::Reason::BudgetSpent, retry_after: None };
        completion::refuse(world, tick, id, refusal);
        return;
    }
    if call.attempts > MAX_REFUSALS + call.max_attempts {
        completion::fail_call(world, tick, id);
        return;
    }
    match select_endpoint(world, tick, call) {
        Some(endpoint) => send(world, tick, id, endpoint),
        None => wait_for_endpoint(world, tick, id),
    }
}

/// Schedules another try, or fails the call while the caller still has time to try elsewhere.
fn wait_for_endpoint(world: &mut world::World, tick: &world::Tick, id: ids::CallId) {
    let Some(call) = world.tables.calls.rows.get(&id) else { return };
    let waited = tick.now.since(call.arrival.received);
    if call.attempts > 0 || waited > call.target_latency / MAX_WAIT_DIVISOR {
        completion::fail_call(world, tick, id);
        return;
    }
    world.tables.timers.set(timers::Timer::CallRetry(id), tick.now.after(PLACEMENT_RETRY_DELAY));
}

/// Selects the endpoint with the lowest cost; a suspect one only if there is no other.
fn select_endpoint(
    world: &world::World,
    tick: &world::Tick,
    call: &calls::Call,
) -> Option<ids::EndpointId> {
    let service = world.tables.routes.service(&call.service);
    let previous = call.turn.as_ref().and_then(|turn| turn.previous.as_ref());
    let request = policy::Request {
        prompt: &call.arrival.prompt,
        prompt_tokens: call.arrival.usage.map_or(0, |usage| usage.prompt),
        previous: previous
            .and_then(|turn| world.tables.turns.rows.get(turn))
            .map(|row| &row.endpoint),
        is_engine: service.is_some_and(|service| service.engine.is_some()),
        region: &world.identity.region,
        domain: &world.identity.domain,
        now: tick.now,
    };
    let rows = &world.tables.endpoints.rows;
    let candidates = rows.iter().filter(|(id, row)| {
        row.listed.service == call.service
            && !row.listed.draining
            && !call.tried_endpoints.contains(*id)
    });
    let ranked = candidates.map(|(id, row)| {
        let region = world.identity.regions.get(&row.listed.domain);
        let cost = world.placement.cost(&request, &policy::Candidate { id, row, region });
        let is_suspect = row.lapsed || row.avoid_until > tick.now;
        (is_suspect, cost, id)
    });
    ranked.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))).map(|(_, _, id)| id.clone())
}

/// Sends a call to `endpoint`, with the texts of the turns that it continues.
fn send(world: &mut world::World, tick: &world::Tick, id: ids::CallId, endpoint: ids::EndpointId) {
    let tables = &mut world.tables;
    let Some(call) = tables.calls.rows.get_mut(&id) else { return };
    let Some(row) = tables.endpoints.rows.get_mut(&endpoint) else { return };
    let mut body = Vec::new();
    if let Some(previous) = call.turn.as_ref().and_then(|turn| turn.previous.as_ref()) {
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
    call.running = Some(calls::RunningAttempt { endpoint: endpoint.clone(), sent_at: tick.now });
    row.in_flight += 1;
    row.sent_since_load += 1;
    row.record_prompt(&call.arrival.prompt, tick.now);
    let repeatable = call.kind == input::RouteKind::Idempotent;
    let timeout = call.remaining_time(tick.now);
    let dispatch = output::Dispatch {
        call: id,
        attempt: call.attempts,
        address: row.listed.address.clone(),
        timeout,
        urgency: tables
            .routes
            .current
            .as_ref()
            .and_then(|configuration| configuration.services.get(&call.service))
            .and_then(|service| service.engine.as_ref())
            .map(|_| HIGHEST_CLASS_URGENCY.saturating_add(call.priority).min(LOWEST_URGENCY)),
        body,
        repeatable,
        gated: call
            .turn
            .as_ref()
            .is_some_and(|turn| turn.reservation != calls::Reservation::Granted),
        paced: call.turn.is_some(),
        endpoint,
    };
    let detail = format_args!(
        "request={} endpoint={} attempt={} within_ms={} own={} route={}",
        call.arrival.id,
        dispatch.endpoint,
        dispatch.attempt,
        timeout.as_millis(),
        row.in_flight,
        call.route
    );
    world.outputs.push(output::Output::Event(output::Event::new("sent", detail)));
    if repeatable && call.possible_runs + 1 < call.max_attempts {
        let slow_at = tick.now.after(timeout / SLOW_ATTEMPT_DIVISOR);
        tables.timers.set(timers::Timer::AttemptSlow(id, call.attempts), slow_at);
    }
    world.outputs.push(output::Output::Send(Box::new(dispatch)));
}

/// Returns the delay before a retry of a call that could not be placed.
pub fn retry_after(call: &calls::Call) -> time::Duration {
    (call.target_latency / MAX_WAIT_DIVISOR).max(admission::DEFAULT_RETRY_AFTER)
}
