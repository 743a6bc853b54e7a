//! Turn resolution: finds the turn of a call and the history that it follows, from the stored
//! turns, the caller's continuation, or the full list of messages. A call whose history can't be
//! completed is refused; no call runs on an incomplete history.

use crate::digest;
use crate::errors;
use crate::history;
use crate::ids;
use crate::messages;
use crate::systems::programs;
use crate::tables::conversations;
use crate::work;
use crate::world;

/// Position of a call in its conversation.
#[derive(Debug, PartialEq, Eq)]
pub struct ResolvedTurn {
    /// The call's turn.
    pub turn: ids::Turn,
    /// The turn that the call follows.
    pub previous: ids::Turn,
    /// What to run. Contains only the messages that are new in this turn.
    pub work: work::Work,
}

/// Resolves the turn of `submit`, and adds turns from the caller's continuation to the
/// conversation.
///
/// # Errors
///
/// Fails if the continuation is not authentic or belongs to another conversation, if the history
/// contradicts the stored turns or can't be completed, or if the call must name its turn and does
/// not.
pub fn resolve_turn(
    world: &mut world::World,
    submit: &messages::Submit,
) -> Result<ResolvedTurn, errors::Refusal> {
    match &submit.history {
        history::HistorySource::Continuation(continuation) => {
            resolve_from_continuation(world, submit, continuation)
        }
        history::HistorySource::Full => resolve_from_full_history(world, submit),
        history::HistorySource::Journal => resolve_from_journal(world, submit),
    }
}

/// Returns whether `continuation` is authentic and belongs to the call's conversation, program and
/// workspace.
pub fn continuation_matches(
    world: &world::World,
    submit: &messages::Submit,
    continuation: &history::Continuation,
) -> bool {
    continuation.conversation == submit.conversation
        && continuation.program == submit.program
        && continuation.workspace == submit.workspace
        && continuation.is_authentic(&world.settings.continuation_key)
}

fn resolve_from_continuation(
    world: &mut world::World,
    submit: &messages::Submit,
    continuation: &history::Continuation,
) -> Result<ResolvedTurn, errors::Refusal> {
    let id = &submit.conversation;
    if !continuation_matches(world, submit, continuation) {
        return Err(errors::Refusal::BadContinuation(id.clone()));
    }
    merge_continuation(world, id, continuation)?;
    let turn = submit.turn.unwrap_or(continuation.turn + 1);
    let previous = turn.saturating_sub(1);
    Ok(ResolvedTurn { turn, previous, work: submit.work.clone() })
}

/// Checks a continuation against the stored turns, and adds the turns that are missing.
fn merge_continuation(
    world: &mut world::World,
    id: &ids::ConversationId,
    continuation: &history::Continuation,
) -> Result<(), errors::Refusal> {
    let Some(row) = world.tables.conversations.rows.get(id) else {
        return Err(errors::Refusal::HistoryIncomplete(id.clone()));
    };
    if continuation.turn <= row.last_turn {
        let known = match row.turns.get(&continuation.turn) {
            Some(finished) => finished.digest,
            None if continuation.turn == 0 => history::initial_digest(id),
            None => return Err(errors::Refusal::HistoryContradicts(id.clone())),
        };
        if !digest::constant_time_eq(&known, &continuation.digest) {
            return Err(errors::Refusal::HistoryContradicts(id.clone()));
        }
        return Ok(());
    }
    if !row.active_turns.is_empty() {
        // A call is in progress here that is based on the stored turns, but the caller has already
        // continued the conversation at another instance.
        return Err(errors::Refusal::HistoryContradicts(id.clone()));
    }
    let missing = missing_turns(id, row, continuation)?;
    for record in missing {
        programs::append_turn(world, id, record);
    }
    Ok(())
}

/// Returns the continuation's turns after the last stored one, if they connect to it and lead to
/// the continuation's digest.
fn missing_turns(
    id: &ids::ConversationId,
    row: &conversations::Conversation,
    continuation: &history::Continuation,
) -> Result<Vec<history::TurnRecord>, errors::Refusal> {
    let missing: Vec<history::TurnRecord> =
        continuation.tail.iter().filter(|record| record.turn > row.last_turn).cloned().collect();
    let is_connected = missing.first().is_some_and(|record| record.since == row.last_turn);
    if !is_connected {
        return Err(errors::Refusal::HistoryIncomplete(id.clone()));
    }
    let mut chained = row.digest(id);
    for record in &missing {
        chained = record.chained_digest(&chained);
    }
    if !digest::constant_time_eq(&chained, &continuation.digest) {
        return Err(errors::Refusal::HistoryContradicts(id.clone()));
    }
    Ok(missing)
}

fn resolve_from_full_history(
    world: &mut world::World,
    submit: &messages::Submit,
) -> Result<ResolvedTurn, errors::Refusal> {
    let id = &submit.conversation;
    let row = world.tables.conversations.rows.get(id);
    let last = row.map_or(0, |row| row.last_turn);
    let work::Work::Model { model, max_tokens, messages } = &submit.work else {
        let turn = submit.turn.unwrap_or(last + 1);
        let previous = turn.saturating_sub(1);
        return Ok(ResolvedTurn { turn, previous, work: submit.work.clone() });
    };
    let model_work = |messages: &[history::Message]| work::Work::Model {
        model: model.clone(),
        max_tokens: *max_tokens,
        messages: messages.to_vec(),
    };
    if let Some((turn, previous, start)) = row.and_then(|row| repeated_turn(row, messages)) {
        return Ok(ResolvedTurn { turn, previous, work: model_work(&messages[start..]) });
    }
    let known = row.map(conversations::Conversation::messages).unwrap_or_default();
    if !messages.starts_with(&known) {
        return Err(errors::Refusal::HistoryContradicts(id.clone()));
    }
    let turn = submit.turn.unwrap_or(last + 1);
    if turn <= last {
        return Err(errors::Refusal::TurnTaken { conversation: id.clone(), turn });
    }
    Ok(ResolvedTurn { turn, previous: last, work: model_work(&messages[known.len()..]) })
}

/// Returns the finished turn that a full list of messages repeats: its number, the turn that it
/// follows, and the index of its first new message.
fn repeated_turn(
    row: &conversations::Conversation,
    messages: &[history::Message],
) -> Option<(ids::Turn, ids::Turn, usize)> {
    let mut known: Vec<&history::Message> = Vec::new();
    let mut responses: Vec<history::Message> = Vec::new();
    for turn in row.turns.values().filter(|turn| turn.record.kind == history::TurnKind::Model) {
        let response = history::Message::new(history::Role::Assistant, turn.record.output.as_str());
        responses.push(response);
    }
    let mut response_iter = responses.iter();
    for turn in row.turns.values().filter(|turn| turn.record.kind == history::TurnKind::Model) {
        let start = known.len();
        known.extend(turn.record.input.iter());
        if known.len() == messages.len() && known.iter().zip(messages).all(|(a, b)| **a == *b) {
            return Some((turn.record.turn, turn.record.since, start));
        }
        known.extend(response_iter.next());
    }
    None
}

fn resolve_from_journal(
    world: &mut world::World,
    submit: &messages::Submit,
) -> Result<ResolvedTurn, errors::Refusal> {
    let row = world.tables.conversations.rows.get(&submit.conversation);
    let is_new = row.is_none_or(|row| row.last_turn == 0 && row.active_turns.is_empty());
    let turn = match submit.turn {
        Some(turn) => turn,
        None if is_new && submit.origin != messages::ProgramOrigin::Existing => 1,
        // After a change of owner, the last turn may not be known here, so the caller must name the
        // turn.
        None => return Err(errors::Refusal::TurnNeeded),
    };
    let previous = turn.saturating_sub(1);
    Ok(ResolvedTurn { turn, previous, work: submit.work.clone() })
}
