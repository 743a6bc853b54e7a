//! Completion of calls at the partition owner: processes the outcomes of attempts, and replies to
//! calls whose turn had to be journaled first.

use crate::config;
use crate::errors;
use crate::ids;
use crate::messages;
use crate::systems::call_lifecycle;
use crate::systems::holds;
use crate::systems::membership;
use crate::systems::recovery;
use crate::tables::calls;
use crate::tables::effects;
use crate::work;
use crate::world;

/// Weight of the newest sample in the moving average of an endpoint's run time.
const RUN_TIME_WEIGHT: f64 = 0.2;

/// Processes the outcomes of attempts, and calls whose turn the journal may now hold.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    for (from, attempt, outcome, load) in
        std::mem::take(&mut world.tables.inbox.remote_attempt_outcomes)
    {
        process_attempt_outcome(world, tick, &from, &attempt, outcome, load);
    }
    for key in std::mem::take(&mut world.tables.dirty.calls_to_complete) {
        reply_to_journaled_call(world, tick, &key);
    }
}

fn process_attempt_outcome(
    world: &mut world::World,
    tick: &world::Tick,
    from: &ids::InstanceName,
    attempt: &ids::AttemptId,
    outcome: work::AttemptOutcome,
    load: messages::Load,
) {
    membership::record_load(world, tick, from, load);
    let key = attempt.call.clone();
    let state = world.tables.calls.rows.get(&key).map(|call| call.state.clone());
    match state {
        Some(calls::State::Running { attempt: current, endpoint, sent_at, .. })
            if current == *attempt =>
        {
            update_mean_run_time(world, &endpoint, tick.now.since(sent_at).as_secs_f64(), &outcome);
            match outcome {
                work::AttemptOutcome::Answered(response) => {
                    process_response(world, tick, &key, &endpoint, from, response)
                }
                work::AttemptOutcome::NotRun(refusal) => {
                    recovery::handle_not_run(world, tick, &key, &endpoint, refusal);
                }
                work::AttemptOutcome::Broken { partial, .. } => {
                    recovery::handle_broken(world, tick, &key, &endpoint, &partial);
                }
            }
        }
        _ => process_late_outcome(world, attempt, &outcome),
    }
}

fn update_mean_run_time(
    world: &mut world::World,
    endpoint: &ids::EndpointName,
    seconds: f64,
    outcome: &work::AttemptOutcome,
) {
    if !matches!(outcome, work::AttemptOutcome::Answered(_)) {
        return;
    }
    let row = world.tables.endpoints.get_or_insert(endpoint);
    let mean = if row.mean_run_s == 0.0 { seconds } else { row.mean_run_s };
    row.mean_run_s = mean + RUN_TIME_WEIGHT * (seconds - mean);
}

/// Processes the outcome of an attempt that is no longer current. A response resolves an effect
/// whose outcome was unknown.
fn process_late_outcome(
    world: &mut world::World,
    attempt: &ids::AttemptId,
    outcome: &work::AttemptOutcome,
) {
    let work::AttemptOutcome::Answered(response) = outcome else {
        return;
    };
    let home = &attempt.call.conversation.home;
    if world.tables.partitions.epoch(home) != Some(attempt.epoch) {
        return;
    }
    let unresolved =
        world.tables.effects.rows.iter().find(|(_, row)| {
            row.call == attempt.call && row.state == effects::EffectState::Unknown
        });
    let Some((key, _)) = unresolved else {
        return;
    };
    let key = key.clone();
    let effect_outcome = crate::journal::EffectOutcome::Done {
        status: response.status,
        text: response.text.clone(),
    };
    call_lifecycle::record_effect_outcome(
        world,
        &attempt.call,
        &key.root,
        &key.key,
        effect_outcome,
    );
}

fn process_response(
    world: &mut world::World,
    tick: &world::Tick,
    key: &ids::CallKey,
    endpoint: &ids::EndpointName,
    from: &ids::InstanceName,
    response: work::Response,
) {
    let Some(call) = world.tables.calls.rows.get(key) else {
        return;
    };
    let mut response = response;
    if matches!(call.work, work::Work::Model { .. }) {
        response.text = format!("{}{}", call.prefix, response.text);
        if response.finish == work::FinishReason::Length && call.budget_bound {
            response.finish = work::FinishReason::Budget;
        }
    }
    let spent = call_cost(world.config(), call, &response.usage);
    holds::record_context_location(world, tick, key, endpoint, from, &response.usage);
    call_lifecycle::complete(world, tick, key, response, spent);
}

/// Returns the cost of a call according to the usage that the endpoint reported. Falls back to the
/// reserved amount if the configuration no longer has the price.
fn call_cost(
    config: Option<&config::Config>,
    call: &calls::Call,
    usage: &work::Usage,
) -> work::Cost {
    let priced = match &call.work {
        work::Work::Model { model, .. } => {
            config.and_then(|config| config.models.get(model)).map(|model| {
                u64::from(usage.prompt_tokens) * model.prompt_price
                    + u64::from(usage.completion_tokens) * model.completion_price
            })
        }
        work::Work::Service { service, .. } => {
            config.and_then(|config| config.services.get(service)).map(|service| service.price)
        }
        work::Work::EndProgram => Some(0),
    };
    priced.unwrap_or(call.reserved)
}

/// Replies to a call that relies on the journal, once the journal holds its turn.
fn reply_to_journaled_call(world: &mut world::World, tick: &world::Tick, key: &ids::CallKey) {
    let Some(call) = world.tables.calls.rows.get(key) else {
        return;
    };
    if call.state != calls::State::Journaling {
        return;
    }
    let journaled =
        world.tables.conversations.rows.get(&key.conversation).map_or(0, |row| row.journaled_turn);
    if journaled < key.turn {
        return;
    }
    let outcome = call.outcome.clone();
    let outcome = outcome.unwrap_or(work::Outcome::Unknown(errors::UnknownReason::NoAnswer));
    let continuation = call_lifecycle::build_continuation(world, &key.conversation);
    call_lifecycle::notify_waiters(world, tick, key, &outcome, continuation.as_ref());
    call_lifecycle::remove_call(world, tick, key);
}
