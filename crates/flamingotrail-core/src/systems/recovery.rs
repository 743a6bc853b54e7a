//! What becomes of attempts that were refused, broke or were lost: tried elsewhere where that is
//! safe, within each workspace's retry allowance.

use std::time as std_time;

use crate::errors;
use crate::ids;
use crate::output;
use crate::systems::call_lifecycle;
use crate::systems::timers as due;
use crate::tables::calls;
use crate::tables::timers;
use crate::work;
use crate::world;

/// Retry allowance that each new call adds, in thousandths of a retry.
const ALLOWANCE_PER_CALL: u64 = 200;
/// Cost of a retry, in thousandths.
const RETRY_COST: u64 = 1000;
/// Most allowance that a workspace saves up, in thousandths.
const ALLOWANCE_MAX: u64 = 20_000;
/// How long a failed endpoint is not chosen by this process.
const CLOSED_FOR: std_time::Duration = std_time::Duration::from_secs(2);
/// Longest delay before a retry.
const DELAY_MAX: std_time::Duration = std_time::Duration::from_secs(2);

/// Takes lost attempts, their texts, and calls whose delay is over.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    for key in std::mem::take(&mut world.tables.dirty.lost) {
        lost(world, tick, &key);
    }
    for (attempt, text) in std::mem::take(&mut world.tables.inbox.partials) {
        recovered(world, tick, &attempt, &text);
    }
    let due = due::take_due(world, |timer| match timer {
        timers::Timer::CallRetry(key) => Some(key.clone()),
        _ => None,
    });
    for key in due {
        resume(world, tick, &key);
    }
}

/// A delayed call goes on: to its budget where the lost attempt used up its reservation, else to
/// an endpoint.
fn resume(world: &mut world::World, tick: &world::Tick, key: &ids::CallKey) {
    let Some(call) = world.tables.calls.rows.get(key) else {
        return;
    };
    if call.state != calls::State::Delayed {
        return;
    }
    if call.may_have_run && call.reserved == 0 {
        call_lifecycle::set_state(world, tick, key, calls::State::Ready);
        world.tables.dirty.reserve.insert(key.clone());
        return;
    }
    call_lifecycle::set_state(world, tick, key, calls::State::Placing);
    world.tables.dirty.place.insert(key.clone());
}

/// The process that runs a call is silent or was replaced.
fn lost(world: &mut world::World, tick: &world::Tick, key: &ids::CallKey) {
    let Some(call) = world.tables.calls.rows.get_mut(key) else {
        return;
    };
    let calls::State::Running { attempt, endpoint, peer, .. } = call.state.clone() else {
        return;
    };
    let known = world.tables.instances.incarnation(&peer.instance);
    let replaced = known.is_some_and(|known| known != peer.incarnation);
    if call.effect_key.is_some() {
        // A silent process may still answer before the deadline; a replaced one won't.
        if replaced {
            call_lifecycle::end_with_unknown_outcome(world, tick, key, errors::Doubt::EndpointLost);
        }
        return;
    }
    call.may_have_run = true;
    call.avoid.insert(endpoint.clone());
    world.tables.endpoints.row(&endpoint).closed_until = Some(tick.now.after(CLOSED_FOR));
    if matches!(call.work, work::Work::Model { .. }) {
        call_lifecycle::abort_attempt(world, tick, key);
        call_lifecycle::set_state(
            world,
            tick,
            key,
            calls::State::Recovering { attempt: attempt.clone() },
        );
        world.emit(output::Output::TakePartial(attempt));
        return;
    }
    retry(world, tick, key, errors::Doubt::EndpointLost);
}

/// The text of a lost attempt is known: the next attempt goes on behind it.
fn recovered(world: &mut world::World, tick: &world::Tick, attempt: &ids::AttemptId, text: &str) {
    let key = &attempt.call;
    let Some(call) = world.tables.calls.rows.get_mut(key) else {
        return;
    };
    if call.state != (calls::State::Recovering { attempt: attempt.clone() }) {
        return;
    }
    call.prefix.push_str(text);
    world.emit(output::Output::Unroute(attempt.clone()));
    retry(world, tick, key, errors::Doubt::EndpointLost);
}

/// An attempt surely did not run.
pub fn not_run(
    world: &mut world::World,
    tick: &world::Tick,
    key: &ids::CallKey,
    endpoint: &ids::EndpointName,
    refusal: errors::Refusal,
) {
    let Some(call) = world.tables.calls.rows.get_mut(key) else {
        return;
    };
    let text = format!("{endpoint} refused: {refusal}");
    world.tables.decisions.note(tick.now, key, text);
    call.avoid.insert(endpoint.clone());
    call.refusal = Some(refusal.clone());
    let is_final = matches!(
        refusal,
        errors::Refusal::EndpointRefused { .. }
            | errors::Refusal::Quarantined
            | errors::Refusal::DeadlinePassed
            | errors::Refusal::Cancelled
    );
    if is_final || !take_allowance(world, key) {
        call_lifecycle::end_without_turn(world, tick, key, work::Outcome::NotRun(refusal));
        return;
    }
    delay(world, tick, key);
}

/// An attempt broke after it may have run.
pub fn broken(
    world: &mut world::World,
    tick: &world::Tick,
    key: &ids::CallKey,
    endpoint: &ids::EndpointName,
    partial: &str,
) {
    let Some(call) = world.tables.calls.rows.get_mut(key) else {
        return;
    };
    call.may_have_run = true;
    call.avoid.insert(endpoint.clone());
    if matches!(call.work, work::Work::Model { .. }) {
        call.prefix.push_str(partial);
    }
    world.tables.endpoints.row(endpoint).closed_until = Some(tick.now.after(CLOSED_FOR));
    if call.effect_key.is_some() {
        call_lifecycle::end_with_unknown_outcome(world, tick, key, errors::Doubt::EndpointLost);
        return;
    }
    retry(world, tick, key, errors::Doubt::EndpointLost);
}

fn retry(world: &mut world::World, tick: &world::Tick, key: &ids::CallKey, doubt: errors::Doubt) {
    // The lost attempt may have used all that it was given.
    let used = world.tables.calls.rows.get(key).map_or(0, |call| call.reserved);
    call_lifecycle::settle_cost(world, key, used);
    if take_allowance(world, key) {
        delay(world, tick, key);
    } else {
        call_lifecycle::end_without_turn(world, tick, key, work::Outcome::Unknown(doubt));
    }
}

/// Whether a call may be tried again: attempts are left, and its workspace has retries left.
fn take_allowance(world: &mut world::World, key: &ids::CallKey) -> bool {
    let most = world.settings.max_attempts;
    let Some(call) = world.tables.calls.rows.get(key) else {
        return false;
    };
    if call.attempts >= most {
        return false;
    }
    let allowance =
        world.tables.calls.allowance.entry(call.workspace.clone()).or_insert(ALLOWANCE_MAX);
    if *allowance < RETRY_COST {
        return false;
    }
    *allowance -= RETRY_COST;
    true
}

/// A first attempt adds to its workspace's retry allowance.
pub fn earn_allowance(world: &mut world::World, workspace: &ids::WorkspaceName) {
    let allowance = &mut world.tables.calls.allowance;
    let saved = allowance.entry(workspace.clone()).or_insert(ALLOWANCE_MAX);
    *saved = (*saved + ALLOWANCE_PER_CALL).min(ALLOWANCE_MAX);
}

/// Places a call again after an exponential delay with full jitter.
pub fn delay(world: &mut world::World, tick: &world::Tick, key: &ids::CallKey) {
    let Some(call) = world.tables.calls.rows.get(key) else {
        return;
    };
    let doubled = world.settings.retry_delay * 2u32.saturating_pow(call.attempts.min(8));
    let longest = u64::try_from(doubled.min(DELAY_MAX).as_micros()).unwrap_or(u64::MAX);
    let wait = std_time::Duration::from_micros(world.rng.below(longest));
    call_lifecycle::set_state(world, tick, key, calls::State::Delayed);
    world.tables.timers.set(timers::Timer::CallRetry(key.clone()), tick.now.after(wait));
}
