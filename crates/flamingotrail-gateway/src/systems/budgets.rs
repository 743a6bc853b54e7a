//! Tells the log of turns that are over, where the next start of their program may come too late
//! for that.
//!
//! A start carries what its process knows of its program's earlier turns, so most turns need no
//! record of their own. Only a program that is close to its budget could be refused wrongly, because
//! turns that the log does not know to be over count at their most.

use std::time;

use crate::ids;
use crate::journal;
use crate::tables::timers;
use crate::world;

/// Turns at their most for which a program's budget has to have room, so that its ended turns need
/// not be told at once: its line and some sub-agents.
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

/// Sees to it that the log is told soon of the turn of `call`, which is over, where that matters.
pub fn settle_soon(world: &mut world::World, tick: &world::Tick, call: ids::CallId) {
    let tables = &mut world.tables;
    let turn = tables.calls.rows.get(&call).and_then(|call| call.turn.as_ref());
    let Some(turn) = turn else { return };
    let Some(budget) = turn.budget else { return };
    let Some(program) = tables.programs.rows.get_mut(&turn.program) else { return };
    if program.settling || program.has_room(turn.max_tokens * AMPLE_TURNS, budget) {
        return;
    }
    program.settling = true;
    tables.timers.set(timers::Timer::Settle(turn.program.clone()), tick.now.after(PAUSE));
}

fn settle(world: &mut world::World, tick: &world::Tick, id: &ids::ProgramId) {
    let program = world.tables.programs.touch(id, tick.now);
    program.settling = false;
    let settled = program.to_settle();
    if settled.is_empty() {
        return;
    }
    let partition = ids::Partition::of_program(id, world.settings.partitions);
    let record = journal::Record::Settle(journal::Settle { program: id.clone(), settled });
    world.tables.partitions.row(partition).queue.push_back(record);
    world.tables.dirty.partitions.insert(partition);
}
