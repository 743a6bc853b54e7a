//! Lifecycle of the rows of programs, conversations and effects: creation, takeover from an earlier
//! owner, confirmation by the journal, and removal.

use crate::history;
use crate::ids;
use crate::journal;
use crate::messages;
use crate::output;
use crate::systems::call_lifecycle;
use crate::systems::due_timers;
use crate::systems::journal_writer;
use crate::systems::outbox;
use crate::tables::calls;
use crate::tables::conversations;
use crate::tables::effects;
use crate::tables::programs;
use crate::tables::timers;
use crate::work;
use crate::world;

/// Completes the state that was restored from the journal after this instance claimed the
/// partition. An effect with an intent but no recorded outcome may have run, so its state becomes
/// unknown. Budget that was granted and is not recorded as unspent counts as spent.
pub fn take_over_partition(
    world: &mut world::World,
    tick: &world::Tick,
    partition: &ids::Partition,
) {
    let unresolved: Vec<effects::EffectKey> = world
        .tables
        .effects
        .rows
        .iter()
        .filter(|(key, row)| {
            key.root.home == *partition && row.state == effects::EffectState::Intending
        })
        .map(|(key, _)| key.clone())
        .collect();
    for key in unresolved {
        mark_effect_unknown(world, partition, &key);
    }
    let roots: Vec<ids::ProgramId> = world
        .tables
        .programs
        .by_root
        .keys()
        .filter(|root| root.home == *partition)
        .cloned()
        .collect();
    for root in roots {
        let turns = count_turns(world, &root);
        if let Some(account) = world.tables.programs.account_mut(&root) {
            account.turns = account.turns.max(turns);
        }
        touch(world, tick, &root);
    }
}

/// Returns the number of finished turns in the conversations of a program tree.
fn count_turns(world: &world::World, root: &ids::ProgramId) -> u32 {
    let mut turns = 0;
    for member in program_tree(world, root) {
        let conversations = world.tables.conversations.by_program.get(&member);
        for conversation in conversations.into_iter().flatten() {
            let row = world.tables.conversations.rows.get(conversation);
            turns += row.map_or(0, |row| row.turns.len());
        }
    }
    u32::try_from(turns).unwrap_or(u32::MAX)
}

/// Marks an effect that may have run as unknown and consumes its turn.
fn mark_effect_unknown(
    world: &mut world::World,
    partition: &ids::Partition,
    key: &effects::EffectKey,
) {
    let Some(row) = world.tables.effects.rows.get_mut(key) else {
        return;
    };
    row.state = effects::EffectState::Unknown;
    let call = row.call.clone();
    let fingerprint = row.fingerprint;
    let outcome = journal::EffectOutcome::Unknown;
    let record =
        journal::Record::Effect { root: key.root.clone(), key: key.key.clone(), end: outcome };
    journal_writer::append(world, partition, record);
    record_unknown_turn(world, &call, fingerprint);
}

/// Records a turn with an unknown outcome if it is the next turn of its conversation.
pub fn record_unknown_turn(
    world: &mut world::World,
    call: &ids::CallKey,
    fingerprint: crate::digest::Digest,
) {
    let Some(row) = world.tables.conversations.rows.get(&call.conversation) else {
        return;
    };
    if call.turn != row.last_turn + 1 {
        return;
    }
    let record = history::TurnRecord {
        turn: call.turn,
        since: row.last_turn,
        kind: history::TurnKind::Doubtful,
        request: fingerprint,
        input: Vec::new(),
        output: String::new(),
        finish: work::FinishReason::Stop,
        usage: work::Usage::default(),
    };
    append_turn(world, &call.conversation, record);
}

/// Appends a finished turn to its conversation and to the journal.
pub fn append_turn(
    world: &mut world::World,
    conversation: &ids::ConversationId,
    record: history::TurnRecord,
) {
    let Some(row) = world.tables.conversations.rows.get(conversation) else {
        return;
    };
    let records = journal::split_turn(conversation, &row.program, &record);
    world.tables.conversations.push_turn(conversation, record);
    for record in records {
        journal_writer::append(world, &conversation.home, record);
    }
    world.tables.dirty.conversations.insert(conversation.clone());
}

/// Applies a record of this owner that was read back from the journal.
pub fn apply_confirmed(world: &mut world::World, tick: &world::Tick, record: &journal::Record) {
    let tables = &mut world.tables;
    match record {
        journal::Record::Turn { conversation, record, .. } => {
            if let Some(row) = tables.conversations.rows.get_mut(conversation) {
                row.journaled_turn = row.journaled_turn.max(record.turn);
            }
            let call = ids::CallKey { conversation: conversation.clone(), turn: record.turn };
            tables.dirty.calls_to_complete.insert(call);
        }
        journal::Record::Grant { root, granted } => {
            let Some(row) = tables.programs.rows.get_mut(root) else {
                return;
            };
            row.account.granted = row.account.granted.max(*granted);
            row.account.pending_grant = None;
            let waiting_calls = std::mem::take(&mut row.account.waiting_calls);
            tables.dirty.calls_to_reserve.extend(waiting_calls);
        }
        journal::Record::Intent { root, key, call, .. } => {
            let key = effects::EffectKey { root: root.clone(), key: key.clone() };
            let Some(row) = tables.effects.rows.get_mut(&key) else {
                return;
            };
            // Ignores the revoked intent of an earlier call under the same key.
            if row.call != *call || row.state != effects::EffectState::Intending {
                return;
            }
            row.state = effects::EffectState::Confirmed;
            if tables.calls.rows.get(call).is_some_and(|c| c.state == calls::State::Intending) {
                tables.calls.set_state(call, calls::State::Placing);
                tables.dirty.calls_to_place.insert(call.clone());
            }
        }
        journal::Record::Program(record) => {
            if let Some(row) = tables.programs.rows.get_mut(&record.program) {
                row.last_logged_at = tick.now;
            }
        }
        _ => {}
    }
}

/// Creates the row of a program and appends its record. `spent` cost units of a root program count
/// as spent from the start.
pub fn create(
    world: &mut world::World,
    tick: &world::Tick,
    program: &ids::ProgramId,
    root: &ids::ProgramId,
    workspace: &ids::WorkspaceName,
    spent: work::Cost,
) {
    let granted = initial_grant(world, workspace);
    let account = programs::Account {
        granted: if program == root { granted } else { 0 },
        spent: if program == root { spent } else { 0 },
        ..programs::Account::default()
    };
    let row = programs::Program {
        root: root.clone(),
        workspace: workspace.clone(),
        ended: false,
        started_at: tick.now,
        last_active_at: tick.now,
        last_logged_at: tick.now,
        account,
    };
    world.tables.programs.insert(program.clone(), row);
    let record = program_record(world, program, 0);
    if let Some(record) = record {
        journal_writer::append(world, &program.home, journal::Record::Program(record));
    }
    touch(world, tick, program);
}

/// Returns the first chunk of a program's budget, which is granted once without waiting for the
/// journal.
pub fn initial_grant(world: &world::World, workspace: &ids::WorkspaceName) -> work::Cost {
    let budget = world.config().and_then(|config| {
        let workspace = config.workspaces.get(workspace)?;
        config.budgets.get(&workspace.budget)
    });
    budget.map_or(0, |budget| budget.chunk.min(budget.limit))
}

/// Returns the journal record of a program. `unspent` is the part of its grant that is certainly
/// unspent.
pub fn program_record(
    world: &world::World,
    program: &ids::ProgramId,
    unspent: work::Cost,
) -> Option<journal::ProgramRecord> {
    let row = world.tables.programs.rows.get(program)?;
    Some(journal::ProgramRecord {
        program: program.clone(),
        root: row.root.clone(),
        workspace: row.workspace.clone(),
        granted: row.account.granted,
        unspent,
        turns: row.account.turns,
        attained: row.account.attained,
    })
}

/// Records activity of a program and its root, which postpones the idle timeout of the tree.
pub fn touch(world: &mut world::World, tick: &world::Tick, program: &ids::ProgramId) {
    let at = tick.now.after(world.settings.program_idle_timeout);
    let Some(row) = world.tables.programs.rows.get_mut(program) else {
        return;
    };
    row.last_active_at = tick.now;
    let root = row.root.clone();
    if let Some(root_row) = world.tables.programs.rows.get_mut(&root) {
        root_row.last_active_at = tick.now;
    }
    let timer = timers::Timer::ProgramIdle(root);
    if !world.tables.timers.is_set(&timer) {
        world.tables.timers.set(timer, at);
    }
}

/// Ends programs whose idle timeout has expired, and removes programs that ended earlier.
pub fn end_idle_programs(world: &mut world::World, tick: &world::Tick) {
    let due = due_timers::take_matching(world, |timer| match timer {
        timers::Timer::ProgramIdle(program) => Some(program.clone()),
        _ => None,
    });
    for program in due {
        let Some(row) = world.tables.programs.rows.get(&program) else {
            continue;
        };
        if row.ended {
            remove_program_tree(world, &program);
            continue;
        }
        let at = row.last_active_at.after(world.settings.program_idle_timeout);
        if at > tick.now {
            world.tables.timers.set(timers::Timer::ProgramIdle(program), at);
            continue;
        }
        world.event("program_idle_ended", &program, "idle for too long");
        end_program(world, tick, &program);
    }
}

/// Ends a program: cancels its calls and releases its cached context. Ending a root program also
/// ends the programs of its sub-agents.
pub fn end_program(world: &mut world::World, tick: &world::Tick, program: &ids::ProgramId) {
    let members = program_tree(world, program);
    for member in &members {
        cancel_calls(world, tick, member);
        release_holds(world, tick, member);
    }
    record_duration(world, tick, program);
    mark_ended(world, program);
    let record = journal::Record::Ended { program: program.clone() };
    journal_writer::append(world, &program.home, record);
    let at = tick.now.after(world.settings.max_deadline);
    world.tables.timers.set(timers::Timer::ProgramIdle(program.clone()), at);
}

fn record_duration(world: &mut world::World, tick: &world::Tick, program: &ids::ProgramId) {
    let Some(row) = world.tables.programs.rows.get(program) else {
        return;
    };
    let seconds = tick.now.since(row.started_at).as_secs_f64();
    world.emit(output::Output::Metric(output::Metric::ProgramSeconds(seconds)));
}

fn program_tree(world: &world::World, program: &ids::ProgramId) -> Vec<ids::ProgramId> {
    match world.tables.programs.by_root.get(program) {
        Some(members) => members.iter().cloned().collect(),
        None => vec![program.clone()],
    }
}

fn cancel_calls(world: &mut world::World, tick: &world::Tick, program: &ids::ProgramId) {
    let Some(conversations) = world.tables.conversations.by_program.get(program) else {
        return;
    };
    for conversation in conversations.clone() {
        let turns = match world.tables.conversations.rows.get(&conversation) {
            Some(row) => row.active_turns.clone(),
            None => continue,
        };
        for turn in turns {
            let key = ids::CallKey { conversation: conversation.clone(), turn };
            call_lifecycle::cancel(world, tick, &key);
        }
    }
}

/// Releases the cached context of every conversation of a program.
fn release_holds(world: &mut world::World, tick: &world::Tick, program: &ids::ProgramId) {
    let Some(conversations) = world.tables.conversations.by_program.get(program) else {
        return;
    };
    for conversation in conversations.clone() {
        release_conversation_hold(world, tick, &conversation);
    }
}

/// Releases the cached context of a conversation.
pub fn release_conversation_hold(
    world: &mut world::World,
    tick: &world::Tick,
    conversation: &ids::ConversationId,
) {
    let Some(row) = world.tables.conversations.rows.get_mut(conversation) else {
        return;
    };
    let Some(conversations::ContextLocation { instance, hold: Some(hold), .. }) =
        row.context_location.take()
    else {
        return;
    };
    let message = messages::Message::Release { holds: vec![hold] };
    let timeout = world.settings.hold_lease;
    outbox::send_reliable(world, tick, &instance, None, message, timeout);
}

/// Marks a program, and for a root its whole tree, as ended and removes the conversations.
pub fn mark_ended(world: &mut world::World, program: &ids::ProgramId) {
    for member in program_tree(world, program) {
        if let Some(row) = world.tables.programs.rows.get_mut(&member) {
            row.ended = true;
        }
        let conversations = world.tables.conversations.by_program.get(&member).cloned();
        for conversation in conversations.unwrap_or_default() {
            world.tables.conversations.remove(&conversation);
        }
    }
}

/// Removes the rows of an ended program tree and its effects.
fn remove_program_tree(world: &mut world::World, program: &ids::ProgramId) {
    for key in world.tables.effects.keys_for_root(program) {
        world.tables.effects.rows.remove(&key);
    }
    for member in program_tree(world, program) {
        world.tables.programs.remove(&member);
    }
}

/// Returns the keys of the active calls in `partition`.
pub fn calls_in_partition(world: &world::World, partition: &ids::Partition) -> Vec<ids::CallKey> {
    let keys = world.tables.calls.rows.keys();
    keys.filter(|key| key.conversation.home == *partition).cloned().collect()
}

/// Removes the rows of a partition that this instance does not own.
pub fn remove_partition_rows(world: &mut world::World, partition: &ids::Partition) {
    let tables = &mut world.tables;
    let programs: Vec<ids::ProgramId> =
        tables.programs.rows.keys().filter(|id| id.home == *partition).cloned().collect();
    for program in programs {
        tables.timers.clear(&timers::Timer::ProgramIdle(program.clone()));
        tables.programs.remove(&program);
    }
    let conversations: Vec<ids::ConversationId> =
        tables.conversations.rows.keys().filter(|id| id.home == *partition).cloned().collect();
    for conversation in conversations {
        tables.conversations.remove(&conversation);
    }
    tables.effects.rows.retain(|key, _| key.root.home != *partition);
}
