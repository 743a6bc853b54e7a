//! Puts a call behind its conversation's history: from the rows, the caller's continuation, or the
//! full messages. A history that can't be completed is refused; nothing runs on a guess.

use crate::digest;
use crate::errors;
use crate::history;
use crate::ids;
use crate::messages;
use crate::systems::programs;
use crate::tables::conversations;
use crate::work;
use crate::world;

/// Where a call stands in its conversation.
#[derive(Debug, PartialEq, Eq)]
pub struct ResolvedTurn {
    /// Its turn.
    pub turn: ids::Turn,
    /// The turn that it follows.
    pub previous: ids::Turn,
    /// What to run, with only the new messages.
    pub work: work::Work,
}

/// Finds the turn of `submit` and merges what the caller carries into the rows.
///
/// # Errors
///
/// A continuation that is not authentic or is another conversation's, a history that contradicts
/// what ran, one that can't be completed, or a turn that must be named.
pub fn resolve_turn(
    world: &mut world::World,
    submit: &messages::Submit,
) -> Result<ResolvedTurn, errors::Refusal> {
    match &submit.history {
        history::HistorySource::Continuation(carried) => place_carried(world, submit, carried),
        history::HistorySource::Full => place_full(world, submit),
        history::HistorySource::Journal => place_journaled(world, submit),
    }
}

/// Whether `carried` is authentic and belongs to the call's conversation, program and workspace.
pub fn continuation_matches(
    world: &world::World,
    submit: &messages::Submit,
    carried: &history::Continuation,
) -> bool {
    carried.conversation == submit.conversation
        && carried.program == submit.program
        && carried.workspace == submit.workspace
        && carried.is_authentic(&world.settings.continuation_key)
}

fn place_carried(
    world: &mut world::World,
    submit: &messages::Submit,
    carried: &history::Continuation,
) -> Result<ResolvedTurn, errors::Refusal> {
    let id = &submit.conversation;
    if !continuation_matches(world, submit, carried) {
        return Err(errors::Refusal::BadContinuation(id.clone()));
    }
    merge(world, id, carried)?;
    let turn = submit.turn.unwrap_or(carried.turn + 1);
    let previous = turn.saturating_sub(1);
    Ok(ResolvedTurn { turn, previous, work: submit.work.clone() })
}

/// Checks a continuation against the rows and adds the turns that the rows lack.
fn merge(
    world: &mut world::World,
    id: &ids::ConversationId,
    carried: &history::Continuation,
) -> Result<(), errors::Refusal> {
    let Some(row) = world.tables.conversations.rows.get(id) else {
        return Err(errors::Refusal::HistoryIncomplete(id.clone()));
    };
    if carried.turn <= row.last {
        let known = match row.turns.get(&carried.turn) {
            Some(past) => past.digest,
            None if carried.turn == 0 => history::chain_start(id),
            None => return Err(errors::Refusal::HistoryContradicts(id.clone())),
        };
        if !digest::same(&known, &carried.digest) {
            return Err(errors::Refusal::HistoryContradicts(id.clone()));
        }
        return Ok(());
    }
    if !row.calls.is_empty() {
        // A call runs here on what the rows hold, and the caller has gone further elsewhere.
        return Err(errors::Refusal::HistoryContradicts(id.clone()));
    }
    let missing = missing_turns(id, row, carried)?;
    for record in missing {
        programs::push_turn(world, id, record);
    }
    Ok(())
}

/// The carried turns past the rows' last one, if they lead to the carried digest.
fn missing_turns(
    id: &ids::ConversationId,
    row: &conversations::Conversation,
    carried: &history::Continuation,
) -> Result<Vec<history::TurnRecord>, errors::Refusal> {
    let missing: Vec<history::TurnRecord> =
        carried.tail.iter().filter(|record| record.turn > row.last).cloned().collect();
    let connects = missing.first().is_some_and(|record| record.since == row.last);
    if !connects {
        return Err(errors::Refusal::HistoryIncomplete(id.clone()));
    }
    let mut chained = row.digest(id);
    for record in &missing {
        chained = record.chain(&chained);
    }
    if !digest::same(&chained, &carried.digest) {
        return Err(errors::Refusal::HistoryContradicts(id.clone()));
    }
    Ok(missing)
}

fn place_full(
    world: &mut world::World,
    submit: &messages::Submit,
) -> Result<ResolvedTurn, errors::Refusal> {
    let id = &submit.conversation;
    let row = world.tables.conversations.rows.get(id);
    let last = row.map_or(0, |row| row.last);
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

/// The finished turn that full messages ask for again: its number, the turn before it, and where
/// its new messages start.
fn repeated_turn(
    row: &conversations::Conversation,
    messages: &[history::Message],
) -> Option<(ids::Turn, ids::Turn, usize)> {
    let mut known: Vec<&history::Message> = Vec::new();
    let mut answers: Vec<history::Message> = Vec::new();
    for past in row.turns.values().filter(|past| past.record.kind == history::TurnKind::Model) {
        let answer = history::Message::new(history::Role::Assistant, past.record.output.as_str());
        answers.push(answer);
    }
    let mut answers_iter = answers.iter();
    for past in row.turns.values().filter(|past| past.record.kind == history::TurnKind::Model) {
        let start = known.len();
        known.extend(past.record.input.iter());
        if known.len() == messages.len() && known.iter().zip(messages).all(|(a, b)| **a == *b) {
            return Some((past.record.turn, past.record.since, start));
        }
        known.extend(answers_iter.next());
    }
    None
}

fn place_journaled(
    world: &mut world::World,
    submit: &messages::Submit,
) -> Result<ResolvedTurn, errors::Refusal> {
    let row = world.tables.conversations.rows.get(&submit.conversation);
    let is_new = row.is_none_or(|row| row.last == 0 && row.calls.is_empty());
    let turn = match submit.turn {
        Some(turn) => turn,
        None if is_new && submit.origin != messages::Origin::Existing => 1,
        // Which turn was the last can't be told after a take-over: the caller says it.
        None => return Err(errors::Refusal::TurnNeeded),
    };
    let previous = turn.saturating_sub(1);
    Ok(ResolvedTurn { turn, previous, work: submit.work.clone() })
}
