//! Callers and their workspaces: who may run what, and what workspaces see of each other.

use std::collections;
use std::time;

use proptest::prelude::*;

use crate::fixture;
use flamingotrail_gateway::ids;
use flamingotrail_gateway::input;
use flamingotrail_gateway::output;

const KEYS: &[(&str, &str)] = &[("key-a", "acme"), ("key-b", "bolt")];
const BUDGET: u64 = 240;
const EVENTS_PER_TURN: u64 = 10;

fn gateway() -> fixture::Gateway {
    let mut gateway = fixture::Gateway::new("one");
    gateway.configure(fixture::configuration_with_keys(2, KEYS));
    gateway
}

fn gateway_with_public_routes() -> fixture::Gateway {
    let mut gateway = fixture::Gateway::new("one");
    let mut configuration = fixture::configuration_with_keys(2, KEYS);
    configuration.routes.iter_mut().for_each(|route| route.is_public = true);
    gateway.configure(configuration);
    gateway
}

fn bad_credentials() -> [input::Credential; 3] {
    let unknown = ids::KeyDigest::of(b"key-c");
    [input::Credential::Absent, input::Credential::Malformed, input::Credential::Key(unknown)]
}

fn workspace(name: &str) -> Option<ids::WorkspaceName> {
    Some(ids::WorkspaceName::new(name))
}

// Guards against callers without a valid key whose calls run, or leave rows or records behind.
#[test]
fn callers_without_a_valid_key_are_refused_and_leave_nothing() {
    for credential in bad_credentials() {
        let mut log = fixture::MemoryLog::default();
        let mut gateway = gateway();
        let request = fixture::turn_request(1, "t1", "p", Some("t0"), BUDGET);

        gateway.receive(input::Arrival { credential, ..request });
        gateway.complete_log_calls(&mut log);

        assert_eq!(gateway.refused[0].1.reason, output::Reason::Unauthorized, "{credential:?}");
        assert_eq!(gateway.refused[0].1.retry_after, None);
        assert!(gateway.sent.is_empty() && gateway.world.tables.calls.rows.is_empty());
        assert!(gateway.world.tables.programs.rows.is_empty());
        assert_eq!((log.appends, log.reads), (0, 0));
    }
}

// Guards against a gateway that tells callers with good keys that they have none, because it knows no
// keys yet; and against routes that are found out without a key.
#[test]
fn configuration_and_route_come_before_the_key() {
    let mut unconfigured = fixture::Gateway::unconfigured("one");
    let mut configured = gateway();

    unconfigured.receive(fixture::with_key("key-a", fixture::request(1, "r1", "/look/1")));
    configured.receive(fixture::with_key("key-c", fixture::request(1, "r1", "/nowhere/1")));

    assert_eq!(unconfigured.refusal_reason(1), Some(output::Reason::Unavailable));
    assert_eq!(configured.refusal_reason(1), Some(output::Reason::NoRoute));
}

// Guards against public routes that refuse callers, or that take a caller for one of a workspace.
#[test]
fn public_routes_serve_callers_without_a_workspace() {
    for credential in bad_credentials() {
        let mut gateway = gateway_with_public_routes();

        let request = fixture::request(1, "r1", "/look/1");
        gateway.receive(input::Arrival { credential, ..request });

        assert_eq!(gateway.sent[0].workspace, None, "{credential:?}");
        assert!(gateway.sent[0].hides_credentials);
    }
}

// Guards against endpoints that get a key, or that are not told whose request they run.
#[test]
fn endpoints_are_told_the_workspace_and_not_the_key() {
    for mut gateway in [gateway(), gateway_with_public_routes()] {
        gateway.receive(fixture::with_key("key-a", fixture::request(1, "r1", "/look/1")));
        gateway.receive(fixture::with_key("key-b", fixture::request(2, "r2", "/look/1")));

        let told: Vec<_> = gateway.sent.iter().map(|sent| sent.workspace.clone()).collect();
        assert_eq!(told, [workspace("acme"), workspace("bolt")]);
        assert!(gateway.sent.iter().all(|sent| sent.hides_credentials));
    }
}

// Guards against credentials that no longer reach the endpoints of deployments without workspaces.
#[test]
fn credentials_are_forwarded_where_there_are_no_workspaces() {
    let mut gateway = fixture::Gateway::new("one");

    gateway.receive(fixture::with_key("key-a", fixture::request(1, "acme/r1", "/look/1")));

    assert!(!gateway.sent[0].hides_credentials);
    assert_eq!(gateway.sent[0].workspace, None);
    let call = gateway.world.tables.calls.rows.values().next().expect("active");
    assert_eq!(call.arrival.id.as_str(), "acme/r1", "ids stay as they were");
}

// Guards against a turn whose text another workspace gets by naming its id, in any spelling.
#[test]
fn turns_of_another_workspace_do_not_exist() {
    let mut log = fixture::MemoryLog::default();
    let mut gateway = gateway_with_public_routes();
    let first = fixture::turn_request(1, "t1", "p", None, BUDGET);
    gateway.run_turn(fixture::with_key("key-a", first), EVENTS_PER_TURN, &mut log);

    for (call, (previous, key)) in (2..).zip([
        ("t1", Some("key-b")),
        ("acme/t1", Some("key-b")),
        ("../acme/t1", Some("key-b")),
        ("t1", None),
        ("acme/t1", None),
        ("acme%2Ft1", None),
        ("/acme/t1", None),
    ]) {
        let request = fixture::turn_request(call, &format!("u{call}"), "q", Some(previous), BUDGET);
        gateway.receive(match key {
            Some(key) => fixture::with_key(key, request),
            None => request,
        });
        gateway.complete_log_calls(&mut log);

        let reason = gateway.refusal_reason(call);
        assert_eq!(reason, Some(output::Reason::NoSuchTurn), "{previous} {key:?}");
    }
    let own = fixture::turn_request(20, "t2", "p", Some("t1"), BUDGET);
    gateway.receive(fixture::with_key("key-a", own));
    gateway.complete_log_calls(&mut log);
    assert!(gateway.has_sent(20));
}

// Guards against one budget for the programs of two workspaces that have the same id, also at a
// gateway that knows them from the log only.
#[test]
fn programs_of_the_same_id_have_a_budget_in_each_workspace() {
    let mut log = fixture::MemoryLog::default();
    let mut gateway = gateway();
    for call in 1..=3 {
        let request = fixture::turn_request(call, &format!("t{call}"), "p", None, BUDGET);
        gateway.run_turn(fixture::with_key("key-a", request), EVENTS_PER_TURN, &mut log);
    }
    gateway.advance(time::Duration::from_secs(2), &mut log);
    let mut restarted = fixture::Gateway::new("one");
    restarted.configure(fixture::configuration_with_keys(2, KEYS));

    for (name, gateway) in [("known", &mut gateway), ("restarted", &mut restarted)] {
        let spent = fixture::turn_request(4, &format!("{name}-4"), "p", None, BUDGET);
        gateway.receive(fixture::with_key("key-a", spent));
        gateway.complete_log_calls(&mut log);
        let other = fixture::turn_request(5, &format!("{name}-5"), "p", None, BUDGET);
        gateway.run_turn(fixture::with_key("key-b", other), EVENTS_PER_TURN, &mut log);

        assert!(gateway.refusal_reason(4).is_some(), "{name}: the budget of acme is spent");
        assert!(gateway.has_finished(5), "{name}: that of bolt is not");
    }
}

// Guards against a workspace whose requests are refused because the same request of another one has
// crashed endpoints.
#[test]
fn quarantine_holds_for_the_workspace_whose_requests_crash() {
    let mut gateway = gateway();
    let request = fixture::request(1, "r1", "/look/1");
    let fingerprint = request.fingerprint(workspace("acme").as_ref());
    let crashes = (0..9).map(|number| input::PeerCrash {
        fingerprint,
        endpoint: ids::EndpointId::new(format!("ledger-{number}")),
        age: time::Duration::from_secs(number),
        took: time::Duration::from_millis(10),
    });
    gateway.tick(vec![input::Input::PeerCrashes(crashes.collect())]);

    gateway.receive(fixture::with_key("key-a", request.clone()));
    let other = input::Arrival { call: ids::CallId(2), ..request };
    gateway.receive(fixture::with_key("key-b", other));

    assert_eq!(gateway.refusal_reason(1), Some(output::Reason::Quarantined));
    assert!(gateway.has_sent(2));
}

// Guards against a flood of wrong keys that fills the log or the tables, and against one that is not
// seen at all.
#[test]
fn flood_of_wrong_keys_is_counted_and_reported_in_few_lines() {
    const CALLS: u64 = 10_000;
    const SECONDS: u64 = 5;
    let mut log = fixture::MemoryLog::default();
    let mut gateway = gateway();
    gateway.events.clear();

    for call in 0..CALLS {
        let request = fixture::turn_request(call, &format!("t{call}"), "p", None, BUDGET);
        gateway.receive(fixture::with_key(&format!("wrong-{call}"), request));
        let pause = time::Duration::from_secs(SECONDS) / CALLS as u32;
        gateway.advance(pause, &mut log);
    }
    gateway.advance(time::Duration::from_secs(2), &mut log);

    assert_eq!(gateway.refused.len() as u64, CALLS);
    assert_eq!(gateway.counts["caller_unknown"] as u64, CALLS);
    let lines = &gateway.events;
    assert!((1..=SECONDS + 2).contains(&(lines.len() as u64)), "{lines:?}");
    let reported = lines.iter().map(|line| number_of("unknown", &line.detail));
    assert_eq!(reported.sum::<u64>(), CALLS, "the last refusals are reported, too");
    assert!(gateway.world.tables.calls.rows.is_empty());
    assert_eq!((log.appends, log.reads), (0, 0));
}

fn number_of(name: &str, detail: &str) -> u64 {
    let mut pairs = detail.split(' ').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name).expect("named");
    value.parse().expect("a number")
}

// Guards against log lines from which a part of a key, or of its digest, can be read.
#[test]
fn log_lines_show_nothing_of_keys() {
    let mut log = fixture::MemoryLog::default();
    let mut gateway = gateway();

    for (call, key) in [(1, "key-a"), (2, "key-c")] {
        let request = fixture::turn_request(call, &format!("t{call}"), "p", None, BUDGET);
        gateway.receive(fixture::with_key(key, request));
        gateway.complete_log_calls(&mut log);
    }
    gateway.configure(fixture::configuration_with_keys(3, &[("key-d", "acme")]));

    let lines: Vec<String> = gateway.events.iter().map(|event| format!("{event:?}")).collect();
    assert!(lines.iter().any(|line| line.contains("request=acme/t1")), "{lines:?}");
    for key in ["key-a", "key-b", "key-c", "key-d"] {
        let digest = ids::KeyDigest::of(key.as_bytes()).to_string();
        assert!(!lines.iter().any(|line| line.contains(key) || line.contains(&digest)));
    }
}

// Guards against names and ids that give the same text when they are put together.
#[test]
fn ids_are_apart_where_names_contain_slashes_or_escapes() {
    let pairs = [
        (Some("a"), "b/c"),
        (Some("a/b"), "c"),
        (Some("a%2Fb"), "c"),
        (Some("a%252Fb"), "c"),
        (Some("a b"), "c"),
        (Some("a%20b"), "c"),
        (None, "a/b/c"),
        (None, "a%2Fb/c"),
        (None, "a%2Fb%2Fc"),
        (None, "/a/b/c"),
    ];

    let scoped: collections::BTreeSet<_> = pairs
        .iter()
        .map(|(name, id)| {
            let workspace = name.map(ids::WorkspaceName::new);
            ids::TurnId::new(id).scoped(workspace.as_ref())
        })
        .collect();

    assert_eq!(scoped.len(), pairs.len(), "{scoped:?}");
}

proptest! {
    // Guards against ids of callers that are those of another workspace, or of callers without one.
    #[test]
    fn ids_of_different_workspaces_differ(
        name in "[a%/ .2F]{1,4}",
        middle in "[a%/ .2F]{0,4}",
        id in "[a%/ .2F]{0,4}",
    ) {
        let longer_name = format!("{name}/{middle}");
        let longer_id = ids::TurnId::new(format!("{middle}/{id}"));

        let of_name = longer_id.scoped(workspace(&name).as_ref());
        let of_longer_name = ids::TurnId::new(&id).scoped(workspace(&longer_name).as_ref());
        let of_nobody = ids::TurnId::new(of_name.as_str()).scoped(None);
        let of_another = ids::TurnId::new(format!("{longer_name}/{id}")).scoped(None);

        let all = collections::BTreeSet::from([&of_name, &of_longer_name, &of_nobody, &of_another]);
        // Two callers without a workspace may have sent the same id.
        prop_assert!(all.len() == 4 || (all.len() == 3 && of_nobody == of_another));
    }
}
