//! The active configuration, read from its stream in log order. It never reverts to an older
//! version.
//!
//! A publication is accepted only if its base is the version that is active at its position in the
//! stream, so every instance resolves concurrent publications the same way. Before the log's
//! retention removes the accepted configuration, the first instance that sees its age pass half of
//! the retention republishes it under the same version.

use std::time as std_time;

use crate::ids;
use crate::input;
use crate::journal;
use crate::messages;
use crate::output;
use crate::policy;
use crate::publication;
use crate::systems::due_timers;
use crate::systems::outbox;
use crate::tables::configuration;
use crate::tables::timers;
use crate::time;
use crate::world;

/// Name of the configuration stream.
pub const STREAM: &str = "config";
/// Delay before a failed read of the stream is retried.
const READ_RETRY_DELAY: std_time::Duration = std_time::Duration::from_secs(1);
/// Interval between requests to peers while no configuration is active.
const PEER_REQUEST_INTERVAL: std_time::Duration = std_time::Duration::from_secs(1);
/// Number of peers to request the configuration from at a time.
const PEERS_PER_REQUEST: usize = 3;
/// The random delay before republishing is at most half of the log's retention divided by this. It
/// spreads the instances out, so that the first one to republish spares the others the append.
const REPUBLISH_JITTER_DIVISOR: u32 = 16;

/// Processes pages of the stream and messages from peers, and starts reads, requests to peers and
/// republications that are due.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    process_reads(world, tick);
    process_peer_messages(world, tick);
    read_when_due(world);
    request_from_peers_when_due(world, tick);
    republish_when_due(world, tick);
}

fn read_when_due(world: &mut world::World) {
    let due = due_timers::take_matching(world, |timer| {
        (*timer == timers::Timer::ConfigRead).then_some(())
    });
    if !due.is_empty() {
        start_read(world);
    }
}

fn start_read(world: &mut world::World) {
    let wait = world.settings.config_poll_timeout;
    let row = &mut world.tables.configuration;
    if row.reading {
        return;
    }
    row.reading = true;
    let from = row.cursor;
    world.emit(output::Output::Read { stream: ids::StreamName::new(STREAM), from, wait });
}

fn process_reads(world: &mut world::World, tick: &world::Tick) {
    let reads = &mut world.tables.inbox.read_results;
    let (own_reads, other_reads) =
        std::mem::take(reads).into_iter().partition(|(stream, _)| stream.as_str() == STREAM);
    *reads = other_reads;
    let own_reads: Vec<(ids::StreamName, Option<input::StreamPage>)> = own_reads;
    for (_, page) in own_reads {
        world.tables.configuration.reading = false;
        let Some(page) = page else {
            world.tables.timers.set(timers::Timer::ConfigRead, tick.now.after(READ_RETRY_DELAY));
            continue;
        };
        apply_page(world, tick, &page);
        world.tables.timers.set(timers::Timer::ConfigRead, tick.now);
    }
}

fn apply_page(world: &mut world::World, tick: &world::Tick, page: &input::StreamPage) {
    for stream_entry in &page.entries {
        if stream_entry.offset < world.tables.configuration.cursor {
            continue;
        }
        world.tables.configuration.cursor = ids::Offset(stream_entry.offset.0 + 1);
        apply_entry(world, tick, stream_entry);
    }
    let row = &mut world.tables.configuration;
    row.cursor = row.cursor.max(page.next);
    row.caught_up |= row.cursor >= page.end;
}

fn apply_entry(world: &mut world::World, tick: &world::Tick, stream_entry: &input::StreamEntry) {
    let Some(entry) = &stream_entry.entry else {
        return;
    };
    if !world.tables.configuration.seen_nonces.insert(entry.nonce) {
        return;
    }
    let logged_at = time::Timestamp::from_micros(
        tick.now
            .as_micros()
            .saturating_sub(time::Timestamp::ZERO.after(stream_entry.age).as_micros()),
    );
    let current = world.tables.configuration.version();
    let source = match &entry.body {
        journal::Body::Publication { source, .. } | journal::Body::Carry { source, .. } => source,
        _ => return,
    };
    match publication::evaluate(current, &entry.body) {
        publication::PublicationOutcome::Accept { version, tentative } => {
            activate(world, tick, version, source, tentative, logged_at);
        }
        publication::PublicationOutcome::Carry { version } => {
            apply_republication(world, tick, version, source, logged_at);
        }
        publication::PublicationOutcome::Conflict => {
            let detail = format!("current={current} writer={}", entry.writer.instance);
            world.event("publication_lost_race", stream_entry.offset, detail);
        }
        publication::PublicationOutcome::Ignore => {}
    }
}

fn apply_republication(
    world: &mut world::World,
    tick: &world::Tick,
    version: ids::ConfigVersion,
    source: &str,
    logged_at: time::Timestamp,
) {
    let accepted = &mut world.tables.configuration.accepted;
    match accepted {
        Some(row) if row.version > version => {}
        Some(row) if row.version == version && !row.tentative => {
            row.logged_at = logged_at;
            schedule_republication(world, tick);
        }
        _ => activate(world, tick, version, source, false, logged_at),
    }
}

fn activate(
    world: &mut world::World,
    tick: &world::Tick,
    version: ids::ConfigVersion,
    source: &str,
    tentative: bool,
    logged_at: time::Timestamp,
) {
    let config = match world.config_parser.parse(source) {
        Ok(config) => config,
        Err(detail) => {
            world.event("publication_not_valid", version, detail);
            return;
        }
    };
    world.policies = policy::Policies::new(config.policies);
    world.tables.configuration.accepted = Some(configuration::Accepted {
        version,
        config,
        source: source.to_owned(),
        tentative,
        logged_at,
    });
    world.event("configuration_in_force", version, format!("tentative={tentative}"));
    world.tables.dirty.queue = true;
    schedule_republication(world, tick);
}

fn schedule_republication(world: &mut world::World, tick: &world::Tick) {
    let Some(accepted) = &world.tables.configuration.accepted else {
        return;
    };
    let half_retention = world.settings.log_retention / 2;
    let max_jitter =
        u64::try_from((half_retention / REPUBLISH_JITTER_DIVISOR).as_micros()).unwrap_or(u64::MAX);
    let jitter = std_time::Duration::from_micros(world.rng.next_below(max_jitter));
    let at = accepted.logged_at.after(half_retention + jitter).max(tick.now);
    world.tables.timers.set(timers::Timer::ConfigRepublish, at);
}

fn republish_when_due(world: &mut world::World, tick: &world::Tick) {
    let due = due_timers::take_matching(world, |timer| {
        (*timer == timers::Timer::ConfigRepublish).then_some(())
    });
    if due.is_empty() {
        return;
    }
    let nonce = ids::Nonce(world.rng.next_u64());
    let Some(accepted) = &world.tables.configuration.accepted else {
        return;
    };
    if accepted.tentative {
        return;
    }
    let body = journal::Body::Carry { version: accepted.version, source: accepted.source.clone() };
    let entry = journal::Entry { nonce, writer: world.identity.peer.clone(), body };
    world.emit(output::Output::Append { stream: ids::StreamName::new(STREAM), entry });
    // Reading the copy back schedules the next republication. This timer retries an append that was
    // lost or refused.
    let retry = world.settings.log_retention / REPUBLISH_JITTER_DIVISOR / 2;
    world.tables.timers.set(timers::Timer::ConfigRepublish, tick.now.after(retry));
}

fn process_peer_messages(world: &mut world::World, tick: &world::Tick) {
    for (from, message) in std::mem::take(&mut world.tables.inbox.config_messages) {
        match message {
            messages::Message::ConfigAsk => send_offer(world, &from),
            messages::Message::ConfigOffer { version, source }
                if version > world.tables.configuration.version() =>
            {
                activate(world, tick, version, &source, false, tick.now);
            }
            _ => {}
        }
    }
}

fn send_offer(world: &mut world::World, to: &ids::InstanceName) {
    let Some(accepted) = &world.tables.configuration.accepted else {
        return;
    };
    if accepted.tentative {
        return;
    }
    let offer = messages::Message::ConfigOffer {
        version: accepted.version,
        source: accepted.source.clone(),
    };
    outbox::send(world, to, offer);
}

fn request_from_peers_when_due(world: &mut world::World, tick: &world::Tick) {
    let due = due_timers::take_matching(world, |timer| {
        (*timer == timers::Timer::ConfigAsk).then_some(())
    });
    if due.is_empty() || world.tables.configuration.accepted.is_some() {
        return;
    }
    let mut peers: Vec<ids::InstanceName> = world.tables.instances.rows.keys().cloned().collect();
    peers.retain(|peer| *peer != world.identity.peer.instance);
    for _ in 0..PEERS_PER_REQUEST.min(peers.len()) {
        let index = usize::try_from(world.rng.next_below(peers.len() as u64)).unwrap_or(0);
        let peer = peers.swap_remove(index);
        outbox::send(world, &peer, messages::Message::ConfigAsk);
    }
    world.tables.timers.set(timers::Timer::ConfigAsk, tick.now.after(PEER_REQUEST_INTERVAL));
}

/// Requests the configuration from `from` at once if its `version` is newer than the active one.
pub fn request_if_newer(
    world: &mut world::World,
    _tick: &world::Tick,
    from: &ids::InstanceName,
    version: ids::ConfigVersion,
) {
    if version <= world.tables.configuration.version() {
        return;
    }
    outbox::send(world, from, messages::Message::ConfigAsk);
}
