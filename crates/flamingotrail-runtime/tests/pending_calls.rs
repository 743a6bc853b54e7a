//! Streams as the traffic thread holds them for their callers.

use std::rc;
use std::thread;
use std::time;

use actix_http::Request;
use bytes::Bytes;
use flamingotrail_adapter::connection;
use flamingotrail_gateway::ids;
use flamingotrail_gateway::output;
use flamingotrail_runtime::gateway::pending_calls;
use tokio::sync::mpsc;

const CALL: ids::CallId = ids::CallId(1);
const PACE: time::Duration = time::Duration::from_millis(50);

fn dispatch(gated: bool, paced: bool) -> output::Dispatch {
    output::Dispatch {
        call: CALL,
        attempt: 1,
        endpoint: ids::EndpointId::new("engine-1"),
        address: "127.0.0.1:1".to_owned(),
        timeout: time::Duration::from_secs(4),
        urgency: None,
        body: Vec::new(),
        repeatable: false,
        gated,
        paced,
    }
}

/// A call whose stream has brought `events` events.
fn stream_of(
    calls: &pending_calls::PendingCalls,
    dispatch: &output::Dispatch,
    events: usize,
) -> mpsc::UnboundedReceiver<pending_calls::ResponsePart> {
    let rx = calls.insert(CALL, rc::Rc::new(Request::new()));
    assert!(calls.begin_attempt(dispatch).is_some());
    let head =
        connection::ResponseHead { status: 200, headers: Vec::new(), closes_connection: false };
    calls.push_stream_part(CALL, pending_calls::ResponsePart::StreamHead(head));
    for _ in 0..events {
        calls.push_stream_part(
            CALL,
            pending_calls::ResponsePart::StreamData(Bytes::from_static(b"data: x\n\n")),
        );
    }
    rx
}

/// How many events, and whether the end, have gone out since the last look.
fn gone_out(rx: &mut mpsc::UnboundedReceiver<pending_calls::ResponsePart>) -> (usize, bool) {
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
fn events_of_a_paced_stream_go_out_one_at_a_time() {
    let calls = pending_calls::PendingCalls::default();
    calls.set_event_interval(Some(PACE));

    let mut rx = stream_of(&calls, &dispatch(false, true), 4);

    assert_eq!(gone_out(&mut rx), (1, false));
    calls.send_due_events();
    assert_eq!(gone_out(&mut rx), (0, false));
    thread::sleep(PACE);
    calls.send_due_events();
    assert_eq!(gone_out(&mut rx), (1, false));
}

#[test]
fn events_that_are_held_go_out_when_the_pace_ends() {
    let calls = pending_calls::PendingCalls::default();
    calls.set_event_interval(Some(PACE));
    let mut rx = stream_of(&calls, &dispatch(false, true), 4);

    calls.set_event_interval(None);

    assert_eq!(gone_out(&mut rx), (4, false));
}

#[test]
fn end_of_a_paced_stream_comes_after_all_its_events() {
    let calls = pending_calls::PendingCalls::default();
    calls.set_event_interval(Some(PACE));
    let mut rx = stream_of(&calls, &dispatch(false, true), 4);

    calls.finish(CALL);

    assert_eq!(gone_out(&mut rx), (4, true));
}

#[test]
fn stream_that_is_not_paced_goes_out_as_it_comes() {
    let calls = pending_calls::PendingCalls::default();
    calls.set_event_interval(Some(PACE));

    let mut rx = stream_of(&calls, &dispatch(false, false), 4);

    assert_eq!(gone_out(&mut rx), (4, false));
}

#[test]
fn gated_stream_waits_for_its_opening_under_a_pace_too() {
    let calls = pending_calls::PendingCalls::default();
    calls.set_event_interval(Some(PACE));
    let mut rx = stream_of(&calls, &dispatch(true, true), 4);
    let before = gone_out(&mut rx);

    calls.release_events(CALL);

    assert_eq!(before, (0, false));
    assert_eq!(gone_out(&mut rx), (1, false));
}
