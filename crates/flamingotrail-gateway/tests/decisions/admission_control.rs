//! Refusal of first turns that would wait too long: what it rests on, and what it spares.

use std::time;

use flamingotrail_gateway::ids;
use flamingotrail_gateway::input;
use flamingotrail_gateway::output;

use crate::fixture;

/// Workspace of all callers.
const WORKSPACE: &str = "calm";
const ENGINES: [&str; 4] = ["engine-1", "engine-2", "engine-3", "engine-4"];
/// Calls that end before the test, enough for a known slot time and a report of each engine.
const WARM_CALLS: u64 = 16;
const FULL: input::Load = input::Load { running: 4, waiting: 8, slots: 4, slowdown_percent: None };
const FREE: input::Load = input::Load { running: 0, waiting: 0, ..FULL };

/// Returns the request of a turn of a caller in the workspace.
fn turn_request(
    call: u64,
    id: &str,
    program: &str,
    previous: Option<&str>,
    budget: u64,
) -> input::Arrival {
    fixture::with_key(WORKSPACE, fixture::turn_request(call, id, program, previous, budget))
}

/// Returns a gateway whose callers belong to the workspace.
fn gateway_with_workspace(name: &str) -> fixture::Gateway {
    let mut gateway = fixture::Gateway::new(name);
    let mut configuration = fixture::configuration(2);
    configuration.workspaces = Some(fixture::workspaces(&[(WORKSPACE, None)]));
    gateway.tick(vec![input::Input::Configuration(Box::new(configuration))]);
    gateway
}

/// Returns a gateway with four engines whose turns took 300 ms, and of which each has just reported its
/// load.
fn gateway_with_loads(loads: [input::Load; 4], log: &mut fixture::MemoryLog) -> fixture::Gateway {
    let mut gateway = gateway_with_workspace("one");
    let mut rows: Vec<_> =
        ENGINES.iter().map(|id| (*id, fixture::endpoint("engine", "north-a"))).collect();
    rows.push(("ledger-1", fixture::endpoint("ledger", "north-a")));
    gateway.tick(vec![input::Input::Endpoints(fixture::membership(&rows))]);
    for call in 1..=WARM_CALLS {
        let (id, program) = (format!("warm{call}"), format!("w{call}"));
        gateway.receive(turn_request(call, &id, &program, None, 8_000));
    }
    gateway.complete_log_calls(log);
    for call in 1..=WARM_CALLS {
        gateway.begin_response(call, input::Notice::default());
    }
    gateway.advance(time::Duration::from_millis(300), log);
    for call in 1..=WARM_CALLS {
        let sent = gateway.sent.iter().find(|sent| sent.call.0 == call).expect("sent");
        let engine = ENGINES.iter().position(|id| *id == sent.endpoint.as_str());
        let load = Some(loads[engine.expect("an engine")]);
        let mut outcome = fixture::stream_outcome(2);
        if let input::Outcome::Streamed { load: reported, .. } = &mut outcome {
            *reported = load;
        }
        gateway.end_attempt(call, outcome);
    }
    gateway.complete_log_calls(log);
    gateway
}

/// Returns the refusal of a first turn that arrives now.
fn refusal_of_first_turn(gateway: &mut fixture::Gateway) -> Option<output::Refusal> {
    gateway.receive(turn_request(100, "first", "new", None, 8_000));
    gateway.refused.first().map(|(_, refusal)| *refusal)
}

// Guards against programs that begin while all queues are longer than their callers wait, and against
// refusals of calls whose program has begun or that belong to none.
#[test]
fn full_queues_refuse_first_turns_only() {
    let mut log = fixture::MemoryLog::default();
    let mut gateway = gateway_with_loads([FULL; 4], &mut log);

    let refusal = refusal_of_first_turn(&mut gateway).expect("refused");
    gateway.receive(turn_request(101, "later", "w1", Some("warm1"), 8_000));
    gateway.receive(fixture::with_key(WORKSPACE, fixture::request(102, "tool", "/look/1")));
    gateway.complete_log_calls(&mut log);

    assert_eq!(refusal.reason, output::Reason::Unavailable);
    assert!(refusal.retry_after >= Some(time::Duration::from_millis(100)));
    assert_eq!(gateway.refused.len(), 1);
    assert!([101, 102].iter().all(|call| gateway.sent.iter().any(|sent| sent.call.0 == *call)));
}

// Guards against refusals that rest on reports from before a pause, and on none at all.
#[test]
fn first_turn_is_admitted_when_nothing_was_reported_lately() {
    let mut log = fixture::MemoryLog::default();
    let mut idle = gateway_with_loads([FULL; 4], &mut log);
    idle.advance(time::Duration::from_secs(3), &mut log);
    let mut new = gateway_with_workspace("two");

    assert_eq!(refusal_of_first_turn(&mut idle), None);
    assert_eq!(refusal_of_first_turn(&mut new), None);
}

// Guards against a service that is closed by the false report of one endpoint, or while one has room.
#[test]
fn first_turn_is_admitted_while_an_endpoint_has_room() {
    let absurd = input::Load { running: u32::MAX, waiting: u32::MAX, ..FULL };
    for loads in [[FULL, FULL, FREE, FULL], [absurd, FREE, FREE, FREE]] {
        let mut log = fixture::MemoryLog::default();
        let mut gateway = gateway_with_loads(loads, &mut log);

        assert_eq!(refusal_of_first_turn(&mut gateway), None, "{loads:?}");
    }
}

// Guards against refusals while half of the slots are free, but at endpoints that are avoided for a
// moment after a failure.
#[test]
fn first_turn_is_admitted_while_half_of_the_slots_are_free_at_suspect_endpoints() {
    let mut log = fixture::MemoryLog::default();
    let mut gateway = gateway_with_loads([FULL, FULL, FREE, FREE], &mut log);
    for engine in &ENGINES[2..] {
        let rows = &mut gateway.world.tables.endpoints.rows;
        let row = rows.get_mut(&ids::EndpointId::new(engine)).expect("listed");
        row.record_failure(gateway.now);
    }

    assert_eq!(refusal_of_first_turn(&mut gateway), None);
}

// Guards against refusals that can't be explained afterwards.
#[test]
fn refusal_is_logged_with_what_it_rests_on() {
    let mut log = fixture::MemoryLog::default();
    let mut gateway = gateway_with_loads([FULL; 4], &mut log);
    let mut first = turn_request(100, "first", "new", None, 8_000);
    first.received = gateway.now;

    let outputs = gateway.world.tick(gateway.now, vec![input::Input::Arrived(Box::new(first))]);

    let lines: Vec<&output::Event> = outputs
        .iter()
        .filter_map(|output| match output {
            output::Output::Event(event) if event.name == "admission_refused" => Some(event),
            _ => None,
        })
        .collect();
    assert_eq!(lines.len(), 1);
    for field in
        ["request=calm/first", "workspace=calm", "wait_ms=", "load_percent=300", "age_ms=0"]
    {
        assert!(lines[0].detail.contains(field), "{field} in {}", lines[0].detail);
    }
}
