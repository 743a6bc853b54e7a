//! Other gateways.

use std::collections;
use std::time;

use flamingotrail_core::time as core_time;

use crate::ids;

/// Time for which a gateway that did not answer is passed over.
const AVOID: time::Duration = time::Duration::from_secs(2);

/// Another gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its address for other gateways, `ip:port`.
    pub address: String,
    /// Its failure domain.
    pub domain: ids::DomainName,
    /// Its region.
    pub region: ids::RegionName,
}

/// All other gateways by instance name.
#[derive(Debug, Default)]
pub struct Peers {
    /// The rows.
    pub rows: collections::BTreeMap<ids::InstanceName, Peer>,
    /// Until when gateways that did not answer are passed over.
    avoided: collections::BTreeMap<ids::InstanceName, core_time::Timestamp>,
}

impl Peers {
    /// Takes a failure of `peer` at `now`.
    pub fn record_failure(&mut self, peer: &ids::InstanceName, now: core_time::Timestamp) {
        self.avoided.insert(peer.clone(), now.after(AVOID));
    }

    /// Takes an answer of `peer`.
    pub fn record_answer(&mut self, peer: &ids::InstanceName) {
        self.avoided.remove(peer);
    }

    /// Gateways that are not passed over, in an order that differs by `key` and is the same at every
    /// process (rendezvous hashing).
    pub fn ranked(
        &self,
        key: &str,
        now: core_time::Timestamp,
    ) -> impl Iterator<Item = (&ids::InstanceName, &Peer)> {
        let mut peers: Vec<_> = self
            .rows
            .iter()
            .filter(|(name, _)| self.avoided.get(*name).is_none_or(|until| *until <= now))
            .collect();
        peers.sort_by_key(|(name, _)| rank(name.as_str(), key));
        peers.into_iter()
    }
}

/// Rank of a process for `key`; the lowest is first.
pub fn rank(instance: &str, key: &str) -> u64 {
    ids::stable_hash(&format!("{instance}/{key}"))
}
