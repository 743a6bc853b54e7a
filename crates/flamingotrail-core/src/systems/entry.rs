//! Requests at an entry: names their ids, finds the owner, sends them again when it is silent, and
//! hands the answer to the caller.

use std::time as std_time;

use crate::digest;
use crate::errors;
use crate::ids;
use crate::input;
use crate::messages;
use crate::output;
use crate::systems::membership;
use crate::systems::naming;
use crate::systems::outbox;
use crate::systems::timers as due;
use crate::tables::requests;
use crate::tables::timers;
use crate::work;
use crate::world;

/// Time beyond the deadline in which the owner's word on the outcome may still arrive.
const GRACE: std_time::Duration = std_time::Duration::from_millis(500);
/// Delay before every candidate is asked again.
const ROUND_DELAY: std_time::Duration = std_time::Duration::from_millis(200);

/// Takes callers' requests and owners' answers.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    take_callers(world, tick);
    take_gone(world, tick);
    take_accepted(world);
    take_redirects(world, tick);
    take_replies(world, tick);
    take_delivered(world);
    accept_due(world);
    deadline_due(world, tick);
    for request in std::mem::take(&mut world.tables.dirty.requests) {
        move_on(world, tick, request);
    }
}

fn take_callers(world: &mut world::World, tick: &world::Tick) {
    for caller in std::mem::take(&mut world.tables.inbox.callers) {
        let request = caller.request;
        match admit(world, tick, caller) {
            Ok(()) => {
                world.tables.dirty.requests.insert(request);
            }
            Err(refusal) => respond(world, request, work::Outcome::NotRun(refusal)),
        }
    }
}

fn admit(
    world: &mut world::World,
    tick: &world::Tick,
    caller: input::CallerRequest,
) -> Result<(), errors::Refusal> {
    if !world.accepts_work() {
        return Err(errors::Refusal::Draining);
    }
    let objects = world.config().ok_or(errors::Refusal::NoConfiguration)?;
    let key = caller.token_digest.ok_or(errors::Refusal::UnknownKey)?;
    let workspace = objects.workspace_for_token(&key).ok_or(errors::Refusal::UnknownKey)?.clone();
    naming::check_work(world, &workspace, &caller)?;
    let (program, origin) = naming::name_program(world, &workspace, &caller)?;
    let conversation = match &caller.conversation {
        Some(conversation) if conversation.home != program.home => {
            return Err(errors::Refusal::BadField {
                field: "x-flamingotrail-conversation".into(),
                detail: "the conversation is not one of the program".into(),
            });
        }
        Some(conversation) => conversation.clone(),
        None if origin == messages::ProgramOrigin::Existing => {
            ids::ConversationId::new(&program.home, world.rng.next_u64())
        }
        // The first conversation of a new program: the same for a repeat of the same first call.
        None => ids::ConversationId::new(&program.home, program.key),
    };
    let longest = world.settings.max_deadline;
    let time_left = caller.time_left.unwrap_or(world.settings.default_deadline).min(longest);
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
        asked: Default::default(),
        recovering: false,
        may_have_run: false,
    };
    world.tables.requests.rows.insert(request, row);
    world.tables.timers.set(timers::Timer::RequestDeadline(request), deadline.after(GRACE));
    world.emit(output::Output::Admitted { request, program, conversation });
    Ok(())
}

/// Sends a request that has no process, or whose process is silent.
fn move_on(world: &mut world::World, tick: &world::Tick, request: ids::RequestId) {
    let Some(row) = world.tables.requests.rows.get_mut(&request) else {
        return;
    };
    if let Some(instance) = row.instance.clone() {
        row.submit.suspect = Some(instance.clone());
        row.asked.insert(instance);
        row.may_have_run |= row.accepted;
        row.accepted = false;
        row.submit.origin = later(row.submit.origin);
        let left = row.submit.suspect.clone();
        world.tables.requests.assign(request, None);
        membership::watch(world, tick, left, None);
        recover(world, request);
        return;
    }
    if row.recovering {
        return;
    }
    send(world, tick, request);
}

/// Whatever comes after a first sending is no longer fresh.
fn later(origin: messages::ProgramOrigin) -> messages::ProgramOrigin {
    match origin {
        messages::ProgramOrigin::Fresh => messages::ProgramOrigin::Started,
        other => other,
    }
}

/// Asks for the text that the caller has, so that the next owner goes on behind it.
fn recover(world: &mut world::World, request: ids::RequestId) {
    if let Some(row) = world.tables.requests.rows.get_mut(&request) {
        row.recovering = true;
        world.emit(output::Output::FetchDeliveredText(request));
    }
}

fn take_delivered(world: &mut world::World) {
    for (request, text) in std::mem::take(&mut world.tables.inbox.delivered) {
        let Some(row) = world.tables.requests.rows.get_mut(&request) else {
            continue;
        };
        row.recovering = false;
        row.submit.delivered = text;
        world.tables.dirty.requests.insert(request);
    }
}

fn send(world: &mut world::World, tick: &world::Tick, request: ids::RequestId) {
    let Some(to) = candidate(world, request) else {
        let Some(row) = world.tables.requests.rows.get_mut(&request) else {
            return;
        };
        row.asked.clear();
        let at = tick.now.after(ROUND_DELAY);
        world.tables.timers.set(timers::Timer::RequestAccept(request), at);
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
    row.submit.origin = later(row.submit.origin);
    world.tables.requests.assign(request, Some(to.clone()));
    membership::watch(world, tick, None, Some(to.clone()));
    let at = tick.now.after(world.settings.accept_timeout);
    world.tables.timers.set(timers::Timer::RequestAccept(request), at);
    world.tables.decisions.note(tick.now, request, format!("sent to {to} hop={}", submit.hop));
    let message = messages::Message::Submit(Box::new(submit));
    let lasting = world.settings.accept_timeout;
    outbox::confirm(world, tick, &to, None, message, lasting);
}

/// The process to ask: the known owner, else the preferred one of the home region that was not
/// asked yet.
fn candidate(world: &world::World, request: ids::RequestId) -> Option<ids::InstanceName> {
    let row = world.tables.requests.rows.get(&request)?;
    let home = &row.submit.program.home;
    let instances = &world.tables.instances;
    let open = |name: &ids::InstanceName| !row.asked.contains(name) && instances.is_open(name);
    if let Some(owner) = world.tables.partitions.owners.get(home) {
        if open(owner) {
            return Some(owner.clone());
        }
    }
    preferred(world, home, open)
}

/// The open process beside an endpoint of the partition's region with the highest rendezvous
/// weight.
pub fn preferred(
    world: &world::World,
    partition: &ids::Partition,
    open: impl Fn(&ids::InstanceName) -> bool,
) -> Option<ids::InstanceName> {
    let key = partition.to_string();
    let rows = world.tables.instances.rows.iter();
    rows.filter(|(name, row)| {
        let listed = row.listed.as_ref();
        let serves = listed.is_some_and(|l| l.region == partition.region && l.endpoint.is_some());
        serves && open(name)
    })
    .map(|(name, _)| name)
    .max_by_key(|name| digest::rendezvous_weight(&key, name.as_str()))
    .cloned()
}

fn take_accepted(world: &mut world::World) {
    for (from, request, hop, partition) in std::mem::take(&mut world.tables.inbox.accepted) {
        let Some(row) = world.tables.requests.rows.get_mut(&request) else {
            continue;
        };
        if row.submit.hop != hop {
            continue;
        }
        row.accepted = true;
        world.tables.partitions.owners.insert(partition, from);
        world.tables.timers.clear(&timers::Timer::RequestAccept(request));
    }
}

fn take_redirects(world: &mut world::World, tick: &world::Tick) {
    for (from, request, hop, owner) in std::mem::take(&mut world.tables.inbox.redirects) {
        let Some(row) = world.tables.requests.rows.get_mut(&request) else {
            continue;
        };
        if row.submit.hop != hop || row.instance.as_ref() != Some(&from) {
            continue;
        }
        row.may_have_run |= row.accepted;
        row.asked.insert(from.clone());
        let home = row.submit.program.home.clone();
        match owner {
            Some(owner) => {
                row.asked.remove(&owner);
                world.tables.partitions.owners.insert(home, owner);
            }
            None => {
                world.tables.partitions.owners.remove(&home);
            }
        }
        world.tables.requests.assign(request, None);
        membership::watch(world, tick, Some(from), None);
        recover(world, request);
    }
}

/// A request that was not taken in time goes to another process.
fn accept_due(world: &mut world::World) {
    let due = due::take_due(world, |timer| match timer {
        timers::Timer::RequestAccept(request) => Some(*request),
        _ => None,
    });
    for request in due {
        let Some(row) = world.tables.requests.rows.get(&request) else {
            continue;
        };
        let home = row.submit.program.home.clone();
        let silent = !row.accepted && row.instance.is_some();
        if silent && row.instance.as_ref() == world.tables.partitions.owners.get(&home) {
            world.tables.partitions.owners.remove(&home);
        }
        world.tables.dirty.requests.insert(request);
    }
}

fn take_replies(world: &mut world::World, tick: &world::Tick) {
    for (from, reply) in std::mem::take(&mut world.tables.inbox.replies) {
        let Some(row) = world.tables.requests.rows.get(&reply.request) else {
            continue;
        };
        if row.submit.hop != reply.hop {
            continue;
        }
        // A call that may not be repeated has its intent in the journal: its owner knows for sure.
        let work = &row.submit.work;
        let repeatable = world.config().is_some_and(|objects| objects.is_repeatable(work));
        let doubtful = row.may_have_run && repeatable;
        let mut reply = reply;
        if doubtful && matches!(reply.outcome, work::Outcome::NotRun(_)) {
            // An earlier owner had taken it: nobody can say that no byte reached an endpoint.
            reply.outcome = work::Outcome::Unknown(errors::UnknownReason::OwnerChanged);
        }
        close(world, tick, reply.request);
        world.tables.decisions.note(
            tick.now,
            reply.request,
            format!("{} by {from} attempts={}", reply.outcome.kind(), reply.attempts),
        );
        world.emit(output::Output::Respond(Box::new(reply)));
    }
}

fn close(world: &mut world::World, tick: &world::Tick, request: ids::RequestId) {
    let instance = world.tables.requests.rows.get(&request).and_then(|row| row.instance.clone());
    world.tables.requests.assign(request, None);
    membership::watch(world, tick, instance, None);
    world.tables.requests.rows.remove(&request);
    world.tables.timers.clear(&timers::Timer::RequestAccept(request));
    world.tables.timers.clear(&timers::Timer::RequestDeadline(request));
}

fn take_gone(world: &mut world::World, tick: &world::Tick) {
    for request in std::mem::take(&mut world.tables.inbox.gone) {
        let Some(row) = world.tables.requests.rows.get(&request) else {
            continue;
        };
        let conversation = row.submit.conversation.clone();
        if let Some(instance) = row.instance.clone() {
            let message = messages::Message::Cancel { request, conversation };
            let lasting = world.settings.suspect_after;
            outbox::confirm(world, tick, &instance, None, message, lasting);
        }
        close(world, tick, request);
    }
}

fn deadline_due(world: &mut world::World, tick: &world::Tick) {
    let due = due::take_due(world, |timer| match timer {
        timers::Timer::RequestDeadline(request) => Some(*request),
        _ => None,
    });
    for request in due {
        let Some(row) = world.tables.requests.rows.get(&request) else {
            continue;
        };
        let ever_sent = row.submit.hop > 0;
        let outcome = if ever_sent {
            work::Outcome::Unknown(errors::UnknownReason::NoAnswer)
        } else {
            work::Outcome::NotRun(errors::Refusal::DeadlinePassed)
        };
        close(world, tick, request);
        respond(world, request, outcome);
    }
}

/// Answers a caller without a word of an owner.
fn respond(world: &mut world::World, request: ids::RequestId, outcome: work::Outcome) {
    let reply =
        messages::Reply { request, hop: 0, turn: 0, attempts: 0, outcome, continuation: None };
    world.emit(output::Output::Respond(Box::new(reply)));
}
