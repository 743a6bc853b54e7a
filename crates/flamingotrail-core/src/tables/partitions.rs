//! Partitions that this instance owns, is claiming or is resolving the owner of.

use std::collections;

use crate::ids;
use crate::journal;
use crate::messages;
use crate::time;

/// Partitions by id.
#[derive(Debug, Default)]
pub struct Partitions {
    /// Partitions.
    pub rows: collections::BTreeMap<ids::Partition, Partition>,
    /// Index: the partition of each stream.
    pub by_stream: collections::BTreeMap<ids::StreamName, ids::Partition>,
    /// Owners learned from redirects and acceptances, at an entry instance.
    pub known_owners: collections::BTreeMap<ids::Partition, ids::InstanceName>,
}

/// What this instance knows about the owner of a partition.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum OwnershipState {
    /// Resolving the current owner.
    #[default]
    Resolving,
    /// Waiting for the owner to respond to a probe.
    Probing {
        /// The owner according to the log.
        owner: ids::Peer,
        /// When the owner is considered silent.
        until: time::Timestamp,
    },
    /// A claim of this instance is in progress.
    Claiming {
        /// Nonce of the claim.
        nonce: ids::Nonce,
    },
    /// This instance owns the partition.
    Owned {
        /// Offset of its claim in the stream.
        epoch: ids::Epoch,
    },
}

/// A partition.
#[derive(Debug)]
pub struct Partition {
    /// Ownership state.
    pub ownership: OwnershipState,
    /// Read position in the stream and the owner according to the entries read so far.
    pub replay: Replay,
    /// Whether a read is in progress.
    pub reading: bool,
    /// When the stream was last read to its end.
    pub last_read_at: Option<time::Timestamp>,
    /// Submitted calls that wait until the owner is known, with their sender and deadline.
    pub waiting_submits: Vec<(ids::InstanceName, Box<messages::Submit>, time::Timestamp)>,
    /// Records to append, oldest first.
    pub pending_records: collections::VecDeque<journal::Record>,
    /// The append in progress.
    pub in_flight: Option<InFlightAppend>,
    /// Current interval between appends; it adapts to the log's refusals.
    pub append_interval: std::time::Duration,
    /// When the last append was sent.
    pub last_append_at: Option<time::Timestamp>,
    /// Backoff delay after a failed step; zero if the last step succeeded.
    pub backoff: std::time::Duration,
    /// When a failed step may be retried.
    pub retry_at: Option<time::Timestamp>,
    /// When a successor was last asked to take over the partition, during a handover.
    pub handover_requested_at: Option<time::Timestamp>,
    /// Instances that were asked to take over the partition.
    pub asked_successors: collections::BTreeSet<ids::InstanceName>,
    /// Whether the unspent part of the granted budgets was recorded for the successor.
    pub unspent_recorded: bool,
    /// When the owner's epoch was last known to be in the log.
    pub epoch_logged_at: time::Timestamp,
    /// Number of appends sent, for the state dump.
    pub append_count: u64,
}

/// An append in progress.
#[derive(Clone, Debug)]
pub struct InFlightAppend {
    /// Nonce of the entry.
    pub nonce: ids::Nonce,
    /// Records of the entry; empty for a claim.
    pub records: Vec<journal::Record>,
    /// Whether the append has completed, with any result.
    pub completed: bool,
    /// When it was last sent.
    pub sent_at: time::Timestamp,
}

/// Read position in a partition's stream.
#[derive(Debug, Default)]
pub struct Replay {
    /// Next offset to read.
    pub cursor: ids::Offset,
    /// Epoch in force at the cursor.
    pub epoch: Option<ids::Epoch>,
    /// Writer of the claim; `None` if unknown because the log no longer holds the claim.
    pub owner: Option<ids::Peer>,
    /// Nonces of recently read entries, to skip duplicates.
    pub seen_nonces: collections::BTreeSet<ids::Nonce>,
    /// The same nonces in the order read, to bound their number.
    pub nonce_order: collections::VecDeque<ids::Nonce>,
    /// Pieces of long texts, kept until the record of their turn is read.
    pub partial_texts: collections::BTreeMap<(ids::CallKey, u32), String>,
}

/// Number of nonces kept for one stream. Copies of one append are closer together than this.
const MAX_NONCES: usize = 4096;

impl Replay {
    /// Records `nonce` and returns whether it is its first occurrence.
    pub fn record_nonce(&mut self, nonce: ids::Nonce) -> bool {
        if !self.seen_nonces.insert(nonce) {
            return false;
        }
        self.nonce_order.push_back(nonce);
        while self.nonce_order.len() > MAX_NONCES {
            if let Some(oldest) = self.nonce_order.pop_front() {
                self.seen_nonces.remove(&oldest);
            }
        }
        true
    }
}

impl Partition {
    /// Returns a partition of which nothing is known yet.
    pub fn new(interval: std::time::Duration) -> Self {
        Partition {
            ownership: OwnershipState::default(),
            replay: Replay::default(),
            reading: false,
            last_read_at: None,
            waiting_submits: Vec::new(),
            pending_records: collections::VecDeque::new(),
            in_flight: None,
            append_interval: interval,
            last_append_at: None,
            backoff: std::time::Duration::ZERO,
            retry_at: None,
            handover_requested_at: None,
            asked_successors: collections::BTreeSet::new(),
            unspent_recorded: false,
            epoch_logged_at: time::Timestamp::ZERO,
            append_count: 0,
        }
    }

    /// Returns whether the partition is waiting to retry a failed step.
    pub fn is_in_backoff(&self, now: time::Timestamp) -> bool {
        self.retry_at.is_some_and(|at| at > now)
    }

    /// Returns when the partition has to be processed again if no input arrives before.
    pub fn next_step_at(&self) -> Option<time::Timestamp> {
        let probe = match &self.ownership {
            OwnershipState::Probing { until, .. } => Some(*until),
            _ => None,
        };
        let batch = match (&self.ownership, &self.in_flight, self.pending_records.is_empty()) {
            // The end of a read triggers a step of its own.
            (OwnershipState::Owned { .. }, None, false) if !self.reading => {
                self.last_append_at.map(|at| at.after(self.append_interval))
            }
            _ => None,
        };
        let deadline = self.waiting_submits.iter().map(|(_, _, deadline)| *deadline).min();
        [probe, batch, deadline, self.retry_at].into_iter().flatten().min()
    }

    /// Returns the epoch under which this instance owns the partition.
    pub fn epoch(&self) -> Option<ids::Epoch> {
        match self.ownership {
            OwnershipState::Owned { epoch } => Some(epoch),
            _ => None,
        }
    }
}

impl Partitions {
    /// Returns the row of `partition`, inserting it if absent, and updates the index by stream.
    pub fn get_or_insert(
        &mut self,
        partition: &ids::Partition,
        interval: std::time::Duration,
    ) -> &mut Partition {
        if !self.rows.contains_key(partition) {
            self.rows.insert(partition.clone(), Partition::new(interval));
            self.by_stream.insert(partition.stream(), partition.clone());
        }
        self.rows.get_mut(partition).expect("the row was just inserted")
    }

    /// Returns the epoch under which this instance owns `partition`.
    pub fn epoch(&self, partition: &ids::Partition) -> Option<ids::Epoch> {
        self.rows.get(partition).and_then(Partition::epoch)
    }
}
