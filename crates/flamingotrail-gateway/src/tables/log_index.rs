//! Offsets of the log's records that this gateway has read.
//!
//! Rows of turns and programs are removed from memory long before the log drops their records. The index tells
//! where to read them again, and that the log has no other records before the offset up to which a
//! partition was read.

use std::collections;
use std::time;

use flamingotrail_core::time as core_time;

use crate::ids;

/// Minimum number of generations that cover the log's retention. Entries are removed a generation at a
/// time.
const GENERATIONS_PER_RETENTION: u32 = 4;
/// Maximum number of entries; one takes about 33 bytes.
const MAX_ENTRIES: usize = 1_000_000;

/// Offsets by the hash of the id that a record belongs to. Ids with the same hash share an entry, so
/// an entry says that a record may exist.
#[derive(Debug, Default)]
struct Generation {
    /// When the first entry was added at the earliest.
    began: core_time::Timestamp,
    /// Offset of each turn's first record.
    turns: collections::BTreeMap<u64, u64>,
    /// Offset of each program's first record.
    programs: collections::BTreeMap<u64, u64>,
}

impl Generation {
    fn len(&self) -> usize {
        self.turns.len() + self.programs.len()
    }
}

/// Index of the records that were read, from the oldest that the log may still have.
#[derive(Debug, Default)]
pub struct LogIndex {
    /// Generations of entries, the newest last.
    generations: collections::VecDeque<Generation>,
    /// Time until which the log may have records whose entries did not fit.
    incomplete_until: core_time::Timestamp,
}

impl LogIndex {
    /// Adds a record of a turn; records have to be added in the order of the log.
    pub fn insert_turn(&mut self, turn: &ids::TurnId, offset: ids::Offset) {
        let hash = ids::stable_hash(turn.as_str());
        self.newest().turns.entry(hash).or_insert(offset.0);
    }

    /// Adds a record of a program; records have to be added in the order of the log.
    pub fn insert_program(&mut self, program: &ids::ProgramId, offset: ids::Offset) {
        let hash = ids::stable_hash(program.as_str());
        self.newest().programs.entry(hash).or_insert(offset.0);
    }

    /// Returns the offset of the first record of a program that the log may still have; `None` if no
    /// such record was read.
    pub fn program_offset(
        &self,
        program: &ids::ProgramId,
        now: core_time::Timestamp,
    ) -> Option<ids::Offset> {
        let hash = ids::stable_hash(program.as_str());
        let first = self.generations.iter().find_map(|rows| rows.programs.get(&hash));
        self.offset_if_incomplete(now).or_else(|| first.copied().map(ids::Offset))
    }

    /// Returns the offset of the first record of a turn that the log may still have; `None` if no such
    /// record was read.
    pub fn turn_offset(
        &self,
        turn: &ids::TurnId,
        now: core_time::Timestamp,
    ) -> Option<ids::Offset> {
        let hash = ids::stable_hash(turn.as_str());
        let first = self.generations.iter().find_map(|rows| rows.turns.get(&hash));
        first.copied().map(ids::Offset).or_else(|| self.offset_if_incomplete(now))
    }

    /// Removes the entries of records that the log no longer has, and the oldest ones if there are
    /// too many.
    pub fn expire(&mut self, now: core_time::Timestamp, log_retention: time::Duration) {
        let newest = self.newest();
        if now.since(newest.began) >= log_retention / GENERATIONS_PER_RETENTION
            || newest.len() >= MAX_ENTRIES / GENERATIONS_PER_RETENTION as usize
        {
            self.generations.push_back(Generation { began: now, ..Generation::default() });
        }
        // All of a generation's records were read before the next generation began.
        while self.generations.get(1).is_some_and(|next| now.since(next.began) > log_retention) {
            self.generations.pop_front();
        }
        while self.len() > MAX_ENTRIES && self.generations.len() > 1 {
            self.generations.pop_front();
            self.incomplete_until = now.after(log_retention);
        }
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.generations.iter().map(Generation::len).sum()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn newest(&mut self) -> &mut Generation {
        if self.generations.is_empty() {
            self.generations.push_back(Generation::default());
        }
        let last = self.generations.len() - 1;
        &mut self.generations[last]
    }

    /// Returns the beginning of the log while entries are missing.
    fn offset_if_incomplete(&self, now: core_time::Timestamp) -> Option<ids::Offset> {
        (now < self.incomplete_until).then_some(ids::Offset(0))
    }
}
