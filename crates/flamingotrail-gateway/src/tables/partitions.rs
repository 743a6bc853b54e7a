//! Partitions of the log, and this gateway's progress in reading and appending.

use std::collections;

use flamingotrail_core::time;

use crate::ids;
use crate::journal;

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
    /// Whether a read is in progress.
    pub reading: bool,
    /// Number of reads started so far; numbers the reads from 1.
    pub reads_started: u64,
    /// Number of the newest read that reached the end of the partition.
    pub last_complete_read: u64,
    /// Number of the newest read that was requested.
    pub requested_read: u64,
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

    /// Whether a read has to be started.
    pub fn needs_read(&self) -> bool {
        !self.reading
            && (self.needed > self.applied || self.requested_read > self.last_complete_read)
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
}
