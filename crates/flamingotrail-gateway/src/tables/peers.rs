//! Other gateways.

use std::collections;
use std::ops;
use std::time;

use flamingotrail_core::time as core_time;

use crate::ids;
use crate::settings;

/// Number of gateways that one asks after its start.
const ASKED_PEERS: usize = 3;
/// Time for which a gateway that did not respond is avoided.
const FAILURE_BACKOFF: time::Duration = time::Duration::from_secs(2);

/// Another gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Address for requests of other gateways, `ip:port`.
    pub address: String,
    /// Failure domain of the gateway.
    pub domain: ids::DomainName,
    /// Region of the gateway.
    pub region: ids::RegionName,
}

/// Table of the other gateways.
#[derive(Debug, Default)]
pub struct Peers {
    /// Gateways by instance name.
    pub rows: collections::BTreeMap<ids::InstanceName, Peer>,
    /// Whether this gateway is listed, so that the others know of it.
    pub is_listed: bool,
    /// Gateways that did not respond, with the time until which they are avoided.
    avoid_until: collections::BTreeMap<ids::InstanceName, core_time::Timestamp>,
    /// Gateways that do not respond to probes, with the time of the first probe without a response.
    pub silent_since: collections::BTreeMap<ids::InstanceName, core_time::Timestamp>,
}

impl Peers {
    /// Replaces the other gateways. One that is listed again counts as responding.
    pub fn set_rows(
        &mut self,
        rows: collections::BTreeMap<ids::InstanceName, Peer>,
        is_listed: bool,
    ) {
        self.silent_since.retain(|name, _| rows.contains_key(name));
        self.rows = rows;
        self.is_listed = is_listed;
    }

    /// Records that `peer` did not respond, and avoids it for a while.
    pub fn record_failure(&mut self, peer: &ids::InstanceName, now: core_time::Timestamp) {
        self.avoid_until.insert(peer.clone(), now.after(FAILURE_BACKOFF));
    }

    /// Records a response of `peer`, which is no longer avoided.
    pub fn record_response(&mut self, peer: &ids::InstanceName) {
        self.avoid_until.remove(peer);
    }

    /// Returns the place of `own`, from 0, in the order of all gateways by name. The order begins with
    /// another gateway for each `key`.
    pub fn place(&self, own: &ids::InstanceName, key: &str) -> usize {
        let count = self.rows.len() + 1;
        let rank = self.rows.range(..own).count();
        let shift = usize::try_from(ids::stable_hash(key) % count as u64).unwrap_or(0);
        (rank + shift) % count
    }

    /// Returns the gateways that `own` has to watch: those that follow it in the order of names, up
    /// to the first one that responds. So each gateway is watched by one that responds.
    pub fn watched(&self, own: &ids::InstanceName) -> Vec<(&ids::InstanceName, &Peer)> {
        let after = self
            .rows
            .range::<ids::InstanceName, _>((ops::Bound::Excluded(own), ops::Bound::Unbounded));
        let before = self.rows.range::<ids::InstanceName, _>(..own);
        let mut watched = Vec::new();
        for (name, peer) in after.chain(before) {
            watched.push((name, peer));
            if !self.silent_since.contains_key(name) {
                break;
            }
        }
        watched
    }

    /// Returns the gateways that one asks after its start, the nearest to `own` first: one of them may
    /// just have started, too.
    pub fn asked_at_start(
        &self,
        own: &settings::Identity,
    ) -> impl Iterator<Item = (&ids::InstanceName, &Peer)> {
        let mut peers: Vec<_> = self.rows.iter().collect();
        peers.sort_by_key(|(_, peer)| (peer.region != own.region, peer.domain != own.domain));
        peers.into_iter().take(ASKED_PEERS)
    }

    /// Returns the gateways that are not avoided, in an order that depends on `key` and is the same
    /// in every process (rendezvous hashing).
    pub fn ranked(
        &self,
        key: &str,
        now: core_time::Timestamp,
    ) -> impl Iterator<Item = (&ids::InstanceName, &Peer)> {
        let mut peers: Vec<_> = self
            .rows
            .iter()
            .filter(|(name, _)| self.avoid_until.get(*name).is_none_or(|until| *until <= now))
            .collect();
        peers.sort_by_key(|(name, _)| rank(name.as_str(), key));
        peers.into_iter()
    }
}

/// Returns the rank of a gateway for `key`; the lowest rank is first.
pub fn rank(instance: &str, key: &str) -> u64 {
    ids::stable_hash(&format!("{instance}/{key}"))
}
