//! Streams as the traffic thread holds them for their callers.

use std::rc;
use std::thread;
use std::time;

use actix_http::Request;
use bytes::Bytes;
use flamingotrail_adapter::connection;
use flamingotrail_gateway::ids;
use flamingotrail_gateway::output;
use flamingotrail_runtime::gateway::slots;
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
    slots: &slots::Slots,
    dispatch: &output::Dispatch,
    events: usize,
) -> mpsc::UnboundedReceiver<slots::Reply> {
    let rx = slots.insert(CALL, rc::Rc::new(Request::new()));
    assert!(slots.begin(dispatch).is_some());
    let head =
        connection::ResponseHead { status: 200, headers: Vec::new(), closes_connection: false };
    slots.stream(CALL, slots::Reply::Head(head));
    for _ in 0..events {
        slots.stream(CALL, slots::Reply::Data(Bytes::from_static(b"data: x\n\n")));
    }
    rx
}

/// How many events, and whether the end, have gone out since the last look.
fn gone_out(rx: &mut mpsc::UnboundedReceiver<slots::Reply>) -> (usize, bool) {
    let mut events = 0;
    let mut ended = false;
    while !rx.is_empty() {
        match rx.blocking_recv() {
            Some(slots::Reply::Data(_)) => events += 1,
            Some(slots::Reply::End) => ended = true,
            _ => {}
        }
    }
    (events, ended)
}

#[test]
fn events_of_a_paced_stream_go_out_one_at_a_time() {
    let slots = slots::Slots::default();
    slots.set_pace(Some(PACE));

    let mut rx = stream_of(&slots, &dispatch(false, true), 4);

    assert_eq!(gone_out(&mut rx), (1, false));
    slots.pass_due();
    assert_eq!(gone_out(&mut rx), (0, false));
    thread::sleep(PACE);
    slots.pass_due();
    assert_eq!(gone_out(&mut rx), (1, false));
}

#[test]
fn events_that_are_held_go_out_when_the_pace_ends() {
    let slots = slots::Slots::default();
    slots.set_pace(Some(PACE));
    let mut rx = stream_of(&slots, &dispatch(false, true), 4);

    slots.set_pace(None);

    assert_eq!(gone_out(&mut rx), (4, false));
}

#[test]
fn end_of_a_paced_stream_comes_after_all_its_events() {
    let slots = slots::Slots::default();
    slots.set_pace(Some(PACE));
    let mut rx = stream_of(&slots, &dispatch(false, true), 4);

    slots.finish(CALL);

    assert_eq!(gone_out(&mut rx), (4, true));
}

#[test]
fn stream_that_is_not_paced_goes_out_as_it_comes() {
    let slots = slots::Slots::default();
    slots.set_pace(Some(PACE));

    let mut rx = stream_of(&slots, &dispatch(false, false), 4);

    assert_eq!(gone_out(&mut rx), (4, false));
}

#[test]
fn gated_stream_waits_for_its_opening_under_a_pace_too() {
    let slots = slots::Slots::default();
    slots.set_pace(Some(PACE));
    let mut rx = stream_of(&slots, &dispatch(true, true), 4);
    let before = gone_out(&mut rx);

    slots.open(CALL);

    assert_eq!(before, (0, false));
    assert_eq!(gone_out(&mut rx), (1, false));
}
