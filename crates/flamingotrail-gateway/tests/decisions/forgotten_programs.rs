//! Budgets of programs whose rows a gateway has removed from memory: the log's records still count.

use std::time;

use crate::fixture;
use flamingotrail_gateway::ids;
use flamingotrail_gateway::input;
use flamingotrail_gateway::journal;
use flamingotrail_gateway::output;
use proptest::prelude::*;

/// Maximum number of tokens of a turn of the fixture.
const TURN_TOKENS: u64 = 80;
/// Number of events of a turn that uses its maximum.
const FULL_TURN_EVENTS: u64 = TURN_TOKENS / fixture::TOKENS_PER_EVENT;
/// Longer than rows of other gateways' programs stay in memory.
const FORGOTTEN_AFTER: time::Duration = time::Duration::from_secs(75);

fn full_turn(call: u64, program: &str, budget: u64) -> input::Arrival {
    fixture::turn_request(call, &format!("{program}-{call}"), program, None, budget)
}

/// Runs one turn of "p" at `first` and `later_turns` at `second`, which `first` learns of through the
/// records of another program in the same partition if `reads_on`.
fn run_until_forgotten(
    first: &mut fixture::Gateway,
    second: &mut fixture::Gateway,
    later_turns: u64,
    budget: u64,
    reads_on: bool,
    log: &mut fixture::MemoryLog,
) {
    first.run_turn(full_turn(1, "p", budget), FULL_TURN_EVENTS, log);
    first.advance(fixture::LOG_RETENTION, log);
    second.advance(fixture::LOG_RETENTION, log);
    for call in 2..2 + later_turns {
        second.run_turn(full_turn(call, "p", budget), FULL_TURN_EVENTS, log);
    }
    if reads_on {
        let partition = |program: &str| {
            ids::Partition::of_program(&ids::ProgramId::new(program), fixture::PARTITIONS)
        };
        let neighbour = (0..).map(|number| format!("q{number}"));
        let neighbour = neighbour.into_iter().find(|name| partition(name) == partition("p"));
        first.run_turn(full_turn(50, &neighbour.expect("one"), 80_000), 1, log);
    }
}

// Guards against a budget that is granted once more when a program returns to a gateway that has
// removed its row from memory, while the place up to which it has read the log stayed.
#[test]
fn program_that_returns_gets_what_is_left_of_its_budget() {
    for reads_on in [false, true] {
        let mut log = fixture::MemoryLog::default();
        let mut first = fixture::Gateway::new("one");
        let mut second = fixture::Gateway::new("two");
        let budget = 4 * TURN_TOKENS;
        run_until_forgotten(&mut first, &mut second, 2, budget, reads_on, &mut log);

        first.run_turn(full_turn(60, "p", budget), FULL_TURN_EVENTS, &mut log);
        first.receive(full_turn(61, "p", budget));
        first.complete_log_calls(&mut log);

        assert!(first.has_finished(60), "one turn is left: {:?}", first.refusal_reason(60));
        assert_eq!(first.refusal_reason(61), Some(output::Reason::BudgetSpent));
    }
}

// Guards against a spent budget of which the caller learns only by a broken answer, because the turn
// was sent before the program's records were read again.
#[test]
fn turn_of_a_forgotten_program_is_not_sent_before_its_account_is_known() {
    let mut log = fixture::MemoryLog::default();
    let mut first = fixture::Gateway::new("one");
    let mut second = fixture::Gateway::new("two");
    let budget = 3 * TURN_TOKENS;
    run_until_forgotten(&mut first, &mut second, 2, budget, false, &mut log);

    first.receive(full_turn(60, "p", budget));
    first.complete_log_calls(&mut log);

    assert_eq!(first.refusal_reason(60), Some(output::Reason::BudgetSpent));
    assert!(!first.sent.iter().any(|sent| sent.call == ids::CallId(60)));
}

// Guards against a gateway that grants another one an allowance by an account it has forgotten.
#[test]
fn relayed_request_for_an_allowance_is_decided_by_all_records() {
    let mut log = fixture::MemoryLog::default();
    let mut first = fixture::Gateway::new("one");
    let mut second = fixture::Gateway::new("two");
    let budget = 3 * TURN_TOKENS;
    run_until_forgotten(&mut first, &mut second, 2, budget, true, &mut log);
    let record = Box::new(journal::Record::Start(journal::Start {
        turn: ids::TurnId::new("late"),
        program: ids::ProgramId::new("p"),
        min_tokens: TURN_TOKENS,
        desired_tokens: TURN_TOKENS,
        budget,
        settled: Vec::new(),
        age: time::Duration::ZERO,
    }));

    first.tick(vec![input::Input::RelayRequested { ticket: 1, record }]);
    first.complete_log_calls(&mut log);

    assert_eq!(first.relay_responses, [input::RelayResponse { logged: true, size: None }]);
}

// Guards against the account of a program being removed while a turn of it runs in an allowance that
// takes no further turns.
#[test]
fn turn_that_runs_for_long_is_charged() {
    let mut log = fixture::MemoryLog::default();
    let mut gateway = fixture::Gateway::new("one");
    let mut configuration = fixture::configuration(2);
    configuration.routes[0].timeout = 2 * FORGOTTEN_AFTER;
    gateway.tick(vec![input::Input::Configuration(Box::new(configuration))]);
    let budget = 3 * TURN_TOKENS;
    let mut long = full_turn(1, "p", budget);
    long.timeout = Some(2 * FORGOTTEN_AFTER);
    gateway.receive(long);
    gateway.complete_log_calls(&mut log);
    gateway.run_turn(full_turn(2, "p", budget), FULL_TURN_EVENTS, &mut log);
    gateway.advance(FORGOTTEN_AFTER, &mut log);
    gateway.end_attempt(1, fixture::stream_outcome(FULL_TURN_EVENTS));
    gateway.complete_log_calls(&mut log);

    gateway.run_turn(full_turn(3, "p", budget), FULL_TURN_EVENTS, &mut log);
    gateway.receive(full_turn(4, "p", budget));
    gateway.complete_log_calls(&mut log);

    assert_eq!(gateway.finished.len(), 3);
    assert_eq!(gateway.refusal_reason(4), Some(output::Reason::BudgetSpent));
}

// Guards against a settlement that is forgotten with its program: the allowance would count in full.
#[test]
fn unused_part_of_an_allowance_is_settled_when_the_program_returns() {
    let mut log = fixture::MemoryLog::default();
    let mut gateway = fixture::Gateway::new("one");
    let budget = 2 * TURN_TOKENS;
    gateway.run_turn(full_turn(1, "p", budget), 1, &mut log);
    gateway.advance(FORGOTTEN_AFTER, &mut log);

    gateway.run_turn(full_turn(2, "p", budget), 1, &mut log);

    assert!(gateway.has_finished(2), "{:?}", gateway.refusal_reason(2));
}

// Guards against a budget that ends with the row that knew it, for turns that name none.
#[test]
fn turn_without_a_budget_gets_that_of_a_forgotten_program() {
    for path in ["/chat/1", "/ask/1"] {
        let mut log = fixture::MemoryLog::default();
        let mut first = fixture::Gateway::new("one");
        let mut second = fixture::Gateway::new("two");
        run_until_forgotten(&mut first, &mut second, 2, 3 * TURN_TOKENS, false, &mut log);
        let mut request = full_turn(60, "p", 0);
        request.path = path.to_owned();
        request.program.as_mut().expect("a program").budget = None;

        first.receive(request);
        first.complete_log_calls(&mut log);

        assert_eq!(first.refusal_reason(60), Some(output::Reason::BudgetSpent), "{path}");
    }
}

// Guards against a wait without end for a program whose records the log has dropped.
#[test]
fn program_whose_records_were_dropped_is_served() {
    let mut log = fixture::MemoryLog::default();
    let mut first = fixture::Gateway::new("one");
    let mut second = fixture::Gateway::new("two");
    run_until_forgotten(&mut first, &mut second, 1, 8_000, false, &mut log);
    log.drop_all();
    let reads_before = log.reads;

    first.run_turn(full_turn(60, "p", 8_000), 1, &mut log);

    assert!(first.has_finished(60));
    assert!(log.reads - reads_before <= 3, "{}", log.reads - reads_before);
}

/// Runs a turn at `gateway` every 50 s for twice the log's retention; returns the number of turns.
fn run_beyond_log_retention(
    gateway: &mut fixture::Gateway,
    budget: u64,
    log: &mut fixture::MemoryLog,
) -> u64 {
    let interval = time::Duration::from_secs(50);
    let count = 2 * fixture::LOG_RETENTION.as_secs() / interval.as_secs();
    for call in 0..count {
        gateway.run_turn(full_turn(call, "p", budget), FULL_TURN_EVENTS, log);
        gateway.advance(interval, log);
    }
    count
}

// Guards against a budget that is granted again once the log has dropped the program's first records.
#[test]
fn budget_outlives_the_records_that_it_was_spent_by() {
    let mut log = fixture::MemoryLog::default();
    let mut first = fixture::Gateway::new("one");
    let budget = 14 * TURN_TOKENS;
    let turns = run_beyond_log_retention(&mut first, budget, &mut log);
    let mut second = fixture::Gateway::new("two");
    second.now = first.now;

    for call in turns..turns + 4 {
        second.receive(full_turn(call, "p", budget));
        second.complete_log_calls(&mut log);
        if second.refusal_reason(call).is_none() {
            second.end_attempt(call, fixture::stream_outcome(FULL_TURN_EVENTS));
            second.complete_log_calls(&mut log);
        }
    }

    assert_eq!(first.finished.len() + second.finished.len(), 14);
    assert_eq!(second.refusal_reason(turns + 3), Some(output::Reason::BudgetSpent));
}

// Guards against allowances that are carried along by records that don't need to.
#[test]
fn young_program_carries_no_allowances_along() {
    let mut log = fixture::MemoryLog::default();
    let mut gateway = fixture::Gateway::new("one");
    for call in 0..20 {
        gateway.run_turn(full_turn(call, "p", 80_000), FULL_TURN_EVENTS, &mut log);
        gateway.advance(time::Duration::from_secs(2), &mut log);
    }

    let records = log.records.values().flatten();
    let settles = records.filter(|record| matches!(record, journal::Record::Settle(_)));

    assert_eq!(settles.count(), 0, "requests for allowances settle those before them");
}

/// A step of a random run: a turn of a program at one of the gateways.
#[derive(Clone, Debug)]
struct Step {
    gateway: usize,
    program: u64,
    events: u64,
    pause_s: u64,
    restarts: bool,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = (0..3_usize, 0..2_u64, 1..=FULL_TURN_EVENTS, 0..50_u64, 0..12_u8);
    let step = step.prop_map(|(gateway, program, events, pause_s, restart)| Step {
        gateway,
        program,
        events,
        // Most turns follow soon; some only when rows were removed.
        pause_s: if pause_s < 40 { pause_s / 8 } else { 30 + pause_s },
        restarts: restart == 0,
    });
    proptest::collection::vec(step, 1..120)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    /// However turns are spread over gateways that forget, restart and read in small pages, no program
    /// gets more than its budget, and none is refused while its budget has room for a turn beside
    /// an allowance of each gateway.
    #[test]
    fn budgets_hold_at_gateways_that_forget(steps in steps(), page in 1_usize..9) {
        const RETENTION_S: u64 = 60;
        const BUDGET: u64 = 6 * TURN_TOKENS;
        let mut log = fixture::MemoryLog { max_page_records: Some(page), ..Default::default() };
        let names = ["one", "two", "three"];
        let mut gateways = names.map(fixture::Gateway::new);
        let mut used = [0_u64; 2];
        let mut restarts = 0;
        let mut last_turn_s = [0_u64; 2];
        let mut now_s = 0;

        for (call, step) in (0..).zip(&steps) {
            // A program returns within its retention.
            let returns_by_s = last_turn_s.iter().min().expect("two") + RETENTION_S;
            let pause_s = step.pause_s.min(returns_by_s.saturating_sub(now_s));
            now_s += pause_s;
            for gateway in &mut gateways {
                gateway.advance(time::Duration::from_secs(pause_s), &mut log);
            }
            let gateway = &mut gateways[step.gateway];
            if step.restarts {
                let now = gateway.now;
                *gateway = fixture::Gateway::new(names[step.gateway]);
                gateway.now = now;
                restarts += 1;
            }
            last_turn_s[usize::try_from(step.program).expect("small")] = now_s;
            let spent = &mut used[usize::try_from(step.program).expect("small")];
            gateway.receive(full_turn(call, &format!("p{}", step.program), BUDGET));
            gateway.complete_log_calls(&mut log);
            if gateway.refusal_reason(call).is_some() {
                // Each gateway, before and after a restart, may hold an allowance of at most a fifth.
                let held = (3 + restarts) * BUDGET / 5;
                prop_assert!(*spent + held + TURN_TOKENS > BUDGET, "refused after {spent}");
                continue;
            }
            gateway.end_attempt(call, fixture::stream_outcome(step.events));
            gateway.complete_log_calls(&mut log);
            gateway.tick(vec![input::Input::Delivered(ids::CallId(call))]);
            if gateway.has_finished(call) {
                *spent += step.events * fixture::TOKENS_PER_EVENT;
            }
            prop_assert!(*spent <= BUDGET, "{spent} tokens");
        }
    }
}
