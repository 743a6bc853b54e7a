//! The lists of gateways that were in force lately. The owner of a workspace is the first listed
//! gateway in an order that depends on the workspace.

use std::collections;
use std::time;

use flamingotrail_core::time as core_time;

use crate::ids;
use crate::leases;
use crate::tables::peers;

/// Number of lists that are remembered. Workspaces that were owned in all of them count as owned since
/// the oldest.
const MAX_LISTS: usize = 8;
/// Time for which a gateway that claims ownership counts as listed before the list says so.
const CLAIM_TIME: time::Duration = time::Duration::from_secs(30);
/// Time after a claim by a gateway whose list lacks this one, within which a list that was read may be
/// older than the claim.
const DISPLACED_TIME: time::Duration = time::Duration::from_secs(1);
/// Age of the newest list from which on this gateway grants only while most others still regard it as
/// an owner: more than the interval between two reads. Together with the time of a lease it is less
/// than what passes until another gateway takes over from one that is cut off: 10 s until it is removed
/// from the list, and `SETTLE_TIME`.
const MAX_LIST_AGE: time::Duration = time::Duration::from_millis(11_000);
/// Age of the newest list from which on others are asked.
const CHECKED_LIST_AGE: time::Duration = time::Duration::from_millis(10_300);
/// Time after which other gateways are asked again while the list can't be read.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(5_000);
/// Time after which a new owner need not know what was granted before: that of a lease, and the time
/// for which a former owner that is cut off may still grant after its removal from the list.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(14_000);

/// The gateways that were listed from a point in time on.
#[derive(Clone, Debug)]
struct List {
    since: core_time::Timestamp,
    /// When all leases granted under earlier lists were known.
    settled_at: Option<core_time::Timestamp>,
    names: collections::BTreeSet<ids::InstanceName>,
}

impl List {
    fn settled_at(&self, now: core_time::Timestamp) -> Option<core_time::Timestamp> {
        let expired = self.since.after(SETTLE_TIME);
        let settled = self.settled_at.map_or(expired, |at| at.min(expired));
        (settled <= now).then_some(settled)
    }
}

/// Lists of gateways, and what is known of those that are not in the newest one.
#[derive(Debug, Default)]
pub struct Lists {
    /// The newest list is last.
    lists: collections::VecDeque<List>,
    listed: collections::BTreeMap<ids::InstanceName, peers::Peer>,
    is_listed: bool,
    /// Gateways that claim ownership and are not listed here yet.
    claims: collections::BTreeMap<ids::InstanceName, core_time::Timestamp>,
    /// When a gateway whose list lacks this one has claimed ownership.
    displaced_at: Option<core_time::Timestamp>,
    /// Gateways that have left the list, with their addresses, while their leases may be in force.
    departed: collections::BTreeMap<ids::InstanceName, (core_time::Timestamp, String)>,
    /// Gateways whose leases are not known yet; `None` if none was asked under the newest list.
    unreported: Option<collections::BTreeSet<ids::InstanceName>>,
    /// When the newest list was read.
    read_at: core_time::Timestamp,
    /// When other gateways have shown last that they regard this one as an owner.
    heard_at: collections::BTreeMap<ids::InstanceName, core_time::Timestamp>,
    /// When other gateways were asked for that last.
    checked_at: Option<core_time::Timestamp>,
}

impl Lists {
    /// Applies a list that was read. Returns whether the gateways that may own workspaces have changed.
    pub fn update(
        &mut self,
        own: &ids::InstanceName,
        rows: &collections::BTreeMap<ids::InstanceName, peers::Peer>,
        is_listed: bool,
        now: core_time::Timestamp,
    ) -> bool {
        self.departed
            .retain(|name, (at, _)| now.since(*at) < SETTLE_TIME && !rows.contains_key(name));
        let gone = self.listed.iter().filter(|(name, _)| !rows.contains_key(*name));
        let gone = gone.map(|(name, peer)| (name.clone(), (now, peer.address.clone())));
        self.departed.extend(gone);
        if self.listed != *rows {
            self.listed.clone_from(rows);
        }
        self.is_listed = is_listed;
        self.read_at = now;
        self.claims.retain(|name, at| now.since(*at) < CLAIM_TIME && !rows.contains_key(name));
        if self.displaced_at.is_some_and(|at| now.since(at) >= DISPLACED_TIME) {
            self.displaced_at = None;
        }
        self.refresh(own, now)
    }

    /// Records that `claimant` owns workspaces according to its list, which has this gateway or not.
    /// Returns whether the gateways that may own workspaces have changed.
    pub fn record_claim(
        &mut self,
        own: &ids::InstanceName,
        claimant: &ids::InstanceName,
        has_own: bool,
        now: core_time::Timestamp,
    ) -> bool {
        let is_removed = self.departed.contains_key(claimant);
        if !self.listed.contains_key(claimant) && !is_removed && claimant != own {
            self.claims.insert(claimant.clone(), now);
        }
        if !has_own {
            self.displaced_at = Some(now);
        }
        self.refresh(own, now)
    }

    /// Starts a new list if the gateways that may own workspaces have changed.
    fn refresh(&mut self, own: &ids::InstanceName, now: core_time::Timestamp) -> bool {
        let mut names: collections::BTreeSet<_> =
            self.listed.keys().chain(self.claims.keys()).cloned().collect();
        if self.is_listed && self.displaced_at.is_none() {
            names.insert(own.clone());
        }
        if self.lists.back().is_some_and(|list| list.names == names) {
            return false;
        }
        self.lists.push_back(List { since: now, settled_at: None, names });
        if self.lists.len() > MAX_LISTS {
            self.lists.pop_front();
        }
        self.unreported = None;
        true
    }

    /// Forgets all earlier lists after a time in which this gateway did not run: others may have
    /// granted in its place.
    pub fn restart(&mut self, now: core_time::Timestamp) {
        self.unreported = None;
        if let Some(mut list) = self.lists.pop_back() {
            (list.since, list.settled_at) = (now, None);
            self.lists.clear();
            self.lists.push_back(list);
        }
        self.heard_at.clear();
    }

    /// Whether `name` is in the list that was read last.
    pub fn lists(&self, name: &ids::InstanceName) -> bool {
        self.listed.contains_key(name)
    }

    /// Whether `name` may own workspaces.
    pub fn contains(&self, name: &ids::InstanceName) -> bool {
        self.lists.back().is_some_and(|list| list.names.contains(name))
    }

    /// Returns the owner of `workspace`.
    pub fn owner(&self, workspace: &ids::WorkspaceName) -> Option<&ids::InstanceName> {
        first(&self.lists.back()?.names, workspace)
    }

    /// Returns the address of a listed gateway.
    pub fn address(&self, name: &ids::InstanceName) -> Option<&str> {
        self.listed.get(name).map(|peer| peer.address.as_str())
    }

    /// Returns the list since which `own` has owned `workspace` without interruption.
    fn owning_list(
        &self,
        own: &ids::InstanceName,
        workspace: &ids::WorkspaceName,
    ) -> Option<&List> {
        let newest_first = self.lists.iter().rev();
        newest_first.take_while(|list| first(&list.names, workspace) == Some(own)).last()
    }

    /// Returns the time since which `own` has known all leases of `workspace`; `None` if it does not.
    pub fn settled_at(
        &self,
        own: &ids::InstanceName,
        workspace: &ids::WorkspaceName,
        now: core_time::Timestamp,
    ) -> Option<core_time::Timestamp> {
        self.owning_list(own, workspace)?.settled_at(now)
    }

    /// Records that `name` regards this gateway as an owner.
    pub fn record_contact(&mut self, name: &ids::InstanceName, now: core_time::Timestamp) {
        if self.listed.contains_key(name) {
            self.heard_at.insert(name.clone(), now);
        }
    }

    /// Whether this gateway may grant: if it were cut off, others would remove it from the list, and
    /// grant in its place.
    pub fn may_grant(&self, now: core_time::Timestamp) -> bool {
        if now.since(self.read_at) < MAX_LIST_AGE {
            return true;
        }
        let is_recent = |at: &core_time::Timestamp| now.since(*at) < MAX_LIST_AGE;
        let heard = self.listed.keys().filter_map(|name| self.heard_at.get(name));
        // This gateway is one of those that are counted.
        2 * (heard.filter(|at| is_recent(at)).count() + 1) > self.listed.len() + 1
    }

    /// Returns the gateways to ask whether they regard this one as an owner, with their addresses;
    /// none while the list can be read.
    pub fn start_check(&mut self, now: core_time::Timestamp) -> Vec<(ids::InstanceName, String)> {
        let is_checked = self.checked_at.is_some_and(|at| now.since(at) < CHECK_INTERVAL);
        if is_checked || now.since(self.read_at) < CHECKED_LIST_AGE {
            return Vec::new();
        }
        self.checked_at = Some(now);
        let is_due = |name: &&ids::InstanceName| {
            self.heard_at.get(*name).is_none_or(|at| now.since(*at) >= CHECK_INTERVAL)
        };
        let due = self.listed.iter().filter(|(name, _)| is_due(name));
        due.map(|(name, peer)| (name.clone(), peer.address.clone())).collect()
    }

    /// Returns the gateways to ask for their leases, with their addresses and whether they are listed;
    /// none if they were asked.
    pub fn start_asking(&mut self) -> Vec<(ids::InstanceName, String, bool)> {
        if self.unreported.is_some() {
            return Vec::new();
        }
        let names = self.listed.keys().chain(self.departed.keys()).cloned();
        self.unreported = Some(names.collect());
        self.unreported()
    }

    /// Returns the gateways that were asked and whose leases are not known, with their addresses and
    /// whether they are listed.
    pub fn unreported(&self) -> Vec<(ids::InstanceName, String, bool)> {
        let names = self.unreported.iter().flatten();
        let found = names.filter_map(|name| match self.listed.get(name) {
            Some(peer) => Some((name.clone(), peer.address.clone(), true)),
            None => {
                self.departed.get(name).map(|(_, address)| (name.clone(), address.clone(), false))
            }
        });
        found.collect()
    }

    /// Returns the gateways that have left the list lately.
    pub fn departed(&self, now: core_time::Timestamp) -> Vec<leases::Departed> {
        let rows = self.departed.iter().map(|(name, (at, address))| leases::Departed {
            name: name.clone(),
            address: address.clone(),
            age: now.since(*at),
        });
        rows.filter(|departed| departed.age < SETTLE_TIME).collect()
    }

    /// Adds gateways that have left the list before this one has read it, so that they are asked for their
    /// leases. Returns those to ask now.
    pub fn add_departed(
        &mut self,
        own: &ids::InstanceName,
        departed: &[leases::Departed],
        now: core_time::Timestamp,
    ) -> Vec<(ids::InstanceName, String, bool)> {
        let mut asks = Vec::new();
        for leases::Departed { name, address, age } in departed {
            let is_known = self.listed.contains_key(name) || self.departed.contains_key(name);
            if is_known || name == own || *age >= SETTLE_TIME {
                continue;
            }
            self.departed.insert(name.clone(), (now.before(*age), address.clone()));
            if let Some(unreported) = self.unreported.as_mut() {
                unreported.insert(name.clone());
                asks.push((name.clone(), address.clone(), false));
            }
        }
        asks
    }

    /// Records that the leases of `name` are known. Returns whether all are.
    pub fn record_report(&mut self, name: &ids::InstanceName, now: core_time::Timestamp) -> bool {
        if let Some(unreported) = self.unreported.as_mut() {
            unreported.remove(name);
        }
        self.settle(now)
    }

    /// Marks all lists as settled if all gateways that were asked have reported. Returns whether this
    /// has changed anything.
    pub fn settle(&mut self, now: core_time::Timestamp) -> bool {
        if self.unreported.as_ref().is_none_or(|names| !names.is_empty()) {
            return false;
        }
        let mut has_settled = false;
        for list in &mut self.lists {
            has_settled |= list.settled_at.is_none();
            list.settled_at.get_or_insert(now);
        }
        has_settled
    }
}

/// Returns the first of `names` in the order for `workspace`.
fn first<'a>(
    names: &'a collections::BTreeSet<ids::InstanceName>,
    workspace: &ids::WorkspaceName,
) -> Option<&'a ids::InstanceName> {
    names.iter().min_by_key(|name| peers::rank(name.as_str(), workspace.as_str()))
}
