//! Request handling at an entry instance: assigns ids, finds the partition owner, resends the
//! request if the owner does not respond, and returns the response to the caller.

use std::time as std_time;

use crate::digest;
use crate::errors;
use crate::ids;
use crate::input;
use crate::messages;
use crate::output;
use crate::share;
use crate::systems::due_timers;
use crate::systems::membership;
use crate::systems::outbox;
use crate::systems::request_validation;
use crate::tables::requests;
use crate::tables::timers;
use crate::work;
use crate::world;

/// Time after the deadline during which the owner's reply may still arrive.
const REPLY_GRACE: std_time::Duration = std_time::Duration::from_millis(500);
/// When a caller is to return whose workspace holds its share of the requests already.
const SHARE_RETRY_AFTER: std_time::Duration = std_time::Duration::from_millis(200);
/// Delay before the candidates are tried again, once every one of them was tried.
const ROUND_DELAY: std_time::Duration = std_time::Duration::from_millis(200);

/// Processes callers' requests, and messages from owners.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    process_requests(world, tick);
    process_disconnects(world, tick);
    process_acceptances(world);
    process_redirects(world, tick);
    process_replies(world, tick);
    process_delivered_text(world);
    handle_accept_timeouts(world);
    handle_deadlines(world, tick);
    for request in std::mem::take(&mut world.tables.dirty.requests_to_send) {
        advance_request(world, tick, request);
    }
}

fn process_requests(world: &mut world::World, tick: &world::Tick) {
    for caller in std::mem::take(&mut world.tables.inbox.caller_requests) {
        let request = caller.request;
        match admit_request(world, tick, caller) {
            Ok(()) => {
                world.tables.dirty.requests_to_send.insert(request);
            }
            Err(refusal) => respond_to_caller(world, request, work::Outcome::NotRun(refusal)),
        }
    }
}

fn admit_request(
    world: &mut world::World,
    tick: &world::Tick,
    caller: input::CallerRequest,
) -> Result<(), errors::Refusal> {
    if !world.accepts_work() {
        return Err(errors::Refusal::Draining);
    }
    let config = world.config().ok_or(errors::Refusal::NoConfiguration)?;
    let key = caller.token_digest.ok_or(errors::Refusal::UnknownKey)?;
    let workspace = config.workspace_for_token(&key).ok_or(errors::Refusal::UnknownKey)?.clone();
    request_validation::validate_work(world, &workspace, &caller)?;
    check_share(world, &workspace)?;
    let (program, origin) = request_validation::assign_program(world, &workspace, &caller)?;
    let conversation = match &caller.conversation {
        Some(conversation) if conversation.home != program.home => {
            return Err(errors::Refusal::BadField {
                field: "x-flamingotrail-conversation".into(),
                detail: "the conversation belongs to another program".into(),
            });
        }
        Some(conversation) => conversation.clone(),
        None if origin == messages::ProgramOrigin::Existing => {
            ids::ConversationId::new(&program.home, world.rng.next_u64())
        }
        // Derives the first conversation from the program, so that a resent first call of a program
        // gets the same conversation.
        None => ids::ConversationId::new(&program.home, program.key),
    };
    let max_deadline = world.settings.max_deadline;
    let time_left = caller.time_left.unwrap_or(world.settings.default_deadline).min(max_deadline);
    let request = caller.request;
    let submit = messages::Submit {
        request,
        hop: 0,
        workspace,
        program: program.clone(),
        parent: caller.parent,
        origin,
        conversation: conversation.clone(),
        turn: caller.turn,
        work: caller.work,
        history: caller.history,
        time_left,
        cost_bound: caller.cost_bound,
        idempotency_key: caller.idempotency_key,
        delivered: String::new(),
        suspect: None,
    };
    let deadline = tick.now.after(time_left);
    let row = requests::Request {
        submit,
        deadline,
        instance: None,
        accepted: false,
        tried_instances: Default::default(),
        awaiting_delivered_text: false,
        may_have_run: false,
    };
    world.tables.requests.insert(request, row);
    world.tables.timers.set(timers::Timer::RequestDeadline(request), deadline.after(REPLY_GRACE));
    world.emit(output::Output::Admitted { request, program, conversation });
    Ok(())
}

/// Checks that the requests of a workspace leave places for those of others.
fn check_share(
    world: &world::World,
    workspace: &ids::WorkspaceName,
) -> Result<(), errors::Refusal> {
    let requests = &world.tables.requests;
    let (all, own) = (requests.rows.len(), requests.count_of(workspace));
    let (max, percent) = (world.settings.max_requests, world.settings.workspace_percent);
    match (share::Share { max, percent }).has_room(all, own, 1) {
        true => Ok(()),
        false => Err(errors::Refusal::Overloaded { retry_after: SHARE_RETRY_AFTER }),
    }
}

/// Sends a request that is not assigned to an instance. A request whose instance does not respond
/// is unassigned first.
fn advance_request(world: &mut world::World, tick: &world::Tick, request: ids::RequestId) {
    let Some(row) = world.tables.requests.rows.get_mut(&request) else {
        return;
    };
    if let Some(instance) = row.instance.clone() {
        row.submit.suspect = Some(instance.clone());
        row.tried_instances.insert(instance);
        row.may_have_run |= row.accepted;
        row.accepted = false;
        row.submit.origin = resend_origin(row.submit.origin);
        let unresponsive = row.submit.suspect.clone();
        world.tables.requests.assign(request, None);
        membership::update_watches(world, tick, unresponsive, None);
        request_delivered_text(world, request);
        return;
    }
    if row.awaiting_delivered_text {
        return;
    }
    send_to_owner(world, tick, request);
}

/// Returns the origin for the next submission of a request. Only the first submission of a
/// program's first call is [`messages::ProgramOrigin::Fresh`].
fn resend_origin(origin: messages::ProgramOrigin) -> messages::ProgramOrigin {
    match origin {
        messages::ProgramOrigin::Fresh => messages::ProgramOrigin::Started,
        other => other,
    }
}

/// Requests the text that was already delivered to the caller, so that the next owner continues
/// after it.
fn request_delivered_text(world: &mut world::World, request: ids::RequestId) {
    if let Some(row) = world.tables.requests.rows.get_mut(&request) {
        row.awaiting_delivered_text = true;
        world.emit(output::Output::FetchDeliveredText(request));
    }
}

fn process_delivered_text(world: &mut world::World) {
    for (request, text) in std::mem::take(&mut world.tables.inbox.delivered_texts) {
        let Some(row) = world.tables.requests.rows.get_mut(&request) else {
            continue;
        };
        row.awaiting_delivered_text = false;
        row.submit.delivered = text;
        world.tables.dirty.requests_to_send.insert(request);
    }
}

fn send_to_owner(world: &mut world::World, tick: &world::Tick, request: ids::RequestId) {
    let Some(to) = next_candidate(world, request) else {
        let Some(row) = world.tables.requests.rows.get_mut(&request) else {
            return;
        };
        row.tried_instances.clear();
        let at = tick.now.after(ROUND_DELAY);
        world.tables.timers.set(timers::Timer::RequestAcceptTimeout(request), at);
        return;
    };
    let Some(row) = world.tables.requests.rows.get_mut(&request) else {
        return;
    };
    let time_left = row.deadline.since(tick.now);
    if time_left.is_zero() {
        return;
    }
    row.submit.hop += 1;
    row.submit.time_left = time_left;
    row.accepted = false;
    let submit = row.submit.clone();
    row.submit.origin = resend_origin(row.submit.origin);
    world.tables.requests.assign(request, Some(to.clone()));
    membership::update_watches(world, tick, None, Some(to.clone()));
    let at = tick.now.after(world.settings.accept_timeout);
    world.tables.timers.set(timers::Timer::RequestAcceptTimeout(request), at);
    world.tables.decisions.record(tick.now, request, format!("sent to {to} hop={}", submit.hop));
    let message = messages::Message::Submit(Box::new(submit));
    let timeout = world.settings.accept_timeout;
    outbox::send_reliable(world, tick, &to, None, message, timeout);
}

/// Returns the instance to send the request to: the known owner, otherwise the preferred instance
/// of the home region that was not tried in this round.
fn next_candidate(world: &world::World, request: ids::RequestId) -> Option<ids::InstanceName> {
    let row = world.tables.requests.rows.get(&request)?;
    let home = &row.submit.program.home;
    let instances = &world.tables.instances;
    let is_candidate = |name: &ids::InstanceName| {
        !row.tried_instances.contains(name) && instances.accepts_work(name)
    };
    if let Some(owner) = world.tables.partitions.known_owners.get(home) {
        if is_candidate(owner) {
            return Some(owner.clone());
        }
    }
    preferred_owner(world, home, is_candidate)
}

/// Returns the preferred owner of `partition`: of the endpoint instances in the partition's region
/// for which `is_candidate` holds, the one with the highest rendezvous weight.
pub fn preferred_owner(
    world: &world::World,
    partition: &ids::Partition,
    is_candidate: impl Fn(&ids::InstanceName) -> bool,
) -> Option<ids::InstanceName> {
    let key = partition.to_string();
    let rows = world.tables.instances.rows.iter();
    rows.filter(|(name, row)| {
        let listed = row.listed.as_ref();
        let has_endpoint =
            listed.is_some_and(|l| l.region == partition.region && l.endpoint.is_some());
        has_endpoint && is_candidate(name)
    })
    .map(|(name, _)| name)
    .max_by_key(|name| digest::rendezvous_weight(&key, name.as_str()))
    .cloned()
}

fn process_acceptances(world: &mut world::World) {
    for (from, request, hop, partition) in std::mem::take(&mut world.tables.inbox.acceptances) {
        let Some(row) = world.tables.requests.rows.get_mut(&request) else {
            continue;
        };
        if row.submit.hop != hop {
            continue;
        }
        row.accepted = true;
        world.tables.partitions.known_owners.insert(partition, from);
        world.tables.timers.clear(&timers::Timer::RequestAcceptTimeout(request));
    }
}

fn process_redirects(world: &mut world::World, tick: &world::Tick) {
    for (from, request, hop, owner) in std::mem::take(&mut world.tables.inbox.redirects) {
        let Some(row) = world.tables.requests.rows.get_mut(&request) else {
            continue;
        };
        if row.submit.hop != hop || row.instance.as_ref() != Some(&from) {
            continue;
        }
        row.may_have_run |= row.accepted;
        row.tried_instances.insert(from.clone());
        let home = row.submit.program.home.clone();
        match owner {
            Some(owner) => {
                row.tried_instances.remove(&owner);
                world.tables.partitions.known_owners.insert(home, owner);
            }
            None => {
                world.tables.partitions.known_owners.remove(&home);
            }
        }
        world.tables.requests.assign(request, None);
        membership::update_watches(world, tick, Some(from), None);
        request_delivered_text(world, request);
    }
}

/// Marks requests that were not accepted in time, so that they are sent to another instance.
fn handle_accept_timeouts(world: &mut world::World) {
    let due = due_timers::take_matching(world, |timer| match timer {
        timers::Timer::RequestAcceptTimeout(request) => Some(*request),
        _ => None,
    });
    for request in due {
        let Some(row) = world.tables.requests.rows.get(&request) else {
            continue;
        };
        let home = row.submit.program.home.clone();
        let unanswered = !row.accepted && row.instance.is_some();
        if unanswered && row.instance.as_ref() == world.tables.partitions.known_owners.get(&home) {
            world.tables.partitions.known_owners.remove(&home);
        }
        world.tables.dirty.requests_to_send.insert(request);
    }
}

fn process_replies(world: &mut world::World, tick: &world::Tick) {
    for (from, reply) in std::mem::take(&mut world.tables.inbox.replies) {
        let Some(row) = world.tables.requests.rows.get(&reply.request) else {
            continue;
        };
        if row.submit.hop != reply.hop {
            continue;
        }
        // The intent of a non-repeatable call is in the journal, so its owner knows whether it ran.
        let work = &row.submit.work;
        let repeatable = world.config().is_some_and(|config| config.is_repeatable(work));
        let uncertain = row.may_have_run && repeatable;
        let mut reply = reply;
        if uncertain && matches!(reply.outcome, work::Outcome::NotRun(_)) {
            // An earlier owner had accepted the call, so a byte of it may have reached an endpoint.
            reply.outcome = work::Outcome::Unknown(errors::UnknownReason::OwnerChanged);
        }
        close_request(world, tick, reply.request);
        world.tables.decisions.record(
            tick.now,
            reply.request,
            format!("{} by {from} attempts={}", reply.outcome.kind(), reply.attempts),
        );
        world.emit(output::Output::Respond(Box::new(reply)));
    }
}

fn close_request(world: &mut world::World, tick: &world::Tick, request: ids::RequestId) {
    let instance = world.tables.requests.rows.get(&request).and_then(|row| row.instance.clone());
    world.tables.requests.remove(request);
    membership::update_watches(world, tick, instance, None);
    world.tables.timers.clear(&timers::Timer::RequestAcceptTimeout(request));
    world.tables.timers.clear(&timers::Timer::RequestDeadline(request));
}

fn process_disconnects(world: &mut world::World, tick: &world::Tick) {
    for request in std::mem::take(&mut world.tables.inbox.disconnected_callers) {
        let Some(row) = world.tables.requests.rows.get(&request) else {
            continue;
        };
        let conversation = row.submit.conversation.clone();
        if let Some(instance) = row.instance.clone() {
            let message = messages::Message::Cancel { request, conversation };
            let timeout = world.settings.suspect_after;
            outbox::send_reliable(world, tick, &instance, None, message, timeout);
        }
        close_request(world, tick, request);
    }
}

fn handle_deadlines(world: &mut world::World, tick: &world::Tick) {
    let due = due_timers::take_matching(world, |timer| match timer {
        timers::Timer::RequestDeadline(request) => Some(*request),
        _ => None,
    });
    for request in due {
        let Some(row) = world.tables.requests.rows.get(&request) else {
            continue;
        };
        let was_sent = row.submit.hop > 0;
        let outcome = if was_sent {
            work::Outcome::Unknown(errors::UnknownReason::NoAnswer)
        } else {
            work::Outcome::NotRun(errors::Refusal::DeadlinePassed)
        };
        close_request(world, tick, request);
        respond_to_caller(world, request, outcome);
    }
}

/// Responds to a caller without a reply from an owner.
fn respond_to_caller(world: &mut world::World, request: ids::RequestId, outcome: work::Outcome) {
    let reply =
        messages::Reply { request, hop: 0, turn: 0, attempts: 0, outcome, continuation: None };
    world.emit(output::Output::Respond(Box::new(reply)));
}
