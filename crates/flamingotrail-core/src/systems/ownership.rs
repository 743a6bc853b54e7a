//! Who owns a partition: claims in its stream, decided by order alone.
//!
//! There are no timed renewals. An owner stays one until a later claim stands in the stream. What
//! an owner writes behind a newer claim is void for every reader, so a paused owner needs no word.

use std::time as std_time;

use crate::errors;
use crate::ids;
use crate::input;
use crate::journal;
use crate::messages;
use crate::output;
use crate::systems::call_lifecycle;
use crate::systems::membership;
use crate::systems::outbox;
use crate::systems::programs;
use crate::systems::replay;
use crate::tables::calls;
use crate::tables::partitions;
use crate::tables::timers;
use crate::time;
use crate::world;

/// First delay after a read or claim that failed; doubles up to [`BACKOFF_MAX`].
const BACKOFF_MIN: std_time::Duration = std_time::Duration::from_millis(100);
/// Longest delay after a read or claim that failed.
const BACKOFF_MAX: std_time::Duration = std_time::Duration::from_secs(2);

/// Sendings of one request after which an owner that its entry can't reach is replaced.
const MAX_HOPS_TO_OWNER: u32 = 4;

/// Takes pages and claims of partition streams and moves the standing of dirty partitions on.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    take_hand_overs(world, tick);
    take_reads(world, tick);
    for partition in world.tables.dirty.partitions.clone() {
        step(world, tick, &partition);
    }
}

/// The row of `partition`, made when there is none.
pub fn row<'w>(
    world: &'w mut world::World,
    partition: &ids::Partition,
) -> &'w mut partitions::Partition {
    let interval = world.settings.journal_interval_min;
    world.tables.partitions.row(partition, interval)
}

/// Reads the stream of `partition` from where it was last read, unless a read is under way.
pub fn read(world: &mut world::World, partition: &ids::Partition) {
    let row = row(world, partition);
    if row.reading {
        return;
    }
    row.reading = true;
    let from = row.replay.cursor;
    let wait = std_time::Duration::ZERO;
    world.emit(output::Output::Read { stream: partition.stream(), from, wait });
}

fn take_hand_overs(world: &mut world::World, tick: &world::Tick) {
    for partition in std::mem::take(&mut world.tables.inbox.hand_overs) {
        if !world.is_open() || row(world, &partition).epoch().is_some() {
            continue;
        }
        claim(world, tick, &partition);
    }
}

fn take_reads(world: &mut world::World, tick: &world::Tick) {
    let reads = std::mem::take(&mut world.tables.inbox.reads);
    for (stream, page) in reads {
        let Some(partition) = world.tables.partitions.by_stream.get(&stream).cloned() else {
            world.tables.inbox.reads.push((stream, page));
            continue;
        };
        row(world, &partition).reading = false;
        match page {
            None => back_off(world, tick, &partition),
            Some(page) => take_page(world, tick, &partition, &page),
        }
    }
}

fn take_page(
    world: &mut world::World,
    tick: &world::Tick,
    partition: &ids::Partition,
    page: &input::Page,
) {
    replay::take_page(world, tick, partition, page);
    let row = row(world, partition);
    row.backoff = std_time::Duration::ZERO;
    row.retry_at = None;
    if row.replay.cursor < page.end {
        read(world, partition);
        return;
    }
    row.read_at = Some(tick.now);
    world.tables.dirty.partitions.insert(partition.clone());
    settle(world, tick, partition);
}

/// Delays the partition's next step after the log did not answer.
pub fn back_off(world: &mut world::World, tick: &world::Tick, partition: &ids::Partition) {
    let jitter = std_time::Duration::from_micros(world.rng.below(50_000));
    let row = row(world, partition);
    row.backoff = (row.backoff * 2).clamp(BACKOFF_MIN, BACKOFF_MAX);
    row.retry_at = Some(tick.now.after(row.backoff + jitter));
    world.tables.dirty.partitions.insert(partition.clone());
}

/// Compares the standing with what the stream says, read to its end.
fn settle(world: &mut world::World, tick: &world::Tick, partition: &ids::Partition) {
    let me = world.identity.peer.clone();
    let row = row(world, partition);
    let current = row.replay.epoch;
    match row.standing.clone() {
        partitions::Standing::Owned { epoch } if current != Some(epoch) => {
            lose(world, tick, partition);
        }
        partitions::Standing::Claiming { nonce } if row.replay.nonces.contains(&nonce) => {
            match (row.replay.owner.clone(), current) {
                (Some(owner), Some(epoch)) if owner == me => {
                    become_owner(world, tick, partition, epoch)
                }
                _ => row.standing = partitions::Standing::Asking,
            }
        }
        _ => {}
    }
}

fn step(world: &mut world::World, tick: &world::Tick, partition: &ids::Partition) {
    let row = row(world, partition);
    if !row.is_backed_off(tick.now) {
        row.retry_at = None;
    }
    match row.standing.clone() {
        partitions::Standing::Asking => ask(world, tick, partition),
        partitions::Standing::Probing { owner, until } => {
            check_probe(world, tick, partition, &owner, until);
        }
        partitions::Standing::Claiming { nonce } => {
            let idle = !row.reading && row.flight.is_none();
            if idle && !row.is_backed_off(tick.now) {
                send_claim(world, tick, partition, nonce);
            }
        }
        partitions::Standing::Owned { .. } => {}
    }
    expire_waiting(world, tick, partition);
}

/// Finds out who owns the partition, for the calls that wait.
fn ask(world: &mut world::World, tick: &world::Tick, partition: &ids::Partition) {
    let row = row(world, partition);
    if row.waiting.is_empty() || row.reading || row.is_backed_off(tick.now) {
        return;
    }
    if row.read_at != Some(tick.now) {
        read(world, partition);
        return;
    }
    let Some(owner) = row.replay.owner.clone() else {
        claim(world, tick, partition);
        return;
    };
    let until = tick.now.after(world.settings.probe_interval);
    check_owner(world, tick, partition, &owner, until, true);
}

fn check_probe(
    world: &mut world::World,
    tick: &world::Tick,
    partition: &ids::Partition,
    owner: &ids::Peer,
    until: time::Timestamp,
) {
    check_owner(world, tick, partition, owner, until, false);
}

fn check_owner(
    world: &mut world::World,
    tick: &world::Tick,
    partition: &ids::Partition,
    owner: &ids::Peer,
    until: time::Timestamp,
    first: bool,
) {
    let recent = world.settings.probe_interval;
    let instance = world.tables.instances.row(&owner.instance);
    let replaced = instance.incarnation.is_some_and(|known| known != owner.incarnation);
    let unreachable = is_unreachable(world, partition, &owner.instance);
    let instance = world.tables.instances.row(&owner.instance);
    let heard = instance.heard_at.is_some_and(|at| tick.now.since(at) <= recent);
    if replaced || unreachable || owner.instance == world.identity.peer.instance {
        claim(world, tick, partition);
    } else if heard && instance.incarnation.is_some() && !instance.suspected {
        redirect_waiting(world, tick, partition, Some(&owner.instance));
    } else if first {
        let standing = partitions::Standing::Probing { owner: owner.clone(), until };
        row(world, partition).standing = standing;
        membership::ping(world, tick, &owner.instance);
    } else if tick.now >= until {
        // Silent to a probe: nothing new goes to it either, until it is heard again.
        membership::suspect(world, tick, &owner.instance);
        claim(world, tick, partition);
    }
}

/// Whether an entry was sent to the owner again and again and never reached it, though this process
/// hears it: the link between the two is cut.
fn is_unreachable(
    world: &mut world::World,
    partition: &ids::Partition,
    owner: &ids::InstanceName,
) -> bool {
    let cut_off = |submit: &messages::Submit| {
        submit.hop > MAX_HOPS_TO_OWNER && submit.suspect.as_ref() == Some(owner)
    };
    row(world, partition).waiting.iter().any(|(_, submit, _)| cut_off(submit))
}

/// Sends the waiting calls on to the owner and forgets what was read.
fn redirect_waiting(
    world: &mut world::World,
    tick: &world::Tick,
    partition: &ids::Partition,
    owner: Option<&ids::InstanceName>,
) {
    let row = row(world, partition);
    let waiting = std::mem::take(&mut row.waiting);
    for (from, submit, _) in waiting {
        redirect(world, tick, &from, submit.request, submit.hop, owner);
    }
    forget(world, partition);
}

/// Tells an entry that this process does not own the partition.
pub fn redirect(
    world: &mut world::World,
    tick: &world::Tick,
    to: &ids::InstanceName,
    request: ids::RequestId,
    hop: u32,
    owner: Option<&ids::InstanceName>,
) {
    let message = messages::Message::Redirect { request, hop, owner: owner.cloned() };
    let lasting = world.settings.suspect_after;
    outbox::confirm(world, tick, to, None, message, lasting);
}

/// Drops what is known of a partition that another process owns.
fn forget(world: &mut world::World, partition: &ids::Partition) {
    programs::drop_partition(world, partition);
    let interval = world.settings.journal_interval_min;
    let row = row(world, partition);
    let waiting = std::mem::take(&mut row.waiting);
    let reading = row.reading;
    *row = partitions::Partition::new(interval);
    row.waiting = waiting;
    row.reading = reading;
}

/// Gives up a partition that nobody takes over.
pub fn leave(world: &mut world::World, partition: &ids::Partition) {
    world.tables.timers.clear(&timers::Timer::Carry(partition.clone()));
    forget(world, partition);
}

/// Sets out to claim the partition.
fn claim(world: &mut world::World, tick: &world::Tick, partition: &ids::Partition) {
    if !world.is_open() {
        redirect_waiting(world, tick, partition, None);
        return;
    }
    let nonce = ids::Nonce(world.rng.draw());
    row(world, partition).standing = partitions::Standing::Claiming { nonce };
    send_claim(world, tick, partition, nonce);
}

fn send_claim(
    world: &mut world::World,
    tick: &world::Tick,
    partition: &ids::Partition,
    nonce: ids::Nonce,
) {
    let row = row(world, partition);
    row.flight =
        Some(partitions::Flight { nonce, records: Vec::new(), answered: false, sent_at: tick.now });
    row.appends += 1;
    let writer = world.identity.peer.clone();
    let entry = journal::Entry { nonce, writer, body: journal::Body::Claim };
    world.emit(output::Output::Append { stream: partition.stream(), entry });
}

/// Takes the end of a claim's append: reads it back, or tries again.
pub fn claim_appended(
    world: &mut world::World,
    tick: &world::Tick,
    partition: &ids::Partition,
    result: input::AppendResult,
) {
    row(world, partition).flight = None;
    match result {
        input::AppendResult::Refused => back_off(world, tick, partition),
        input::AppendResult::Lost => {
            // The claim may stand: read first, and send the same nonce again if it does not.
            back_off(world, tick, partition);
            read(world, partition);
        }
        input::AppendResult::At(_) => read(world, partition),
    }
}

fn become_owner(
    world: &mut world::World,
    tick: &world::Tick,
    partition: &ids::Partition,
    epoch: ids::Epoch,
) {
    let carry = world.settings.log_retention / 4;
    let row = row(world, partition);
    row.standing = partitions::Standing::Owned { epoch };
    row.flight = None;
    row.asserted_at = tick.now;
    let waiting = std::mem::take(&mut row.waiting);
    world.tables.timers.set(timers::Timer::Carry(partition.clone()), tick.now.after(carry));
    world.event("partition_owned", partition, format!("epoch={epoch}"));
    programs::adopt_partition(world, tick, partition);
    for (from, submit, _) in waiting {
        world.tables.inbox.submits.push((from, submit));
    }
}

/// Another process's claim stands in the stream: what can't be finished here goes to it.
fn lose(world: &mut world::World, tick: &world::Tick, partition: &ids::Partition) {
    let owner = row(world, partition).replay.owner.clone().map(|peer| peer.instance);
    world.event("partition_lost", partition, format!("owner={owner:?}"));
    world.tables.timers.clear(&timers::Timer::Carry(partition.clone()));
    let keys: Vec<ids::CallKey> = programs::calls_of(world, partition);
    for key in keys {
        lose_call(world, tick, &key, owner.as_ref());
    }
    redirect_waiting(world, tick, partition, owner.as_ref());
}

/// A call that may not be repeated and was sent is answered when it ends; others go to the owner.
fn lose_call(
    world: &mut world::World,
    tick: &world::Tick,
    key: &ids::CallKey,
    owner: Option<&ids::InstanceName>,
) {
    let Some(call) = world.tables.calls.rows.get_mut(key) else {
        return;
    };
    let sent = matches!(call.state, calls::State::Running { .. });
    if call.effect_key.is_some() && sent {
        call.orphaned = true;
        return;
    }
    call_lifecycle::abort_attempt(world, tick, key);
    for waiter in world.tables.calls.take_waiters(key) {
        redirect(world, tick, &waiter.entry, waiter.request, waiter.hop, owner);
    }
    call_lifecycle::remove_call(world, tick, key);
}

/// Refuses waiting calls whose deadline passed.
fn expire_waiting(world: &mut world::World, tick: &world::Tick, partition: &ids::Partition) {
    let row = row(world, partition);
    let waiting = std::mem::take(&mut row.waiting);
    let (late, rest) = waiting.into_iter().partition(|(_, _, deadline)| *deadline <= tick.now);
    row.waiting = rest;
    let late: Vec<(ids::InstanceName, Box<messages::Submit>, time::Timestamp)> = late;
    for (from, submit, _) in late {
        let refusal =
            errors::Refusal::LogUnavailable { what: "the owner of the conversation".into() };
        call_lifecycle::refuse_request(world, tick, &from, submit.request, submit.hop, refusal);
    }
}
