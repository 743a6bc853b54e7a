//! Fencing: claims the local endpoint in the region's stream of endpoint claims. The offset of the
//! claim is the fencing token that commands to the endpoint carry.

use std::time as std_time;

use crate::ids;
use crate::input;
use crate::journal;
use crate::output;
use crate::systems::due_timers;
use crate::tables::timers;
use crate::world;

/// Delay before a claim that was refused or lost is retried.
const CLAIM_RETRY_DELAY: std_time::Duration = std_time::Duration::from_secs(1);

/// Returns the name of the region's stream of endpoint claims.
pub fn claim_stream(region: &ids::RegionName) -> ids::StreamName {
    ids::StreamName::new(format!("endpoints.{region}"))
}

/// Processes the result of the claim's append, and sends a claim that is due.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    process_append_result(world, tick);
    let due = due_timers::take_matching(world, |timer| {
        (*timer == timers::Timer::EndpointClaim).then_some(())
    });
    if !due.is_empty() {
        send_claim(world);
    }
}

fn send_claim(world: &mut world::World) {
    if world.tables.endpoints.fencing_token.is_some() {
        return;
    }
    let Some(endpoint) = world.identity.endpoint.clone() else {
        return;
    };
    // Each attempt uses a new nonce. If an earlier claim of this incarnation was appended after
    // all, it has a lower offset, and the only effect is a fencing token that is higher than
    // necessary.
    let nonce = ids::Nonce(world.rng.next_u64());
    world.tables.endpoints.claim_nonce = Some(nonce);
    let body = journal::Body::EndpointClaim { endpoint };
    let entry = journal::Entry { nonce, writer: world.identity.peer.clone(), body };
    let stream = claim_stream(&world.identity.region);
    world.emit(output::Output::Append { stream, entry });
}

fn process_append_result(world: &mut world::World, tick: &world::Tick) {
    let Some(nonce) = world.tables.endpoints.claim_nonce else {
        return;
    };
    let append_results = &mut world.tables.inbox.append_results;
    let Some(index) = append_results.iter().position(|(_, n, _)| *n == nonce) else {
        return;
    };
    let (_, _, result) = append_results.remove(index);
    world.tables.endpoints.claim_nonce = None;
    if let input::AppendResult::Committed(offset) = result {
        world.tables.endpoints.fencing_token = Some(ids::FencingToken(offset.0));
        world.event("endpoint_claimed", offset, "fencing token");
    } else {
        world.tables.timers.set(timers::Timer::EndpointClaim, tick.now.after(CLAIM_RETRY_DELAY));
    }
}
