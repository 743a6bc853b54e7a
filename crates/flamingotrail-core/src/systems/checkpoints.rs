//! Checkpoints: rewrites a program's full state to the log before the retention of its older
//! entries expires.

use crate::ids;
use crate::journal;
use crate::systems::journal_writer;
use crate::systems::programs;
use crate::tables::effects;
use crate::work;
use crate::world;

/// Checkpoints every live program of `partition` whose last full copy in the log is older than half
/// of the log's retention.
pub fn checkpoint_aging_programs(
    world: &mut world::World,
    tick: &world::Tick,
    partition: &ids::Partition,
) {
    let half_retention = world.settings.log_retention / 2;
    let aging: Vec<ids::ProgramId> = world
        .tables
        .programs
        .rows
        .iter()
        .filter(|(id, row)| id.home == *partition && !row.ended)
        .filter(|(_, row)| tick.now.since(row.last_logged_at) >= half_retention)
        .map(|(id, _)| id.clone())
        .collect();
    for program in aging {
        checkpoint_program(world, &program);
    }
}

/// Appends a program's rows to the log: the program itself, its conversations with their turns, and
/// its effects.
pub fn checkpoint_program(world: &mut world::World, program: &ids::ProgramId) {
    let home = program.home.clone();
    let Some(record) = programs::program_record(world, program, 0) else {
        return;
    };
    journal_writer::append(world, &home, journal::Record::Program(record));
    let conversations = world.tables.conversations.by_program.get(program).cloned();
    for conversation in conversations.unwrap_or_default() {
        let Some(row) = world.tables.conversations.rows.get(&conversation) else {
            continue;
        };
        let records: Vec<journal::Record> = row
            .turns
            .values()
            .flat_map(|turn| journal::split_turn(&conversation, program, &turn.record))
            .collect();
        let conversation_record = journal::Record::Conversation {
            conversation: conversation.clone(),
            program: program.clone(),
        };
        journal_writer::append(world, &home, conversation_record);
        for record in records {
            journal_writer::append(world, &home, record);
        }
    }
    checkpoint_effects(world, program);
}

/// Appends a root program's row with `unspent`, the part of its grant that is known to be unspent.
pub fn record_unspent_budget(world: &mut world::World, root: &ids::ProgramId, unspent: work::Cost) {
    let Some(record) = programs::program_record(world, root, unspent) else {
        return;
    };
    journal_writer::append(world, &root.home, journal::Record::Program(record));
}

fn checkpoint_effects(world: &mut world::World, root: &ids::ProgramId) {
    for key in world.tables.effects.keys_for_root(root) {
        let Some(row) = world.tables.effects.rows.get(&key) else {
            continue;
        };
        let intent = journal::Record::Intent {
            root: root.clone(),
            key: key.key.clone(),
            call: row.call.clone(),
            fingerprint: row.fingerprint,
        };
        let outcome = match &row.state {
            effects::EffectState::Intending => continue,
            effects::EffectState::Confirmed => None,
            effects::EffectState::Done { status, text } => {
                Some(journal::EffectOutcome::Done { status: *status, text: text.clone() })
            }
            effects::EffectState::Unknown => Some(journal::EffectOutcome::Unknown),
        };
        journal_writer::append(world, &root.home, intent);
        if let Some(outcome) = outcome {
            let record = journal::Record::Effect { root: root.clone(), key: key.key, end: outcome };
            journal_writer::append(world, &root.home, record);
        }
    }
}
