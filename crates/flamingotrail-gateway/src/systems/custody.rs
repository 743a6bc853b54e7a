//! Sees records into the log, or, where the log does not answer, into the custody of other gateways.
//!
//! A turn counts once its record can't be lost: it stands in the log, or a gateway of another failure
//! domain keeps a copy, which it appends as soon as the log answers it. Allowances are decided by the
//! log's order; without the log, by the one gateway of the region that ranks first for the program,
//! so that turns that begin at once at several gateways don't each find the same room.

use std::time;

use crate::ids;
use crate::journal;
use crate::output;
use crate::systems::journal as journal_system;
use crate::tables::custody;
use crate::tables::peers;
use crate::tables::timers;
use crate::world;

/// Time that the log has for a record before other gateways are asked: many times its usual 4 ms to
/// 10 ms, and well below the time that a caller notices.
const PATIENCE: time::Duration = time::Duration::from_millis(80);
/// Time that another gateway's record waits for the log here.
const ENTRUSTED_PATIENCE: time::Duration = time::Duration::from_millis(60);

/// Takes other gateways' records and answers, and asks for help with records that wait too long.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    for (ticket, record) in std::mem::take(&mut world.tables.inbox.entrusted) {
        entrusted(world, tick, ticket, record);
    }
    for ticket in std::mem::take(&mut world.tables.dirty.entrusted) {
        answer_unlogged(world, tick, ticket);
    }
    for (peer, key, answer) in std::mem::take(&mut world.tables.inbox.entrust_answers) {
        answered(world, tick, &peer, &key, answer);
    }
    for key in std::mem::take(&mut world.tables.dirty.waits) {
        entrust(world, tick, &key);
    }
}

/// Hands one of this process's records to the log.
pub fn submit(world: &mut world::World, tick: &world::Tick, record: journal::Record) {
    let partition = record.partition(world.settings.partitions);
    let tables = &mut world.tables;
    if let Some(key) = record.key() {
        let patience =
            if tables.partitions.is_away { time::Duration::ZERO } else { PATIENCE };
        tables.timers.set(timers::Timer::Wait(key.clone()), tick.now.after(patience));
        let wait = custody::Wait {
            record: record.clone(),
            partition,
            asked: Default::default(),
            tried: Default::default(),
            kept: false,
        };
        tables.custody.waits.insert(key, wait);
    }
    tables.partitions.row(partition).queue.push_back(record);
    tables.dirty.partitions.insert(partition);
}

/// Asks for help with everything that waits: the log counts as away.
pub fn log_lost(world: &mut world::World) {
    let tables = &mut world.tables;
    tables.dirty.waits.extend(tables.custody.waits.keys().cloned());
    tables.dirty.entrusted.extend(tables.custody.entrusted.keys());
    tables.dirty.calls.extend(tables.calls.rows.keys());
}

/// Takes the log's word that a record stands in it.
pub fn logged(world: &mut world::World, key: journal::Key, size: Option<u64>) {
    let custody = &mut world.tables.custody;
    if custody.waits.remove(&key).is_some() {
        world.tables.timers.clear(&timers::Timer::Wait(key.clone()));
    }
    let tickets: Vec<u64> = custody
        .entrusted
        .iter()
        .filter(|(_, entrusted)| entrusted.key == key)
        .map(|(ticket, _)| *ticket)
        .collect();
    for ticket in tickets {
        world.tables.custody.entrusted.remove(&ticket);
        world.emit(output::Output::AnswerEntrusted(ticket, custody::Answer::Logged(size)));
    }
}

/// Takes another gateway's record: into the log, and into custody until it stands there.
fn entrusted(
    world: &mut world::World,
    tick: &world::Tick,
    ticket: u64,
    record: journal::Record,
) {
    let Some(key) = record.key() else { return };
    let partition = record.partition(world.settings.partitions);
    let row = world.tables.partitions.row(partition);
    row.queue.push_back(record.clone());
    world.tables.dirty.partitions.insert(partition);
    world.tables.custody.entrusted.insert(ticket, custody::Entrusted { key, record });
    if world.tables.partitions.is_away {
        answer_unlogged(world, tick, ticket);
        return;
    }
    let at = tick.now.after(ENTRUSTED_PATIENCE);
    world.tables.timers.set(timers::Timer::Entrusted(ticket), at);
}

/// Answers another gateway without the log, which has had its time.
fn answer_unlogged(world: &mut world::World, tick: &world::Tick, ticket: u64) {
    let Some(entrusted) = world.tables.custody.entrusted.remove(&ticket) else { return };
    let size = match &entrusted.record {
        journal::Record::Start(start) => decide_unlogged(world, tick, start),
        journal::Record::End(end) => {
            journal_system::keep_turn(world, tick, end);
            None
        }
        journal::Record::Settle(_) => None,
    };
    world.emit(output::Output::AnswerEntrusted(ticket, custody::Answer::Kept(size)));
}

/// Decides on a start by what this process knows of the program.
fn decide_unlogged(
    world: &mut world::World,
    tick: &world::Tick,
    start: &journal::Start,
) -> Option<u64> {
    let program = world.tables.programs.touch(&start.program, tick.now);
    let size = program.open_unlogged(start);
    let expected = program.expected();
    let detail = format_args!(
        "request={} program={} granted={} budget={} expected={expected}",
        start.turn,
        start.program,
        size.unwrap_or(0),
        start.budget,
    );
    world.event("budget_decided_unlogged", detail);
    size
}

/// Asks other gateways to take a record for which the log has not answered.
fn entrust(world: &mut world::World, tick: &world::Tick, key: &journal::Key) {
    let Some(wait) = world.tables.custody.waits.get(key) else { return };
    if !wait.asked.is_empty() || wait.kept {
        return;
    }
    let targets = match &wait.record {
        journal::Record::Start(start) => arbiter(world, tick, start, wait),
        _ => keepers(world, tick, wait),
    };
    if targets.is_empty() {
        // Each was asked in vain; the next round begins anew.
        if let Some(wait) = world.tables.custody.waits.get_mut(key) {
            wait.tried.clear();
        }
    }
    let Some(wait) = world.tables.custody.waits.get(key) else { return };
    let record = wait.record.clone();
    let retry = tick.now.after(PATIENCE);
    world.tables.timers.set(timers::Timer::Wait(key.clone()), retry);
    for (peer, address) in targets {
        let Some(wait) = world.tables.custody.waits.get_mut(key) else { return };
        wait.asked.insert(peer.clone());
        wait.tried.insert(peer.clone());
        let record = Box::new(record.clone());
        world.emit(output::Output::Entrust { peer, address, record });
    }
}

/// The gateways that are to keep the end of a turn: one of the own region, which is near, and one of
/// another failure domain.
fn keepers(
    world: &world::World,
    tick: &world::Tick,
    wait: &custody::Wait,
) -> Vec<(ids::InstanceName, String)> {
    let own = &world.identity;
    let ranked: Vec<_> = world
        .tables
        .peers
        .ranked(own.instance.as_str(), tick.now)
        .filter(|(name, _)| !wait.tried.contains(*name))
        .collect();
    let near = ranked.iter().find(|(_, peer)| peer.region == own.region);
    let apart = ranked
        .iter()
        .find(|(_, peer)| peer.domain != own.domain && peer.region == own.region)
        .or_else(|| ranked.iter().find(|(_, peer)| peer.domain != own.domain));
    let mut targets: Vec<_> = near.into_iter().chain(apart).map(|target| named(*target)).collect();
    targets.dedup();
    targets
}

/// The gateway that decides on a program's starts without the log: the first of the region by rank
/// that answers, other than this process, so that a copy is kept elsewhere in any case.
fn arbiter(
    world: &world::World,
    tick: &world::Tick,
    start: &journal::Start,
    wait: &custody::Wait,
) -> Vec<(ids::InstanceName, String)> {
    let ranked = world.tables.peers.ranked(start.program.as_str(), tick.now);
    let near = ranked.filter(|(name, peer)| {
        peer.region == world.identity.region && !wait.tried.contains(*name)
    });
    near.take(1).map(named).collect()
}

fn named((name, peer): (&ids::InstanceName, &peers::Peer)) -> (ids::InstanceName, String) {
    (name.clone(), peer.address.clone())
}

/// Takes another gateway's answer about one of this process's records.
fn answered(
    world: &mut world::World,
    tick: &world::Tick,
    peer: &ids::InstanceName,
    key: &journal::Key,
    answer: Option<custody::Answer>,
) {
    match answer {
        Some(_) => world.tables.peers.answered(peer),
        None => world.tables.peers.failed(peer, tick.now),
    }
    let apart = world
        .tables
        .peers
        .rows
        .get(peer)
        .is_some_and(|peer| peer.domain != world.identity.domain);
    let Some(wait) = world.tables.custody.waits.get_mut(key) else { return };
    wait.asked.remove(peer);
    let Some(answer) = answer else {
        if wait.asked.is_empty() {
            world.tables.dirty.waits.insert(key.clone());
        }
        return;
    };
    let (logged, size) = match answer {
        custody::Answer::Logged(size) => (true, size),
        custody::Answer::Kept(size) => (false, size),
    };
    let enough = logged || apart || wait.asked.is_empty();
    if !enough {
        return;
    }
    wait.kept = true;
    let (record, partition) = (wait.record.clone(), wait.partition);
    let detail = format_args!("record={key:?} peer={peer} logged={logged}");
    world.out.push(output::Output::Event(output::Event::new("record_entrusted", detail)));
    if logged {
        // It stands in the log by the other gateway's hand; a copy would only cost.
        world.tables.custody.waits.remove(key);
        world.tables.timers.clear(&timers::Timer::Wait(key.clone()));
        let row = world.tables.partitions.row(partition);
        row.queue.retain(|queued| queued.key().as_ref() != Some(key));
    }
    match &record {
        journal::Record::Start(start) => {
            decide_elsewhere(world, tick, start, size);
        }
        journal::Record::End(end) => journal_system::keep_turn(world, tick, end),
        journal::Record::Settle(_) => {}
    }
}

/// Takes another gateway's decision on one of this process's starts.
fn decide_elsewhere(
    world: &mut world::World,
    tick: &world::Tick,
    start: &journal::Start,
    size: Option<u64>,
) {
    let program = world.tables.programs.touch(&start.program, tick.now);
    if let Some(size) = size {
        if !program.open.contains_key(&start.turn) {
            program.unlogged.insert(start.turn.clone(), size);
        }
    }
    journal_system::decide(world, tick, start, size);
}
