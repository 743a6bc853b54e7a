//! Keeps the calls of each workspace within its allowance, over all gateways together.
//!
//! One gateway owns each workspace and grants rates and units to the gateways that serve it. A call is
//! charged when it is first sent, so that calls which have waited can't add up.

use std::time;

use flamingotrail_core::time as core_time;

use crate::ids;
use crate::output;
use crate::systems::completion;
use crate::tables;
use crate::tables::allowances;
use crate::tables::allowances::holder;
use crate::tables::calls;
use crate::tables::timers;
use crate::world;

pub mod asking;
pub mod granting;
pub mod takeover;

/// Longest time for which a call waits for room, if its route's target latency is not shorter: a new
/// connection to an owner in another region, a round trip, and its question to all gateways.
const MAX_WAIT: time::Duration = time::Duration::from_millis(400);
/// Time after which a caller may return to other gateways if the owner did not answer.
const SILENT_RETRY_AFTER: time::Duration = time::Duration::from_millis(300);
/// Callers follow a request to return later only if the delay is at most their remaining time divided
/// by this number.
const PATIENCE_DIVISOR: u32 = 3;
/// Time for which an answer says something of the workspace.
const ANSWER_TIME: time::Duration = time::Duration::from_secs(5);

/// What to do with a call that has found no room.
enum Decision {
    /// Place it again at this time, or when an answer arrives.
    Wait(core_time::Timestamp),
    /// Refuse it: the workspace has used its allowance.
    OverAllowance,
    /// Refuse it: the owner did not answer.
    OwnerSilent,
}

/// Answers other gateways, applies their answers, and asks owners.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    takeover::run(world, tick);
    granting::run(world, tick);
    asking::run(world, tick);
}

/// Announces a call that has arrived, so that its room is asked for while it is prepared.
pub fn announce(world: &mut world::World, tick: &world::Tick, id: ids::CallId) {
    let Some((workspace, terms)) = charged(world, id) else { return };
    let Some(claim) = claim(&world.tables, id) else { return };
    let tables = &mut world.tables;
    let row = asking::row(tables, &workspace, &terms, tick.now);
    row.record_arrival(id, claim, tick.now);
    row.refresh(tick.now);
    if row.missing(tick.now) > 0 && row.may_ask(tick.now) {
        tables.dirty.allowance_check = true;
    }
}

/// Returns whether a call may be sent now. If not, the call waits or is refused.
pub fn admits(world: &mut world::World, tick: &world::Tick, id: ids::CallId) -> bool {
    let Some((workspace, terms)) = charged(world, id) else { return true };
    let Some(claim) = claim(&world.tables, id) else { return true };
    let row = asking::row(&mut world.tables, &workspace, &terms, tick.now);
    row.refresh(tick.now);
    if row.has_room(claim, tick.now) {
        return true;
    }
    match decide(world, tick, id, &workspace) {
        Some(Decision::Wait(until)) => wait(world, tick, id, &workspace, until),
        Some(Decision::OverAllowance) => refuse_over_allowance(world, tick, id, &workspace, &terms),
        Some(Decision::OwnerSilent) => {
            let retry_after = Some(SILENT_RETRY_AFTER);
            let refusal = output::Refusal { reason: output::Reason::Unavailable, retry_after };
            refuse(world, tick, id, &workspace, &terms, refusal);
        }
        None => {}
    }
    false
}

/// Charges a call that was sent for the first time.
pub fn spend(world: &mut world::World, tick: &world::Tick, id: ids::CallId) {
    let tables = &mut world.tables;
    let Some(claim) = claim(tables, id) else { return };
    let Some(call) = tables.calls.rows.get(&id).filter(|call| call.attempts == 1) else { return };
    let Some(workspace) = call.workspace.as_ref() else { return };
    let Some(row) = tables.allowances.holder.rows.get_mut(workspace) else { return };
    row.spend(id, claim, tick.now);
    world.outputs.push(output::Output::CountCall(workspace.clone(), "sent"));
}

/// Returns the terms of a workspace; `None` if its calls are not limited.
pub fn terms(world: &world::World, workspace: &ids::WorkspaceName) -> Option<allowances::Terms> {
    let configuration = world.tables.routes.current.as_ref()?;
    let row = configuration.workspaces.as_ref()?.rows.get(workspace)?;
    Some(allowances::Terms::new(row.allowance?, &world.settings.allowance_tolerance))
}

/// Returns the workspace of a call that has yet to be charged, with its terms.
fn charged(
    world: &world::World,
    id: ids::CallId,
) -> Option<(ids::WorkspaceName, allowances::Terms)> {
    let call = world.tables.calls.rows.get(&id).filter(|call| call.attempts == 0)?;
    let workspace = call.workspace.as_ref()?;
    Some((workspace.clone(), terms(world, workspace)?))
}

fn claim(tables: &tables::Tables, id: ids::CallId) -> Option<holder::Claim> {
    let call = tables.calls.rows.get(&id)?;
    let turn = call.turn.as_ref();
    Some(holder::Claim {
        is_first: turn.is_some_and(|turn| turn.begins_program),
        continues_program: turn.is_some_and(|turn| !turn.begins_program),
        has_returned: call.has_returned,
    })
}

/// Decides about a call without room: it waits while an answer or the lease may still give it room in
/// time.
fn decide(
    world: &mut world::World,
    tick: &world::Tick,
    id: ids::CallId,
    workspace: &ids::WorkspaceName,
) -> Option<Decision> {
    let target_latency = world.tables.calls.rows.get(&id)?.target_latency;
    let holder = &mut world.tables.allowances.holder;
    let row = holder.rows.get_mut(workspace)?;
    let max_wait = MAX_WAIT.min(target_latency);
    let wait_end = *row.waiting.entry(id).or_insert_with(|| tick.now.after(max_wait));
    let answered = row.answered.filter(|(at, _)| tick.now.since(*at) < ANSWER_TIME);
    let is_answered = answered.is_some();
    let refusal = if is_answered { Decision::OverAllowance } else { Decision::OwnerSilent };
    if tick.now >= wait_end || row.is_owner_silent(tick.now) {
        return Some(refusal);
    }
    let is_asked = row.owner.as_ref().is_some_and(|owner| holder.asked.contains_key(owner));
    let next_room = row.next_room(tick.now).map(|wait| tick.now.after(wait));
    // An answer takes as long as the one before.
    let round_trip = answered.map_or(time::Duration::ZERO, |(at, sent_at)| at.since(sent_at));
    let next_answer = row.ask_at().max(tick.now).after(round_trip);
    let next_answer = if is_asked { next_answer.min(wait_end) } else { next_answer };
    // A first turn may have to leave the room that there is to others.
    let next = next_room.map_or(next_answer, |at| at.min(next_answer));
    if next > wait_end {
        return Some(refusal);
    }
    Some(Decision::Wait(if next > tick.now { next } else { wait_end }))
}

fn wait(
    world: &mut world::World,
    tick: &world::Tick,
    id: ids::CallId,
    workspace: &ids::WorkspaceName,
    until: core_time::Timestamp,
) {
    let tables = &mut world.tables;
    tables.timers.set(timers::Timer::CallRetry(id), until);
    let Some(row) = tables.allowances.holder.rows.get(workspace) else { return };
    if row.missing(tick.now) > 0 && row.may_ask(tick.now) {
        tables.dirty.allowance_check = true;
    }
}

fn refuse_over_allowance(
    world: &mut world::World,
    tick: &world::Tick,
    id: ids::CallId,
    workspace: &ids::WorkspaceName,
    terms: &allowances::Terms,
) {
    let tables = &mut world.tables;
    let Some(call) = tables.calls.rows.get(&id) else { return };
    let Some(row) = tables.allowances.holder.rows.get_mut(workspace) else { return };
    let patience = call.remaining_time(tick.now) / PATIENCE_DIVISOR;
    let retry_after = Some(row.schedule_return(patience, tick.now));
    let refusal = output::Refusal { reason: output::Reason::OverAllowance, retry_after };
    refuse(world, tick, id, workspace, terms, refusal);
}

fn refuse(
    world: &mut world::World,
    tick: &world::Tick,
    id: ids::CallId,
    workspace: &ids::WorkspaceName,
    terms: &allowances::Terms,
    refusal: output::Refusal,
) {
    let tables = &mut world.tables;
    let Some(call) = tables.calls.rows.get(&id) else { return };
    let request = call.arrival.id.clone();
    let Some(row) = tables.allowances.holder.rows.get_mut(workspace) else { return };
    row.forget_call(id);
    let age = row.answered.map(|(at, _)| tick.now.since(at).as_millis());
    let age = age.map_or_else(|| "none".to_owned(), |ms| ms.to_string());
    let (per_s, rate) = (terms.per_s, row.rate(tick.now));
    let retry_ms = refusal.retry_after.unwrap_or_default().as_millis();
    world.emit_event(
        "allowance_refused",
        format_args!(
            "request={request} workspace={workspace} per_s={per_s:.2} rate={rate:.2} age_ms={age} retry_ms={retry_ms}"
        ),
    );
    world.emit(output::Output::CountCall(workspace.clone(), refusal.reason.as_str()));
    completion::refuse(world, tick, id, refusal);
}

/// Whether a call has yet to be sent.
fn is_unsent(calls: &calls::Calls, id: ids::CallId) -> bool {
    let call = calls.rows.get(&id);
    call.is_some_and(|call| call.attempts == 0 && call.phase != calls::Phase::Closed)
}
