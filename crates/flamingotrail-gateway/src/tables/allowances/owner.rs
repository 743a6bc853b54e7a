//! What this gateway has granted of the workspaces that it owns.

use std::collections;
use std::time;

use flamingotrail_core::time as core_time;

use crate::ids;
use crate::leases;
use crate::tables::allowances;
use crate::tables::allowances::meters;

/// Factor by which a lease exceeds the demand, so that calls which come unevenly find room.
const HEADROOM: f64 = 1.5;
/// Calls per second by which a lease exceeds the demand, for the same reason.
const HEADROOM_PER_S: f64 = 1.0;
/// Part of its demand that a lease covers if there is no more. The pool has the rest, for gateways
/// whose calls come unevenly.
const LEASED_SHARE: f64 = 0.9;
/// Part of what is not demanded that leases may have.
const UNUSED_SHARE: f64 = 0.5;
/// Lowest rate of a lease in a workspace that is not calm: a lower one, which accumulates one call, would
/// not be used up, and what many of them leave is lost for the pool.
const MIN_BUSY_LEASE_PER_S: f64 = 6.0;
/// Part of the allowance up to which a workspace is calm: its small leases leave enough to the pool, and
/// save the messages that units take.
const CALM_SHARE: f64 = 0.3;
/// Number of calls expected while a unit is valid from which on one is granted ahead.
const MIN_AHEAD_CALLS: f64 = 1.0;
/// Demand below which a gateway gets no lease.
const MIN_LEASED_DEMAND_PER_S: f64 = 0.5;
/// Time for which the demand of a gateway with a lease holds: longer than a renewal takes.
const DEMAND_TIME: time::Duration = time::Duration::from_millis(3_000);
/// Lowest rate by which the time until there is room is computed, as a part of the allowance.
const MIN_REFILL_SHARE: f64 = 0.1;
/// Longest time after which there is said to be room.
const MAX_RETRY: time::Duration = time::Duration::from_secs(60);

/// A lease, as the owner counts it.
#[derive(Clone, Copy, Debug, Default)]
struct Lease {
    number: u64,
    rate: f64,
    expires_at: core_time::Timestamp,
}

impl Lease {
    fn rate(&self, now: core_time::Timestamp) -> f64 {
        if now < self.expires_at {
            self.rate
        } else {
            0.0
        }
    }
}

/// What a gateway has of a workspace.
#[derive(Clone, Copy, Debug, Default)]
struct Grantee {
    /// The lease that the gateway has shown to hold.
    shown: Lease,
    /// The newest lease that it was granted.
    granted: Lease,
    demand_per_s: f64,
    asked_at: core_time::Timestamp,
}

impl Grantee {
    /// Returns the rate at which the gateway may send: a lowered lease counts at its old rate until the
    /// gateway has shown the new one.
    fn rate(&self, now: core_time::Timestamp) -> f64 {
        self.shown.rate(now).max(self.granted.rate(now))
    }

    /// Returns what the gateway's lease may have accumulated.
    fn burst(&self, now: core_time::Timestamp) -> f64 {
        allowances::lease_burst(self.rate(now))
    }

    /// Returns the demand. That of a gateway without a lease is reported with each call, so that its
    /// decaying averages add up to the right total.
    fn demand_per_s(&self, now: core_time::Timestamp) -> f64 {
        if self.granted.rate(now) == 0.0 {
            meters::decayed_rate(self.demand_per_s, self.asked_at, now)
        } else if now.since(self.asked_at) < DEMAND_TIME {
            self.demand_per_s
        } else {
            0.0
        }
    }

    fn is_in_use(&self, now: core_time::Timestamp) -> bool {
        self.rate(now) > 0.0 || now.since(self.asked_at) < DEMAND_TIME
    }
}

/// A workspace: the pool of its units, and its leases.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    units: f64,
    updated: core_time::Timestamp,
    /// Rate of all leases when the pool was refilled last.
    leased: f64,
    grantees: collections::BTreeMap<ids::InstanceName, Grantee>,
    used_at: core_time::Timestamp,
}

impl Pool {
    /// Returns a pool that has refilled since all leases of its workspace were known, at `settled_at`.
    fn new(settled_at: core_time::Timestamp) -> Self {
        Pool { updated: settled_at, ..Pool::default() }
    }

    /// Adds the units of the time since the last refill.
    pub fn refill(&mut self, terms: &allowances::Terms, now: core_time::Timestamp) {
        let rate = (terms.per_s - self.leased).max(0.0);
        let units = self.units + rate * now.since(self.updated).as_secs_f64();
        self.units = units.min(terms.pool_capacity());
        self.updated = self.updated.max(now);
        self.grantees.retain(|_, grantee| grantee.is_in_use(now));
        self.leased = self.leased(now);
    }

    /// Lets the pool stay as it is up to `now`, while not all leases are known.
    fn pause(&mut self, now: core_time::Timestamp) {
        self.updated = self.updated.max(now);
        self.leased = self.leased(now);
    }

    fn leased(&self, now: core_time::Timestamp) -> f64 {
        self.grantees.values().map(|grantee| grantee.rate(now)).sum()
    }

    /// Returns the calls per second that arrive at all gateways.
    pub fn demand_per_s(&self, now: core_time::Timestamp) -> f64 {
        self.grantees.values().map(|grantee| grantee.demand_per_s(now)).sum()
    }

    /// Returns the number of units, which is negative after units that were granted beyond the rest.
    pub fn units(&self) -> f64 {
        self.units
    }

    /// Returns the number of gateways with leases, and the sum of their rates.
    pub fn leases(&self, now: core_time::Timestamp) -> (usize, f64) {
        let rates = self.grantees.values().map(|grantee| grantee.rate(now));
        let held: Vec<f64> = rates.filter(|rate| *rate > 0.0).collect();
        (held.len(), held.iter().sum())
    }

    /// Whether nothing would be lost if the pool were forgotten.
    fn is_idle(&self, terms: &allowances::Terms, now: core_time::Timestamp) -> bool {
        self.grantees.is_empty()
            && self.units >= terms.pool_capacity()
            && now.since(self.used_at) >= allowances::LEASE_TIME
    }

    /// Records what a gateway holds and demands.
    fn record(
        &mut self,
        holder: &ids::InstanceName,
        demand: &leases::Demand,
        now: core_time::Timestamp,
    ) {
        let grantee = self.grantees.entry(holder.clone()).or_default();
        let known = [grantee.granted, grantee.shown];
        let known = known.into_iter().find(|lease| lease.number == demand.held_lease);
        grantee.shown = match known.filter(|_| demand.held_lease > 0) {
            Some(lease) => Lease { rate: lease.rate.min(demand.held_rate), ..lease },
            None => {
                let expires_at = now.after(allowances::LEASE_TIME);
                Lease { number: 0, rate: demand.held_rate, expires_at }
            }
        };
        // A gateway has one request under way at a time, and ignores the answers to earlier ones.
        grantee.granted = grantee.shown;
        grantee.demand_per_s = demand.per_s;
        grantee.asked_at = now;
    }

    /// Returns the rate of the lease that `holder` is to have.
    fn lease_rate(
        &self,
        terms: &allowances::Terms,
        holder: &ids::InstanceName,
        now: core_time::Timestamp,
    ) -> f64 {
        let others = self.grantees.iter().filter(|(name, _)| *name != holder);
        let (rate, burst) = others.fold((0.0, 0.0), |(rate, burst), (_, grantee)| {
            (rate + grantee.rate(now), burst + grantee.burst(now))
        });
        let wanted = self.wanted_rate(terms, holder, now);
        let rate = wanted.min(terms.per_s - rate);
        let fits = allowances::lease_burst(rate) + burst <= terms.lease_bursts();
        let is_calm = self.demand_per_s(now) <= terms.per_s * CALM_SHARE;
        let least = if is_calm { allowances::MIN_LEASE_PER_S } else { MIN_BUSY_LEASE_PER_S };
        if rate >= least && fits {
            rate
        } else {
            0.0
        }
    }

    /// Returns the rate that `holder` gets if the others leave it: its share of the allowance while
    /// there is too little, or else somewhat more than its demand. What leases have beyond the demand
    /// is lost for others, so it is at most a part of what is not demanded.
    fn wanted_rate(
        &self,
        terms: &allowances::Terms,
        holder: &ids::InstanceName,
        now: core_time::Timestamp,
    ) -> f64 {
        let own = self.grantees.get(holder).map_or(0.0, |grantee| grantee.demand_per_s);
        if own < MIN_LEASED_DEMAND_PER_S {
            return 0.0;
        }
        let others = self.grantees.iter().filter(|(name, _)| *name != holder);
        let (demand, unused) = others.fold((own, 0.0), |(demand, unused), (_, grantee)| {
            let (other, rate) = (grantee.demand_per_s(now), grantee.rate(now));
            let covered = if rate > 0.0 { other * LEASED_SHARE } else { 0.0 };
            (demand + other, unused + rate - covered)
        });
        if demand >= terms.per_s {
            return terms.per_s * own / demand * LEASED_SHARE;
        }
        let spare = (terms.per_s - demand) * UNUSED_SHARE - unused;
        let wish = (own * HEADROOM + HEADROOM_PER_S).max(allowances::MIN_LEASE_PER_S);
        wish.min(own * LEASED_SHARE + spare.max(0.0))
    }

    /// Takes units for `wanted` calls, and returns how many there were. A gateway that lives on units
    /// gets one ahead if that leaves the burst untouched.
    fn take_units(&mut self, terms: &allowances::Terms, wanted: u32, is_ahead: bool) -> u32 {
        let ahead = u32::from(is_ahead && wanted > 0);
        let available = self.units.floor().max(0.0) as u32;
        let has_plenty = self.units - f64::from(wanted + ahead) >= terms.burst;
        let taken = if has_plenty { wanted + ahead } else { wanted.min(available) };
        self.units -= f64::from(taken);
        taken
    }

    /// Returns the time until there is room for another call.
    fn retry(&self, terms: &allowances::Terms) -> time::Duration {
        let refill = (terms.per_s - self.leased).max(terms.per_s * MIN_REFILL_SHARE);
        let wait = (1.0 - self.units).max(0.0) / refill;
        time::Duration::try_from_secs_f64(wait).unwrap_or(MAX_RETRY).min(MAX_RETRY)
    }
}

/// Table of the workspaces that this gateway owns.
#[derive(Debug, Default)]
pub struct Owner {
    /// Pools by workspace.
    pub pools: collections::BTreeMap<ids::WorkspaceName, Pool>,
    /// Processes of other gateways, with the number of their newest request.
    processes: collections::BTreeMap<ids::InstanceName, Process>,
    next_lease: u64,
}

/// The process of another gateway.
#[derive(Clone, Copy, Debug)]
struct Process {
    boot: u64,
    /// Process before it, whose messages may still be under way.
    former_boot: Option<u64>,
    number: u64,
}

impl Owner {
    /// Records the request of a process. Returns whether it is newer than all before it.
    pub fn accept(&mut self, holder: &ids::InstanceName, boot: u64, number: u64) -> bool {
        let new = Process { boot, former_boot: None, number };
        let Some(process) = self.processes.get_mut(holder) else {
            self.processes.insert(holder.clone(), new);
            return true;
        };
        if process.former_boot == Some(boot) || (process.boot == boot && process.number >= number) {
            return false;
        }
        if process.boot == boot {
            process.number = number;
            return true;
        }
        *process = Process { former_boot: Some(process.boot), ..new };
        self.release(holder);
        true
    }

    /// Forgets what a process that has ended held.
    fn release(&mut self, holder: &ids::InstanceName) {
        for pool in self.pools.values_mut() {
            pool.grantees.remove(holder);
        }
    }

    /// Answers what `holder` asks for a workspace. `settled_at` is the time since which all of its
    /// leases are known.
    pub fn grant(
        &mut self,
        terms: &allowances::Terms,
        holder: &ids::InstanceName,
        demand: &leases::Demand,
        settled_at: Option<core_time::Timestamp>,
        now: core_time::Timestamp,
    ) -> leases::Grant {
        self.next_lease += 1;
        let lease = self.next_lease;
        let pool = self.pool(terms, &demand.workspace, settled_at, now);
        pool.used_at = now;
        pool.record(holder, demand, now);
        let wanted = pool.lease_rate(terms, holder, now);
        // What is not reported may be leased.
        let rate = if settled_at.is_some() { wanted } else { wanted.min(demand.held_rate) };
        let rate = if rate < allowances::MIN_LEASE_PER_S { 0.0 } else { rate };
        let expires_at = now.after(allowances::LEASE_TIME);
        if let Some(grantee) = pool.grantees.get_mut(holder) {
            grantee.granted = Lease { number: lease, rate, expires_at };
        }
        pool.leased = pool.leased(now);
        let is_used = demand.per_s * terms.unit_time().as_secs_f64() >= MIN_AHEAD_CALLS;
        let units = match settled_at {
            Some(_) => pool.take_units(terms, demand.units, rate == 0.0 && is_used),
            None => 0,
        };
        leases::Grant {
            workspace: demand.workspace.clone(),
            lease,
            rate,
            valid: allowances::LEASE_TIME,
            units,
            units_valid: terms.unit_time(),
            retry: pool.retry(terms),
            total_per_s: pool.demand_per_s(now),
            is_settled: settled_at.is_some(),
        }
    }

    /// Returns the pool of a workspace, refilled up to `now`.
    fn pool(
        &mut self,
        terms: &allowances::Terms,
        workspace: &ids::WorkspaceName,
        settled_at: Option<core_time::Timestamp>,
        now: core_time::Timestamp,
    ) -> &mut Pool {
        let settled = settled_at.unwrap_or(now);
        let pool = self.pools.entry(workspace.clone()).or_insert_with(|| Pool::new(settled));
        match settled_at {
            Some(_) => pool.refill(terms, now),
            None => pool.pause(now),
        }
        pool
    }

    /// Records that `holder` has a lease which an earlier owner has granted, unless it has asked this
    /// gateway since.
    pub fn record_holding(
        &mut self,
        terms: &allowances::Terms,
        holder: &ids::InstanceName,
        workspace: &ids::WorkspaceName,
        rate: f64,
        now: core_time::Timestamp,
    ) {
        let pool = self.pool(terms, workspace, None, now);
        let expires_at = now.after(allowances::LEASE_TIME);
        let shown = Lease { number: 0, rate, expires_at };
        pool.used_at = now;
        pool.grantees.entry(holder.clone()).or_insert(Grantee { shown, ..Grantee::default() });
        pool.leased = pool.leased(now);
    }

    /// Refills a pool, or removes it if nothing is lost by that. Returns whether it is kept.
    pub fn refresh(
        pool: &mut Pool,
        terms: &allowances::Terms,
        is_settled: bool,
        now: core_time::Timestamp,
    ) -> bool {
        if !is_settled {
            pool.pause(now);
            return true;
        }
        pool.refill(terms, now);
        !pool.is_idle(terms, now)
    }
}
