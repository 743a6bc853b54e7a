//! The list of gateways: those that have ended are found and removed.

use std::time;

use crate::fixture;

use flamingotrail_gateway::ids;
use flamingotrail_gateway::input;

/// Returns gateway "b" among gateways "a" to "d".
fn gateway_among_others() -> fixture::Gateway {
    let mut gateway = fixture::Gateway::new("b");
    let peers = ["a", "b", "c", "d"].map(|name| fixture::peer(name, "north"));
    gateway.tick(vec![input::Input::Peers(peers.into())]);
    gateway
}

/// Runs for `seconds`, and answers the probes of all gateways but those in `ended`.
fn run(gateway: &mut fixture::Gateway, seconds: u64, ended: &[&str]) {
    let mut log = fixture::MemoryLog::default();
    for _ in 0..seconds * 2 {
        for peer in std::mem::take(&mut gateway.probed) {
            let has_responded = !ended.contains(&peer.as_str());
            gateway.tick(vec![input::Input::PeerProbed { peer, has_responded }]);
        }
        gateway.advance(time::Duration::from_millis(500), &mut log);
    }
}

// Guards against gateways that have crashed for good and keep their share of what all divide.
#[test]
fn gateway_that_stays_silent_is_removed_from_the_list() {
    let mut gateway = gateway_among_others();

    run(&mut gateway, 8, &["c"]);
    let removed_early = gateway.removed.clone();
    run(&mut gateway, 6, &["c"]);

    assert!(removed_early.is_empty());
    assert!(gateway.removed.iter().all(|peer| peer.as_str() == "c"));
    assert!(!gateway.removed.is_empty());
}

#[test]
fn gateway_that_restarts_is_not_removed() {
    let mut gateway = gateway_among_others();

    for _ in 0..4 {
        run(&mut gateway, 7, &["c"]);
        run(&mut gateway, 3, &[]);
    }

    assert!(gateway.removed.is_empty());
}

// Guards against gateways that nobody watches because the one that should has ended, too.
#[test]
fn gateways_are_watched_up_to_the_first_that_responds() {
    let mut gateway = gateway_among_others();
    run(&mut gateway, 3, &["c", "d"]);
    gateway.probed.clear();

    gateway.advance(time::Duration::from_secs(2), &mut fixture::MemoryLog::default());

    assert_eq!(gateway.probed, ["c", "d", "a"].map(ids::InstanceName::new));
}

// Guards against a gateway that is removed again as soon as it has listed itself again.
#[test]
fn gateway_that_lists_itself_again_has_time_to_respond() {
    let mut gateway = gateway_among_others();
    run(&mut gateway, 12, &["c"]);
    let was_removed = !gateway.removed.is_empty();
    for names in [&["a", "b", "d"][..], &["a", "b", "c", "d"]] {
        let peers = names.iter().map(|name| fixture::peer(name, "north")).collect();
        gateway.tick(vec![input::Input::Peers(peers)]);
    }
    gateway.removed.clear();

    run(&mut gateway, 8, &["c"]);

    assert!(was_removed);
    assert!(gateway.removed.is_empty());
}
