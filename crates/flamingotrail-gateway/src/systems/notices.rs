//! Records what endpoints announce of themselves when their responses begin: a stream may end much
//! later.

use crate::ids;
use crate::input;
use crate::output;
use crate::tables::peers;
use crate::world;

/// Applies the notices in the inbox.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    for (call, attempt, notice) in std::mem::take(&mut world.tables.inbox.notices) {
        apply_notice(world, tick, call, attempt, notice);
    }
}

fn apply_notice(
    world: &mut world::World,
    tick: &world::Tick,
    id: ids::CallId,
    attempt: u32,
    notice: input::Notice,
) {
    let tables = &mut world.tables;
    let Some(call) = tables.calls.rows.get(&id).filter(|call| call.attempts == attempt) else {
        return;
    };
    let Some(running) = call.running.as_ref() else { return };
    let endpoint = &running.endpoint;
    let before = tables.notices.limit(endpoint).map(|limit| limit.max_requests_per_s);
    let phase = phase(&world.identity.instance, endpoint);
    if tables.notices.update_limit(endpoint, notice, running.sent_at, phase, tick.now) {
        let detail = format_args!(
            "endpoint={endpoint} per_s={} before={} share_per_s={} request={} sent_ms_ago={}",
            limit_text(notice.max_requests_per_s),
            limit_text(before),
            limit_text(tables.notices.share_per_s(endpoint)),
            call.arrival.id,
            tick.now.since(running.sent_at).as_millis(),
        );
        world.outputs.push(output::Output::Event(output::Event::new("endpoint_limit", detail)));
    }
}

/// Returns a number from 0 to 1 that differs between gateways and between endpoints.
fn phase(instance: &ids::InstanceName, endpoint: &ids::EndpointId) -> f64 {
    peers::rank(instance.as_str(), endpoint.as_str()) as f64 / u64::MAX as f64
}

fn limit_text(per_s: Option<f64>) -> String {
    per_s.map_or_else(|| "none".to_owned(), |limit| format!("{limit:.3}"))
}
