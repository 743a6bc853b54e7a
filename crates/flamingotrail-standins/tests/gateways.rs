//! The whole path on the users' platform: real gateways between callers and runners, over the
//! platform's store, all on loopback. Verdicts don't depend on timing.

use std::path;
use std::thread;
use std::time;

use flamingotrail_standins::fleet::caller;
use flamingotrail_standins::fleet::gateways;
use flamingotrail_standins::fleet::platform;
use flamingotrail_standins::fleet::runner;
use flamingotrail_standins::fleet::store;

/// Events of each answer of the model runner; each has 8 tokens.
const EVENTS: usize = 3;

struct Fleet {
    store: store::Store,
    address: std::net::SocketAddr,
    model: runner::Runner,
    plain: runner::Runner,
    folder: path::PathBuf,
}

fn fleet(name: &str) -> Fleet {
    let store = store::Store::new();
    let address = store.serve().expect("a free port");
    let (model, plain) = (runner::Runner::new(), runner::Runner::new());
    let model_at = model.serve_model(EVENTS).expect("a free port");
    let plain_at = plain.serve_plain().expect("a free port");
    store.set("keyed.op", "config", &platform::configuration(3, 0));
    store.set("keyed.servers", "m-1", &platform::runner_entry("model", model_at));
    store.set("keyed.servers", "p-1", &platform::runner_entry("plain", plain_at));
    store.set("keyed.servers", "foreign", "{\"service\":7}");
    let folder = std::env::temp_dir().join(format!("flamingotrail-{name}-{}", std::process::id()));
    Fleet { store, address, model, plain, folder }
}

impl Fleet {
    fn start(&self, name: &str) -> gateways::Gateway {
        let program =
            path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../target/release/flamingotraild");
        let gateway = gateways::start(&program, &self.folder, name, self.address);
        let gateway = gateway.expect("the gateway starts; scripts/test builds the programs");
        assert!(gateway.wait_until_ready(), "the gateway takes callers");
        gateway
    }
}

fn turn(
    gateway: &gateways::Gateway,
    id: &str,
    previous: Option<&str>,
    budget: &str,
) -> caller::Response {
    let mut headers = vec![
        ("Request-Id", id),
        ("Program-Id", "p1"),
        ("Session-Id", "s1"),
        ("Token-Budget", budget),
        ("Token-Usage", "100,24"),
        ("Deadline-Ms", "5000"),
        ("Pin-Ms", "4000"),
    ];
    headers.extend(previous.map(|previous| ("Previous-Turn", previous)));
    let body = format!("in {id};");
    caller::call(gateway.caller_address, "POST", "/chat/1", &headers, &body).expect("an answer")
}

fn tool(gateway: &gateways::Gateway, method: &str, path: &str, id: &str) -> caller::Response {
    let headers = [("Request-Id", id), ("Deadline-Ms", "3000")];
    caller::call(gateway.caller_address, method, path, &headers, "").expect("an answer")
}

#[test]
fn chain_goes_on_at_another_gateway_after_the_first_was_killed() {
    let fleet = fleet("chain");
    let first = fleet.start("one");
    let second = fleet.start("two");

    let a = turn(&first, "a", None, "8000");
    drop(first);
    let b = turn(&second, "b", Some("a"), "8000");
    let c = turn(&second, "c", Some("b"), "8000");

    assert_eq!((a.status, b.status, c.status), (200, 200, 200), "{} {} {}", a.text, b.text, c.text);
    assert!(a.is_complete() && b.is_complete() && c.is_complete());
    let out = "w1\nw2\nw3\n";
    assert_eq!(fleet.model.bodies()[2], format!("in a;{out}in b;{out}in c;"));
}

#[test]
fn headers_of_the_system_are_not_taken_from_callers() {
    let fleet = fleet("headers");
    let gateway = fleet.start("one");

    turn(&gateway, "a", None, "8000");

    let request = fleet.model.requests().remove(0);
    assert_eq!(request.header("pin-ms"), None);
    assert_eq!(request.header("target-instance"), Some("m-1"));
    let left: u64 = request.header("deadline-ms").and_then(|t| t.parse().ok()).expect("a deadline");
    assert!(left <= 5_000);
}

#[test]
fn budget_is_spent_over_two_gateways() {
    let fleet = fleet("budget");
    let first = fleet.start("one");
    let second = fleet.start("two");

    let a = turn(&first, "a", None, "48");
    let b = turn(&second, "b", Some("a"), "48");
    // Each of the two has used all 24 tokens of its turn.
    let c = turn(&first, "c", Some("b"), "48");

    assert_eq!((a.status, b.status, c.status), (200, 200, 402), "{}", c.text);
    assert_eq!(fleet.model.bodies().len(), 2);
}

#[test]
fn turn_that_does_not_exist_is_told_so() {
    let fleet = fleet("missing");
    let gateway = fleet.start("one");

    let answer = turn(&gateway, "b", Some("nowhere"), "8000");

    assert_eq!(answer.status, 404);
    assert!(fleet.model.bodies().is_empty());
}

#[test]
fn end_of_a_turn_waits_for_the_store() {
    let fleet = fleet("outage");
    let gateway = fleet.start("one");
    fleet.store.set_unavailable(true);
    let store = fleet.store.clone();
    let back = thread::spawn(move || {
        thread::sleep(time::Duration::from_millis(1_200));
        store.set_unavailable(false);
    });

    let answer = turn(&gateway, "a", None, "8000");
    let was_back = !back.is_finished();
    back.join().expect("no panic");

    assert!(answer.status == 200 && answer.is_complete(), "{}", answer.text);
    assert!(!was_back, "the answer ended while the store was away");
    assert!(fleet.store.append_count() >= 2);
}

#[test]
fn append_without_an_answer_does_not_lose_the_turn() {
    let fleet = fleet("lost-append");
    let gateway = fleet.start("one");
    fleet.store.set_drop_responses(true);
    let store = fleet.store.clone();
    let mended = thread::spawn(move || {
        thread::sleep(time::Duration::from_millis(500));
        store.set_drop_responses(false);
    });

    let a = turn(&gateway, "a", None, "8000");
    mended.join().expect("no panic");
    let b = turn(&gateway, "b", Some("a"), "8000");

    assert_eq!((a.status, b.status), (200, 200), "{} {}", a.text, b.text);
}

#[test]
fn stale_answer_on_a_kept_connection_reaches_nobody() {
    let fleet = fleet("stale");
    let gateway = fleet.start("one");
    fleet.plain.set_duplicate_responses(true);

    let answers: Vec<_> =
        (0..4).map(|n| tool(&gateway, "GET", "/look/1", &format!("r{n}"))).collect();

    for (number, answer) in answers.iter().enumerate() {
        assert_eq!(answer.status, 200);
        assert!(answer.text.ends_with(&format!("done r{number}")), "{}", answer.text);
    }
}

#[test]
fn call_that_may_run_once_is_not_repeated_nor_said_to_be_unsent() {
    let fleet = fleet("once");
    let gateway = fleet.start("one");
    fleet.plain.set_drop_responses(true);

    let answer = tool(&gateway, "POST", "/book/1", "b1");

    assert_eq!(answer.status, 502);
    assert_eq!(fleet.plain.bodies().len(), 1);
}

#[test]
fn ambiguous_framing_is_rejected_and_the_process_goes_on() {
    let fleet = fleet("framing");
    let gateway = fleet.start("one");
    let headers = [("Request-Id", "x"), ("Transfer-Encoding", "chunked")];

    let bad = caller::call(gateway.caller_address, "POST", "/book/1", &headers, "0\r\n\r\n");
    let good = tool(&gateway, "GET", "/look/1", "r1");

    assert_eq!(bad.expect("an answer").status, 400);
    assert_eq!(good.status, 200);
    assert_eq!(fleet.plain.bodies().len(), 1);
}

#[test]
fn metrics_count_answers_and_calls_to_the_log() {
    let fleet = fleet("metrics");
    let gateway = fleet.start("one");
    turn(&gateway, "a", None, "8000");

    let answer =
        caller::call(gateway.metrics_address, "GET", "/metrics", &[], "").expect("an answer");

    assert!(answer.text.contains("flamingotrail_gateway_answers_total{status=\"200\"} 1"));
    assert!(answer.text.contains("kind=\"append\",outcome=\"done\"} 2"), "{}", answer.text);
}

#[test]
fn signals_reload_and_drain() {
    let fleet = fleet("signals");
    let mut gateway = fleet.start("one");

    gateway.signal(rustix::process::Signal::HUP);
    let answer = tool(&gateway, "GET", "/look/1", "r1");
    let ran_on = gateway.is_running();
    gateway.signal(rustix::process::Signal::TERM);
    let during = tool(&gateway, "GET", "/look/1", "r2");
    let code = gateway.wait_for_exit();

    assert_eq!((answer.status, during.status), (200, 200));
    assert!(ran_on);
    assert_eq!(code, Some(0));
}
