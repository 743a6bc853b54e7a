//! Writes what is still needed again before the log drops its records: the older turns of chains that
//! go on, and the allowances of programs that go on.
//!
//! A chain is kept for its retention after its newest turn, and an account as long as its program, but
//! the log drops each record a fixed time after it was stored.

use std::time;

use flamingotrail_core::time as core_time;

use crate::ids;
use crate::journal;
use crate::output;
use crate::systems::journal as journal_system;
use crate::systems::relay;
use crate::systems::turn_records;
use crate::world;

/// A turn's record is written again after this part of the time that the log keeps it beyond its
/// retention. The rest is for turns that run for long, outages, and clocks that differ.
const TURN_SPARE_DIVISOR: u32 = 2;
/// The same for allowances. Two such times pass at most until a new record names an allowance: an
/// allowance that is named is old, and so is the one that is in use.
const ALLOWANCE_SPARE_DIVISOR: u32 = 3;
/// A record is written again after its time in the log divided by this number at the earliest.
const MIN_AGE_DIVISOR: u32 = 8;

/// Maximum number of allowances that a record names.
const MAX_CARRIED: usize = 512;

/// Returns the time from which the record of a turn that was stored `age` ago has to be written again.
pub fn rewrite_at(
    world: &world::World,
    tick: &world::Tick,
    age: time::Duration,
) -> core_time::Timestamp {
    tick.now.after(max_age(world, TURN_SPARE_DIVISOR).saturating_sub(age))
}

/// Returns the time from which an allowance has to be carried along if the record that names it was
/// stored `age` ago.
pub fn carry_at(
    world: &world::World,
    tick: &world::Tick,
    age: time::Duration,
) -> core_time::Timestamp {
    tick.now.after(max_age(world, ALLOWANCE_SPARE_DIVISOR).saturating_sub(age))
}

fn max_age(world: &world::World, spare_divisor: u32) -> time::Duration {
    let log_retention = world.settings.log_retention;
    let needed = journal_system::max_retention(world) + journal_system::RETENTION_MARGIN;
    let spare = log_retention.saturating_sub(needed);
    (spare / spare_divisor).max(log_retention / MIN_AGE_DIVISOR)
}

/// Writes the old records of the chain that ends with `turn` again.
pub fn rewrite_old_turns(world: &mut world::World, tick: &world::Tick, turn: &ids::TurnId) {
    let rewrite_at = rewrite_at(world, tick, time::Duration::ZERO);
    let records = world.tables.turns.take_old_records(turn, tick.now, rewrite_at);
    if records.is_empty() {
        return;
    }
    let detail = format_args!("turn={turn} turns={}", records.len());
    world.outputs.push(output::Output::Event(output::Event::new("turns_rewritten", detail)));
    for record in records {
        turn_records::submit(world, tick, record);
    }
}

/// Writes records that name all allowances of a program if the log will soon drop the first of those
/// that do. To be called when the program's account holds: what other gateways have spent is known only
/// after their records were read.
pub fn carry_allowances(world: &mut world::World, tick: &world::Tick, id: &ids::ProgramId) {
    let next_at = carry_at(world, tick, time::Duration::ZERO);
    let Some(program) = world.tables.programs.rows.get_mut(id) else { return };
    if program.is_partial || !program.must_carry(tick.now) {
        return;
    }
    program.carry_at = Some(next_at);
    let (open, settled) = (program.open_records(), program.settled_records());
    let detail = format_args!("program={id} open={} settled={}", open.len(), settled.len());
    world.outputs.push(output::Output::Event(output::Event::new("allowances_rewritten", detail)));
    if open.len() + settled.len() <= MAX_CARRIED {
        submit_carried(world, tick, id, settled, open);
        return;
    }
    for open in open.chunks(MAX_CARRIED) {
        submit_carried(world, tick, id, Vec::new(), open.to_vec());
    }
    for settled in settled.chunks(MAX_CARRIED) {
        submit_carried(world, tick, id, settled.to_vec(), Vec::new());
    }
}

fn submit_carried(
    world: &mut world::World,
    tick: &world::Tick,
    program: &ids::ProgramId,
    settled: Vec<journal::SettledAllowance>,
    open: Vec<journal::OpenAllowance>,
) {
    let settle =
        journal::Settle { program: program.clone(), settled, open, age: time::Duration::ZERO };
    relay::submit(world, tick, journal::Record::Settle(settle));
}

/// Returns the stored records of the chain that ends with `turn`, the newest first.
pub fn chain_records(
    world: &world::World,
    tick: &world::Tick,
    turn: &ids::TurnId,
) -> Vec<journal::End> {
    let max_age = max_age(world, TURN_SPARE_DIVISOR);
    let chain = world.tables.turns.stored_chain(turn);
    chain
        .map(|(id, row)| {
            let age = max_age.saturating_sub(row.rewrite_at.since(tick.now));
            journal::End { age, ..row.to_record(id) }
        })
        .collect()
}
