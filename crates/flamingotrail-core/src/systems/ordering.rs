//! The calls of a conversation run in the order of their turns, one at a time.

use crate::ids;
use crate::systems::call_lifecycle;
use crate::tables::calls;
use crate::world;

/// Makes the next call of each dirty conversation ready.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    for conversation in std::mem::take(&mut world.tables.dirty.conversations) {
        advance(world, tick, &conversation);
    }
}

fn advance(world: &mut world::World, tick: &world::Tick, conversation: &ids::ConversationId) {
    let Some(row) = world.tables.conversations.rows.get(conversation) else {
        return;
    };
    let Some(turn) = row.calls.first().copied() else {
        return;
    };
    let last = row.last;
    let key = ids::CallKey { conversation: conversation.clone(), turn };
    let Some(call) = world.tables.calls.rows.get(&key) else {
        return;
    };
    if call.state != calls::State::Waiting || call.since != last {
        return;
    }
    call_lifecycle::set_state(world, tick, &key, calls::State::Ready);
    world.tables.dirty.reserve.insert(key);
}
