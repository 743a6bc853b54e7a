//! Tells the log of allowances that are over, where the next start of their program may come too
//! late for that.
//!
//! A start carries what its process knows of its earlier allowances, so most need no record of their
//! own. Only a program that is close to its budget could be refused wrongly, because allowances that
//! the log does not know to be over count at their full size.

use std::time;

use crate::ids;
use crate::journal;
use crate::output;
use crate::systems::relay;
use crate::tables::calls;
use crate::tables::timers;
use crate::world;

/// Turns at their most for which a program's budget has to have room, so that its ended allowances
/// need not be told at once: its line and some sub-agents.
const AMPLE_TURNS: u64 = 8;
/// Pause before the log is told, in which the program's next start mostly comes; the users take a
/// turn as settled 1,000 ms after its end.
const PAUSE: time::Duration = time::Duration::from_millis(300);

/// Settles the programs whose pause is over.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    for program in std::mem::take(&mut world.tables.dirty.settle) {
        settle(world, tick, &program);
    }
}

/// Takes the end of a call's turn into its program's account.
pub fn charge_turn(world: &mut world::World, tick: &world::Tick, call: ids::CallId) {
    let tables = &mut world.tables;
    let Some(call) = tables.calls.rows.get_mut(&call) else { return };
    let Some(turn) = call.turn.as_mut() else { return };
    let Some(budget) = turn.budget else { return };
    let Some(program) = tables.programs.rows.get_mut(&turn.program) else { return };
    if turn.accounted || turn.reservation == calls::Reservation::None {
        return;
    }
    turn.accounted = true;
    program.end(&call.arrival.id, turn.tokens);
    let detail =
        format_args!("request={} program={} tokens={}", call.arrival.id, turn.program, turn.tokens);
    world.out.push(output::Output::Event(output::Event::new("turn_accounted", detail)));
    if program.settling || program.has_room(turn.max_tokens * AMPLE_TURNS, budget) {
        return;
    }
    program.settling = true;
    tables.timers.set(timers::Timer::Settle(turn.program.clone()), tick.now.after(PAUSE));
}

fn settle(world: &mut world::World, tick: &world::Tick, id: &ids::ProgramId) {
    let program = world.tables.programs.touch(id, tick.now);
    program.settling = false;
    if !program.is_busy() {
        program.retire_current();
    }
    let settled = program.to_settle();
    if settled.is_empty() {
        return;
    }
    let record = journal::Record::Settle(journal::Settle { program: id.clone(), settled });
    relay::submit(world, tick, record);
}
