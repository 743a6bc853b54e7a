//! Effects: calls that are not repeatable. The intent of such a call is written to the journal and
//! read back before the call is dispatched, and each intent is acted on at most once.

use crate::errors;
use crate::ids;
use crate::journal;
use crate::systems::call_lifecycle;
use crate::systems::journal_writer;
use crate::tables::calls;
use crate::tables::effects;
use crate::work;
use crate::world;

/// Records the intent of every non-repeatable call that has reserved its cost.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    for key in std::mem::take(&mut world.tables.dirty.calls_to_log_intent) {
        record_intent(world, tick, &key);
    }
}

fn record_intent(world: &mut world::World, tick: &world::Tick, key: &ids::CallKey) {
    let Some(call) = world.tables.calls.rows.get(key) else {
        return;
    };
    if call.state != calls::State::Intending {
        return;
    }
    let Some(key_text) = call.effect_key.clone() else {
        return;
    };
    let root = call.root.clone();
    let fingerprint = call.work.fingerprint();
    let effect_key = effects::EffectKey { root: root.clone(), key: key_text.clone() };
    if let Some(known) = world.tables.effects.rows.get(&effect_key) {
        if known.call != *key {
            // Two calls with the same key arrived before either intent was recorded. The other one
            // runs.
            let refusal = errors::Refusal::KeyReused { key: key_text };
            call_lifecycle::end_without_turn(world, tick, key, work::Outcome::NotRun(refusal));
            return;
        }
    }
    let state = effects::EffectState::Intending;
    let effect = effects::Effect { call: key.clone(), fingerprint, state };
    world.tables.effects.rows.insert(effect_key, effect);
    let call = key.clone();
    let record = journal::Record::Intent { root, key: key_text, call, fingerprint };
    journal_writer::append(world, &key.conversation.home, record);
}
