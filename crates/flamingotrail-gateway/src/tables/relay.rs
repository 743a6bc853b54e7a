//! Records and lookups that are relayed between gateways: this gateway's own while the log is
//! unreachable from it, and those of other gateways.

use std::collections;

use flamingotrail_core::time;

use crate::ids;
use crate::journal;
use crate::tables::partitions;

/// A record of this gateway that is not yet known to be stored in the log.
#[derive(Debug)]
pub struct PendingRecord {
    /// Record to store.
    pub record: journal::Record,
    /// When the record was submitted.
    pub submitted_at: time::Timestamp,
    /// Gateway that was asked to append the record and whose response is pending.
    pub pending_peer: Option<ids::InstanceName>,
    /// Gateways that were asked to append the record.
    pub tried_peers: collections::BTreeSet<ids::InstanceName>,
    /// Whether an append without a response, or another gateway, may still store the record.
    pub may_be_stored: bool,
}

/// A lookup on behalf of another gateway.
#[derive(Clone, Debug)]
pub struct PeerLookup {
    /// Turn to look up, with the turns that it continues.
    pub turn: ids::TurnId,
    /// Search for the turn that was found missing last in the log.
    pub log_search: Option<partitions::TurnSearch>,
}

/// Sizes of the texts of records that other gateways are being asked to append. Each is held once more
/// until the gateway has responded.
#[derive(Debug, Default)]
pub struct InFlight {
    rows: collections::BTreeMap<journal::Key, usize>,
    bytes: usize,
}

impl InFlight {
    /// Whether a record of `bytes` may be relayed beside the others. A single one always may.
    pub fn has_room(&self, bytes: usize, max_bytes: usize) -> bool {
        self.rows.is_empty() || self.bytes + bytes <= max_bytes
    }

    /// Adds a record.
    pub fn insert(&mut self, key: journal::Key, bytes: usize) {
        self.bytes += bytes;
        self.bytes -= self.rows.insert(key, bytes).unwrap_or(0);
    }

    /// Removes a record whose gateway has responded, or has not in time.
    pub fn remove(&mut self, key: &journal::Key) {
        self.bytes -= self.rows.remove(key).unwrap_or(0);
    }
}

/// Table of relayed records and lookups.
#[derive(Debug, Default)]
pub struct Relay {
    /// Records of this gateway by key.
    pub pending_records: collections::BTreeMap<journal::Key, PendingRecord>,
    /// Records that other gateways were asked to append and have not responded about.
    pub in_flight: InFlight,
    /// Records that wait until there is room for asking another gateway.
    pub waiting_for_room: collections::BTreeSet<journal::Key>,
    /// Keys of other gateways' records, by the ticket of the request to append them.
    pub peer_records: collections::BTreeMap<u64, journal::Key>,
    /// Other gateways' lookups, by the ticket of the request.
    pub peer_lookups: collections::BTreeMap<u64, PeerLookup>,
    /// Number of consecutive requests to other gateways that did not reach the log.
    pub failures: u32,
    /// When another gateway was last asked to append a record.
    pub last_probe: time::Timestamp,
}

/// Number of consecutive failures after which the log counts as unreachable from all gateways.
const UNREACHABLE_FAILURES: u32 = 2;

impl Relay {
    /// Whether other gateways can probably reach the log.
    pub fn can_peers_reach_log(&self) -> bool {
        self.failures < UNREACHABLE_FAILURES
    }
}
