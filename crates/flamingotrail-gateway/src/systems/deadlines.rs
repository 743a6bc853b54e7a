//! Ends calls that ran out of time.

use crate::output;
use crate::systems::completion;
use crate::tables::calls;
use crate::world;

/// Ends the calls that are late.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    for id in std::mem::take(&mut world.tables.dirty.late) {
        let Some(call) = world.tables.calls.rows.get(&id) else { continue };
        if call.phase == calls::Phase::Closed {
            continue;
        }
        let sent = call.ran > 0 || call.running.is_some();
        let reason = if sent { output::Reason::TimedOut } else { output::Reason::Unavailable };
        let retry_after = (!sent).then_some(crate::systems::admission::DEFAULT_RETRY_AFTER);
        completion::refuse(world, tick, id, output::Refusal { reason, retry_after });
    }
}
