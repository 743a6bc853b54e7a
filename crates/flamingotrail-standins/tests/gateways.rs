//! End-to-end tests of gateway processes between callers, runners and the platform's store, all on
//! loopback. Their results don't depend on timing.

use std::thread;
use std::time;

use flamingotrail_standins::fleet::caller;
use flamingotrail_standins::fleet::gateways;
use flamingotrail_standins::fleet::runner;
use flamingotrail_standins::fleet::small;

/// Topic in which gateways list themselves.
const GATEWAY_TOPIC: &str = "keyed.gateways";

/// Memory of the users' smallest machines for gateways, in kilobytes.
const MAX_GATEWAY_KB: u64 = 88_000;

fn start_fleet(name: &str) -> small::Fleet {
    small::start(name).expect("no free port")
}

fn send_turn(
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
    caller::call(gateway.caller_address, "POST", "/chat/1", &headers, &body).expect("no response")
}

fn call_tool(gateway: &gateways::Gateway, method: &str, path: &str, id: &str) -> caller::Response {
    let headers = [("Request-Id", id), ("Deadline-Ms", "3000")];
    caller::call(gateway.caller_address, method, path, &headers, "").expect("no response")
}

#[test]
fn chain_goes_on_at_another_gateway_after_the_first_was_killed() {
    let fleet = start_fleet("chain");
    let first = fleet.start_gateway("one");
    let second = fleet.start_gateway("two");

    let a = send_turn(&first, "a", None, "8000");
    drop(first);
    let b = send_turn(&second, "b", Some("a"), "8000");
    let c = send_turn(&second, "c", Some("b"), "8000");

    assert_eq!((a.status, b.status, c.status), (200, 200, 200), "{} {} {}", a.text, b.text, c.text);
    assert!(a.is_complete() && b.is_complete() && c.is_complete());
    let output = "w1\nw2\nw3\n";
    assert_eq!(fleet.model.bodies()[2], format!("in a;{output}in b;{output}in c;"));
}

#[test]
fn headers_of_the_system_are_not_taken_from_callers() {
    let fleet = start_fleet("headers");
    let gateway = fleet.start_gateway("one");

    send_turn(&gateway, "a", None, "8000");

    let request = fleet.model.requests().remove(0);
    assert_eq!(request.header("pin-ms"), None);
    assert_eq!(request.header("target-instance"), Some("m-1"));
    let time_left: u64 =
        request.header("deadline-ms").and_then(|t| t.parse().ok()).expect("no valid deadline");
    assert!(time_left <= 5_000);
}

#[test]
fn budget_is_spent_over_two_gateways() {
    let fleet = start_fleet("budget");
    let first = fleet.start_gateway("one");
    let second = fleet.start_gateway("two");

    let a = send_turn(&first, "a", None, "48");
    let b = send_turn(&second, "b", Some("a"), "48");
    // Each of the first two turns has used 24 tokens, which exhausts the budget of 48.
    let c = send_turn(&first, "c", Some("b"), "48");

    assert_eq!((a.status, b.status, c.status), (200, 200, 402), "{}", c.text);
    assert_eq!(fleet.model.bodies().len(), 2);
}

#[test]
fn unknown_previous_turn_is_rejected() {
    let fleet = start_fleet("missing");
    let gateway = fleet.start_gateway("one");

    let response = send_turn(&gateway, "b", Some("nowhere"), "8000");

    assert_eq!(response.status, 404);
    assert!(fleet.model.bodies().is_empty());
}

#[test]
fn end_of_a_turn_waits_for_the_store() {
    let fleet = start_fleet("outage");
    let gateway = fleet.start_gateway("one");
    fleet.store.set_unavailable(true);
    let store = fleet.store.clone();
    let store_thread = thread::spawn(move || {
        thread::sleep(time::Duration::from_millis(1_200));
        store.set_unavailable(false);
    });

    let response = send_turn(&gateway, "a", None, "8000");
    let has_ended_early = !store_thread.is_finished();
    store_thread.join().expect("the thread panicked");

    assert!(response.status == 200 && response.is_complete(), "{}", response.text);
    assert!(!has_ended_early, "the response ended while the store was unavailable");
    assert!(fleet.store.append_count() >= 2);
}

#[test]
fn append_without_a_response_does_not_lose_the_turn() {
    let fleet = start_fleet("lost-append");
    let gateway = fleet.start_gateway("one");
    fleet.store.set_drop_responses(true);
    let store = fleet.store.clone();
    let store_thread = thread::spawn(move || {
        thread::sleep(time::Duration::from_millis(500));
        store.set_drop_responses(false);
    });

    let a = send_turn(&gateway, "a", None, "8000");
    store_thread.join().expect("the thread panicked");
    let b = send_turn(&gateway, "b", Some("a"), "8000");

    assert_eq!((a.status, b.status), (200, 200), "{} {}", a.text, b.text);
}

#[test]
fn stale_answer_on_a_kept_connection_reaches_nobody() {
    let fleet = start_fleet("stale");
    let gateway = fleet.start_gateway("one");
    fleet.plain.set_duplicate_responses(true);

    let responses: Vec<_> =
        (0..4).map(|number| call_tool(&gateway, "GET", "/look/1", &format!("r{number}"))).collect();

    for (number, response) in responses.iter().enumerate() {
        assert_eq!(response.status, 200);
        assert!(response.text.ends_with(&format!("done r{number}")), "{}", response.text);
    }
}

#[test]
fn call_that_may_run_once_is_not_retried_or_reported_as_not_sent() {
    let fleet = start_fleet("once");
    let gateway = fleet.start_gateway("one");
    fleet.plain.set_drop_responses(true);

    let response = call_tool(&gateway, "POST", "/book/1", "b1");

    assert_eq!(response.status, 502);
    assert_eq!(fleet.plain.bodies().len(), 1);
}

#[test]
fn ambiguous_framing_is_rejected_and_the_gateway_keeps_running() {
    let fleet = start_fleet("framing");
    let gateway = fleet.start_gateway("one");
    let headers = [("Request-Id", "x"), ("Transfer-Encoding", "chunked")];

    let bad = caller::call(gateway.caller_address, "POST", "/book/1", &headers, "0\r\n\r\n");
    let good = call_tool(&gateway, "GET", "/look/1", "r1");

    assert_eq!(bad.expect("no response").status, 400);
    assert_eq!(good.status, 200);
    assert_eq!(fleet.plain.bodies().len(), 1);
}

#[test]
fn metrics_count_responses_and_log_calls() {
    let fleet = start_fleet("metrics");
    let gateway = fleet.start_gateway("one");
    send_turn(&gateway, "a", None, "8000");

    let response =
        caller::call(gateway.metrics_address, "GET", "/metrics", &[], "").expect("no response");

    assert!(response.text.contains("flamingotrail_gateway_answers_total{status=\"200\"} 1"));
    assert!(response.text.contains("kind=\"append\",outcome=\"done\"} 2"), "{}", response.text);
}

fn send_stream(
    gateway: &gateways::Gateway,
    path: &str,
    id: &str,
    resume_after: Option<&str>,
) -> caller::Response {
    let mut headers = vec![
        ("Request-Id", id),
        ("Program-Id", "p1"),
        ("Token-Budget", "8000"),
        ("Token-Usage", "100,24"),
        ("Deadline-Ms", "5000"),
    ];
    headers.extend(resume_after.map(|event| ("Last-Event-Id", event)));
    caller::call(gateway.caller_address, "POST", path, &headers, "in;").expect("no response")
}

/// Ids of the events of a response.
fn event_ids(response: &caller::Response) -> Vec<&str> {
    response.text.lines().filter_map(|line| line.strip_prefix("id: ")).collect()
}

// Guards against a resumed stream that begins again: its caller would get events twice.
#[test]
fn caller_resumes_a_stream_at_another_gateway() {
    let fleet = start_fleet("resume");
    let first = fleet.start_gateway("one");
    let second = fleet.start_gateway("two");

    let a = send_stream(&first, "/resume/1", "a", None);
    let b = send_stream(&second, "/resume/1", "b", Some("2"));
    let elsewhere = send_stream(&second, "/ask/1", "c", Some("2"));
    let invalid = send_stream(&second, "/resume/1", "d", Some("two"));
    let beyond = send_stream(&second, "/resume/1", "e", Some("9"));

    assert_eq!(event_ids(&a), ["1", "2", "3"]);
    assert_eq!(event_ids(&b), ["3"], "{}", b.text);
    assert_eq!(event_ids(&elsewhere), ["1", "2", "3"], "the route can't be resumed");
    assert_eq!(invalid.status, 400);
    assert!(beyond.is_complete() && event_ids(&beyond).is_empty(), "{}", beyond.text);
}

// Guards against a continued stream that repeats events, joins parts of them, or mixes the heads of
// two responses.
#[test]
fn stream_that_breaks_within_an_event_continues_in_the_same_response() {
    let fleet = start_fleet("broken-stream");
    let gateway = fleet.start_gateway("one");

    fleet.model.break_next_stream(1);
    let resumed = send_stream(&gateway, "/resume/1", "a", None);
    fleet.model.break_next_stream(1);
    let cut = send_stream(&gateway, "/ask/1", "b", None);

    assert!(resumed.is_complete(), "{}", resumed.text);
    assert_eq!(event_ids(&resumed), ["1", "2", "3"]);
    assert_eq!(resumed.text.to_lowercase().matches("response-signature").count(), 1);
    assert!(!cut.is_complete(), "{}", cut.text);
    assert_eq!(event_ids(&cut), ["1"]);
    let sent: Vec<_> = fleet.model.requests();
    assert_eq!(sent.iter().filter(|r| r.header("request-id") == Some("b")).count(), 1);
}

#[test]
fn budget_without_history_is_spent_over_two_gateways() {
    let fleet = start_fleet("budget-ask");
    let first = fleet.start_gateway("one");
    let second = fleet.start_gateway("two");
    let send = |gateway: &gateways::Gateway, id: &str| {
        let headers = [
            ("Request-Id", id),
            ("Program-Id", "p1"),
            ("Token-Budget", "48"),
            ("Token-Usage", "100,24"),
            ("Deadline-Ms", "5000"),
        ];
        caller::call(gateway.caller_address, "POST", "/ask/1", &headers, "in;")
            .expect("no response")
            .status
    };

    let statuses = [send(&first, "a"), send(&second, "b"), send(&first, "c")];

    assert_eq!(statuses, [200, 200, 402]);
}

// Guards against a runner that sends bytes without end, and so fills the memory of a gateway or
// holds a caller until its deadline.
#[test]
fn endless_response_of_a_plain_runner_is_cut_off() {
    let kinds = [
        runner::Endless::Header,
        runner::Endless::InterimResponses,
        runner::Endless::Body,
        runner::Endless::Chunks,
        runner::Endless::Trailer,
        runner::Endless::Refusal,
    ];
    let fleet = start_fleet("endless");
    let gateway = fleet.start_gateway("one");
    for kind in kinds {
        fleet.plain.set_endless(Some(kind));

        let start = time::Instant::now();
        let response = call_tool(&gateway, "POST", "/book/1", &format!("{kind:?}"));

        let status = if kind == runner::Endless::Refusal { 503 } else { 502 };
        assert_eq!(response.status, status, "{kind:?}: {}", response.text);
        assert!(start.elapsed() < time::Duration::from_millis(2_500), "{kind:?}");
    }
    let peak_kb = gateway.peak_memory_kb().expect("running");
    assert!(peak_kb < MAX_GATEWAY_KB, "{peak_kb} kB");
}

#[test]
fn endless_response_of_a_model_runner_is_cut_off() {
    let fleet = start_fleet("endless-stream");
    let gateway = fleet.start_gateway("one");
    for kind in [runner::Endless::Event, runner::Endless::Events] {
        fleet.model.set_endless(Some(kind));

        let start = time::Instant::now();
        let response = send_turn(&gateway, &format!("{kind:?}"), None, "8000");

        assert!(!response.is_complete(), "{kind:?}");
        // A turn of 24 tokens has three events of 8 tokens, and one may begin with them.
        assert!(response.text.matches("data: w").count() <= 4, "{kind:?}");
        assert!(start.elapsed() < time::Duration::from_millis(2_500), "{kind:?}");
    }
    let peak_kb = gateway.peak_memory_kb().expect("running");
    assert!(peak_kb < MAX_GATEWAY_KB, "{peak_kb} kB");
}

// Guards against several endless responses at once that together take more memory than a machine
// has, or that take it from other calls.
#[test]
fn endless_responses_at_once_leave_room_for_other_calls() {
    let fleet = start_fleet("endless-many");
    let gateway = fleet.start_gateway("one");
    fleet.plain.set_endless(Some(runner::Endless::Chunks));

    let (tools, turns) = thread::scope(|scope| {
        let gateway = &gateway;
        let tools: Vec<_> = (0..40)
            .map(|n| scope.spawn(move || call_tool(gateway, "POST", "/book/1", &format!("b{n}"))))
            .collect();
        let turns: Vec<_> = (0..4)
            .map(|n| scope.spawn(move || send_turn(gateway, &format!("t{n}"), None, "8000")))
            .collect();
        let join = |threads: Vec<thread::ScopedJoinHandle<'_, caller::Response>>| {
            threads.into_iter().map(|t| t.join().expect("no panic").status).collect::<Vec<_>>()
        };
        (join(tools), join(turns))
    });

    assert!(tools.iter().all(|status| matches!(status, 502 | 503)), "{tools:?}");
    assert_eq!(turns, [200; 4]);
    let peak_kb = gateway.peak_memory_kb().expect("running");
    assert!(peak_kb < MAX_GATEWAY_KB, "{peak_kb} kB");
}

// Guards against gateways that learn of a limit only from their own requests.
#[test]
fn limit_named_to_one_gateway_is_told_to_running_and_new_ones() {
    let fleet = start_fleet("limit");
    let first = fleet.start_gateway("one");
    let _second = fleet.start_gateway("two");
    let knows_peer = |name: &str| fleet.log(name).contains("event=peers_changed count=1");
    assert!(fleet.wait_until(|_| knows_peer("one") && knows_peer("two")));
    fleet.plain.set_limit(Some(5.0));

    let response = call_tool(&first, "GET", "/look/1", "r1");
    let knows_limit = |name: &str| fleet.log(name).contains("endpoint=p-1 per_s=5.000 before=none");
    let is_told = fleet.wait_until(|_| knows_limit("two"));
    let _third = fleet.start_gateway("three");
    let has_asked = fleet.wait_until(|_| knows_limit("three"));

    assert!(response.text.contains("server-limit: 5"), "{}", response.text);
    assert!(is_told, "{}", fleet.log("two"));
    assert!(has_asked, "{}", fleet.log("three"));
}

// Guards against a runner that gets no requests for ever once it has said that it leaves.
#[test]
fn runner_that_no_longer_leaves_is_used_again() {
    let fleet = start_fleet("leaving");
    let gateway = fleet.start_gateway("one");
    fleet.plain.set_leaving(true);
    let told = call_tool(&gateway, "GET", "/look/1", "r1");
    let refused = call_tool(&gateway, "GET", "/look/1", "r2");

    fleet.plain.set_leaving(false);
    let is_noticed = fleet.wait_until(|_| fleet.log("one").contains("leaving=false request=check"));
    let served = call_tool(&gateway, "GET", "/look/1", "r3");

    assert_eq!((told.status, refused.status, served.status), (200, 503, 200));
    assert!(is_noticed, "{}", fleet.log("one"));
}

// Guards against gateways that have stopped and keep their share of what all gateways divide, and
// against running ones that lose theirs with their entry.
#[test]
fn entry_of_a_gateway_is_restored_while_it_runs_and_removed_when_it_stops() {
    let fleet = start_fleet("entry");
    let mut gateway = fleet.start_gateway("one");

    fleet.store.set(GATEWAY_TOPIC, "one", "");
    let is_restored = fleet.wait_until(|store| store.contains(GATEWAY_TOPIC, "one"));
    gateway.signal(rustix::process::Signal::TERM);
    let code = gateway.wait_for_exit();

    assert!(is_restored);
    assert_eq!(code, Some(0));
    assert!(!fleet.store.contains(GATEWAY_TOPIC, "one"));
}

#[test]
fn signals_reload_and_drain() {
    let fleet = start_fleet("signals");
    let mut gateway = fleet.start_gateway("one");

    gateway.signal(rustix::process::Signal::HUP);
    let response = call_tool(&gateway, "GET", "/look/1", "r1");
    let is_running = gateway.is_running();
    gateway.signal(rustix::process::Signal::TERM);
    let response_while_draining = call_tool(&gateway, "GET", "/look/1", "r2");
    let code = gateway.wait_for_exit();

    assert_eq!((response.status, response_while_draining.status), (200, 200));
    assert!(is_running);
    assert_eq!(code, Some(0));
}
