//! Settles closed allowances in the log when waiting for the program's next `Start` record may take
//! too long.
//!
//! A `Start` record also settles the closed allowances that its gateway knows of, so most need no
//! record of their own. An allowance that is not settled in the log counts at its full size, which
//! could only cause a wrong refusal for a program that is close to its budget.

use std::time;

use crate::ids;
use crate::journal;
use crate::output;
use crate::systems::relay;
use crate::tables::calls;
use crate::tables::timers;
use crate::world;

/// Number of turns of the maximum size for which the budget must have room so that settlement can wait
/// for the next `Start` record: the program's own sequence of turns and some sub-agents.
const ROOM_TURNS: u64 = 8;
/// Delay before closed allowances are settled in a record of their own. The program's next `Start`
/// record mostly arrives within it, and users expect a turn to be settled 1,000 ms after its end.
const SETTLE_DELAY: time::Duration = time::Duration::from_millis(300);

/// Settles the programs whose settlement delay has passed.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    for program in std::mem::take(&mut world.tables.dirty.settle) {
        settle(world, tick, &program);
    }
}

/// Charges the tokens of a call's ended turn to its program's allowance, once per turn.
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
    if program.settling || program.has_room(turn.max_tokens * ROOM_TURNS, budget) {
        return;
    }
    program.settling = true;
    tables.timers.set(timers::Timer::Settle(turn.program.clone()), tick.now.after(SETTLE_DELAY));
}

/// Queues a `Settle` record for the closed allowances of a program.
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
