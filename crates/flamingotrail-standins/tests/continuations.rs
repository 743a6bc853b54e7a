//! Continuations that a caller must not get through with: forged, foreign, stale and forked ones.

use flamingotrail_core::digest;
use flamingotrail_core::errors;
use flamingotrail_core::history;
use flamingotrail_core::ids;
use flamingotrail_core::messages;
use flamingotrail_core::work;
use flamingotrail_standins::world_harness;

/// A world in which program 1 has had `turns` turns.
fn after(turns: u32) -> world_harness::WorldHarness {
    let mut solo = world_harness::WorldHarness::new();
    for turn in 1..=turns {
        let call = solo.call_input(1, turn, 40);
        solo.run(vec![call]);
        solo.advance(std::time::Duration::from_millis(50));
    }
    solo
}

fn carried(solo: &world_harness::WorldHarness) -> history::Continuation {
    let reply = solo.last_reply.clone().expect("a call was answered");
    reply.continuation.expect("the answer ends with a continuation")
}

/// Sends the next turn of program 1 with `continuation`.
fn send(
    solo: &mut world_harness::WorldHarness,
    continuation: history::Continuation,
) -> work::Outcome {
    let flamingotrail_core::input::Input::PeerMessage { from, mut envelope } =
        solo.call_input(1, 1, 40)
    else {
        unreachable!("a call is a message of a peer");
    };
    if let messages::Message::Submit(submit) = &mut envelope.message {
        submit.turn = None;
        submit.origin = messages::ProgramOrigin::Existing;
        submit.history = history::HistorySource::Continuation(Box::new(continuation));
    }
    solo.run(vec![flamingotrail_core::input::Input::PeerMessage { from, envelope }]);
    solo.advance(std::time::Duration::from_millis(50));
    solo.last_reply.clone().expect("the call was answered").outcome
}

fn key() -> digest::Digest {
    digest::Digest::default()
}

#[test]
fn the_newest_continuation_is_taken() {
    let mut solo = after(2);
    let newest = carried(&solo);

    let outcome = send(&mut solo, newest);

    assert!(matches!(outcome, work::Outcome::Done(_)), "{outcome:?}");
}

#[test]
fn a_forged_continuation_is_refused() {
    let mut solo = after(2);
    let mut forged = carried(&solo);
    forged.turn = 1;

    let outcome = send(&mut solo, forged);

    let refused =
        work::Outcome::NotRun(errors::Refusal::BadContinuation(carried(&after(2)).conversation));
    assert_eq!(outcome, refused);
}

#[test]
fn a_continuation_of_another_conversation_is_refused() {
    let mut solo = after(2);
    let mut foreign = carried(&solo);
    foreign.conversation = ids::ConversationId::new(&foreign.conversation.home, 77);
    let foreign = foreign.authenticated(&key());

    let outcome = send(&mut solo, foreign);

    let kind = match &outcome {
        work::Outcome::NotRun(refusal) => refusal.kind(),
        _ => "run",
    };
    assert_eq!(kind, "bad_continuation");
}

#[test]
fn a_continuation_that_forks_from_what_ran_is_refused() {
    let mut solo = after(2);
    let mut forked = carried(&solo);
    forked.digest = digest::hash_token("another history");
    let forked = forked.authenticated(&key());

    let outcome = send(&mut solo, forked);

    assert!(
        matches!(outcome, work::Outcome::NotRun(errors::Refusal::HistoryContradicts(_))),
        "{outcome:?}"
    );
}

#[test]
fn a_continuation_past_a_gap_is_refused() {
    let mut solo = after(2);
    let mut gap = carried(&solo);
    gap.turn = 9;
    gap.tail = Vec::new();
    let gap = gap.authenticated(&key());

    let outcome = send(&mut solo, gap);

    assert!(
        matches!(outcome, work::Outcome::NotRun(errors::Refusal::HistoryIncomplete(_))),
        "{outcome:?}"
    );
}

#[test]
fn a_stale_continuation_with_another_message_is_refused() {
    let mut solo = after(1);
    let stale = carried(&solo);
    let call = solo.call_input(1, 2, 90);
    solo.run(vec![call]);
    solo.advance(std::time::Duration::from_millis(50));

    let outcome = send(&mut solo, stale);

    assert!(
        matches!(outcome, work::Outcome::NotRun(errors::Refusal::TurnTaken { .. })),
        "{outcome:?}"
    );
}

#[test]
fn a_stale_continuation_with_the_same_message_gets_the_recorded_answer() {
    let mut solo = after(1);
    let stale = carried(&solo);
    let call = solo.call_input(1, 2, 40);
    solo.run(vec![call]);
    solo.advance(std::time::Duration::from_millis(50));
    let first = solo.last_reply.clone().map(|reply| reply.outcome);

    let outcome = send(&mut solo, stale);

    assert_eq!(Some(outcome), first);
}
