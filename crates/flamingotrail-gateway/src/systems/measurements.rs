//! Measures services, endpoints and ways, from which placement derives its costs.

use crate::ids;
use crate::input;
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
    let tables = &mut world.tables;
    let succeeded = outcome.has_succeeded();
    let Some(call) = tables.calls.rows.get(&id).filter(|_| succeeded) else { return };
    let duration = tick.now.since(running.sent_at);
    let ratio = tables.routes.record_latency(&call.route, duration);
    if let Some(row) = tables.endpoints.rows.get_mut(&running.endpoint) {
        row.record_latency(ratio, tick.now);
    }
    tables.profiles.record_duration(&call.service, duration);
    if call.engine.is_some() {
        tables.profiles.record_tokens(&call.service, running.tokens);
    }
    let Some(began_at) = running.began_at else { return };
    let begun = began_at.since(running.sent_at).saturating_sub(running.expected_way);
    tables.profiles.record_beginning(
        &call.service,
        running.uncached_tokens,
        running.expected_load,
        begun,
    );
}
