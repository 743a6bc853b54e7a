//! Placement: which endpoint a turn or call is sent to.

use std::time;

use crate::fixture;

use flamingotrail_gateway::ids;
use flamingotrail_gateway::input;

/// Number of concurrent requests of an engine in these tests.
const SLOTS: u32 = 16;

fn engines(names: &[&str]) -> input::Input {
    let mut engine = fixture::endpoint("engine", "north-a");
    engine.slots = SLOTS;
    let rows: Vec<_> = names.iter().map(|name| (*name, engine.clone())).collect();
    input::Input::Endpoints(fixture::membership(&rows))
}

/// Returns the request of a turn whose prompt has `earlier_tokens` tokens of earlier turns.
fn turn_after(call: u64, id: &str, previous: Option<&str>, earlier_tokens: u64) -> input::Arrival {
    const NEW_INPUT: input::PromptPart = input::PromptPart { id: 9, tokens: 100 };
    let mut request = fixture::turn_request(call, id, "p", previous, 10_000);
    request.usage =
        Some(input::Usage { prompt: earlier_tokens + NEW_INPUT.tokens, max_output: 80 });
    request.prompt = vec![input::PromptPart { id: 1, tokens: earlier_tokens }, NEW_INPUT];
    request
}

/// Returns the outcome of a stream whose engine reports `running` requests.
fn stream_outcome_under_load(running: u32) -> input::Outcome {
    let load = Some(input::Load { running, waiting: 0, slots: SLOTS, slowdown_percent: None });
    let output = bytes::Bytes::from_static(b"word\n");
    input::Outcome::Streamed { complete: true, events: 1, last_event: Some(1), output, load }
}

/// Returns a gateway with two engines, one of which has run a turn and reports ten running
/// requests.
fn gateway_after_a_turn(log: &mut fixture::MemoryLog) -> fixture::Gateway {
    let mut gateway = fixture::Gateway::new("one");
    gateway.tick(vec![engines(&["engine-1", "engine-2"])]);
    gateway.receive(turn_after(1, "t1", None, 2_000));
    gateway.complete_log_calls(log);
    gateway.end_attempt(1, stream_outcome_under_load(10));
    gateway.complete_log_calls(log);
    gateway
}

#[test]
fn turn_goes_to_the_engine_that_ran_its_previous_turn_for_another_gateway() {
    let mut log = fixture::MemoryLog::default();
    let mut one = fixture::Gateway::new("one");
    let mut two = fixture::Gateway::new("two");
    one.tick(vec![engines(&["engine-2"])]);
    two.tick(vec![engines(&["engine-1", "engine-2"])]);
    one.run_turn(turn_after(1, "t1", None, 2_000), 1, &mut log);

    two.receive(turn_after(1, "t2", Some("t1"), 2_000));
    two.complete_log_calls(&mut log);

    assert_eq!(two.sent[0].endpoint, ids::EndpointId::new("engine-2"));
}

#[test]
fn turn_goes_to_the_engine_with_its_cached_prompt_despite_higher_load() {
    let mut log = fixture::MemoryLog::default();
    let mut gateway = gateway_after_a_turn(&mut log);

    gateway.receive(turn_after(2, "t2", Some("t1"), 2_000));
    gateway.complete_log_calls(&mut log);

    assert_eq!(gateway.sent[1].endpoint, gateway.sent[0].endpoint);
}

#[test]
fn first_turn_goes_to_the_less_loaded_engine() {
    let mut log = fixture::MemoryLog::default();
    let mut gateway = gateway_after_a_turn(&mut log);

    let mut other = turn_after(2, "t2", None, 2_000);
    other.prompt[0].id = 2;
    gateway.receive(other);
    gateway.complete_log_calls(&mut log);

    assert_ne!(gateway.sent[1].endpoint, gateway.sent[0].endpoint);
}

#[test]
fn slow_endpoint_is_avoided() {
    let slow = ids::EndpointId::new("ledger-1");
    let mut log = fixture::MemoryLog::default();
    let mut gateway = fixture::Gateway::new("one");

    for pair in 0..10 {
        let calls = [2 * pair, 2 * pair + 1];
        for call in calls {
            gateway.receive(fixture::request(call, &format!("c{call}"), "/book/1"));
        }
        let rows = gateway.sent.iter().rev().take(2);
        let (slow_calls, other_calls): (Vec<_>, Vec<_>) =
            rows.map(|sent| (sent.call.0, sent.endpoint == slow)).partition(|(_, slow)| *slow);
        for (duration_ms, ended) in [(20, other_calls), (180, slow_calls)] {
            gateway.advance(time::Duration::from_millis(duration_ms), &mut log);
            ended
                .iter()
                .for_each(|(call, _)| gateway.end_attempt(*call, fixture::response_outcome(200)));
        }
    }

    let to_slow: Vec<usize> =
        (0..20).filter(|index| gateway.sent[*index].endpoint == slow).collect();
    assert!(!to_slow.is_empty(), "both endpoints were used");
    assert!(to_slow.iter().all(|index| *index < 12), "{to_slow:?}");
}

// Load pattern: many thin gateways that have seen nothing yet. Guards against gateways that all begin
// with the endpoint whose name comes first, while others idle.
#[test]
fn thin_gateways_spread_their_first_turns() {
    let names: Vec<String> = (0..8).map(|number| format!("engine-{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut log = fixture::MemoryLog::default();

    let mut firsts = std::collections::BTreeMap::new();
    for number in 0..32 {
        let mut gateway = fixture::Gateway::new(&format!("gateway-{number}"));
        gateway.tick(vec![engines(&names)]);
        let mut first = turn_after(1, &format!("t{number}"), None, 2_000);
        first.program = first.program.map(|program| input::ProgramHeader {
            id: ids::ProgramId::new(format!("p{number}")),
            ..program
        });
        gateway.receive(first);
        gateway.complete_log_calls(&mut log);
        *firsts.entry(gateway.sent[0].endpoint.clone()).or_insert(0) += 1;
    }

    assert!(firsts.len() >= 6, "{firsts:?}");
    assert!(firsts.values().all(|count| *count <= 12), "{firsts:?}");
}

/// Returns a gateway with a call on each of two engines, and the engines by call.
fn gateway_with_two_calls() -> (fixture::Gateway, [ids::EndpointId; 2]) {
    let mut gateway = fixture::Gateway::new("one");
    gateway.tick(vec![engines(&["engine-1", "engine-2"])]);
    gateway.receive(fixture::request(0, "c0", "/ask/1"));
    gateway.receive(fixture::request(1, "c1", "/ask/1"));
    let engines = [0, 1].map(|index| gateway.sent[index].endpoint.clone());
    assert_ne!(engines[0], engines[1]);
    (gateway, engines)
}

fn load_of(running: u32) -> input::Load {
    input::Load { running, waiting: 0, slots: SLOTS, slowdown_percent: None }
}

// Guards against loads that are used only when a stream ends, long after they were reported.
#[test]
fn load_counts_from_the_beginning_of_a_response() {
    for busy in [0, 1] {
        let (mut gateway, engines) = gateway_with_two_calls();

        gateway.begin_loaded_response(busy, load_of(10));
        gateway.receive(fixture::request(2, "c2", "/ask/1"));

        assert_ne!(gateway.sent[2].endpoint, engines[busy as usize]);
    }
}

// Guards against the load at the beginning of a stream that replaces a newer one when the stream ends.
#[test]
fn end_of_a_stream_keeps_a_newer_load() {
    for free in [0, 1] {
        let (mut gateway, engines) = gateway_with_two_calls();
        for call in [0, 1] {
            gateway.begin_loaded_response(call, load_of(10));
        }
        gateway.receive(fixture::request(2, "c2", "/ask/1"));
        gateway.receive(fixture::request(3, "c3", "/ask/1"));
        let newer = (2..4).find(|index| gateway.sent[*index].endpoint == engines[free]);
        gateway.begin_loaded_response(newer.expect("both engines are used") as u64, load_of(1));

        gateway.end_attempt(free as u64, stream_outcome_under_load(10));
        gateway.receive(fixture::request(4, "c4", "/ask/1"));

        assert_eq!(gateway.sent[4].endpoint, engines[free]);
    }
}

// Load pattern: many gateways that have heard the same of all engines, of one of them a little earlier.
// Guards against gateways that all choose that engine, since its load counts a little less.
#[test]
fn gateways_with_the_same_knowledge_spread_their_calls() {
    let names: Vec<String> = (0..8).map(|number| format!("engine-{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut log = fixture::MemoryLog::default();

    let mut chosen = std::collections::BTreeMap::new();
    for number in 0..32 {
        let mut gateway = fixture::Gateway::new(&format!("gateway-{number}"));
        gateway.tick(vec![engines(&names)]);
        (0..8).for_each(|call| {
            gateway.receive(fixture::request(call, &format!("c{call}"), "/ask/1"))
        });
        let mut sent: Vec<_> =
            gateway.sent.iter().map(|sent| (sent.endpoint.clone(), sent.call.0)).collect();
        sent.sort();
        gateway.advance(time::Duration::from_millis(200), &mut log);
        for (_, call) in sent {
            gateway.end_attempt(call, stream_outcome_under_load(3));
            gateway.advance(time::Duration::from_millis(1), &mut log);
        }
        gateway.receive(fixture::request(8, &format!("last of {number}"), "/ask/1"));
        *chosen.entry(gateway.sent[8].endpoint.clone()).or_insert(0) += 1;
    }

    assert!(chosen.len() >= 4, "{chosen:?}");
    assert!(chosen.values().all(|count| count * 2 <= 32), "{chosen:?}");
}

/// Returns a gateway whose route `/book/` is sticky, if `is_sticky`, and the endpoint that has handled a
/// call for object 7 there.
fn gateway_after_a_sticky_call(name: &str, is_sticky: bool) -> (fixture::Gateway, ids::EndpointId) {
    let mut gateway = fixture::Gateway::unconfigured(name);
    let mut configuration = fixture::configuration(1);
    configuration.routes.iter_mut().for_each(|route| route.is_sticky = is_sticky);
    gateway.tick(vec![
        input::Input::Configuration(Box::new(configuration)),
        input::Input::Endpoints(fixture::endpoints()),
    ]);
    // The endpoint that is chosen without affinity is busy, so that the other one handles the call.
    gateway.receive(fixture::request(0, "c0", "/book/1"));
    gateway.receive(object_request(1));
    gateway.end_attempt(1, fixture::response_outcome(200));
    gateway.end_attempt(0, fixture::response_outcome(200));
    let endpoint = gateway.sent[1].endpoint.clone();
    (gateway, endpoint)
}

fn object_request(call: u64) -> input::Arrival {
    let mut request = fixture::request(call, &format!("c{call}"), "/book/1");
    request.affinity = Some(7);
    request
}

// Guards against calls for the same object that are spread over endpoints that don't know it.
#[test]
fn sticky_call_goes_to_the_endpoint_that_knows_its_object() {
    let (mut gateway, known) = gateway_after_a_sticky_call("one", true);
    let (mut plain, other) = gateway_after_a_sticky_call("one", false);

    gateway.receive(object_request(2));
    plain.receive(object_request(2));

    assert_eq!(gateway.sent[2].endpoint, known);
    assert_ne!(plain.sent[2].endpoint, other, "a route that is not sticky");
}

// Guards against an object that holds its calls at an endpoint that is full, limited or failing.
#[test]
fn sticky_call_avoids_an_endpoint_that_is_loaded_limited_or_failing() {
    let full = input::Load { running: 4, waiting: 1, slots: 4, slowdown_percent: None };
    let limited = fixture::limit_notice(Some(1_000.0));
    let response = |load| input::Outcome::Answered { status: 200, signed: true, load };
    let disturb: [&dyn Fn(&mut fixture::Gateway); 3] = [
        &|gateway| gateway.end_attempt(2, response(Some(full))),
        &|gateway| {
            gateway.begin_response(2, limited);
            gateway.end_attempt(2, response(None));
            // The other endpoint is limited as well: limited ones go first among equals.
            gateway.receive(fixture::request(3, "c3", "/book/1"));
            gateway.begin_response(3, limited);
            gateway.end_attempt(3, response(None));
        },
        &|gateway| gateway.end_attempt(2, input::Outcome::Lost(input::Failure::Closed)),
    ];
    for disturb in disturb {
        let (mut gateway, known) = gateway_after_a_sticky_call("one", true);
        gateway.receive(object_request(2));
        assert_eq!(gateway.sent[2].endpoint, known);

        disturb(&mut gateway);
        gateway.receive(object_request(9));

        assert_ne!(gateway.sent.last().expect("sent").endpoint, known);
    }
}
