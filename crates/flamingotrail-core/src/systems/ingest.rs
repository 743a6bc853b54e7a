//! Sorts inputs into the queues of the systems that process them.

use crate::ids;
use crate::input;
use crate::messages;
use crate::systems::membership;
use crate::systems::outbox;
use crate::world;

/// Sorts all pending inputs.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    while let Some(input) = world.inputs.pop_front() {
        enqueue_input(world, tick, input);
    }
}

fn enqueue_input(world: &mut world::World, tick: &world::Tick, input: input::Input) {
    let inbox = &mut world.tables.inbox;
    match input {
        input::Input::Caller(request) => inbox.callers.push(*request),
        input::Input::CallerGone(request) => inbox.gone.push(request),
        input::Input::Delivered { request, text } => inbox.delivered.push((request, text)),
        input::Input::Peer { from, envelope } => accept_envelope(world, tick, from, envelope),
        input::Input::PeerLost(instance) => inbox.lost.push(instance),
        input::Input::Appended { stream, nonce, result } => {
            inbox.appended.push((stream, nonce, result));
        }
        input::Input::Read { stream, page } => inbox.reads.push((stream, page)),
        input::Input::List(list) => inbox.lists.push(list),
        input::Input::AttemptEnded { attempt, end } => inbox.own_ended.push((attempt, end)),
        input::Input::Partial { attempt, text } => inbox.partials.push((attempt, text)),
        input::Input::Report(report) => inbox.reports.push(report),
        input::Input::OrderEnded { hold, confirmed } => inbox.orders.push((hold, confirmed)),
        input::Input::Drain => inbox.drain = true,
    }
}

fn accept_envelope(
    world: &mut world::World,
    tick: &world::Tick,
    from: ids::InstanceName,
    envelope: messages::Envelope,
) {
    membership::heard(world, tick, &from, envelope.from);
    if envelope.target.is_some_and(|target| target != world.identity.peer.incarnation) {
        return;
    }
    if envelope.number > 0 {
        outbox::acknowledge(world, &from, envelope.from, envelope.number);
        let window = &mut world.tables.instances.row(&from).window;
        if !window.take(envelope.from, envelope.number) {
            return;
        }
    }
    enqueue_message(world, from, envelope.message);
}

/// Adds a message to the queue of the system that processes it.
pub fn enqueue_message(
    world: &mut world::World,
    from: ids::InstanceName,
    message: messages::Message,
) {
    let inbox = &mut world.tables.inbox;
    match message {
        messages::Message::Submit(submit) => inbox.submits.push((from, submit)),
        messages::Message::Accepted { request, hop, partition, .. } => {
            inbox.accepted.push((from, request, hop, partition));
        }
        messages::Message::Redirect { request, hop, owner } => {
            inbox.redirects.push((from, request, hop, owner));
        }
        messages::Message::Reply(reply) => inbox.replies.push((from, *reply)),
        messages::Message::Cancel { request, .. } => inbox.cancels.push(request),
        messages::Message::Dispatch(dispatch) => inbox.dispatches.push((from, dispatch)),
        messages::Message::Ended { attempt, end, load } => {
            inbox.ended.push((from, attempt, end, load));
        }
        messages::Message::Abort { attempt } => inbox.aborts.push(attempt),
        messages::Message::Release { holds } => inbox.releases.extend(holds),
        messages::Message::HandOver { partition, .. } => inbox.hand_overs.push(partition),
        messages::Message::Suspects { notices } => inbox.notices.extend(notices),
        messages::Message::Ack { number } => outbox::confirmed(world, number),
        messages::Message::ConfigAsk | messages::Message::ConfigOffer { .. } => {
            inbox.configs.push((from, message));
        }
        messages::Message::Ping { .. }
        | messages::Message::Pong { .. }
        | messages::Message::Leaving { .. } => inbox.probes.push((from, message)),
    }
}
