//! Measures the memory of what a gateway knows of the log. docs/CAPACITY.md is based on these figures.

use std::time;

use bytes::Bytes;
use flamingotrail_core::time as core_time;
use flamingotrail_gateway::ids;
use flamingotrail_gateway::journal;
use flamingotrail_gateway::tables::log_index;
use flamingotrail_gateway::tables::programs;
use flamingotrail_gateway::tables::turns;

const TURNS: u64 = 800_000;
const PROGRAMS: u64 = 200_000;
const STORED_TURNS: u64 = 50_000;
const TEXT_BYTES: usize = 400;

/// Returns the resident memory of this process; assumes pages of 4 KiB.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn turn(number: u64) -> ids::TurnId {
    ids::TurnId::new(format!("{number:016x}"))
}

fn program(number: u64) -> ids::ProgramId {
    ids::ProgramId::new(format!("{number:016x}"))
}

/// Fills the index of the log's records, in the order of hashes, as good as random.
fn fill_index() -> log_index::LogIndex {
    let mut index = log_index::LogIndex::default();
    for number in 0..TURNS {
        index.insert_turn(&turn(number), ids::Offset(number));
    }
    for number in 0..PROGRAMS {
        index.insert_program(&program(number), ids::Offset(number));
    }
    index
}

/// Fills the accounts of programs with three settled allowances each.
fn fill_accounts() -> programs::Programs {
    let index = log_index::LogIndex::default();
    let mut accounts = programs::Programs::default();
    for number in 0..PROGRAMS {
        let row = accounts.touch(&program(number), &index, core_time::Timestamp::ZERO);
        for allowance in 0..3 {
            let settled =
                journal::SettledAllowance { turn: turn(3 * number + allowance), tokens: 1 };
            row.settle(&settled);
            row.carry_from(1, core_time::Timestamp::ZERO);
        }
    }
    accounts
}

/// Fills the table of turns, each with a text of `TEXT_BYTES` bytes.
fn fill_turns() -> turns::Turns {
    let mut table = turns::Turns::default();
    for number in 0..STORED_TURNS {
        let end = journal::End {
            turn: turn(number),
            previous: None,
            endpoint: ids::EndpointId::new("engine-1"),
            input: Bytes::from(vec![b'x'; TEXT_BYTES]),
            output: Bytes::new(),
            age: time::Duration::ZERO,
        };
        table.insert(&end, core_time::Timestamp::ZERO, core_time::Timestamp::ZERO);
    }
    table
}

fn main() {
    let start = resident_bytes();
    let index = fill_index();
    let with_index = resident_bytes();
    let accounts = fill_accounts();
    let with_accounts = resident_bytes();
    let table = fill_turns();
    let with_turns = resident_bytes();
    let per =
        |before: u64, after: u64, count: usize| after.saturating_sub(before) as f64 / count as f64;
    println!(
        "slope=gateway_memory index_entry_bytes={:.1} account_bytes={:.0} turn_bytes={:.0} \
         turn_text_bytes={TEXT_BYTES}",
        per(start, with_index, index.len()),
        per(with_index, with_accounts, accounts.rows.len()),
        per(with_accounts, with_turns, table.rows.len()),
    );
}
