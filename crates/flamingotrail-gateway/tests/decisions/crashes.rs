//! Requests that crash the endpoints that run them, and come again with new ids.

use std::time;

use crate::fixture;
use flamingotrail_core::time as core_time;
use flamingotrail_gateway::ids;
use flamingotrail_gateway::input;
use flamingotrail_gateway::output;
use flamingotrail_gateway::tables::crashes;

const BODY: &[u8] = b"a request that no endpoint survives";
/// Time after which the list drops an endpoint that has ended.
const UNLISTED_AFTER: time::Duration = time::Duration::from_secs(4);

/// Returns `count` plain endpoints, of which the first `ended` were replaced by others.
fn endpoints(count: usize, ended: usize) -> input::Membership {
    let names: Vec<String> = (ended..count + ended).map(|number| format!("e-{number}")).collect();
    let rows = names.iter().map(|name| (name.as_str(), fixture::endpoint("ledger", "north-a")));
    fixture::membership(&rows.collect::<Vec<_>>())
}

/// Gateways that use the same endpoints and tell each other of crashes.
struct Fleet {
    gateways: Vec<fixture::Gateway>,
    log: fixture::MemoryLog,
    ended: Vec<ids::EndpointId>,
    calls: u64,
}

fn start_fleet(count: usize) -> Fleet {
    let names: Vec<String> = (0..count).map(|number| format!("g{number}")).collect();
    let mut gateways: Vec<fixture::Gateway> =
        names.iter().map(|name| fixture::Gateway::new(name)).collect();
    for gateway in &mut gateways {
        let own = gateway.world.identity.instance.clone();
        let peers = names.iter().map(|name| fixture::peer(name, "north"));
        let peers = peers.filter(|(name, _)| *name != own).collect();
        gateway.tick(vec![input::Input::Peers(peers)]);
        gateway.tick(vec![input::Input::Endpoints(endpoints(7, 0))]);
    }
    Fleet { gateways, log: fixture::MemoryLog::default(), ended: Vec::new(), calls: 0 }
}

impl Fleet {
    fn advance(&mut self, duration: time::Duration) {
        for gateway in &mut self.gateways {
            gateway.advance(duration, &mut self.log);
        }
        self.deliver_messages();
    }

    fn deliver_messages(&mut self) {
        let told: Vec<_> =
            self.gateways.iter_mut().flat_map(|g| std::mem::take(&mut g.told_crashes)).collect();
        for (peer, crashes) in told {
            let named = |g: &&mut fixture::Gateway| g.world.identity.instance == peer;
            if let Some(gateway) = self.gateways.iter_mut().find(named) {
                gateway.tick(vec![input::Input::PeerCrashes(crashes)]);
            }
        }
    }

    /// Sends a request at a gateway; returns the endpoint that it reached.
    fn send(&mut self, gateway: usize, body: &'static [u8]) -> Option<ids::EndpointId> {
        self.calls += 1;
        let mut request = fixture::request(self.calls, &format!("r{}", self.calls), "/book/1");
        request.body = body.into();
        let gateway = &mut self.gateways[gateway];
        gateway.receive(request);
        let sent = gateway.sent.last().filter(|sent| sent.call == ids::CallId(self.calls));
        sent.map(|sent| sent.endpoint.clone())
    }

    /// Sends the request that crashes the endpoint that runs it, and lets the list drop that endpoint.
    /// Returns whether it reached one.
    fn send_poison(&mut self, gateway: usize) -> bool {
        let Some(endpoint) = self.send(gateway, BODY) else { return false };
        let lost = input::Outcome::Lost(input::Failure::Closed);
        self.gateways[gateway].end_attempt(self.calls, lost);
        self.ended.push(endpoint);
        self.advance(UNLISTED_AFTER);
        self.list_endpoints();
        true
    }

    fn list_endpoints(&mut self) {
        let mut listed = endpoints(7, self.ended.len());
        listed.endpoints.retain(|id, _| !self.ended.contains(id));
        for gateway in &mut self.gateways {
            gateway.tick(vec![input::Input::Endpoints(listed.clone())]);
        }
        self.deliver_messages();
    }
}

// Guards against a request that crashes endpoints and reaches new ones without end, at any gateway.
#[test]
fn request_that_crashes_endpoints_is_quarantined_at_all_gateways() {
    let mut fleet = start_fleet(2);

    let reached: Vec<bool> = (0..12)
        .map(|number| {
            let reached = fleet.send_poison(number % 2);
            fleet.advance(time::Duration::from_secs(5));
            reached
        })
        .collect();

    assert_eq!(reached.iter().filter(|reached| **reached).count(), 3, "{reached:?}");
    let refusals = fleet.gateways.iter().flat_map(|gateway| &gateway.refused);
    let quarantined = refusals.filter(|(_, refusal)| refusal.reason == output::Reason::Quarantined);
    assert_eq!(quarantined.count(), 9);
}

// Guards against other requests that are kept from the endpoints as well.
#[test]
fn other_requests_are_served_beside_a_quarantined_one() {
    let mut fleet = start_fleet(2);
    for number in 0..4 {
        fleet.send_poison(number % 2);
    }

    assert!(fleet.send(0, b"an ordinary request").is_some());
}

// Guards against a quarantine that ends at each gateway by itself: after it, one trial at a time.
#[test]
fn request_is_tried_again_after_its_quarantine() {
    let mut fleet = start_fleet(3);
    for number in 0..3 {
        fleet.send_poison(number);
    }
    fleet.advance(time::Duration::from_secs(130));

    let trial = fleet.send_poison(0);
    let others = [fleet.send_poison(0), fleet.send_poison(1), fleet.send_poison(2)];
    fleet.advance(time::Duration::from_secs(130));
    let later = fleet.send_poison(1);

    assert!(trial);
    assert_eq!(others, [false; 3]);
    assert!(!later, "the quarantine doubles");
}

// Guards against a quarantine of a request that an endpoint has survived.
#[test]
fn success_clears_a_request() {
    let mut fleet = start_fleet(1);
    fleet.send_poison(0);
    fleet.send_poison(0);
    fleet.send(0, BODY).expect("sent");
    fleet.gateways[0].end_attempt(fleet.calls, fixture::response_outcome(200));

    let reached = [fleet.send_poison(0), fleet.send_poison(0)];

    assert_eq!(reached, [true; 2]);
}

// Guards against popular requests that are quarantined because many endpoints fail at once, or because
// their gateway is cut off: endpoints that have not ended, and losses at the same time, prove nothing.
#[test]
fn losses_that_a_request_has_not_caused_do_not_count() {
    let mut fleet = start_fleet(1);
    for _ in 0..5 {
        fleet.send(0, BODY).expect("sent");
    }
    let first = fleet.calls - 4;
    let lost = input::Outcome::Lost(input::Failure::Closed);
    let endpoints = fleet.gateways[0].sent.iter().map(|sent| sent.endpoint.clone());
    fleet.ended = endpoints.collect();
    for call in first..=fleet.calls {
        fleet.gateways[0].end_attempt(call, lost.clone());
    }
    fleet.advance(UNLISTED_AFTER);
    fleet.list_endpoints();
    fleet.send(0, BODY).expect("sent");
    fleet.gateways[0].end_attempt(fleet.calls, fixture::response_outcome(200));
    for _ in 0..5 {
        fleet.send(0, BODY).expect("sent");
        let lost = input::Outcome::Lost(input::Failure::Closed);
        fleet.gateways[0].end_attempt(fleet.calls, lost);
        fleet.advance(UNLISTED_AFTER);
    }

    assert!(fleet.send(0, BODY).is_some());
}

// Guards against an endpoint that leaves and ends with a request under way being taken for crashed.
#[test]
fn endpoint_that_leaves_is_not_crashed() {
    let mut fleet = start_fleet(1);
    for _ in 0..4 {
        let endpoint = fleet.send(0, BODY).expect("sent");
        let mut listed = endpoints(7, fleet.ended.len());
        listed.endpoints.retain(|id, _| !fleet.ended.contains(id));
        listed.endpoints.get_mut(&endpoint).expect("listed").draining = true;
        fleet.gateways[0].tick(vec![input::Input::Endpoints(listed)]);
        let lost = input::Outcome::Lost(input::Failure::Closed);
        fleet.gateways[0].end_attempt(fleet.calls, lost);
        fleet.ended.push(endpoint);
        fleet.advance(UNLISTED_AFTER);
        fleet.list_endpoints();
    }

    assert!(fleet.send(0, BODY).is_some());
}

// Guards against a gateway that has started anew and lets the request through once more.
#[test]
fn gateway_asks_others_for_crashes_when_it_starts() {
    let mut fleet = start_fleet(2);
    for number in 0..3 {
        fleet.send_poison(number % 2);
    }
    fleet.gateways[0].tick(vec![input::Input::CrashesRequested { ticket: 1 }]);
    let known = fleet.gateways[0].crash_responses.pop().expect("a response");
    let mut restarted = start_fleet(2);

    restarted.gateways[1].tick(vec![input::Input::KnownCrashes(known)]);

    assert!(!restarted.gateways[1].asked_crashes.is_empty());
    assert!(!restarted.send_poison(1));
}

fn crash(fingerprint: u128, endpoint: &str, age: time::Duration) -> input::PeerCrash {
    input::PeerCrash {
        fingerprint: ids::Fingerprint(fingerprint),
        endpoint: ids::EndpointId::new(endpoint),
        age,
        took: time::Duration::from_millis(20),
    }
}

// Guards against crashes that are not counted because they are confirmed in another order, or together.
#[test]
fn crashes_count_in_any_order_of_their_confirmation() {
    let mut table = crashes::Crashes::default();
    let at = |ms: u64| core_time::Timestamp::from_micros(ms * 1_000);
    let fingerprint = ids::Fingerprint(1);
    let names = ["e-c", "e-a", "e-b"];
    for (number, name) in (1..).zip(names) {
        let run = crashes::Run { sent_at: at(number * 1_000), lost_at: at(number * 1_000 + 20) };
        table.record_loss(fingerprint, &ids::EndpointId::new(name), None, run);
    }

    for name in ["e-a", "e-b", "e-c"] {
        table.record_end(&ids::EndpointId::new(name), at(7_000));
    }

    assert!(table.restriction(fingerprint, 0, at(7_000)).is_some());
}

// Guards against a popular request that is quarantined without a trial because many endpoints fail at once,
// and each gateway tells of another one.
#[test]
fn crashes_at_the_same_time_at_several_gateways_allow_a_trial() {
    let mut table = crashes::Crashes::default();
    let now = core_time::Timestamp::from_micros(10_000_000);
    for (endpoint, age_ms) in [("e-1", 4_000), ("e-2", 4_100), ("e-3", 3_900), ("e-4", 4_200)] {
        table.record_crashes(&[crash(1, endpoint, time::Duration::from_millis(age_ms))], now);
    }

    assert_eq!(table.restriction(ids::Fingerprint(1), 0, now), None);
}

// Guards against tables that grow with each request that is lost.
#[test]
fn number_of_remembered_requests_is_bounded() {
    let mut table = crashes::Crashes::default();
    let endpoint = ids::EndpointId::new("e-1");
    for number in 0..5_000_u32 {
        let now = core_time::Timestamp::from_micros(u64::from(number));
        let fingerprint = ids::Fingerprint(u128::from(number));
        let run = crashes::Run { sent_at: now, lost_at: now };
        table.record_loss(fingerprint, &endpoint, None, run);
        let other = crash(number.into(), "e-1", time::Duration::ZERO);
        table.record_crashes(&[other], now);
    }

    let now = core_time::Timestamp::from_micros(5_000);
    assert!(table.all(now).len() <= 1_024);
    assert!(table.record_end(&endpoint, now).len() <= 1_024);
}
