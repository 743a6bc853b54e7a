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
    pub owners: collections::BTreeMap<ids::Partition, ids::InstanceName>,
}

/// How this process stands to a partition.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Standing {
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
    pub standing: Standing,
    /// Position in the stream and who owns it by order.
    pub replay: Replay,
    /// Whether a read is under way.
    pub reading: bool,
    /// When the stream was last read to its end.
    pub read_at: Option<time::Timestamp>,
    /// Calls that wait until ownership is settled, with their senders.
    pub waiting: Vec<(ids::InstanceName, Box<messages::Submit>, time::Timestamp)>,
    /// Records to append, oldest first.
    pub pending: collections::VecDeque<journal::Record>,
    /// The append under way.
    pub flight: Option<Flight>,
    /// Interval between appends.
    pub interval: std::time::Duration,
    /// When the last append was sent.
    pub appended_at: Option<time::Timestamp>,
    /// Delay after a failed step.
    pub backoff: std::time::Duration,
    /// When a failed step may be tried again.
    pub retry_at: Option<time::Timestamp>,
    /// Since when it is being handed over.
    pub handing_over: Option<time::Timestamp>,
    /// Processes that were asked to claim it.
    pub successors: collections::BTreeSet<ids::InstanceName>,
    /// Whether what is surely unspent was written for a successor.
    pub settled: bool,
    /// When its owner's epoch last stood in the log, as far as known.
    pub asserted_at: time::Timestamp,
    /// Appends sent, for metrics.
    pub appends: u64,
}

/// An append under way.
#[derive(Clone, Debug)]
pub struct Flight {
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
    pub nonces: collections::BTreeSet<ids::Nonce>,
    /// Order in which nonces were read, for bounding.
    pub order: collections::VecDeque<ids::Nonce>,
    /// Pieces of long texts until their turn follows.
    pub texts: collections::BTreeMap<(ids::CallKey, u32), String>,
}

/// Nonces kept for one stream. Copies of one append stand closer together than this.
const MAX_NONCES: usize = 4096;

impl Replay {
    /// Notes `nonce`: whether it is the first copy.
    pub fn note(&mut self, nonce: ids::Nonce) -> bool {
        if !self.nonces.insert(nonce) {
            return false;
        }
        self.order.push_back(nonce);
        while self.order.len() > MAX_NONCES {
            if let Some(oldest) = self.order.pop_front() {
                self.nonces.remove(&oldest);
            }
        }
        true
    }
}

impl Partition {
    /// A partition of which nothing is known.
    pub fn new(interval: std::time::Duration) -> Self {
        Partition {
            standing: Standing::default(),
            replay: Replay::default(),
            reading: false,
            read_at: None,
            waiting: Vec::new(),
            pending: collections::VecDeque::new(),
            flight: None,
            interval,
            appended_at: None,
            backoff: std::time::Duration::ZERO,
            retry_at: None,
            handing_over: None,
            successors: collections::BTreeSet::new(),
            settled: false,
            asserted_at: time::Timestamp::ZERO,
            appends: 0,
        }
    }

    /// Whether a failed step has to wait.
    pub fn is_backed_off(&self, now: time::Timestamp) -> bool {
        self.retry_at.is_some_and(|at| at > now)
    }

    /// When its next step is due without any input.
    pub fn wakes_at(&self) -> Option<time::Timestamp> {
        let probe = match &self.standing {
            Standing::Probing { until, .. } => Some(*until),
            _ => None,
        };
        let batch = match (&self.standing, &self.flight, self.pending.is_empty()) {
            // A read under way ends in a step of its own.
            (Standing::Owned { .. }, None, false) if !self.reading => {
                self.appended_at.map(|at| at.after(self.interval))
            }
            _ => None,
        };
        let deadline = self.waiting.iter().map(|(_, _, deadline)| *deadline).min();
        [probe, batch, deadline, self.retry_at].into_iter().flatten().min()
    }

    /// Epoch under which this process owns it.
    pub fn epoch(&self) -> Option<ids::Epoch> {
        match self.standing {
            Standing::Owned { epoch } => Some(epoch),
            _ => None,
        }
    }
}

impl Partitions {
    /// The row of `partition`, made when there is none; maintains the index by stream.
    pub fn row(
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
