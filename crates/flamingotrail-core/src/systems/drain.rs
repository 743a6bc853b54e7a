//! Graceful shutdown: accepts no new work, finishes running calls, hands partitions over and stops.

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

/// Interval between checks of the work that remains.
const CHECK_INTERVAL: std_time::Duration = std_time::Duration::from_millis(100);
/// How long a successor may take to claim a partition before another one is asked.
const CLAIM_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(1);
/// Maximum number of successors asked for one partition. After that, the partition is released, and
/// the next instance that receives a call for it claims it.
const MAX_SUCCESSORS: usize = 3;

/// Starts a requested shutdown, and advances one that is in progress.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    if std::mem::take(&mut world.tables.inbox.drain_requested) && world.draining_since.is_none() {
        start_drain(world, tick);
    }
    if std::mem::take(&mut world.tables.dirty.drain) && !world.stopped {
        advance_drain(world, tick);
    }
}

fn start_drain(world: &mut world::World, tick: &world::Tick) {
    world.draining_since = Some(tick.now);
    world.event("drain_started", world.identity.peer.instance.clone(), "");
    let own = world.identity.peer.instance.clone();
    let names = world.tables.instances.rows.keys();
    let peers: Vec<ids::InstanceName> = names.filter(|name| **name != own).cloned().collect();
    let incarnation = world.identity.peer.incarnation;
    for peer in peers {
        let message = messages::Message::Leaving { incarnation };
        let timeout = world.settings.suspect_after;
        outbox::send_reliable(world, tick, &peer, None, message, timeout);
    }
    refuse_queued_attempts(world, tick);
    world.tables.dirty.drain = true;
}

/// Refuses attempts that have not started, so that their owners place them elsewhere.
fn refuse_queued_attempts(world: &mut world::World, tick: &world::Tick) {
    for attempt in world.tables.runs.queued.clone() {
        execution::refuse_queued(world, tick, &attempt, errors::Refusal::Draining);
    }
}

fn advance_drain(world: &mut world::World, tick: &world::Tick) {
    let Some(since) = world.draining_since else {
        return;
    };
    let elapsed = tick.now.since(since);
    refuse_queued_attempts(world, tick);
    hand_over_partitions(world, tick, elapsed);
    let owns_partitions = world.tables.partitions.rows.values().any(|row| row.epoch().is_some());
    let busy = !world.tables.runs.rows.is_empty()
        || !world.tables.calls.rows.is_empty()
        || !world.tables.requests.rows.is_empty()
        || owns_partitions
        || !world.tables.outbox.rows.is_empty();
    if busy && elapsed < world.settings.drain_timeout {
        world.tables.timers.set(timers::Timer::DrainStep, tick.now.after(CHECK_INTERVAL));
        return;
    }
    world.stopped = true;
    world.event("drain_finished", world.identity.peer.instance.clone(), format!("busy={busy}"));
    world.emit(output::Output::Stopped);
}

/// Hands over idle partitions at once, and busy ones after a delay.
fn hand_over_partitions(world: &mut world::World, tick: &world::Tick, elapsed: std_time::Duration) {
    let owned: Vec<(ids::Partition, ids::Epoch)> = world
        .tables
        .partitions
        .rows
        .iter()
        .filter_map(|(partition, row)| Some((partition.clone(), row.epoch()?)))
        .collect();
    let busy_delay = world.settings.hand_over_after;
    for (partition, epoch) in owned {
        let calls = programs::calls_in_partition(world, &partition);
        let row = &world.tables.partitions.rows[&partition];
        let flushed = row.pending_records.is_empty() && row.in_flight.is_none();
        if let Some(since) = row.handover_requested_at {
            await_claim(world, tick, &partition, epoch, since);
            continue;
        }
        if !calls.is_empty() && elapsed < busy_delay {
            continue;
        }
        if !flushed && elapsed < world.settings.drain_timeout / 2 {
            continue;
        }
        if calls.is_empty() && record_unspent_budgets(world, &partition) {
            // The records must be read back first, because the successor applies only records
            // before its claim.
            continue;
        }
        request_claim(world, tick, &partition, epoch);
    }
}

/// Records the unspent budgets of the partition's root programs, once. Returns whether anything was
/// appended.
fn record_unspent_budgets(world: &mut world::World, partition: &ids::Partition) -> bool {
    let roots: Vec<(ids::ProgramId, u64)> = world
        .tables
        .programs
        .rows
        .iter()
        .filter(|(id, row)| id.home == *partition && row.root == **id && !row.ended)
        .map(|(id, row)| (id.clone(), row.account.available()))
        .collect();
    let row = ownership::partition_row(world, partition);
    if std::mem::replace(&mut row.unspent_recorded, true) || roots.is_empty() {
        return false;
    }
    for (root, unspent) in roots {
        checkpoints::record_unspent_budget(world, &root, unspent);
    }
    true
}

/// Reads the stream for the successor's claim. Asks another successor after [`CLAIM_TIMEOUT`].
fn await_claim(
    world: &mut world::World,
    tick: &world::Tick,
    partition: &ids::Partition,
    epoch: ids::Epoch,
    since: time::Timestamp,
) {
    if tick.now.since(since) < CLAIM_TIMEOUT {
        ownership::read_stream(world, partition);
    } else {
        request_claim(world, tick, partition, epoch);
    }
}

fn request_claim(
    world: &mut world::World,
    tick: &world::Tick,
    partition: &ids::Partition,
    epoch: ids::Epoch,
) {
    let own = world.identity.peer.instance.clone();
    let already_asked = ownership::partition_row(world, partition).asked_successors.clone();
    let instances = &world.tables.instances;
    let is_candidate = |name: &ids::InstanceName| {
        *name != own && !already_asked.contains(name) && instances.accepts_work(name)
    };
    let successor = entry::preferred_owner(world, partition, is_candidate);
    let Some(successor) = successor.filter(|_| already_asked.len() < MAX_SUCCESSORS) else {
        // No instance takes the partition now. The next instance that receives a call for it finds
        // this incarnation gone and claims the partition.
        world.event("partition_left", partition, "no successor");
        ownership::relinquish(world, partition);
        return;
    };
    let row = ownership::partition_row(world, partition);
    row.handover_requested_at = Some(tick.now);
    row.asked_successors.insert(successor.clone());
    world.event("partition_handed_over", partition, format!("to={successor}"));
    let message = messages::Message::HandOver { partition: partition.clone(), epoch };
    let timeout = CLAIM_TIMEOUT;
    outbox::send_reliable(world, tick, &successor, None, message, timeout);
}
