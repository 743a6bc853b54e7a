//! Endpoints that announce in their responses that they leave.

use crate::fleet;

use flamingotrail_gateway::output;

/// Time in which gateways have to stop sending to an endpoint that leaves, in seconds.
const DRAIN_S: u64 = 3;

// Guards against gateways that send to an endpoint which has said that it leaves, because the list,
// which cannot be read, does not say so.
#[test]
fn endpoint_that_announces_its_leaving_gets_no_more_requests() {
    let mut fleet = fleet::Fleet::new(9, &["e1", "free"]);
    fleet.run(2, 10);
    fleet.lose_list();
    fleet.set_leaving("e1", true);
    fleet.run(DRAIN_S, 10);

    fleet.run(20, 10);

    assert_eq!(fleet.reached_within("e1", 20), 0);
    assert!(fleet.reached_within("free", 20) > 1_700);
}

// Guards against an announcement that is forgotten when the list loses the entry of the endpoint, or
// still has it as ready.
#[test]
fn announced_leaving_outlives_the_entry_of_the_endpoint() {
    let mut fleet = fleet::Fleet::new(9, &["e1", "free"]);
    fleet.set_leaving("e1", true);
    fleet.run(DRAIN_S, 10);

    fleet.list(&["free"]);
    fleet.run(1, 10);
    fleet.list(&["e1", "free"]);
    fleet.run(5, 10);

    assert_eq!(fleet.reached_within("e1", 6), 0);
}

// Guards against an announcement that holds for the next run of an endpoint with the same id.
#[test]
fn endpoint_that_was_started_again_gets_requests() {
    let mut fleet = fleet::Fleet::new(9, &["e1", "free"]);
    fleet.set_start("e1", 1_000);
    fleet.set_leaving("e1", true);
    fleet.run(DRAIN_S, 10);

    fleet.set_leaving("e1", false);
    fleet.set_start("e1", 2_000);
    fleet.run(5, 10);

    assert!(fleet.reached_within("e1", 4) > 300);
}

// Guards against gateways that stop using an endpoint only once it has told them itself.
#[test]
fn leaving_is_told_to_the_other_gateways() {
    let mut fleet = fleet::Fleet::new(40, &["e1", "free"]);
    fleet.run(2, 1);
    fleet.set_leaving("e1", true);

    fleet.run(2, 1);

    assert!(fleet.reached_within("e1", 1) <= 1, "{}", fleet.reached_within("e1", 1));
}

// Guards against calls that wait, or go to an endpoint that leaves, when there is no other.
#[test]
fn calls_are_refused_when_all_endpoints_leave() {
    let mut fleet = fleet::Fleet::new(2, &["e1", "e2"]);
    fleet.set_leaving("e1", true);
    fleet.set_leaving("e2", true);
    fleet.run(DRAIN_S, 10);

    fleet.run(2, 10);

    assert_eq!(fleet.reached_within("e1", 2) + fleet.reached_within("e2", 2), 0);
    let refusals = fleet.refusals();
    assert!(refusals.iter().all(|refusal| refusal.reason == output::Reason::Unavailable));
    assert!(refusals.iter().all(|refusal| refusal.retry_after.is_some()));
}

// Guards against an endpoint that stays and gets no requests for ever, since nobody asks it whether
// it still leaves.
#[test]
fn withdrawn_leaving_is_noticed_by_one_gateway_and_told_to_the_others() {
    let mut fleet = fleet::Fleet::new(9, &["e1", "free"]);
    fleet.set_leaving("e1", true);
    fleet.run(20, 10);
    let (checks, reached) = (fleet.checks, fleet.reached_within("e1", 15));

    fleet.set_leaving("e1", false);
    fleet.run(10, 10);

    assert!((2..=4).contains(&checks), "{checks} checks in 20 s");
    assert_eq!(reached, 0);
    assert!(fleet.reached_within("e1", 2) > 150, "{}", fleet.reached_within("e1", 2));
}

// Guards against a restarted gateway that sends to endpoints of which all others know that they
// leave, or more than its share to those that have named a limit.
#[test]
fn restarted_gateway_learns_the_announcements_from_others() {
    let mut fleet = fleet::Fleet::new(3, &["e1", "e2", "free"]);
    fleet.set_leaving("e1", true);
    fleet.limit("e2", Some(0.5));
    fleet.run(5, 10);

    for name in ["g0", "g1", "g2"] {
        fleet.start(name);
        fleet.publish_peers();
        fleet.run(3, 10);
    }

    let (leaving, limited) = (fleet.reached_within("e1", 9), fleet.reached_within("e2", 9));
    assert_eq!(leaving, 0);
    assert!(limited <= 8, "{limited} requests in 9 s at 0.5 per second");
}

// Guards against clocks that jump back: an endpoint that starts again names an earlier time than
// before, and would count as its earlier start, which leaves.
#[test]
fn endpoint_that_starts_again_with_an_earlier_clock_is_used() {
    let mut fleet = fleet::Fleet::new(3, &["e1", "free"]);
    fleet.set_start("e1", 1_700_000_009_000);
    fleet.set_leaving("e1", true);
    fleet.run(4, 10);
    let while_leaving = fleet.reached_within("e1", 2);

    fleet.set_leaving("e1", false);
    fleet.set_start("e1", 1_700_000_001_000);
    fleet.run(2, 10);

    assert_eq!(while_leaving, 0);
    assert!(fleet.reached_within("e1", 1) > 0);
}
