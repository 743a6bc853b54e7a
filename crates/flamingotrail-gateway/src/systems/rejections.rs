//! Records that the log does not accept: they are dropped, so that those behind them go on, and their
//! calls end.

use crate::ids;
use crate::journal;
use crate::output;
use crate::systems::completion;
use crate::systems::relay;
use crate::tables::calls;
use crate::world;

/// Handles an append that the log has rejected: appends its records one by one, or drops a single one.
pub fn handle_rejected_append(
    world: &mut world::World,
    tick: &world::Tick,
    partition: ids::Partition,
    records: Vec<journal::Record>,
) {
    if let [record] = &records[..] {
        drop_record(world, tick, record);
        return;
    }
    let row = world.tables.partitions.row(partition);
    row.single_appends = records.len();
    for record in records.into_iter().rev() {
        row.queue.push_front(record);
    }
}

fn drop_record(world: &mut world::World, tick: &world::Tick, record: &journal::Record) {
    let Some(key) = record.key() else { return };
    let bytes = record.text_bytes();
    world.emit_event("record_rejected", format_args!("record={key:?} text_bytes={bytes}"));
    relay::reject_record(world, &key);
    match record {
        journal::Record::Start(start) => {
            refuse_allowance(world, tick, &start.program, &start.turn);
        }
        journal::Record::End(journal::End { turn, .. })
        | journal::Record::Part(journal::Part { turn, .. })
        | journal::Record::LongEnd(journal::LongEnd { end: journal::End { turn, .. }, .. }) => {
            if let Some(call) = world.tables.calls.by_turn.get(turn).copied() {
                refuse_call(world, tick, call);
            }
        }
        // What it would settle counts as used.
        journal::Record::Settle(_) => {}
    }
}

/// Refuses the calls that wait for an allowance whose request was dropped.
fn refuse_allowance(
    world: &mut world::World,
    tick: &world::Tick,
    program: &ids::ProgramId,
    allowance: &ids::TurnId,
) {
    let Some(row) = world.tables.programs.rows.get_mut(program) else { return };
    let turns: Vec<ids::TurnId> = row
        .allowances
        .get(allowance)
        .map(|allowance| allowance.running.keys().cloned().collect())
        .unwrap_or_default();
    row.withdraw_allowance(allowance);
    let calls = &world.tables.calls;
    let waiting: Vec<ids::CallId> =
        turns.iter().filter_map(|turn| calls.by_turn.get(turn).copied()).collect();
    for call in waiting {
        refuse_call(world, tick, call);
    }
}

/// Refuses a call, truthfully: it may have run if it was sent.
fn refuse_call(world: &mut world::World, tick: &world::Tick, id: ids::CallId) {
    let Some(call) = world.tables.calls.rows.get(&id) else { return };
    if call.phase == calls::Phase::Closed {
        return;
    }
    let has_run = call.possible_runs > 0 || call.running.is_some();
    let reason = if has_run { output::Reason::Lost } else { output::Reason::TooLarge };
    completion::refuse(world, tick, id, output::Refusal { reason, retry_after: None });
}
