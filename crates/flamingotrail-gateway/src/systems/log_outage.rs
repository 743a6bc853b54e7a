//! Turns that can't be sent while no gateway reaches the log.
//!
//! They wait unsent, so that they go on as soon as the log is back and no engine works for an answer
//! that may never be delivered. Before its caller would leave, a turn is refused as not run, so that
//! the caller can ask again. Then it is run: its caller can't return once more, and the answer is
//! ready when the log is back, when engines are busy with all that has waited.

use std::time;

use crate::ids;
use crate::output;
use crate::systems::completion;
use crate::systems::relay;
use crate::tables::calls;
use crate::tables::timers;
use crate::world;

/// Delay after which the caller of a turn that has waited may ask again.
const RETRY_AFTER: time::Duration = time::Duration::from_millis(100);

/// Whether the log is unreachable from this gateway and, as far as it knows, from all others.
pub fn is_log_unreachable(world: &world::World) -> bool {
    let tables = &world.tables;
    tables.partitions.is_unreachable
        && (tables.peers.rows.is_empty() || !tables.relay.can_peers_reach_log())
}

/// Whether memory has no room for the record of another turn that waits for the log.
pub fn is_out_of_room(world: &world::World) -> bool {
    world.tables.partitions.unlogged_bytes() > world.settings.max_unlogged_bytes
}

/// Returns the refusal of a turn whose history is kept, if memory has no room for its record.
pub fn refuse_for_room(world: &mut world::World, call: &calls::Call) -> Option<output::Refusal> {
    let keeps_history = call.turn.as_ref().is_some_and(|turn| turn.history.is_some());
    if !keeps_history || !is_out_of_room(world) {
        return None;
    }
    world.emit(output::Output::Count("records_limited"));
    let reason = output::Reason::Unavailable;
    Some(output::Refusal { reason, retry_after: Some(RETRY_AFTER) })
}

/// Lets an unsent turn wait for the log; refuses it before its caller would leave.
pub fn wait_or_refuse(world: &mut world::World, tick: &world::Tick, id: ids::CallId) {
    let Some(call) = world.tables.calls.rows.get(&id) else { return };
    let end = call.wait_end();
    if tick.now < end {
        world.tables.timers.set(timers::Timer::CallRetry(id), end);
        return;
    }
    withdraw_start(world, id);
    completion::fail_call(world, tick, id);
}

/// Takes back the request for an allowance of a turn that is refused, unless it may already be in
/// the log: its caller may return to another gateway.
fn withdraw_start(world: &mut world::World, id: ids::CallId) {
    let tables = &mut world.tables;
    let Some(call) = tables.calls.rows.get(&id) else { return };
    let Some(turn) = call.turn.as_ref() else { return };
    let request = &call.arrival.id;
    let Some(program) = tables.programs.rows.get_mut(&turn.program) else { return };
    if program.is_sole_turn(request)
        && relay::withdraw(&mut tables.partitions, &mut tables.relay, turn.partition, request)
    {
        program.withdraw_allowance(request);
    }
}

/// Whether a request has less time than its route allows because its caller was refused before.
pub fn has_returned(timeout: time::Duration, route_timeout: time::Duration) -> bool {
    const RETURN_PERCENT: u32 = 80;
    timeout < route_timeout * RETURN_PERCENT / 100
}

/// Returns the refusal of a call that did not run because of an outage.
pub fn refusal(world: &world::World, call: &calls::Call) -> Option<output::Refusal> {
    (call.turn.is_some() && is_log_unreachable(world)).then_some(output::Refusal {
        reason: output::Reason::Unavailable,
        retry_after: Some(RETRY_AFTER),
    })
}
