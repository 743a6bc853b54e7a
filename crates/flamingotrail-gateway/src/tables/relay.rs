//! Records and lookups that go to the log by the hand of another gateway: this process's own while
//! the log does not answer it, and those of others.

use std::collections;

use flamingotrail_core::time;

use crate::ids;
use crate::journal;

/// One of this process's records that somebody waits for.
#[derive(Debug)]
pub struct PendingRecord {
    /// The record.
    pub record: journal::Record,
    /// When it was handed in.
    pub submitted_at: time::Timestamp,
    /// The gateway that was asked to append it and has not answered.
    pub pending_peer: Option<ids::InstanceName>,
    /// Gateways that were asked and could not.
    pub tried_peers: collections::BTreeSet<ids::InstanceName>,
}

/// A lookup for another gateway.
#[derive(Clone, Debug)]
pub struct PeerLookup {
    /// The turn whose chain is asked for.
    pub turn: ids::TurnId,
    /// The turn that was missing last, and the number of the read that tells whether it exists.
    pub awaited_read: Option<(ids::TurnId, u64)>,
}

/// Everything that is relayed.
#[derive(Debug, Default)]
pub struct Relay {
    /// This process's own records.
    pub pending_records: collections::BTreeMap<journal::Key, PendingRecord>,
    /// Records of others, by the ticket under which the answer is expected.
    pub peer_records: collections::BTreeMap<u64, journal::Key>,
    /// Lookups for others by ticket.
    pub peer_lookups: collections::BTreeMap<u64, PeerLookup>,
    /// Gateways in a row that could not help.
    pub failures: u32,
    /// When a gateway was asked last while none could help.
    pub last_probe: time::Timestamp,
}

/// Gateways in a row that can't help after which the log counts as out of everybody's reach.
const FAILURES: u32 = 2;

impl Relay {
    /// Whether others likely reach the log.
    pub fn can_peers_reach_log(&self) -> bool {
        self.failures < FAILURES
    }
}
