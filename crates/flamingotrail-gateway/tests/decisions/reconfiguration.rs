//! Calls that run while the configuration changes.

use crate::fixture;
use flamingotrail_gateway::ids;
use flamingotrail_gateway::input;
use flamingotrail_gateway::output;

const BUDGET: u64 = 240;
const EVENTS_PER_TURN: u64 = 10;

/// Moves the routes of `engine` to `other`; `engine` leaves the configuration.
fn configuration_without_engine() -> input::Configuration {
    let mut moved = fixture::configuration(2);
    let (old, new) = (ids::ServiceName::new("engine"), ids::ServiceName::new("other"));
    for (service, _) in moved.routes.iter_mut().flat_map(|route| &mut route.traffic_split) {
        if *service == old {
            *service = new.clone();
        }
    }
    let engine = moved.services.remove(&old).expect("configured");
    moved.services.insert(new, engine);
    moved
}

fn configuration_with_tokens_per_event(tokens_per_event: u64) -> input::Configuration {
    let mut changed = fixture::configuration(2);
    let service = changed.services.get_mut(&ids::ServiceName::new("engine")).expect("configured");
    service.engine = Some(input::Engine { tokens_per_event, memory_tokens: None });
    changed
}

fn endpoints_of_both_services() -> input::Membership {
    fixture::membership(&[
        ("engine-1", fixture::endpoint("engine", "north-a")),
        ("other-1", fixture::endpoint("other", "north-a")),
    ])
}

/// Returns a gateway at which `configuration` comes into force while two of the three turns that the
/// budget holds run.
fn gateway_reconfigured_during_two_turns(
    configuration: input::Configuration,
    log: &mut fixture::MemoryLog,
) -> fixture::Gateway {
    let mut gateway = fixture::Gateway::new("one");
    gateway.tick(vec![input::Input::Endpoints(endpoints_of_both_services())]);
    for call in 1..=2 {
        gateway.receive(fixture::turn_request(call, &format!("t{call}"), "p", None, BUDGET));
        gateway.complete_log_calls(log);
    }
    gateway.tick(vec![input::Input::Configuration(Box::new(configuration))]);
    for call in 1..=2 {
        gateway.end_attempt(call, fixture::stream_outcome(EVENTS_PER_TURN));
        gateway.complete_log_calls(log);
    }
    gateway
}

// Guards against turns that are charged one token an event because their service has left the
// configuration when they end: the program got its budget more than once.
#[test]
fn turn_is_charged_in_full_after_its_service_left_the_configuration() {
    let mut log = fixture::MemoryLog::default();
    let configuration = configuration_without_engine();
    let mut gateway = gateway_reconfigured_during_two_turns(configuration, &mut log);

    gateway.run_turn(fixture::turn_request(3, "t3", "p", None, BUDGET), EVENTS_PER_TURN, &mut log);
    gateway.receive(fixture::turn_request(4, "t4", "p", None, BUDGET));
    gateway.complete_log_calls(&mut log);

    assert_eq!(gateway.finished.len(), 3, "the budget holds three turns");
    assert_eq!(gateway.refusal_reason(4), Some(output::Reason::BudgetSpent));
}

// Guards against turns that are charged by a smaller number of tokens per event than their events had.
#[test]
fn turn_is_charged_the_larger_number_of_tokens_per_event() {
    let mut log = fixture::MemoryLog::default();
    let configuration = configuration_with_tokens_per_event(fixture::TOKENS_PER_EVENT / 2);
    let mut gateway = gateway_reconfigured_during_two_turns(configuration, &mut log);

    gateway.receive(fixture::turn_request(3, "t3", "p", None, BUDGET - 1));
    gateway.complete_log_calls(&mut log);

    assert_eq!(gateway.refusal_reason(3), Some(output::Reason::BudgetSpent));
}

// Guards against a limit of events that grows when the service leaves the configuration while its
// call waits for an endpoint.
#[test]
fn limit_of_events_outlives_the_service_in_the_configuration() {
    let mut log = fixture::MemoryLog::default();
    let mut gateway = fixture::Gateway::new("one");
    gateway.tick(vec![input::Input::Endpoints(endpoints_of_both_services())]);
    gateway.receive(fixture::turn_request(1, "a", "p", None, BUDGET));
    gateway.complete_log_calls(&mut log);
    gateway.tick(vec![input::Input::Configuration(Box::new(configuration_without_engine()))]);
    let other = fixture::membership(&[
        ("engine-1", fixture::endpoint("engine", "north-a")),
        ("engine-3", fixture::endpoint("engine", "north-a")),
    ]);
    gateway.tick(vec![input::Input::Endpoints(other)]);

    gateway.end_attempt(1, input::Outcome::Refused { status: 503, load: None });

    let retried = gateway.sent.last().expect("sent");
    assert_eq!(retried.attempt, 2);
    assert_eq!(retried.max_events, Some(80 / fixture::TOKENS_PER_EVENT + 1));
    assert!(retried.urgency.is_some(), "the endpoint is still an engine");
}
