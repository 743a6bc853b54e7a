//! Measures services, endpoints and ways, from which placement derives its costs, and the engine time
//! of workspaces.

use std::time;

use crate::ids;
use crate::input;
use crate::systems::admission_order;
use crate::tables::calls;
use crate::world;

/// Records the times that new connections to endpoints took.
pub fn run(world: &mut world::World, _tick: &world::Tick) {
    let tables = &mut world.tables;
    for (endpoint, took) in std::mem::take(&mut tables.inbox.connections) {
        if let Some(row) = tables.endpoints.rows.get(&endpoint) {
            tables.ways.record(&row.listed.domain, took);
        }
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
    }
    tables.profiles.record_duration(&call.service, duration);
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
