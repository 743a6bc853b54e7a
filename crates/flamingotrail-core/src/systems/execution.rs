//! Attempts on the own endpoint: a queue in the order of the policy, and as many at a time as the
//! endpoint has slots.

use std::time as std_time;

use crate::errors;
use crate::ids;
use crate::journal;
use crate::messages;
use crate::output;
use crate::policy;
use crate::systems::holds;
use crate::systems::outbox;
use crate::systems::suspects;
use crate::systems::timers as due;
use crate::tables::runs;
use crate::tables::timers;
use crate::work;
use crate::world;

/// Weight of the newest run in the mean length of runs.
const MEAN_WEIGHT: f64 = 0.1;
/// How long an answer is sent again to an owner that does not confirm it.
const ANSWER_LASTING: std_time::Duration = std_time::Duration::from_secs(120);
/// Wait after which a suspect that must run alone keeps others from starting.
const SUSPECT_PATIENCE: std_time::Duration = std_time::Duration::from_secs(2);

/// Takes attempts, their ends and aborts, and starts what may run.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    for (from, dispatch) in std::mem::take(&mut world.tables.inbox.dispatches) {
        take(world, tick, from, *dispatch);
    }
    for attempt in std::mem::take(&mut world.tables.inbox.aborts) {
        abort(world, tick, &attempt);
    }
    for (attempt, end) in std::mem::take(&mut world.tables.inbox.own_ended) {
        ended(world, tick, &attempt, end);
    }
    deadline_due(world, tick);
    if std::mem::take(&mut world.tables.dirty.queue) {
        start_some(world, tick);
    }
}

/// Load of the own endpoint.
pub fn local_load(world: &world::World) -> messages::Load {
    let runs = &world.tables.runs;
    let queued = u32::try_from(runs.queued.len()).unwrap_or(u32::MAX);
    messages::Load {
        running: runs.running,
        queued,
        wait_s: wait_s(world),
        prefill_rate: world.tables.endpoints.prefill_rate,
        pressure: world.tables.endpoints.pressure,
        leaving: !world.is_open(),
    }
}

/// Expected wait of a new attempt, in seconds.
fn wait_s(world: &world::World) -> f64 {
    let runs = &world.tables.runs;
    let slots = slots(world);
    if runs.running < slots {
        return 0.0;
    }
    (runs.queued.len() as f64 + 1.0) * runs.mean_run_s / f64::from(slots)
}

fn slots(world: &world::World) -> u32 {
    let endpoint = world.identity.endpoint.as_ref();
    let row = endpoint.and_then(|name| world.objects()?.endpoints.get(name));
    row.map_or(1, |row| row.slots.max(1))
}

fn take(
    world: &mut world::World,
    tick: &world::Tick,
    owner: ids::InstanceName,
    dispatch: messages::Dispatch,
) {
    let attempt = dispatch.attempt.clone();
    if let Some(refusal) = refusal(world, &dispatch) {
        answer(world, tick, &owner, attempt, work::AttemptEnd::NotRun(refusal));
        return;
    }
    let partition = attempt.call.conversation.home.clone();
    world.tables.runs.epochs.insert(partition, attempt.epoch);
    let deadline = tick.now.after(dispatch.time_left);
    let run = runs::Run {
        owner,
        dispatch,
        arrived_at: tick.now,
        deadline,
        started_at: None,
        aborted: false,
    };
    world.tables.runs.rows.insert(attempt.clone(), run);
    world.tables.runs.queued.insert(attempt.clone());
    world.tables.timers.set(timers::Timer::RunDeadline(attempt), deadline);
    world.tables.dirty.queue = true;
}

/// Why an attempt is not taken at all.
fn refusal(world: &world::World, dispatch: &messages::Dispatch) -> Option<errors::Refusal> {
    let own = &world.identity.peer.instance;
    let listed_leaving = world.tables.instances.rows.get(own).is_some_and(|row| row.is_leaving());
    if !world.is_open() || listed_leaving {
        return Some(errors::Refusal::Draining);
    }
    let verdict = world.tables.suspects.rows.get(&dispatch.fingerprint);
    if verdict == Some(&journal::Verdict::Convicted) {
        return Some(errors::Refusal::Quarantined);
    }
    let partition = &dispatch.attempt.call.conversation.home;
    let newest = world.tables.runs.epochs.get(partition);
    if newest.is_some_and(|newest| *newest > dispatch.attempt.epoch) {
        let retry_after = std_time::Duration::from_millis(100);
        return Some(errors::Refusal::NoOwner { retry_after });
    }
    let queued = u32::try_from(world.tables.runs.queued.len()).unwrap_or(u32::MAX);
    let wait = wait_s(world);
    let full = queued >= world.settings.max_queue;
    if full || wait > dispatch.time_left.as_secs_f64() {
        let retry_after = std_time::Duration::from_secs_f64(wait.clamp(0.1, 30.0));
        return Some(errors::Refusal::Overloaded { retry_after });
    }
    None
}

/// Tells the owner how an attempt ended, until it confirms.
fn answer(
    world: &mut world::World,
    tick: &world::Tick,
    owner: &ids::InstanceName,
    attempt: ids::AttemptId,
    end: work::AttemptEnd,
) {
    let load = local_load(world);
    let message = messages::Message::Ended { attempt, end, load };
    outbox::confirm(world, tick, owner, None, message, ANSWER_LASTING);
}

fn abort(world: &mut world::World, tick: &world::Tick, attempt: &ids::AttemptId) {
    let Some(run) = world.tables.runs.rows.get_mut(attempt) else {
        return;
    };
    run.aborted = true;
    if run.started_at.is_some() {
        world.emit(output::Output::Abort(attempt.clone()));
        return;
    }
    refuse_queued(world, tick, attempt, errors::Refusal::Cancelled);
}

/// Refuses an attempt that waits.
pub fn refuse_queued(
    world: &mut world::World,
    tick: &world::Tick,
    attempt: &ids::AttemptId,
    refusal: errors::Refusal,
) {
    if !world.tables.runs.queued.remove(attempt) {
        return;
    }
    let Some(run) = world.tables.runs.rows.remove(attempt) else {
        return;
    };
    world.tables.timers.clear(&timers::Timer::RunDeadline(attempt.clone()));
    answer(world, tick, &run.owner, attempt.clone(), work::AttemptEnd::NotRun(refusal));
}

fn deadline_due(world: &mut world::World, tick: &world::Tick) {
    let due = due::take_due(world, |timer| match timer {
        timers::Timer::RunDeadline(attempt) => Some(attempt.clone()),
        _ => None,
    });
    for attempt in due {
        let started = world.tables.runs.rows.get(&attempt).and_then(|run| run.started_at);
        if started.is_some() {
            world.emit(output::Output::Abort(attempt));
        } else {
            refuse_queued(world, tick, &attempt, errors::Refusal::DeadlinePassed);
        }
    }
}

fn ended(
    world: &mut world::World,
    tick: &world::Tick,
    attempt: &ids::AttemptId,
    end: work::AttemptEnd,
) {
    suspects::attempt_ended(world, tick, attempt, &end);
    let Some(run) = world.tables.runs.rows.remove(attempt) else {
        return;
    };
    world.tables.timers.clear(&timers::Timer::RunDeadline(attempt.clone()));
    world.tables.runs.running = world.tables.runs.running.saturating_sub(1);
    world.tables.runs.alone = false;
    if let Some(started_at) = run.started_at {
        let seconds = tick.now.since(started_at).as_secs_f64();
        let mean = &mut world.tables.runs.mean_run_s;
        *mean = if *mean == 0.0 { seconds } else { *mean + MEAN_WEIGHT * (seconds - *mean) };
    }
    if matches!(end, work::AttemptEnd::Answered(_)) {
        holds::start_lease(world, tick, &run.dispatch);
    }
    charge(world, &run, &end);
    answer(world, tick, &run.owner, attempt.clone(), end);
    world.tables.dirty.queue = true;
    world.tables.dirty.drain |= !world.is_open();
}

/// Adds the service received to the workspace's virtual time (start-time fair queueing; Goyal, Vin
/// and Cheng, 1996).
fn charge(world: &mut world::World, run: &runs::Run, end: &work::AttemptEnd) {
    let service = match end {
        work::AttemptEnd::Answered(answer) => {
            let computed = answer.usage.prompt_tokens.saturating_sub(answer.usage.cached_tokens);
            f64::from(computed) + f64::from(answer.usage.completion_tokens) + 1.0
        }
        _ => f64::from(run.dispatch.expected_prefill) + 1.0,
    };
    let weight = weight(world, &run.dispatch.workspace);
    let floor = world.tables.runs.floor;
    let time = &mut world.tables.runs.virtual_time;
    let time = time.entry(run.dispatch.workspace.clone()).or_insert(floor);
    *time += service / weight;
}

fn weight(world: &world::World, workspace: &ids::WorkspaceName) -> f64 {
    let row = world.objects().and_then(|objects| objects.workspaces.get(workspace));
    row.map_or(1.0, |row| row.weight.max(f64::MIN_POSITIVE))
}

fn start_some(world: &mut world::World, tick: &world::Tick) {
    while world.tables.runs.running < slots(world) && !world.tables.runs.alone {
        let Some(attempt) = next(world, tick) else {
            return;
        };
        start(world, tick, &attempt);
    }
}

/// The waiting attempt that the policy puts first; one that must run alone waits for the others.
fn next(world: &world::World, tick: &world::Tick) -> Option<ids::AttemptId> {
    let runs = &world.tables.runs;
    let mut best: Option<(policy::QueueKey, &ids::AttemptId)> = None;
    for attempt in &runs.queued {
        let run = runs.rows.get(attempt)?;
        let alone = is_suspect(world, run);
        if alone && runs.running > 0 {
            if tick.now.since(run.arrived_at) > SUSPECT_PATIENCE {
                return None;
            }
            continue;
        }
        let key = world.policies.queue.key(&queued(world, tick, run));
        if best.as_ref().is_none_or(|(least, _)| key < *least) {
            best = Some((key, attempt));
        }
    }
    best.map(|(_, attempt)| attempt.clone())
}

fn is_suspect(world: &world::World, run: &runs::Run) -> bool {
    world.tables.suspects.rows.contains_key(&run.dispatch.fingerprint)
}

fn queued(world: &world::World, tick: &world::Tick, run: &runs::Run) -> policy::Queued {
    let runs = &world.tables.runs;
    let workspace = &run.dispatch.workspace;
    let priority = world.objects().and_then(|objects| {
        let name = &objects.workspaces.get(workspace)?.priority;
        objects.priorities.get(name)
    });
    let time = runs.virtual_time.get(workspace).copied().unwrap_or(runs.floor);
    policy::Queued {
        arrived_at: run.arrived_at,
        waited: tick.now.since(run.arrived_at),
        rank: priority.map_or(u8::MAX, |priority| priority.rank),
        starvation_limit: priority.map(|priority| priority.starvation_limit),
        virtual_time: time.max(runs.floor),
        attained: run.dispatch.attained,
    }
}

fn start(world: &mut world::World, tick: &world::Tick, attempt: &ids::AttemptId) {
    world.tables.runs.queued.remove(attempt);
    let Some(run) = world.tables.runs.rows.get_mut(attempt) else {
        return;
    };
    run.started_at = Some(tick.now);
    run.dispatch.time_left = run.deadline.since(tick.now);
    let (owner, dispatch) = (run.owner.clone(), Box::new(run.dispatch.clone()));
    let alone = world.tables.suspects.rows.contains_key(&dispatch.fingerprint);
    let runs = &mut world.tables.runs;
    runs.running += 1;
    runs.alone = alone;
    let time = runs.virtual_time.entry(dispatch.workspace.clone()).or_insert(runs.floor);
    *time = time.max(runs.floor);
    runs.floor = runs.floor.max(*time);
    let fence = world.tables.endpoints.fence;
    holds::register(world, tick, &dispatch);
    world.emit(output::Output::Execute { owner, dispatch, fence });
}
