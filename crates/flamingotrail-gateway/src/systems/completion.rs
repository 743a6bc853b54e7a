//! Takes the outcomes of attempts: hands answers on, tries again where that is allowed, and ends
//! calls with a truthful word.

use std::time;

use crate::ids;
use crate::input;
use crate::journal;
use crate::output;
use crate::systems::admission;
use crate::systems::budgets;
use crate::systems::placement;
use crate::systems::relay;
use crate::tables::calls;
use crate::tables::timers;
use crate::world;

/// First status of answers that say the endpoint failed.
const SERVER_ERRORS: u16 = 500;
/// Time left below which another attempt is not worth making.
const MIN_LEFT: time::Duration = time::Duration::from_millis(20);

/// Takes outcomes, callers that left, slow attempts and delivered answers.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    for (id, attempt, outcome) in std::mem::take(&mut world.tables.inbox.outcomes) {
        ended(world, tick, id, attempt, outcome);
    }
    for id in std::mem::take(&mut world.tables.inbox.left) {
        left(world, tick, id);
    }
    for (id, attempt) in std::mem::take(&mut world.tables.dirty.slow) {
        slow(world, id, attempt);
    }
    for id in std::mem::take(&mut world.tables.inbox.delivered) {
        close(world, id);
        remove_if_done(world, id);
    }
}

fn ended(
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
        call.ran += 1;
    }
    judge(world, tick, &running, &outcome);
    compare(world, tick, id, &running, &outcome);
    log(world, tick, id, &running, &outcome);
    let Some(call) = world.tables.calls.rows.get(&id) else { return };
    if call.phase == calls::Phase::Closed {
        void(world, tick, id, &outcome);
        remove_if_done(world, id);
        return;
    }
    match outcome {
        input::Outcome::NotSent(_) | input::Outcome::Refused { .. } => again(world, tick, id),
        input::Outcome::Answered { status, .. } => answered(world, tick, id, status),
        input::Outcome::Streamed { complete: true, events, output, .. } => {
            streamed(world, tick, id, &running.endpoint, events, output);
        }
        input::Outcome::Streamed { complete: false, .. } => {
            void(world, tick, id, &outcome);
            close(world, id);
            world.emit(output::Output::Abort(id));
        }
        input::Outcome::Lost(_) | input::Outcome::Cancelled => lost(world, tick, id),
    }
}

/// Learns about the endpoint from an outcome.
fn judge(
    world: &mut world::World,
    tick: &world::Tick,
    running: &calls::Running,
    outcome: &input::Outcome,
) {
    let Some(row) = world.tables.endpoints.rows.get_mut(&running.endpoint) else { return };
    row.own = row.own.saturating_sub(1);
    match outcome {
        input::Outcome::NotSent(_) | input::Outcome::Lost(_) => row.failed(tick.now),
        input::Outcome::Refused { load, .. } => {
            // A full endpoint that tells its load is placed by that; it has not failed.
            row.told(tick.now, *load);
            if load.is_none() {
                row.failed(tick.now);
            }
        }
        input::Outcome::Answered { status, load, .. } => {
            row.told(tick.now, *load);
            if *status < SERVER_ERRORS {
                row.succeeded();
            } else {
                row.failed(tick.now);
            }
        }
        input::Outcome::Streamed { complete, load, .. } => {
            row.told(tick.now, *load);
            if *complete {
                row.succeeded();
            } else {
                row.failed(tick.now);
            }
        }
        input::Outcome::Cancelled => {}
    }
}

/// Compares the time of an answer with that of others on the same route.
fn compare(
    world: &mut world::World,
    tick: &world::Tick,
    id: ids::CallId,
    running: &calls::Running,
    outcome: &input::Outcome,
) {
    let tables = &mut world.tables;
    let has_answered = match outcome {
        input::Outcome::Answered { status, .. } => *status < SERVER_ERRORS,
        input::Outcome::Streamed { complete, .. } => *complete,
        _ => false,
    };
    let Some(call) = tables.calls.rows.get(&id).filter(|_| has_answered) else { return };
    let ratio = tables.routes.took(&call.route, tick.now.since(running.since));
    if let Some(row) = tables.endpoints.rows.get_mut(&running.endpoint) {
        row.took(ratio, tick.now);
    }
}

fn log(
    world: &mut world::World,
    tick: &world::Tick,
    id: ids::CallId,
    running: &calls::Running,
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
        tick.now.since(running.since).as_millis(),
    );
    world.out.push(output::Output::Event(output::Event::new("attempt_ended", detail)));
}

/// Tries another endpoint after one that did not run the call.
fn again(world: &mut world::World, tick: &world::Tick, id: ids::CallId) {
    let Some(call) = world.tables.calls.rows.get_mut(&id) else { return };
    if call.left(tick.now) < MIN_LEFT {
        fail_call(world, tick, id);
        return;
    }
    call.phase = calls::Phase::Placing;
    world.tables.dirty.place.insert(id);
}

/// Hands an endpoint's answer on, or tries elsewhere after a failure where that is allowed.
fn answered(world: &mut world::World, tick: &world::Tick, id: ids::CallId, status: u16) {
    let Some(call) = world.tables.calls.rows.get_mut(&id) else { return };
    let idempotent = call.kind == input::RouteKind::Idempotent;
    if status >= SERVER_ERRORS
        && idempotent
        && call.may_run_again()
        && call.left(tick.now) > MIN_LEFT
    {
        call.phase = calls::Phase::Placing;
        world.tables.dirty.place.insert(id);
        return;
    }
    call.status = Some(status);
    close(world, id);
    void(world, tick, id, &input::Outcome::Cancelled);
    world.emit(output::Output::Finish(id));
}

/// Puts a whole stream into the journal, or ends it at once where no turn is kept.
fn streamed(
    world: &mut world::World,
    tick: &world::Tick,
    id: ids::CallId,
    endpoint: &ids::EndpointId,
    events: u64,
    output: bytes::Bytes,
) {
    let tokens = events * tokens_per_event(world, id);
    let tables = &mut world.tables;
    let Some(call) = tables.calls.rows.get_mut(&id) else { return };
    let Some(turn) = call.turn.as_mut() else {
        close(world, id);
        world.emit(output::Output::Finish(id));
        return;
    };
    let end = journal::End {
        turn: call.arrival.id.clone(),
        previous: turn.previous.clone(),
        endpoint: endpoint.clone(),
        input: call.arrival.body.clone(),
        output,
    };
    turn.tokens = tokens;
    let detail = format_args!(
        "request={} program={} previous={} tokens={tokens}",
        call.arrival.id,
        turn.program,
        turn.previous.as_ref().map_or("none", |previous| previous.as_str()),
    );
    world.out.push(output::Output::Event(output::Event::new("turn_ended", detail)));
    call.phase = calls::Phase::Settling;
    tables.dirty.calls.insert(id);
    relay::submit(world, tick, journal::Record::End(end));
}

/// Goes on after an attempt that may have run and has no answer.
fn lost(world: &mut world::World, tick: &world::Tick, id: ids::CallId) {
    let Some(call) = world.tables.calls.rows.get_mut(&id) else { return };
    if call.kind == input::RouteKind::Idempotent
        && call.may_run_again()
        && call.left(tick.now) > MIN_LEFT
    {
        call.phase = calls::Phase::Placing;
        world.tables.dirty.place.insert(id);
        return;
    }
    fail_call(world, tick, id);
}

/// Ends a call that can't be served: as not run where that is true.
pub fn fail_call(world: &mut world::World, tick: &world::Tick, id: ids::CallId) {
    let Some(call) = world.tables.calls.rows.get(&id) else { return };
    let not_run = call.ran == 0 && call.running.is_none();
    let refusal = if not_run {
        let outage = call.turn.is_some() && admission::is_log_unreachable(world);
        let retry_after = Some(if outage {
            admission::LOG_OUTAGE_RETRY_AFTER
        } else {
            placement::retry_after(call)
        });
        output::Refusal { reason: output::Reason::Unavailable, retry_after }
    } else if call.left(tick.now) < MIN_LEFT {
        output::Refusal { reason: output::Reason::TimedOut, retry_after: None }
    } else {
        output::Refusal { reason: output::Reason::Lost, retry_after: None }
    };
    refuse(world, tick, id, refusal);
}

/// Ends a call with `refusal`; stops its attempt.
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
        call.ran,
        tick.now.since(call.arrival.received).as_millis(),
        call.phase,
    );
    world.out.push(output::Output::Event(output::Event::new("refused", detail)));
    stop(world, tick, id);
    world.emit(output::Output::Refuse(id, refusal));
}

fn left(world: &mut world::World, tick: &world::Tick, id: ids::CallId) {
    let Some(call) = world.tables.calls.rows.get(&id) else { return };
    if call.phase != calls::Phase::Closed {
        let detail = format_args!(
            "request={} waited_ms={} phase={:?}",
            call.arrival.id,
            tick.now.since(call.arrival.received).as_millis(),
            call.phase
        );
        world.out.push(output::Output::Event(output::Event::new("caller_left", detail)));
    }
    stop(world, tick, id);
    remove_if_done(world, id);
}

/// Closes a call and stops its attempt; what it reserved is free once the attempt has ended.
fn stop(world: &mut world::World, tick: &world::Tick, id: ids::CallId) {
    let Some(call) = world.tables.calls.rows.get(&id) else { return };
    let running = call.running.is_some();
    close(world, id);
    if running {
        world.emit(output::Output::Cancel(id));
    } else {
        void(world, tick, id, &input::Outcome::Cancelled);
    }
}

fn close(world: &mut world::World, id: ids::CallId) {
    if let Some(call) = world.tables.calls.rows.get_mut(&id) {
        call.phase = calls::Phase::Closed;
    }
    world.tables.timers.clear(&timers::Timer::CallDeadline(id));
    world.tables.timers.clear(&timers::Timer::CallRetry(id));
}

fn slow(world: &mut world::World, id: ids::CallId, attempt: u32) {
    let Some(call) = world.tables.calls.rows.get(&id) else { return };
    if call.attempts == attempt && call.running.is_some() && call.phase == calls::Phase::Running {
        world.emit(output::Output::Cancel(id));
    }
}

/// Frees what a turn that does not count has reserved, less what its caller was given.
fn void(world: &mut world::World, tick: &world::Tick, id: ids::CallId, outcome: &input::Outcome) {
    let events = match outcome {
        input::Outcome::Streamed { events, .. } => *events,
        _ => 0,
    };
    let tokens = events * tokens_per_event(world, id);
    let call = world.tables.calls.rows.get_mut(&id);
    if let Some(turn) = call.and_then(|call| call.turn.as_mut()) {
        // Before its part of the budget is granted, none of its events go out.
        let handed = turn.reservation == calls::Reservation::Granted;
        turn.tokens = turn.tokens.max(if handed { tokens } else { 0 });
    }
    budgets::charge_turn(world, tick, id);
}

fn tokens_per_event(world: &world::World, id: ids::CallId) -> u64 {
    let Some(call) = world.tables.calls.rows.get(&id) else { return 1 };
    let service = world.tables.routes.service(&call.service);
    let engine = service.and_then(|service| service.engine.as_ref());
    engine.map_or(1, |engine| engine.tokens_per_event.max(1))
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
