//! Looks for missing turns among the other gateways: one may keep a turn that the log does not have
//! yet.

use crate::ids;
use crate::input;
use crate::journal;
use crate::output;
use crate::systems::admission;
use crate::systems::completion;
use crate::systems::journal as journal_system;
use crate::tables::calls;
use crate::world;

/// Answers other gateways, and takes their answers.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    for (ticket, turn) in std::mem::take(&mut world.tables.inbox.sought) {
        let found = find(world, tick, &turn);
        world.emit(output::Output::AnswerSought(ticket, found));
    }
    for (call, peer, answer) in std::mem::take(&mut world.tables.inbox.seek_answers) {
        answered(world, tick, call, &peer, answer);
    }
}

/// Whether this process has run for long enough to know each turn that was ever entrusted to it.
fn is_sure(world: &world::World, tick: &world::Tick) -> bool {
    let keep = journal_system::longest_retention(world) + journal_system::RETENTION_SLACK;
    world.identity.first_start || tick.now.micros() > time_micros(keep)
}

fn time_micros(span: std::time::Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn find(world: &world::World, tick: &world::Tick, turn: &ids::TurnId) -> input::Found {
    let mut chain = Vec::new();
    let mut next = Some(turn.clone());
    while let Some(id) = next {
        let Some(row) = world.tables.turns.rows.get(&id) else { break };
        next = row.previous.clone();
        chain.push(journal::End {
            turn: id,
            previous: row.previous.clone(),
            endpoint: row.endpoint.clone(),
            input: row.input.clone(),
            output: row.output.clone(),
        });
    }
    input::Found { chain, sure: is_sure(world, tick) }
}

/// Goes on with the search of a call for `missing`. `is_absent` says whether the log surely does not
/// have it.
pub fn step(
    world: &mut world::World,
    tick: &world::Tick,
    id: ids::CallId,
    missing: &ids::TurnId,
    is_absent: bool,
) {
    let sure = is_sure(world, tick);
    let Some(turn) = world.tables.calls.rows.get_mut(&id).and_then(|call| call.turn.as_mut())
    else {
        return;
    };
    match &turn.search {
        Some(search) if search.turn == *missing => {
            if search.asked.is_empty() {
                let sure = search.sure && sure && is_absent;
                conclude(world, tick, id, sure);
            }
        }
        _ => {
            let peers: Vec<_> = world
                .tables
                .peers
                .rows
                .iter()
                .map(|(name, peer)| (name.clone(), peer.address.clone()))
                .collect();
            let asked = peers.iter().map(|(name, _)| name.clone()).collect();
            turn.search = Some(calls::Search { turn: missing.clone(), asked, sure: true });
            if peers.is_empty() {
                conclude(world, tick, id, sure && is_absent);
            }
            for (peer, address) in peers {
                let turn = missing.clone();
                world.emit(output::Output::Seek { call: id, peer, address, turn });
            }
        }
    }
}

/// Refuses a call whose turn was found nowhere.
fn conclude(world: &mut world::World, tick: &world::Tick, id: ids::CallId, sure: bool) {
    let refusal = if sure {
        output::Refusal { reason: output::Reason::NoSuchTurn, retry_after: None }
    } else {
        output::Refusal {
            reason: output::Reason::Unavailable,
            retry_after: Some(admission::COME_BACK),
        }
    };
    completion::refuse(world, tick, id, refusal);
}

fn answered(
    world: &mut world::World,
    tick: &world::Tick,
    id: ids::CallId,
    peer: &ids::InstanceName,
    answer: Option<input::Found>,
) {
    match &answer {
        Some(_) => world.tables.peers.answered(peer),
        None => world.tables.peers.failed(peer, tick.now),
    }
    for end in answer.iter().flat_map(|found| &found.chain) {
        journal_system::keep_turn(world, tick, end);
    }
    let search = world
        .tables
        .calls
        .rows
        .get_mut(&id)
        .and_then(|call| call.turn.as_mut())
        .and_then(|turn| turn.search.as_mut());
    let Some(search) = search else { return };
    search.asked.remove(peer);
    search.sure &= answer.is_some_and(|found| found.sure);
    world.tables.dirty.calls.insert(id);
}
