//! What this gateway may send of each workspace: its lease, its units, and the calls that wait.

use std::collections;
use std::time;

use flamingotrail_core::time as core_time;

use crate::ids;
use crate::leases;
use crate::tables::allowances;
use crate::tables::allowances::meters;

/// Interval between two renewals of a lease.
const RENEWAL_INTERVAL: time::Duration = time::Duration::from_millis(2_000);
/// Interval between two renewals while the workspace is short, so that its rate follows the demand.
const SHORT_RENEWAL_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Interval between two checks whether a lease is used.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Part of its rate below which a lease is hardly used.
const UNUSED_SHARE: f64 = 0.5;
/// Rate from which on a lease that is hardly used is returned early: a lower one is worth no message.
const LARGE_LEASE_PER_S: f64 = 6.0;
/// Time for which a workspace counts as short, or its calls as too many, after an answer has said so.
const SHORT_TIME: time::Duration = time::Duration::from_millis(1_000);
/// Time without a call after which the lease is returned.
const IDLE_TIME: time::Duration = time::Duration::from_secs(3);
/// Shortest and longest time between an answer without room and the next request.
const ASK_INTERVALS: (time::Duration, time::Duration) =
    (time::Duration::from_millis(50), time::Duration::from_millis(1_000));
/// Time after its arrival within which a call is usually sent, reads of the log included.
const PREPARATION_TIME: time::Duration = time::Duration::from_millis(300);
/// Time after a request without an answer in which calls are refused without another request.
const SILENCE_TIME: time::Duration = time::Duration::from_millis(300);
/// Part of what a lease accumulates from which on its rate is not used up.
const SPARE_SHARE: f64 = 0.75;
/// Least part of the rate that first turns get while there is too little.
const MIN_FIRST_SHARE: f64 = 0.1;
/// Time for which room is kept for a caller that was asked to return.
const RETURN_TIME: time::Duration = time::Duration::from_millis(500);
/// Largest part of what a lease accumulates that is kept for callers that return.
const KEPT_SHARE: f64 = 0.25;
/// Callers that return use at most this part of the rate.
const RETURN_SHARE: f64 = 0.5;
/// Number of times that callers are told who will hardly wait for so long.
const MAX_LATE_RETURNS: u32 = 32;
/// Lowest rate at which callers are asked to return, in calls per second.
const MIN_RETURN_RATE_PER_S: f64 = 0.1;

/// A lease that this gateway holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Lease {
    /// Gateway that has granted it.
    pub owner: ids::InstanceName,
    /// Number by which that gateway knows it.
    pub number: u64,
    /// Calls per second.
    pub rate: f64,
    /// When it expires.
    pub expires_at: core_time::Timestamp,
}

/// A bucket that fills at a rate.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    calls: f64,
    updated: core_time::Timestamp,
}

impl Bucket {
    fn fill(&mut self, rate: f64, capacity: f64, now: core_time::Timestamp) {
        let added = rate * now.since(self.updated).as_secs_f64();
        self.calls = (self.calls + added).min(capacity);
        self.updated = self.updated.max(now);
    }
}

/// Units that were granted together.
#[derive(Clone, Copy, Debug)]
struct Units {
    calls: u32,
    expires_at: core_time::Timestamp,
}

/// What distinguishes calls that need room.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// Whether the call is the first of a program.
    pub is_first: bool,
    /// Whether the call belongs to a program that has begun.
    pub continues_program: bool,
    /// Whether its caller has come back after a refusal.
    pub has_returned: bool,
}

/// A workspace with calls at this gateway.
#[derive(Clone, Debug, Default)]
pub struct Row {
    /// Owner of the workspace; `None` if it is not known.
    pub owner: Option<ids::InstanceName>,
    /// The lease.
    pub lease: Option<Lease>,
    /// Calls that have arrived and were not sent, with the time of their arrival.
    pending: collections::BTreeMap<ids::CallId, (core_time::Timestamp, Claim)>,
    /// Calls that have found no room, with the time until which they wait.
    pub waiting: collections::BTreeMap<ids::CallId, core_time::Timestamp>,
    /// When the lease is renewed, or the row checked.
    pub renew_at: core_time::Timestamp,
    /// Limit of the workspace when the row was checked last.
    pub per_s: f64,
    /// When the owner answered last, and the sending of that request.
    pub answered: Option<(core_time::Timestamp, core_time::Timestamp)>,
    renewed_at: core_time::Timestamp,
    demand: meters::Rate,
    length: meters::ProgramLength,
    bucket: Bucket,
    first_turns: Bucket,
    units: Vec<Units>,
    used_at: core_time::Timestamp,
    total_per_s: f64,
    short_until: core_time::Timestamp,
    scarce_until: core_time::Timestamp,
    /// Number of calls for which the newest request asked for units.
    asked_units: u32,
    ask_at: core_time::Timestamp,
    silent_until: core_time::Timestamp,
    /// Times at which callers were asked to return.
    returns: collections::VecDeque<core_time::Timestamp>,
    returns_at: core_time::Timestamp,
    /// Number of callers that were asked to return later than they are likely to.
    late_returns: u32,
}

impl Row {
    /// Returns the row of a workspace with this owner and limit.
    pub fn new(owner: Option<ids::InstanceName>, per_s: f64, now: core_time::Timestamp) -> Self {
        Row { owner, per_s, used_at: now, renew_at: now.after(IDLE_TIME), ..Row::default() }
    }

    /// Records the arrival of a call.
    pub fn record_arrival(&mut self, id: ids::CallId, claim: Claim, now: core_time::Timestamp) {
        self.pending.insert(id, (now, claim));
        self.demand.record(now);
        if claim.continues_program {
            self.length.record_other(now);
        }
        self.used_at = now;
    }

    /// Forgets the calls that need no room any more.
    pub fn retain_calls(&mut self, is_unsent: impl Fn(&ids::CallId) -> bool) {
        self.pending.retain(|id, _| is_unsent(id));
        self.waiting.retain(|id, _| is_unsent(id));
    }

    /// Returns the rate of the lease.
    pub fn rate(&self, now: core_time::Timestamp) -> f64 {
        let lease = self.lease.as_ref().filter(|lease| now < lease.expires_at);
        lease.map_or(0.0, |lease| lease.rate)
    }

    /// Brings the buckets up to `now`, and drops what has expired.
    pub fn refresh(&mut self, now: core_time::Timestamp) {
        if let Some(lease) = &self.lease {
            let until = now.min(lease.expires_at);
            self.bucket.fill(lease.rate, allowances::lease_burst(lease.rate), until);
        }
        if self.rate(now) == 0.0 {
            self.lease = None;
            self.bucket = Bucket { calls: 0.0, updated: now };
        }
        self.units.retain(|units| now < units.expires_at);
        let rate = self.fair_rate(now) * (1.0 / self.length.mean()).max(MIN_FIRST_SHARE);
        self.first_turns.fill(rate, allowances::lease_burst(rate), now);
        self.returns.retain(|at| now < at.after(RETURN_TIME));
    }

    /// Returns the rate that this gateway gets while the workspace is short.
    fn fair_rate(&self, now: core_time::Timestamp) -> f64 {
        let own = self.demand.per_s(now);
        let share = own / self.total_per_s.max(own).max(1.0);
        self.rate(now).max(self.per_s * share).max(MIN_RETURN_RATE_PER_S)
    }

    fn unit_count(&self) -> u32 {
        self.units.iter().map(|units| units.calls).sum()
    }

    /// Returns the number of calls for which there is room.
    fn room(&self) -> u32 {
        self.bucket.calls.max(0.0) as u32 + self.unit_count()
    }

    /// Whether there is room for a call. Call [`Row::refresh`] before.
    pub fn has_room(&self, claim: Claim, now: core_time::Timestamp) -> bool {
        let kept = if claim.has_returned { 0 } else { self.kept_room(now) };
        if self.room() <= kept {
            return false;
        }
        !(claim.is_first && self.is_scarce(now)) || self.has_room_for_first(now)
    }

    /// Returns the room that is kept for callers that were asked to return now: a part of what the
    /// lease accumulates, so that its rate is used up even if they don't.
    fn kept_room(&self, now: core_time::Timestamp) -> u32 {
        let due = self.returns.iter().filter(|at| **at <= now).count();
        let most = (allowances::lease_burst(self.rate(now)) * KEPT_SHARE) as u32;
        most.min(u32::try_from(due).unwrap_or(u32::MAX))
    }

    /// Whether a first turn leaves enough for programs that have begun: its share of the rate is not
    /// used up, or the rate is not.
    fn has_room_for_first(&self, now: core_time::Timestamp) -> bool {
        let capacity = allowances::lease_burst(self.rate(now));
        let has_spare = capacity > 0.0 && self.bucket.calls >= (capacity * SPARE_SHARE).max(1.0);
        has_spare || self.first_turns.calls >= 1.0
    }

    /// Spends room for a call that is sent. Call [`Row::refresh`] before.
    pub fn spend(&mut self, id: ids::CallId, claim: Claim, now: core_time::Timestamp) {
        self.pending.remove(&id);
        self.waiting.remove(&id);
        self.used_at = now;
        if claim.is_first {
            self.length.record_first(now);
            self.first_turns.calls = (self.first_turns.calls - 1.0).max(0.0);
        }
        if claim.has_returned && self.returns.front().is_some_and(|at| *at <= now) {
            self.returns.pop_front();
        }
        // Units expire; what the lease accumulates does not.
        if let Some(units) = self.units.iter_mut().find(|units| units.calls > 0) {
            units.calls -= 1;
        } else {
            self.bucket.calls = (self.bucket.calls - 1.0).max(0.0);
        }
    }

    /// Returns the number of calls that wait, or are about to be sent, and for which there is no room.
    /// Units for calls that wait longer for the log would expire.
    pub fn missing(&self, now: core_time::Timestamp) -> u32 {
        let needed = self.pending.iter().filter(|(id, (at, _))| {
            now.since(*at) < PREPARATION_TIME || self.waiting.contains_key(*id)
        });
        let (mut first_turns, mut others) = (0, 0);
        for (_, (_, claim)) in needed {
            *(if claim.is_first { &mut first_turns } else { &mut others }) += 1;
        }
        if self.is_scarce(now) {
            first_turns = first_turns.min(self.first_turns.calls.max(0.0) as u32);
        }
        (first_turns + others).saturating_sub(self.room())
    }

    /// Returns the time until the lease has room for another call; `None` without a lease.
    pub fn next_room(&self, now: core_time::Timestamp) -> Option<time::Duration> {
        let rate = self.rate(now);
        let missing = (1.0 - self.bucket.calls).max(0.0);
        (rate > 0.0).then(|| time::Duration::from_secs_f64(missing / rate))
    }

    /// Whether the workspace was short lately.
    pub fn is_short(&self, now: core_time::Timestamp) -> bool {
        now < self.short_until
    }

    /// Whether there was too little for all calls lately.
    fn is_scarce(&self, now: core_time::Timestamp) -> bool {
        now < self.scarce_until
    }

    /// Whether the owner may be asked for room.
    pub fn may_ask(&self, now: core_time::Timestamp) -> bool {
        now >= self.ask_at
    }

    /// Returns when the owner may be asked for room.
    pub fn ask_at(&self) -> core_time::Timestamp {
        self.ask_at
    }

    /// Whether the owner did not answer lately.
    pub fn is_owner_silent(&self, now: core_time::Timestamp) -> bool {
        now < self.silent_until
    }

    /// Forgets a call that is refused.
    pub fn forget_call(&mut self, id: ids::CallId) {
        self.pending.remove(&id);
        self.waiting.remove(&id);
    }

    /// Returns when the owner is asked next; `None` if only calls make that necessary. Call
    /// [`Row::refresh`] before.
    pub fn request_at(&self, now: core_time::Timestamp) -> Option<core_time::Timestamp> {
        let is_idle = self.is_idle(now);
        let renew_at = if is_idle { now } else { self.renew_at.min(self.return_at(now)) };
        let renew_at = self.lease.as_ref().map(|_| renew_at.max(self.silent_until));
        let ask_at = (self.missing(now) > 0).then_some(self.ask_at);
        renew_at.into_iter().chain(ask_at).min()
    }

    /// Returns when a lease that is hardly used is renewed, so that others get its rate.
    fn return_at(&self, now: core_time::Timestamp) -> core_time::Timestamp {
        let is_unused = self.demand.per_s(now) < self.rate(now) * UNUSED_SHARE;
        if is_unused && self.rate(now) > LARGE_LEASE_PER_S {
            self.renewed_at.after(SHORT_RENEWAL_INTERVAL)
        } else {
            self.renew_at
        }
    }

    /// Whether to ask the owner now, since a request is due, or a renewal before `soon`.
    pub fn is_due(&self, soon: core_time::Timestamp, now: core_time::Timestamp) -> bool {
        let at = if self.missing(now) > 0 { now } else { soon };
        self.request_at(now).is_some_and(|request_at| request_at <= at)
    }

    /// Returns when the row is checked next.
    pub fn check_at(&self, now: core_time::Timestamp) -> core_time::Timestamp {
        let request_at = self.owner.as_ref().and_then(|_| self.request_at(now));
        let check_at = now.after(if self.lease.is_some() { CHECK_INTERVAL } else { IDLE_TIME });
        request_at.map_or(check_at, |at| at.min(check_at))
    }

    /// Whether the row may be removed.
    pub fn is_spent(&self, now: core_time::Timestamp) -> bool {
        self.lease.is_none() && self.is_idle(now)
    }

    /// Whether no call has come for so long that the row is not needed.
    pub fn is_idle(&self, now: core_time::Timestamp) -> bool {
        self.pending.is_empty() && now.since(self.used_at) >= IDLE_TIME
    }

    /// Returns what to ask of `owner`. An idle row gives its lease back.
    pub fn demand(
        &mut self,
        workspace: &ids::WorkspaceName,
        owner: &ids::InstanceName,
        now: core_time::Timestamp,
    ) -> leases::Demand {
        self.refresh(now);
        let is_idle = self.is_idle(now);
        let number = self.lease.as_ref().filter(|lease| lease.owner == *owner);
        let demand = leases::Demand {
            workspace: workspace.clone(),
            per_s: if is_idle { 0.0 } else { self.demand.per_s(now) },
            held_rate: if is_idle { 0.0 } else { self.rate(now) },
            held_lease: number.map_or(0, |lease| lease.number),
            units: self.missing(now),
        };
        self.asked_units = demand.units;
        if is_idle {
            self.lease = None;
        }
        // An answer sets the next time; without one, the next request is as late.
        self.schedule_renewal(now);
        demand
    }

    fn schedule_renewal(&mut self, now: core_time::Timestamp) {
        self.renewed_at = now;
        let interval = if self.is_short(now) { SHORT_RENEWAL_INTERVAL } else { RENEWAL_INTERVAL };
        self.renew_at = now.after(interval);
    }

    /// Applies the owner's answer to a request that was sent at `sent_at`.
    pub fn apply(
        &mut self,
        owner: &ids::InstanceName,
        grant: &leases::Grant,
        terms: &allowances::Terms,
        sent_at: core_time::Timestamp,
        now: core_time::Timestamp,
    ) {
        self.refresh(now);
        let rate = grant.rate.min(terms.per_s);
        let expires_at = sent_at.after(grant.valid.min(allowances::LEASE_TIME));
        self.lease = (rate > 0.0 && now < expires_at).then(|| Lease {
            owner: owner.clone(),
            number: grant.lease,
            rate,
            expires_at,
        });
        self.bucket.calls = self.bucket.calls.min(allowances::lease_burst(self.rate(now)));
        let expires_at = sent_at.after(grant.units_valid);
        if grant.units > 0 && now < expires_at {
            self.units.push(Units { calls: grant.units, expires_at });
        }
        self.total_per_s = grant.total_per_s;
        if grant.total_per_s > terms.per_s * allowances::SHORT_SHARE {
            self.short_until = now.after(SHORT_TIME);
        }
        if grant.is_settled {
            self.answered = Some((now, sent_at));
        }
        self.silent_until = now;
        let (shortest, longest) = ASK_INTERVALS;
        self.ask_at = now;
        if grant.units < self.asked_units {
            // A pool that is empty for a moment is no reason to hold first turns back.
            if self.is_short(now) {
                self.scarce_until = now.after(SHORT_TIME);
            }
            self.ask_at = now.after(grant.retry.clamp(shortest, longest));
        }
        self.schedule_renewal(now);
    }

    /// Records that the owner did not answer, or is not the owner.
    pub fn record_silence(&mut self, now: core_time::Timestamp) {
        self.silent_until = now.after(SILENCE_TIME);
        self.ask_at = self.silent_until;
    }

    /// Applies the limit of the workspace: caps the lease, and renews it soon if the limit has changed.
    pub fn apply_limit(&mut self, per_s: f64, now: core_time::Timestamp) {
        if self.per_s == per_s {
            return;
        }
        self.per_s = per_s;
        self.refresh(now);
        if let Some(lease) = self.lease.as_mut() {
            lease.rate = lease.rate.min(per_s);
            self.bucket.calls = self.bucket.calls.min(allowances::lease_burst(lease.rate));
        }
        self.renew_at = now;
    }

    /// Returns how long a refused caller should wait: until there is room, or until those before it
    /// have returned. Room is kept for it unless it would give up before, after `patience`.
    pub fn schedule_return(
        &mut self,
        patience: time::Duration,
        now: core_time::Timestamp,
    ) -> time::Duration {
        let interval = time::Duration::from_secs_f64(1.0 / (self.fair_rate(now) * RETURN_SHARE));
        let at = self.returns_at.max(now.after(interval));
        if at.since(now) <= patience {
            self.returns_at = at.after(interval);
            self.returns.push_back(at);
            self.late_returns = 0;
            return at.since(now);
        }
        // Callers that would have to wait for longer come when they like, but not all at once.
        self.late_returns = (self.late_returns + 1) % MAX_LATE_RETURNS;
        at.after(interval * self.late_returns).since(now)
    }
}

/// A request to an owner.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Number of the request.
    pub number: u64,
    /// When it was sent.
    pub sent_at: core_time::Timestamp,
    /// Whether its answer is to be ignored, since what it grants was reported as not held.
    pub is_void: bool,
    /// Workspaces that it names.
    pub workspaces: Vec<ids::WorkspaceName>,
}

/// Table of the workspaces with calls at this gateway.
#[derive(Debug, Default)]
pub struct Holder {
    /// Workspaces by name.
    pub rows: collections::BTreeMap<ids::WorkspaceName, Row>,
    /// Requests that are under way, at most one per owner.
    pub asked: collections::BTreeMap<ids::InstanceName, Asked>,
    /// Number of the newest request.
    pub number: u64,
    /// Version of the configuration by which leases were capped.
    pub version: Option<u64>,
}

impl Holder {
    /// Returns the rates of all leases.
    pub fn rates(&self, now: core_time::Timestamp) -> Vec<(ids::WorkspaceName, f64)> {
        let rates = self.rows.iter().map(|(name, row)| (name.clone(), row.rate(now)));
        rates.filter(|(_, rate)| *rate > 0.0).collect()
    }

    /// Lets the answers to all requests but those to `owner` be ignored: a new owner relies on what
    /// this gateway has reported to it.
    pub fn void_requests(&mut self, owner: &ids::InstanceName) {
        let others = self.asked.iter_mut().filter(|(name, _)| *name != owner);
        others.for_each(|(_, asked)| asked.is_void = true);
    }
}
