//! Partition ownership, decided only by the order of claims in the partition's stream.
//!
//! Ownership is not a lease and needs no renewal: an instance owns a partition until a later claim
//! is in the stream. Every reader ignores what an owner appends after a newer claim, so an owner
//! that was paused does not have to be notified.

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

/// Initial delay after a failed read or append. It doubles up to [`BACKOFF_MAX`].
const BACKOFF_MIN: std_time::Duration = std_time::Duration::from_millis(100);
/// Maximum delay after a failed read or append.
const BACKOFF_MAX: std_time::Duration = std_time::Duration::from_secs(2);

/// Number of times that an entry instance submits one request before an owner that it can't reach
/// is replaced.
const MAX_SENDS_TO_OWNER: u32 = 4;

/// Processes handover requests and pages of partition streams, and advances partitions that
/// changed.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    process_handovers(world, tick);
    process_reads(world, tick);
    for partition in world.tables.dirty.partitions.clone() {
        advance(world, tick, &partition);
    }
}

/// Returns the row of `partition`, inserting it if absent.
pub fn partition_row<'w>(
    world: &'w mut world::World,
    partition: &ids::Partition,
) -> &'w mut partitions::Partition {
    let interval = world.settings.journal_interval_min;
    world.tables.partitions.get_or_insert(partition, interval)
}

/// Continues reading the stream of `partition` at its cursor, unless a read is in progress.
pub fn read_stream(world: &mut world::World, partition: &ids::Partition) {
    let row = partition_row(world, partition);
    if row.reading {
        return;
    }
    row.reading = true;
    let from = row.replay.cursor;
    let wait = std_time::Duration::ZERO;
    world.emit(output::Output::Read { stream: partition.stream(), from, wait });
}

fn process_handovers(world: &mut world::World, tick: &world::Tick) {
    for partition in std::mem::take(&mut world.tables.inbox.handovers) {
        if !world.accepts_work() || partition_row(world, &partition).epoch().is_some() {
            continue;
        }
        start_claim(world, tick, &partition);
    }
}

fn process_reads(world: &mut world::World, tick: &world::Tick) {
    let reads = std::mem::take(&mut world.tables.inbox.read_results);
    for (stream, page) in reads {
        let Some(partition) = world.tables.partitions.by_stream.get(&stream).cloned() else {
            world.tables.inbox.read_results.push((stream, page));
            continue;
        };
        partition_row(world, &partition).reading = false;
        match page {
            None => back_off(world, tick, &partition),
            Some(page) => handle_page(world, tick, &partition, &page),
        }
    }
}

fn handle_page(
    world: &mut world::World,
    tick: &world::Tick,
    partition: &ids::Partition,
    page: &input::StreamPage,
) {
    replay::apply_page(world, tick, partition, page);
    let row = partition_row(world, partition);
    row.backoff = std_time::Duration::ZERO;
    row.retry_at = None;
    if row.replay.cursor < page.end {
        read_stream(world, partition);
        return;
    }
    row.last_read_at = Some(tick.now);
    world.tables.dirty.partitions.insert(partition.clone());
    reconcile_ownership(world, tick, partition);
}

/// Delays the partition's next step, with jitter, after the log refused or did not respond to a
/// request.
pub fn back_off(world: &mut world::World, tick: &world::Tick, partition: &ids::Partition) {
    let jitter = std_time::Duration::from_micros(world.rng.next_below(50_000));
    let row = partition_row(world, partition);
    row.backoff = (row.backoff * 2).clamp(BACKOFF_MIN, BACKOFF_MAX);
    row.retry_at = Some(tick.now.after(row.backoff + jitter));
    world.tables.dirty.partitions.insert(partition.clone());
}

/// Updates the ownership state of this instance after the stream was read to its end.
fn reconcile_ownership(world: &mut world::World, tick: &world::Tick, partition: &ids::Partition) {
    let own_peer = world.identity.peer.clone();
    let row = partition_row(world, partition);
    let current_epoch = row.replay.epoch;
    match row.ownership.clone() {
        partitions::OwnershipState::Owned { epoch } if current_epoch != Some(epoch) => {
            handle_lost_ownership(world, tick, partition);
        }
        partitions::OwnershipState::Claiming { nonce }
            if row.replay.seen_nonces.contains(&nonce) =>
        {
            match (row.replay.owner.clone(), current_epoch) {
                (Some(owner), Some(epoch)) if owner == own_peer => {
                    become_owner(world, tick, partition, epoch)
                }
                _ => row.ownership = partitions::OwnershipState::Resolving,
            }
        }
        _ => {}
    }
}

fn advance(world: &mut world::World, tick: &world::Tick, partition: &ids::Partition) {
    let row = partition_row(world, partition);
    if !row.is_in_backoff(tick.now) {
        row.retry_at = None;
    }
    match row.ownership.clone() {
        partitions::OwnershipState::Resolving => resolve_owner(world, tick, partition),
        partitions::OwnershipState::Probing { owner, until } => {
            check_probed_owner(world, tick, partition, &owner, until);
        }
        partitions::OwnershipState::Claiming { nonce } => {
            let idle = !row.reading && row.in_flight.is_none();
            if idle && !row.is_in_backoff(tick.now) {
                send_claim(world, tick, partition, nonce);
            }
        }
        partitions::OwnershipState::Owned { .. } => {}
    }
    refuse_expired_calls(world, tick, partition);
}

/// Determines the owner of the partition for the calls that wait for it.
fn resolve_owner(world: &mut world::World, tick: &world::Tick, partition: &ids::Partition) {
    let row = partition_row(world, partition);
    if row.waiting_submits.is_empty() || row.reading || row.is_in_backoff(tick.now) {
        return;
    }
    if row.last_read_at != Some(tick.now) {
        read_stream(world, partition);
        return;
    }
    let Some(owner) = row.replay.owner.clone() else {
        start_claim(world, tick, partition);
        return;
    };
    let until = tick.now.after(world.settings.probe_interval);
    check_owner(world, tick, partition, &owner, until, true);
}

fn check_probed_owner(
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
    is_first_check: bool,
) {
    let contact_window = world.settings.probe_interval;
    let instance = world.tables.instances.get_or_insert(&owner.instance);
    let has_restarted = instance.incarnation.is_some_and(|known| known != owner.incarnation);
    let is_cut_off = is_cut_off_from_entry(world, partition, &owner.instance);
    let instance = world.tables.instances.get_or_insert(&owner.instance);
    let has_contact = instance.last_heard_at.is_some_and(|at| tick.now.since(at) <= contact_window);
    if has_restarted || is_cut_off || owner.instance == world.identity.peer.instance {
        start_claim(world, tick, partition);
    } else if has_contact && instance.incarnation.is_some() && !instance.suspected {
        redirect_waiting(world, tick, partition, Some(&owner.instance));
    } else if is_first_check {
        let ownership = partitions::OwnershipState::Probing { owner: owner.clone(), until };
        partition_row(world, partition).ownership = ownership;
        membership::ping(world, tick, &owner.instance);
    } else if tick.now >= until {
        // The owner did not respond to the probe. It gets no new work either until it is heard
        // from.
        membership::mark_suspected(world, tick, &owner.instance);
        start_claim(world, tick, partition);
    }
}

/// Returns whether an entry instance sent a request to the owner repeatedly without reaching it. A
/// probe from this instance can't detect this, because only the link between the entry instance and
/// the owner is down.
fn is_cut_off_from_entry(
    world: &mut world::World,
    partition: &ids::Partition,
    owner: &ids::InstanceName,
) -> bool {
    let unreached = |submit: &messages::Submit| {
        submit.hop > MAX_SENDS_TO_OWNER && submit.suspect.as_ref() == Some(owner)
    };
    partition_row(world, partition).waiting_submits.iter().any(|(_, submit, _)| unreached(submit))
}

/// Redirects the waiting calls to the owner and discards what is known of the partition.
fn redirect_waiting(
    world: &mut world::World,
    tick: &world::Tick,
    partition: &ids::Partition,
    owner: Option<&ids::InstanceName>,
) {
    let row = partition_row(world, partition);
    let waiting_submits = std::mem::take(&mut row.waiting_submits);
    for (from, submit, _) in waiting_submits {
        redirect(world, tick, &from, submit.request, submit.hop, owner);
    }
    reset_partition(world, partition);
}

/// Tells an entry instance that this instance does not own the partition, and which one does if
/// known.
pub fn redirect(
    world: &mut world::World,
    tick: &world::Tick,
    to: &ids::InstanceName,
    request: ids::RequestId,
    hop: u32,
    owner: Option<&ids::InstanceName>,
) {
    let message = messages::Message::Redirect { request, hop, owner: owner.cloned() };
    let timeout = world.settings.suspect_after;
    outbox::send_reliable(world, tick, to, None, message, timeout);
}

/// Discards what is known of a partition that this instance does not own. Waiting calls are kept.
fn reset_partition(world: &mut world::World, partition: &ids::Partition) {
    programs::remove_partition_rows(world, partition);
    let interval = world.settings.journal_interval_min;
    let row = partition_row(world, partition);
    let waiting_submits = std::mem::take(&mut row.waiting_submits);
    let reading = row.reading;
    *row = partitions::Partition::new(interval);
    row.waiting_submits = waiting_submits;
    row.reading = reading;
}

/// Gives up a partition that no other instance takes over.
pub fn relinquish(world: &mut world::World, partition: &ids::Partition) {
    world.tables.timers.clear(&timers::Timer::PartitionCheckpoint(partition.clone()));
    reset_partition(world, partition);
}

/// Starts to claim the partition, or redirects its waiting calls if this instance is draining.
fn start_claim(world: &mut world::World, tick: &world::Tick, partition: &ids::Partition) {
    if !world.accepts_work() {
        redirect_waiting(world, tick, partition, None);
        return;
    }
    let nonce = ids::Nonce(world.rng.next_u64());
    partition_row(world, partition).ownership = partitions::OwnershipState::Claiming { nonce };
    send_claim(world, tick, partition, nonce);
}

fn send_claim(
    world: &mut world::World,
    tick: &world::Tick,
    partition: &ids::Partition,
    nonce: ids::Nonce,
) {
    let row = partition_row(world, partition);
    row.in_flight = Some(partitions::InFlightAppend {
        nonce,
        records: Vec::new(),
        completed: false,
        sent_at: tick.now,
    });
    row.append_count += 1;
    let writer = world.identity.peer.clone();
    let entry = journal::Entry { nonce, writer, body: journal::Body::Claim };
    world.emit(output::Output::Append { stream: partition.stream(), entry });
}

/// Handles the result of appending a claim: reads the claim back, or retries after a delay.
pub fn handle_claim_append(
    world: &mut world::World,
    tick: &world::Tick,
    partition: &ids::Partition,
    result: input::AppendResult,
) {
    partition_row(world, partition).in_flight = None;
    match result {
        input::AppendResult::RateLimited => back_off(world, tick, partition),
        input::AppendResult::Unknown => {
            // The claim may be in the stream. If a read does not find it, it is resent with the
            // same nonce.
            back_off(world, tick, partition);
            read_stream(world, partition);
        }
        input::AppendResult::Committed(_) => read_stream(world, partition),
    }
}

fn become_owner(
    world: &mut world::World,
    tick: &world::Tick,
    partition: &ids::Partition,
    epoch: ids::Epoch,
) {
    let reappend_interval = world.settings.log_retention / 4;
    let row = partition_row(world, partition);
    row.ownership = partitions::OwnershipState::Owned { epoch };
    row.in_flight = None;
    row.epoch_logged_at = tick.now;
    let waiting_submits = std::mem::take(&mut row.waiting_submits);
    world.tables.timers.set(
        timers::Timer::PartitionCheckpoint(partition.clone()),
        tick.now.after(reappend_interval),
    );
    world.event("partition_owned", partition, format!("epoch={epoch}"));
    programs::take_over_partition(world, tick, partition);
    for (from, submit, _) in waiting_submits {
        world.tables.inbox.submits.push((from, submit));
    }
}

/// Handles a newer claim by another instance: calls that can't finish here go to the new owner.
fn handle_lost_ownership(world: &mut world::World, tick: &world::Tick, partition: &ids::Partition) {
    let owner = partition_row(world, partition).replay.owner.clone().map(|peer| peer.instance);
    world.event("partition_lost", partition, format!("owner={owner:?}"));
    world.tables.timers.clear(&timers::Timer::PartitionCheckpoint(partition.clone()));
    let keys: Vec<ids::CallKey> = programs::calls_in_partition(world, partition);
    for key in keys {
        release_call(world, tick, &key, owner.as_ref());
    }
    redirect_waiting(world, tick, partition, owner.as_ref());
}

/// Releases a call of a lost partition. A non-repeatable call that was dispatched still gets its
/// reply when it ends; any other call is aborted and redirected to the new owner.
fn release_call(
    world: &mut world::World,
    tick: &world::Tick,
    key: &ids::CallKey,
    owner: Option<&ids::InstanceName>,
) {
    let Some(call) = world.tables.calls.rows.get_mut(key) else {
        return;
    };
    let is_dispatched = matches!(call.state, calls::State::Running { .. });
    if call.effect_key.is_some() && is_dispatched {
        call.orphaned = true;
        return;
    }
    call_lifecycle::abort_attempt(world, tick, key);
    for waiter in world.tables.calls.take_waiters(key) {
        redirect(world, tick, &waiter.entry, waiter.request, waiter.hop, owner);
    }
    call_lifecycle::remove_call(world, tick, key);
}

/// Refuses waiting calls whose deadline has passed.
fn refuse_expired_calls(world: &mut world::World, tick: &world::Tick, partition: &ids::Partition) {
    let row = partition_row(world, partition);
    let waiting_submits = std::mem::take(&mut row.waiting_submits);
    let (expired, remaining) =
        waiting_submits.into_iter().partition(|(_, _, deadline)| *deadline <= tick.now);
    row.waiting_submits = remaining;
    let expired: Vec<(ids::InstanceName, Box<messages::Submit>, time::Timestamp)> = expired;
    for (from, submit, _) in expired {
        let refusal =
            errors::Refusal::LogUnavailable { what: "the owner of the conversation".into() };
        call_lifecycle::refuse_request(world, tick, &from, submit.request, submit.hop, refusal);
    }
}
