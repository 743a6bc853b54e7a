//! Measures services, endpoints and ways, from which placement derives its costs, and the engine time
//! of workspaces.

use std::time;

use crate::ids;
use crate::input;
use crate::systems::admission_order;
use crate::tables::calls;
use crate::tables::endpoints;
use crate::tables::slowdowns;
use crate::world;

/// Records the times that new connections to endpoints took, and the loads that endpoints reported when
/// their responses began: a stream may end much later.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    let tables = &mut world.tables;
    for (endpoint, took) in std::mem::take(&mut tables.inbox.connections) {
        if let Some(row) = tables.endpoints.rows.get(&endpoint) {
            tables.ways.record(&row.listed.domain, took);
        }
    }
    for (id, attempt, load) in std::mem::take(&mut tables.inbox.beginnings) {
        record_beginning(world, tick, id, attempt, load);
    }
}

/// Records the load that an endpoint reported when its response to an attempt began.
fn record_beginning(
    world: &mut world::World,
    tick: &world::Tick,
    id: ids::CallId,
    attempt: u32,
    load: Option<input::Load>,
) {
    let tables = &mut world.tables;
    let Some(call) = tables.calls.rows.get_mut(&id) else { return };
    let Some(running) = call.running.as_mut().filter(|_| call.attempts == attempt) else { return };
    running.reported_load = load;
    if let Some(row) = tables.endpoints.rows.get_mut(&running.endpoint) {
        row.own_attempts.finish_read(id);
        row.update_load(tick.now, load);
    }
}

/// Records what a successful attempt of a call says of its service, and of its endpoint compared with
/// the others.
pub fn record_attempt(
    world: &mut world::World,
    tick: &world::Tick,
    id: ids::CallId,
    running: &calls::RunningAttempt,
    outcome: &input::Outcome,
) {
    record_engine_time(world, tick, id, running, outcome);
    let tables = &mut world.tables;
    let succeeded = outcome.has_succeeded();
    let Some(call) = tables.calls.rows.get(&id).filter(|_| succeeded) else { return };
    let duration = tick.now.since(running.sent_at);
    let ratio = tables.routes.record_latency(&call.route, duration);
    if let Some(row) = tables.endpoints.rows.get_mut(&running.endpoint) {
        row.record_latency(ratio, tick.now);
        if let Some((object, was_known)) = running.affinity {
            row.affinities.record(object, tick.now);
            tables.profiles.record_affinity(&call.service, was_known, ratio);
        }
        let load = running.reported_load.or(outcome.load());
        if let Some(percent) = load.and_then(|load| load.slowdown_percent) {
            let mean = tables.profiles.profile(&call.service).slowdown;
            row.slowdown.record_time(percent, mean, ratio);
            tables.profiles.record_slowdown(&call.service, slowdowns::factor_of(percent));
        }
    }
    tables.profiles.record_duration(&call.service, duration);
    if call.engine.is_some() {
        tables.profiles.record_tokens(&call.service, running.tokens);
    }
    let Some(began_at) = running.began_at else { return };
    let token_ms = tables.profiles.profile(&call.service).token_ms;
    let reading = time::Duration::from_secs_f64(prompt_ms(running, token_ms) / 1000.0);
    // The response to a request that is no stream begins with its end.
    let slot_time =
        if call.kind.is_stream() { tick.now.since(began_at) + reading } else { duration };
    let is_first = admission_order::begins_program(call);
    tables.slot_times.record(&call.service, slot_time, is_first);
    let begun = began_at.since(running.sent_at).saturating_sub(running.expected_way);
    tables.profiles.record_beginning(
        &call.service,
        running.uncached_tokens,
        running.expected_load,
        begun,
    );
}

/// Adds the engine time of an attempt that may have run to that of its workspace, if there are
/// workspaces: the reading of its prompt, and its duration.
fn record_engine_time(
    world: &mut world::World,
    tick: &world::Tick,
    id: ids::CallId,
    running: &calls::RunningAttempt,
    outcome: &input::Outcome,
) {
    let tables = &mut world.tables;
    if !tables.routes.has_workspaces()
        || matches!(outcome, input::Outcome::NotSent(_) | input::Outcome::Refused { .. })
    {
        return;
    }
    let Some(call) = tables.calls.rows.get(&id).filter(|call| call.engine.is_some()) else {
        return;
    };
    let token_ms = tables.profiles.profile(&call.service).token_ms;
    let duration_ms = tick.now.since(running.sent_at).as_secs_f64() * 1000.0;
    let ms = prompt_ms(running, token_ms) + duration_ms;
    tables.shares.record(call.workspace.as_ref(), ms, tick.now);
}

/// Returns the time to read the part of an attempt's prompt that was probably not cached.
fn prompt_ms(running: &calls::RunningAttempt, token_ms: f64) -> f64 {
    running.uncached_tokens as f64 * token_ms
}

/// Updates an endpoint's load and failures from an outcome.
pub fn record_endpoint_health(
    world: &mut world::World,
    tick: &world::Tick,
    id: ids::CallId,
    running: &calls::RunningAttempt,
    outcome: &input::Outcome,
) {
    let Some(row) = world.tables.endpoints.rows.get_mut(&running.endpoint) else { return };
    row.record_end(id);
    // A load that was reported when the response began is known since then.
    let update_load = |row: &mut endpoints::Endpoint, load: Option<input::Load>| {
        row.update_load(tick.now, load.filter(|_| running.reported_load.is_none()));
    };
    match outcome {
        input::Outcome::NotSent(input::Failure::CallerLeft) => {}
        input::Outcome::NotSent(_) | input::Outcome::Lost(_) => row.record_failure(tick.now),
        input::Outcome::Refused { load, .. } => {
            // A full endpoint that reports its load has not failed: placement uses the load.
            update_load(row, *load);
            if load.is_none() {
                row.record_failure(tick.now);
            }
        }
        input::Outcome::Answered { status, load, .. } => {
            update_load(row, *load);
            if *status < input::SERVER_ERROR_STATUS {
                row.record_success();
            } else {
                row.record_failure(tick.now);
            }
        }
        input::Outcome::Streamed { complete, load, .. } => {
            update_load(row, *load);
            if *complete {
                row.record_success();
            } else {
                row.record_failure(tick.now);
            }
        }
        input::Outcome::Cancelled => {}
    }
}
