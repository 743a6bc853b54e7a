//! Order of calls at the owner of a partition: early calls, repeated calls and the limit on waiting
//! for a missing turn; ticks of an idle world.

use flamingotrail_core::errors;
use flamingotrail_core::work;
use flamingotrail_standins::world_harness;

fn advance(solo: &mut world_harness::WorldHarness, millis: u64) {
    solo.advance(std::time::Duration::from_millis(millis));
}

/// Returns a world in which program 1 has completed its first turn.
fn after_first_turn() -> world_harness::WorldHarness {
    let mut solo = world_harness::WorldHarness::new();
    let first = solo.call_input(1, 1, 40);
    solo.run(vec![first]);
    advance(&mut solo, 50);
    solo
}

#[test]
fn an_early_call_waits_for_the_one_before_it() {
    let mut solo = after_first_turn();
    let third = solo.call_input(1, 3, 40);
    let second = solo.call_input(1, 2, 30);

    solo.run(vec![third]);
    advance(&mut solo, 500);
    let before = (solo.replies, solo.executions);
    solo.run(vec![second]);
    advance(&mut solo, 500);

    assert_eq!(before, ((1, 0), 1));
    assert_eq!(solo.replies, (3, 0));
    assert_eq!(solo.last_reply.map(|reply| reply.turn), Some(3));
}

#[test]
fn an_early_call_whose_missing_turn_never_arrives_is_refused_as_not_run() {
    let mut solo = after_first_turn();
    let third = solo.call_input(1, 3, 40);

    solo.run(vec![third]);
    advance(&mut solo, 61_000);

    let outcome = solo.last_reply.map(|reply| reply.outcome);
    let missing = matches!(
        outcome,
        Some(work::Outcome::NotRun(errors::Refusal::TurnMissing { missing: 2, .. }))
    );
    assert!(missing, "{outcome:?}");
}

#[test]
fn a_repeated_turn_gets_the_recorded_answer_and_is_not_run_again() {
    let mut solo = world_harness::WorldHarness::new();
    let first = solo.call_input(1, 1, 40);
    solo.run(vec![first]);
    advance(&mut solo, 50);
    let answered = solo.last_reply.clone().map(|reply| (reply.outcome, reply.turn));
    let attempts = solo.executions;

    let again = solo.call_input(1, 1, 40);
    solo.run(vec![again]);
    advance(&mut solo, 50);

    assert_eq!(solo.last_reply.clone().map(|reply| (reply.outcome, reply.turn)), answered);
    assert_eq!(solo.executions, attempts);
}

#[test]
fn a_different_call_for_a_completed_turn_is_refused() {
    let mut solo = world_harness::WorldHarness::new();
    let first = solo.call_input(1, 1, 40);
    solo.run(vec![first]);
    advance(&mut solo, 50);

    let other = solo.call_input(1, 1, 50);
    solo.run(vec![other]);
    advance(&mut solo, 50);

    let outcome = solo.last_reply.map(|reply| reply.outcome);
    let taken =
        matches!(outcome, Some(work::Outcome::NotRun(errors::Refusal::TurnTaken { turn: 1, .. })));
    assert!(taken, "{outcome:?}");
}

#[test]
fn an_idle_world_only_ticks_for_periodic_requests() {
    let mut solo = world_harness::WorldHarness::new();
    solo.start_programs(0, 1000, 40);
    advance(&mut solo, 5_000);
    let before = solo.ticks;

    advance(&mut solo, 60_000);

    // The instance list is fetched every 5 s and the endpoint report every second; each response
    // takes another tick.
    let expected = 2 * (60 / 5 + 60) + 10;
    assert!(solo.ticks - before <= expected, "{} ticks", solo.ticks - before);
}
