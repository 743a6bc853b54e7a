//! Claims the own endpoint in the region's stream of endpoint claims: the offset of the claim is
//! the fencing number that orders carry.

use std::time as std_time;

use crate::ids;
use crate::input;
use crate::journal;
use crate::output;
use crate::systems::due_timers;
use crate::tables::timers;
use crate::world;

/// Delay before a claim that was refused or lost is sent again.
const RETRY: std_time::Duration = std_time::Duration::from_secs(1);

/// The region's stream of endpoint claims.
pub fn stream(region: &ids::RegionName) -> ids::StreamName {
    ids::StreamName::new(format!("endpoints.{region}"))
}

/// Sends the claim, and takes its offset.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    take_appended(world, tick);
    let due = due_timers::take_matching(world, |timer| {
        (*timer == timers::Timer::EndpointClaim).then_some(())
    });
    if !due.is_empty() {
        claim(world);
    }
}

fn claim(world: &mut world::World) {
    if world.tables.endpoints.fence.is_some() {
        return;
    }
    let Some(endpoint) = world.identity.endpoint.clone() else {
        return;
    };
    // A new nonce each time: an earlier claim of the same start that stands after all has a lower
    // offset and only makes the fencing number higher than needed.
    let nonce = ids::Nonce(world.rng.next_u64());
    world.tables.endpoints.claim_nonce = Some(nonce);
    let body = journal::Body::EndpointClaim { endpoint };
    let entry = journal::Entry { nonce, writer: world.identity.peer.clone(), body };
    let stream = stream(&world.identity.region);
    world.emit(output::Output::Append { stream, entry });
}

fn take_appended(world: &mut world::World, tick: &world::Tick) {
    let Some(nonce) = world.tables.endpoints.claim_nonce else {
        return;
    };
    let appended = &mut world.tables.inbox.append_results;
    let Some(index) = appended.iter().position(|(_, n, _)| *n == nonce) else {
        return;
    };
    let (_, _, result) = appended.remove(index);
    world.tables.endpoints.claim_nonce = None;
    if let input::AppendResult::Committed(offset) = result {
        world.tables.endpoints.fence = Some(ids::FencingToken(offset.0));
        world.event("endpoint_claimed", offset, "fencing number");
    } else {
        world.tables.timers.set(timers::Timer::EndpointClaim, tick.now.after(RETRY));
    }
}
