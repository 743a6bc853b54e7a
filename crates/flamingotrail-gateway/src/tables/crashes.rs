//! Requests that endpoints did not survive. A request that comes again has a new id, so it is known by
//! its fingerprint.

use std::collections;
use std::time;

use flamingotrail_core::time as core_time;

use crate::ids;
use crate::input;

/// Number of endpoints that a request has to crash, one after the other, before it is quarantined.
const MAX_CRASHES: usize = 3;
/// Duration of the first quarantine; doubles with each further crash.
const MIN_QUARANTINE: time::Duration = time::Duration::from_secs(120);
/// Maximum duration of a quarantine.
const MAX_QUARANTINE: time::Duration = time::Duration::from_secs(1_800);
/// Time for which the first request after a quarantine keeps others out, so that one endpoint at most
/// is lost to the trial.
const TRIAL_TIME: time::Duration = time::Duration::from_secs(15);
/// Time within which an endpoint that has lost a request has to end, to count as crashed by it: the list
/// drops a silent endpoint after seconds.
const MAX_CONFIRM_TIME: time::Duration = time::Duration::from_secs(15);
/// How much later one gateway may hear of another's crash than it says.
const TIME_DIFFERENCE: time::Duration = time::Duration::from_millis(300);
/// Time after its last crash for which a request is remembered.
const MEMORY: time::Duration = time::Duration::from_secs(3_600);
/// Maximum numbers of suspicions and of requests; the oldest ones are forgotten.
const MAX_ROWS: usize = 1_024;

/// A request that was lost with its connection to an endpoint.
#[derive(Clone, Debug)]
struct Suspicion {
    fingerprint: ids::Fingerprint,
    endpoint: ids::EndpointId,
    sent_at: core_time::Timestamp,
    lost_at: core_time::Timestamp,
}

/// The time from the sending of a request to the loss of its connection.
#[derive(Clone, Copy, Debug)]
struct Run {
    sent_at: core_time::Timestamp,
    lost_at: core_time::Timestamp,
}

impl Run {
    /// Whether two runs were under way at the same time, as far as gateways can tell.
    fn overlaps(&self, other: &Run) -> bool {
        self.sent_at <= other.lost_at.after(TIME_DIFFERENCE)
            && other.sent_at <= self.lost_at.after(TIME_DIFFERENCE)
    }
}

/// A request that has crashed endpoints.
#[derive(Clone, Debug, Default)]
struct Suspect {
    endpoints: collections::BTreeMap<ids::EndpointId, Run>,
    last_crash: core_time::Timestamp,
    quarantined_until: core_time::Timestamp,
}

impl Suspect {
    /// Whether a crash counts: endpoints that fail at the same time were not crashed one by one.
    fn accepts(&self, endpoint: &ids::EndpointId, run: &Run) -> bool {
        !self.endpoints.contains_key(endpoint)
            && !self.endpoints.values().any(|known| known.overlaps(run))
    }

    fn add(&mut self, endpoint: ids::EndpointId, run: Run) {
        let at = run.lost_at;
        self.endpoints.insert(endpoint, run);
        self.last_crash = self.last_crash.max(at);
        if let Some(more) = self.endpoints.len().checked_sub(MAX_CRASHES) {
            let doublings = u32::try_from(more.min(8)).unwrap_or(8);
            let duration = MIN_QUARANTINE.saturating_mul(1 << doublings).min(MAX_QUARANTINE);
            self.quarantined_until = self.quarantined_until.max(at.after(duration));
        }
    }
}

/// Table of requests that endpoints did not survive.
#[derive(Debug, Default)]
pub struct Crashes {
    suspicions: collections::VecDeque<Suspicion>,
    suspects: collections::BTreeMap<ids::Fingerprint, Suspect>,
    /// Whether other gateways were asked for what they know.
    pub has_asked: bool,
}

impl Crashes {
    /// Whether nothing is known of any request.
    pub fn is_empty(&self) -> bool {
        self.suspicions.is_empty() && self.suspects.is_empty()
    }

    /// Records that `endpoint` has lost a request that was sent to it at `sent_at`.
    pub fn record_loss(
        &mut self,
        fingerprint: ids::Fingerprint,
        endpoint: &ids::EndpointId,
        sent_at: core_time::Timestamp,
        lost_at: core_time::Timestamp,
    ) {
        if self.suspicions.len() == MAX_ROWS {
            self.suspicions.pop_front();
        }
        let endpoint = endpoint.clone();
        self.suspicions.push_back(Suspicion { fingerprint, endpoint, sent_at, lost_at });
    }

    /// Records that an endpoint has survived a request.
    pub fn record_success(&mut self, fingerprint: ids::Fingerprint) {
        self.suspicions.retain(|suspicion| suspicion.fingerprint != fingerprint);
        self.suspects.remove(&fingerprint);
    }

    /// Records that `endpoint` has ended; returns the requests that have crashed it. Of the requests
    /// that were lost with it, those count that were not lost elsewhere at the same time: many are
    /// when endpoints fail for other reasons, and they come again.
    pub fn record_end(
        &mut self,
        endpoint: &ids::EndpointId,
        now: core_time::Timestamp,
    ) -> Vec<input::PeerCrash> {
        let (of_endpoint, others): (Vec<_>, Vec<_>) = std::mem::take(&mut self.suspicions)
            .into_iter()
            .filter(|suspicion| now.since(suspicion.lost_at) < MAX_CONFIRM_TIME)
            .partition(|suspicion| suspicion.endpoint == *endpoint);
        self.suspicions = others.into();
        let crashes = of_endpoint.into_iter().map(|suspicion| input::PeerCrash {
            fingerprint: suspicion.fingerprint,
            endpoint: endpoint.clone(),
            age: now.since(suspicion.lost_at),
            took: suspicion.lost_at.since(suspicion.sent_at),
        });
        crashes.flat_map(|crash| self.record_crashes(&[crash], now)).collect()
    }

    /// Records crashes that one gateway tells of; returns those that count and were not known. The
    /// gateway has compared them with each other.
    pub fn record_crashes(
        &mut self,
        crashes: &[input::PeerCrash],
        now: core_time::Timestamp,
    ) -> Vec<input::PeerCrash> {
        self.forget_old(now);
        let new = crashes.iter().filter(|crash| {
            let suspect = self.suspects.get(&crash.fingerprint);
            suspect.is_none_or(|suspect| suspect.accepts(&crash.endpoint, &run_of(crash, now)))
        });
        let new: Vec<input::PeerCrash> = new.cloned().collect();
        for crash in &new {
            let suspect = self.suspects.entry(crash.fingerprint).or_default();
            suspect.add(crash.endpoint.clone(), run_of(crash, now));
        }
        new
    }

    /// Returns the time until which a request is quarantined. Once that has passed, the next request
    /// is let through as a trial, and others are kept out for a while.
    pub fn admit(
        &mut self,
        fingerprint: ids::Fingerprint,
        now: core_time::Timestamp,
    ) -> Result<(), core_time::Timestamp> {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else { return Ok(()) };
        if suspect.endpoints.len() < MAX_CRASHES {
            return Ok(());
        }
        if now < suspect.quarantined_until {
            return Err(suspect.quarantined_until);
        }
        suspect.quarantined_until = now.after(TRIAL_TIME);
        Ok(())
    }

    /// Whether a request may be quarantined.
    pub fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// Returns all crashes, for a gateway that knows none.
    pub fn all(&self, now: core_time::Timestamp) -> Vec<input::PeerCrash> {
        let rows = self.suspects.iter().flat_map(|(fingerprint, suspect)| {
            suspect.endpoints.iter().map(|(endpoint, run)| input::PeerCrash {
                fingerprint: *fingerprint,
                endpoint: endpoint.clone(),
                age: now.since(run.lost_at),
                took: run.lost_at.since(run.sent_at),
            })
        });
        rows.collect()
    }

    fn forget_old(&mut self, now: core_time::Timestamp) {
        self.suspects.retain(|_, suspect| now.since(suspect.last_crash) < MEMORY);
        while self.suspects.len() >= MAX_ROWS {
            let oldest = self.suspects.iter().min_by_key(|(_, suspect)| suspect.last_crash);
            let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) else { return };
            self.suspects.remove(&oldest);
        }
    }
}

fn run_of(crash: &input::PeerCrash, now: core_time::Timestamp) -> Run {
    let lost_at = now.before(crash.age);
    Run { sent_at: lost_at.before(crash.took), lost_at }
}
