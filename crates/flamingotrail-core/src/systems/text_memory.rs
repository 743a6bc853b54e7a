//! Memory for the texts of the programs that this instance owns: those of finished turns, which are kept
//! until their program ends, and those of running calls.
//!
//! A program may pause for long, so what is full stays full for a while. Large texts may take only a part
//! of the memory; another part is for programs that are under way.

use std::time;

use crate::errors;
use crate::ids;
use crate::messages;
use crate::share;
use crate::tables::conversations;
use crate::tables::text_limit;
use crate::world;

/// Texts over this size are large, without those of earlier turns.
const LARGE_TEXT_BYTES: usize = 8 << 10;
/// Part of the memory for new programs up to which they are not shared out among workspaces, which spares
/// counting.
const SHARED_DIVISOR: usize = 4;
/// When the caller of a call is to return that memory has no room for: programs end every second.
const RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// Checks that memory has room for the texts of another call, which may begin a program.
///
/// # Errors
///
/// Returns a refusal, with the time after which to try again, if there is none.
pub fn check(
    world: &mut world::World,
    tick: &world::Tick,
    submit: &messages::Submit,
    begins_program: bool,
) -> Result<(), errors::Refusal> {
    let new_bytes = submit.work.new_text_bytes();
    let percent = percent(begins_program, new_bytes > LARGE_TEXT_BYTES);
    let max_bytes = world.settings.max_history_bytes as u128 * percent / 100;
    let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
    let held_bytes = held_bytes(world);
    let has_room = held_bytes < max_bytes;
    if has_room && !begins_program {
        return Ok(());
    }
    if has_room && leaves_room_for_others(world, &submit.workspace, max_bytes, new_bytes) {
        return Ok(());
    }
    if let Some(refused) = world.tables.text_limit.count(tick.now) {
        report(world, refused, held_bytes);
    }
    Err(errors::Refusal::Overloaded { retry_after: RETRY_AFTER })
}

/// Whether the programs of a workspace leave room for new ones of others, if another one begins with
/// `new_bytes`.
fn leaves_room_for_others(
    world: &world::World,
    workspace: &ids::WorkspaceName,
    max_bytes: usize,
    new_bytes: usize,
) -> bool {
    let all_bytes = held_bytes(world);
    if all_bytes < max_bytes / SHARED_DIVISOR {
        return true;
    }
    let share = share::Share { max: max_bytes, percent: world.settings.workspace_percent };
    share.has_room(all_bytes, held_bytes_of(world, workspace), new_bytes)
}

/// Size of the texts of the programs of a workspace, in bytes.
fn held_bytes_of(world: &world::World, workspace: &ids::WorkspaceName) -> usize {
    let tables = &world.tables;
    let programs = &tables.programs.rows;
    let is_own = |program| programs.get(program).is_some_and(|row| row.workspace == *workspace);
    let conversations = tables.conversations.rows.values().filter(|row| is_own(&row.program));
    let finished: usize = conversations.map(conversations::Conversation::text_bytes).sum();
    let calls = tables.calls.rows.values().filter(|call| call.workspace == *workspace);
    finished + calls.map(|call| call.text_bytes).sum::<usize>()
}

/// Size of the texts of all programs that this instance owns, in bytes.
pub fn held_bytes(world: &world::World) -> usize {
    world.tables.conversations.text_bytes + world.tables.calls.text_bytes
}

/// Part of the memory up to which a call is accepted, in percent.
fn percent(begins_program: bool, is_large: bool) -> u128 {
    match (begins_program, is_large) {
        (true, true) => 50,
        (false, true) => 70,
        (true, false) => 75,
        (false, false) => 100,
    }
}

fn report(world: &mut world::World, refused: u64, held_bytes: usize) {
    let max_bytes = world.settings.max_history_bytes;
    let detail = format!("refused={refused} bytes={held_bytes} limit={max_bytes}");
    world.event(text_limit::EVENT, "text_memory", detail);
}
