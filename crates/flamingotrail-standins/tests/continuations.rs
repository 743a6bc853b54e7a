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
fn after_turns(turns: u32) -> world_harness::WorldHarness {
    let mut solo = world_harness::WorldHarness::new();
    for turn in 1..=turns {
        let call = solo.call_input(1, turn, 40);
        solo.run(vec![call]);
        solo.advance(std::time::Duration::from_millis(50));
    }
    solo
}

fn latest_continuation(solo: &world_harness::WorldHarness) -> history::Continuation {
    let reply = solo.last_reply.clone().expect("a call got a reply");
    reply.continuation.expect("the reply has a continuation")
}

/// Sends the next turn of program 1 with `continuation`.
fn send_next_turn(
    solo: &mut world_harness::WorldHarness,
    continuation: history::Continuation,
) -> work::Outcome {
    let flamingotrail_core::input::Input::PeerMessage { from, mut envelope } =
        solo.call_input(1, 1, 40)
    else {
        unreachable!("calls arrive as messages from a peer");
    };
    if let messages::Message::Submit(submit) = &mut envelope.message {
        submit.turn = None;
        submit.origin = messages::ProgramOrigin::Existing;
        submit.history = history::HistorySource::Continuation(Box::new(continuation));
    }
    solo.run(vec![flamingotrail_core::input::Input::PeerMessage { from, envelope }]);
    solo.advance(std::time::Duration::from_millis(50));
    solo.last_reply.clone().expect("the call got a reply").outcome
}

fn continuation_key() -> digest::Digest {
    digest::Digest::default()
}

#[test]
fn the_newest_continuation_is_accepted() {
    let mut solo = after_turns(2);
    let newest = latest_continuation(&solo);

    let outcome = send_next_turn(&mut solo, newest);

    assert!(matches!(outcome, work::Outcome::Done(_)), "{outcome:?}");
}

#[test]
fn a_forged_continuation_is_refused() {
    let mut solo = after_turns(2);
    let mut forged = latest_continuation(&solo);
    forged.turn = 1;

    let outcome = send_next_turn(&mut solo, forged);

    let refused = work::Outcome::NotRun(errors::Refusal::BadContinuation(
        latest_continuation(&after_turns(2)).conversation,
    ));
    assert_eq!(outcome, refused);
}

#[test]
fn a_continuation_of_another_conversation_is_refused() {
    let mut solo = after_turns(2);
    let mut foreign = latest_continuation(&solo);
    foreign.conversation = ids::ConversationId::new(&foreign.conversation.home, 77);
    let foreign = foreign.authenticated(&continuation_key());

    let outcome = send_next_turn(&mut solo, foreign);

    let kind = match &outcome {
        work::Outcome::NotRun(refusal) => refusal.kind(),
        _ => "run",
    };
    assert_eq!(kind, "bad_continuation");
}

#[test]
fn a_continuation_that_contradicts_the_executed_turns_is_refused() {
    let mut solo = after_turns(2);
    let mut forked = latest_continuation(&solo);
    forked.digest = digest::hash_token("another history");
    let forked = forked.authenticated(&continuation_key());

    let outcome = send_next_turn(&mut solo, forked);

    assert!(
        matches!(outcome, work::Outcome::NotRun(errors::Refusal::HistoryContradicts(_))),
        "{outcome:?}"
    );
}

#[test]
fn a_continuation_past_a_gap_is_refused() {
    let mut solo = after_turns(2);
    let mut gap = latest_continuation(&solo);
    gap.turn = 9;
    gap.tail = Vec::new();
    let gap = gap.authenticated(&continuation_key());

    let outcome = send_next_turn(&mut solo, gap);

    assert!(
        matches!(outcome, work::Outcome::NotRun(errors::Refusal::HistoryIncomplete(_))),
        "{outcome:?}"
    );
}

#[test]
fn a_stale_continuation_with_another_message_is_refused() {
    let mut solo = after_turns(1);
    let stale = latest_continuation(&solo);
    let call = solo.call_input(1, 2, 90);
    solo.run(vec![call]);
    solo.advance(std::time::Duration::from_millis(50));

    let outcome = send_next_turn(&mut solo, stale);

    assert!(
        matches!(outcome, work::Outcome::NotRun(errors::Refusal::TurnTaken { .. })),
        "{outcome:?}"
    );
}

#[test]
fn a_stale_continuation_with_the_same_message_gets_the_recorded_answer() {
    let mut solo = after_turns(1);
    let stale = latest_continuation(&solo);
    let call = solo.call_input(1, 2, 40);
    solo.run(vec![call]);
    solo.advance(std::time::Duration::from_millis(50));
    let first = solo.last_reply.clone().map(|reply| reply.outcome);

    let outcome = send_next_turn(&mut solo, stale);

    assert_eq!(Some(outcome), first);
}
