//! The configuration in force: read from its stream in log order, never back to an older version.
//!
//! A publication counts only if its base is the version in force at its place in the stream, so
//! every process decides a race the same way. Before the log forgets the accepted set, the first
//! process to see it pass half of its retention carries it forward with the same version.

use std::time as std_time;

use crate::ids;
use crate::input;
use crate::journal;
use crate::messages;
use crate::output;
use crate::policy;
use crate::publication;
use crate::systems::outbox;
use crate::systems::timers as due;
use crate::tables::configuration;
use crate::tables::timers;
use crate::time;
use crate::world;

/// Stream of publications.
pub const STREAM: &str = "config";
/// Delay before the stream is read again after the log did not answer.
const READ_RETRY: std_time::Duration = std_time::Duration::from_secs(1);
/// Interval between questions to peers while no configuration is in force.
const ASK_INTERVAL: std_time::Duration = std_time::Duration::from_secs(1);
/// Peers asked at a time.
const ASK_PEERS: usize = 3;
/// Random share of the retention added before carrying forward: the first one spares the others.
const CARRY_SPREAD: u32 = 16;

/// Takes pages of the stream and offers of peers.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    take_reads(world, tick);
    take_offers(world, tick);
    read_due(world);
    ask_due(world, tick);
    carry_due(world, tick);
}

fn read_due(world: &mut world::World) {
    let due = due::take_due(world, |timer| (*timer == timers::Timer::ConfigRead).then_some(()));
    if !due.is_empty() {
        read(world);
    }
}

fn read(world: &mut world::World) {
    let wait = world.settings.config_wait;
    let row = &mut world.tables.configuration;
    if row.reading {
        return;
    }
    row.reading = true;
    let from = row.cursor;
    world.emit(output::Output::Read { stream: ids::StreamName::new(STREAM), from, wait });
}

fn take_reads(world: &mut world::World, tick: &world::Tick) {
    let reads = &mut world.tables.inbox.reads;
    let (mine, others) =
        std::mem::take(reads).into_iter().partition(|(stream, _)| stream.as_str() == STREAM);
    *reads = others;
    let mine: Vec<(ids::StreamName, Option<input::Page>)> = mine;
    for (_, page) in mine {
        world.tables.configuration.reading = false;
        let Some(page) = page else {
            world.tables.timers.set(timers::Timer::ConfigRead, tick.now.after(READ_RETRY));
            continue;
        };
        take_page(world, tick, &page);
        world.tables.timers.set(timers::Timer::ConfigRead, tick.now);
    }
}

fn take_page(world: &mut world::World, tick: &world::Tick, page: &input::Page) {
    for positioned in &page.entries {
        if positioned.offset < world.tables.configuration.cursor {
            continue;
        }
        world.tables.configuration.cursor = ids::Offset(positioned.offset.0 + 1);
        take_entry(world, tick, positioned);
    }
    let row = &mut world.tables.configuration;
    row.cursor = row.cursor.max(page.next);
    row.caught_up |= row.cursor >= page.end;
}

fn take_entry(world: &mut world::World, tick: &world::Tick, positioned: &input::Positioned) {
    let Some(entry) = &positioned.entry else {
        return;
    };
    if !world.tables.configuration.nonces.insert(entry.nonce) {
        return;
    }
    let logged_at = time::Timestamp::new(
        tick.now.micros().saturating_sub(time::Timestamp::ZERO.after(positioned.age).micros()),
    );
    let current = world.tables.configuration.version();
    let source = match &entry.body {
        journal::Body::Publication { source, .. } | journal::Body::Carry { source, .. } => source,
        _ => return,
    };
    match publication::judge(current, &entry.body) {
        publication::Judgement::Accept { version, tentative } => {
            accept(world, tick, version, source, tentative, logged_at);
        }
        publication::Judgement::Carry { version } => {
            take_carry(world, tick, version, source, logged_at);
        }
        publication::Judgement::LostRace => {
            let detail = format!("current={current} writer={}", entry.writer.instance);
            world.event("publication_lost_race", positioned.offset, detail);
        }
        publication::Judgement::Ignore => {}
    }
}

fn take_carry(
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
            schedule_carry(world, tick);
        }
        _ => accept(world, tick, version, source, false, logged_at),
    }
}

fn accept(
    world: &mut world::World,
    tick: &world::Tick,
    version: ids::ConfigVersion,
    source: &str,
    tentative: bool,
    logged_at: time::Timestamp,
) {
    let objects = match world.reader.read(source) {
        Ok(objects) => objects,
        Err(detail) => {
            world.event("publication_not_valid", version, detail);
            return;
        }
    };
    world.policies = policy::Policies::new(objects.policies);
    world.tables.configuration.accepted = Some(configuration::Accepted {
        version,
        objects,
        source: source.to_owned(),
        tentative,
        logged_at,
    });
    world.event("configuration_in_force", version, format!("tentative={tentative}"));
    world.tables.dirty.queue = true;
    schedule_carry(world, tick);
}

fn schedule_carry(world: &mut world::World, tick: &world::Tick) {
    let Some(accepted) = &world.tables.configuration.accepted else {
        return;
    };
    let half = world.settings.log_retention / 2;
    let spread = u64::try_from((half / CARRY_SPREAD).as_micros()).unwrap_or(u64::MAX);
    let jitter = std_time::Duration::from_micros(world.rng.below(spread));
    let at = accepted.logged_at.after(half + jitter).max(tick.now);
    world.tables.timers.set(timers::Timer::ConfigCarry, at);
}

fn carry_due(world: &mut world::World, tick: &world::Tick) {
    let due = due::take_due(world, |timer| (*timer == timers::Timer::ConfigCarry).then_some(()));
    if due.is_empty() {
        return;
    }
    let nonce = ids::Nonce(world.rng.draw());
    let Some(accepted) = &world.tables.configuration.accepted else {
        return;
    };
    if accepted.tentative {
        return;
    }
    let body = journal::Body::Carry { version: accepted.version, source: accepted.source.clone() };
    let entry = journal::Entry { nonce, writer: world.identity.peer.clone(), body };
    world.emit(output::Output::Append { stream: ids::StreamName::new(STREAM), entry });
    // Reading the copy back sets the next time; this one repeats a lost or refused append.
    let retry = world.settings.log_retention / CARRY_SPREAD / 2;
    world.tables.timers.set(timers::Timer::ConfigCarry, tick.now.after(retry));
}

fn take_offers(world: &mut world::World, tick: &world::Tick) {
    for (from, message) in std::mem::take(&mut world.tables.inbox.configs) {
        match message {
            messages::Message::ConfigAsk => offer(world, &from),
            messages::Message::ConfigOffer { version, source }
                if version > world.tables.configuration.version() =>
            {
                accept(world, tick, version, &source, false, tick.now);
            }
            _ => {}
        }
    }
}

fn offer(world: &mut world::World, to: &ids::InstanceName) {
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

fn ask_due(world: &mut world::World, tick: &world::Tick) {
    let due = due::take_due(world, |timer| (*timer == timers::Timer::ConfigAsk).then_some(()));
    if due.is_empty() || world.tables.configuration.accepted.is_some() {
        return;
    }
    let mut peers: Vec<ids::InstanceName> = world.tables.instances.rows.keys().cloned().collect();
    peers.retain(|peer| *peer != world.identity.peer.instance);
    for _ in 0..ASK_PEERS.min(peers.len()) {
        let index = usize::try_from(world.rng.below(peers.len() as u64)).unwrap_or(0);
        let peer = peers.swap_remove(index);
        outbox::send(world, &peer, messages::Message::ConfigAsk);
    }
    world.tables.timers.set(timers::Timer::ConfigAsk, tick.now.after(ASK_INTERVAL));
}

/// Notes that `from` runs `version`: a newer one is asked for at once.
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
