//! Partitions of the log as this process has read them.

use std::collections;

use flamingotrail_core::time;

use crate::ids;
use crate::journal;

/// One partition.
#[derive(Debug, Default)]
pub struct Partition {
    /// Offset up to which records were applied.
    pub applied: u64,
    /// Offset up to which records are needed.
    pub needed: u64,
    /// When the oldest record that waits was handed in.
    pub queued_since: time::Timestamp,
    /// Records that wait for an append.
    pub queue: collections::VecDeque<journal::Record>,
    /// Records of the append under way.
    pub appending: Vec<journal::Record>,
    /// Whether a read is under way.
    pub reading: bool,
    /// Reads begun so far.
    pub reads_started: u64,
    /// The newest read that came to the end of the partition.
    pub last_complete_read: u64,
    /// The read that somebody waits for.
    pub requested_read: u64,
    /// Failures in a row.
    pub failures: u32,
    /// Not to be tried before this time.
    pub retry_at: time::Timestamp,
}

impl Partition {
    /// Asks for a read that begins from now on: its number.
    pub fn request_read(&mut self) -> u64 {
        let number = self.reads_started + 1;
        self.requested_read = self.requested_read.max(number);
        number
    }

    /// Whether a read has to begin.
    pub fn needs_read(&self) -> bool {
        !self.reading
            && (self.needed > self.applied || self.requested_read > self.last_complete_read)
    }

    /// Whether an append has to begin.
    pub fn needs_append(&self) -> bool {
        self.appending.is_empty() && !self.queue.is_empty()
    }
}

/// All partitions.
#[derive(Debug, Default)]
pub struct Partitions {
    /// The rows.
    pub rows: collections::BTreeMap<ids::Partition, Partition>,
    /// When the log, or anything else of the platform's store, answered last.
    pub last_success: time::Timestamp,
    /// Failures of the log since then.
    pub failures: u32,
    /// The partition that finds out whether a log that is away answers again.
    pub probe: Option<ids::Partition>,
    /// Partitions with records that wait for the pace of appends, the oldest first.
    pub waiting_to_append: collections::BTreeSet<(time::Timestamp, ids::Partition)>,
    /// Whether the log has failed for so long that it counts as away.
    pub is_unreachable: bool,
}

impl Partitions {
    /// The row of `partition`, made where it is missing.
    pub fn row(&mut self, partition: ids::Partition) -> &mut Partition {
        self.rows.entry(partition).or_default()
    }
}
