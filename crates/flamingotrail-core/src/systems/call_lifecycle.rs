//! Shared steps of a call's lifecycle: state changes, replies to waiting requests, settlement of
//! costs and removal of the call's row.

use crate::errors;
use crate::history;
use crate::ids;
use crate::journal;
use crate::messages;
use crate::output;
use crate::systems::journal_writer;
use crate::systems::membership;
use crate::systems::outbox;
use crate::systems::programs;
use crate::tables::calls;
use crate::tables::effects;
use crate::tables::timers;
use crate::work;
use crate::world;

/// Builds the continuation of a conversation after its last finished turn. Returns `None` before
/// the first turn.
pub fn build_continuation(
    world: &world::World,
    conversation: &ids::ConversationId,
) -> Option<history::Continuation> {
    let row = world.tables.conversations.rows.get(conversation)?;
    if row.last_turn == 0 {
        return None;
    }
    let program = world.tables.programs.rows.get(&row.program)?;
    let epoch = world.tables.partitions.epoch(&conversation.home)?;
    let tail =
        row.turns.range(row.journaled_turn + 1..).map(|(_, turn)| turn.record.clone()).collect();
    let continuation = history::Continuation {
        conversation: conversation.clone(),
        program: row.program.clone(),
        root: program.root.clone(),
        workspace: program.workspace.clone(),
        turn: row.last_turn,
        digest: row.digest(conversation),
        epoch,
        journaled: row.journaled_turn,
        tail,
        code: Default::default(),
    };
    Some(continuation.authenticated(&world.settings.continuation_key))
}

/// Sends the reply to one submission of a request, and resends it until the entry instance
/// acknowledges it.
#[allow(clippy::too_many_arguments)]
pub fn send_reply(
    world: &mut world::World,
    tick: &world::Tick,
    to: &ids::InstanceName,
    request: ids::RequestId,
    hop: u32,
    turn: ids::Turn,
    attempts: u32,
    outcome: work::Outcome,
    continuation: Option<history::Continuation>,
) {
    let reply = messages::Reply { request, hop, turn, attempts, outcome, continuation };
    let message = messages::Message::Reply(Box::new(reply));
    let timeout = world.settings.default_deadline;
    outbox::send_reliable(world, tick, to, None, message, timeout);
}

/// Refuses one submission of a request for which no call was created.
pub fn refuse_request(
    world: &mut world::World,
    tick: &world::Tick,
    to: &ids::InstanceName,
    request: ids::RequestId,
    hop: u32,
    refusal: errors::Refusal,
) {
    world.tables.decisions.record(tick.now, request, format!("refused: {refusal}"));
    let outcome = work::Outcome::NotRun(refusal);
    send_reply(world, tick, to, request, hop, 0, 0, outcome, None);
}

/// Replies to every request that waits for a call. Keeps the call's row.
pub fn notify_waiters(
    world: &mut world::World,
    tick: &world::Tick,
    key: &ids::CallKey,
    outcome: &work::Outcome,
    continuation: Option<&history::Continuation>,
) {
    let Some(call) = world.tables.calls.rows.get_mut(key) else {
        return;
    };
    call.outcome_sent = true;
    let attempts = call.attempts;
    let turn = if matches!(outcome, work::Outcome::NotRun(_)) { 0 } else { key.turn };
    let text = format!("{} attempts={attempts}", outcome.kind());
    world.tables.decisions.record(tick.now, key, text);
    for waiter in world.tables.calls.take_waiters(key) {
        let (outcome, continuation) = (outcome.clone(), continuation.cloned());
        send_reply(
            world,
            tick,
            &waiter.entry,
            waiter.request,
            waiter.hop,
            turn,
            attempts,
            outcome,
            continuation,
        );
    }
}

/// Ends a call without using up its turn, which stays available.
pub fn end_without_turn(
    world: &mut world::World,
    tick: &world::Tick,
    key: &ids::CallKey,
    outcome: work::Outcome,
) {
    let Some(call) = world.tables.calls.rows.get(key) else {
        return;
    };
    // A call that may have run is never reported as not run.
    let outcome = match outcome {
        work::Outcome::NotRun(_) if call.may_have_run => {
            work::Outcome::Unknown(errors::UnknownReason::EndpointLost)
        }
        outcome => outcome,
    };
    revoke_intent(world, key, &outcome);
    notify_waiters(world, tick, key, &outcome, None);
    uncount_turn(world, key);
    remove_call(world, tick, key);
}

/// Removes a call that took no turn from the count against its program's turn limit.
fn uncount_turn(world: &mut world::World, key: &ids::CallKey) {
    let Some(root) = world.tables.calls.rows.get(key).map(|call| call.root.clone()) else {
        return;
    };
    if let Some(account) = world.tables.programs.account_mut(&root) {
        account.turns = account.turns.saturating_sub(1);
    }
}

/// Revokes the intent of a call that is known not to have run.
fn revoke_intent(world: &mut world::World, key: &ids::CallKey, outcome: &work::Outcome) {
    if !matches!(outcome, work::Outcome::NotRun(_)) {
        return;
    }
    let Some(call) = world.tables.calls.rows.get(key) else {
        return;
    };
    let Some(key_text) = call.effect_key.clone() else {
        return;
    };
    let effect_key = effects::EffectKey { root: call.root.clone(), key: key_text.clone() };
    let root = call.root.clone();
    let is_own = world.tables.effects.rows.get(&effect_key).is_some_and(|row| row.call == *key);
    if !is_own {
        return;
    }
    world.tables.effects.rows.remove(&effect_key);
    let outcome = journal::EffectOutcome::NotRun;
    let record = journal::Record::Effect { root, key: key_text, end: outcome };
    journal_writer::append(world, &key.conversation.home, record);
}

/// Charges `spent` to the account of a call's program and releases the call's reservation.
pub fn settle_cost(world: &mut world::World, key: &ids::CallKey, spent: work::Cost) {
    let Some(call) = world.tables.calls.rows.get_mut(key) else {
        return;
    };
    let reserved = std::mem::take(&mut call.reserved);
    let root = call.root.clone();
    let Some(account) = world.tables.programs.account_mut(&root) else {
        return;
    };
    account.reserved = account.reserved.saturating_sub(reserved);
    account.spent = account.spent.saturating_add(spent);
    account.attained = account.attained.saturating_add(spent);
    let waiting_calls = std::mem::take(&mut account.waiting_calls);
    world.tables.dirty.calls_to_reserve.extend(waiting_calls);
}

/// Removes a call's row, timers and index entries. A remaining reservation counts as spent if the
/// call may have run, and is released otherwise.
pub fn remove_call(world: &mut world::World, tick: &world::Tick, key: &ids::CallKey) {
    let Some(call) = world.tables.calls.rows.get(key) else {
        return;
    };
    let spent = if call.may_have_run { call.reserved } else { 0 };
    let root = call.root.clone();
    stop_routing_output(world, key);
    settle_cost(world, key, spent);
    set_state(world, tick, key, calls::State::Waiting);
    world.tables.calls.take_waiters(key);
    world.tables.calls.remove(key);
    if let Some(account) = world.tables.programs.account_mut(&root) {
        account.waiting_calls.remove(key);
    }
    world.tables.timers.clear(&timers::Timer::CallDeadline(key.clone()));
    world.tables.timers.clear(&timers::Timer::CallRetry(key.clone()));
    if let Some(row) = world.tables.conversations.rows.get_mut(&key.conversation) {
        row.active_turns.remove(&key.turn);
        world.tables.dirty.conversations.insert(key.conversation.clone());
    }
}

/// Sets a call's state, and starts or stops monitoring the instance that runs it.
pub fn set_state(
    world: &mut world::World,
    tick: &world::Tick,
    key: &ids::CallKey,
    state: calls::State,
) {
    let endpoint = match world.tables.calls.rows.get(key).map(|call| &call.state) {
        Some(calls::State::Running { endpoint, .. }) => Some(endpoint.clone()),
        _ => None,
    };
    if let Some(endpoint) = endpoint {
        let row = world.tables.endpoints.get_or_insert(&endpoint);
        row.outstanding = row.outstanding.saturating_sub(1);
        stop_resending_dispatch(world, key);
    }
    let (previous, current) = world.tables.calls.set_state(key, state);
    membership::update_watches(world, tick, previous, current);
}

/// Stops resending the dispatch of an attempt that is over, if it is still unacknowledged.
fn stop_resending_dispatch(world: &mut world::World, key: &ids::CallKey) {
    let Some(call) = world.tables.calls.rows.get_mut(key) else {
        return;
    };
    let number = std::mem::take(&mut call.dispatch_number);
    if number > 0 {
        outbox::stop_resending(world, number);
    }
}

/// Routes the generated text of a running model call to the newest request that waits for it.
pub fn route_output(world: &mut world::World, key: &ids::CallKey) {
    let Some(call) = world.tables.calls.rows.get(key) else {
        return;
    };
    let calls::State::Running { attempt, .. } = &call.state else {
        return;
    };
    if !matches!(call.work, work::Work::Model { .. }) {
        return;
    }
    let Some(waiter) = call.waiters.last() else {
        return;
    };
    let output = output::Output::RouteText {
        attempt: attempt.clone(),
        entry: waiter.entry.clone(),
        request: waiter.request,
        prefix: call.prefix.clone(),
    };
    world.emit(output);
}

fn stop_routing_output(world: &mut world::World, key: &ids::CallKey) {
    let attempt = match world.tables.calls.rows.get(key).map(|call| &call.state) {
        Some(calls::State::Running { attempt, .. } | calls::State::Recovering { attempt }) => {
            attempt.clone()
        }
        _ => return,
    };
    world.emit(output::Output::UnrouteText(attempt));
}

/// Asks the instance that runs a call to abort the attempt.
pub fn abort_attempt(world: &mut world::World, tick: &world::Tick, key: &ids::CallKey) {
    let Some(call) = world.tables.calls.rows.get_mut(key) else {
        return;
    };
    let calls::State::Running { attempt, peer, .. } = call.state.clone() else {
        return;
    };
    call.may_have_run = true;
    let message = messages::Message::Abort { attempt };
    let timeout = world.settings.suspect_after;
    outbox::send_reliable(world, tick, &peer.instance, Some(peer.incarnation), message, timeout);
}

/// Detaches a request from its call, and cancels the call if no other request waits for it.
pub fn withdraw_request(world: &mut world::World, tick: &world::Tick, request: ids::RequestId) {
    let Some(key) = world.tables.calls.by_request.remove(&request) else {
        return;
    };
    let Some(call) = world.tables.calls.rows.get_mut(&key) else {
        return;
    };
    call.waiters.retain(|waiter| waiter.request != request);
    if call.waiters.is_empty() && !call.outcome_sent {
        cancel(world, tick, &key);
    }
}

/// Cancels a call. A non-repeatable call that was dispatched continues, so that its result is
/// recorded.
pub fn cancel(world: &mut world::World, tick: &world::Tick, key: &ids::CallKey) {
    let Some(call) = world.tables.calls.rows.get(key) else {
        return;
    };
    let running = matches!(call.state, calls::State::Running { .. });
    if call.state == calls::State::Journaling || (running && call.effect_key.is_some()) {
        return;
    }
    abort_attempt(world, tick, key);
    let may_have_run = world.tables.calls.rows.get(key).is_some_and(|call| call.may_have_run);
    let outcome = if may_have_run {
        work::Outcome::Unknown(errors::UnknownReason::NoAnswer)
    } else {
        work::Outcome::NotRun(errors::Refusal::Cancelled)
    };
    end_without_turn(world, tick, key, outcome);
}

/// Ends a call with a complete response: settles its cost, and records its effect and its turn.
pub fn complete(
    world: &mut world::World,
    tick: &world::Tick,
    key: &ids::CallKey,
    response: work::Response,
    spent: work::Cost,
) {
    settle_cost(world, key, spent);
    let Some(call) = world.tables.calls.rows.get(key) else {
        return;
    };
    let call = call.clone();
    record_effect_response(world, key, &call, &response);
    let (kind, input) = match &call.work {
        work::Work::Model { messages, .. } => (history::TurnKind::Model, messages.clone()),
        _ => (history::TurnKind::Service { status: response.status }, Vec::new()),
    };
    let record = history::TurnRecord {
        turn: key.turn,
        since: call.previous_turn,
        kind,
        request: call.fingerprint,
        input,
        output: response.text.clone(),
        finish: response.finish,
        usage: response.usage,
    };
    if !call.orphaned {
        programs::append_turn(world, &key.conversation, record);
    }
    let outcome = work::Outcome::Done(response);
    let is_orphaned = call.orphaned;
    if call.reply_after_journaling && !is_orphaned {
        if let Some(call) = world.tables.calls.rows.get_mut(key) {
            call.outcome = Some(outcome);
        }
        stop_routing_output(world, key);
        set_state(world, tick, key, calls::State::Journaling);
        world.tables.dirty.calls_to_complete.insert(key.clone());
        return;
    }
    let continuation = build_continuation(world, &key.conversation);
    notify_waiters(world, tick, key, &outcome, continuation.as_ref());
    remove_call(world, tick, key);
}

fn record_effect_response(
    world: &mut world::World,
    key: &ids::CallKey,
    call: &calls::Call,
    response: &work::Response,
) {
    let Some(key_text) = &call.effect_key else {
        return;
    };
    let outcome =
        journal::EffectOutcome::Done { status: response.status, text: response.text.clone() };
    record_effect_outcome(world, key, &call.root, key_text, outcome);
}

/// Records the outcome of an effect in its row and in the journal.
pub fn record_effect_outcome(
    world: &mut world::World,
    key: &ids::CallKey,
    root: &ids::ProgramId,
    key_text: &str,
    outcome: journal::EffectOutcome,
) {
    let effect_key = effects::EffectKey { root: root.clone(), key: key_text.to_owned() };
    let Some(row) = world.tables.effects.rows.get_mut(&effect_key) else {
        return;
    };
    row.state = match &outcome {
        journal::EffectOutcome::Done { status, text } => {
            effects::EffectState::Done { status: *status, text: text.clone() }
        }
        _ => effects::EffectState::Unknown,
    };
    let record =
        journal::Record::Effect { root: root.clone(), key: key_text.to_owned(), end: outcome };
    journal_writer::append(world, &key.conversation.home, record);
}

/// Ends a non-repeatable call with an unknown outcome. Its turn is used up.
pub fn end_with_unknown_outcome(
    world: &mut world::World,
    tick: &world::Tick,
    key: &ids::CallKey,
    reason: errors::UnknownReason,
) {
    let Some(call) = world.tables.calls.rows.get_mut(key) else {
        return;
    };
    call.may_have_run = true;
    let call = call.clone();
    if let Some(key_text) = &call.effect_key {
        record_effect_outcome(world, key, &call.root, key_text, journal::EffectOutcome::Unknown);
    }
    if !call.orphaned {
        programs::record_unknown_turn(world, key, call.fingerprint);
    }
    let continuation = build_continuation(world, &key.conversation);
    notify_waiters(world, tick, key, &work::Outcome::Unknown(reason), continuation.as_ref());
    remove_call(world, tick, key);
}
