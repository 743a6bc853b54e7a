//! Rows of programs, conversations and effects: made, restored from the journal, confirmed by it,
//! carried forward and dropped.

use crate::history;
use crate::ids;
use crate::journal;
use crate::messages;
use crate::output;
use crate::systems::call_lifecycle;
use crate::systems::journal as journaling;
use crate::systems::outbox;
use crate::systems::timers as due;
use crate::tables::calls;
use crate::tables::conversations;
use crate::tables::effects;
use crate::tables::programs;
use crate::tables::timers;
use crate::work;
use crate::world;

/// Takes over what the journal holds after the own claim: an intent without an end may have run,
/// and what was granted but not proved unspent counts as spent.
pub fn adopt_partition(world: &mut world::World, tick: &world::Tick, partition: &ids::Partition) {
    let open: Vec<effects::EffectKey> = world
        .tables
        .effects
        .rows
        .iter()
        .filter(|(key, row)| {
            key.root.home == *partition && row.state == effects::EffectState::Intending
        })
        .map(|(key, _)| key.clone())
        .collect();
    for key in open {
        doubt(world, partition, &key);
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
        if let Some(account) = world.tables.programs.account(&root) {
            account.turns = account.turns.max(turns);
        }
        touch(world, tick, &root);
    }
}

/// Turns that the conversations of a program tree hold.
fn count_turns(world: &world::World, root: &ids::ProgramId) -> u32 {
    let mut turns = 0;
    for member in tree_of(world, root) {
        let conversations = world.tables.conversations.by_program.get(&member);
        for conversation in conversations.into_iter().flatten() {
            let row = world.tables.conversations.rows.get(conversation);
            turns += row.map_or(0, |row| row.turns.len());
        }
    }
    u32::try_from(turns).unwrap_or(u32::MAX)
}

/// Marks an effect as one that may have run, and uses up its turn.
fn doubt(world: &mut world::World, partition: &ids::Partition, key: &effects::EffectKey) {
    let Some(row) = world.tables.effects.rows.get_mut(key) else {
        return;
    };
    row.state = effects::EffectState::Unknown;
    let call = row.call.clone();
    let fingerprint = row.fingerprint;
    let end = journal::EffectEnd::Unknown;
    let record = journal::Record::Effect { root: key.root.clone(), key: key.key.clone(), end };
    journaling::append(world, partition, record);
    use_up_turn(world, &call, fingerprint);
}

/// Records a turn whose outcome is unknown, if it is the next one.
pub fn use_up_turn(
    world: &mut world::World,
    call: &ids::CallKey,
    fingerprint: crate::digest::Digest,
) {
    let Some(row) = world.tables.conversations.rows.get(&call.conversation) else {
        return;
    };
    if call.turn != row.last + 1 {
        return;
    }
    let record = history::TurnRecord {
        turn: call.turn,
        since: row.last,
        kind: history::TurnKind::Doubtful,
        request: fingerprint,
        input: Vec::new(),
        output: String::new(),
        finish: work::Finish::Stop,
        usage: work::Usage::default(),
    };
    push_turn(world, &call.conversation, record);
}

/// Adds a finished turn to its conversation and to the journal.
pub fn push_turn(
    world: &mut world::World,
    conversation: &ids::ConversationId,
    record: history::TurnRecord,
) {
    let Some(row) = world.tables.conversations.rows.get_mut(conversation) else {
        return;
    };
    let program = row.program.clone();
    let records = journal::split_turn(conversation, &program, &record);
    row.push(conversation, record);
    for record in records {
        journaling::append(world, &conversation.home, record);
    }
    world.tables.dirty.conversations.insert(conversation.clone());
}

/// Takes one record of this owner that now stands in the journal.
pub fn confirmed(world: &mut world::World, tick: &world::Tick, record: &journal::Record) {
    let tables = &mut world.tables;
    match record {
        journal::Record::Turn { conversation, record, .. } => {
            if let Some(row) = tables.conversations.rows.get_mut(conversation) {
                row.journaled = row.journaled.max(record.turn);
            }
            let call = ids::CallKey { conversation: conversation.clone(), turn: record.turn };
            tables.dirty.finish.insert(call);
        }
        journal::Record::Grant { root, granted } => {
            let Some(row) = tables.programs.rows.get_mut(root) else {
                return;
            };
            row.account.granted = row.account.granted.max(*granted);
            row.account.granting = None;
            let waiting = std::mem::take(&mut row.account.waiting);
            tables.dirty.reserve.extend(waiting);
        }
        journal::Record::Intent { root, key, call, .. } => {
            let key = effects::EffectKey { root: root.clone(), key: key.clone() };
            let Some(row) = tables.effects.rows.get_mut(&key) else {
                return;
            };
            // Only the intent of the call that is still there: an earlier one was withdrawn.
            if row.call != *call || row.state != effects::EffectState::Intending {
                return;
            }
            row.state = effects::EffectState::Confirmed;
            if tables.calls.rows.get(call).is_some_and(|c| c.state == calls::State::Intending) {
                tables.calls.set_state(call, calls::State::Placing);
                tables.dirty.place.insert(call.clone());
            }
        }
        journal::Record::Program(record) => {
            if let Some(row) = tables.programs.rows.get_mut(&record.program) {
                row.carried_at = tick.now;
            }
        }
        _ => {}
    }
}

/// Makes the row of a program and its record. `spent` counts as spent from the start.
pub fn create(
    world: &mut world::World,
    tick: &world::Tick,
    program: &ids::ProgramId,
    root: &ids::ProgramId,
    workspace: &ids::WorkspaceName,
    spent: work::Cost,
) {
    let granted = first_chunk(world, workspace);
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
        active_at: tick.now,
        carried_at: tick.now,
        account,
    };
    world.tables.programs.insert(program.clone(), row);
    let record = program_record(world, program, 0);
    if let Some(record) = record {
        journaling::append(world, &program.home, journal::Record::Program(record));
    }
    touch(world, tick, program);
}

/// The first chunk of a program's budget: granted without waiting for the journal, once.
pub fn first_chunk(world: &world::World, workspace: &ids::WorkspaceName) -> work::Cost {
    let budget = world.objects().and_then(|objects| {
        let workspace = objects.workspaces.get(workspace)?;
        objects.budgets.get(&workspace.budget)
    });
    budget.map_or(0, |budget| budget.chunk.min(budget.limit))
}

/// The record of a program's row, with what is surely unspent of its grant.
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

/// Notes that a program is active.
pub fn touch(world: &mut world::World, tick: &world::Tick, program: &ids::ProgramId) {
    let at = tick.now.after(world.settings.program_idle);
    let Some(row) = world.tables.programs.rows.get_mut(program) else {
        return;
    };
    row.active_at = tick.now;
    let root = row.root.clone();
    if let Some(root_row) = world.tables.programs.rows.get_mut(&root) {
        root_row.active_at = tick.now;
    }
    let timer = timers::Timer::ProgramIdle(root);
    if !world.tables.timers.is_set(&timer) {
        world.tables.timers.set(timer, at);
    }
}

/// Ends programs that were idle for too long.
pub fn end_idle(world: &mut world::World, tick: &world::Tick) {
    let due = due::take_due(world, |timer| match timer {
        timers::Timer::ProgramIdle(program) => Some(program.clone()),
        _ => None,
    });
    for program in due {
        let Some(row) = world.tables.programs.rows.get(&program) else {
            continue;
        };
        if row.ended {
            drop_program(world, &program);
            continue;
        }
        let at = row.active_at.after(world.settings.program_idle);
        if at > tick.now {
            world.tables.timers.set(timers::Timer::ProgramIdle(program), at);
            continue;
        }
        world.event("program_idle_ended", &program, "idle for too long");
        end(world, tick, &program);
    }
}

/// Ends a program: what waits is refused, what runs is stopped, cached context is released. A root
/// takes its sub-agents with it.
pub fn end(world: &mut world::World, tick: &world::Tick, program: &ids::ProgramId) {
    let tree = tree_of(world, program);
    for member in &tree {
        cancel_calls(world, tick, member);
        release_places(world, tick, member);
    }
    measure_end(world, tick, program);
    end_rows(world, program);
    let record = journal::Record::Ended { program: program.clone() };
    journaling::append(world, &program.home, record);
    let at = tick.now.after(world.settings.max_deadline);
    world.tables.timers.set(timers::Timer::ProgramIdle(program.clone()), at);
}

fn measure_end(world: &mut world::World, tick: &world::Tick, program: &ids::ProgramId) {
    let Some(row) = world.tables.programs.rows.get(program) else {
        return;
    };
    let seconds = tick.now.since(row.started_at).as_secs_f64();
    world.emit(output::Output::Measure(output::Measure::ProgramSeconds(seconds)));
}

fn tree_of(world: &world::World, program: &ids::ProgramId) -> Vec<ids::ProgramId> {
    match world.tables.programs.by_root.get(program) {
        Some(tree) => tree.iter().cloned().collect(),
        None => vec![program.clone()],
    }
}

fn cancel_calls(world: &mut world::World, tick: &world::Tick, program: &ids::ProgramId) {
    let Some(set) = world.tables.conversations.by_program.get(program) else {
        return;
    };
    for conversation in set.clone() {
        let turns = match world.tables.conversations.rows.get(&conversation) {
            Some(row) => row.calls.clone(),
            None => continue,
        };
        for turn in turns {
            let key = ids::CallKey { conversation: conversation.clone(), turn };
            call_lifecycle::cancel(world, tick, &key);
        }
    }
}

/// Lets go of every cached context of a program.
fn release_places(world: &mut world::World, tick: &world::Tick, program: &ids::ProgramId) {
    let Some(set) = world.tables.conversations.by_program.get(program) else {
        return;
    };
    for conversation in set.clone() {
        release_place(world, tick, &conversation);
    }
}

/// Lets go of a conversation's cached context.
pub fn release_place(
    world: &mut world::World,
    tick: &world::Tick,
    conversation: &ids::ConversationId,
) {
    let Some(row) = world.tables.conversations.rows.get_mut(conversation) else {
        return;
    };
    let Some(conversations::Place { instance, hold: Some(hold), .. }) = row.place.take() else {
        return;
    };
    let message = messages::Message::Release { holds: vec![hold] };
    let lasting = world.settings.hold_lease;
    outbox::confirm(world, tick, &instance, None, message, lasting);
}

/// Marks a program and, for a root, its tree as ended and forgets histories and effects' texts.
pub fn end_rows(world: &mut world::World, program: &ids::ProgramId) {
    for member in tree_of(world, program) {
        if let Some(row) = world.tables.programs.rows.get_mut(&member) {
            row.ended = true;
        }
        let conversations = world.tables.conversations.by_program.get(&member).cloned();
        for conversation in conversations.unwrap_or_default() {
            world.tables.conversations.remove(&conversation);
        }
    }
}

/// Removes an ended program's rows.
fn drop_program(world: &mut world::World, program: &ids::ProgramId) {
    for key in world.tables.effects.keys_of(program) {
        world.tables.effects.rows.remove(&key);
    }
    for member in tree_of(world, program) {
        world.tables.programs.remove(&member);
    }
}

/// Calls under way in `partition`.
pub fn calls_of(world: &world::World, partition: &ids::Partition) -> Vec<ids::CallKey> {
    let keys = world.tables.calls.rows.keys();
    keys.filter(|key| key.conversation.home == *partition).cloned().collect()
}

/// Drops the rows of a partition that this process does not own.
pub fn drop_partition(world: &mut world::World, partition: &ids::Partition) {
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
