//! Reports whether this gateway accepts new calls, and completes a graceful shutdown.

use std::time;

use crate::output;
use crate::systems::log_outage;
use crate::tables::timers;
use crate::world;

/// Time for which calls are still accepted after a shutdown begins: the load balancer checks the
/// readiness once per second and removes a gateway after two failed checks.
const BALANCER_DELAY: time::Duration = time::Duration::from_millis(3_000);
/// Percentage of the grace period after which the gateway stops even if calls are running.
const GRACE_PERCENT: u32 = 95;

/// Updates the readiness and advances a shutdown.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    let ready = is_ready(world);
    if ready != world.ready {
        world.ready = ready;
        let detail = format_args!(
            "ready={ready} draining={} configured={} listed={}",
            world.draining_since.is_some(),
            world.tables.routes.current.is_some(),
            world.tables.endpoints.is_loaded
        );
        world.outputs.push(output::Output::Event(output::Event::new("readiness", detail)));
        world.emit(output::Output::Ready(ready));
    }
    if std::mem::take(&mut world.tables.dirty.drain) {
        advance_drain(world, tick);
    }
}

fn is_ready(world: &world::World) -> bool {
    let is_isolated = !world.tables.peers.rows.is_empty() && log_outage::is_log_unreachable(world);
    world.draining_since.is_none()
        && !is_isolated
        && world.tables.routes.current.is_some()
        && world.tables.endpoints.is_loaded
}

/// Stops the gateway once it is idle and the load balancer has removed it, or when the grace period
/// ends.
fn advance_drain(world: &mut world::World, tick: &world::Tick) {
    let Some(since) = world.draining_since else { return };
    let delay_end = since.after(BALANCER_DELAY);
    let grace_end = since.after(world.settings.grace_period * GRACE_PERCENT / 100);
    let idle = world.tables.calls.rows.is_empty() && !has_unwritten_records(world);
    if tick.now >= grace_end || (idle && tick.now >= delay_end) {
        if !world.stopped {
            world.stopped = true;
            let calls = world.tables.calls.rows.len();
            world.emit_event("drained", format_args!("calls={calls}"));
            world.emit(output::Output::Stopped);
        }
        return;
    }
    let next = if tick.now < delay_end { delay_end } else { grace_end };
    world.tables.timers.set(timers::Timer::Drain, next);
}

/// Whether records wait for an append or for its result.
fn has_unwritten_records(world: &world::World) -> bool {
    let rows = &world.tables.partitions.rows;
    rows.values().any(|row| !row.queue.is_empty() || !row.appending.is_empty())
}
