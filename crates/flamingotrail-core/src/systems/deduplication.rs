//! Deduplication of calls: a call that was sent before joins the active call or gets the recorded
//! outcome.

use crate::digest;
use crate::errors;
use crate::history;
use crate::ids;
use crate::messages;
use crate::systems::call_lifecycle;
use crate::systems::programs;
use crate::tables::calls;
use crate::tables::effects;
use crate::work;
use crate::world;

/// Replies to a duplicate of a recorded call, or joins a duplicate to the active call. Returns
/// whether the call was a duplicate. A different call for a turn that is taken is refused.
pub fn handle_duplicate_call(
    world: &mut world::World,
    tick: &world::Tick,
    key: &ids::CallKey,
    fingerprint: &digest::Digest,
    waiter: &calls::Waiter,
) -> Result<bool, errors::Refusal> {
    let turn_taken =
        || errors::Refusal::TurnTaken { conversation: key.conversation.clone(), turn: key.turn };
    if let Some(call) = world.tables.calls.rows.get(key) {
        if call.fingerprint != *fingerprint {
            return Err(turn_taken());
        }
        world.tables.calls.add_waiter(key, waiter.clone());
        call_lifecycle::route_output(world, key);
        world.tables.dirty.calls_to_complete.insert(key.clone());
        return Ok(true);
    }
    let Some(row) = world.tables.conversations.rows.get(&key.conversation) else {
        return Ok(false);
    };
    if key.turn > row.last_turn {
        return Ok(false);
    }
    let finished_turn = row.turns.get(&key.turn).ok_or_else(turn_taken)?;
    if finished_turn.record.request != *fingerprint {
        return Err(turn_taken());
    }
    let outcome = recorded_outcome(&finished_turn.record);
    reply_with_record(world, tick, key, waiter, outcome);
    Ok(true)
}

fn recorded_outcome(record: &history::TurnRecord) -> work::Outcome {
    let status = match record.kind {
        history::TurnKind::Model => 200,
        history::TurnKind::Service { status } => status,
        history::TurnKind::Doubtful => {
            return work::Outcome::Unknown(errors::UnknownReason::OwnerChanged);
        }
    };
    work::Outcome::Done(work::Response {
        text: record.output.clone(),
        status,
        usage: record.usage,
        finish: record.finish,
    })
}

/// Returns the key of a non-repeatable call's effect; `None` for a repeatable call.
pub fn effect_key(
    world: &world::World,
    submit: &messages::Submit,
    key: &ids::CallKey,
) -> Option<effects::EffectKey> {
    let config = world.config()?;
    if config.is_repeatable(&submit.work) {
        return None;
    }
    let root = world.tables.programs.rows.get(&submit.program)?.root.clone();
    let key_text = match &submit.idempotency_key {
        Some(idempotency_key) => format!("key:{idempotency_key}"),
        None => format!("call:{key}"),
    };
    Some(effects::EffectKey { root, key: key_text })
}

/// Replies to a call whose effect was requested before under the same key, or joins it to the
/// active call. Returns whether the effect was requested before. A different call under the same
/// key is refused.
pub fn handle_duplicate_effect(
    world: &mut world::World,
    tick: &world::Tick,
    key: &ids::CallKey,
    effect_key: &effects::EffectKey,
    work: &work::Work,
    request_fingerprint: digest::Digest,
    waiter: &calls::Waiter,
) -> Result<bool, errors::Refusal> {
    let Some(effect) = world.tables.effects.rows.get(effect_key) else {
        return Ok(false);
    };
    if effect.fingerprint != work.fingerprint() {
        return Err(errors::Refusal::KeyReused { key: effect_key.key.clone() });
    }
    let outcome = match &effect.state {
        effects::EffectState::Done { status, text } => work::Outcome::Done(work::Response {
            text: text.clone(),
            status: *status,
            usage: work::Usage::default(),
            finish: work::FinishReason::Stop,
        }),
        effects::EffectState::Unknown => {
            work::Outcome::Unknown(errors::UnknownReason::OwnerChanged)
        }
        effects::EffectState::Intending | effects::EffectState::Confirmed => {
            let call = effect.call.clone();
            world.tables.calls.add_waiter(&call, waiter.clone());
            return Ok(true);
        }
    };
    record_duplicate_turn(world, key, request_fingerprint, &outcome);
    reply_with_record(world, tick, key, waiter, outcome);
    Ok(true)
}

/// Records a duplicate that arrived under a new turn: it consumes the turn, with the recorded
/// outcome.
fn record_duplicate_turn(
    world: &mut world::World,
    key: &ids::CallKey,
    request_fingerprint: digest::Digest,
    outcome: &work::Outcome,
) {
    let Some(row) = world.tables.conversations.rows.get(&key.conversation) else {
        return;
    };
    if key.turn != row.last_turn + 1 {
        return;
    }
    let work::Outcome::Done(response) = outcome else {
        programs::record_unknown_turn(world, key, request_fingerprint);
        return;
    };
    let record = history::TurnRecord {
        turn: key.turn,
        since: row.last_turn,
        kind: history::TurnKind::Service { status: response.status },
        request: request_fingerprint,
        input: Vec::new(),
        output: response.text.clone(),
        finish: response.finish,
        usage: response.usage,
    };
    programs::append_turn(world, &key.conversation, record);
}

/// Replies to a duplicate call with the recorded outcome.
fn reply_with_record(
    world: &mut world::World,
    tick: &world::Tick,
    key: &ids::CallKey,
    waiter: &calls::Waiter,
    outcome: work::Outcome,
) {
    let continuation = call_lifecycle::build_continuation(world, &key.conversation);
    let (to, request, hop) = (&waiter.entry, waiter.request, waiter.hop);
    call_lifecycle::send_reply(world, tick, to, request, hop, key.turn, 0, outcome, continuation);
}
