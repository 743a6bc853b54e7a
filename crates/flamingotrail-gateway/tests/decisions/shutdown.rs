//! Graceful shutdowns: calls that come late, and calls that run or wait at the end of the grace period.

use std::time;

use crate::fixture;
use flamingotrail_gateway::input;
use flamingotrail_gateway::output;

fn seconds(seconds: f64) -> time::Duration {
    time::Duration::from_secs_f64(seconds)
}

/// Starts a gateway and its shutdown, and lets `time` pass.
fn start_shutdown(time: time::Duration) -> (fixture::Gateway, fixture::MemoryLog) {
    let mut log = fixture::MemoryLog::default();
    let mut gateway = fixture::Gateway::new("one");
    // A call that waits for its endpoint keeps the gateway from being idle.
    gateway.receive(fixture::request(100, "first", "/book/1"));
    gateway.tick(vec![input::Input::Drain]);
    gateway.advance(time, &mut log);
    (gateway, log)
}

// Guards against a call that is taken late and can't end before the process does; one that can is served.
#[test]
fn late_call_is_served_only_if_it_ends_in_time() {
    let (mut gateway, mut log) = start_shutdown(seconds(3.2));
    let mut long = fixture::request(1, "long", "/book/1");
    long.timeout = Some(seconds(4.0));
    let mut longer = fixture::request(2, "longer", "/book/1");
    longer.timeout = Some(seconds(4.0));

    gateway.receive(long);
    gateway.advance(seconds(0.5), &mut log);
    gateway.receive(longer);

    assert!(gateway.has_sent(1), "it ends 7.2 s after the beginning");
    assert_eq!(gateway.refusal_reason(2), Some(output::Reason::Unavailable));
    assert!(!gateway.has_sent(2), "it would end after 7.7 s of 8");
}

// Guards against calls that are cut when the process exits: each gets an answer that is true of it.
#[test]
fn calls_get_an_answer_before_the_grace_period_ends() {
    let (mut gateway, mut log) = start_shutdown(seconds(2.5));
    let mut running = fixture::request(1, "running", "/book/1");
    running.timeout = Some(seconds(30.0));
    gateway.receive(running);
    gateway.advance(seconds(2.0), &mut log);
    let deadline = gateway.sent.last().map(|sent| sent.timeout);
    gateway.advance(seconds(2.4), &mut log);
    let reasons = [gateway.refusal_reason(1), gateway.refusal_reason(100)];

    assert_eq!(reasons[0], Some(output::Reason::TimedOut));
    assert_eq!(deadline, Some(seconds(4.0)), "its route allows no more");
    assert!(!gateway.stopped, "the answers are being written");
    gateway.advance(seconds(1.0), &mut log);
    assert!(gateway.stopped);
}

// Guards against a deadline given to an endpoint that goes beyond the end of the process.
#[test]
fn endpoints_get_no_more_time_than_the_gateway_has() {
    let (mut gateway, _log) = start_shutdown(seconds(2.9));
    let mut configuration = fixture::configuration(2);
    configuration.routes.iter_mut().for_each(|route| route.timeout = seconds(30.0));
    gateway.configure(configuration);
    let mut request = fixture::request(1, "a", "/book/1");
    request.timeout = Some(seconds(30.0));

    gateway.receive(request);

    let timeout = gateway.sent.last().expect("sent").timeout;
    assert!(timeout <= seconds(8.0 - 2.9), "{timeout:?}");
}
