//! Streams that break off: continued by the gateway within one response, or resumed by the caller.

use std::time;

use bytes::Bytes;

use crate::fixture;
use flamingotrail_gateway::ids;
use flamingotrail_gateway::input;
use flamingotrail_gateway::journal;
use flamingotrail_gateway::output;

/// A request for `path`, of a program with a budget of 8,000 tokens.
fn request(call: u64, path: &str, resume_after: Option<input::ResumePoint>) -> input::Arrival {
    let id = format!("r{call}");
    let mut request = fixture::historyless_turn_request(call, &id, "p", Some(8_000));
    request.path = path.to_owned();
    request.resume_after = resume_after;
    request
}

/// An attempt whose stream broke off after `events` events, the last of which has the id `last`.
fn broken_stream(events: u64, last: u64) -> input::Outcome {
    let output = Bytes::from("word\n".repeat(events as usize));
    let last_event = (events > 0).then_some(last);
    input::Outcome::Streamed { complete: false, events, last_event, output, load: None }
}

/// A gateway that runs call 1 on a resumable route with at most `max_attempts` endpoints.
fn start_stream(log: &mut fixture::MemoryLog, max_attempts: u32) -> fixture::Gateway {
    let mut gateway = gateway_with(max_attempts, None);
    gateway.receive(request(1, "/resume/1", None));
    gateway.complete_log_calls(log);
    gateway
}

fn gateway_with(max_attempts: u32, retention: Option<time::Duration>) -> fixture::Gateway {
    let mut gateway = fixture::Gateway::new("one");
    let mut configuration = fixture::configuration(2);
    for route in &mut configuration.routes {
        if route.kind == input::RouteKind::ResumableStream {
            route.max_attempts = max_attempts;
            route.retention = retention;
        }
    }
    gateway.tick(vec![input::Input::Configuration(Box::new(configuration))]);
    gateway
}

fn settled_tokens(log: &fixture::MemoryLog) -> u64 {
    let records = log.records.values().flatten();
    let settled = records.flat_map(|record| match record {
        journal::Record::Settle(settle) => settle.settled.clone(),
        journal::Record::Start(start) => start.settled.clone(),
        journal::Record::End(_) | journal::Record::Part(_) | journal::Record::LongEnd(_) => {
            Vec::new()
        }
    });
    settled.map(|settled| settled.tokens).sum()
}

#[test]
fn broken_stream_continues_at_another_endpoint_after_its_last_event() {
    let mut log = fixture::MemoryLog::default();
    let mut gateway = start_stream(&mut log, 2);

    gateway.end_attempt(1, broken_stream(3, 3));

    assert_eq!(gateway.sent.len(), 2);
    assert_ne!(gateway.sent[0].endpoint, gateway.sent[1].endpoint);
    assert_eq!((gateway.sent[0].resume_after, gateway.sent[1].resume_after), (None, Some(3)));
    assert_eq!(gateway.sent[1].max_events, gateway.sent[0].max_events.map(|max| max - 3));
    assert!(gateway.aborted.is_empty());
}

#[test]
fn stream_that_breaks_twice_is_charged_once() {
    let mut log = fixture::MemoryLog::default();
    let mut gateway = start_stream(&mut log, 3);
    gateway.end_attempt(1, broken_stream(3, 3));
    gateway.end_attempt(1, broken_stream(2, 5));

    gateway.end_attempt(1, fixture::stream_outcome(1));
    gateway.tick(vec![input::Input::Delivered(ids::CallId(1))]);
    // A turn that needs all of the rest has the closed allowance settled.
    let mut last = request(2, "/resume/1", None);
    last.usage = Some(input::Usage { prompt: 1, max_output: 7_900 });
    gateway.receive(last);
    gateway.complete_log_calls(&mut log);

    assert_eq!(gateway.sent[2].resume_after, Some(5));
    assert!(gateway.has_finished(1));
    assert_eq!(settled_tokens(&log), 6 * fixture::TOKENS_PER_EVENT);
}

// Guards against a limit of endpoints that is passed by a resumption.
#[test]
fn stream_of_a_route_with_one_endpoint_continues_only_there() {
    let mut log = fixture::MemoryLog::default();
    let mut gateway = start_stream(&mut log, 1);

    gateway.end_attempt(1, broken_stream(3, 3));
    gateway.end_attempt(1, broken_stream(1, 4));

    assert_eq!(gateway.sent.len(), 2, "one repetition at the only endpoint");
    assert_eq!(gateway.sent[0].endpoint, gateway.sent[1].endpoint);
    assert_eq!(gateway.aborted, [ids::CallId(1)]);
}

#[test]
fn lost_response_of_a_resumable_stream_is_repeated() {
    let mut log = fixture::MemoryLog::default();
    let mut gateway = start_stream(&mut log, 2);

    gateway.end_attempt(1, input::Outcome::Lost(input::Failure::Closed));

    assert_eq!(gateway.sent.len(), 2);
    assert_eq!(gateway.sent[1].resume_after, None);
}

#[test]
fn stream_without_event_ids_is_not_continued() {
    let mut log = fixture::MemoryLog::default();
    let mut gateway = start_stream(&mut log, 2);

    let output = Bytes::from("word\n");
    gateway.end_attempt(
        1,
        input::Outcome::Streamed {
            complete: false,
            events: 1,
            last_event: None,
            output,
            load: None,
        },
    );

    assert_eq!(gateway.sent.len(), 1);
    assert_eq!(gateway.aborted, [ids::CallId(1)]);
}

#[test]
fn other_streams_run_at_most_once() {
    let mut log = fixture::MemoryLog::default();
    let mut gateway = fixture::Gateway::new("one");
    gateway.receive(request(1, "/ask/1", Some(input::ResumePoint::Event(7))));
    gateway.complete_log_calls(&mut log);

    gateway.end_attempt(1, broken_stream(3, 3));

    assert_eq!(gateway.sent.len(), 1);
    assert_eq!(gateway.sent[0].resume_after, None, "the route can't be resumed");
    assert_eq!(gateway.aborted, [ids::CallId(1)]);
}

#[test]
fn caller_resumes_at_another_gateway_and_pays_for_new_events_only() {
    let mut log = fixture::MemoryLog::default();
    let mut first = start_stream(&mut log, 1);
    first.tick(vec![input::Input::Disconnected(ids::CallId(1))]);
    first.end_attempt(1, broken_stream(3, 3));
    let mut second = gateway_with(1, None);

    let mut again = request(2, "/resume/1", Some(input::ResumePoint::Event(3)));
    again.id = ids::TurnId::new("r1-again");
    second.receive(again);
    second.complete_log_calls(&mut log);
    second.end_attempt(2, fixture::stream_outcome(4));
    second.complete_log_calls(&mut log);

    assert_eq!(second.sent[0].resume_after, Some(3));
    assert!(second.has_finished(2));
    let program = second.world.tables.programs.rows.values().next().expect("one program");
    let used: u64 = program.allowances.values().map(|allowance| allowance.used_tokens).sum();
    assert_eq!(used, 4 * fixture::TOKENS_PER_EVENT);
}

#[test]
fn resumption_after_something_that_is_no_event_is_rejected() {
    let mut log = fixture::MemoryLog::default();
    let mut gateway = gateway_with(2, None);

    gateway.receive(request(1, "/resume/1", Some(input::ResumePoint::Invalid)));
    gateway.complete_log_calls(&mut log);

    assert_eq!(gateway.refusal_reason(1), Some(output::Reason::InvalidResume));
    assert!(gateway.sent.is_empty());
}

#[test]
fn continued_turn_is_recorded_whole() {
    let mut log = fixture::MemoryLog::default();
    let mut gateway = gateway_with(2, Some(time::Duration::from_secs(60)));
    gateway.receive(request(1, "/resume/1", None));
    gateway.complete_log_calls(&mut log);

    gateway.end_attempt(1, broken_stream(2, 2));
    gateway.end_attempt(1, fixture::stream_outcome(1));
    gateway.complete_log_calls(&mut log);

    let ends = log.records.values().flatten().filter_map(|record| match record {
        journal::Record::End(end) => Some(end.output.clone()),
        _ => None,
    });
    assert_eq!(ends.collect::<Vec<_>>(), ["word\nword\nword\n"]);
}

// Guards against a turn that is recorded without the events that its caller got before.
#[test]
fn turn_with_history_is_not_resumed_by_its_caller() {
    let mut log = fixture::MemoryLog::default();
    let mut gateway = gateway_with(2, Some(time::Duration::from_secs(60)));

    gateway.receive(request(1, "/resume/1", Some(input::ResumePoint::Event(2))));
    gateway.complete_log_calls(&mut log);

    assert_eq!(gateway.refusal_reason(1), Some(output::Reason::Unavailable));
    assert!(gateway.sent.is_empty());
}

// Guards against a 402, which says that nothing ran, for a stream that broke off and whose
// allowance is then denied.
#[test]
fn broken_stream_over_budget_is_not_reported_as_not_run() {
    let mut log = fixture::MemoryLog::default();
    let mut other = fixture::Gateway::new("two");
    let mut all = fixture::historyless_turn_request(1, "x", "p", Some(300));
    all.usage = Some(input::Usage { prompt: 100, max_output: 280 });
    other.receive(all);
    other.complete_log_calls(&mut log);
    let mut gateway = gateway_with(2, None);
    let mut first = request(1, "/resume/1", None);
    first.program.as_mut().expect("a program").budget = Some(300);
    gateway.receive(first);

    gateway.end_attempt(1, broken_stream(1, 1));
    gateway.complete_log_calls(&mut log);

    assert_eq!(gateway.refusal_reason(1), Some(output::Reason::Lost));
}
