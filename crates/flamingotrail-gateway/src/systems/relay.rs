//! Sees records into the log, by the hand of another gateway where the log does not answer this one.
//!
//! Nothing counts before it stands in the log: all gateways may be lost at once, and copies in their
//! memory with them. A record that arrives in the log twice changes nothing.

use std::time;

use crate::ids;
use crate::input;
use crate::journal;
use crate::output;
use crate::systems::journal as journal_system;
use crate::tables::calls;
use crate::tables::peers;
use crate::tables::relay;
use crate::tables::timers;
use crate::world;

/// Time that another gateway's record or lookup waits for the log here: a slow log takes some 300 ms.
const PATIENCE: time::Duration = time::Duration::from_millis(350);
/// Pause before a record that no gateway could append is offered again.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(200);

/// Takes other gateways' questions and answers, and asks for help with records that wait.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    for (ticket, record) in std::mem::take(&mut world.tables.inbox.entrusted) {
        entrusted(world, tick, ticket, record);
    }
    for (ticket, turn) in std::mem::take(&mut world.tables.inbox.sought) {
        let lookup = relay::Lookup { turn, awaits: None };
        world.tables.relay.lookups.insert(ticket, lookup);
        world.tables.dirty.lookups.insert(ticket);
        world.tables.timers.set(timers::Timer::Relay(ticket), tick.now.after(PATIENCE));
    }
    for ticket in std::mem::take(&mut world.tables.dirty.lookups) {
        look_up(world, ticket);
    }
    for ticket in std::mem::take(&mut world.tables.dirty.overdue) {
        overdue(world, ticket);
    }
    for (peer, key, answer) in std::mem::take(&mut world.tables.inbox.entrust_answers) {
        entrust_answered(world, tick, &peer, &key, answer);
    }
    for (call, peer, answer) in std::mem::take(&mut world.tables.inbox.seek_answers) {
        seek_answered(world, tick, call, &peer, answer);
    }
    for key in std::mem::take(&mut world.tables.dirty.waits) {
        entrust(world, tick, &key);
    }
}

/// Hands one of this process's records to the log.
pub fn submit(world: &mut world::World, tick: &world::Tick, record: journal::Record) {
    let partition = record.partition(world.settings.partitions);
    let tables = &mut world.tables;
    let row = tables.partitions.row(partition);
    if row.queue.is_empty() {
        row.waits_since = tick.now;
    }
    if let Some(key) = record.key() {
        if tables.partitions.is_away {
            tables.dirty.waits.insert(key.clone());
        }
        let wait = relay::Wait {
            record: record.clone(),
            since: tick.now,
            asked: None,
            tried: Default::default(),
        };
        tables.relay.waits.insert(key, wait);
    }
    tables.partitions.row(partition).queue.push_back(record);
    tables.dirty.partitions.insert(partition);
}

/// Asks for help with everything that waits: the log does not answer this process.
pub fn handle_log_loss(world: &mut world::World) {
    let tables = &mut world.tables;
    tables.relay.failures = 0;
    tables.dirty.waits.extend(tables.relay.waits.keys().cloned());
    wake_unsent(world);
}

/// Looks again at the turns that wait for the log before they can be sent.
fn wake_unsent(world: &mut world::World) {
    let tables = &mut world.tables;
    let unsent = tables.calls.rows.iter().filter(|(_, call)| {
        matches!(call.phase, calls::Phase::Resolving | calls::Phase::Reserving)
    });
    tables.dirty.calls.extend(unsent.map(|(id, _)| *id));
}

/// Takes the log's word that a record stands in it; for a start, with its decision.
pub fn confirm_record(
    world: &mut world::World,
    tick: &world::Tick,
    key: &journal::Key,
    size: Option<u64>,
) {
    let relay = &mut world.tables.relay;
    if let Some(wait) = relay.waits.remove(key) {
        world.tables.pace.delayed(tick.now.since(wait.since), tick.now);
        world.tables.timers.clear(&timers::Timer::Wait(key.clone()));
    }
    let entrusted = relay.entrusted.iter().filter(|(_, entrusted)| *entrusted == key);
    let tickets: Vec<u64> = entrusted.map(|(ticket, _)| *ticket).collect();
    for ticket in tickets {
        world.tables.relay.entrusted.remove(&ticket);
        world.tables.timers.clear(&timers::Timer::Relay(ticket));
        let answer = input::EntrustAnswer { logged: true, size };
        world.emit(output::Output::AnswerEntrusted(ticket, answer));
    }
}

/// Takes another gateway's record into the log, where it answers this process.
fn entrusted(world: &mut world::World, tick: &world::Tick, ticket: u64, record: journal::Record) {
    let Some(key) = record.key() else { return };
    if world.tables.partitions.is_away {
        let answer = input::EntrustAnswer { logged: false, size: None };
        world.emit(output::Output::AnswerEntrusted(ticket, answer));
        return;
    }
    let partition = record.partition(world.settings.partitions);
    world.tables.partitions.row(partition).queue.push_back(record);
    world.tables.dirty.partitions.insert(partition);
    world.tables.relay.entrusted.insert(ticket, key);
    world.tables.timers.set(timers::Timer::Relay(ticket), tick.now.after(PATIENCE));
}

/// Goes on with a lookup for another gateway.
fn look_up(world: &mut world::World, ticket: u64) {
    let tables = &mut world.tables;
    let Some(lookup) = tables.relay.lookups.get_mut(&ticket) else { return };
    let missing = tables.turns.missing(&lookup.turn).cloned();
    let Some(missing) = missing else {
        let chain = tables.turns.ends(&lookup.turn);
        answer_sought(world, ticket, input::Found { chain, sure: true });
        return;
    };
    let partition = ids::Partition::of_turn(&missing, world.settings.partitions);
    let row = tables.partitions.row(partition);
    match &lookup.awaits {
        Some((awaited, number)) if *awaited == missing => {
            if row.caught_up >= *number {
                answer_sought(world, ticket, input::Found { chain: Vec::new(), sure: true });
            }
        }
        _ => {
            lookup.awaits = Some((missing, row.ask_read()));
            tables.dirty.partitions.insert(partition);
        }
    }
}

fn answer_sought(world: &mut world::World, ticket: u64, found: input::Found) {
    world.tables.relay.lookups.remove(&ticket);
    world.tables.timers.clear(&timers::Timer::Relay(ticket));
    world.emit(output::Output::AnswerSought(ticket, found));
}

/// Tells another gateway that the log has not answered in time.
fn overdue(world: &mut world::World, ticket: u64) {
    if world.tables.relay.entrusted.remove(&ticket).is_some() {
        let answer = input::EntrustAnswer { logged: false, size: None };
        world.emit(output::Output::AnswerEntrusted(ticket, answer));
    }
    if world.tables.relay.lookups.contains_key(&ticket) {
        answer_sought(world, ticket, input::Found::default());
    }
}

/// Asks another gateway to append a record while the log does not answer this one.
fn entrust(world: &mut world::World, tick: &world::Tick, key: &journal::Key) {
    let tables = &mut world.tables;
    // While none can help, one record at a time finds out whether any can again.
    let may_ask = tables.relay.works() || tick.now.since(tables.relay.probed) >= RETRY_PAUSE;
    let Some(wait) = tables.relay.waits.get_mut(key) else { return };
    if wait.asked.is_some() || !tables.partitions.is_away {
        return;
    }
    let own = &world.identity;
    let helper = helper(&tables.peers, own, tick, &wait.tried).filter(|_| may_ask);
    let Some((peer, address)) = helper else {
        if may_ask {
            wait.tried.clear();
        }
        let at = tick.now.after(RETRY_PAUSE);
        tables.timers.set(timers::Timer::Wait(key.clone()), at);
        return;
    };
    tables.relay.probed = tick.now;
    wait.asked = Some(peer.clone());
    wait.tried.insert(peer.clone());
    let record = Box::new(wait.record.clone());
    world.emit(output::Output::Entrust { peer, address, record });
}

/// The gateway that is to help: the nearest that was not tried.
fn helper(
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

/// Takes another gateway's answer about one of this process's records.
fn entrust_answered(
    world: &mut world::World,
    tick: &world::Tick,
    peer: &ids::InstanceName,
    key: &journal::Key,
    answer: Option<input::EntrustAnswer>,
) {
    let logged = answer.is_some_and(|answer| answer.logged);
    helped(world, tick, peer, answer.is_some(), logged);
    let Some(wait) = world.tables.relay.waits.get_mut(key) else { return };
    wait.asked = None;
    if !logged {
        world.tables.dirty.waits.insert(key.clone());
        return;
    }
    let Some(wait) = world.tables.relay.waits.remove(key) else { return };
    let partition = wait.record.partition(world.settings.partitions);
    // It stands in the log by the other gateway's hand; a copy would only cost.
    let row = world.tables.partitions.row(partition);
    row.queue.retain(|queued| queued.key().as_ref() != Some(key));
    let detail = format_args!("record={key:?} peer={peer}");
    world.out.push(output::Output::Event(output::Event::new("record_relayed", detail)));
    match &wait.record {
        journal::Record::Start(start) => {
            let size = answer.and_then(|answer| answer.size);
            journal_system::apply_allowance_decision(world, tick, start, size);
        }
        journal::Record::End(end) => journal_system::store_turn(world, tick, end),
        journal::Record::Settle(_) => {}
    }
}

fn helped(
    world: &mut world::World,
    tick: &world::Tick,
    peer: &ids::InstanceName,
    answered: bool,
    useful: bool,
) {
    let tables = &mut world.tables;
    if answered {
        tables.peers.answered(peer);
    } else {
        tables.peers.failed(peer, tick.now);
    }
    tables.relay.failures = if useful { 0 } else { tables.relay.failures.saturating_add(1) };
    if !useful && !tables.relay.works() {
        wake_unsent(world);
    }
}

/// Asks another gateway for the chain of `turn`, of which `call` misses a part; asks each once.
pub fn fetch_chain_from_peer(
    world: &mut world::World,
    tick: &world::Tick,
    id: ids::CallId,
    turn: &ids::TurnId,
) {
    let tables = &mut world.tables;
    let call = tables.calls.rows.get_mut(&id).and_then(|call| call.turn.as_mut());
    let Some(search) = call.map(|turn| &mut turn.search) else { return };
    if search.asked.is_some() {
        return;
    }
    let Some((peer, address)) = helper(&tables.peers, &world.identity, tick, &search.tried) else {
        return;
    };
    search.asked = Some(peer.clone());
    search.tried.insert(peer.clone());
    world.emit(output::Output::Seek { call: id, peer, address, turn: turn.clone() });
}

fn seek_answered(
    world: &mut world::World,
    tick: &world::Tick,
    id: ids::CallId,
    peer: &ids::InstanceName,
    answer: Option<input::Found>,
) {
    let sure = answer.as_ref().is_some_and(|found| found.sure);
    helped(world, tick, peer, answer.is_some(), sure);
    let chain: Vec<journal::End> = answer.into_iter().flat_map(|found| found.chain).collect();
    let is_absent = sure && chain.is_empty();
    for end in &chain {
        journal_system::store_turn(world, tick, end);
    }
    let call = world.tables.calls.rows.get_mut(&id).and_then(|call| call.turn.as_mut());
    let Some(search) = call.map(|turn| &mut turn.search) else { return };
    search.asked = None;
    search.is_absent = is_absent;
    world.tables.dirty.calls.insert(id);
}
