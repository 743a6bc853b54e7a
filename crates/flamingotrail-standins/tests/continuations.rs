//! Validation of continuations: forged, foreign and forked ones and those past a gap are refused;
//! stale ones get the recorded response or are refused.

use flamingotrail_core::digest;
use flamingotrail_core::errors;
use flamingotrail_core::history;
use flamingotrail_core::ids;
use flamingotrail_core::messages;
use flamingotrail_core::work;
use flamingotrail_standins::world_harness;

/// Returns a world in which program 1 has completed `turns` turns.
fn world_after_turns(turns: u32) -> world_harness::WorldHarness {
    let mut harness = world_harness::WorldHarness::new();
    for turn in 1..=turns {
        let call = harness.call_input(1, turn, 40);
        harness.run(vec![call]);
        harness.advance(std::time::Duration::from_millis(50));
    }
    harness
}

fn latest_continuation(harness: &world_harness::WorldHarness) -> history::Continuation {
    let reply = harness.last_reply.clone().expect("a call got a reply");
    reply.continuation.expect("the reply has a continuation")
}

/// Sends the next turn of program 1 with `continuation`.
fn send_next_turn(
    harness: &mut world_harness::WorldHarness,
    continuation: history::Continuation,
) -> work::Outcome {
    let flamingotrail_core::input::Input::PeerMessage { from, mut envelope } =
        harness.call_input(1, 1, 40)
    else {
        unreachable!("calls arrive as messages from a peer");
    };
    if let messages::Message::Submit(submit) = &mut envelope.message {
        submit.turn = None;
        submit.origin = messages::ProgramOrigin::Existing;
        submit.history = history::HistorySource::Continuation(Box::new(continuation));
    }
    harness.run(vec![flamingotrail_core::input::Input::PeerMessage { from, envelope }]);
    harness.advance(std::time::Duration::from_millis(50));
    harness.last_reply.clone().expect("the call got a reply").outcome
}

fn continuation_key() -> digest::Digest {
    digest::Digest::default()
}

#[test]
fn the_newest_continuation_is_accepted() {
    let mut harness = world_after_turns(2);
    let newest = latest_continuation(&harness);

    let outcome = send_next_turn(&mut harness, newest);

    assert!(matches!(outcome, work::Outcome::Done(_)), "{outcome:?}");
}

#[test]
fn a_forged_continuation_is_refused() {
    let mut harness = world_after_turns(2);
    let mut forged = latest_continuation(&harness);
    forged.turn = 1;

    let outcome = send_next_turn(&mut harness, forged);

    let expected = work::Outcome::NotRun(errors::Refusal::BadContinuation(
        latest_continuation(&world_after_turns(2)).conversation,
    ));
    assert_eq!(outcome, expected);
}

#[test]
fn a_continuation_of_another_conversation_is_refused() {
    let mut harness = world_after_turns(2);
    let mut foreign = latest_continuation(&harness);
    foreign.conversation = ids::ConversationId::new(&foreign.conversation.home, 77);
    let foreign = foreign.authenticated(&continuation_key());

    let outcome = send_next_turn(&mut harness, foreign);

    let kind = match &outcome {
        work::Outcome::NotRun(refusal) => refusal.kind(),
        _ => "not refused",
    };
    assert_eq!(kind, "bad_continuation");
}

#[test]
fn a_continuation_that_contradicts_the_executed_turns_is_refused() {
    let mut harness = world_after_turns(2);
    let mut forked = latest_continuation(&harness);
    forked.digest = digest::hash_token("another history");
    let forked = forked.authenticated(&continuation_key());

    let outcome = send_next_turn(&mut harness, forked);

    assert!(
        matches!(outcome, work::Outcome::NotRun(errors::Refusal::HistoryContradicts(_))),
        "{outcome:?}"
    );
}

#[test]
fn a_continuation_past_a_gap_is_refused() {
    let mut harness = world_after_turns(2);
    let mut ahead = latest_continuation(&harness);
    ahead.turn = 9;
    ahead.tail = Vec::new();
    let ahead = ahead.authenticated(&continuation_key());

    let outcome = send_next_turn(&mut harness, ahead);

    assert!(
        matches!(outcome, work::Outcome::NotRun(errors::Refusal::HistoryIncomplete(_))),
        "{outcome:?}"
    );
}

#[test]
fn a_stale_continuation_with_another_message_is_refused() {
    let mut harness = world_after_turns(1);
    let stale = latest_continuation(&harness);
    let call = harness.call_input(1, 2, 90);
    harness.run(vec![call]);
    harness.advance(std::time::Duration::from_millis(50));

    let outcome = send_next_turn(&mut harness, stale);

    assert!(
        matches!(outcome, work::Outcome::NotRun(errors::Refusal::TurnTaken { .. })),
        "{outcome:?}"
    );
}

#[test]
fn a_stale_continuation_with_the_same_message_gets_the_recorded_response() {
    let mut harness = world_after_turns(1);
    let stale = latest_continuation(&harness);
    let call = harness.call_input(1, 2, 40);
    harness.run(vec![call]);
    harness.advance(std::time::Duration::from_millis(50));
    let first_outcome = harness.last_reply.clone().map(|reply| reply.outcome);

    let outcome = send_next_turn(&mut harness, stale);

    assert_eq!(Some(outcome), first_outcome);
}
