//! Endpoints that announce in their responses that they leave.

use crate::fleet;

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
