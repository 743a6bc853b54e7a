//! Advances turns: looks up the turns that they continue, reserves their part of the budget, and
//! sends the end of a response once its turn is in the log.

use std::time;

use crate::ids;
use crate::journal;
use crate::output;
use crate::systems::budgets;
use crate::systems::completion;
use crate::systems::log_outage;
use crate::systems::lookups;
use crate::systems::placement;
use crate::systems::relay;
use crate::systems::rewriting;
use crate::systems::turn_search;
use crate::tables;
use crate::tables::calls;
use crate::world;

/// A turn that continues others is sent before the log decides on its reservation only if the
/// budget, as known to this gateway, has room for this many turns of the maximum size: other
/// gateways may have run some of the earlier turns.
const EARLY_SEND_TURNS: u64 = 3;

/// Advances the dirty calls.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    for id in std::mem::take(&mut world.tables.dirty.calls) {
        advance(world, tick, id);
    }
}

/// Takes the next step of a call's turn, where one is possible.
fn advance(world: &mut world::World, tick: &world::Tick, id: ids::CallId) {
    let Some(call) = world.tables.calls.rows.get(&id) else { return };
    match call.phase {
        calls::Phase::Resolving => resolve(world, tick, id),
        calls::Phase::Reserving => continue_after_decision(world, tick, id),
        calls::Phase::Placing | calls::Phase::Running => release_events(world, tick, id),
        calls::Phase::Settling => finish_when_settled(world, tick, id),
        calls::Phase::Closed => {}
    }
}

/// Looks up the chain of a turn; fetches a missing turn from the log or, during a log outage, from
/// other gateways.
fn resolve(world: &mut world::World, tick: &world::Tick, id: ids::CallId) {
    let tables = &mut world.tables;
    let Some(call) = tables.calls.rows.get_mut(&id) else { return };
    let Some(turn) = call.turn.as_mut() else { return };
    let chain = turn.previous().map(|previous| tables.turns.chain(previous));
    let missing = match chain {
        Some(Err(tables::turns::ChainError::Missing(missing))) => missing.clone(),
        Some(Err(tables::turns::ChainError::TooLong)) => {
            let refusal = output::Refusal { reason: output::Reason::TooLarge, retry_after: None };
            completion::refuse(world, tick, id, refusal);
            return;
        }
        Some(Ok(_)) | None => {
            if let Some(history) = turn.history.as_mut() {
                // If the chain expires before the turn is sent, another search is needed.
                history.log_search = None;
            }
            reserve_budget(world, tick, id);
            return;
        }
    };
    let Some(history) = turn.history.as_mut() else { return };
    let mut log_search = history.log_search.take();
    let peer_search = &history.peer_search;
    let mut is_absent = peer_search.is_absent && peer_search.turn.as_ref() == Some(&missing);
    let partition = ids::Partition::of_turn(&missing, world.settings.partitions);
    let knowledge = turn_search::advance(tables, tick, partition, &missing, &mut log_search);
    is_absent |= knowledge == turn_search::Knowledge::Absent;
    let Some(call) = tables.calls.rows.get_mut(&id) else { return };
    if let Some(history) = call.turn.as_mut().and_then(|turn| turn.history.as_mut()) {
        history.log_search = log_search;
    }
    if is_absent {
        let refusal = refusal_of_missing_turn(call, &missing);
        completion::refuse(world, tick, id, refusal);
        return;
    }
    if !tables.partitions.is_unreachable {
        return;
    }
    if log_outage::is_log_unreachable(world) {
        log_outage::wait_or_refuse(world, tick, id);
    } else {
        lookups::fetch_chain_from_peer(world, tick, id, &missing);
    }
}

/// Returns the refusal of a turn whose chain has a turn that the log does not have. If it is not the
/// one that the caller named, that one was found, so the chain existed.
fn refusal_of_missing_turn(call: &calls::Call, missing: &ids::TurnId) -> output::Refusal {
    if call.turn.as_ref().and_then(|turn| turn.previous()) == Some(missing) {
        output::Refusal { reason: output::Reason::NoSuchTurn, retry_after: None }
    } else {
        let retry_after = Some(placement::retry_after(call));
        output::Refusal { reason: output::Reason::Unavailable, retry_after }
    }
}

/// Reserves a part of the budget for a turn, and sends the turn at once if the budget probably has
/// room.
pub fn reserve_budget(world: &mut world::World, tick: &world::Tick, id: ids::CallId) {
    if !complete_budget(world, tick, id) {
        return;
    }
    let is_log_unreachable = world.tables.partitions.is_unreachable;
    let closes_at = rewriting::carry_at(world, tick, time::Duration::ZERO);
    let tables = &mut world.tables;
    let Some(turn) = tables.calls.rows.get(&id).and_then(|call| call.turn.as_ref()) else { return };
    let (program, partition) = (turn.program.clone(), turn.partition);
    let is_account_known =
        turn.budget.is_none() || budgets::prepare_account(tables, tick, &program, partition);
    let Some(call) = tables.calls.rows.get_mut(&id) else { return };
    let Some(turn) = call.turn.as_mut() else { return };
    if turn.reservation != calls::Reservation::None {
        // Its chain expired before it was sent, and was looked up again.
        call.phase = calls::Phase::Placing;
        tables.dirty.unplaced_calls.insert(id);
        return;
    }
    let mut may_send = true;
    let mut new_start = None;
    turn.reservation = match turn.budget {
        None => calls::Reservation::Granted,
        Some(budget) => {
            let program = tables.programs.touch(&program, &tables.log_index, tick.now);
            let request = &call.arrival.id;
            if program.settled_tokens + turn.max_tokens > budget {
                // What is settled is never returned, so the log would refuse it as well.
                calls::Reservation::Denied
            } else if let Some(decision) = program.reserve(request, turn.max_tokens, tick.now) {
                decision
            } else {
                let begins_program = turn.begins_program && turn.history.is_some();
                let turns = if begins_program { 1 } else { EARLY_SEND_TURNS };
                let needed = program.projected_tokens() + turn.max_tokens * turns;
                let has_room = is_account_known && needed <= budget;
                turn.waits_for_log = has_room && is_log_unreachable && !call.has_returned;
                may_send = has_room && !turn.waits_for_log;
                let desired_tokens =
                    program.start_allowance(request, turn.max_tokens, budget, closes_at);
                let start = journal::Start {
                    turn: request.clone(),
                    program: turn.program.clone(),
                    min_tokens: turn.max_tokens,
                    desired_tokens,
                    budget,
                    settled: program.unsettled_allowances(),
                    age: time::Duration::ZERO,
                };
                new_start = Some(start);
                calls::Reservation::Pending
            }
        }
    };
    if call.phase != calls::Phase::Resolving && call.phase != calls::Phase::Reserving {
        // The turn is already running, and its events wait for the decision.
        tables.dirty.calls.insert(id);
    } else if may_send {
        call.phase = calls::Phase::Placing;
        tables.dirty.unplaced_calls.insert(id);
    } else {
        call.phase = calls::Phase::Reserving;
        tables.dirty.calls.insert(id);
    }
    match new_start {
        Some(start) => relay::submit(world, tick, journal::Record::Start(start)),
        // A spent program that returns again and again is still one that has to be known.
        None => rewriting::carry_allowances(world, tick, &program),
    }
}

/// Finds the budget of a turn that names none: its program's records may name one. Returns false while
/// they are read.
fn complete_budget(world: &mut world::World, tick: &world::Tick, id: ids::CallId) -> bool {
    let tables = &mut world.tables;
    let Some(call) = tables.calls.rows.get(&id) else { return false };
    let Some(turn) = call.turn.as_ref() else { return false };
    if turn.budget.is_some() || !tables.knows_program(&turn.program, tick.now) {
        return true;
    }
    let (program, partition) = (turn.program.clone(), turn.partition);
    if !budgets::prepare_account(tables, tick, &program, partition) {
        if log_outage::is_log_unreachable(world) {
            log_outage::wait_or_refuse(world, tick, id);
        }
        return false;
    }
    let budget = tables.programs.rows.get(&program).and_then(|row| row.budget);
    if let Some(turn) = tables.calls.rows.get_mut(&id).and_then(|call| call.turn.as_mut()) {
        turn.budget = budget;
        if turn.max_tokens == 0 {
            turn.max_tokens = budget.unwrap_or(0);
        }
    }
    true
}

/// Places or refuses an unsent turn once the log has decided on its reservation.
fn continue_after_decision(world: &mut world::World, tick: &world::Tick, id: ids::CallId) {
    let is_unreachable = world.tables.partitions.is_unreachable;
    let Some(call) = world.tables.calls.rows.get_mut(&id) else { return };
    let waits_for_log = call.turn.as_ref().is_some_and(|turn| turn.waits_for_log);
    match call.turn.as_ref().map(|turn| turn.reservation) {
        Some(calls::Reservation::Pending) if waits_for_log && !is_unreachable => {
            // The log is back, and its decision can come while the turn runs.
            call.phase = calls::Phase::Placing;
            world.tables.dirty.unplaced_calls.insert(id);
        }
        Some(calls::Reservation::Granted) => {
            call.phase = calls::Phase::Placing;
            world.tables.dirty.unplaced_calls.insert(id);
        }
        Some(calls::Reservation::Denied) => completion::refuse_over_budget(world, tick, id),
        _ if log_outage::is_log_unreachable(world) => log_outage::wait_or_refuse(world, tick, id),
        _ => {}
    }
}

/// Releases the events of a running turn to its caller once its reservation is granted.
fn release_events(world: &mut world::World, tick: &world::Tick, id: ids::CallId) {
    let Some(call) = world.tables.calls.rows.get(&id) else { return };
    match call.turn.as_ref().map(|turn| turn.reservation) {
        Some(calls::Reservation::Granted) => world.emit(output::Output::ReleaseEvents(id)),
        Some(calls::Reservation::Denied) => completion::refuse_over_budget(world, tick, id),
        _ => {}
    }
}

/// Sends the end of a response once its reservation is granted and, on a route that keeps history,
/// its turn is in the log. The two records are in different partitions, and either may be stored
/// first.
fn finish_when_settled(world: &mut world::World, tick: &world::Tick, id: ids::CallId) {
    release_events(world, tick, id);
    let Some(call) = world.tables.calls.rows.get_mut(&id) else { return };
    let Some(turn) = call.turn.as_ref() else { return };
    let granted = turn.reservation == calls::Reservation::Granted;
    let stored = turn.history.is_none() || world.tables.turns.rows.contains_key(&call.arrival.id);
    if call.phase != calls::Phase::Settling || !granted || !stored {
        return;
    }
    call.phase = calls::Phase::Closed;
    world.emit(output::Output::Finish(id));
    budgets::charge_turn(world, tick, id);
}
