//! Runs the calls of a conversation one at a time, in the order of their turns.

use crate::ids;
use crate::systems::call_lifecycle;
use crate::tables::calls;
use crate::world;

/// Makes the next call of each changed conversation ready once the turn that it follows has
/// finished.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    for conversation in std::mem::take(&mut world.tables.dirty.conversations) {
        ready_next_call(world, tick, &conversation);
    }
}

fn ready_next_call(
    world: &mut world::World,
    tick: &world::Tick,
    conversation: &ids::ConversationId,
) {
    let Some(row) = world.tables.conversations.rows.get(conversation) else {
        return;
    };
    let Some(turn) = row.active_turns.first().copied() else {
        return;
    };
    let last = row.last_turn;
    let key = ids::CallKey { conversation: conversation.clone(), turn };
    let Some(call) = world.tables.calls.rows.get(&key) else {
        return;
    };
    if call.state != calls::State::Waiting || call.previous_turn != last {
        return;
    }
    call_lifecycle::set_state(world, tick, &key, calls::State::Ready);
    world.tables.dirty.calls_to_reserve.insert(key);
}
