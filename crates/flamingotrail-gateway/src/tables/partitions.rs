//! Partitions of the log, and this gateway's progress in reading and appending.

use std::collections;
use std::ops;

use flamingotrail_core::time;

use crate::ids;
use crate::journal;

/// A search for a turn in the log.
#[derive(Clone, Debug)]
pub struct TurnSearch {
    /// The turn, which is missing in memory.
    pub turn: ids::TurnId,
    /// Number of the read of the turn's partition that shows whether it exists; `None` while records
    /// that were removed from memory are read again.
    pub awaited_read: Option<u64>,
}

/// Another read of records that were applied before and removed from memory since.
#[derive(Debug, Default)]
pub struct Replay {
    /// Offset of the next record to read.
    pub next: u64,
    /// Turns to find.
    pub turns: collections::BTreeSet<ids::TurnId>,
    /// Programs whose accounts are derived again, with the offset of the next record of each.
    pub programs: collections::BTreeMap<ids::ProgramId, u64>,
}

impl Replay {
    /// Whether nothing is left to find.
    fn is_done(&self) -> bool {
        self.turns.is_empty() && self.programs.is_empty()
    }
}

/// A partition of the log.
#[derive(Debug, Default)]
pub struct Partition {
    /// Offset up to which records were applied.
    pub applied: u64,
    /// Offset up to which records have to be applied.
    pub needed: u64,
    /// When the oldest queued record was submitted.
    pub queued_since: time::Timestamp,
    /// Records that wait for an append.
    pub queue: collections::VecDeque<journal::Record>,
    /// Records of the append in progress.
    pub appending: Vec<journal::Record>,
    /// Number of queued records to append one by one, since the log has rejected them together.
    pub single_appends: usize,
    /// Whether a read is in progress.
    pub reading: bool,
    /// Number of reads started so far; numbers the reads from 1.
    pub reads_started: u64,
    /// Number of the newest read that reached the end of the partition.
    pub last_complete_read: u64,
    /// Number of the newest read that was requested.
    pub requested_read: u64,
    /// Records to read again; such reads go before others.
    pub replay: Option<Replay>,
    /// Number of consecutive failed appends and reads.
    pub failures: u32,
    /// Time before which no append or read is tried.
    pub retry_at: time::Timestamp,
}

impl Partition {
    /// Requests a read that starts from now on, and returns its number.
    pub fn request_read(&mut self) -> u64 {
        let number = self.reads_started + 1;
        self.requested_read = self.requested_read.max(number);
        number
    }

    /// Requests that the records from `offset` on are read again until `turn` is found.
    pub fn replay_turn(&mut self, turn: &ids::TurnId, offset: ids::Offset) {
        self.replay_from(offset).turns.insert(turn.clone());
    }

    /// Requests that the records of `program` are read again from `offset` on, unless that is already
    /// requested.
    pub fn replay_program(&mut self, program: &ids::ProgramId, offset: ids::Offset) {
        if !self.is_replaying_program(program) {
            self.replay_from(offset).programs.insert(program.clone(), offset.0);
        }
    }

    /// Cancels the request that the records of `program` are read again.
    pub fn cancel_replay(&mut self, program: &ids::ProgramId) {
        let Some(replay) = self.replay.as_mut() else { return };
        replay.programs.remove(program);
        if replay.is_done() {
            self.replay = None;
        }
    }

    /// Whether the records of `program` are being read again.
    pub fn is_replaying_program(&self, program: &ids::ProgramId) -> bool {
        self.replay.as_ref().is_some_and(|replay| replay.programs.contains_key(program))
    }

    fn replay_from(&mut self, offset: ids::Offset) -> &mut Replay {
        let new = || Replay { next: offset.0, ..Replay::default() };
        let replay = self.replay.get_or_insert_with(new);
        replay.next = replay.next.min(offset.0);
        replay
    }

    /// Whether records are being read again to find `turn`.
    pub fn is_replaying_turn(&self, turn: &ids::TurnId) -> bool {
        self.replay.as_ref().is_some_and(|replay| replay.turns.contains(turn))
    }

    /// Records that the records of `read` were read again, or are gone; returns the programs whose
    /// records were all read. Ends the replay if it has found everything or has reached the records
    /// that were not applied yet.
    pub fn advance_replay(&mut self, read: &ops::Range<u64>) -> Vec<ids::ProgramId> {
        let applied = self.applied;
        let Some(replay) = self.replay.as_mut() else { return Vec::new() };
        // A read that began after the replay's next record was started before the newest request.
        if replay.next >= read.start {
            replay.next = replay.next.max(read.end);
        }
        for next in replay.programs.values_mut().filter(|next| **next >= read.start) {
            *next = read.end.max(*next);
        }
        let is_complete = |next: &u64| *next >= applied;
        let complete = replay.programs.iter().filter(|(_, next)| is_complete(next));
        let complete = complete.map(|(program, _)| program.clone()).collect();
        replay.programs.retain(|_, next| !is_complete(next));
        if replay.is_done() || replay.next >= applied {
            self.replay = None;
        }
        complete
    }

    /// Whether a read has to be started.
    pub fn needs_read(&self) -> bool {
        !self.reading
            && (self.replay.is_some()
                || self.needed > self.applied
                || self.requested_read > self.last_complete_read)
    }

    /// Returns the offset at which the next read begins.
    pub fn next_read_offset(&self) -> ids::Offset {
        ids::Offset(self.replay.as_ref().map_or(self.applied, |replay| replay.next))
    }

    /// Whether an append has to be started.
    pub fn needs_append(&self) -> bool {
        self.appending.is_empty() && !self.queue.is_empty()
    }
}

/// Table of partitions, and the state of the log as a whole.
#[derive(Debug, Default)]
pub struct Partitions {
    /// Partitions by id.
    pub rows: collections::BTreeMap<ids::Partition, Partition>,
    /// When the platform's store, of which the log is a part, responded last.
    pub last_success: time::Timestamp,
    /// Number of failures of the log since then.
    pub failures: u32,
    /// Partition that probes whether an unreachable log responds again.
    pub probe: Option<ids::Partition>,
    /// Partitions with records that wait for the append rate limiter, the longest-waiting first.
    pub waiting_to_append: collections::BTreeSet<(time::Timestamp, ids::Partition)>,
    /// Whether the log has failed for so long that it counts as unreachable.
    pub is_unreachable: bool,
}

impl Partitions {
    /// Returns the row of `partition`; creates it if it does not exist.
    pub fn row(&mut self, partition: ids::Partition) -> &mut Partition {
        self.rows.entry(partition).or_default()
    }

    /// Size of the texts of all records that are not known to be in the log, in bytes.
    pub fn unlogged_bytes(&self) -> usize {
        let records = self.rows.values().flat_map(|row| row.queue.iter().chain(&row.appending));
        records.map(journal::Record::text_bytes).sum()
    }
}
