//! Admits requests: selects the route and the service, and refuses at once what cannot be served.

use std::collections;
use std::time;

use crate::ids;
use crate::input;
use crate::output;
use crate::systems::allowances;
use crate::systems::crashes;
use crate::systems::identity;
use crate::systems::log_outage;
use crate::systems::service_share;
use crate::systems::shutdown;
use crate::tables::calls;
use crate::tables::programs;
use crate::tables::routes;
use crate::tables::timers;
use crate::world;

/// Delay before a retry when this gateway cannot serve a call but another one may.
pub const DEFAULT_RETRY_AFTER: time::Duration = time::Duration::from_millis(100);

/// Admits the requests in the inbox.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    for arrival in std::mem::take(&mut world.tables.inbox.arrivals) {
        admit(world, tick, arrival);
    }
}

fn admit(world: &mut world::World, tick: &world::Tick, arrival: input::Arrival) {
    let id = arrival.call;
    let built = build_call(world, tick, arrival).and_then(|mut call| {
        let refusal = shutdown::limit_deadline(world, tick, &mut call).err();
        let refusal = refusal.or_else(|| crashes::refusal(world, tick, &call));
        let refusal = refusal.or_else(|| service_share::refuse_for_others(world, &call));
        match refusal.or_else(|| log_outage::refuse_for_room(world, &call)) {
            Some(refusal) => Err(Box::new((call.arrival, refusal))),
            None => Ok(call),
        }
    });
    let call = match built {
        Ok(call) => call,
        Err(refused) => {
            let (arrival, refusal) = *refused;
            if refusal.reason == output::Reason::Unauthorized {
                identity::record_unknown_caller(world, tick, arrival.credential);
                world.emit(output::Output::Refuse(id, refusal));
                return;
            }
            let reason = refusal.reason.as_str();
            let version = world.tables.routes.version().unwrap_or(0);
            let detail = format_args!(
                "request={} reason={reason} host={} path={} version={version}",
                arrival.id, arrival.host, arrival.path
            );
            world.emit_event("refused", detail);
            world.emit(output::Output::Refuse(id, refusal));
            return;
        }
    };
    world.tables.timers.set(timers::Timer::CallDeadline(id), call.deadline);
    match call.phase {
        calls::Phase::Placing => world.tables.dirty.unplaced_calls.insert(id),
        _ => world.tables.dirty.calls.insert(id),
    };
    world.tables.calls.insert(call);
    allowances::announce(world, tick, id);
}

/// Builds the call of a request, or returns the request with the reason for its refusal.
fn build_call(
    world: &world::World,
    tick: &world::Tick,
    mut arrival: input::Arrival,
) -> Result<calls::Call, Box<(input::Arrival, output::Refusal)>> {
    let unavailable = output::Refusal {
        reason: output::Reason::Unavailable,
        retry_after: Some(DEFAULT_RETRY_AFTER),
    };
    let no_route = output::Refusal { reason: output::Reason::NoRoute, retry_after: None };
    let route = match world.tables.routes.select(&arrival.host, &arrival.path) {
        routes::Selection::NotConfigured => return Err(Box::new((arrival, unavailable))),
        routes::Selection::NoMatch => return Err(Box::new((arrival, no_route))),
        routes::Selection::Route(route) => route,
    };
    let workspaces = world.tables.routes.workspaces();
    let caller = match identity::authenticate(workspaces, route, arrival.credential) {
        Ok(caller) => caller,
        Err(refusal) => return Err(Box::new((arrival, refusal))),
    };
    if workspaces.is_some() {
        identity::scope_ids(&mut arrival, caller.workspace.as_ref());
    }
    let key = arrival.program.as_ref().map_or(arrival.id.as_str(), |program| program.id.as_str());
    let Some(service) = routes::pick_service(route, key) else {
        return Err(Box::new((arrival, unavailable)));
    };
    let timeout = arrival.timeout.unwrap_or(route.timeout).min(route.timeout);
    let engine = world.tables.routes.engine(service);
    let turn = build_turn(world, tick, &arrival, route, engine);
    let keeps_history = turn.as_ref().is_some_and(|turn| turn.history.is_some());
    let resume_after = match resume_point(&arrival, route, keeps_history) {
        Ok(resume_after) => resume_after,
        Err(refusal) => return Err(Box::new((arrival, refusal))),
    };
    let phase = match turn {
        Some(_) => calls::Phase::Resolving,
        None => calls::Phase::Placing,
    };
    Ok(calls::Call {
        workspace: caller.workspace,
        key: caller.key,
        is_identified: workspaces.is_some(),
        route: route.name.clone(),
        kind: route.kind,
        priority: route.priority,
        target_latency: route.target_latency,
        max_attempts: route.max_attempts,
        engine: engine.cloned(),
        service: service.clone(),
        deadline: arrival.received.after(timeout),
        has_returned: log_outage::has_returned(timeout, route.timeout),
        max_silence: route.max_silence,
        phase,
        attempts: 0,
        possible_runs: 0,
        tried_endpoints: collections::BTreeSet::new(),
        ran_endpoints: collections::BTreeSet::new(),
        streamed: calls::StreamedEvents { last: resume_after, ..Default::default() },
        running: None,
        status: None,
        turn,
        held: service_share::held(&world.settings.call_limits, &arrival),
        arrival,
    })
}

/// Returns the id of the event after which the response is to continue; `None` for its beginning.
///
/// # Errors
///
/// Fails if the caller names no event, or if the route keeps history: the output of the turn that
/// broke off is not known here, so the turn could not be stored whole.
fn resume_point(
    arrival: &input::Arrival,
    route: &input::Route,
    keeps_history: bool,
) -> Result<Option<u64>, output::Refusal> {
    if route.kind != input::RouteKind::ResumableStream {
        return Ok(None);
    }
    match arrival.resume_after {
        None => Ok(None),
        Some(input::ResumePoint::Event(_)) if keeps_history => Err(output::Refusal {
            reason: output::Reason::Unavailable,
            retry_after: Some(DEFAULT_RETRY_AFTER),
        }),
        Some(input::ResumePoint::Event(id)) => Ok(Some(id)),
        Some(input::ResumePoint::Invalid) => {
            Err(output::Refusal { reason: output::Reason::InvalidResume, retry_after: None })
        }
    }
}

/// Builds the state of a turn; returns `None` if the call has neither a history nor a budget.
fn build_turn(
    world: &world::World,
    tick: &world::Tick,
    arrival: &input::Arrival,
    route: &input::Route,
    engine: Option<&input::Engine>,
) -> Option<calls::Turn> {
    if !route.kind.is_stream() {
        return None;
    }
    let header = arrival.program.as_ref();
    let history = route.retention.map(|_| calls::History {
        previous: arrival.previous.clone(),
        ..calls::History::default()
    });
    // The smallest budget that was named for a program holds, also for turns that name none.
    let known_program = header.and_then(|header| world.tables.programs.rows.get(&header.id));
    let known = known_program.and_then(|program| program.budget);
    let budget = header.and_then(|header| header.budget).into_iter().chain(known).min();
    // The budget of a program whose row was removed from memory is read again from the log.
    let has_records = header.is_some_and(|header| world.tables.knows_program(&header.id, tick.now));
    if history.is_none() && budget.is_none() && !has_records {
        return None;
    }
    let begins_program = match &history {
        Some(history) => history.previous.is_none(),
        None => !known_program.is_some_and(programs::Program::has_begun),
    };
    // A turn that names no maximum may use all of its budget.
    let usage = arrival.usage.filter(|usage| usage.max_output > 0);
    let max_tokens = usage.map(|usage| usage.max_output).or(budget).unwrap_or(0);
    let max_tokens = round_to_events(max_tokens, budget, engine);
    // A turn without a program counts as a program of its own.
    let program =
        header.map_or_else(|| ids::ProgramId::new(arrival.id.as_str()), |header| header.id.clone());
    Some(calls::Turn {
        partition: ids::Partition::of_program(&program, world.settings.partitions),
        program,
        history,
        begins_program,
        waits_for_log: false,
        max_tokens,
        budget,
        reservation: calls::Reservation::None,
        delivered_tokens: 0,
        is_charged: false,
    })
}

/// Rounds the maximum number of tokens of a turn up to whole events, by which tokens are counted; but
/// not beyond a budget that has room for the maximum itself.
fn round_to_events(max_tokens: u64, budget: Option<u64>, engine: Option<&input::Engine>) -> u64 {
    let tokens_per_event = engine.map_or(1, |engine| engine.tokens_per_event.max(1));
    let rounded = max_tokens.checked_next_multiple_of(tokens_per_event).unwrap_or(max_tokens);
    rounded.min(budget.unwrap_or(rounded)).max(max_tokens)
}
