//! Refuses first turns that would wait too long, before they are sent: work for a program that fails
//! later is lost, so that begun programs get the room first. Calls of begun programs and all other
//! calls are never refused by this.

use std::time;

use crate::ids;
use crate::output;
use crate::systems::admission;
use crate::systems::admission_order;
use crate::systems::completion;
use crate::systems::placement;
use crate::systems::wait_estimate;
use crate::tables;
use crate::tables::calls;
use crate::world;

/// A response is worth little to its caller after the target latency times this number.
const LATE_FACTOR: u32 = 2;
/// A first turn may wait at least for its target latency divided by this number, also where calls
/// take longer than the target.
const MIN_WAIT_DIVISOR: u32 = 4;
/// Part of the useful wait from which on first turns are refused. Below it, the queues of the
/// endpoints hold enough work, so that no slot idles because of a refusal.
const SHEDDING_BEGIN: f64 = 0.5;
/// Largest part of a class or workspace that is refused while the wait is useful, so that none of them
/// is starved.
const MAX_SHED: f64 = 0.9;
/// Maximum factor by which more calls are refused of a workspace that has had more engine time than the
/// mean.
const MAX_RELATIVE: f64 = 4.0;
/// Minimum factor by which the wait counts less for a workspace that has had less engine time than the
/// mean: its calls are refused when those of the others no longer are admitted.
const MIN_RELATIVE: f64 = 0.5;
/// Part of the slots that are free from which on nothing is refused.
const FREE_ENOUGH: f64 = 0.5;
/// Multiple of the useful wait from which on callers are refused that have returned. They were told a
/// time at which there is room, and return at a limited rate, so they go before new first turns.
const MAX_RETURNED_RATIO: f64 = 1.5;
/// Part of the first turns for which there is room that refused callers are asked to return for; new
/// programs take the rest.
const RETURN_PART: f64 = 0.25;
/// Lowest rate at which refused callers are asked to return, in callers per second.
const MIN_RETURN_RATE_PER_S: f64 = 0.1;

/// The refusal of a first turn, and what it rests on.
struct Decision {
    estimate: wait_estimate::Estimate,
    slot_time: time::Duration,
    /// Time that the program would wait.
    wait: time::Duration,
    /// Time for which the call could wait and still be useful.
    useful_wait: time::Duration,
    /// Part of the calls like this one that is refused.
    shed_share: f64,
}

/// Refuses a call if it is a first turn that would wait too long; returns whether it did.
pub fn refuse_if_hopeless(world: &mut world::World, tick: &world::Tick, id: ids::CallId) -> bool {
    // Deployments whose callers are not told apart are served in the order of arrival.
    if !world.tables.routes.has_workspaces() {
        return false;
    }
    let Some(call) = world.tables.calls.rows.get(&id) else { return false };
    if !admission_order::begins_program(call) || call.attempts > 0 {
        return false;
    }
    let Some(decision) = decide(world, tick, call) else { return false };
    if draw(world, call) >= decision.shed_share {
        return false;
    }
    log_refusal(world, id, &decision);
    let retry_after = Some(schedule_return(world, tick, id, &decision));
    let reason = output::Reason::Unavailable;
    completion::refuse(world, tick, id, output::Refusal { reason, retry_after });
    true
}

/// Returns what part of the calls like `call` is refused, and why; `None` if too little is known.
fn decide(world: &world::World, tick: &world::Tick, call: &calls::Call) -> Option<Decision> {
    let tables = &world.tables;
    let slot_time = tables.slot_times.slot_time(&call.service)?;
    let rows = tables.endpoints.rows.iter();
    let serving =
        rows.filter(|(id, row)| placement::serves(&tables.notices, id, row, &call.service));
    let estimate = wait_estimate::estimate(serving.map(|(_, row)| row), slot_time, tick.now)?;
    if estimate.free_share >= FREE_ENOUGH || estimate.wait.is_zero() {
        return None;
    }
    let spare_time = call.remaining_time(tick.now).saturating_sub(slot_time);
    let useful_wait = useful_wait(call, slot_time).min(spare_time);
    let wait = program_wait(tables, tick, call, &estimate);
    let ratio = wait.as_secs_f64() / useful_wait.as_secs_f64();
    let shed_share = if wait > spare_time {
        1.0
    } else if admission_order::has_returned(tables, call) {
        f64::from(u8::from(ratio >= MAX_RETURNED_RATIO))
    } else {
        shed_share(tables, tick, call, ratio)
    };
    Some(Decision { estimate, slot_time, wait, useful_wait, shed_share })
}

/// Returns how long a program would wait that begins now. Either engines serve begun programs first, so
/// that only the slots which their calls leave go to the first turns in the queue; or they don't, and
/// each turn of the program waits. Calls of less urgent workspaces don't count.
fn program_wait(
    tables: &tables::Tables,
    tick: &world::Tick,
    call: &calls::Call,
    estimate: &wait_estimate::Estimate,
) -> time::Duration {
    let routes = &tables.routes;
    let priority = |name: Option<&ids::WorkspaceName>| {
        routes.classes.workspace_priority(name.and_then(|name| routes.workspace(name)))
    };
    let own = priority(call.workspace.as_ref());
    let ahead = tables.shares.part_of(|name| priority(name) <= own, tick.now);
    estimate.wait.mul_f64(ahead / tables.slot_times.first_share(&call.service))
}

/// Returns for how long a first turn may wait so that its response, `slot_time` after the wait, is not
/// so late that it is worth little.
fn useful_wait(call: &calls::Call, slot_time: time::Duration) -> time::Duration {
    let end = call.target_latency * LATE_FACTOR;
    end.saturating_sub(slot_time).max(call.target_latency / MIN_WAIT_DIVISOR)
}

/// Returns the part of the first turns like `call` to refuse when the wait is `ratio` times the useful
/// one: it grows steadily, so that gateways which see the same load don't all refuse everything at
/// once. The least urgent workspaces are refused first, and within a class those that have had most
/// engine time.
fn shed_share(tables: &tables::Tables, tick: &world::Tick, call: &calls::Call, ratio: f64) -> f64 {
    let relative = tables.shares.relative(call.workspace.as_ref(), tick.now);
    let ratio = ratio * relative.clamp(MIN_RELATIVE, 1.0);
    if ratio >= 1.0 {
        return 1.0;
    }
    let priority = admission_order::class(tables, call).workspace;
    let (rank, count) = tables.routes.classes.workspace_rank(priority);
    let width = (1.0 - SHEDDING_BEGIN) / count as f64;
    let begin = SHEDDING_BEGIN + (count - 1 - rank) as f64 * width;
    let share = ((ratio - begin) / width).clamp(0.0, 1.0);
    (share * relative.clamp(1.0, MAX_RELATIVE)).min(MAX_SHED)
}

/// Returns a number from 0 to 1 that depends on the call, and differs between calls and gateways.
fn draw(world: &world::World, call: &calls::Call) -> f64 {
    const STEPS: u64 = 10_000;
    let hash = ids::stable_hash(&format!("{}/{}", world.identity.instance, call.arrival.id));
    (hash % STEPS) as f64 / STEPS as f64
}

/// Returns how long the caller should wait: until the queues are short enough again, and then one
/// caller after the other, at a part of the rate at which this gateway's slots take first turns.
fn schedule_return(
    world: &mut world::World,
    tick: &world::Tick,
    id: ids::CallId,
    decision: &Decision,
) -> time::Duration {
    let tables = &mut world.tables;
    let Some(call) = tables.calls.rows.get(&id) else { return admission::DEFAULT_RETRY_AFTER };
    let gateways = tables.peers.rows.len() + 1;
    let calls_per_s = decision.estimate.slots / decision.slot_time.as_secs_f64();
    let firsts_per_s = calls_per_s * tables.slot_times.first_share(&call.service);
    let rate = (firsts_per_s * RETURN_PART / gateways as f64).max(MIN_RETURN_RATE_PER_S);
    let short_enough = decision.useful_wait.mul_f64(SHEDDING_BEGIN);
    let due = tick.now.after(decision.wait.saturating_sub(short_enough));
    let patience = call.remaining_time(tick.now) / placement::PATIENCE_DIVISOR;
    let interval = time::Duration::from_secs_f64(1.0 / rate);
    let wait = tables.returns.schedule(&call.service, due, interval, patience, tick.now);
    wait.max(admission::DEFAULT_RETRY_AFTER)
}

fn log_refusal(world: &mut world::World, id: ids::CallId, decision: &Decision) {
    let Some(call) = world.tables.calls.rows.get(&id) else { return };
    let estimate = &decision.estimate;
    let detail = format_args!(
        "request={} workspace={} service={} wait_ms={} useful_ms={} load_percent={:.0} \
         free_percent={:.0} age_ms={} shed_percent={:.0} returned={}",
        call.arrival.id,
        call.workspace.as_ref().map_or("none", |name| name.as_str()),
        call.service,
        decision.wait.as_millis(),
        decision.useful_wait.as_millis(),
        estimate.pressure * 100.0,
        estimate.free_share * 100.0,
        estimate.age.as_millis(),
        decision.shed_share * 100.0,
        admission_order::has_returned(&world.tables, call),
    );
    world.outputs.push(output::Output::Event(output::Event::new("admission_refused", detail)));
}
