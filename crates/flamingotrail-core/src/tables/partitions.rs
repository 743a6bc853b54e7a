//! Partitions that this process owns, claims or asks about.

use std::collections;

use crate::ids;
use crate::journal;
use crate::messages;
use crate::time;

/// Partitions by id.
#[derive(Debug, Default)]
pub struct Partitions {
    /// Rows.
    pub rows: collections::BTreeMap<ids::Partition, Partition>,
    /// Index: partition of a stream.
    pub by_stream: collections::BTreeMap<ids::StreamName, ids::Partition>,
    /// Owners as told by redirects and acceptances, for an entry.
    pub known_owners: collections::BTreeMap<ids::Partition, ids::InstanceName>,
}

/// How this process stands to a partition.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum OwnershipState {
    /// It asks who owns it.
    #[default]
    Asking,
    /// It waits for a sign of life from the owner.
    Probing {
        /// The owner by the log.
        owner: ids::Peer,
        /// When the owner counts as silent.
        until: time::Timestamp,
    },
    /// It has a claim under way.
    Claiming {
        /// Nonce of the claim.
        nonce: ids::Nonce,
    },
    /// It owns it.
    Owned {
        /// Offset of its claim.
        epoch: ids::Epoch,
    },
}

/// One partition.
#[derive(Debug)]
pub struct Partition {
    /// How this process stands to it.
    pub ownership: OwnershipState,
    /// Position in the stream and who owns it by order.
    pub replay: Replay,
    /// Whether a read is under way.
    pub reading: bool,
    /// When the stream was last read to its end.
    pub last_read_at: Option<time::Timestamp>,
    /// Calls that wait until ownership is settled, with their senders.
    pub waiting_submits: Vec<(ids::InstanceName, Box<messages::Submit>, time::Timestamp)>,
    /// Records to append, oldest first.
    pub pending_records: collections::VecDeque<journal::Record>,
    /// The append under way.
    pub in_flight: Option<InFlightAppend>,
    /// Interval between appends.
    pub append_interval: std::time::Duration,
    /// When the last append was sent.
    pub last_append_at: Option<time::Timestamp>,
    /// Delay after a failed step.
    pub backoff: std::time::Duration,
    /// When a failed step may be tried again.
    pub retry_at: Option<time::Timestamp>,
    /// Since when it is being handed over.
    pub handover_started_at: Option<time::Timestamp>,
    /// Processes that were asked to claim it.
    pub asked_successors: collections::BTreeSet<ids::InstanceName>,
    /// Whether what is surely unspent was written for a successor.
    pub unspent_recorded: bool,
    /// When its owner's epoch last stood in the log, as far as known.
    pub epoch_logged_at: time::Timestamp,
    /// Appends sent, for metrics.
    pub append_count: u64,
}

/// An append under way.
#[derive(Clone, Debug)]
pub struct InFlightAppend {
    /// Its nonce.
    pub nonce: ids::Nonce,
    /// Its records.
    pub records: Vec<journal::Record>,
    /// Whether the log answered.
    pub answered: bool,
    /// When it was last sent.
    pub sent_at: time::Timestamp,
}

/// Position in a partition's stream.
#[derive(Debug, Default)]
pub struct Replay {
    /// Next offset to read.
    pub cursor: ids::Offset,
    /// Claim in force at the cursor.
    pub epoch: Option<ids::Epoch>,
    /// Its writer; unknown where the log no longer holds the claim.
    pub owner: Option<ids::Peer>,
    /// Nonces that were read, by offset.
    pub seen_nonces: collections::BTreeSet<ids::Nonce>,
    /// Order in which nonces were read, for bounding.
    pub nonce_order: collections::VecDeque<ids::Nonce>,
    /// Pieces of long texts until their turn follows.
    pub partial_texts: collections::BTreeMap<(ids::CallKey, u32), String>,
}

/// Nonces kept for one stream. Copies of one append stand closer together than this.
const MAX_NONCES: usize = 4096;

impl Replay {
    /// Notes `nonce`: whether it is the first copy.
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
    /// A partition of which nothing is known.
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
            handover_started_at: None,
            asked_successors: collections::BTreeSet::new(),
            unspent_recorded: false,
            epoch_logged_at: time::Timestamp::ZERO,
            append_count: 0,
        }
    }

    /// Whether a failed step has to wait.
    pub fn is_in_backoff(&self, now: time::Timestamp) -> bool {
        self.retry_at.is_some_and(|at| at > now)
    }

    /// When its next step is due without any input.
    pub fn next_step_at(&self) -> Option<time::Timestamp> {
        let probe = match &self.ownership {
            OwnershipState::Probing { until, .. } => Some(*until),
            _ => None,
        };
        let batch = match (&self.ownership, &self.in_flight, self.pending_records.is_empty()) {
            // A read under way ends in a step of its own.
            (OwnershipState::Owned { .. }, None, false) if !self.reading => {
                self.last_append_at.map(|at| at.after(self.append_interval))
            }
            _ => None,
        };
        let deadline = self.waiting_submits.iter().map(|(_, _, deadline)| *deadline).min();
        [probe, batch, deadline, self.retry_at].into_iter().flatten().min()
    }

    /// Epoch under which this process owns it.
    pub fn epoch(&self) -> Option<ids::Epoch> {
        match self.ownership {
            OwnershipState::Owned { epoch } => Some(epoch),
            _ => None,
        }
    }
}

impl Partitions {
    /// The row of `partition`, made when there is none; maintains the index by stream.
    pub fn get_or_insert(
        &mut self,
        partition: &ids::Partition,
        interval: std::time::Duration,
    ) -> &mut Partition {
        if !self.rows.contains_key(partition) {
            self.rows.insert(partition.clone(), Partition::new(interval));
            self.by_stream.insert(partition.stream(), partition.clone());
        }
        self.rows.get_mut(partition).expect("the row was just made")
    }

    /// Epoch under which this process owns `partition`.
    pub fn epoch(&self, partition: &ids::Partition) -> Option<ids::Epoch> {
        self.rows.get(partition).and_then(Partition::epoch)
    }
}
