//! Tests of holding back, pacing and finishing streamed responses.

use std::rc;
use std::thread;
use std::time;

use actix_http::Request;
use bytes::Bytes;
use flamingotrail_adapter::connection;
use flamingotrail_gateway::ids;
use flamingotrail_gateway::output;
use flamingotrail_runtime::connections;
use flamingotrail_runtime::connections::limits;
use flamingotrail_runtime::gateway::pending_calls;
use tokio::sync::mpsc;

const CALL: ids::CallId = ids::CallId(1);
const EVENT_INTERVAL: time::Duration = time::Duration::from_millis(50);

fn dispatch(gated: bool, paced: bool) -> output::Dispatch {
    output::Dispatch {
        call: CALL,
        attempt: 1,
        endpoint: ids::EndpointId::new("engine-1"),
        address: "127.0.0.1:1".to_owned(),
        timeout: time::Duration::from_secs(4),
        urgency: None,
        workspace: None,
        hides_credentials: false,
        body: Vec::new(),
        repeatable: false,
        is_stream: false,
        gated,
        resume_after: None,
        max_events: None,
        keeps_output: false,
        paced,
    }
}

/// The meter of a connection that has ended.
fn meter() -> connections::ResponseMeter {
    let machine = limits::Machine { memory_bytes: 88_000_000, descriptors: 1_024 };
    let overrides = limits::Overrides::default();
    let connections = connections::Connections::new(limits::Limits::new(&machine, &overrides));
    connections.try_open(limits::Listener::Callers).expect("there is a place").response_meter()
}

/// Adds a call with a stream of `events` events and returns the receiver of its response.
fn insert_stream(
    calls: &pending_calls::PendingCalls,
    dispatch: &output::Dispatch,
    events: usize,
) -> mpsc::UnboundedReceiver<pending_calls::ResponsePart> {
    let rx = calls.insert(CALL, rc::Rc::new(Request::new()), meter());
    assert!(calls.begin_attempt(dispatch).is_some());
    let head = connection::ResponseHead {
        status: 200,
        headers: Vec::new(),
        closes_connection: false,
        ..Default::default()
    };
    calls.push_stream_part(CALL, pending_calls::ResponsePart::StreamHead(head));
    for _ in 0..events {
        calls.push_stream_part(
            CALL,
            pending_calls::ResponsePart::StreamData(Bytes::from_static(b"data: x\n\n")),
        );
    }
    rx
}

/// Counts the events sent since the last check, and reports whether the end was sent.
fn take_sent(rx: &mut mpsc::UnboundedReceiver<pending_calls::ResponsePart>) -> (usize, bool) {
    let mut events = 0;
    let mut ended = false;
    while !rx.is_empty() {
        match rx.blocking_recv() {
            Some(pending_calls::ResponsePart::StreamData(_)) => events += 1,
            Some(pending_calls::ResponsePart::StreamEnd) => ended = true,
            _ => {}
        }
    }
    (events, ended)
}

#[test]
fn paced_stream_sends_one_event_per_interval() {
    let calls = pending_calls::PendingCalls::default();
    calls.set_event_interval(Some(EVENT_INTERVAL));

    let mut rx = insert_stream(&calls, &dispatch(false, true), 4);

    // The caller's patience begins with its request, so the first event is paced like the others.
    assert_eq!(take_sent(&mut rx), (0, false));
    for _ in 0..2 {
        thread::sleep(EVENT_INTERVAL);
        calls.send_due_events();
        assert_eq!(take_sent(&mut rx), (1, false));
        calls.send_due_events();
        assert_eq!(take_sent(&mut rx), (0, false));
    }
}

#[test]
fn held_events_are_sent_when_pacing_ends() {
    let calls = pending_calls::PendingCalls::default();
    calls.set_event_interval(Some(EVENT_INTERVAL));
    let mut rx = insert_stream(&calls, &dispatch(false, true), 4);

    calls.set_event_interval(None);

    assert_eq!(take_sent(&mut rx), (4, false));
}

#[test]
fn end_of_a_paced_stream_follows_all_its_events() {
    let calls = pending_calls::PendingCalls::default();
    calls.set_event_interval(Some(EVENT_INTERVAL));
    let mut rx = insert_stream(&calls, &dispatch(false, true), 4);

    calls.finish(CALL);

    assert_eq!(take_sent(&mut rx), (4, true));
}

#[test]
fn stream_that_is_not_paced_is_sent_at_once() {
    let calls = pending_calls::PendingCalls::default();
    calls.set_event_interval(Some(EVENT_INTERVAL));

    let mut rx = insert_stream(&calls, &dispatch(false, false), 4);

    assert_eq!(take_sent(&mut rx), (4, false));
}

#[test]
fn gated_stream_is_held_until_release_while_pacing() {
    let calls = pending_calls::PendingCalls::default();
    calls.set_event_interval(Some(EVENT_INTERVAL));
    let mut rx = insert_stream(&calls, &dispatch(true, true), 4);
    let before = take_sent(&mut rx);

    thread::sleep(EVENT_INTERVAL);
    calls.release_events(CALL);

    assert_eq!(before, (0, false));
    assert_eq!(take_sent(&mut rx), (1, false));
}
