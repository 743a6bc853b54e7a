//! Rebuilds the rows of programs, conversations and effects from the records of earlier owners.

use std::collections;

use crate::history;
use crate::ids;
use crate::journal;
use crate::systems::ownership;
use crate::systems::programs as program_rows;
use crate::tables::effects;
use crate::tables::programs;
use crate::time;
use crate::world;

/// Applies one record of an earlier owner.
pub fn restore_record(
    world: &mut world::World,
    partition: &ids::Partition,
    record: &journal::Record,
    logged_at: time::Timestamp,
) {
    let tables = &mut world.tables;
    match record {
        journal::Record::Reassert => {}
        journal::Record::Program(record) => restore_program(world, record, logged_at),
        journal::Record::Conversation { conversation, program } => {
            tables.conversations.get_or_insert(conversation, program);
        }
        journal::Record::TurnText { call, field, text } => {
            let texts = &mut ownership::partition_row(world, partition).replay.partial_texts;
            texts.entry((call.clone(), *field)).or_default().push_str(text);
        }
        journal::Record::Turn { conversation, program, record } => {
            restore_turn(world, partition, conversation, program, record.clone());
        }
        journal::Record::Grant { root, granted } => {
            if let Some(row) = tables.programs.rows.get_mut(root) {
                row.account.granted = row.account.granted.max(*granted);
            }
        }
        journal::Record::Intent { root, key, call, fingerprint } => {
            let key = effects::EffectKey { root: root.clone(), key: key.clone() };
            let state = effects::EffectState::Intending;
            let effect = effects::Effect { call: call.clone(), fingerprint: *fingerprint, state };
            tables.effects.rows.insert(key, effect);
        }
        journal::Record::Effect { root, key, end: outcome } => {
            restore_effect(world, root, key, outcome)
        }
        journal::Record::Ended { program } => program_rows::mark_ended(world, program),
    }
}

fn restore_program(
    world: &mut world::World,
    record: &journal::ProgramRecord,
    logged_at: time::Timestamp,
) {
    let known = world.tables.programs.rows.get(&record.program);
    let known_account = known.map(|row| row.account.clone()).unwrap_or_default();
    let granted = record.granted.max(known_account.granted);
    let account = programs::Account {
        granted,
        pending_grant: None,
        spent: granted.saturating_sub(record.unspent),
        reserved: 0,
        turns: record.turns.max(known_account.turns),
        attained: record.attained.max(known_account.attained),
        waiting_calls: collections::BTreeSet::new(),
    };
    let row = programs::Program {
        root: record.root.clone(),
        workspace: record.workspace.clone(),
        ended: false,
        started_at: logged_at,
        last_active_at: logged_at,
        last_logged_at: logged_at,
        account,
    };
    world.tables.programs.insert(record.program.clone(), row);
}

fn restore_turn(
    world: &mut world::World,
    partition: &ids::Partition,
    conversation: &ids::ConversationId,
    program: &ids::ProgramId,
    mut record: history::TurnRecord,
) {
    let call = ids::CallKey { conversation: conversation.clone(), turn: record.turn };
    let texts = &mut ownership::partition_row(world, partition).replay.partial_texts;
    if let Some(text) = texts.remove(&(call.clone(), 0)) {
        record.output = text;
    }
    for (index, message) in record.input.iter_mut().enumerate() {
        let field = u32::try_from(index + 1).unwrap_or(u32::MAX);
        if let Some(text) = texts.remove(&(call.clone(), field)) {
            message.content = text;
        }
    }
    world.tables.conversations.get_or_insert(conversation, program);
    if let Some(row) = world.tables.conversations.restore_turn(conversation, record) {
        row.journaled_turn = row.last_turn;
    }
}

fn restore_effect(
    world: &mut world::World,
    root: &ids::ProgramId,
    key: &str,
    outcome: &journal::EffectOutcome,
) {
    let key = effects::EffectKey { root: root.clone(), key: key.to_owned() };
    let rows = &mut world.tables.effects.rows;
    let state = match outcome {
        journal::EffectOutcome::NotRun => {
            rows.remove(&key);
            return;
        }
        journal::EffectOutcome::Unknown => effects::EffectState::Unknown,
        journal::EffectOutcome::Done { status, text } => {
            effects::EffectState::Done { status: *status, text: text.clone() }
        }
    };
    if let Some(row) = rows.get_mut(&key) {
        row.state = state;
    }
}
