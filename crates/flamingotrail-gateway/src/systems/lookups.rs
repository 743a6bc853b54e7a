//! Asks other gateways for turns that this one does not know while the log is unreachable from it.
//!
//! A response holds a whole chain of turns. Calls that miss the same turn share a look-up, and a limited
//! number of them run at once; further calls wait for one of these to end.

use crate::ids;
use crate::input;
use crate::journal;
use crate::output;
use crate::systems::journal as journal_system;
use crate::systems::relay;
use crate::tables::calls;
use crate::tables::lookups;
use crate::world;

/// Asks another gateway for the chain of `turn`, which is missing for a call. Each gateway is asked
/// at most once per call.
pub fn fetch_chain_from_peer(
    world: &mut world::World,
    tick: &world::Tick,
    id: ids::CallId,
    turn: &ids::TurnId,
) {
    let tables = &mut world.tables;
    let call = tables.calls.rows.get_mut(&id).and_then(|call| call.turn.as_mut());
    let Some(search) = search_of(call) else { return };
    if search.pending_peer.is_some() {
        return;
    }
    let Some((peer, address)) =
        relay::nearest_untried_peer(&tables.peers, &world.identity, tick, &search.tried_peers)
    else {
        return;
    };
    let begun = tables.lookups.begin(world.settings.max_lookups, id, &peer, turn);
    if begun == lookups::Begun::Later {
        return;
    }
    search.pending_peer = Some(peer.clone());
    search.tried_peers.insert(peer.clone());
    search.turn = Some(turn.clone());
    if begun == lookups::Begun::First {
        world.emit(output::Output::LookUpTurn { call: id, peer, address, turn: turn.clone() });
    }
}

/// Stores the turns that another gateway has found for the call `id` and for those that share its
/// look-up.
pub fn handle_result(
    world: &mut world::World,
    tick: &world::Tick,
    id: ids::CallId,
    peer: &ids::InstanceName,
    response: Option<input::LookupResponse>,
) {
    let is_authoritative = response.as_ref().is_some_and(|response| response.is_authoritative);
    relay::record_peer_result(world, tick, peer, response.is_some(), is_authoritative);
    let chain: Vec<journal::End> =
        response.into_iter().flat_map(|response| response.chain).collect();
    let is_absent = is_authoritative && chain.is_empty();
    for end in &chain {
        journal_system::store_turn(world, tick, end);
    }
    let tables = &mut world.tables;
    for id in tables.lookups.end(id, peer) {
        let call = tables.calls.rows.get_mut(&id).and_then(|call| call.turn.as_mut());
        let Some(search) = search_of(call) else { continue };
        search.pending_peer = None;
        search.is_absent = is_absent;
        tables.dirty.calls.insert(id);
    }
    tables.dirty.calls.extend(tables.lookups.take_later());
}

/// Returns the search for the turn that a call continues.
fn search_of(turn: Option<&mut calls::Turn>) -> Option<&mut calls::PeerSearch> {
    Some(&mut turn?.history.as_mut()?.peer_search)
}
