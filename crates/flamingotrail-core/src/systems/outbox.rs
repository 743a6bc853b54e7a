//! Sends messages to peers. Reliable messages are resent until the receiver acknowledges them.

use std::time as std_time;

use crate::ids;
use crate::messages;
use crate::output;
use crate::systems::due_timers;
use crate::systems::ingest;
use crate::tables::outbox;
use crate::tables::timers;
use crate::world;

/// Delay before a message is resent for the first time. It doubles up to
/// [`RESEND_DELAY_MAX`].
const RESEND_DELAY_MIN: std_time::Duration = std_time::Duration::from_millis(250);
/// Maximum delay before a message is resent.
const RESEND_DELAY_MAX: std_time::Duration = std_time::Duration::from_secs(2);

/// Resends every unacknowledged message that is due.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    let numbers = due_timers::take_matching(world, |timer| match timer {
        timers::Timer::Resend(number) => Some(*number),
        _ => None,
    });
    for number in numbers {
        resend(world, tick, number);
    }
}

fn resend(world: &mut world::World, tick: &world::Tick, number: u64) {
    let Some(row) = world.tables.outbox.rows.get_mut(&number) else {
        return;
    };
    let has_restarted = world
        .tables
        .instances
        .rows
        .get(&row.to)
        .and_then(|instance| instance.incarnation)
        .zip(row.envelope.target)
        .is_some_and(|(known, target)| known != target);
    if tick.now >= row.expires_at || has_restarted {
        world.tables.outbox.rows.remove(&number);
        return;
    }
    row.resend_count += 1;
    let delay = RESEND_DELAY_MIN * 2u32.saturating_pow(row.resend_count.min(8));
    let output = output::Output::Send { to: row.to.clone(), envelope: row.envelope.clone() };
    let at = tick.now.after(delay.min(RESEND_DELAY_MAX));
    world.tables.timers.set(timers::Timer::Resend(number), at);
    world.emit(output);
}

/// Sends a message once, without a guarantee of delivery.
pub fn send(world: &mut world::World, to: &ids::InstanceName, message: messages::Message) {
    if *to == world.identity.peer.instance {
        ingest::enqueue_message(world, to.clone(), message);
        return;
    }
    let from = world.identity.peer.incarnation;
    let envelope = messages::Envelope { from, target: None, number: 0, message };
    world.emit(output::Output::Send { to: to.clone(), envelope });
}

/// Sends a message until `to` acknowledges it, for at most `timeout`. If `target` is set, only that
/// incarnation of the receiver accepts it. Returns the message's number, or 0 if this instance is
/// the receiver.
pub fn send_reliable(
    world: &mut world::World,
    tick: &world::Tick,
    to: &ids::InstanceName,
    target: Option<ids::Incarnation>,
    message: messages::Message,
    timeout: std_time::Duration,
) -> u64 {
    if *to == world.identity.peer.instance {
        if target.is_none_or(|target| target == world.identity.peer.incarnation) {
            ingest::enqueue_message(world, to.clone(), message);
        }
        return 0;
    }
    let from = world.identity.peer.incarnation;
    world.tables.outbox.last_number += 1;
    let number = world.tables.outbox.last_number;
    let envelope = messages::Envelope { from, target, number, message };
    let expires_at = tick.now.after(timeout);
    let row = outbox::PendingMessage {
        to: to.clone(),
        envelope: envelope.clone(),
        expires_at,
        resend_count: 0,
    };
    world.tables.outbox.rows.insert(number, row);
    world.tables.timers.set(timers::Timer::Resend(number), tick.now.after(RESEND_DELAY_MIN));
    world.emit(output::Output::Send { to: to.clone(), envelope });
    number
}

/// Acknowledges a reliable message to its sender.
pub fn acknowledge(
    world: &mut world::World,
    to: &ids::InstanceName,
    target: ids::Incarnation,
    number: u64,
) {
    let message = messages::Message::Ack { number };
    let from = world.identity.peer.incarnation;
    let envelope = messages::Envelope { from, target: Some(target), number: 0, message };
    world.emit(output::Output::Send { to: to.clone(), envelope });
}

/// Drops a reliable message that was acknowledged or is no longer needed.
pub fn stop_resending(world: &mut world::World, number: u64) {
    world.tables.outbox.rows.remove(&number);
    world.tables.timers.clear(&timers::Timer::Resend(number));
}
