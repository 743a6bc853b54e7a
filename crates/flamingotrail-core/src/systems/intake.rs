//! Intake of calls at the partition owner: finds the program, conversation and turn of a call,
//! replies to duplicates of running or finished calls, and refuses calls that can't run.

use crate::digest;
use crate::errors;
use crate::history;
use crate::ids;
use crate::messages;
use crate::settings;
use crate::systems::call_lifecycle;
use crate::systems::deduplication;
use crate::systems::journal_writer;
use crate::systems::outbox;
use crate::systems::ownership;
use crate::systems::programs;
use crate::systems::text_memory;
use crate::systems::turn_resolution;
use crate::tables::calls;
use crate::tables::effects;
use crate::tables::timers;
use crate::work;
use crate::world;

/// Maximum number of calls that one conversation may have in progress.
const MAX_CALLS_PER_CONVERSATION: usize = 64;

/// Ends idle programs, and processes submitted calls and cancelled requests.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    programs::end_idle_programs(world, tick);
    for (from, submit) in std::mem::take(&mut world.tables.inbox.submits) {
        process_submit(world, tick, from, submit);
    }
    for request in std::mem::take(&mut world.tables.inbox.cancels) {
        call_lifecycle::withdraw_request(world, tick, request);
    }
}

fn process_submit(
    world: &mut world::World,
    tick: &world::Tick,
    from: ids::InstanceName,
    submit: Box<messages::Submit>,
) {
    let partition = submit.conversation.home.clone();
    if world.identity.role != settings::Role::Endpoint || partition.region != world.identity.region
    {
        ownership::redirect(world, tick, &from, submit.request, submit.hop, None);
        return;
    }
    let deadline = tick.now.after(submit.time_left);
    let draining = !world.accepts_work();
    let row = ownership::partition_row(world, &partition);
    let Some(epoch) = row.epoch().filter(|_| row.handover_requested_at.is_none()) else {
        if draining {
            ownership::redirect(world, tick, &from, submit.request, submit.hop, None);
            return;
        }
        row.waiting_submits.push((from, submit, deadline));
        world.tables.dirty.partitions.insert(partition);
        return;
    };
    let stale =
        row.last_read_at.is_none_or(|at| tick.now.since(at) > world.settings.ownership_recheck);
    if stale {
        ownership::read_stream(world, &partition);
    }
    let (request, hop) = (submit.request, submit.hop);
    let accepted = messages::Message::Accepted { request, hop, partition, epoch };
    outbox::send(world, &from, accepted);
    if let Err(refusal) = admit_call(world, tick, &from, *submit) {
        call_lifecycle::refuse_request(world, tick, &from, request, hop, refusal);
    }
}

fn admit_call(
    world: &mut world::World,
    tick: &world::Tick,
    from: &ids::InstanceName,
    submit: messages::Submit,
) -> Result<(), errors::Refusal> {
    if world.config().is_none() {
        return Err(errors::Refusal::NoConfiguration);
    }
    ensure_program(world, tick, &submit)?;
    programs::touch(world, tick, &submit.program);
    if submit.work == work::Work::EndProgram {
        end_program(world, tick, from, &submit);
        return Ok(());
    }
    ensure_conversation(world, &submit)?;
    let resolved = turn_resolution::resolve_turn(world, &submit)?;
    let fingerprint = request_fingerprint(&submit, &resolved);
    let key = ids::CallKey { conversation: submit.conversation.clone(), turn: resolved.turn };
    let waiter = calls::Waiter { entry: from.clone(), request: submit.request, hop: submit.hop };
    // The effect is checked before the turn: after a change of owner, the effect's record may be
    // known while the call's turn is not.
    let effect_key = deduplication::effect_key(world, &submit, &key);
    if let Some(effect_key) = &effect_key {
        if deduplication::handle_duplicate_effect(
            world,
            tick,
            &key,
            effect_key,
            &resolved.work,
            fingerprint,
            &waiter,
        )? {
            return Ok(());
        }
    }
    if deduplication::handle_duplicate_call(world, tick, &key, &fingerprint, &waiter)? {
        return Ok(());
    }
    check_limits(world, tick, &submit)?;
    start_call(world, tick, submit, resolved, key, fingerprint, effect_key, waiter);
    Ok(())
}

/// Checks that the call may use its program. Creates the program's row if the call starts the
/// program, or if its continuation proves that the program exists.
fn ensure_program(
    world: &mut world::World,
    tick: &world::Tick,
    submit: &messages::Submit,
) -> Result<(), errors::Refusal> {
    let program = &submit.program;
    if let Some(row) = world.tables.programs.rows.get(program) {
        if row.workspace != submit.workspace {
            return Err(errors::Refusal::ForeignProgram(program.clone()));
        }
        if row.ended && submit.work != work::Work::EndProgram {
            return Err(errors::Refusal::ProgramEnded(program.clone()));
        }
        return Ok(());
    }
    let initial_grant = programs::initial_grant(world, &submit.workspace);
    if let history::HistorySource::Continuation(continuation) = &submit.history {
        if turn_resolution::continuation_matches(world, submit, continuation) {
            ensure_root(world, tick, &continuation.root, &submit.workspace, initial_grant);
            if continuation.root != *program {
                programs::create(world, tick, program, &continuation.root, &submit.workspace, 0);
            }
            return Ok(());
        }
    }
    let root = match &submit.parent {
        Some(parent) => parent_root(world, submit, parent)?,
        None => program.clone(),
    };
    let spent = match submit.origin {
        messages::ProgramOrigin::Fresh => 0,
        // An earlier submission may have spent the initial grant under a previous owner.
        messages::ProgramOrigin::Started => initial_grant,
        messages::ProgramOrigin::Existing => {
            return Err(errors::Refusal::UnknownProgram(program.clone()));
        }
    };
    programs::create(world, tick, program, &root, &submit.workspace, spent);
    Ok(())
}

fn ensure_root(
    world: &mut world::World,
    tick: &world::Tick,
    root: &ids::ProgramId,
    workspace: &ids::WorkspaceName,
    spent: work::Cost,
) {
    if !world.tables.programs.rows.contains_key(root) {
        programs::create(world, tick, root, root, workspace, spent);
    }
}

fn parent_root(
    world: &world::World,
    submit: &messages::Submit,
    parent: &ids::ProgramId,
) -> Result<ids::ProgramId, errors::Refusal> {
    let row = world.tables.programs.rows.get(parent);
    let row = row.ok_or_else(|| errors::Refusal::UnknownProgram(parent.clone()))?;
    if row.workspace != submit.workspace {
        return Err(errors::Refusal::ForeignProgram(parent.clone()));
    }
    if row.ended {
        return Err(errors::Refusal::ProgramEnded(parent.clone()));
    }
    Ok(row.root.clone())
}

fn end_program(
    world: &mut world::World,
    tick: &world::Tick,
    from: &ids::InstanceName,
    submit: &messages::Submit,
) {
    let ended = world.tables.programs.rows.get(&submit.program).is_some_and(|row| row.ended);
    if !ended {
        programs::end_program(world, tick, &submit.program);
    }
    let response = work::Response {
        text: String::new(),
        status: 200,
        usage: work::Usage::default(),
        finish: work::FinishReason::Stop,
    };
    let outcome = work::Outcome::Done(response);
    call_lifecycle::send_reply(world, tick, from, submit.request, submit.hop, 0, 0, outcome, None);
}

fn ensure_conversation(
    world: &mut world::World,
    submit: &messages::Submit,
) -> Result<(), errors::Refusal> {
    let row = world.tables.conversations.get_or_insert(&submit.conversation, &submit.program);
    if row.program != submit.program {
        return Err(errors::Refusal::BadField {
            field: "x-flamingotrail-conversation".into(),
            detail: "the conversation belongs to another program".into(),
        });
    }
    Ok(())
}

/// Returns the fingerprint that distinguishes a duplicate of a call from a different call.
fn request_fingerprint(
    submit: &messages::Submit,
    resolved: &turn_resolution::ResolvedTurn,
) -> digest::Digest {
    let mut hasher = digest::Hasher::new("request");
    match &resolved.work {
        work::Work::Model { model, messages, .. } => {
            hasher.add(model.as_str().as_bytes());
            for message in messages {
                hasher.add(message.role.as_str().as_bytes());
                hasher.add(message.content.as_bytes());
            }
        }
        other => hasher.add(&other.fingerprint().0),
    }
    if let Some(key) = &submit.idempotency_key {
        hasher.add(key.as_bytes());
    }
    hasher.finish()
}

fn check_limits(
    world: &mut world::World,
    tick: &world::Tick,
    submit: &messages::Submit,
) -> Result<(), errors::Refusal> {
    let limit = world.config().and_then(|config| {
        let workspace = config.workspaces.get(&submit.workspace)?;
        config.budgets.get(&workspace.budget).map(|budget| budget.max_turns)
    });
    let turns =
        world.tables.programs.account_mut(&submit.program).map_or(0, |account| account.turns);
    if let Some(limit) = limit.filter(|limit| turns >= *limit) {
        let program = submit.program.clone();
        return Err(errors::Refusal::TurnLimit { program, limit });
    }
    text_memory::check(world, tick, submit, turns == 0)?;
    let row = world.tables.conversations.rows.get(&submit.conversation);
    if row.is_some_and(|row| row.active_turns.len() >= MAX_CALLS_PER_CONVERSATION) {
        return Err(errors::Refusal::BadField {
            field: "x-flamingotrail-turn".into(),
            detail: format!(
                "the conversation already has {MAX_CALLS_PER_CONVERSATION} calls in progress"
            ),
        });
    }
    let partition = &submit.conversation.home;
    let needs_journal = submit.history == history::HistorySource::Journal;
    if needs_journal && journal_writer::is_stalled(world, partition) {
        let what = "an earlier turn that this history depends on".to_owned();
        return Err(errors::Refusal::LogUnavailable { what });
    }
    Ok(())
}

#[allow(clippy::too_many_arguments)]
fn start_call(
    world: &mut world::World,
    tick: &world::Tick,
    submit: messages::Submit,
    resolved: turn_resolution::ResolvedTurn,
    key: ids::CallKey,
    fingerprint: digest::Digest,
    effect_key: Option<effects::EffectKey>,
    waiter: calls::Waiter,
) {
    let Some(program) = world.tables.programs.rows.get(&submit.program) else {
        return;
    };
    let root = program.root.clone();
    let call = calls::Call {
        text_bytes: resolved.work.text_bytes(),
        program: submit.program,
        root: root.clone(),
        workspace: submit.workspace,
        work: resolved.work,
        previous_turn: resolved.previous,
        fingerprint,
        reply_after_journaling: submit.history == history::HistorySource::Journal,
        effect_key: effect_key.map(|key| key.key),
        idempotency_key: submit.idempotency_key,
        deadline: tick.now.after(submit.time_left),
        cost_bound: submit.cost_bound,
        state: calls::State::Waiting,
        waiters: Vec::new(),
        attempts: 0,
        excluded_endpoints: Default::default(),
        prefix: submit.delivered,
        hold: None,
        dispatch_number: 0,
        reserved: 0,
        max_tokens: 0,
        budget_bound: false,
        accepted_at: tick.now,
        orphaned: false,
        may_have_run: false,
        refusal: None,
        outcome: None,
        outcome_sent: false,
    };
    let deadline = call.deadline;
    world.tables.calls.insert(key.clone(), call);
    world.tables.calls.add_waiter(&key, waiter);
    if let Some(row) = world.tables.conversations.rows.get_mut(&key.conversation) {
        row.active_turns.insert(key.turn);
    }
    if let Some(account) = world.tables.programs.account_mut(&root) {
        account.turns += 1;
    }
    world.tables.timers.set(timers::Timer::CallDeadline(key.clone()), deadline);
    world.tables.dirty.conversations.insert(key.conversation);
}
