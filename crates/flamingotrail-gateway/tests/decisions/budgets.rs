//! Budgets: in any order of records, the tokens that callers receive never exceed the program's
//! budget.

use std::time;

use crate::fixture;
use flamingotrail_gateway::ids;
use flamingotrail_gateway::input;
use flamingotrail_gateway::journal;
use flamingotrail_gateway::output;
use flamingotrail_gateway::tables::programs;
use proptest::prelude::*;

#[test]
fn logged_turn_waits_for_its_reservation() {
    let mut log = fixture::MemoryLog::default();
    let mut gateway = fixture::Gateway::new("one");
    let request = fixture::turn_request(1, "a", "p", None, 800);
    let budget_partition =
        ids::Partition::of_program(&ids::ProgramId::new("p"), fixture::PARTITIONS);
    gateway.receive(request);
    // The append of the `End` record succeeds before that of the `Start` record has a result.
    gateway.end_attempt(1, fixture::stream_outcome(2));
    let turn_partition = ids::Partition::of_turn(&ids::TurnId::new("a"), fixture::PARTITIONS);
    let result = Ok(ids::Offset(0));
    gateway.tick(vec![input::Input::Appended { partition: turn_partition, result }]);
    let finished_early = gateway.has_finished(1);
    gateway.complete_log_calls(&mut log);

    assert_ne!(budget_partition, turn_partition, "budgets and turns have separate partitions");
    assert!(!finished_early, "the reservation was not granted yet");
    assert!(gateway.has_finished(1));
}

#[test]
fn turn_over_budget_is_refused_without_being_sent() {
    let mut log = fixture::MemoryLog::default();
    let mut gateway = fixture::Gateway::new("one");
    gateway.run_turn(fixture::turn_request(1, "a", "p", None, 160), 10, &mut log);
    gateway.run_turn(fixture::turn_request(2, "b", "p", Some("a"), 160), 10, &mut log);

    gateway.receive(fixture::turn_request(3, "c", "p", Some("b"), 160));
    gateway.complete_log_calls(&mut log);

    assert_eq!(gateway.refusal_reason(3), Some(output::Reason::BudgetSpent));
    assert!(!gateway.sent.iter().any(|sent| sent.call == ids::CallId(3)));
}

#[test]
fn budget_is_enforced_across_two_gateways() {
    let mut log = fixture::MemoryLog::default();
    let mut first = fixture::Gateway::new("one");
    let mut second = fixture::Gateway::new("two");
    first.receive(fixture::turn_request(1, "a", "p", None, 100));
    first.complete_log_calls(&mut log);

    second.receive(fixture::turn_request(1, "b", "p", None, 100));
    second.complete_log_calls(&mut log);

    assert!(first.released.contains(&ids::CallId(1)) || !first.sent[0].gated);
    assert!(second.released.is_empty(), "80 of 100 tokens are reserved by the other gateway");
    assert!(second.refusal_reason(1).is_some());
}

#[test]
fn budget_is_enforced_after_a_restart_during_a_turn() {
    let mut log = fixture::MemoryLog::default();
    let mut before = fixture::Gateway::new("one");
    before.receive(fixture::turn_request(1, "a", "p", None, 100));
    before.complete_log_calls(&mut log);

    let mut after = fixture::Gateway::new("one");
    after.receive(fixture::turn_request(1, "b", "p", None, 100));
    after.complete_log_calls(&mut log);

    assert!(after.released.is_empty(), "the reservations of the lost process count as used");
}

#[test]
fn disconnect_before_the_decision_uses_no_budget() {
    let mut log = fixture::MemoryLog::default();
    let mut gateway = fixture::Gateway::new("one");
    gateway.receive(fixture::turn_request(1, "a", "p", None, 100));
    gateway.tick(vec![input::Input::Disconnected(ids::CallId(1))]);
    gateway.end_attempt(1, input::Outcome::Cancelled);
    gateway.complete_log_calls(&mut log);

    gateway.receive(fixture::turn_request(2, "b", "p", None, 100));
    gateway.complete_log_calls(&mut log);

    assert_eq!(gateway.cancelled, [ids::CallId(1)]);
    assert!(gateway.refusal_reason(2).is_none());
    assert_eq!(gateway.sent.last().map(|sent| sent.call), Some(ids::CallId(2)));
}

#[test]
fn one_allowance_covers_several_turns_of_a_program() {
    let mut log = fixture::MemoryLog::default();
    let mut gateway = fixture::Gateway::new("one");

    let mut previous = None;
    for call in 0..6 {
        let id = format!("t{call}");
        gateway.run_turn(
            fixture::turn_request(call, &id, "p", previous.as_deref(), 8_000),
            2,
            &mut log,
        );
        previous = Some(id);
    }

    assert_eq!(gateway.finished.len(), 6);
    assert!(log.appends <= 8, "at most 6 `End` and 2 `Start` records, not {}", log.appends);
}

#[test]
fn turn_near_the_budget_limit_waits_for_the_decision() {
    let mut log = fixture::MemoryLog::default();
    let mut first = fixture::Gateway::new("one");
    let mut second = fixture::Gateway::new("two");
    first.run_turn(fixture::turn_request(1, "a", "p", None, 160), 10, &mut log);
    second.run_turn(fixture::turn_request(1, "b", "p", Some("a"), 160), 10, &mut log);

    // Only by reading the log does the first gateway learn what the second one has used.
    first.receive(fixture::turn_request(2, "c", "p", Some("b"), 160));
    first.complete_log_calls(&mut log);

    assert_eq!(first.refusal_reason(2), Some(output::Reason::BudgetSpent));
    assert!(!first.sent.iter().any(|sent| sent.call == ids::CallId(2)));
}

#[test]
fn allowances_of_many_gateways_do_not_exhaust_the_budget() {
    let mut log = fixture::MemoryLog::default();
    let mut previous: Option<String> = None;

    for number in 0..8 {
        let mut gateway = fixture::Gateway::new(&format!("gateway-{number}"));
        let id = format!("t{number}");
        let turn = fixture::turn_request(1, &id, "p", previous.as_deref(), 1_200);
        gateway.run_turn(turn, 1, &mut log);
        previous = Some(id);

        assert!(gateway.has_finished(1), "gateway {number}: {:?}", gateway.refusal_reason(1));
    }
}

#[test]
fn unused_budget_is_settled_through_a_peer_during_a_log_outage() {
    let mut log = fixture::MemoryLog::default();
    let mut unreachable_log = fixture::MemoryLog {
        error: Some(input::LogError::Refused),
        ..fixture::MemoryLog::default()
    };
    let mut gateway = fixture::Gateway::new("one");
    gateway.tick(vec![input::Input::Peers([fixture::peer("two", "north")].into())]);
    gateway.run_turn(fixture::turn_request(1, "a", "p", None, 160), 2, &mut log);

    gateway.advance(time::Duration::from_secs(2), &mut unreachable_log);

    let settled = gateway.relayed_records.iter().find_map(|(_, record)| match record {
        journal::Record::Settle(settle) => settle.settled.first(),
        _ => None,
    });
    assert_eq!(settled.map(|settled| settled.tokens), Some(2 * fixture::TOKENS_PER_EVENT));
}

/// Runs `count` turns of at most `max_tokens` at once, each of as many events as that takes; returns the
/// tokens that callers get.
fn run_small_turns_at_once(count: u64, max_tokens: u64, budget: u64) -> u64 {
    let mut log = fixture::MemoryLog::default();
    let mut gateway = fixture::Gateway::new("one");
    for call in 0..count {
        let mut request = fixture::turn_request(call, &format!("t{call}"), "p", None, budget);
        request.usage = Some(input::Usage { prompt: 100, max_output: max_tokens });
        gateway.receive(request);
    }
    gateway.complete_log_calls(&mut log);
    let events = max_tokens.div_ceil(fixture::TOKENS_PER_EVENT);
    for call in 0..count {
        if gateway.refusal_reason(call).is_none() {
            gateway.end_attempt(call, fixture::stream_outcome(events));
            gateway.complete_log_calls(&mut log);
        }
    }
    let finished = u64::try_from(gateway.finished.len()).expect("few");
    finished * events * fixture::TOKENS_PER_EVENT
}

// Guards against turns that reserve fewer tokens than their events count for: many small turns at once
// got twice their budget.
#[test]
fn small_turns_at_once_reserve_whole_events() {
    for (max_tokens, budget) in [(4, 40), (9, 90), (100, 1_000)] {
        let tokens = run_small_turns_at_once(10, max_tokens, budget);

        assert!(tokens <= budget + max_tokens, "{tokens} of {budget} tokens");
        assert!(tokens + 2 * max_tokens > budget / 2, "only {tokens} of {budget} tokens");
    }
}

// Guards against a turn that is refused because whole events take more than a budget that is no multiple
// of them.
#[test]
fn turn_of_the_whole_budget_runs() {
    let mut log = fixture::MemoryLog::default();
    let mut gateway = fixture::Gateway::new("one");
    let mut request = fixture::turn_request(1, "a", "p", None, 81);
    request.usage = Some(input::Usage { prompt: 100, max_output: 81 });

    gateway.run_turn(request, 10, &mut log);

    assert!(gateway.has_finished(1), "{:?}", gateway.refusal_reason(1));
}

fn turn_id(number: u8) -> ids::TurnId {
    ids::TurnId::new(format!("t{number}"))
}

proptest! {
    /// The sizes of open allowances plus the used tokens of closed ones never exceed the budget.
    #[test]
    fn committed_tokens_never_exceed_the_budget(
        steps in proptest::collection::vec((0_u8..12, 1_u64..60, 0_u64..120, any::<bool>()), 1..60),
        budget in 50_u64..400,
    ) {
        let mut program = programs::Program::default();
        for (number, min_tokens, extra_tokens, settles) in steps {
            let id = turn_id(number);
            if let (true, Some(size)) = (settles, program.open_allowances.get(&id).copied()) {
                let tokens = size.min(extra_tokens);
                let settled = journal::SettledAllowance { turn: id, tokens };
                program.settle(&settled);
                program.settle(&settled);
            } else {
                program.grant(&id, min_tokens, min_tokens + extra_tokens, budget);
            }
            prop_assert!(program.committed_tokens() <= budget);
        }
    }
}
