//! Order of the calls that wait for an endpoint, and the urgency that engines are told.

use std::time;

use flamingotrail_core::time as core_time;
use flamingotrail_gateway::ids;
use flamingotrail_gateway::input;
use flamingotrail_gateway::tables::priority_classes;
use flamingotrail_gateway::tables::shares;
use proptest::prelude::*;

use crate::fixture;

fn workspace(name: &str) -> ids::WorkspaceName {
    ids::WorkspaceName::new(name)
}

/// Returns a configuration whose routes to engines have `route_priorities`.
fn configuration(
    workspaces: Option<input::Workspaces>,
    route_priorities: &[u8],
) -> input::Configuration {
    let mut configuration = fixture::configuration(2);
    configuration.workspaces = workspaces;
    let kind = input::RouteKind::Stream;
    let routes = route_priorities.iter().map(|priority| input::Route {
        priority: *priority,
        ..fixture::route(&format!("/p{priority}/"), kind, "engine")
    });
    configuration.routes = routes.collect();
    configuration
}

fn class(workspace: u8, route: u8, begins_program: bool) -> priority_classes::CallClass {
    priority_classes::CallClass { workspace, route, begins_program }
}

/// Returns the ids of the first turns of `workspaces`, which arrive in this order and wait in an outage
/// of the log, in the order in which they are sent at its end.
fn sent_order(
    configured: &[(&str, Option<u8>)],
    workspaces: &[&str],
    used_ms: &[(&str, f64)],
) -> Vec<u64> {
    let mut gateway = fixture::Gateway::new("one");
    let mut log = fixture::MemoryLog {
        error: Some(input::LogError::Refused),
        ..fixture::MemoryLog::default()
    };
    let mut configuration = fixture::configuration(2);
    configuration.workspaces = Some(fixture::workspaces(configured));
    gateway.tick(vec![input::Input::Configuration(Box::new(configuration))]);
    gateway.tick(vec![input::Input::ListUnreachable]);
    gateway.advance(time::Duration::from_millis(400), &mut log);
    gateway.tick(vec![input::Input::ListUnreachable]);
    for (name, ms) in used_ms {
        gateway.world.tables.shares.record(Some(&workspace(name)), *ms, gateway.now);
    }
    for (call, name) in (1..).zip(workspaces) {
        let id = format!("t{call}");
        let turn = fixture::turn_request(call, &id, &format!("p{call}"), None, 8_000);
        gateway.receive(fixture::with_key(name, turn));
    }

    gateway.tick(vec![input::Input::Endpoints(fixture::endpoints())]);

    gateway.sent.iter().map(|sent| sent.call.0).collect()
}

// Guards against calls of an urgent workspace that wait behind those of others.
#[test]
fn workspace_with_the_lower_priority_number_is_sent_first() {
    let configured = [("batch", Some(2)), ("clinic", Some(0)), ("unset", None)];

    let order = sent_order(&configured, &["batch", "unset", "clinic"], &[]);

    assert_eq!(order, [3, 1, 2], "a workspace without a priority is in the last class");
}

// Guards against a workspace with much load that is always served before the others.
#[test]
fn workspace_with_the_least_engine_time_is_sent_first_within_a_class() {
    let configured = [("hot", Some(1)), ("calm", Some(1)), ("new", Some(1))];
    let used_ms = [("hot", 50_000.0), ("calm", 300.0)];

    let order = sent_order(&configured, &["hot", "calm", "new", "hot"], &used_ms);

    assert_eq!(order, [3, 2, 1, 4], "equals go in the order of their arrival");
}

// Guards against engine time that is never recorded, so that all workspaces seem equal, and against
// work for callers without workspaces in a deployment that has none.
#[test]
fn attempts_that_may_have_run_count_as_engine_time() {
    let mut log = fixture::MemoryLog::default();
    let run = |workspaces: Option<input::Workspaces>, outcome, log: &mut fixture::MemoryLog| {
        let mut gateway = fixture::Gateway::new("one");
        let mut configuration = fixture::configuration(2);
        configuration.workspaces = workspaces;
        configuration.routes.iter_mut().for_each(|route| route.is_public = true);
        gateway.tick(vec![input::Input::Configuration(Box::new(configuration))]);
        gateway.receive(fixture::historyless_turn_request(1, "a", "p", Some(8_000)));
        gateway.advance(time::Duration::from_millis(300), log);
        gateway.end_attempt(1, outcome);
        let used = gateway.world.tables.shares.used_ms(None, gateway.now);
        (used, gateway.world.tables.shares.len())
    };
    let configured = || Some(fixture::workspaces(&[("calm", None)]));

    let (streamed, _) = run(configured(), fixture::stream_outcome(2), &mut log);
    let refused = input::Outcome::Refused { status: 503, load: None };
    let (after_refusal, _) = run(configured(), refused, &mut log);
    let (_, rows) = run(None, fixture::stream_outcome(2), &mut log);

    // 300 ms, and 100 tokens of its prompt.
    assert!((300.0..320.0).contains(&streamed), "{streamed} ms");
    assert_eq!(after_refusal, 0.0, "a refused attempt did not run");
    assert_eq!(rows, 0, "a deployment without workspaces keeps no rows");
}

// Guards against a table that grows with every workspace there ever was, and against engine time that
// counts for ever.
#[test]
fn engine_time_fades_and_rows_are_bounded() {
    let mut table = shares::Shares::default();
    let start = core_time::Timestamp::ZERO;
    for number in 0..10_000 {
        let name = workspace(&format!("w{number}"));
        table.record(Some(&name), 100.0 + f64::from(number), start);
    }
    let newest = workspace("w9999");

    let half = table.used_ms(Some(&newest), start.after(time::Duration::from_secs(10)));
    let rows = table.len();
    table.expire(start.after(time::Duration::from_secs(600)));

    assert!((half - 10_099.0 / 2.0).abs() < 1.0, "{half} ms");
    assert!(rows <= 4096, "{rows} rows");
    assert!(table.is_empty());
}

// Guards against urgencies that change in deployments that have no workspaces.
#[test]
fn urgency_without_workspaces_follows_from_the_route_alone() {
    let configuration = configuration(None, &[0, 1, 2]);
    let classes = priority_classes::PriorityClasses::new(&configuration);

    let urgencies: Vec<u8> = [0, 1, 2, 6, 200]
        .into_iter()
        .flat_map(|route| [class(0, route, false), class(0, route, true)])
        .map(|class| classes.urgency(class, false))
        .collect();

    assert_eq!(urgencies, [3, 3, 4, 4, 5, 5, 9, 9, 9, 9]);
}

// Guards against engines that can't tell begun programs from first turns although the range has room.
#[test]
fn begun_programs_are_more_urgent_than_first_turns_where_the_range_allows_it() {
    let workspaces = fixture::workspaces(&[("a", Some(0)), ("b", Some(1))]);
    let configuration = configuration(Some(workspaces), &[0, 3]);
    let classes = priority_classes::PriorityClasses::new(&configuration);

    for (workspace, route) in [(0, 0), (0, 3), (1, 0), (1, 3)] {
        let begun = classes.urgency(class(workspace, route, false), true);
        let first = classes.urgency(class(workspace, route, true), true);
        assert!(begun < first, "workspace {workspace}, route {route}: {begun} and {first}");
    }
}

proptest! {
    // Guards against a call of a less urgent workspace, or of a less urgent route of the same workspace,
    // that engines serve first, whatever priorities a configuration names.
    #[test]
    fn urgencies_keep_the_order_of_workspaces_and_routes(
        workspaces in proptest::collection::btree_set(0_u8..=255, 1..8),
        routes in proptest::collection::btree_set(0_u8..=255, 1..6),
    ) {
        let names: Vec<String> = workspaces.iter().map(|priority| format!("w{priority}")).collect();
        let rows: Vec<_> =
            names.iter().zip(&workspaces).map(|(name, at)| (name.as_str(), Some(*at))).collect();
        let routes: Vec<u8> = routes.into_iter().collect();
        let configuration = configuration(Some(fixture::workspaces(&rows)), &routes);
        let classes = priority_classes::PriorityClasses::new(&configuration);

        let calls = workspaces.iter().flat_map(|workspace| {
            routes.iter().flat_map(|route| [false, true].map(|b| class(*workspace, *route, b)))
        });
        let urgencies: Vec<(u8, u8)> =
            calls.map(|class| (class.workspace, classes.urgency(class, true))).collect();

        prop_assert!(urgencies.iter().all(|(_, urgency)| *urgency <= 9));
        prop_assert!(urgencies.is_sorted_by_key(|(_, urgency)| *urgency), "{urgencies:?}");
        for pair in urgencies.windows(2).filter(|pair| pair[0].0 != pair[1].0) {
            prop_assert!(pair[0].1 < pair[1].1, "{urgencies:?}");
        }
    }
}
