//! Limits: endpoints get no more requests from all gateways together than they name.

use std::time;

use crate::fleet;

use flamingotrail_gateway::ids;
use flamingotrail_gateway::output;

/// Window in which requests are counted, in seconds.
const WINDOW_S: u64 = 4;
/// Time after which a gateway that was told of a limit is expected to keep it, in steps: half a
/// second.
const TOLD_STEPS: u64 = fleet::STEPS_PER_S / 2;

/// Returns the largest number of requests that reached `endpoint` within a window after step
/// `from`, from gateways that had been told of its limit.
fn max_in_window(fleet: &fleet::Fleet, endpoint: &str, from: u64) -> usize {
    let is_told = |r: &fleet::Reached| r.told_at.is_some_and(|at| at + TOLD_STEPS <= r.step);
    max_matching(fleet, endpoint, from, is_told)
}

/// Returns the largest number of requests that reached `endpoint` within a window after step
/// `from`, from any gateway.
fn max_in_window_from_all(fleet: &fleet::Fleet, endpoint: &str, from: u64) -> usize {
    max_matching(fleet, endpoint, from, |_| true)
}

fn max_matching(
    fleet: &fleet::Fleet,
    endpoint: &str,
    from: u64,
    matches: impl Fn(&fleet::Reached) -> bool,
) -> usize {
    let endpoint = ids::EndpointId::new(endpoint);
    let reached = fleet.reached.iter().filter(|r| r.endpoint == endpoint && r.step >= from);
    let steps: Vec<u64> = reached.filter(|r| matches(r)).map(|r| r.step).collect();
    let window = WINDOW_S * fleet::STEPS_PER_S;
    let counts = steps.iter().enumerate().map(|(index, start)| {
        steps[index..].iter().take_while(|step| **step < start + window).count()
    });
    counts.max().unwrap_or(0)
}

/// Number of requests that a limit allows in a window: half as many again, and five.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW_S as f64 + 5.0) as usize
}

// Guards against gateways that ignore a limit, or that each apply all of it.
#[test]
fn limited_endpoint_gets_its_limit_from_all_gateways_together() {
    let mut fleet = fleet::Fleet::new(9, &["e1", "e2"]);
    fleet.limit("e1", Some(6.0));

    fleet.run(20, 10);

    let most = max_in_window(&fleet, "e1", 4 * fleet::STEPS_PER_S);
    assert!(most <= allowed(6.0), "{most} requests in {WINDOW_S} s");
    assert!(fleet.reached_within("e1", 10) > 0);
}

// Guards against shares that add up to more than a small limit when there are many gateways.
#[test]
fn limits_below_the_number_of_gateways_hold_at_several_endpoints_at_once() {
    let mut fleet = fleet::Fleet::new(40, &["e1", "e2", "e3", "free"]);
    let limits = [("e1", 3.0), ("e2", 8.0), ("e3", 0.5)];
    for (endpoint, limit) in limits {
        fleet.limit(endpoint, Some(limit));
    }

    fleet.run(30, 5);

    for (endpoint, limit) in limits {
        let most = max_in_window(&fleet, endpoint, 4 * fleet::STEPS_PER_S);
        assert!(most <= allowed(limit), "{endpoint}: {most} requests in {WINDOW_S} s");
    }
    assert!(fleet.reached_within("e1", 20) >= 40, "{}", fleet.reached_within("e1", 20));
}

// Guards against gateways that save up requests while there is no load, and send them all at once.
#[test]
fn limit_holds_when_load_returns_after_a_pause() {
    let mut fleet = fleet::Fleet::new(40, &["e1", "free"]);
    fleet.limit("e1", Some(3.0));
    fleet.run(30, 5);
    fleet.run(20, 0);

    let from = fleet.now;
    fleet.run(10, 20);

    let most = max_in_window(&fleet, "e1", from);
    assert!(most <= allowed(3.0), "{most} requests in {WINDOW_S} s");
}

// Guards against restarted gateways that forget the limit, and against shares that are counted from
// a list of gateways which is out of date.
#[test]
fn limit_holds_while_gateways_restart_come_and_go() {
    let mut fleet = fleet::Fleet::new(9, &["e1", "free"]);
    fleet.limit("e1", Some(6.0));
    fleet.run(5, 10);

    for round in 0..6 {
        fleet.start(&format!("g{round}"));
        if round % 2 == 0 {
            fleet.start(&format!("new{round}"));
        } else {
            fleet.stop(&format!("g{}", 8 - round));
        }
        fleet.run(1, 10);
        fleet.publish_peers();
        fleet.run(2, 10);
    }

    let most = max_in_window(&fleet, "e1", 4 * fleet::STEPS_PER_S);
    assert!(most <= allowed(6.0), "{most} requests in {WINDOW_S} s");
}

// Guards against a limit that is forgotten when the list loses the endpoint's entry for a while.
#[test]
fn limit_outlives_the_entry_of_its_endpoint() {
    let mut fleet = fleet::Fleet::new(9, &["e1", "free"]);
    fleet.limit("e1", Some(6.0));
    fleet.run(5, 10);

    for _ in 0..10 {
        fleet.list(&["free"]);
        fleet.run(1, 10);
        fleet.list(&["e1", "free"]);
        fleet.run(1, 10);
    }

    let most = max_in_window(&fleet, "e1", 4 * fleet::STEPS_PER_S);
    assert!(most <= allowed(6.0), "{most} requests in {WINDOW_S} s");
}

// Guards against a limit that stays in force after its endpoint has raised or withdrawn it.
#[test]
fn raised_and_withdrawn_limits_let_the_load_return() {
    let mut fleet = fleet::Fleet::new(9, &["e1", "free"]);
    fleet.limit("e1", Some(2.0));
    fleet.run(10, 10);
    let limited = fleet.reached_within("e1", 5);

    fleet.limit("e1", Some(20.0));
    fleet.run(10, 10);
    let raised = fleet.reached_within("e1", 5);
    fleet.limit("e1", None);
    fleet.run(10, 10);

    assert!((5..=15).contains(&limited), "{limited} requests in 5 s at 2 per second");
    assert!((60..=110).contains(&raised), "{raised} requests in 5 s at 20 per second");
    assert!(fleet.reached_within("e1", 5) > 200);
}

// Guards against a gateway that takes a whole limit because it does not know of the others, nor
// they of it.
#[test]
fn gateway_that_is_not_listed_has_no_share() {
    let mut fleet = fleet::Fleet::new(1, &["e1", "free"]);
    fleet.unlist_peers("g0");
    fleet.limit("e1", Some(6.0));
    fleet.run(5, 10);

    fleet.run(5, 10);

    assert_eq!(fleet.reached_within("e1", 4), 0);
    assert!(fleet.reached_within("free", 4) >= 39);
}

// Guards against calls that wait although no endpoint can take them in time, and against refused
// callers that are all asked to return at once.
#[test]
fn calls_beyond_all_limits_are_refused_soon_and_return_one_after_the_other() {
    let mut fleet = fleet::Fleet::new(2, &["e1", "e2"]);
    fleet.limit("e1", Some(4.0));
    fleet.limit("e2", Some(4.0));
    fleet.run(5, 20);

    fleet.run(1, 20);

    let refusals = fleet.refusals();
    let waits: Vec<time::Duration> = refusals.iter().filter_map(|r| r.retry_after).collect();
    assert!(refusals.iter().all(|refusal| refusal.reason == output::Reason::Unavailable));
    assert_eq!(waits.len(), refusals.len());
    assert!(waits.iter().any(|wait| *wait > time::Duration::from_millis(800)), "{waits:?}");
    let (served, expected) = (fleet.reached_within("e1", 5) + fleet.reached_within("e2", 5), 40);
    assert!(served >= expected * 8 / 10, "{served} of {expected} served");
    assert!(fleet.longest_wait_of_refused() <= time::Duration::from_millis(100));
}

// Guards against gateways that follow a limit of earlier, since each learns of a change only from
// its own next request.
#[test]
fn change_of_a_limit_reaches_all_gateways_at_once() {
    let mut fleet = fleet::Fleet::new(40, &["e1", "free"]);
    fleet.limit("e1", Some(8.0));
    fleet.run(20, 5);

    fleet.limit("e1", Some(1.0));
    fleet.run(4, 5);
    let lowered = fleet.reached_within("e1", 4);
    fleet.run(20, 5);
    fleet.limit("e1", None);
    fleet.run(5, 5);

    assert!(lowered <= allowed(1.0), "{lowered} requests in 4 s");
    assert!(fleet.reached_within("e1", 2) > 100, "{}", fleet.reached_within("e1", 2));
}

// Guards against shares whose requests coincide by chance, of which many gateways have many.
#[test]
fn small_limit_holds_with_hundreds_of_gateways() {
    const LIMITED: [&str; 10] = ["e0", "e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9"];
    let mut fleet = fleet::Fleet::new(300, &[&LIMITED[..], &["free"]].concat());
    for endpoint in LIMITED {
        fleet.limit(endpoint, Some(3.0));
    }

    fleet.run(20, 2);

    let from = 4 * fleet::STEPS_PER_S;
    let most = LIMITED.map(|endpoint| max_in_window_from_all(&fleet, endpoint, from));
    assert!(most.iter().all(|most| *most <= allowed(3.0)), "{most:?} requests in {WINDOW_S} s");
    assert!(fleet.reached_within("e1", 10) >= 20, "{}", fleet.reached_within("e1", 10));
}
