//! Recovery of calls whose attempt was refused, failed or lost: retries a call where that is safe,
//! preferably on another endpoint, within the retry budget of its workspace.

use std::time as std_time;

use crate::errors;
use crate::ids;
use crate::output;
use crate::systems::call_lifecycle;
use crate::systems::due_timers;
use crate::tables::calls;
use crate::tables::timers;
use crate::work;
use crate::world;

/// Credit that each new call adds to the retry budget of its workspace, in thousandths of a retry.
const RETRY_CREDIT_PER_CALL: u64 = 200;
/// Credit that one retry costs, in thousandths of a retry.
const RETRY_COST: u64 = 1000;
/// Maximum credit in the retry budget of a workspace, in thousandths of a retry.
const RETRY_CREDIT_MAX: u64 = 20_000;
/// How long this instance does not choose an endpoint after a failure there.
const ENDPOINT_COOLDOWN: std_time::Duration = std_time::Duration::from_secs(2);
/// Maximum delay before a retry.
const RETRY_DELAY_MAX: std_time::Duration = std_time::Duration::from_secs(2);

/// Handles lost attempts, their partial output, and calls whose retry delay is over.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    for key in std::mem::take(&mut world.tables.dirty.lost_calls) {
        handle_lost(world, tick, &key);
    }
    for (attempt, text) in std::mem::take(&mut world.tables.inbox.partial_texts) {
        continue_from_partial(world, tick, &attempt, &text);
    }
    let due = due_timers::take_matching(world, |timer| match timer {
        timers::Timer::CallRetry(key) => Some(key.clone()),
        _ => None,
    });
    for key in due {
        resume(world, tick, &key);
    }
}

/// Resumes a delayed call. It needs a new budget reservation if the lost attempt consumed the
/// earlier one, and otherwise goes directly to placement.
fn resume(world: &mut world::World, tick: &world::Tick, key: &ids::CallKey) {
    let Some(call) = world.tables.calls.rows.get(key) else {
        return;
    };
    if call.state != calls::State::Delayed {
        return;
    }
    if call.may_have_run && call.reserved == 0 {
        call_lifecycle::set_state(world, tick, key, calls::State::Ready);
        world.tables.dirty.calls_to_reserve.insert(key.clone());
        return;
    }
    call_lifecycle::set_state(world, tick, key, calls::State::Placing);
    world.tables.dirty.calls_to_place.insert(key.clone());
}

/// Handles a call whose instance is suspected or has restarted.
fn handle_lost(world: &mut world::World, tick: &world::Tick, key: &ids::CallKey) {
    let Some(call) = world.tables.calls.rows.get_mut(key) else {
        return;
    };
    let calls::State::Running { attempt, endpoint, peer, .. } = call.state.clone() else {
        return;
    };
    let known = world.tables.instances.incarnation(&peer.instance);
    let has_restarted = known.is_some_and(|known| known != peer.incarnation);
    if call.effect_key.is_some() {
        // A suspected instance may still respond before the deadline; one that restarted won't.
        if has_restarted {
            call_lifecycle::end_with_unknown_outcome(
                world,
                tick,
                key,
                errors::UnknownReason::EndpointLost,
            );
        }
        return;
    }
    call.may_have_run = true;
    call.excluded_endpoints.insert(endpoint.clone());
    world.tables.endpoints.get_or_insert(&endpoint).unavailable_until =
        Some(tick.now.after(ENDPOINT_COOLDOWN));
    if matches!(call.work, work::Work::Model { .. }) {
        call_lifecycle::abort_attempt(world, tick, key);
        call_lifecycle::set_state(
            world,
            tick,
            key,
            calls::State::Recovering { attempt: attempt.clone() },
        );
        world.emit(output::Output::FetchPartialText(attempt));
        return;
    }
    retry_or_end(world, tick, key, errors::UnknownReason::EndpointLost);
}

/// Adds the partial output of a lost attempt to the prefix, from which the next attempt continues.
fn continue_from_partial(
    world: &mut world::World,
    tick: &world::Tick,
    attempt: &ids::AttemptId,
    text: &str,
) {
    let key = &attempt.call;
    let Some(call) = world.tables.calls.rows.get_mut(key) else {
        return;
    };
    if call.state != (calls::State::Recovering { attempt: attempt.clone() }) {
        return;
    }
    call.prefix.push_str(text);
    world.emit(output::Output::UnrouteText(attempt.clone()));
    retry_or_end(world, tick, key, errors::UnknownReason::EndpointLost);
}

/// Handles an attempt that certainly did not run.
pub fn handle_not_run(
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
    world.tables.decisions.record(tick.now, key, text);
    call.excluded_endpoints.insert(endpoint.clone());
    call.refusal = Some(refusal.clone());
    let is_final = matches!(
        refusal,
        errors::Refusal::EndpointRefused { .. }
            | errors::Refusal::Quarantined
            | errors::Refusal::DeadlinePassed
            | errors::Refusal::Cancelled
    );
    if is_final || !spend_retry_credit(world, key) {
        call_lifecycle::end_without_turn(world, tick, key, work::Outcome::NotRun(refusal));
        return;
    }
    schedule_retry(world, tick, key);
}

/// Handles an attempt that failed and may have run.
pub fn handle_broken(
    world: &mut world::World,
    tick: &world::Tick,
    key: &ids::CallKey,
    endpoint: &ids::EndpointName,
    partial_text: &str,
) {
    let Some(call) = world.tables.calls.rows.get_mut(key) else {
        return;
    };
    call.may_have_run = true;
    call.excluded_endpoints.insert(endpoint.clone());
    if matches!(call.work, work::Work::Model { .. }) {
        call.prefix.push_str(partial_text);
    }
    world.tables.endpoints.get_or_insert(endpoint).unavailable_until =
        Some(tick.now.after(ENDPOINT_COOLDOWN));
    if call.effect_key.is_some() {
        call_lifecycle::end_with_unknown_outcome(
            world,
            tick,
            key,
            errors::UnknownReason::EndpointLost,
        );
        return;
    }
    retry_or_end(world, tick, key, errors::UnknownReason::EndpointLost);
}

fn retry_or_end(
    world: &mut world::World,
    tick: &world::Tick,
    key: &ids::CallKey,
    reason: errors::UnknownReason,
) {
    // The lost attempt may have spent its whole reservation.
    let used = world.tables.calls.rows.get(key).map_or(0, |call| call.reserved);
    call_lifecycle::settle_cost(world, key, used);
    if spend_retry_credit(world, key) {
        schedule_retry(world, tick, key);
    } else {
        call_lifecycle::end_without_turn(world, tick, key, work::Outcome::Unknown(reason));
    }
}

/// Spends one retry of the workspace's budget. Returns false if the call has no attempts left or
/// the budget is exhausted.
fn spend_retry_credit(world: &mut world::World, key: &ids::CallKey) -> bool {
    let max_attempts = world.settings.max_attempts;
    let Some(call) = world.tables.calls.rows.get(key) else {
        return false;
    };
    if call.attempts >= max_attempts {
        return false;
    }
    let credit =
        world.tables.calls.retry_credits.entry(call.workspace.clone()).or_insert(RETRY_CREDIT_MAX);
    if *credit < RETRY_COST {
        return false;
    }
    *credit -= RETRY_COST;
    true
}

/// Adds the credit of a call's first attempt to the retry budget of its workspace.
pub fn credit_retry_budget(world: &mut world::World, workspace: &ids::WorkspaceName) {
    let credits = &mut world.tables.calls.retry_credits;
    let credit = credits.entry(workspace.clone()).or_insert(RETRY_CREDIT_MAX);
    *credit = (*credit + RETRY_CREDIT_PER_CALL).min(RETRY_CREDIT_MAX);
}

/// Schedules a retry after an exponential delay with full jitter.
pub fn schedule_retry(world: &mut world::World, tick: &world::Tick, key: &ids::CallKey) {
    let Some(call) = world.tables.calls.rows.get(key) else {
        return;
    };
    let backoff = world.settings.retry_delay * 2u32.saturating_pow(call.attempts.min(8));
    let max_delay_us = u64::try_from(backoff.min(RETRY_DELAY_MAX).as_micros()).unwrap_or(u64::MAX);
    let delay = std_time::Duration::from_micros(world.rng.next_below(max_delay_us));
    call_lifecycle::set_state(world, tick, key, calls::State::Delayed);
    world.tables.timers.set(timers::Timer::CallRetry(key.clone()), tick.now.after(delay));
}
