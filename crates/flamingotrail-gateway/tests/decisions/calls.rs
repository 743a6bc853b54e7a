//! Calls: what may be repeated, what callers are told, and which endpoints get work.

use crate::fixture;
use std::time;

use flamingotrail_gateway::ids;
use flamingotrail_gateway::input;
use flamingotrail_gateway::output;

#[test]
fn idempotent_call_goes_elsewhere_after_a_lost_answer() {
    let mut gateway = fixture::Gateway::new("one");
    gateway.receive(fixture::request(1, "a", "/look/1"));

    gateway.end_attempt(1, input::Outcome::Lost(input::Failure::Closed));

    assert_eq!(gateway.sent.len(), 2);
    assert_ne!(gateway.sent[0].endpoint, gateway.sent[1].endpoint);
}

#[test]
fn call_that_may_run_once_is_never_sent_again_after_a_lost_answer() {
    let mut gateway = fixture::Gateway::new("one");
    gateway.receive(fixture::request(1, "a", "/book/1"));

    gateway.end_attempt(1, input::Outcome::Lost(input::Failure::Closed));

    assert_eq!(gateway.sent.len(), 1);
    assert_eq!(gateway.refusal_reason(1), Some(output::Reason::Lost));
    assert!(gateway.refused[0].1.retry_after.is_none());
}

#[test]
fn call_that_may_run_once_goes_elsewhere_where_it_surely_did_not_run() {
    let mut gateway = fixture::Gateway::new("one");
    gateway.receive(fixture::request(1, "a", "/book/1"));

    gateway.end_attempt(1, input::Outcome::Refused { status: 503, load: None });
    gateway.end_attempt(1, input::Outcome::NotSent(input::Failure::Connect));

    assert_eq!(gateway.sent.len(), 2);
    assert_eq!(gateway.refusal_reason(1), Some(output::Reason::Unavailable));
}

#[test]
fn failure_of_an_endpoint_is_passed_on_for_a_call_that_may_run_once() {
    let mut gateway = fixture::Gateway::new("one");
    gateway.receive(fixture::request(1, "a", "/book/1"));

    gateway.end_attempt(1, fixture::answer_outcome(500));

    assert!(gateway.has_finished(1));
}

#[test]
fn late_call_that_was_sent_is_not_said_to_be_unsent() {
    let mut log = fixture::MemoryLog::default();
    let mut gateway = fixture::Gateway::new("one");
    gateway.receive(fixture::request(1, "a", "/book/1"));

    gateway.advance(time::Duration::from_secs(5), &mut log);

    assert_eq!(gateway.refusal_reason(1), Some(output::Reason::TimedOut));
    assert_eq!(gateway.cancelled, [ids::CallId(1)]);
}

#[test]
fn only_attempt_of_a_call_is_not_given_up_for_being_slow() {
    let mut log = fixture::MemoryLog::default();
    let mut gateway = fixture::Gateway::new("one");
    let mut set = fixture::configuration(2);
    set.routes[1].max_attempts = 1;
    gateway.tick(vec![input::Input::Configuration(Box::new(set))]);
    gateway.receive(fixture::request(1, "a", "/look/1"));

    gateway.advance(time::Duration::from_millis(3_900), &mut log);

    assert!(gateway.cancelled.is_empty());
}

#[test]
fn slow_attempt_of_an_idempotent_call_is_made_elsewhere() {
    let mut log = fixture::MemoryLog::default();
    let mut gateway = fixture::Gateway::new("one");
    gateway.receive(fixture::request(1, "a", "/look/1"));

    gateway.advance(time::Duration::from_millis(1_500), &mut log);
    gateway.end_attempt(1, input::Outcome::Cancelled);

    assert_eq!(gateway.cancelled, [ids::CallId(1)]);
    assert_eq!(gateway.sent.len(), 2);
    assert_ne!(gateway.sent[0].endpoint, gateway.sent[1].endpoint);
}

#[test]
fn caller_that_leaves_stops_the_endpoint() {
    let mut gateway = fixture::Gateway::new("one");
    gateway.receive(fixture::request(1, "a", "/look/1"));

    gateway.tick(vec![input::Input::Left(ids::CallId(1))]);

    assert_eq!(gateway.cancelled, [ids::CallId(1)]);
}

#[test]
fn draining_endpoint_gets_no_call() {
    let mut gateway = fixture::Gateway::new("one");
    let mut leaving = fixture::endpoint("ledger", "north-a");
    leaving.draining = true;
    let rows = [("ledger-1", leaving), ("ledger-2", fixture::endpoint("ledger", "south-a"))];
    gateway.tick(vec![input::Input::Endpoints(fixture::membership(&rows))]);

    gateway.receive(fixture::request(1, "a", "/book/1"));

    assert_eq!(gateway.sent[0].endpoint, ids::EndpointId::new("ledger-2"));
}

#[test]
fn endpoints_missing_after_an_outage_of_the_list_are_kept_for_a_while() {
    let mut log = fixture::MemoryLog::default();
    let mut gateway = fixture::Gateway::new("one");
    gateway.tick(vec![input::Input::ListUnreachable]);
    gateway.advance(time::Duration::from_secs(5), &mut log);
    gateway.tick(vec![input::Input::Endpoints(input::Membership::default())]);

    gateway.receive(fixture::request(1, "a", "/book/1"));
    gateway.end_attempt(1, fixture::answer_outcome(200));
    gateway.advance(time::Duration::from_secs(3), &mut log);
    gateway.receive(fixture::request(2, "b", "/book/1"));
    gateway.advance(time::Duration::from_secs(1), &mut log);

    assert_eq!(gateway.sent.len(), 1);
    assert_eq!(gateway.refusal_reason(2), Some(output::Reason::Unavailable));
}

#[test]
fn older_configuration_never_comes_back() {
    let mut gateway = fixture::Gateway::new("one");
    let mut newer = fixture::configuration(3);
    newer.routes.remove(2);
    let inputs = [newer, fixture::configuration(2)];
    gateway
        .tick(inputs.into_iter().map(|set| input::Input::Configuration(Box::new(set))).collect());

    gateway.receive(fixture::request(1, "a", "/book/1"));

    assert_eq!(gateway.refusal_reason(1), Some(output::Reason::NoRoute));
}

#[test]
fn gateway_without_a_configuration_does_not_deny_a_route() {
    let mut gateway = fixture::Gateway::unconfigured("one");

    gateway.receive(fixture::request(1, "a", "/book/1"));

    assert_eq!(gateway.refusal_reason(1), Some(output::Reason::Unavailable));
    assert_eq!(gateway.ready, None);
}

#[test]
fn longest_prefix_selects_the_route() {
    let mut gateway = fixture::Gateway::new("one");
    let mut set = fixture::configuration(2);
    set.routes.push(fixture::route("/book/far/", input::RouteKind::Once, "engine"));
    gateway.tick(vec![input::Input::Configuration(Box::new(set))]);

    gateway.receive(fixture::request(1, "a", "/book/far/1"));

    assert_eq!(gateway.sent[0].endpoint, ids::EndpointId::new("engine-1"));
}

#[test]
fn shutdown_finishes_what_runs() {
    let mut log = fixture::MemoryLog::default();
    let mut gateway = fixture::Gateway::new("one");
    gateway.receive(fixture::request(1, "a", "/book/1"));
    gateway.tick(vec![input::Input::Drain]);
    gateway.advance(time::Duration::from_millis(3_500), &mut log);
    let stopped_early = gateway.stopped;

    gateway.end_attempt(1, fixture::answer_outcome(200));
    gateway.tick(vec![input::Input::Delivered(ids::CallId(1))]);
    gateway.advance(time::Duration::from_millis(100), &mut log);

    assert_eq!(gateway.ready, Some(false));
    assert!(!stopped_early);
    assert!(gateway.stopped);
}

#[test]
fn refused_appends_slow_this_process_down() {
    let mut log = fixture::MemoryLog { error: Some(input::LogError::Busy), ..Default::default() };
    let mut gateway = fixture::Gateway::new("one");
    gateway.tick(vec![input::Input::Peers(
        (0..99).map(|n| fixture::peer(&format!("p{n}"), "south")).collect(),
    )]);
    for call in 0..200 {
        let id = format!("t{call}");
        gateway.receive(fixture::turn_request(call, &id, &format!("p{call}"), None, 8_000));
    }
    gateway.advance(time::Duration::from_millis(50), &mut log);
    log.error = None;
    let before = log.appends;

    gateway.advance(time::Duration::from_millis(500), &mut log);

    let appends = log.appends - before;
    assert!(appends <= 20, "an even share is 10 a second; {appends} in half a second");
}

#[test]
fn endpoint_that_fails_a_part_of_its_calls_is_passed_over() {
    let mut gateway = fixture::Gateway::new("one");
    gateway.receive(fixture::request(1, "a", "/book/1"));
    gateway.receive(fixture::request(2, "b", "/book/1"));
    let grey = gateway.sent[0].endpoint.clone();
    let calls: Vec<u64> = (1..=2)
        .filter(|call| {
            gateway.sent.iter().any(|sent| sent.call.0 == *call && sent.endpoint == grey)
        })
        .collect();
    gateway.end_attempt(calls[0], fixture::answer_outcome(500));

    gateway.receive(fixture::request(3, "c", "/book/1"));
    gateway.receive(fixture::request(4, "d", "/book/1"));

    let chosen: Vec<_> = gateway.sent.iter().filter(|sent| sent.call.0 >= 3).collect();
    assert!(chosen.iter().all(|sent| sent.endpoint != grey));
}
