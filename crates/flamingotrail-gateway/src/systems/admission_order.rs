//! The order of the calls that wait for an endpoint, and the urgency that engines are told.

use flamingotrail_core::time as core_time;

use crate::ids;
use crate::systems::admission;
use crate::tables;
use crate::tables::calls;
use crate::tables::priority_classes;

/// Place of a call in the order; the lowest is first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// Priorities, and whether a program begins: the work done for one that has begun is lost if it
    /// fails.
    class: priority_classes::CallClass,
    /// Whether a first turn is new: its caller can still return after a refusal.
    is_new: bool,
    /// Engine time that the workspace has used lately, in whole milliseconds.
    used_ms: u64,
    /// When the call was received.
    received: core_time::Timestamp,
    /// Id of the call, which distinguishes calls that were received together.
    id: ids::CallId,
}

/// Returns the place of a call in the order.
pub fn place(tables: &tables::Tables, call: &calls::Call, now: core_time::Timestamp) -> Place {
    let class = class(tables, call);
    Place {
        class,
        is_new: class.begins_program && !has_returned(tables, call),
        used_ms: tables.shares.used_ms(call.workspace.as_ref(), now) as u64,
        received: call.arrival.received,
        id: call.arrival.call,
    }
}

/// Returns the urgency that an engine is told; `None` for a plain service.
pub fn urgency(tables: &tables::Tables, call: &calls::Call) -> Option<u8> {
    call.engine.as_ref()?;
    let has_workspaces = tables.routes.has_workspaces();
    Some(tables.routes.classes.urgency(class(tables, call), has_workspaces))
}

/// Returns the priorities of a call as the active configuration has them.
pub fn class(tables: &tables::Tables, call: &calls::Call) -> priority_classes::CallClass {
    let row = call.workspace.as_ref().and_then(|name| tables.routes.workspace(name));
    priority_classes::CallClass {
        workspace: tables.routes.classes.workspace_priority(row),
        route: call.priority,
        begins_program: begins_program(call),
    }
}

/// Whether the caller of a call has probably come back after a refusal: it has less time than its
/// route allows, at least by the shortest delay that refused callers are told.
pub fn has_returned(tables: &tables::Tables, call: &calls::Call) -> bool {
    let Some(route) = tables.routes.route(&call.route) else { return call.has_returned };
    let timeout = call.deadline.since(call.arrival.received);
    timeout + admission::DEFAULT_RETRY_AFTER <= route.timeout
}

/// Whether a call is the first turn of a program.
pub fn begins_program(call: &calls::Call) -> bool {
    call.turn.as_ref().is_some_and(|turn| turn.begins_program)
}
