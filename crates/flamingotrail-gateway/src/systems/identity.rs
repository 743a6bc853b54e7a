//! Tells which workspace a caller belongs to, and refuses callers whose key is not, or is no longer,
//! that of a workspace.

use crate::ids;
use crate::input;
use crate::output;
use crate::systems::admission;
use crate::systems::completion;
use crate::tables::calls;
use crate::tables::timers;
use crate::world;

const UNAUTHORIZED: output::Refusal =
    output::Refusal { reason: output::Reason::Unauthorized, retry_after: None };

/// Who has sent a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Caller {
    /// Workspace of the caller; `None` if it has none.
    pub workspace: Option<ids::WorkspaceName>,
    /// Key that names the workspace.
    pub key: Option<ids::KeyDigest>,
}

/// Refuses the waiting calls that a new configuration no longer allows, and reports the refusals of
/// unknown callers.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    if std::mem::take(&mut world.tables.dirty.workspaces) {
        refuse_removed_callers(world, tick);
    }
    if std::mem::take(&mut world.tables.dirty.unknown_callers) {
        report_unknown_callers(world, tick);
    }
}

/// Returns who has sent a request for `route` with `credential`.
///
/// # Errors
///
/// Fails if the route needs a key and `credential` is none of a workspace.
pub fn authenticate(
    workspaces: Option<&input::Workspaces>,
    route: &input::Route,
    credential: input::Credential,
) -> Result<Caller, output::Refusal> {
    let Some(workspaces) = workspaces else { return Ok(Caller::default()) };
    if let input::Credential::Key(key) = credential {
        if let Some(workspace) = workspaces.by_key.get(&key) {
            return Ok(Caller { workspace: Some(workspace.clone()), key: Some(key) });
        }
    }
    if route.is_public {
        return Ok(Caller::default());
    }
    Err(UNAUTHORIZED)
}

/// Places the ids of a request in its caller's workspace, so that turns and programs of different
/// workspaces are different rows and records everywhere.
pub fn scope_ids(arrival: &mut input::Arrival, workspace: Option<&ids::WorkspaceName>) {
    arrival.id = arrival.id.scoped(workspace);
    if let Some(previous) = arrival.previous.as_mut() {
        *previous = previous.scoped(workspace);
    }
    if let Some(program) = arrival.program.as_mut() {
        program.id = program.id.scoped(workspace);
    }
}

/// Returns the refusal of a call that has not run and whose caller the configuration no longer lets
/// in; `None` if the call may be sent.
pub fn refusal(world: &world::World, call: &calls::Call) -> Option<output::Refusal> {
    if call.may_have_run() {
        return None;
    }
    match (&call.workspace, world.tables.routes.workspaces()) {
        (Some(workspace), workspaces) => {
            let by_key = workspaces.map(|workspaces| &workspaces.by_key);
            let current = call.key.and_then(|key| by_key?.get(&key));
            (current != Some(workspace)).then_some(UNAUTHORIZED)
        }
        // The call came before the workspaces, so its ids are in none. A retry is identified.
        (None, Some(_)) if !call.is_identified => Some(output::Refusal {
            reason: output::Reason::Unavailable,
            retry_after: Some(admission::DEFAULT_RETRY_AFTER),
        }),
        (None, _) => None,
    }
}

/// Counts the refusal of an unknown caller, and schedules its report.
pub fn record_unknown_caller(
    world: &mut world::World,
    tick: &world::Tick,
    credential: input::Credential,
) {
    let due = world.tables.unknown_callers.record(credential, tick.now);
    world.tables.timers.set(timers::Timer::UnknownCallers, due);
    world.emit(output::Output::Count("caller_unknown"));
}

fn refuse_removed_callers(world: &mut world::World, tick: &world::Tick) {
    let calls = world.tables.calls.rows.iter();
    let waiting = calls.filter(|(_, call)| call.phase != calls::Phase::Closed);
    let refused: Vec<_> = waiting
        .filter_map(|(id, call)| refusal(world, call).map(|refusal| (*id, refusal)))
        .collect();
    for (id, refusal) in refused {
        completion::refuse(world, tick, id, refusal);
    }
}

fn report_unknown_callers(world: &mut world::World, tick: &world::Tick) {
    let Some(refusals) = world.tables.unknown_callers.take_report(tick.now) else { return };
    let version = world.tables.routes.version().unwrap_or(0);
    world.emit_event(
        "callers_unknown",
        format_args!(
            "absent={} malformed={} unknown={} version={version}",
            refusals.absent, refusals.malformed, refusals.unknown
        ),
    );
}
