//! Settles closed allowances in the log if the program's next `Start` record may come too late for
//! it.
//!
//! A `Start` record also settles the closed allowances that its gateway knows of, so most need no
//! record of their own. Until an allowance is settled, it counts at its full size, which can cause
//! a wrong refusal only if the program is close to its budget.

use std::time;

use crate::ids;
use crate::journal;
use crate::output;
use crate::systems::relay;
use crate::tables;
use crate::tables::calls;
use crate::tables::timers;
use crate::world;

/// Settlement waits for the next `Start` record if the budget has room for this many turns of the
/// maximum size: those of the program itself and of some sub-agents.
const ROOM_TURNS: u64 = 8;
/// Delay before closed allowances are settled in a record of their own. The program's next `Start`
/// record usually arrives within this time, and a turn is expected to be settled within 1,000 ms of
/// its end.
const SETTLE_DELAY: time::Duration = time::Duration::from_millis(300);

/// Settles the programs whose settlement delay has passed.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    for program in std::mem::take(&mut world.tables.dirty.unsettled_programs) {
        settle(world, tick, &program);
    }
}

/// Reads the earlier records of a program again if its account does not hold: a request for an
/// allowance is decided by the account at its place in the log. Returns whether the account holds.
pub fn prepare_account(
    tables: &mut tables::Tables,
    tick: &world::Tick,
    program: &ids::ProgramId,
    partition: ids::Partition,
) -> bool {
    if !tables.touch_program(program, tick.now).is_partial {
        return true;
    }
    let row = tables.partitions.row(partition);
    // Without an entry, the log has dropped the records.
    let offset = tables.log_index.program_offset(program, tick.now);
    let offset = offset.unwrap_or(ids::Offset(row.applied));
    row.replay_program(program, offset);
    tables.dirty.partitions.insert(partition);
    false
}

/// Charges the tokens of a call's ended turn to its program's allowance, once per turn.
pub fn charge_turn(world: &mut world::World, tick: &world::Tick, call: ids::CallId) {
    let tables = &mut world.tables;
    let Some(call) = tables.calls.rows.get_mut(&call) else { return };
    let Some(turn) = call.turn.as_mut() else { return };
    let Some(budget) = turn.budget else { return };
    let Some(program) = tables.programs.rows.get_mut(&turn.program) else { return };
    if turn.is_charged || turn.reservation == calls::Reservation::None {
        return;
    }
    turn.is_charged = true;
    program.end_turn(&call.arrival.id, turn.delivered_tokens);
    let detail = format_args!(
        "request={} program={} tokens={}",
        call.arrival.id, turn.program, turn.delivered_tokens
    );
    world.outputs.push(output::Output::Event(output::Event::new("turn_accounted", detail)));
    let (id, max_tokens) = (turn.program.clone(), turn.max_tokens);
    schedule_settlement(world, tick, &id, max_tokens, budget);
}

/// Schedules the settlement of a program's closed allowances if its budget has little room left for
/// turns of at most `turn_tokens`.
pub fn schedule_settlement(
    world: &mut world::World,
    tick: &world::Tick,
    id: &ids::ProgramId,
    turn_tokens: u64,
    budget: u64,
) {
    let program = world.tables.touch_program(id, tick.now);
    let needed = turn_tokens.saturating_mul(ROOM_TURNS);
    if program.is_settlement_scheduled || program.has_room(needed, budget) {
        return;
    }
    program.is_settlement_scheduled = true;
    let at = tick.now.after(SETTLE_DELAY);
    world.tables.timers.set(timers::Timer::Settlement(id.clone()), at);
}

/// Queues a `Settle` record for the closed allowances of a program.
fn settle(world: &mut world::World, tick: &world::Tick, id: &ids::ProgramId) {
    let program = world.tables.touch_program(id, tick.now);
    program.is_settlement_scheduled = false;
    if !program.is_busy() {
        program.close_current();
    }
    let settled = program.unsettled_allowances();
    if settled.is_empty() {
        return;
    }
    let record = journal::Record::Settle(journal::Settle {
        program: id.clone(),
        settled,
        open: Vec::new(),
        age: time::Duration::ZERO,
    });
    relay::submit(world, tick, record);
}
