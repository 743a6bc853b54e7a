//! Finds gateways that have ended without removing themselves from the list, and removes them: what
//! all gateways share is divided by their number.

use std::time;

use crate::output;
use crate::tables::timers;
use crate::world;

/// Interval between two probes of a gateway.
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(2_000);
/// Time without a response after which a gateway is removed from the list: longer than a restart. A
/// gateway that still runs lists itself again.
const REMOVE_AFTER: time::Duration = time::Duration::from_secs(10);

/// Handles the results of probes and sends the next ones.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    for (peer, has_responded) in std::mem::take(&mut world.tables.inbox.probe_results) {
        let peers = &mut world.tables.peers;
        if has_responded {
            peers.silent_since.remove(&peer);
            continue;
        }
        if !peers.rows.contains_key(&peer) {
            continue;
        }
        let since = *peers.silent_since.entry(peer.clone()).or_insert(tick.now);
        let silent_time = tick.now.since(since);
        if silent_time >= REMOVE_AFTER {
            let silent_ms = silent_time.as_millis();
            world.emit_event("peer_removed", format_args!("peer={peer} silent_ms={silent_ms}"));
            world.emit(output::Output::RemovePeer(peer));
        }
    }
    if std::mem::take(&mut world.tables.dirty.peer_probes) {
        send_probes(world, tick);
    }
}

fn send_probes(world: &mut world::World, tick: &world::Tick) {
    let probes: Vec<output::Output> = world
        .tables
        .peers
        .watched(&world.identity.instance)
        .into_iter()
        .map(|(name, peer)| output::Output::ProbePeer {
            peer: name.clone(),
            address: peer.address.clone(),
        })
        .collect();
    if !probes.is_empty() {
        world.tables.timers.set(timers::Timer::PeerProbes, tick.now.after(PROBE_INTERVAL));
    }
    world.outputs.extend(probes);
}
