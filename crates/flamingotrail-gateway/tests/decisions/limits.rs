//! Limits: endpoints get no more requests from all gateways together than they name.

use crate::fleet;

use flamingotrail_gateway::ids;

/// Window in which requests are counted, in seconds.
const WINDOW_S: u64 = 4;
/// Time after which a gateway that was told of a limit is expected to keep it, in steps: half a
/// second.
const TOLD_STEPS: u64 = fleet::STEPS_PER_S / 2;

/// Returns the largest number of requests that reached `endpoint` within a window after step
/// `from`, from gateways that had been told of its limit.
fn max_in_window(fleet: &fleet::Fleet, endpoint: &str, from: u64) -> usize {
    let endpoint = ids::EndpointId::new(endpoint);
    let steps: Vec<u64> = fleet
        .reached
        .iter()
        .filter(|r| r.endpoint == endpoint && r.step >= from)
        .filter(|r| r.told_at.is_some_and(|told_at| told_at + TOLD_STEPS <= r.step))
        .map(|r| r.step)
        .collect();
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
