//! Moves turns on: finds the turns that they continue, reserves their part of the budget, and lets
//! the end of an answer go once the journal has its turn.

use std::time;

use crate::ids;
use crate::journal;
use crate::output;
use crate::systems::admission;
use crate::systems::budgets;
use crate::systems::completion;
use crate::systems::relay;
use crate::tables::calls;
use crate::tables::timers;
use crate::world;

/// Turns at their most for which the known part of a budget has to have room, so that a turn that goes
/// on from others is sent before the log has decided: other gateways may have run some of them.
const SURE_TURNS: u64 = 3;

/// Time that a turn waits for a log that no gateway reaches before its caller is told to come back: a
/// program's three tries have to outlast an outage of seconds, and callers leave after 2 s.
const OUTAGE_WAIT: time::Duration = time::Duration::from_millis(1_200);
/// Part of its caller's patience for which such a turn waits at most, in hundredths: a caller that comes
/// back late in its time is told while it can still make use of it.
const OUTAGE_SHARE: u32 = 40;

/// Looks at the dirty calls.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    for id in std::mem::take(&mut world.tables.dirty.calls) {
        step(world, tick, id);
    }
}

fn step(world: &mut world::World, tick: &world::Tick, id: ids::CallId) {
    let Some(call) = world.tables.calls.rows.get(&id) else { return };
    match call.phase {
        calls::Phase::Resolving => resolve(world, tick, id),
        calls::Phase::Reserving => reserved(world, tick, id),
        calls::Phase::Running => open(world, tick, id),
        calls::Phase::Settling => settle(world, tick, id),
        calls::Phase::Placing | calls::Phase::Closed => {}
    }
}

/// Looks up the chain of a turn; asks the log where a turn is missing.
fn resolve(world: &mut world::World, tick: &world::Tick, id: ids::CallId) {
    let tables = &mut world.tables;
    let Some(call) = tables.calls.rows.get_mut(&id) else { return };
    let Some(turn) = call.turn.as_mut() else { return };
    let missing = match turn.previous.as_ref().map(|previous| tables.turns.chain(previous)) {
        Some(Err(missing)) => missing.clone(),
        Some(Ok(_)) | None => {
            reserve_budget(world, tick, id);
            return;
        }
    };
    let partition = ids::Partition::of_turn(&missing, world.settings.partitions);
    let row = tables.partitions.row(partition);
    let mut is_absent = false;
    match &turn.awaits {
        Some((awaited, number)) if *awaited == missing => is_absent = row.caught_up >= *number,
        _ => {
            turn.awaits = Some((missing.clone(), row.ask_read()));
            tables.dirty.partitions.insert(partition);
        }
    }
    if is_absent || turn.search.is_absent {
        let refusal = output::Refusal { reason: output::Reason::NoSuchTurn, retry_after: None };
        completion::refuse(world, tick, id, refusal);
        return;
    }
    if !tables.partitions.is_away {
        return;
    }
    if admission::is_log_unreachable(world) {
        wait_for_log(world, tick, id);
    } else {
        relay::fetch_chain_from_peer(world, tick, id, &missing);
    }
}

/// Lets a turn that can't be sent wait for the log for a while; then its caller had better come back.
fn wait_for_log(world: &mut world::World, tick: &world::Tick, id: ids::CallId) {
    let Some(call) = world.tables.calls.rows.get(&id) else { return };
    let received = call.arrival.received;
    let patience = call.deadline.since(received);
    let end = received.after(OUTAGE_WAIT.min(patience * OUTAGE_SHARE / 100));
    if tick.now < end {
        world.tables.timers.set(timers::Timer::CallRetry(id), end);
    } else {
        completion::fail_call(world, tick, id);
    }
}

/// Sets a part of the budget aside for a turn; sends the turn at once where there is likely room.
pub fn reserve_budget(world: &mut world::World, tick: &world::Tick, id: ids::CallId) {
    let tables = &mut world.tables;
    let Some(call) = tables.calls.rows.get_mut(&id) else { return };
    let Some(turn) = call.turn.as_mut() else { return };
    let mut may_send = true;
    let mut asked = None;
    turn.reservation = match turn.budget {
        None => calls::Reservation::Granted,
        Some(budget) => {
            let program = tables.programs.touch(&turn.program, tick.now);
            let request = &call.arrival.id;
            if let Some(decision) = program.draw(request, turn.max_tokens) {
                decision
            } else {
                let turns = if turn.previous.is_some() { SURE_TURNS } else { 1 };
                may_send = program.expected() + turn.max_tokens * turns <= budget;
                let start = journal::Start {
                    turn: request.clone(),
                    program: turn.program.clone(),
                    least: turn.max_tokens,
                    wanted: program.begin(request, turn.max_tokens, budget),
                    budget,
                    settled: program.to_settle(),
                };
                asked = Some(start);
                calls::Reservation::Pending
            }
        }
    };
    if call.phase != calls::Phase::Resolving {
        // It runs already, and its events wait for the decision.
        tables.dirty.calls.insert(id);
    } else if may_send {
        call.phase = calls::Phase::Placing;
        tables.dirty.place.insert(id);
    } else {
        call.phase = calls::Phase::Reserving;
    }
    if let Some(start) = asked {
        relay::submit(world, tick, journal::Record::Start(start));
    }
}

/// Goes on where the journal has decided on the budget before the turn was sent.
fn reserved(world: &mut world::World, tick: &world::Tick, id: ids::CallId) {
    let Some(call) = world.tables.calls.rows.get_mut(&id) else { return };
    match call.turn.as_ref().map(|turn| turn.reservation) {
        Some(calls::Reservation::Granted) => {
            call.phase = calls::Phase::Placing;
            world.tables.dirty.place.insert(id);
        }
        Some(calls::Reservation::Denied) => {
            let refusal =
                output::Refusal { reason: output::Reason::BudgetSpent, retry_after: None };
            completion::refuse(world, tick, id, refusal);
        }
        _ if admission::is_log_unreachable(world) => wait_for_log(world, tick, id),
        _ => {}
    }
}

/// Lets the events of a running turn go once its part of the budget is granted.
fn open(world: &mut world::World, tick: &world::Tick, id: ids::CallId) {
    let Some(call) = world.tables.calls.rows.get(&id) else { return };
    match call.turn.as_ref().map(|turn| turn.reservation) {
        Some(calls::Reservation::Granted) => world.emit(output::Output::Open(id)),
        Some(calls::Reservation::Denied) => {
            let refusal = output::Refusal { reason: output::Reason::Lost, retry_after: None };
            completion::refuse(world, tick, id, refusal);
        }
        _ => {}
    }
}

/// Lets the end of an answer go once its turn stands in the log and its part of the budget is granted;
/// the two stand in different partitions, and either may come first.
fn settle(world: &mut world::World, tick: &world::Tick, id: ids::CallId) {
    open(world, tick, id);
    let Some(call) = world.tables.calls.rows.get_mut(&id) else { return };
    let granted =
        call.turn.as_ref().is_some_and(|turn| turn.reservation == calls::Reservation::Granted);
    if call.phase != calls::Phase::Settling
        || !granted
        || !world.tables.turns.rows.contains_key(&call.arrival.id)
    {
        return;
    }
    call.phase = calls::Phase::Closed;
    world.emit(output::Output::Finish(id));
    budgets::charge_turn(world, tick, id);
}
