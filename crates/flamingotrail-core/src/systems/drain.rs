//! Graceful shutdown: takes nothing new, finishes what runs, hands partitions over, leaves.

use std::time as std_time;

use crate::errors;
use crate::ids;
use crate::messages;
use crate::output;
use crate::systems::checkpoints;
use crate::systems::entry;
use crate::systems::execution;
use crate::systems::outbox;
use crate::systems::ownership;
use crate::systems::programs;
use crate::tables::timers;
use crate::time;
use crate::world;

/// Interval between looks at what is left.
const STEP: std_time::Duration = std_time::Duration::from_millis(100);
/// How long a successor may take to claim before another one is asked.
const CLAIM_PATIENCE: std_time::Duration = std_time::Duration::from_secs(1);
/// Successors asked at most; then the partition is left for whoever needs it to claim.
const MAX_SUCCESSORS: usize = 3;

/// Starts a shutdown and moves it on.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    if std::mem::take(&mut world.tables.inbox.drain) && world.draining_since.is_none() {
        start(world, tick);
    }
    if std::mem::take(&mut world.tables.dirty.drain) && !world.stopped {
        step(world, tick);
    }
}

fn start(world: &mut world::World, tick: &world::Tick) {
    world.draining_since = Some(tick.now);
    world.event("drain_started", world.identity.peer.instance.clone(), "");
    let own = world.identity.peer.instance.clone();
    let names = world.tables.instances.rows.keys();
    let peers: Vec<ids::InstanceName> = names.filter(|name| **name != own).cloned().collect();
    let incarnation = world.identity.peer.incarnation;
    for peer in peers {
        let message = messages::Message::Leaving { incarnation };
        let lasting = world.settings.suspect_after;
        outbox::confirm(world, tick, &peer, None, message, lasting);
    }
    refuse_queued(world, tick);
    world.tables.dirty.drain = true;
}

/// Attempts that have not started go back to their owners, which place them elsewhere.
fn refuse_queued(world: &mut world::World, tick: &world::Tick) {
    for attempt in world.tables.runs.queued.clone() {
        execution::refuse_queued(world, tick, &attempt, errors::Refusal::Draining);
    }
}

fn step(world: &mut world::World, tick: &world::Tick) {
    let Some(since) = world.draining_since else {
        return;
    };
    let elapsed = tick.now.since(since);
    refuse_queued(world, tick);
    hand_over(world, tick, elapsed);
    let owned = world.tables.partitions.rows.values().any(|row| row.epoch().is_some());
    let busy = !world.tables.runs.rows.is_empty()
        || !world.tables.calls.rows.is_empty()
        || !world.tables.requests.rows.is_empty()
        || owned
        || !world.tables.outbox.rows.is_empty();
    if busy && elapsed < world.settings.drain_timeout {
        world.tables.timers.set(timers::Timer::Drain, tick.now.after(STEP));
        return;
    }
    world.stopped = true;
    world.event("drain_finished", world.identity.peer.instance.clone(), format!("busy={busy}"));
    world.emit(output::Output::Stopped);
}

/// Hands over partitions in which nothing runs, and busy ones after a while.
fn hand_over(world: &mut world::World, tick: &world::Tick, elapsed: std_time::Duration) {
    let owned: Vec<(ids::Partition, ids::Epoch)> = world
        .tables
        .partitions
        .rows
        .iter()
        .filter_map(|(partition, row)| Some((partition.clone(), row.epoch()?)))
        .collect();
    let patience = world.settings.hand_over_after;
    for (partition, epoch) in owned {
        let calls = programs::calls_of(world, &partition);
        let row = &world.tables.partitions.rows[&partition];
        let flushed = row.pending.is_empty() && row.flight.is_none();
        if let Some(since) = row.handing_over {
            await_successor(world, tick, &partition, epoch, since);
            continue;
        }
        if !calls.is_empty() && elapsed < patience {
            continue;
        }
        if !flushed && elapsed < world.settings.drain_timeout / 2 {
            continue;
        }
        if calls.is_empty() && settle(world, &partition) {
            // Read back first: the successor trusts what stands in front of its claim.
            continue;
        }
        ask_successor(world, tick, &partition, epoch);
    }
}

/// Writes what is surely unspent, once: whether there was anything to write.
fn settle(world: &mut world::World, partition: &ids::Partition) -> bool {
    let roots: Vec<(ids::ProgramId, u64)> = world
        .tables
        .programs
        .rows
        .iter()
        .filter(|(id, row)| id.home == *partition && row.root == **id && !row.ended)
        .map(|(id, row)| (id.clone(), row.account.available()))
        .collect();
    let row = ownership::row(world, partition);
    if std::mem::replace(&mut row.settled, true) || roots.is_empty() {
        return false;
    }
    for (root, unspent) in roots {
        checkpoints::record_unspent_budget(world, &root, unspent);
    }
    true
}

/// Looks for the successor's claim by reading the stream; asks another one after a while.
fn await_successor(
    world: &mut world::World,
    tick: &world::Tick,
    partition: &ids::Partition,
    epoch: ids::Epoch,
    since: time::Timestamp,
) {
    if tick.now.since(since) < CLAIM_PATIENCE {
        ownership::read(world, partition);
    } else {
        ask_successor(world, tick, partition, epoch);
    }
}

fn ask_successor(
    world: &mut world::World,
    tick: &world::Tick,
    partition: &ids::Partition,
    epoch: ids::Epoch,
) {
    let own = world.identity.peer.instance.clone();
    let asked = ownership::row(world, partition).successors.clone();
    let instances = &world.tables.instances;
    let open =
        |name: &ids::InstanceName| *name != own && !asked.contains(name) && instances.is_open(name);
    let successor = entry::preferred_owner(world, partition, open);
    let Some(successor) = successor.filter(|_| asked.len() < MAX_SUCCESSORS) else {
        // Nobody takes it now: whoever is asked for it next finds this start gone, and claims.
        world.event("partition_left", partition, "no successor");
        ownership::leave(world, partition);
        return;
    };
    let row = ownership::row(world, partition);
    row.handing_over = Some(tick.now);
    row.successors.insert(successor.clone());
    world.event("partition_handed_over", partition, format!("to={successor}"));
    let message = messages::Message::HandOver { partition: partition.clone(), epoch };
    let lasting = CLAIM_PATIENCE;
    outbox::confirm(world, tick, &successor, None, message, lasting);
}
