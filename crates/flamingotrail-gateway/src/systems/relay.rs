//! Writes records to the log, through another gateway while the log is unreachable from this one.
//!
//! A record is valid only once it is stored in the log: all gateways may fail at once and lose the
//! copies in their memory. A record that is stored twice has the same effect as one stored once.

use std::time;

use crate::ids;
use crate::input;
use crate::journal;
use crate::output;
use crate::systems::budgets;
use crate::systems::journal as journal_system;
use crate::systems::log_outage;
use crate::systems::lookups;
use crate::systems::rewriting;
use crate::systems::turn_records;
use crate::systems::turn_search;
use crate::tables::calls;
use crate::tables::partitions;
use crate::tables::peers;
use crate::tables::relay;
use crate::tables::timers;
use crate::tables::turns;
use crate::world;

/// Time that another gateway's record or lookup may wait for the log: a slow log takes about
/// 300 ms.
const PEER_REQUEST_TIMEOUT: time::Duration = time::Duration::from_millis(350);
/// Part of the memory for records that wait for the log, for the copies that other gateways are asked to
/// append.
const RELAY_DIVISOR: usize = 4;
/// Delay before another try to relay a record that no gateway could append.
const RELAY_RETRY_DELAY: time::Duration = time::Duration::from_millis(200);

/// Handles requests and responses of other gateways, and relays pending records during a log
/// outage.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    for (ticket, record) in std::mem::take(&mut world.tables.inbox.relay_requests) {
        append_for_peer(world, tick, ticket, record);
    }
    for (ticket, turn) in std::mem::take(&mut world.tables.inbox.lookup_requests) {
        let lookup = relay::PeerLookup { turn, log_search: None };
        world.tables.relay.peer_lookups.insert(ticket, lookup);
        world.tables.dirty.peer_lookups.insert(ticket);
        world
            .tables
            .timers
            .set(timers::Timer::PeerRequestTimeout(ticket), tick.now.after(PEER_REQUEST_TIMEOUT));
    }
    for ticket in std::mem::take(&mut world.tables.dirty.peer_lookups) {
        advance_lookup(world, tick, ticket);
    }
    for ticket in std::mem::take(&mut world.tables.dirty.timed_out_peer_requests) {
        expire_peer_request(world, ticket);
    }
    for (peer, key, response) in std::mem::take(&mut world.tables.inbox.relay_results) {
        handle_relay_result(world, tick, &peer, &key, response);
    }
    for (call, peer, response) in std::mem::take(&mut world.tables.inbox.lookup_results) {
        lookups::handle_result(world, tick, call, &peer, response);
    }
    for key in std::mem::take(&mut world.tables.dirty.unrelayed_records) {
        relay_record(world, tick, &key);
    }
}

/// Queues one of this gateway's records for an append; during a log outage, also relays it.
pub fn submit(world: &mut world::World, tick: &world::Tick, record: journal::Record) {
    let partition = record.partition(world.settings.partitions);
    let tables = &mut world.tables;
    let row = tables.partitions.row(partition);
    if row.queue.is_empty() {
        row.queued_since = tick.now;
    }
    if let Some(key) = record.key() {
        if tables.partitions.is_unreachable {
            tables.dirty.unrelayed_records.insert(key.clone());
        }
        let pending = relay::PendingRecord {
            record: record.clone(),
            submitted_at: tick.now,
            pending_peer: None,
            tried_peers: Default::default(),
            may_be_stored: false,
        };
        tables.relay.pending_records.insert(key, pending);
    }
    tables.partitions.row(partition).queue.push_back(record);
    tables.dirty.partitions.insert(partition);
}

/// Marks a record whose append had no response: the log may still store it.
pub fn mark_uncertain(relay: &mut relay::Relay, record: &journal::Record) {
    if let Some(pending) = record.key().and_then(|key| relay.pending_records.get_mut(&key)) {
        pending.may_be_stored = true;
    }
}

/// Removes the request for an allowance of `turn` that waits for an append. Returns false if it may
/// have been sent to the log or to another gateway.
pub fn withdraw(
    partitions: &mut partitions::Partitions,
    relay: &mut relay::Relay,
    partition: ids::Partition,
    turn: &ids::TurnId,
) -> bool {
    let key = journal::Key::Start(turn.clone());
    let row = partitions.row(partition);
    let is_sent = row.appending.iter().any(|record| record.key().as_ref() == Some(&key));
    if is_sent || relay.pending_records.get(&key).is_none_or(|pending| pending.may_be_stored) {
        return false;
    }
    row.queue.retain(|record| record.key().as_ref() != Some(&key));
    relay.pending_records.remove(&key).is_some()
}

/// Starts relaying all pending records when the log has become unreachable from this gateway.
pub fn handle_log_loss(world: &mut world::World) {
    let tables = &mut world.tables;
    tables.relay.failures = 0;
    tables.dirty.unrelayed_records.extend(tables.relay.pending_records.keys().cloned());
    wake_unsent_calls(world);
}

/// Marks the calls that wait for the log before they can be sent.
pub fn wake_unsent_calls(world: &mut world::World) {
    let tables = &mut world.tables;
    let unsent = tables.calls.rows.iter().filter(|(_, call)| {
        matches!(call.phase, calls::Phase::Resolving | calls::Phase::Reserving)
    });
    tables.dirty.calls.extend(unsent.map(|(id, _)| *id));
}

/// Handles the confirmation that a record is stored in the log, and responds to the gateways that
/// relayed it. `size` is the size of the allowance that a `Start` record was granted, if any.
pub fn confirm_record(
    world: &mut world::World,
    tick: &world::Tick,
    key: &journal::Key,
    size: Option<u64>,
) {
    let relay = &mut world.tables.relay;
    if let Some(pending) = relay.pending_records.remove(key) {
        world.tables.append_rate.record_delay(tick.now.since(pending.submitted_at), tick.now);
        world.tables.timers.clear(&timers::Timer::RelayRetry(key.clone()));
    }
    for ticket in take_tickets(&mut world.tables.relay, key) {
        world.tables.timers.clear(&timers::Timer::PeerRequestTimeout(ticket));
        let response = input::RelayResponse { logged: true, size };
        world.emit(output::Output::RespondToRelay(ticket, response));
    }
}

/// Forgets a record that the log does not accept, and tells the gateways that relayed it.
pub fn reject_record(world: &mut world::World, key: &journal::Key) {
    let relay = &mut world.tables.relay;
    if relay.pending_records.remove(key).is_some() {
        world.tables.timers.clear(&timers::Timer::RelayRetry(key.clone()));
    }
    for ticket in take_tickets(&mut world.tables.relay, key) {
        world.tables.timers.clear(&timers::Timer::PeerRequestTimeout(ticket));
        let response = input::RelayResponse { logged: false, size: None };
        world.emit(output::Output::RespondToRelay(ticket, response));
    }
}

/// Removes the requests of other gateways to append a record, and returns their tickets.
fn take_tickets(relay: &mut relay::Relay, key: &journal::Key) -> Vec<u64> {
    let tickets: Vec<u64> =
        relay.peer_records.iter().filter(|(_, own)| *own == key).map(|(id, _)| *id).collect();
    relay.peer_records.retain(|_, own| own != key);
    tickets
}

/// Queues another gateway's record for an append, unless the log is unreachable from here too or there is no
/// room for it.
fn append_for_peer(
    world: &mut world::World,
    tick: &world::Tick,
    ticket: u64,
    record: journal::Record,
) {
    let Some(key) = record.key() else { return };
    if world.tables.partitions.is_unreachable || log_outage::is_out_of_room(world) {
        let response = input::RelayResponse { logged: false, size: None };
        world.emit(output::Output::RespondToRelay(ticket, response));
        return;
    }
    let partition = record.partition(world.settings.partitions);
    if let journal::Record::Start(start) = &record {
        budgets::prepare_account(&mut world.tables, tick, &start.program, partition);
    }
    world.tables.partitions.row(partition).queue.push_back(record);
    world.tables.dirty.partitions.insert(partition);
    world.tables.relay.peer_records.insert(ticket, key);
    world
        .tables
        .timers
        .set(timers::Timer::PeerRequestTimeout(ticket), tick.now.after(PEER_REQUEST_TIMEOUT));
}

/// Responds to another gateway's lookup, or reads the log for the turn that is missing.
fn advance_lookup(world: &mut world::World, tick: &world::Tick, ticket: u64) {
    let tables = &mut world.tables;
    let Some(lookup) = tables.relay.peer_lookups.get_mut(&ticket) else { return };
    if let Err(turns::ChainError::Missing(missing)) = tables.turns.chain(&lookup.turn) {
        let missing = missing.clone();
        let partition = ids::Partition::of_turn(&missing, world.settings.partitions);
        let mut log_search = lookup.log_search.take();
        let knowledge = turn_search::advance(tables, tick, partition, &missing, &mut log_search);
        if knowledge == turn_search::Knowledge::Pending {
            if let Some(lookup) = tables.relay.peer_lookups.get_mut(&ticket) {
                lookup.log_search = log_search;
            }
            return;
        }
    }
    // Without the oldest turns, the chain still tells that the turn exists.
    let Some(lookup) = world.tables.relay.peer_lookups.get(&ticket) else { return };
    let chain = rewriting::chain_records(world, tick, &lookup.turn);
    respond_to_lookup(world, ticket, input::LookupResponse { chain, is_authoritative: true });
}

/// Sends the result of a lookup to the gateway that asked for it.
fn respond_to_lookup(world: &mut world::World, ticket: u64, response: input::LookupResponse) {
    world.tables.relay.peer_lookups.remove(&ticket);
    world.tables.timers.clear(&timers::Timer::PeerRequestTimeout(ticket));
    world.emit(output::Output::RespondToLookup(ticket, response));
}

/// Tells another gateway that the log did not process its request in time.
fn expire_peer_request(world: &mut world::World, ticket: u64) {
    if world.tables.relay.peer_records.remove(&ticket).is_some() {
        let response = input::RelayResponse { logged: false, size: None };
        world.emit(output::Output::RespondToRelay(ticket, response));
    }
    if world.tables.relay.peer_lookups.contains_key(&ticket) {
        respond_to_lookup(world, ticket, input::LookupResponse::default());
    }
}

/// Asks another gateway to append a record while the log is unreachable from this one.
fn relay_record(world: &mut world::World, tick: &world::Tick, key: &journal::Key) {
    let tables = &mut world.tables;
    // While no gateway reaches the log, one record at a time probes whether any does again.
    let may_relay = tables.relay.can_peers_reach_log()
        || tick.now.since(tables.relay.last_probe) >= RELAY_RETRY_DELAY;
    let Some(pending) = tables.relay.pending_records.get_mut(key) else { return };
    if pending.pending_peer.is_some() || !tables.partitions.is_unreachable {
        return;
    }
    let own = &world.identity;
    let nearest =
        nearest_untried_peer(&tables.peers, own, tick, &pending.tried_peers).filter(|_| may_relay);
    let Some((peer, address)) = nearest else {
        if may_relay {
            pending.tried_peers.clear();
        }
        let retry_at = tick.now.after(RELAY_RETRY_DELAY);
        tables.timers.set(timers::Timer::RelayRetry(key.clone()), retry_at);
        return;
    };
    let bytes = pending.record.text_bytes();
    if !tables.relay.in_flight.has_room(bytes, world.settings.max_unlogged_bytes / RELAY_DIVISOR) {
        tables.relay.waiting_for_room.insert(key.clone());
        return;
    }
    tables.relay.in_flight.insert(key.clone(), bytes);
    tables.relay.last_probe = tick.now;
    pending.pending_peer = Some(peer.clone());
    pending.may_be_stored = true;
    pending.tried_peers.insert(peer.clone());
    let record = Box::new(pending.record.clone());
    world.emit(output::Output::RelayRecord { peer, address, record });
}

/// Returns the nearest gateway that was not tried, by region and then by failure domain.
pub fn nearest_untried_peer(
    peers: &peers::Peers,
    own: &crate::settings::Identity,
    tick: &world::Tick,
    tried: &std::collections::BTreeSet<ids::InstanceName>,
) -> Option<(ids::InstanceName, String)> {
    let ranked = peers.ranked(own.instance.as_str(), tick.now);
    ranked
        .filter(|(name, _)| !tried.contains(*name))
        .min_by_key(|(_, peer)| (peer.region != own.region, peer.domain != own.domain))
        .map(|(name, peer)| (name.clone(), peer.address.clone()))
}

/// Handles the result of asking another gateway to append one of this gateway's records.
fn handle_relay_result(
    world: &mut world::World,
    tick: &world::Tick,
    peer: &ids::InstanceName,
    key: &journal::Key,
    response: Option<input::RelayResponse>,
) {
    let logged = response.is_some_and(|response| response.logged);
    let tables = &mut world.tables;
    tables.relay.in_flight.remove(key);
    let waiting = std::mem::take(&mut tables.relay.waiting_for_room);
    tables.dirty.unrelayed_records.extend(waiting);
    record_peer_result(world, tick, peer, response.is_some(), logged);
    let Some(pending) = world.tables.relay.pending_records.get_mut(key) else { return };
    pending.pending_peer = None;
    if !logged {
        world.tables.dirty.unrelayed_records.insert(key.clone());
        return;
    }
    let Some(pending) = world.tables.relay.pending_records.remove(key) else { return };
    let partition = pending.record.partition(world.settings.partitions);
    // The other gateway has stored the record, so another append of it would only add load.
    let row = world.tables.partitions.row(partition);
    row.queue.retain(|queued| queued.key().as_ref() != Some(key));
    let detail = format_args!("record={key:?} peer={peer}");
    world.outputs.push(output::Output::Event(output::Event::new("record_relayed", detail)));
    match &pending.record {
        journal::Record::Start(start) => {
            let size = response.and_then(|response| response.size);
            journal_system::apply_allowance_decision(world, tick, start, size);
        }
        journal::Record::End(end) => journal_system::store_turn(world, tick, end),
        journal::Record::Part(part) => turn_records::store_part(world, tick, part),
        journal::Record::LongEnd(long) => turn_records::store_long_end(world, tick, long),
        journal::Record::Settle(_) => {}
    }
}

/// Records whether a gateway has responded, and whether it reaches the log.
pub fn record_peer_result(
    world: &mut world::World,
    tick: &world::Tick,
    peer: &ids::InstanceName,
    has_responded: bool,
    reached_log: bool,
) {
    let tables = &mut world.tables;
    if has_responded {
        tables.peers.record_response(peer);
    } else {
        tables.peers.record_failure(peer, tick.now);
    }
    tables.relay.failures = if reached_log { 0 } else { tables.relay.failures.saturating_add(1) };
    if !reached_log && !tables.relay.can_peers_reach_log() {
        wake_unsent_calls(world);
    }
}
