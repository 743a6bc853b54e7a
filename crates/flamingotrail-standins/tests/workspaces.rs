//! Workspaces at gateway processes: keys that callers need, and what happens to them when a process or
//! the store fails while they change.

use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::thread;
use std::time;

use flamingotrail_standins::fleet::caller;
use flamingotrail_standins::fleet::gateways;
use flamingotrail_standins::fleet::platform;
use flamingotrail_standins::fleet::server;
use flamingotrail_standins::fleet::small;

/// A name whose characters have to be escaped in ids and paths.
const ODD_NAME: &str = "bolt / 2%";
const KEY: &str = "secret-key-a";
const ODD_KEY: &str = "secret-key-b";
/// Beginning of all keys.
const KEY_PREFIX: &str = "secret-key";
/// Time in which a change of the configuration has to be in force.
const APPLY_BOUND: time::Duration = time::Duration::from_millis(4_000);

fn publish(fleet: &small::Fleet, version: u64, workspaces: &[(&str, &str)]) {
    let rows: Vec<_> =
        workspaces.iter().map(|(name, key)| (*name, vec![(*key).to_owned()])).collect();
    let configuration = platform::configuration(version, 0);
    fleet.store.set("keyed.op", "config", &platform::with_workspaces(&configuration, &rows));
}

fn start_fleet(name: &str) -> small::Fleet {
    let fleet = small::start(name).expect("no free port");
    publish(&fleet, 4, &[("acme", KEY), (ODD_NAME, ODD_KEY)]);
    fleet
}

fn call(gateway: &gateways::Gateway, id: &str, headers: &[(&str, &str)]) -> u16 {
    let mut all = vec![("Request-Id", id), ("Deadline-Ms", "3000")];
    all.extend(headers);
    let response = caller::call(gateway.caller_address, "GET", "/look/1", &all, "");
    response.expect("no response").status
}

fn call_with(gateway: &gateways::Gateway, id: &str, key: &str) -> u16 {
    call(gateway, id, &[("Authorization", &format!("Token {key}"))])
}

fn send_turn(
    gateway: &gateways::Gateway,
    id: &str,
    key: &str,
    previous: Option<&str>,
) -> caller::Response {
    let credential = format!("Token {key}");
    let mut headers = vec![
        ("Request-Id", id),
        ("Token-Usage", "100,24"),
        ("Deadline-Ms", "5000"),
        ("Authorization", credential.as_str()),
    ];
    headers.extend(previous.map(|previous| ("Previous-Turn", previous)));
    let body = format!("in {id};");
    caller::call(gateway.caller_address, "POST", "/chat/1", &headers, &body).expect("no response")
}

/// Sends a raw request head; returns the status of the response.
fn call_raw(gateway: &gateways::Gateway, headers: &str) -> u16 {
    let mut stream = net::TcpStream::connect(gateway.caller_address).expect("connected");
    let head = format!(
        "GET /look/1 HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\n{headers}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("written");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("read");
    text.split_whitespace().nth(1).and_then(|word| word.parse().ok()).expect("a status")
}

/// Repeats a call until it gets `status`; returns whether it did within the bound.
fn wait_for_status(gateway: &gateways::Gateway, key: &str, status: u16) -> bool {
    let started_at = time::Instant::now();
    while started_at.elapsed() < APPLY_BOUND {
        if call_with(gateway, "repeated", key) == status {
            return true;
        }
        thread::sleep(time::Duration::from_millis(50));
    }
    false
}

fn shows_key(request: &server::Request) -> bool {
    request.headers.iter().any(|(_, value)| value.contains(KEY_PREFIX))
}

// Guards against endpoints that get a key or a workspace from a caller, in whatever way it is sent.
#[test]
fn runner_gets_the_workspace_of_the_key_and_nothing_else() {
    let fleet = start_fleet("identity-headers");
    let gateway = fleet.start_gateway("one");
    let credential = format!("Token {KEY}");
    let headers =
        [("authorization", credential.as_str()), ("Tenant", ODD_NAME), ("TENANT", "other")];

    let status = call(&gateway, "r1", &headers);

    assert_eq!(status, 200);
    let request = fleet.plain.requests().remove(0);
    let named: Vec<_> = request.headers.iter().filter(|(name, _)| name == "tenant").collect();
    assert_eq!(named, [&("tenant".to_owned(), "acme".to_owned())]);
    assert!(!shows_key(&request) && request.header("authorization").is_none());
}

// Guards against malformed requests that run, or whose key gets into the log.
#[test]
fn bad_credentials_run_nothing_and_are_not_logged() {
    let fleet = start_fleet("identity-bad");
    let gateway = fleet.start_gateway("one");
    let huge = format!("Authorization: Token {KEY_PREFIX}{}", "k".repeat(600));
    let good = format!("Authorization: Token {KEY}");
    let cases = [
        ("X-Nothing: 1", 401),
        ("Authorization: Token secret-key-c", 401),
        ("Authorization: Bearer secret-key-a", 401),
        ("Authorization:", 401),
        ("Authorization: Token s\u{e9}cret-key-a", 401),
        (&huge, 401),
        (&format!("{good}\r\n{good}"), 401),
        ("Authorization: Token\r\n secret-key-a", 400),
        ("Authorization : Token secret-key-a", 400),
    ];

    for (headers, status) in cases {
        assert_eq!(call_raw(&gateway, headers), status, "{headers}");
    }

    assert!(fleet.plain.requests().is_empty());
    let log = fleet.log("one");
    assert!(log.contains("event=callers_unknown"), "{log}");
    assert!(!log.contains("cret-key"), "{log}");
}

// Guards against a flood of wrong keys that fills the log, and against one that no counter shows.
#[test]
fn flood_of_wrong_keys_is_counted_and_logged_in_few_lines() {
    const CALLS: usize = 300;
    let fleet = start_fleet("identity-flood");
    let gateway = fleet.start_gateway("one");
    let started_at = time::Instant::now();

    for number in 0..CALLS {
        assert_eq!(call_with(&gateway, &format!("r{number}"), &format!("wrong-{number}")), 401);
    }

    let seconds = started_at.elapsed().as_secs();
    let metrics = caller::call(gateway.metrics_address, "GET", "/metrics", &[], "");
    let counter = "gateway_events_total{event=\"caller_unknown\"} 300";
    assert!(metrics.expect("no response").text.contains(counter));
    let lines = fleet.log("one").matches("callers_unknown").count() as u64;
    assert!((1..=seconds + 2).contains(&lines), "{lines} lines in {seconds} s");
    assert!(!fleet.log("one").contains("request=r1"));
    assert_eq!(fleet.store.append_count(), 0);
}

// Guards against turns that another workspace reads, at any gateway; and against ids with odd
// characters that gateways don't find at each other while the store is away.
#[test]
fn turn_is_found_by_its_workspace_only_also_while_the_store_is_away() {
    let fleet = start_fleet("identity-turns");
    let first = fleet.start_gateway("one");
    let second = fleet.start_gateway("two");
    let a = send_turn(&first, "a?#/%", ODD_KEY, None);
    assert_eq!(a.status, 200, "{}", a.text);
    let foreign = send_turn(&second, "x", KEY, Some("a?#/%"));
    fleet.store.set_unavailable(true);
    thread::sleep(time::Duration::from_millis(600));
    let store = fleet.store.clone();
    let store_thread = thread::spawn(move || {
        thread::sleep(time::Duration::from_millis(1_500));
        store.set_unavailable(false);
        time::Instant::now()
    });

    let own = send_turn(&second, "b", ODD_KEY, Some("a?#/%"));
    let store_is_back_at = store_thread.join().expect("the thread panicked");

    assert_eq!((foreign.status, own.status), (404, 200), "{}", own.text);
    let requests = fleet.model.requests();
    assert_eq!(requests.len(), 2, "the foreign turn has not run");
    assert_eq!(requests[1].header("tenant"), Some(ODD_NAME));
    assert!(requests[1].received_at < store_is_back_at, "it was found at the other gateway");
}

// Guards against a process that takes a removed key for valid because it has just started.
#[test]
fn key_that_was_removed_while_a_gateway_was_down_is_refused_after_its_restart() {
    let fleet = start_fleet("identity-restart");
    let gateway = fleet.start_gateway("one");
    assert_eq!(call_with(&gateway, "r1", KEY), 200);
    drop(gateway);
    publish(&fleet, 5, &[("acme", "secret-key-new"), (ODD_NAME, ODD_KEY)]);

    let restarted = fleet.start_gateway("one");

    assert_eq!(call_with(&restarted, "r2", KEY), 401);
    assert_eq!(call_with(&restarted, "r3", "secret-key-new"), 200);
    assert_eq!(fleet.plain.requests().len(), 2);
}

// Guards against gateways that forget the keys when the store fails, that miss a removal during an
// outage, and that answer 401 before they know any key.
#[test]
fn key_that_is_removed_while_the_store_is_away_is_refused_when_it_is_back() {
    let fleet = start_fleet("identity-outage");
    let gateway = fleet.start_gateway("one");
    fleet.store.set_unavailable(true);
    let new = gateways::start(&small::program(), &fleet.folder, "two", fleet.store_address)
        .expect("started");
    // Reads that have begun before the outage end with what is published.
    thread::sleep(time::Duration::from_millis(600));
    publish(&fleet, 5, &[("acme", "secret-key-new")]);
    thread::sleep(time::Duration::from_millis(600));

    let during = call_with(&gateway, "r1", KEY);
    let before_configuration = call_with(&new, "r2", KEY);
    fleet.store.set_unavailable(false);

    assert_eq!((during, before_configuration), (200, 503));
    for gateway in [&gateway, &new] {
        assert!(wait_for_status(gateway, KEY, 401));
        assert!(wait_for_status(gateway, "secret-key-new", 200));
    }
}

// Guards against an unreadable list of workspaces that lets everybody in, or nobody.
#[test]
fn unreadable_workspaces_leave_the_previous_version_in_force() {
    let fleet = start_fleet("identity-unreadable");
    let gateway = fleet.start_gateway("one");
    let twice = [("acme", vec![KEY.to_owned(), KEY.to_owned()])];
    let configuration = platform::with_workspaces(&platform::configuration(5, 0), &twice);
    fleet.store.set("keyed.op", "config", &configuration);
    assert!(fleet.wait_until(|_| fleet.log("one").contains("configuration_invalid")));

    let statuses = [KEY, ODD_KEY, "secret-key-c"].map(|key| call_with(&gateway, "r1", key));

    assert_eq!(statuses, [200, 200, 401]);
    assert!(!fleet.log("one").contains(KEY_PREFIX));
}
