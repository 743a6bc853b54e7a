//! Execution of attempts on the local endpoint: a queue ordered by the queue policy, and up to as
//! many concurrent attempts as the endpoint has slots.

use std::time as std_time;

use crate::errors;
use crate::ids;
use crate::journal;
use crate::messages;
use crate::output;
use crate::policy;
use crate::systems::due_timers;
use crate::systems::holds;
use crate::systems::outbox;
use crate::systems::suspects;
use crate::tables::runs;
use crate::tables::timers;
use crate::work;
use crate::world;

/// Weight of the newest sample in the moving average of run times.
const RUN_TIME_WEIGHT: f64 = 0.1;
/// How long an outcome is resent to an owner that does not acknowledge it.
const OUTCOME_RESEND_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(120);
/// Queue time after which a suspected attempt, which must run alone, keeps other attempts from
/// starting.
const SUSPECT_MAX_WAIT: std_time::Duration = std_time::Duration::from_secs(2);

/// Processes dispatched attempts, aborts and outcomes, and starts queued attempts.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    for (from, dispatch) in std::mem::take(&mut world.tables.inbox.dispatches) {
        accept_dispatch(world, tick, from, *dispatch);
    }
    for attempt in std::mem::take(&mut world.tables.inbox.aborts) {
        abort_attempt(world, tick, &attempt);
    }
    for (attempt, outcome) in std::mem::take(&mut world.tables.inbox.local_attempt_outcomes) {
        process_attempt_outcome(world, tick, &attempt, outcome);
    }
    handle_deadlines(world, tick);
    if std::mem::take(&mut world.tables.dirty.queue) {
        start_attempts(world, tick);
    }
}

/// Returns the load of the local endpoint.
pub fn local_load(world: &world::World) -> messages::Load {
    let runs = &world.tables.runs;
    let queued = u32::try_from(runs.queued.len()).unwrap_or(u32::MAX);
    messages::Load {
        running: runs.running,
        queued,
        wait_s: expected_wait_s(world),
        prefill_rate: world.tables.endpoints.prefill_rate,
        pressure: world.tables.endpoints.pressure,
        leaving: !world.accepts_work(),
    }
}

/// Returns the expected wait of a new attempt, in seconds.
fn expected_wait_s(world: &world::World) -> f64 {
    let runs = &world.tables.runs;
    let slots = slot_count(world);
    if runs.running < slots {
        return 0.0;
    }
    (runs.queued.len() as f64 + 1.0) * runs.mean_run_s / f64::from(slots)
}

fn slot_count(world: &world::World) -> u32 {
    let endpoint = world.identity.endpoint.as_ref();
    let row = endpoint.and_then(|name| world.config()?.endpoints.get(name));
    row.map_or(1, |row| row.slots.max(1))
}

fn accept_dispatch(
    world: &mut world::World,
    tick: &world::Tick,
    owner: ids::InstanceName,
    dispatch: messages::Dispatch,
) {
    let attempt = dispatch.attempt.clone();
    if let Some(refusal) = dispatch_refusal(world, &dispatch) {
        send_outcome(world, tick, &owner, attempt, work::AttemptOutcome::NotRun(refusal));
        return;
    }
    let partition = attempt.call.conversation.home.clone();
    world.tables.runs.highest_epochs.insert(partition, attempt.epoch);
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

/// Returns the reason to refuse an attempt instead of queueing it, if any.
fn dispatch_refusal(
    world: &world::World,
    dispatch: &messages::Dispatch,
) -> Option<errors::Refusal> {
    let own = &world.identity.peer.instance;
    let listed_leaving = world.tables.instances.rows.get(own).is_some_and(|row| row.is_leaving());
    if !world.accepts_work() || listed_leaving {
        return Some(errors::Refusal::Draining);
    }
    let verdict = world.tables.suspects.rows.get(&dispatch.fingerprint);
    if verdict == Some(&journal::Verdict::Convicted) {
        return Some(errors::Refusal::Quarantined);
    }
    let partition = &dispatch.attempt.call.conversation.home;
    let newest = world.tables.runs.highest_epochs.get(partition);
    if newest.is_some_and(|newest| *newest > dispatch.attempt.epoch) {
        let retry_after = std_time::Duration::from_millis(100);
        return Some(errors::Refusal::NoOwner { retry_after });
    }
    let queued = u32::try_from(world.tables.runs.queued.len()).unwrap_or(u32::MAX);
    let wait_s = expected_wait_s(world);
    let queue_full = queued >= world.settings.max_queue;
    if queue_full || wait_s > dispatch.time_left.as_secs_f64() {
        let retry_after = std_time::Duration::from_secs_f64(wait_s.clamp(0.1, 30.0));
        return Some(errors::Refusal::Overloaded { retry_after });
    }
    None
}

/// Sends the outcome of an attempt to its owner, and resends it until the owner acknowledges it.
fn send_outcome(
    world: &mut world::World,
    tick: &world::Tick,
    owner: &ids::InstanceName,
    attempt: ids::AttemptId,
    outcome: work::AttemptOutcome,
) {
    let load = local_load(world);
    let message = messages::Message::Ended { attempt, end: outcome, load };
    outbox::send_reliable(world, tick, owner, None, message, OUTCOME_RESEND_TIMEOUT);
}

fn abort_attempt(world: &mut world::World, tick: &world::Tick, attempt: &ids::AttemptId) {
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

/// Refuses a queued attempt.
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
    send_outcome(world, tick, &run.owner, attempt.clone(), work::AttemptOutcome::NotRun(refusal));
}

fn handle_deadlines(world: &mut world::World, tick: &world::Tick) {
    let due = due_timers::take_matching(world, |timer| match timer {
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

fn process_attempt_outcome(
    world: &mut world::World,
    tick: &world::Tick,
    attempt: &ids::AttemptId,
    outcome: work::AttemptOutcome,
) {
    suspects::handle_attempt_outcome(world, tick, attempt, &outcome);
    let Some(run) = world.tables.runs.rows.remove(attempt) else {
        return;
    };
    world.tables.timers.clear(&timers::Timer::RunDeadline(attempt.clone()));
    world.tables.runs.running = world.tables.runs.running.saturating_sub(1);
    world.tables.runs.exclusive = false;
    if let Some(started_at) = run.started_at {
        let seconds = tick.now.since(started_at).as_secs_f64();
        let mean = &mut world.tables.runs.mean_run_s;
        *mean = if *mean == 0.0 { seconds } else { *mean + RUN_TIME_WEIGHT * (seconds - *mean) };
    }
    if matches!(outcome, work::AttemptOutcome::Answered(_)) {
        holds::start_lease(world, tick, &run.dispatch);
    }
    charge_workspace(world, &run, &outcome);
    send_outcome(world, tick, &run.owner, attempt.clone(), outcome);
    world.tables.dirty.queue = true;
    world.tables.dirty.drain |= !world.accepts_work();
}

/// Adds the service that an attempt received to its workspace's virtual time (start-time fair
/// queueing; Goyal, Vin and Cheng, 1996).
fn charge_workspace(world: &mut world::World, run: &runs::Run, outcome: &work::AttemptOutcome) {
    let service = match outcome {
        work::AttemptOutcome::Answered(response) => {
            let computed =
                response.usage.prompt_tokens.saturating_sub(response.usage.cached_tokens);
            f64::from(computed) + f64::from(response.usage.completion_tokens) + 1.0
        }
        _ => f64::from(run.dispatch.expected_prefill) + 1.0,
    };
    let weight = workspace_weight(world, &run.dispatch.workspace);
    let floor = world.tables.runs.virtual_time_floor;
    let virtual_times = &mut world.tables.runs.virtual_time;
    let virtual_time = virtual_times.entry(run.dispatch.workspace.clone()).or_insert(floor);
    *virtual_time += service / weight;
}

fn workspace_weight(world: &world::World, workspace: &ids::WorkspaceName) -> f64 {
    let row = world.config().and_then(|config| config.workspaces.get(workspace));
    row.map_or(1.0, |row| row.weight.max(f64::MIN_POSITIVE))
}

fn start_attempts(world: &mut world::World, tick: &world::Tick) {
    while world.tables.runs.running < slot_count(world) && !world.tables.runs.exclusive {
        let Some(attempt) = next_attempt(world, tick) else {
            return;
        };
        start_attempt(world, tick, &attempt);
    }
}

/// Returns the queued attempt that the policy ranks first. A suspected attempt is skipped while
/// others run; after [`SUSPECT_MAX_WAIT`], nothing starts until it can run alone.
fn next_attempt(world: &world::World, tick: &world::Tick) -> Option<ids::AttemptId> {
    let runs = &world.tables.runs;
    let mut best: Option<(policy::QueueKey, &ids::AttemptId)> = None;
    for attempt in &runs.queued {
        let run = runs.rows.get(attempt)?;
        let must_run_alone = is_suspect(world, run);
        if must_run_alone && runs.running > 0 {
            if tick.now.since(run.arrived_at) > SUSPECT_MAX_WAIT {
                return None;
            }
            continue;
        }
        let key = world.policies.queue.key(&queued_attempt(world, tick, run));
        if best.as_ref().is_none_or(|(least, _)| key < *least) {
            best = Some((key, attempt));
        }
    }
    best.map(|(_, attempt)| attempt.clone())
}

fn is_suspect(world: &world::World, run: &runs::Run) -> bool {
    world.tables.suspects.rows.contains_key(&run.dispatch.fingerprint)
}

fn queued_attempt(
    world: &world::World,
    tick: &world::Tick,
    run: &runs::Run,
) -> policy::QueuedAttempt {
    let runs = &world.tables.runs;
    let workspace = &run.dispatch.workspace;
    let priority = world.config().and_then(|config| {
        let name = &config.workspaces.get(workspace)?.priority;
        config.priorities.get(name)
    });
    let virtual_time = runs.virtual_time.get(workspace).copied().unwrap_or(runs.virtual_time_floor);
    policy::QueuedAttempt {
        arrived_at: run.arrived_at,
        waited: tick.now.since(run.arrived_at),
        rank: priority.map_or(u8::MAX, |priority| priority.rank),
        starvation_limit: priority.map(|priority| priority.starvation_limit),
        virtual_time: virtual_time.max(runs.virtual_time_floor),
        attained: run.dispatch.attained,
    }
}

fn start_attempt(world: &mut world::World, tick: &world::Tick, attempt: &ids::AttemptId) {
    world.tables.runs.queued.remove(attempt);
    let Some(run) = world.tables.runs.rows.get_mut(attempt) else {
        return;
    };
    run.started_at = Some(tick.now);
    run.dispatch.time_left = run.deadline.since(tick.now);
    let (owner, dispatch) = (run.owner.clone(), Box::new(run.dispatch.clone()));
    let runs_alone = world.tables.suspects.rows.contains_key(&dispatch.fingerprint);
    let runs = &mut world.tables.runs;
    runs.running += 1;
    runs.exclusive = runs_alone;
    let virtual_time =
        runs.virtual_time.entry(dispatch.workspace.clone()).or_insert(runs.virtual_time_floor);
    *virtual_time = virtual_time.max(runs.virtual_time_floor);
    runs.virtual_time_floor = runs.virtual_time_floor.max(*virtual_time);
    let fencing_token = world.tables.endpoints.fencing_token;
    holds::register(world, tick, &dispatch);
    world.emit(output::Output::Execute { owner, dispatch, fencing_token });
}
