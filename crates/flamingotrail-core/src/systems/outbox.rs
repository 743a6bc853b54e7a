//! Sends messages, and sends confirmed ones again until the receiver has taken them.

use std::time as std_time;

use crate::ids;
use crate::messages;
use crate::output;
use crate::systems::ingest;
use crate::systems::timers as due;
use crate::tables::outbox;
use crate::tables::timers;
use crate::world;

/// Delay before the first repetition; doubles up to [`RESEND_MAX`].
const RESEND_MIN: std_time::Duration = std_time::Duration::from_millis(250);
/// Longest delay between repetitions.
const RESEND_MAX: std_time::Duration = std_time::Duration::from_secs(2);

/// Sends every message that is due again.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    let numbers = due::take_due(world, |timer| match timer {
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
    let replaced = world
        .tables
        .instances
        .rows
        .get(&row.to)
        .and_then(|instance| instance.incarnation)
        .zip(row.envelope.target)
        .is_some_and(|(known, target)| known != target);
    if tick.now >= row.expires || replaced {
        world.tables.outbox.rows.remove(&number);
        return;
    }
    row.sendings += 1;
    let delay = RESEND_MIN * 2u32.saturating_pow(row.sendings.min(8));
    let output = output::Output::Send { to: row.to.clone(), envelope: row.envelope.clone() };
    let at = tick.now.after(delay.min(RESEND_MAX));
    world.tables.timers.set(timers::Timer::Resend(number), at);
    world.emit(output);
}

/// Sends a message that may get lost.
pub fn send(world: &mut world::World, to: &ids::InstanceName, message: messages::Message) {
    if *to == world.identity.peer.instance {
        ingest::enqueue_message(world, to.clone(), message);
        return;
    }
    let from = world.identity.peer.incarnation;
    let envelope = messages::Envelope { from, target: None, number: 0, message };
    world.emit(output::Output::Send { to: to.clone(), envelope });
}

/// Sends a message until `to` has taken it, for at most `lasting`. Only the start `target` takes it.
/// Returns the message's number; 0 for one to this process itself.
pub fn confirm(
    world: &mut world::World,
    tick: &world::Tick,
    to: &ids::InstanceName,
    target: Option<ids::Incarnation>,
    message: messages::Message,
    lasting: std_time::Duration,
) -> u64 {
    if *to == world.identity.peer.instance {
        if target.is_none_or(|target| target == world.identity.peer.incarnation) {
            ingest::enqueue_message(world, to.clone(), message);
        }
        return 0;
    }
    let from = world.identity.peer.incarnation;
    world.tables.outbox.last += 1;
    let number = world.tables.outbox.last;
    let envelope = messages::Envelope { from, target, number, message };
    let expires = tick.now.after(lasting);
    let row = outbox::Pending { to: to.clone(), envelope: envelope.clone(), expires, sendings: 0 };
    world.tables.outbox.rows.insert(number, row);
    world.tables.timers.set(timers::Timer::Resend(number), tick.now.after(RESEND_MIN));
    world.emit(output::Output::Send { to: to.clone(), envelope });
    number
}

/// Tells the sender that its confirmed message was taken.
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

/// Forgets a confirmed message that was taken, or is no longer wanted.
pub fn confirmed(world: &mut world::World, number: u64) {
    world.tables.outbox.rows.remove(&number);
    world.tables.timers.clear(&timers::Timer::Resend(number));
}
