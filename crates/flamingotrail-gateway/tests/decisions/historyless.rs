//! Budgets on routes that keep no history: the same account as on routes that do, without records
//! of turns.

use std::time;

use crate::fixture;
use flamingotrail_gateway::ids;
use flamingotrail_gateway::input;
use flamingotrail_gateway::journal;
use flamingotrail_gateway::output;

// Guards against budgets that hold only where history is kept: a program without history got 16
// turns on a budget of two.
#[test]
fn budget_holds_without_history() {
    let mut log = fixture::MemoryLog::default();
    let mut gateway = fixture::Gateway::new("one");
    for call in 1..=2 {
        let request = fixture::historyless_turn_request(call, &format!("t{call}"), "p", Some(160));
        gateway.run_turn(request, 10, &mut log);
    }

    gateway.receive(fixture::historyless_turn_request(3, "t3", "p", Some(160)));
    gateway.complete_log_calls(&mut log);

    assert_eq!(gateway.finished.len(), 2);
    assert_eq!(gateway.refusal_reason(3), Some(output::Reason::BudgetSpent));
    assert!(!gateway.sent.iter().any(|sent| sent.call == ids::CallId(3)));
}

#[test]
fn budget_without_history_holds_over_two_gateways() {
    let mut log = fixture::MemoryLog::default();
    let mut first = fixture::Gateway::new("one");
    let mut second = fixture::Gateway::new("two");
    first.receive(fixture::historyless_turn_request(1, "a", "p", Some(100)));
    first.complete_log_calls(&mut log);

    second.receive(fixture::historyless_turn_request(1, "b", "p", Some(100)));
    second.complete_log_calls(&mut log);

    assert!(second.released.is_empty(), "80 of 100 tokens are reserved by the other gateway");
    assert!(second.refusal_reason(1).is_some());
}

#[test]
fn budget_without_history_holds_after_a_restart() {
    let mut log = fixture::MemoryLog::default();
    let mut before = fixture::Gateway::new("one");
    before.receive(fixture::historyless_turn_request(1, "a", "p", Some(100)));
    before.complete_log_calls(&mut log);

    let mut after = fixture::Gateway::new("one");
    after.receive(fixture::historyless_turn_request(1, "b", "p", Some(100)));
    after.complete_log_calls(&mut log);

    assert!(after.released.is_empty(), "the reservations of the lost process count as used");
    assert!(after.sent.iter().all(|sent| sent.gated));
}

#[test]
fn budget_without_history_holds_while_the_log_is_away() {
    let mut gateway = fixture::Gateway::new("one");
    let mut log = fixture::MemoryLog {
        error: Some(input::LogError::Refused),
        ..fixture::MemoryLog::default()
    };

    gateway.receive(fixture::historyless_turn_request(1, "a", "p", Some(160)));
    gateway.advance(time::Duration::from_millis(200), &mut log);

    assert!(gateway.sent.iter().all(|sent| sent.gated), "no grant, so no event is released");
    assert!(gateway.released.is_empty());
}

#[test]
fn program_uses_one_budget_on_routes_with_and_without_history() {
    let mut log = fixture::MemoryLog::default();
    let mut gateway = fixture::Gateway::new("one");
    gateway.run_turn(fixture::turn_request(1, "a", "p", None, 160), 10, &mut log);
    gateway.run_turn(fixture::historyless_turn_request(2, "b", "p", Some(160)), 10, &mut log);

    gateway.receive(fixture::turn_request(3, "c", "p", Some("a"), 160));
    gateway.complete_log_calls(&mut log);

    assert_eq!(gateway.refusal_reason(3), Some(output::Reason::BudgetSpent));
}

#[test]
fn turn_without_history_is_not_recorded() {
    let mut log = fixture::MemoryLog::default();
    let mut gateway = fixture::Gateway::new("one");

    gateway.run_turn(fixture::historyless_turn_request(1, "a", "p", Some(8_000)), 2, &mut log);
    gateway.run_turn(fixture::historyless_turn_request(2, "b", "q", None), 2, &mut log);

    assert_eq!(gateway.finished.len(), 2);
    let records: Vec<_> = log.records.values().flatten().collect();
    assert!(
        matches!(records[..], [journal::Record::Start(_)]),
        "one allowance and nothing else: {records:?}"
    );
}

// Guards against a turn that names no maximum: it would reserve nothing and stream without end.
#[test]
fn turn_without_a_maximum_reserves_its_whole_budget() {
    let mut log = fixture::MemoryLog::default();
    let mut gateway = fixture::Gateway::new("one");
    let mut request = fixture::historyless_turn_request(1, "a", "p", Some(160));
    request.usage = None;

    gateway.receive(request);
    gateway.complete_log_calls(&mut log);
    gateway.receive(fixture::historyless_turn_request(2, "b", "p", Some(160)));
    gateway.complete_log_calls(&mut log);

    let max_events = 160 / fixture::TOKENS_PER_EVENT + 1;
    assert_eq!(gateway.sent[0].max_events, Some(max_events));
    assert_eq!(gateway.refusal_reason(2), Some(output::Reason::BudgetSpent));
}

#[test]
fn smallest_budget_of_a_program_holds() {
    let mut log = fixture::MemoryLog::default();
    let mut first = fixture::Gateway::new("one");
    let mut second = fixture::Gateway::new("two");
    first.run_turn(fixture::historyless_turn_request(1, "a", "p", Some(80)), 10, &mut log);

    first.receive(fixture::historyless_turn_request(2, "b", "p", None));
    first.complete_log_calls(&mut log);
    second.receive(fixture::historyless_turn_request(1, "c", "p", Some(8_000)));
    second.complete_log_calls(&mut log);

    assert_eq!(first.refusal_reason(2), Some(output::Reason::BudgetSpent), "no budget named");
    assert!(second.released.is_empty(), "a larger budget named");
    assert!(second.refusal_reason(1).is_some());
}

#[test]
fn budget_smaller_than_a_turn_is_refused() {
    let mut log = fixture::MemoryLog::default();
    let mut gateway = fixture::Gateway::new("one");

    gateway.receive(fixture::historyless_turn_request(1, "a", "p", Some(79)));
    gateway.complete_log_calls(&mut log);

    assert_eq!(gateway.refusal_reason(1), Some(output::Reason::BudgetSpent));
    assert!(gateway.sent.is_empty());
}

// Guards against programs without end that cost a record for each refusal.
#[test]
fn turn_that_can_never_fit_is_refused_without_the_log() {
    let mut log = fixture::MemoryLog::default();
    let mut gateway = fixture::Gateway::new("one");
    gateway.run_turn(fixture::historyless_turn_request(1, "a", "p", Some(80)), 10, &mut log);
    gateway.advance(time::Duration::from_secs(1), &mut log);
    let appends = log.appends;
    log.error = Some(input::LogError::Refused);

    gateway.receive(fixture::historyless_turn_request(2, "b", "p", Some(80)));

    assert_eq!(gateway.refusal_reason(2), Some(output::Reason::BudgetSpent));
    gateway.complete_log_calls(&mut log);
    assert_eq!(log.appends, appends);
}
