//! Keys that are removed or given to another workspace while calls wait or run.

use std::collections;
use std::time;

use crate::fixture;
use flamingotrail_gateway::ids;
use flamingotrail_gateway::input;
use flamingotrail_gateway::output;

const KEYS: &[(&str, &str)] = &[("key-a", "acme"), ("key-b", "bolt"), ("key-s", "acme")];
const BUDGET: u64 = 240;

fn gateway() -> fixture::Gateway {
    let mut gateway = fixture::Gateway::new("one");
    gateway.configure(fixture::configuration_with_keys(2, KEYS));
    gateway
}

/// The configurations in which `key-a` is no longer one of `acme`.
fn configurations_without_the_key() -> [input::Configuration; 3] {
    let without = fixture::configuration_with_keys(3, &[("key-b", "bolt"), ("key-s", "acme")]);
    let moved = fixture::configuration_with_keys(3, &[("key-a", "bolt"), ("key-s", "acme")]);
    [without, moved, fixture::configuration(3)]
}

fn refused() -> input::Outcome {
    input::Outcome::Refused { status: 503, load: None }
}

fn unsent() -> input::Outcome {
    input::Outcome::NotSent(input::Failure::Connect)
}

/// Lets call 1 of `acme` wait for the log: for the turn that it continues, or for its budget.
fn receive_turn_that_waits(gateway: &mut fixture::Gateway, previous: Option<&str>) {
    let mut request = fixture::turn_request(1, "t1", "p", previous, BUDGET);
    if previous.is_none() {
        // Only a part of the budget is left for this gateway until the log has decided.
        let first = fixture::turn_request(9, "t9", "p", None, BUDGET);
        gateway.receive(fixture::with_key("key-a", first));
        request.usage = Some(input::Usage { prompt: 1, max_output: BUDGET });
    }
    gateway.receive(fixture::with_key("key-a", request));
    assert!(!gateway.has_sent(1) && gateway.refusal_reason(1).is_none());
}

// Guards against calls that run after their key was removed because they waited for the log.
#[test]
fn call_that_waits_for_the_log_is_refused_when_its_key_is_removed() {
    for configuration in configurations_without_the_key() {
        for previous in [Some("t0"), None] {
            let mut log = fixture::MemoryLog::default();
            log.push(fixture::end_record("acme/t0", None));
            let mut gateway = gateway();
            receive_turn_that_waits(&mut gateway, previous);

            gateway.configure(configuration.clone());
            gateway.advance(time::Duration::from_secs(1), &mut log);

            assert_eq!(gateway.refusal_reason(1), Some(output::Reason::Unauthorized));
            assert!(!gateway.has_sent(1));
        }
    }
}

// Guards against calls that run after their key was removed because endpoints had a limit.
#[test]
fn call_that_waits_for_a_limit_is_refused_when_its_key_is_removed() {
    let mut log = fixture::MemoryLog::default();
    let mut gateway = gateway();
    let only = fixture::membership(&[("ledger-1", fixture::endpoint("ledger", "north-a"))]);
    let own = collections::BTreeMap::from([fixture::peer("one", "north")]);
    gateway.tick(vec![input::Input::Endpoints(only), input::Input::Peers(own)]);
    gateway.receive(fixture::with_key("key-b", fixture::request(8, "r8", "/look/1")));
    gateway.begin_response(8, fixture::limit_notice(Some(12.0)));
    let waiting = [("key-a", 100), ("key-s", 200)]
        .map(|(key, from)| receive_until_one_waits(&mut gateway, key, from));

    gateway.configure(configurations_without_the_key()[0].clone());
    gateway.advance(time::Duration::from_secs(1), &mut log);

    assert_eq!(gateway.refusal_reason(waiting[0]), Some(output::Reason::Unauthorized));
    assert!(gateway.has_sent(waiting[1]), "the workspace's other key is valid");
}

/// Receives calls of `key`, numbered from `from`, until one of them waits; returns its number.
fn receive_until_one_waits(gateway: &mut fixture::Gateway, key: &str, from: u64) -> u64 {
    let waiting = (from..from + 20).find(|call| {
        let request = fixture::request(*call, &format!("r{call}"), "/look/1");
        gateway.receive(fixture::with_key(key, request));
        !gateway.has_sent(*call) && gateway.refusal_reason(*call).is_none()
    });
    waiting.expect("the endpoint has a limit")
}

// Guards against a retry that runs a call whose key was removed while its first attempt was refused.
#[test]
fn call_that_has_not_run_is_not_retried_after_its_key_was_removed() {
    for configuration in configurations_without_the_key() {
        for outcome in [refused(), unsent()] {
            let mut gateway = gateway();
            gateway.receive(fixture::with_key("key-a", fixture::request(1, "r1", "/book/1")));
            gateway.configure(configuration.clone());
            assert_eq!(gateway.refusal_reason(1), None, "sent calls go on");

            gateway.end_attempt(1, outcome);

            assert_eq!(gateway.refusal_reason(1), Some(output::Reason::Unauthorized));
            assert_eq!(gateway.sent.len(), 1);
        }
    }
}

// Guards against calls that have run and whose callers lose the response, or the rest of it.
#[test]
fn call_that_was_sent_goes_on_after_its_key_was_removed() {
    let mut gateway = gateway();
    for call in 1..=2 {
        let request = fixture::request(call, &format!("r{call}"), "/look/1");
        gateway.receive(fixture::with_key("key-a", request));
    }
    gateway.configure(configurations_without_the_key()[0].clone());

    gateway.end_attempt(1, fixture::response_outcome(200));
    gateway.end_attempt(2, input::Outcome::Lost(input::Failure::Closed));

    assert!(gateway.has_finished(1));
    let retried = gateway.sent.last().expect("sent");
    assert_eq!((retried.call, retried.attempt), (ids::CallId(2), 2), "it may have run");
    assert_eq!(retried.workspace, Some(ids::WorkspaceName::new("acme")));
}

// Guards against a turn that has run and whose end never comes, since its key was removed meanwhile.
#[test]
fn turn_that_waits_for_its_record_ends_after_its_key_was_removed() {
    let mut log = fixture::MemoryLog::default();
    let mut gateway = gateway();
    let request = fixture::turn_request(1, "t1", "p", None, BUDGET);
    gateway.receive(fixture::with_key("key-a", request));
    gateway.end_attempt(1, fixture::stream_outcome(10));

    gateway.configure(configurations_without_the_key()[0].clone());
    gateway.complete_log_calls(&mut log);

    assert!(gateway.has_finished(1));
}

// Guards against a key that is valid again because an older version arrives late.
#[test]
fn older_version_does_not_bring_a_key_back() {
    let mut gateway = gateway();
    gateway.configure(configurations_without_the_key()[0].clone());

    gateway.configure(fixture::configuration_with_keys(2, KEYS));
    gateway.receive(fixture::with_key("key-a", fixture::request(1, "r1", "/look/1")));

    assert_eq!(gateway.refusal_reason(1), Some(output::Reason::Unauthorized));
}

// Guards against waiting calls whose ids are in no workspace, when there are workspaces from now on:
// they could name turns of one.
#[test]
fn waiting_call_of_the_time_before_workspaces_has_to_come_again() {
    let mut log = fixture::MemoryLog::default();
    log.push(fixture::end_record("acme/t0", None));
    let mut gateway = fixture::Gateway::new("one");
    let request = fixture::turn_request(1, "t1", "p", Some("acme/t0"), BUDGET);
    gateway.receive(fixture::with_key("key-a", request));

    gateway.configure(fixture::configuration_with_keys(2, KEYS));
    gateway.complete_log_calls(&mut log);

    assert!(!gateway.has_sent(1));
    let (_, refusal) = gateway.refused[0];
    assert_eq!(refusal.reason, output::Reason::Unavailable);
    assert!(refusal.retry_after.is_some());
}

// Guards against a key that a retry shows to an endpoint, since there are no workspaces any more.
#[test]
fn key_stays_hidden_after_the_workspaces_were_removed() {
    let mut gateway = gateway();
    gateway.receive(fixture::with_key("key-a", fixture::request(1, "r1", "/look/1")));
    gateway.configure(fixture::configuration(3));

    gateway.end_attempt(1, input::Outcome::Lost(input::Failure::Closed));

    assert_eq!(gateway.sent.len(), 2);
    assert!(gateway.sent[1].hides_credentials);
}
