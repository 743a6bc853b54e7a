//! Distributes the inputs of a tick to the inbox queues of the systems that handle them.

use std::collections;

use crate::ids;
use crate::input;
use crate::systems::shutdown;
use crate::tables::peers;
use crate::world;

/// Moves all inputs into the inbox.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    while let Some(next) = world.inputs.pop_front() {
        let inbox = &mut world.tables.inbox;
        match next {
            input::Input::Arrived(arrival) => inbox.arrivals.push(*arrival),
            input::Input::ResponseBegan { call, attempt, notice, load } => {
                inbox.notices.push((call, attempt, notice));
                inbox.beginnings.push((call, attempt, load));
            }
            input::Input::Connected { endpoint, took } => inbox.connections.push((endpoint, took)),
            input::Input::Disconnected(call) => inbox.disconnected.push(call),
            input::Input::Outcome { call, attempt, outcome } => {
                inbox.outcomes.push((call, attempt, outcome));
            }
            input::Input::Delivered(call) => inbox.delivered.push(call),
            input::Input::Appended { partition, result } => {
                inbox.append_results.push((partition, result));
            }
            input::Input::Read { partition, result } => {
                inbox.read_results.push((partition, result))
            }
            input::Input::Configuration(configuration) => {
                inbox.configurations.push(*configuration);
            }
            input::Input::Endpoints(membership) => inbox.memberships.push(Some(membership)),
            input::Input::ListUnreachable => inbox.memberships.push(None),
            input::Input::Peers(rows) => update_peers(world, tick, rows),
            input::Input::EndpointChecked { endpoint, notice } => {
                inbox.endpoint_checks.push((endpoint, notice));
            }
            input::Input::PeerNotices(notices) => inbox.peer_notices.extend(notices),
            input::Input::NoticesRequested { ticket } => inbox.notice_requests.push(ticket),
            input::Input::PeerCrashes(crashes) => inbox.peer_crashes.push(crashes),
            input::Input::KnownCrashes(crashes) => inbox.known_crashes.push(crashes),
            input::Input::SavedCrashes(records) => inbox.saved_crashes.push(records),
            input::Input::CrashesSaved(is_stored) => inbox.crash_saves.push(is_stored),
            input::Input::PeerSurvivals(survivals) => inbox.survivals.extend(survivals),
            input::Input::CrashesRequested { ticket } => inbox.crash_requests.push(ticket),
            input::Input::PeerProbed { peer, has_responded } => {
                inbox.probe_results.push((peer, has_responded));
            }
            input::Input::AllowancesRequested { ticket, request } => {
                inbox.allowance_requests.push((ticket, *request));
            }
            input::Input::AllowancesAnswered { peer, number, answer } => {
                inbox.allowance_answers.push((peer, number, answer));
            }
            input::Input::HoldingsRequested { ticket, owner, question } => {
                inbox.holdings_requests.push((ticket, owner, question));
            }
            input::Input::HoldingsReported { peer, report } => {
                inbox.holdings_reports.push((peer, report));
            }
            input::Input::RelayRequested { ticket, record } => {
                inbox.relay_requests.push((ticket, *record))
            }
            input::Input::RelayFinished { peer, key, response } => {
                inbox.relay_results.push((peer, key, response));
            }
            input::Input::LookupRequested { ticket, turn } => {
                inbox.lookup_requests.push((ticket, turn))
            }
            input::Input::LookupFinished { call, peer, response } => {
                inbox.lookup_results.push((call, peer, response));
            }
            input::Input::Drain => shutdown::begin(world, tick),
        }
    }
    drop_departed_arrivals(world, tick);
}

/// Drops the requests whose callers left within the same tick: calls are admitted after disconnects are
/// handled, and nobody would remove them.
fn drop_departed_arrivals(world: &mut world::World, tick: &world::Tick) {
    let inbox = &mut world.tables.inbox;
    if inbox.arrivals.is_empty() || inbox.disconnected.is_empty() {
        return;
    }
    let departed: collections::BTreeSet<ids::CallId> = inbox.disconnected.iter().copied().collect();
    let dropped: Vec<input::Arrival> =
        inbox.arrivals.extract_if(.., |arrival| departed.contains(&arrival.call)).collect();
    for arrival in dropped {
        let waited_ms = tick.now.since(arrival.received).as_millis();
        let detail = format_args!("request={} waited_ms={waited_ms} phase=Arriving", arrival.id);
        world.emit_event("caller_left", detail);
    }
}

fn update_peers(
    world: &mut world::World,
    tick: &world::Tick,
    mut rows: collections::BTreeMap<ids::InstanceName, peers::Peer>,
) {
    let is_listed = rows.remove(&world.identity.instance).is_some();
    let count = rows.len();
    let tables = &mut world.tables;
    tables.dirty.peer_list = true;
    if tables.peers.rows != rows || tables.peers.is_listed != is_listed {
        tables.peers.set_rows(rows, is_listed);
        tables.dirty.peer_probes = true;
        // A gateway that has just started knows nothing of what endpoints have announced.
        tables.dirty.unasked_notices = is_listed && !tables.notices.has_asked && count > 0;
        tables.notices.set_gateway_count(is_listed.then_some(count + 1), tick.now);
        world.emit_event("peers_changed", format_args!("count={count} listed={is_listed}"));
    }
}
