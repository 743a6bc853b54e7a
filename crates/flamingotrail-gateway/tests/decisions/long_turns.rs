//! Turns that are too long for one record of the log, and records that the log does not accept.

use std::time;

use crate::fixture;
use bytes::Bytes;
use flamingotrail_gateway::ids;
use flamingotrail_gateway::input;
use flamingotrail_gateway::journal;
use flamingotrail_gateway::output;

const BUDGET: u64 = 80_000;

/// The outcome of a stream of ten events, whose output has `bytes` bytes.
fn long_outcome(bytes: usize) -> input::Outcome {
    let output: Vec<u8> = (0..bytes).map(|index| b'a' + (index % 23) as u8).collect();
    input::Outcome::Streamed {
        complete: true,
        events: 10,
        last_event: Some(10),
        output: output.into(),
        load: None,
    }
}

fn run_long_turn(
    gateway: &mut fixture::Gateway,
    request: input::Arrival,
    bytes: usize,
    log: &mut fixture::MemoryLog,
) {
    let call = request.call.0;
    gateway.receive(request);
    gateway.complete_log_calls(log);
    gateway.end_attempt(call, long_outcome(bytes));
    gateway.complete_log_calls(log);
}

fn expected_body(bytes: usize) -> Vec<u8> {
    let input::Outcome::Streamed { output, .. } = long_outcome(bytes) else { return Vec::new() };
    [b"input of a;", &output[..], b"input of b;"].concat()
}

// Guards against a turn that never ends because its input and output are larger than a record.
#[test]
fn turn_larger_than_a_record_is_stored_in_parts() {
    for bytes in [5_000, 9_990, 10_000, 35_000] {
        let mut log = fixture::MemoryLog::default();
        let mut first = fixture::Gateway::new("one");
        run_long_turn(
            &mut first,
            fixture::turn_request(1, "a", "p", None, BUDGET),
            bytes,
            &mut log,
        );
        let mut second = fixture::Gateway::new("two");

        for gateway in [&mut first, &mut second] {
            gateway.receive(fixture::turn_request(2, "b", "p", Some("a"), BUDGET));
            gateway.complete_log_calls(&mut log);
            assert!(gateway.sent_body(2) == expected_body(bytes), "{bytes} bytes");
        }

        assert!(first.has_finished(1), "{bytes} bytes");
    }
}

// Guards against a turn that is refused, or never ends, because its input alone takes more than half of
// a record, or several.
#[test]
fn turn_whose_input_is_larger_than_a_record_is_stored_in_parts() {
    for bytes in [6_000, 10_000, 40_000] {
        let mut log = fixture::MemoryLog::default();
        let mut first = fixture::Gateway::new("one");
        let mut request = fixture::turn_request(1, "a", "p", None, BUDGET);
        request.body = vec![b'x'; bytes].into();
        run_long_turn(&mut first, request, 100, &mut log);
        let mut second = fixture::Gateway::new("two");

        second.receive(fixture::turn_request(2, "b", "p", Some("a"), BUDGET));
        second.complete_log_calls(&mut log);

        assert!(first.has_finished(1), "{:?}", first.refusal_reason(1));
        let body = second.sent_body(2);
        assert_eq!(body.len(), bytes + 100 + "input of b;".len());
        assert!(body[..bytes].iter().all(|byte| *byte == b'x'));
    }
}

// Guards against a long turn that is found only as long as memory has it, and against parts that are
// searched from its end on.
#[test]
fn forgotten_long_turn_is_read_again() {
    let mut log = fixture::MemoryLog { max_page_records: Some(2), ..Default::default() };
    let mut gateway = fixture::Gateway::new("one");
    run_long_turn(&mut gateway, fixture::turn_request(1, "a", "p", None, BUDGET), 35_000, &mut log);
    gateway.advance(time::Duration::from_secs(75), &mut log);

    gateway.receive(fixture::turn_request(2, "b", "p", Some("a"), BUDGET));
    gateway.complete_log_calls(&mut log);

    assert!(gateway.sent_body(2) == expected_body(35_000));
}

// Guards against a long turn that counts as stored while a part is missing: other gateways may store
// its records in any order.
#[test]
fn long_turn_is_whole_once_all_of_its_records_are_stored() {
    let mut log = fixture::MemoryLog::default();
    let texts = Bytes::from(vec![b'x'; 12_000]);
    let end = journal::End {
        turn: ids::TurnId::new("a"),
        previous: None,
        endpoint: ids::EndpointId::new("engine-1"),
        input: texts.slice(..2_000),
        output: texts.slice(2_000..),
        age: time::Duration::ZERO,
    };
    let (parts, long) = end.split(5_000);
    let mut gateway = fixture::Gateway::new("one");
    log.push(journal::Record::LongEnd(long));
    log.push(journal::Record::Part(parts[2].clone()));
    log.push(journal::Record::Part(parts[0].clone()));
    gateway.receive(fixture::turn_request(1, "b", "p", Some("a"), BUDGET));
    gateway.complete_log_calls(&mut log);
    let refused_early = gateway.refusal_reason(1);
    log.push(journal::Record::Part(parts[1].clone()));

    gateway.receive(fixture::turn_request(2, "c", "p", Some("a"), BUDGET));
    gateway.complete_log_calls(&mut log);

    assert_eq!(refused_early, Some(output::Reason::NoSuchTurn), "it was never answered whole");
    assert_eq!(gateway.sent_body(2).len(), 12_000 + "input of c;".len());
}

// Guards against a record that the log does not accept and that is sent again and again: the records
// behind it in its partition waited for good.
#[test]
fn rejected_record_does_not_hold_up_its_partition() {
    let mut log = fixture::MemoryLog { max_text_bytes: Some(1_000), ..Default::default() };
    let mut gateway = fixture::Gateway::new("one");
    let partition = |id: &str| ids::Partition::of_turn(&ids::TurnId::new(id), fixture::PARTITIONS);
    let neighbours = (0..).map(|number| format!("t{number}"));
    let neighbours: Vec<String> =
        neighbours.filter(|id| partition(id) == partition("long")).take(3).collect();
    gateway.receive(fixture::turn_request(9, "long", "p", None, BUDGET));
    for (call, id) in (0..).zip(&neighbours) {
        gateway.receive(fixture::turn_request(call, id, "p", None, BUDGET));
    }
    gateway.complete_log_calls(&mut log);
    let mut outcomes = vec![];
    for (call, bytes) in [(0, 100), (9, 4_000), (1, 100), (2, 100)] {
        let call = ids::CallId(call);
        let outcome = long_outcome(bytes);
        outcomes.push(input::Input::Outcome { call, attempt: 1, outcome });
    }
    let appends_before = log.appends;

    gateway.tick(outcomes);
    gateway.advance(time::Duration::from_secs(2), &mut log);

    assert!((0..3).all(|call| gateway.has_finished(call)), "{:?}", gateway.finished);
    assert_eq!(gateway.refusal_reason(9), Some(output::Reason::Lost));
    let appends = log.appends - appends_before;
    assert!(appends <= 8, "{appends} appends: each record again once, and settlements");
}

// Guards against other gateways that retry a rejected record of this one.
#[test]
fn rejected_record_of_another_gateway_is_dropped() {
    let mut log = fixture::MemoryLog { max_text_bytes: Some(10), ..Default::default() };
    let mut gateway = fixture::Gateway::new("one");
    let record = Box::new(fixture::end_record("a", None));

    gateway.tick(vec![input::Input::RelayRequested { ticket: 1, record }]);
    gateway.complete_log_calls(&mut log);
    gateway.advance(time::Duration::from_secs(2), &mut log);

    assert_eq!(gateway.relay_responses, [input::RelayResponse { logged: false, size: None }]);
    assert_eq!(log.appends, 1);
}
