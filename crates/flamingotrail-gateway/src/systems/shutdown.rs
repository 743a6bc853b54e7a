//! Graceful shutdowns: which calls are still taken, when they end, and when the process may exit.
//!
//! A call ends with an answer before the grace period does, so that none is cut. One that arrives late and
//! might not end by then is refused as not run: its caller has time to go elsewhere.

use std::time;

use flamingotrail_core::time as core_time;

use crate::output;
use crate::systems::admission;
use crate::tables::calls;
use crate::tables::timers;
use crate::world;

/// Time for which calls are still accepted after a shutdown begins, whatever their deadlines: the load
/// balancer checks the readiness once per second and removes a gateway after two failed checks.
const BALANCER_DELAY: time::Duration = time::Duration::from_millis(3_000);
/// Percentage of the grace period after which calls end, with time left for their answers to be written.
const CALLS_PERCENT: u32 = 92;
/// Percentage of the grace period after which the gateway stops in any case.
const GRACE_PERCENT: u32 = 95;

/// Begins a shutdown: running calls end within the grace period.
pub fn begin(world: &mut world::World, tick: &world::Tick) {
    if world.draining_since.is_some() {
        return;
    }
    world.draining_since = Some(tick.now);
    world.tables.dirty.drain = true;
    world.tables.timers.set(timers::Timer::Drain, tick.now);
    let count = world.tables.calls.rows.len();
    world.emit_event("draining", format_args!("calls={count}"));
    let Some(end) = calls_end(world) else { return };
    let tables = &mut world.tables;
    let running = tables.calls.rows.iter_mut();
    for (id, call) in running.filter(|(_, call)| call.phase != calls::Phase::Closed) {
        if call.deadline > end {
            call.deadline = end;
            tables.timers.set(timers::Timer::CallDeadline(*id), end);
        }
    }
}

/// Returns when the calls of a gateway that shuts down end; `None` if it does not.
fn calls_end(world: &world::World) -> Option<core_time::Timestamp> {
    let since = world.draining_since?;
    Some(since.after(world.settings.grace_period * CALLS_PERCENT / 100))
}

/// Limits the deadline of a new call to the time that is left.
///
/// # Errors
///
/// Returns the refusal of a call that arrives late and might not end in time.
pub fn limit_deadline(
    world: &world::World,
    tick: &world::Tick,
    call: &mut calls::Call,
) -> Result<(), output::Refusal> {
    let Some((since, end)) = world.draining_since.zip(calls_end(world)) else { return Ok(()) };
    let is_late = tick.now > since.after(BALANCER_DELAY);
    if is_late && call.deadline > end {
        return Err(output::Refusal {
            reason: output::Reason::Unavailable,
            retry_after: Some(admission::DEFAULT_RETRY_AFTER),
        });
    }
    call.deadline = call.deadline.min(end);
    Ok(())
}

/// Stops the gateway once it is idle and the load balancer has removed it, or when the grace period ends.
pub fn advance(world: &mut world::World, tick: &world::Tick) {
    let Some(since) = world.draining_since else { return };
    let delay_end = since.after(BALANCER_DELAY);
    let grace_end = since.after(world.settings.grace_period * GRACE_PERCENT / 100);
    let idle = world.tables.calls.rows.is_empty() && !has_unwritten_records(world);
    if tick.now >= grace_end || (idle && tick.now >= delay_end) {
        if !world.stopped {
            world.stopped = true;
            let calls = world.tables.calls.rows.len();
            world.emit_event("drained", format_args!("calls={calls}"));
            let time_left = grace_end.since(tick.now);
            world.emit(output::Output::Stopped { time_left });
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
