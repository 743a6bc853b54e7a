//! Connections that go silent without being closed, at gateway processes on loopback: what a gateway acts
//! on stays as young as `docs/PLATFORM.md` says.

use std::sync;
use std::thread;
use std::time;

use flamingotrail_gateway::ids;
use flamingotrail_gateway::tables::peers;
use flamingotrail_standins::fleet::caller;
use flamingotrail_standins::fleet::gateways;
use flamingotrail_standins::fleet::platform;
use flamingotrail_standins::fleet::runner;
use flamingotrail_standins::fleet::server;
use flamingotrail_standins::fleet::small;
use flamingotrail_wire::gateway as wire;

/// Number of turns at once, each of which needs a connection to the store.
const TURNS: usize = 24;
/// Time after which a disturbed gateway has to keep its bounds again (`stable_window_ms`).
const STABLE_WINDOW: time::Duration = time::Duration::from_millis(4_000);
/// Time after which a leaving endpoint must get nothing more, as the gateways' settings say.
const LEAVING_BOUND: time::Duration = time::Duration::from_millis(3_000);
/// Time after which a configuration must be in force, which is the default of the settings.
const CONFIGURATION_BOUND: time::Duration = time::Duration::from_millis(3_000);
/// Time between two calls of a caller.
const CALL_INTERVAL: time::Duration = time::Duration::from_millis(50);

struct Fleet {
    small: small::Fleet,
    gateway: gateways::Gateway,
}

/// Starts a fleet whose gateway keeps many idle connections to the store.
fn start_fleet(name: &str) -> Fleet {
    let small = small::start(name).expect("no free port");
    let gateway = small.start_gateway("one");
    let fleet = Fleet { small, gateway };
    fleet.run_turns();
    fleet
}

impl Fleet {
    fn call(&self, method: &str, path: &str, id: &str, deadline_ms: &str) -> caller::Response {
        let headers = [
            ("Request-Id", id),
            ("Program-Id", id),
            ("Token-Usage", "100,24"),
            ("Deadline-Ms", deadline_ms),
        ];
        caller::call(self.gateway.caller_address, method, path, &headers, "").expect("no response")
    }

    /// Runs turns side by side, while the store takes long enough that each needs its own connection.
    fn run_turns(&self) {
        self.small.store.set_delay(time::Duration::from_millis(100));
        thread::scope(|scope| {
            for number in 0..TURNS {
                scope.spawn(move || {
                    let turn = self.call("POST", "/chat/1", &format!("t{number}"), "5000");
                    assert_eq!(turn.status, 200, "{}", turn.text);
                });
            }
        });
        self.small.store.set_delay(time::Duration::from_millis(4));
    }

    /// Lists the plain runner as leaving, and another one that takes its place.
    fn replace_plain_runner(&self, other: &runner::Runner) {
        let address = other.serve_plain().expect("no free port");
        let entry = platform::draining_runner_entry("plain", self.small.plain_address);
        self.small.store.set("keyed.servers", "p-1", &entry);
        self.small.store.set("keyed.servers", "p-2", &platform::runner_entry("plain", address));
    }

    /// Checks that the plain runner, which is listed as leaving from now on, gets nothing after the
    /// bound, and that calls go on at another one.
    fn assert_follows_list(&self) {
        let other = runner::Runner::new();
        let listed_at = time::Instant::now();
        self.replace_plain_runner(&other);
        let mut number = 0;
        while listed_at.elapsed() < LEAVING_BOUND + time::Duration::from_secs(2) {
            let response = self.call("POST", "/book/1", &format!("b{number}"), "3000");
            assert_eq!(response.status, 200, "{}", response.text);
            number += 1;
            thread::sleep(CALL_INTERVAL);
        }

        let requests = self.small.plain.requests();
        let last = requests.iter().map(|request| request.received_at).max();
        let late = last.map(|at| at.saturating_duration_since(listed_at));
        assert!(
            late.is_none_or(|late| late <= LEAVING_BOUND),
            "the last request came {late:?} late"
        );
        assert!(!other.requests().is_empty());
    }
}

// Guards against requests that reach a leaving endpoint because each read of the list waits for another
// connection to the store that has gone silent.
#[test]
fn list_is_read_after_many_idle_connections_went_silent() {
    let fleet = start_fleet("silent-list");

    fleet.small.store.silence_connections();
    thread::sleep(STABLE_WINDOW);

    fleet.assert_follows_list();
}

// Guards against the same where the connections go silent again while the gateway makes new ones.
#[test]
fn list_is_read_after_connections_went_silent_again_and_again() {
    let fleet = start_fleet("silent-twice");

    for pause_ms in [100, 700, 1_300, 650, 300] {
        fleet.small.store.silence_connections();
        thread::sleep(time::Duration::from_millis(pause_ms));
    }
    fleet.small.store.silence_connections();
    thread::sleep(STABLE_WINDOW);

    fleet.assert_follows_list();
}

// Guards against a route that stays in force because its removal is read on a silent connection.
#[test]
fn configuration_is_read_after_many_idle_connections_went_silent() {
    let fleet = start_fleet("silent-configuration");
    fleet.small.store.set("keyed.op", "config", &platform::configuration(4, 1));
    thread::sleep(CONFIGURATION_BOUND);
    let before = fleet.call("GET", "/extra-1/1", "before", "3000");

    fleet.small.store.silence_connections();
    thread::sleep(STABLE_WINDOW);
    fleet.small.store.set("keyed.op", "config", &platform::configuration(5, 0));
    thread::sleep(CONFIGURATION_BOUND);
    let after = fleet.call("GET", "/extra-1/1", "after", "3000");

    assert_eq!((before.status, after.status), (200, 404), "{}", after.text);
}

// Guards against turns that wait for the log on one silent connection after the other.
#[test]
fn turns_are_stored_after_many_idle_connections_went_silent() {
    let fleet = start_fleet("silent-log");

    fleet.small.store.silence_connections();
    thread::sleep(STABLE_WINDOW);
    let turn = fleet.call("POST", "/chat/1", "after", "1500");

    assert!(turn.status == 200 && turn.is_complete(), "{}", turn.text);
}

// Guards against a fix that cuts connections to a store that is slow and sound.
#[test]
fn slow_store_is_not_taken_for_a_silent_one() {
    let fleet = start_fleet("slow-store");
    fleet.small.store.set_delay(time::Duration::from_millis(300));
    thread::sleep(STABLE_WINDOW);

    fleet.assert_follows_list();
    let turn = fleet.call("POST", "/chat/1", "after", "3000");

    assert!(turn.status == 200 && turn.is_complete(), "{}", turn.text);
    assert!(!fleet.small.log("one").contains("event=list_lost"), "{}", fleet.small.log("one"));
}

// Guards against a call that may be repeated and meets silent connections at each of its endpoints, long
// after they went silent.
#[test]
fn calls_are_served_after_connections_to_all_endpoints_went_silent() {
    let small = small::start("silent-endpoints").expect("no free port");
    let other = runner::Runner::new();
    let address = other.serve_plain().expect("no free port");
    small.store.set("keyed.servers", "p-2", &platform::runner_entry("plain", address));
    let fleet = Fleet { gateway: small.start_gateway("one"), small };
    for runner in [&fleet.small.plain, &other] {
        runner.set_keep_alive("timeout=60");
        runner.set_delay(time::Duration::from_millis(100));
    }
    thread::scope(|scope| {
        for number in 0..12 {
            let (fleet, id) = (&fleet, format!("w{number}"));
            scope.spawn(move || fleet.call("GET", "/look/1", &id, "3000"));
        }
    });
    for runner in [&fleet.small.plain, &other] {
        assert!(runner.requests().len() > 1, "both have connections");
        runner.silence_connections();
    }
    thread::sleep(STABLE_WINDOW);

    let statuses: Vec<u16> = (0..4)
        .map(|number| fleet.call("GET", "/look/1", &format!("a{number}"), "1500").status)
        .collect();

    assert_eq!(statuses, [200; 4]);
}

// Guards against an announcement that is lost on a silent connection to another gateway, which then goes
// on to use an endpoint that leaves.
#[test]
fn announcements_reach_other_gateways_after_links_went_silent() {
    let small = small::start("silent-links").expect("no free port");
    let (silence, messages) = (server::Silence::default(), sync::Arc::new(sync::Mutex::new(0)));
    let count = messages.clone();
    let respond = move |request: &server::Request| {
        let is_announcement = request.method == "POST" && request.path() == "/v1/notices";
        *count.lock().expect("not poisoned") += usize::from(is_announcement);
        server::response(200, &[], b"")
    };
    let address = server::serve_with_silence(respond, &silence).expect("no free port");
    let entry = peers::Peer {
        address: address.to_string(),
        domain: ids::DomainName::new("north-a"),
        region: ids::RegionName::new("north"),
    };
    small.store.set("keyed.gateways", "two", &wire::encode_peer(&entry).expect("encoded"));
    let fleet = Fleet { gateway: small.start_gateway("one"), small };
    // Probes, which come every two seconds, keep a link open.
    thread::sleep(time::Duration::from_millis(2_500));

    silence.begin();
    fleet.small.plain.set_leaving(true);
    fleet.call("GET", "/look/1", "a", "3000");
    thread::sleep(time::Duration::from_millis(1_500));

    assert_eq!(*messages.lock().expect("not poisoned"), 1);
}
