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
        input::Input::Request(request) => inbox.caller_requests.push(*request),
        input::Input::CallerDisconnected(request) => inbox.disconnected_callers.push(request),
        input::Input::DeliveredText { request, text } => {
            inbox.delivered_texts.push((request, text))
        }
        input::Input::PeerMessage { from, envelope } => {
            accept_envelope(world, tick, from, envelope)
        }
        input::Input::PeerDisconnected(instance) => inbox.lost_connections.push(instance),
        input::Input::AppendCompleted { stream, nonce, result } => {
            inbox.append_results.push((stream, nonce, result));
        }
        input::Input::ReadCompleted { stream, page } => inbox.read_results.push((stream, page)),
        input::Input::InstanceList(list) => inbox.instance_lists.push(list),
        input::Input::AttemptEnded { attempt, outcome } => {
            inbox.local_attempt_outcomes.push((attempt, outcome))
        }
        input::Input::PartialText { attempt, text } => inbox.partial_texts.push((attempt, text)),
        input::Input::EndpointReport(report) => inbox.endpoint_reports.push(report),
        input::Input::ReleaseCompleted { hold, confirmed } => {
            inbox.release_results.push((hold, confirmed))
        }
        input::Input::Drain => inbox.drain_requested = true,
    }
}

fn accept_envelope(
    world: &mut world::World,
    tick: &world::Tick,
    from: ids::InstanceName,
    envelope: messages::Envelope,
) {
    membership::record_contact(world, tick, &from, envelope.from);
    if envelope.target.is_some_and(|target| target != world.identity.peer.incarnation) {
        return;
    }
    if envelope.number > 0 {
        outbox::acknowledge(world, &from, envelope.from, envelope.number);
        let window = &mut world.tables.instances.get_or_insert(&from).dedup_window;
        if !window.accept(envelope.from, envelope.number) {
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
            inbox.acceptances.push((from, request, hop, partition));
        }
        messages::Message::Redirect { request, hop, owner } => {
            inbox.redirects.push((from, request, hop, owner));
        }
        messages::Message::Reply(reply) => inbox.replies.push((from, *reply)),
        messages::Message::Cancel { request, .. } => inbox.cancels.push(request),
        messages::Message::Dispatch(dispatch) => inbox.dispatches.push((from, dispatch)),
        messages::Message::Ended { attempt, end: outcome, load } => {
            inbox.remote_attempt_outcomes.push((from, attempt, outcome, load));
        }
        messages::Message::Abort { attempt } => inbox.aborts.push(attempt),
        messages::Message::Release { holds } => inbox.releases.extend(holds),
        messages::Message::HandOver { partition, .. } => inbox.handovers.push(partition),
        messages::Message::Suspects { notices } => inbox.suspect_notices.extend(notices),
        messages::Message::Ack { number } => outbox::stop_resending(world, number),
        messages::Message::ConfigAsk | messages::Message::ConfigOffer { .. } => {
            inbox.config_messages.push((from, message));
        }
        messages::Message::Ping { .. }
        | messages::Message::Pong { .. }
        | messages::Message::Leaving { .. } => inbox.probe_messages.push((from, message)),
    }
}
