//! Ends calls whose deadline passed: as not run if they are known not to have run, otherwise as
//! unknown.

use crate::errors;
use crate::ids;
use crate::systems::call_lifecycle;
use crate::tables::calls;
use crate::work;
use crate::world;

/// Ends every call whose deadline passed.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    for key in std::mem::take(&mut world.tables.dirty.expired_calls) {
        expire_call(world, tick, &key);
    }
}

fn expire_call(world: &mut world::World, tick: &world::Tick, key: &ids::CallKey) {
    let Some(call) = world.tables.calls.rows.get(key) else {
        return;
    };
    let unknown = work::Outcome::Unknown(errors::UnknownReason::NoAnswer);
    match &call.state {
        calls::State::Running { .. } if call.effect_key.is_some() => {
            // Keeps the row, so that the result is recorded and the next turn waits for it.
            call_lifecycle::notify_waiters(world, tick, key, &unknown, None);
        }
        calls::State::Running { .. } => {
            call_lifecycle::abort_attempt(world, tick, key);
            call_lifecycle::end_without_turn(world, tick, key, unknown);
        }
        calls::State::Recovering { .. } => {
            call_lifecycle::end_without_turn(world, tick, key, unknown)
        }
        calls::State::Journaling => {
            call_lifecycle::notify_waiters(world, tick, key, &unknown, None);
            call_lifecycle::remove_call(world, tick, key);
        }
        _ => {
            let refusal = expiry_refusal(world, key, call);
            call_lifecycle::end_without_turn(world, tick, key, work::Outcome::NotRun(refusal));
        }
    }
}

/// Returns the refusal for a call that was not running when its deadline passed.
fn expiry_refusal(world: &world::World, key: &ids::CallKey, call: &calls::Call) -> errors::Refusal {
    match call.state {
        calls::State::Granting => {
            errors::Refusal::LogUnavailable { what: "a grant from the budget".into() }
        }
        calls::State::Intending => {
            errors::Refusal::LogUnavailable { what: "the intent of the call".into() }
        }
        calls::State::Waiting => {
            let row = world.tables.conversations.rows.get(&key.conversation);
            let missing = row.map_or(1, |row| row.last_turn + 1);
            let conversation = key.conversation.clone();
            let arrived = row.is_some_and(|row| row.active_turns.contains(&missing));
            if arrived {
                errors::Refusal::DeadlinePassed
            } else {
                errors::Refusal::TurnMissing { conversation, missing }
            }
        }
        _ => call.refusal.clone().unwrap_or(errors::Refusal::DeadlinePassed),
    }
}
