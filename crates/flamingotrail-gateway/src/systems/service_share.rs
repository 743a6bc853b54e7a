//! Limits what the calls of one service hold, so that a crowd at a busy service leaves places and memory
//! for the callers of others.

use flamingotrail_core::share;

use crate::input;
use crate::output;
use crate::settings;
use crate::systems::admission;
use crate::tables::calls;
use crate::world;

/// Returns what the call of a request will hold.
pub fn held(limits: &settings::CallLimits, arrival: &input::Arrival) -> calls::Held {
    let bytes = arrival.body.len();
    let large_bytes = if bytes > limits.ordinary_bytes { bytes } else { 0 };
    calls::Held { calls: 1, large_bytes }
}

/// Returns the refusal of a call whose service holds its share already.
pub fn refuse_for_others(world: &mut world::World, call: &calls::Call) -> Option<output::Refusal> {
    let limits = &world.settings.call_limits;
    let (all, own) = (world.tables.calls.held(), world.tables.calls.held_by(&call.service));
    let fits = |of: fn(&calls::Held) -> usize, max: usize| {
        let share = share::Share { max, percent: limits.service_percent };
        share.has_room(of(&all), of(&own), of(&call.held))
    };
    if fits(|held| held.calls, limits.max_calls)
        && fits(|held| held.large_bytes, limits.max_large_bytes)
    {
        return None;
    }
    world.emit(output::Output::Count("services_limited"));
    let retry_after = Some(admission::DEFAULT_RETRY_AFTER);
    Some(output::Refusal { reason: output::Reason::Unavailable, retry_after })
}
