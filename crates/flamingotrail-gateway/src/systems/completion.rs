//! Handles the outcomes of attempts: forwards responses, retries where that is allowed, and refuses
//! other calls with a reason that tells whether they may have run.

use std::time;

use crate::ids;
use crate::input;
use crate::journal;
use crate::output;
use crate::systems::budgets;
use crate::systems::crashes;
use crate::systems::log_outage;
use crate::systems::measurements;
use crate::systems::placement;
use crate::systems::rewriting;
use crate::systems::turn_records;
use crate::tables::calls;
use crate::tables::timers;
use crate::world;

/// Shortest remaining time in which another attempt is still worthwhile.
const MIN_RETRY_TIME: time::Duration = time::Duration::from_millis(20);

/// Handles outcomes, caller disconnects, slow attempts and delivered responses.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    for (id, attempt, outcome) in std::mem::take(&mut world.tables.inbox.outcomes) {
        handle_outcome(world, tick, id, attempt, outcome);
    }
    for id in std::mem::take(&mut world.tables.inbox.disconnected) {
        handle_disconnect(world, tick, id);
    }
    for (id, attempt) in std::mem::take(&mut world.tables.dirty.slow_attempts) {
        cancel_slow_attempt(world, id, attempt);
    }
    for id in std::mem::take(&mut world.tables.inbox.delivered) {
        close_call(world, id);
        remove_if_done(world, id);
    }
}

fn handle_outcome(
    world: &mut world::World,
    tick: &world::Tick,
    id: ids::CallId,
    attempt: u32,
    outcome: input::Outcome,
) {
    let tables = &mut world.tables;
    let Some(call) = tables.calls.rows.get_mut(&id) else { return };
    if call.attempts != attempt {
        return;
    }
    let Some(running) = call.running.take() else { return };
    tables.timers.clear(&timers::Timer::AttemptSlow(id, attempt));
    let may_have_run =
        !matches!(outcome, input::Outcome::NotSent(_) | input::Outcome::Refused { .. });
    if may_have_run {
        call.possible_runs += 1;
        call.ran_endpoints.insert(running.endpoint.clone());
    }
    record_events(call, &outcome);
    measurements::record_endpoint_health(world, tick, id, &running, &outcome);
    measurements::record_attempt(world, tick, id, &running, &outcome);
    crashes::record_outcome(world, tick, id, &running, &outcome);
    log_attempt(world, tick, id, &running, &outcome);
    let Some(call) = world.tables.calls.rows.get(&id) else { return };
    if call.phase == calls::Phase::Closed {
        release_reservation(world, tick, id);
        remove_if_done(world, id);
        return;
    }
    match outcome {
        input::Outcome::NotSent(_) | input::Outcome::Refused { .. } => retry(world, tick, id),
        input::Outcome::Answered { status, .. } => handle_response(world, tick, id, status),
        input::Outcome::Streamed { complete: true, .. } => {
            handle_complete_stream(world, tick, id, &running.endpoint);
        }
        input::Outcome::Streamed { complete: false, .. } => handle_broken_stream(world, tick, id),
        input::Outcome::Lost(_) | input::Outcome::Cancelled => {
            handle_lost_response(world, tick, id)
        }
    }
}

/// Adds the events of an attempt to those of its call.
fn record_events(call: &mut calls::Call, outcome: &input::Outcome) {
    if let input::Outcome::Streamed { events, last_event, output, .. } = outcome {
        call.streamed.count += events;
        call.streamed.last = last_event.or(call.streamed.last.filter(|_| *events == 0));
        call.streamed.output.push(output.clone());
    }
}

fn log_attempt(
    world: &mut world::World,
    tick: &world::Tick,
    id: ids::CallId,
    running: &calls::RunningAttempt,
    outcome: &input::Outcome,
) {
    let Some(call) = world.tables.calls.rows.get(&id) else { return };
    let text = match outcome {
        input::Outcome::NotSent(failure) => format!("not_sent failure={failure:?}"),
        input::Outcome::Refused { status, .. } => format!("refused status={status}"),
        input::Outcome::Answered { status, .. } => format!("answered status={status}"),
        input::Outcome::Streamed { complete, events, .. } => {
            format!("streamed complete={complete} events={events}")
        }
        input::Outcome::Lost(failure) => format!("lost failure={failure:?}"),
        input::Outcome::Cancelled => "cancelled".to_owned(),
    };
    let detail = format_args!(
        "request={} endpoint={} attempt={} took_ms={} outcome={text}",
        call.arrival.id,
        running.endpoint,
        call.attempts,
        tick.now.since(running.sent_at).as_millis(),
    );
    world.outputs.push(output::Output::Event(output::Event::new("attempt_ended", detail)));
}

/// Retries a call on another endpoint after an attempt that did not run it.
fn retry(world: &mut world::World, tick: &world::Tick, id: ids::CallId) {
    let Some(call) = world.tables.calls.rows.get_mut(&id) else { return };
    if call.remaining_time(tick.now) < MIN_RETRY_TIME {
        fail_call(world, tick, id);
        return;
    }
    call.phase = calls::Phase::Placing;
    world.tables.dirty.unplaced_calls.insert(id);
}

/// Forwards an endpoint's response, or retries after a server error where that is allowed.
fn handle_response(world: &mut world::World, tick: &world::Tick, id: ids::CallId, status: u16) {
    let Some(call) = world.tables.calls.rows.get_mut(&id) else { return };
    if status >= input::SERVER_ERROR_STATUS
        && call.kind.is_repeatable()
        && call.may_retry()
        && call.remaining_time(tick.now) > MIN_RETRY_TIME
    {
        call.phase = calls::Phase::Placing;
        world.tables.dirty.unplaced_calls.insert(id);
        return;
    }
    call.status = Some(status);
    // A stream that has begun can't end with another kind of response.
    let has_streamed = call.streamed.count > 0;
    close_call(world, id);
    release_reservation(world, tick, id);
    world.emit(if has_streamed { output::Output::Abort(id) } else { output::Output::Finish(id) });
}

/// Continues a stream that broke off where its route allows that; otherwise ends its response
/// before its end, so that it does not look complete.
fn handle_broken_stream(world: &mut world::World, tick: &world::Tick, id: ids::CallId) {
    let tokens_per_event = tokens_per_event(world, id);
    let Some(call) = world.tables.calls.rows.get_mut(&id) else { return };
    // Without the id of its last event, a stream can be repeated only from its beginning.
    let has_position = call.streamed.count == 0 || call.streamed.last.is_some();
    let event_limit_reached =
        call.max_events(tokens_per_event).is_some_and(|max| call.streamed.count >= max);
    if call.kind == input::RouteKind::ResumableStream
        && has_position
        && !event_limit_reached
        && call.may_retry()
        && call.remaining_time(tick.now) > MIN_RETRY_TIME
    {
        let detail = format_args!(
            "request={} events={} after={}",
            call.arrival.id,
            call.streamed.count,
            call.streamed.last.unwrap_or(0)
        );
        world.outputs.push(output::Output::Event(output::Event::new("stream_resumed", detail)));
        call.phase = calls::Phase::Placing;
        world.tables.dirty.unplaced_calls.insert(id);
        return;
    }
    close_call(world, id);
    release_reservation(world, tick, id);
    world.emit(output::Output::Abort(id));
}

/// Ends the call of a complete stream: submits its turn to the log if its route keeps history, and
/// waits for the decision on its reservation.
fn handle_complete_stream(
    world: &mut world::World,
    tick: &world::Tick,
    id: ids::CallId,
    endpoint: &ids::EndpointId,
) {
    let tokens_per_event = tokens_per_event(world, id);
    let tables = &mut world.tables;
    let Some(call) = tables.calls.rows.get_mut(&id) else { return };
    let tokens = call.streamed.count * tokens_per_event;
    let Some(turn) = call.turn.as_mut() else {
        close_call(world, id);
        world.emit(output::Output::Finish(id));
        return;
    };
    turn.delivered_tokens = tokens;
    call.phase = calls::Phase::Settling;
    tables.dirty.calls.insert(id);
    let Some(history) = turn.history.as_ref() else { return };
    let end = journal::End {
        turn: call.arrival.id.clone(),
        previous: history.previous.clone(),
        endpoint: endpoint.clone(),
        input: call.arrival.body.clone(),
        output: joined(&call.streamed.output),
        age: time::Duration::ZERO,
    };
    let detail = format_args!(
        "request={} program={} previous={} tokens={tokens}",
        call.arrival.id,
        turn.program,
        history.previous.as_ref().map_or("none", |previous| previous.as_str()),
    );
    world.outputs.push(output::Output::Event(output::Event::new("turn_ended", detail)));
    let previous = history.previous.clone();
    turn_records::submit(world, tick, end);
    if let Some(previous) = previous {
        rewriting::rewrite_old_turns(world, tick, &previous);
    }
}

/// Joins the outputs of a stream's attempts, without a copy if there is only one.
fn joined(outputs: &[bytes::Bytes]) -> bytes::Bytes {
    match outputs {
        [output] => output.clone(),
        outputs => outputs.concat().into(),
    }
}

/// Retries or fails a call whose attempt may have run but has no response.
fn handle_lost_response(world: &mut world::World, tick: &world::Tick, id: ids::CallId) {
    let Some(call) = world.tables.calls.rows.get_mut(&id) else { return };
    if call.kind.is_repeatable()
        && call.may_retry()
        && call.remaining_time(tick.now) > MIN_RETRY_TIME
    {
        call.phase = calls::Phase::Placing;
        world.tables.dirty.unplaced_calls.insert(id);
        return;
    }
    fail_call(world, tick, id);
}

/// Fails a call that cannot be served; the reason depends on whether it may have run.
pub fn fail_call(world: &mut world::World, tick: &world::Tick, id: ids::CallId) {
    let Some(call) = world.tables.calls.rows.get(&id) else { return };
    let not_run = call.possible_runs == 0 && call.running.is_none();
    let refusal = if not_run {
        log_outage::refusal(world, call).unwrap_or_else(|| output::Refusal {
            reason: output::Reason::Unavailable,
            retry_after: Some(placement::retry_after(call)),
        })
    } else if call.remaining_time(tick.now) < MIN_RETRY_TIME {
        output::Refusal { reason: output::Reason::TimedOut, retry_after: None }
    } else {
        output::Refusal { reason: output::Reason::Lost, retry_after: None }
    };
    refuse(world, tick, id, refusal);
}

/// Refuses a call whose budget is spent. The caller may be told so only if the call did not run.
pub fn refuse_over_budget(world: &mut world::World, tick: &world::Tick, id: ids::CallId) {
    let Some(call) = world.tables.calls.rows.get(&id) else { return };
    let has_run = call.possible_runs > 0 || call.running.is_some();
    let reason = if has_run { output::Reason::Lost } else { output::Reason::BudgetSpent };
    refuse(world, tick, id, output::Refusal { reason, retry_after: None });
}

/// Refuses a call and cancels its attempt.
pub fn refuse(
    world: &mut world::World,
    tick: &world::Tick,
    id: ids::CallId,
    refusal: output::Refusal,
) {
    let Some(call) = world.tables.calls.rows.get(&id) else { return };
    let detail = format_args!(
        "request={} reason={} attempts={} ran={} waited_ms={} phase={:?}",
        call.arrival.id,
        refusal.reason.as_str(),
        call.attempts,
        call.possible_runs,
        tick.now.since(call.arrival.received).as_millis(),
        call.phase,
    );
    world.outputs.push(output::Output::Event(output::Event::new("refused", detail)));
    stop_call(world, tick, id);
    world.emit(output::Output::Refuse(id, refusal));
}

/// Stops a call whose caller has disconnected.
fn handle_disconnect(world: &mut world::World, tick: &world::Tick, id: ids::CallId) {
    let Some(call) = world.tables.calls.rows.get(&id) else { return };
    if call.phase != calls::Phase::Closed {
        let detail = format_args!(
            "request={} waited_ms={} phase={:?}",
            call.arrival.id,
            tick.now.since(call.arrival.received).as_millis(),
            call.phase
        );
        world.outputs.push(output::Output::Event(output::Event::new("caller_left", detail)));
    }
    stop_call(world, tick, id);
    remove_if_done(world, id);
}

/// Closes a call and cancels its attempt; its reservation is released once the attempt has ended.
fn stop_call(world: &mut world::World, tick: &world::Tick, id: ids::CallId) {
    let Some(call) = world.tables.calls.rows.get(&id) else { return };
    let running = call.running.is_some();
    close_call(world, id);
    if running {
        world.emit(output::Output::Cancel(id));
    } else {
        release_reservation(world, tick, id);
    }
}

/// Marks a call as closed and clears its timers.
fn close_call(world: &mut world::World, id: ids::CallId) {
    if let Some(call) = world.tables.calls.rows.get_mut(&id) {
        call.phase = calls::Phase::Closed;
    }
    world.tables.timers.clear(&timers::Timer::CallDeadline(id));
    world.tables.timers.clear(&timers::Timer::CallRetry(id));
}

/// Cancels an attempt that takes too long, so that the call is retried on another endpoint.
fn cancel_slow_attempt(world: &mut world::World, id: ids::CallId, attempt: u32) {
    let Some(call) = world.tables.calls.rows.get(&id) else { return };
    if call.attempts == attempt && call.running.is_some() && call.phase == calls::Phase::Running {
        world.emit(output::Output::Cancel(id));
    }
}

/// Releases the reservation of a turn that is not stored, less the tokens that its caller received.
fn release_reservation(world: &mut world::World, tick: &world::Tick, id: ids::CallId) {
    let tokens_per_event = tokens_per_event(world, id);
    let Some(call) = world.tables.calls.rows.get_mut(&id) else { return };
    let tokens = call.streamed.count * tokens_per_event;
    if let Some(turn) = call.turn.as_mut() {
        // No events are sent to the caller before the reservation is granted.
        let forwarded = turn.reservation == calls::Reservation::Granted;
        turn.delivered_tokens = turn.delivered_tokens.max(if forwarded { tokens } else { 0 });
    }
    budgets::charge_turn(world, tick, id);
}

/// Returns the number of tokens of each event of a call's stream. If the configuration has changed it
/// since the call was admitted, the larger number counts, so that no token goes uncounted.
pub fn tokens_per_event(world: &world::World, id: ids::CallId) -> u64 {
    let Some(call) = world.tables.calls.rows.get(&id) else { return 1 };
    let engines = call.engine.iter().chain(world.tables.routes.engine(&call.service));
    engines.map(|engine| engine.tokens_per_event).max().unwrap_or(1).max(1)
}

fn remove_if_done(world: &mut world::World, id: ids::CallId) {
    let Some(call) = world.tables.calls.rows.get(&id) else { return };
    if call.phase == calls::Phase::Closed && call.running.is_none() {
        world.tables.calls.remove(id);
        if world.draining_since.is_some() {
            world.tables.dirty.drain = true;
        }
    }
}
