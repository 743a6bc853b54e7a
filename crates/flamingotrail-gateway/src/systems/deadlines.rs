//! Refuses calls that have passed their deadline.

use crate::output;
use crate::systems::completion;
use crate::tables::calls;
use crate::world;

/// Refuses the calls whose deadline has passed.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    for id in std::mem::take(&mut world.tables.dirty.overdue_calls) {
        let Some(call) = world.tables.calls.rows.get(&id) else { continue };
        if call.phase == calls::Phase::Closed {
            continue;
        }
        let may_have_run = call.possible_runs > 0 || call.running.is_some();
        let reason =
            if may_have_run { output::Reason::TimedOut } else { output::Reason::Unavailable };
        let retry_after = (!may_have_run).then_some(crate::systems::admission::DEFAULT_RETRY_AFTER);
        completion::refuse(world, tick, id, output::Refusal { reason, retry_after });
    }
}
