//! Requests that endpoints did not survive. A request that comes again has a new id, so it is known by
//! its fingerprint.
//!
//! Each end of an endpoint with a request under way is a crash by that request: of one endpoint or of
//! several, under a new id or the same one, one after the other or at once. What differs is what the
//! crashes prove. Endpoints that ended one after the other, each with the same request, were crashed by
//! it. Endpoints that ended at once may have failed for another reason while they ran copies of a popular
//! request, so that one is tried before it is kept away.

use std::collections;
use std::time;

use flamingotrail_core::time as core_time;

use crate::ids;
use crate::input;

/// Number of endpoints that a request has to crash before it is kept away.
const MAX_CRASHES: usize = 3;
/// Duration of the first quarantine; doubles with each further crash.
const MIN_QUARANTINE: time::Duration = time::Duration::from_secs(120);
/// Maximum duration of a quarantine.
const MAX_QUARANTINE: time::Duration = time::Duration::from_secs(1_800);
/// Number of gateways that may try a request after crashes at once, each one copy at a time: fewer endpoints
/// are lost, if it crashes them, than it had to crash before.
const DOUBTFUL_TRIAL_GATEWAYS: usize = 2;
/// Number of gateways that may try a request after a quarantine.
const TRIAL_GATEWAYS: usize = 3;
/// Time for which a trial of a request keeps others out, so that one endpoint at most is lost to it.
const TRIAL_TIME: time::Duration = time::Duration::from_secs(15);
/// Time within which an endpoint that has lost a request has to end, to count as crashed by it: the list
/// drops a silent endpoint after seconds.
const MAX_CONFIRM_TIME: time::Duration = time::Duration::from_secs(15);
/// How much later one gateway may hear of another's crash than it says.
const TIME_DIFFERENCE: time::Duration = time::Duration::from_millis(300);
/// Time between the losses of two requests within which an endpoint can't have been started again.
const MIN_RESTART_TIME: time::Duration = time::Duration::from_secs(1);
/// Time after its last crash for which a request is remembered.
const MEMORY: time::Duration = time::Duration::from_secs(3_600);
/// Time between the first time of this table and the start of the process: others tell of crashes that are
/// older than it.
const TIME_BEFORE_START: time::Duration = time::Duration::from_secs(7_200);
/// Maximum numbers of suspicions and of requests; the oldest ones are forgotten.
const MAX_ROWS: usize = 1_024;
/// Maximum number of crashes that are remembered of a request.
const MAX_CRASHES_OF_REQUEST: usize = 64;
/// Maximum number of crashes, and of losses, that are saved for other gateways.
const MAX_SAVED_ROWS: usize = 256;

/// A request that was lost with its connection to an endpoint.
#[derive(Clone, Debug)]
struct Suspicion {
    fingerprint: ids::Fingerprint,
    endpoint: ids::EndpointId,
    /// When the endpoint was started, in milliseconds since the Unix epoch, if it says so.
    started_at_ms: Option<u64>,
    run: Run,
}

/// The time from the sending of a request to the loss of its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Run {
    /// When the request was sent.
    pub sent_at: core_time::Timestamp,
    /// When its connection was lost.
    pub lost_at: core_time::Timestamp,
}

/// Returns the time in this table at `now`.
fn table_time(now: core_time::Timestamp) -> core_time::Timestamp {
    now.after(TIME_BEFORE_START)
}

impl Run {
    fn new(age: time::Duration, took: time::Duration, now: core_time::Timestamp) -> Self {
        let lost_at = now.before(age);
        Run { sent_at: lost_at.before(took), lost_at }
    }

    /// Whether two runs were under way within `difference` of each other.
    fn overlaps(&self, other: &Run, difference: time::Duration) -> bool {
        self.sent_at <= other.lost_at.after(difference)
            && other.sent_at <= self.lost_at.after(difference)
    }
}

/// The end of an endpoint with a request under way.
#[derive(Clone, Debug)]
struct Crash {
    endpoint: ids::EndpointId,
    run: Run,
}

/// What the crashes of a request prove.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Proof {
    /// Nothing.
    None,
    /// Enough endpoints have ended, but several at once, perhaps for another reason.
    Doubtful,
    /// The request crashes endpoints.
    Sufficient,
}

/// Why a request may not be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Restriction {
    /// It crashes endpoints; contains the rest of its quarantine.
    Quarantined(time::Duration),
    /// It may crash endpoints. Another copy is being tried, or other gateways have to try it.
    OnTrial,
}

/// A request that has crashed endpoints.
#[derive(Clone, Debug, Default)]
struct Suspect {
    /// Crashes in the order in which the request was sent.
    crashes: Vec<Crash>,
    quarantined_until: core_time::Timestamp,
    trial_until: core_time::Timestamp,
}

impl Suspect {
    /// Whether a crash is known already: one endpoint can't end twice within a short time, so other
    /// copies of the request were lost with it, or another gateway tells of the same one.
    fn knows(&self, endpoint: &ids::EndpointId, run: &Run) -> bool {
        let mut known = self.crashes.iter().filter(|crash| crash.endpoint == *endpoint);
        known.any(|crash| crash.run.overlaps(run, MIN_RESTART_TIME))
    }

    fn add(&mut self, endpoint: ids::EndpointId, run: Run) {
        if self.crashes.len() == MAX_CRASHES_OF_REQUEST {
            return;
        }
        let place = self.crashes.partition_point(|crash| crash.run <= run);
        self.crashes.insert(place, Crash { endpoint, run });
        let waves = self.waves();
        let (Some(sufficient), Some(last)) = (Self::sufficient_wave(&waves), waves.last()) else {
            return;
        };
        let Some(doublings) = last.checked_sub(sufficient) else { return };
        let doublings = u32::try_from(doublings).unwrap_or(u32::MAX);
        let factor = 1_u32.checked_shl(doublings).unwrap_or(u32::MAX);
        let duration = MIN_QUARANTINE.saturating_mul(factor).min(MAX_QUARANTINE);
        self.quarantined_until = self.quarantined_until.max(run.lost_at.after(duration));
    }

    /// Returns the number, from 0, of the wave to which each crash belongs. Endpoints that end at the
    /// same time, as far as gateways can tell, are one wave.
    fn waves(&self) -> Vec<usize> {
        let mut waves = Vec::with_capacity(self.crashes.len());
        let mut end = None;
        let mut wave = 0;
        for crash in &self.crashes {
            let end_before = end.unwrap_or(crash.run.lost_at);
            if crash.run.sent_at > end_before.after(TIME_DIFFERENCE) {
                wave += 1;
            }
            end = Some(end_before.max(crash.run.lost_at));
            waves.push(wave);
        }
        waves
    }

    /// Returns the wave that proves that the request crashes endpoints: the third, or the one after that in
    /// which the number of crashes was reached; `None` before it was.
    fn sufficient_wave(waves: &[usize]) -> Option<usize> {
        let reached = *waves.get(MAX_CRASHES - 1)?;
        Some(if reached + 1 >= MAX_CRASHES { reached } else { reached + 1 })
    }

    fn proof(&self) -> Proof {
        let waves = self.waves();
        match (Self::sufficient_wave(&waves), waves.last()) {
            (Some(sufficient), Some(last)) if *last >= sufficient => Proof::Sufficient,
            (Some(_), _) => Proof::Doubtful,
            (None, _) => Proof::None,
        }
    }

    fn last_crash(&self) -> core_time::Timestamp {
        self.crashes.iter().map(|crash| crash.run.lost_at).max().unwrap_or_default()
    }
}

/// Whether a saved record holds nothing that is still remembered.
pub fn is_expired(record: &input::CrashRecord) -> bool {
    record.crashes.iter().all(|crash| crash.age >= MEMORY)
        && record.losses.iter().all(|loss| loss.age >= MAX_CONFIRM_TIME)
}

/// Table of requests that endpoints did not survive.
#[derive(Debug, Default)]
pub struct Crashes {
    suspicions: collections::VecDeque<Suspicion>,
    suspects: collections::BTreeMap<ids::Fingerprint, Suspect>,
    /// Whether a request is kept away or tried.
    is_restricting: bool,
    /// Whether other gateways were asked for what they know.
    pub has_asked: bool,
    /// Whether what gateways have saved was loaded. Before, nothing is saved: it would replace what this
    /// gateway has saved when it ran before.
    pub is_loaded: bool,
    /// Whether suspicions were loaded whose endpoints may have ended before.
    pub has_loaded_suspicions: bool,
    /// Whether what is known has changed since it was saved.
    pub is_unsaved: bool,
    /// Whether this process has saved anything.
    has_saved: bool,
    /// Requests that endpoints have survived, of which the other gateways have to be told.
    pub untold_survivals: collections::BTreeSet<ids::Fingerprint>,
    /// When the other gateways were last told of survivals, and crashes were last saved.
    pub published_at: Option<core_time::Timestamp>,
}

impl Crashes {
    /// Whether nothing is known of any request.
    pub fn is_empty(&self) -> bool {
        self.suspicions.is_empty() && self.suspects.is_empty()
    }

    /// Records that `endpoint`, which was started at `started_at_ms`, has lost a request.
    pub fn record_loss(
        &mut self,
        fingerprint: ids::Fingerprint,
        endpoint: &ids::EndpointId,
        started_at_ms: Option<u64>,
        run: Run,
    ) {
        let run = Run { sent_at: table_time(run.sent_at), lost_at: table_time(run.lost_at) };
        let endpoint = endpoint.clone();
        self.push_suspicion(Suspicion { fingerprint, endpoint, started_at_ms, run });
        self.is_unsaved = true;
    }

    fn push_suspicion(&mut self, suspicion: Suspicion) {
        if self.suspicions.len() == MAX_ROWS {
            self.suspicions.pop_front();
        }
        self.suspicions.push_back(suspicion);
    }

    /// Records that an endpoint has survived a request. Returns whether other gateways know of crashes
    /// by it.
    pub fn record_success(&mut self, fingerprint: ids::Fingerprint) -> bool {
        self.suspicions.retain(|suspicion| suspicion.fingerprint != fingerprint);
        let Some(suspect) = self.suspects.remove(&fingerprint) else { return false };
        // Other gateways have saved what they have told.
        self.is_unsaved |= self.has_saved && suspect.proof() != Proof::None;
        self.update();
        true
    }

    /// Forgets the losses of an endpoint that has not ended with them.
    pub fn clear_losses(&mut self, endpoint: &ids::EndpointId) {
        self.suspicions.retain(|suspicion| suspicion.endpoint != *endpoint);
    }

    /// Records that `endpoint` has ended; returns the crashes by requests that were lost with it.
    pub fn record_end(
        &mut self,
        endpoint: &ids::EndpointId,
        now: core_time::Timestamp,
    ) -> Vec<input::PeerCrash> {
        let at = table_time(now);
        let (of_endpoint, others): (Vec<_>, Vec<_>) = std::mem::take(&mut self.suspicions)
            .into_iter()
            .filter(|suspicion| at.since(suspicion.run.lost_at) < MAX_CONFIRM_TIME)
            .partition(|suspicion| suspicion.endpoint == *endpoint);
        self.suspicions = others.into();
        let crashes = of_endpoint.into_iter().map(|suspicion| input::PeerCrash {
            fingerprint: suspicion.fingerprint,
            endpoint: endpoint.clone(),
            age: at.since(suspicion.run.lost_at),
            took: suspicion.run.lost_at.since(suspicion.run.sent_at),
        });
        let crashes: Vec<input::PeerCrash> = crashes.collect();
        let new = self.record_crashes(&crashes, now);
        self.is_unsaved |= !new.is_empty();
        new
    }

    /// Records crashes; returns those that were not known.
    pub fn record_crashes(
        &mut self,
        crashes: &[input::PeerCrash],
        now: core_time::Timestamp,
    ) -> Vec<input::PeerCrash> {
        let now = table_time(now);
        let mut new = Vec::new();
        for crash in crashes {
            self.make_room(now);
            let run = Run::new(crash.age, crash.took, now);
            let suspect = self.suspects.entry(crash.fingerprint).or_default();
            if !suspect.knows(&crash.endpoint, &run) {
                suspect.add(crash.endpoint.clone(), run);
                new.push(crash.clone());
            }
        }
        self.update();
        new
    }

    /// Takes over what a gateway knows of requests that have crashed more endpoints than is known here.
    /// Crashes of several sources are not added up, since the ages that they name may differ.
    pub fn adopt(&mut self, crashes: &[input::PeerCrash], now: core_time::Timestamp) {
        let now = table_time(now);
        let mut rows = collections::BTreeMap::<ids::Fingerprint, Suspect>::new();
        for crash in crashes.iter().filter(|crash| crash.age < MEMORY) {
            let run = Run::new(crash.age, crash.took, now);
            rows.entry(crash.fingerprint).or_default().add(crash.endpoint.clone(), run);
        }
        for (fingerprint, row) in rows {
            self.make_room(now);
            let known = self.suspects.get(&fingerprint).map_or(0, |known| known.crashes.len());
            if row.crashes.len() > known {
                self.suspects.insert(fingerprint, row);
            }
        }
        self.update();
    }

    /// Takes over what gateways have saved. An endpoint may have ended since a request was lost there.
    pub fn load(&mut self, saved: &[input::CrashRecord], now: core_time::Timestamp) {
        self.is_loaded = true;
        for record in saved {
            self.adopt(&record.crashes, now);
            for loss in record.losses.iter().filter(|loss| loss.age < MAX_CONFIRM_TIME) {
                let run = Run::new(loss.age, loss.took, table_time(now));
                self.push_suspicion(Suspicion {
                    fingerprint: loss.fingerprint,
                    endpoint: loss.endpoint.clone(),
                    started_at_ms: loss.started_at_ms,
                    run,
                });
                self.has_loaded_suspicions = true;
            }
        }
    }

    /// Returns the endpoints with suspicions that have ended, according to `has_ended`, which gets the
    /// endpoint and when it was started.
    pub fn ended_suspects(
        &self,
        has_ended: impl Fn(&ids::EndpointId, Option<u64>) -> bool,
    ) -> Vec<ids::EndpointId> {
        let ended = self
            .suspicions
            .iter()
            .filter(|suspicion| has_ended(&suspicion.endpoint, suspicion.started_at_ms));
        ended.map(|suspicion| suspicion.endpoint.clone()).collect()
    }

    /// Returns why a request may not be sent now, if so. `place` is that of this gateway in an order of
    /// all: the first ones may try a request that is kept away.
    pub fn restriction(
        &self,
        fingerprint: ids::Fingerprint,
        place: usize,
        now: core_time::Timestamp,
    ) -> Option<Restriction> {
        let suspect = self.suspects.get(&fingerprint)?;
        let now = table_time(now);
        let trial_gateways = match suspect.proof() {
            Proof::None => return None,
            Proof::Sufficient if now < suspect.quarantined_until => {
                return Some(Restriction::Quarantined(suspect.quarantined_until.since(now)));
            }
            Proof::Sufficient => TRIAL_GATEWAYS,
            Proof::Doubtful => DOUBTFUL_TRIAL_GATEWAYS,
        };
        let may_try = place < trial_gateways && now >= suspect.trial_until;
        (!may_try).then_some(Restriction::OnTrial)
    }

    /// Records that a request is sent. If it may crash endpoints, this is a trial, and others of its kind
    /// are kept out. Returns whether it is.
    pub fn begin_trial(
        &mut self,
        fingerprint: ids::Fingerprint,
        now: core_time::Timestamp,
    ) -> bool {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else { return false };
        let is_trial = suspect.proof() != Proof::None;
        if is_trial {
            suspect.trial_until = table_time(now).after(TRIAL_TIME);
        }
        is_trial
    }

    /// Ends a trial in which the request did not run to its end.
    pub fn end_trial(&mut self, fingerprint: ids::Fingerprint, now: core_time::Timestamp) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.trial_until = suspect.trial_until.min(table_time(now));
        }
    }

    /// Whether requests are kept away or tried.
    pub fn is_restricting(&self) -> bool {
        self.is_restricting
    }

    /// Returns all crashes, for a gateway that knows none.
    pub fn all(&self, now: core_time::Timestamp) -> Vec<input::PeerCrash> {
        let now = table_time(now);
        let rows = self.suspects.iter().flat_map(|(fingerprint, suspect)| {
            suspect.crashes.iter().map(|Crash { endpoint, run }| input::PeerCrash {
                fingerprint: *fingerprint,
                endpoint: endpoint.clone(),
                age: now.since(run.lost_at),
                took: run.lost_at.since(run.sent_at),
            })
        });
        rows.collect()
    }

    /// Returns what is saved for gateways that start: the requests with the most crashes, and the newest
    /// losses.
    pub fn record(&mut self, now: core_time::Timestamp) -> input::CrashRecord {
        self.has_saved = true;
        let mut crashes = self.all(now);
        let count = |crash: &input::PeerCrash| {
            self.suspects.get(&crash.fingerprint).map_or(0, |suspect| suspect.crashes.len())
        };
        crashes.sort_by_key(|crash| (std::cmp::Reverse(count(crash)), crash.age));
        crashes.truncate(MAX_SAVED_ROWS);
        let at = table_time(now);
        let losses = self.suspicions.iter().rev().map(|suspicion| input::Loss {
            fingerprint: suspicion.fingerprint,
            endpoint: suspicion.endpoint.clone(),
            started_at_ms: suspicion.started_at_ms,
            age: at.since(suspicion.run.lost_at),
            took: suspicion.run.lost_at.since(suspicion.run.sent_at),
        });
        let recent = losses.take_while(|loss| loss.age < MAX_CONFIRM_TIME);
        input::CrashRecord { crashes, losses: recent.take(MAX_SAVED_ROWS).collect() }
    }

    /// Updates what follows from the rows.
    fn update(&mut self) {
        self.is_restricting = self.suspects.values().any(|row| row.proof() != Proof::None);
    }

    /// Forgets old rows, and the oldest ones while there is no room for another.
    fn make_room(&mut self, now: core_time::Timestamp) {
        self.suspects.retain(|_, suspect| now.since(suspect.last_crash()) < MEMORY);
        while self.suspects.len() >= MAX_ROWS {
            let oldest = self.suspects.iter().min_by_key(|(_, suspect)| suspect.last_crash());
            let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) else { return };
            self.suspects.remove(&oldest);
        }
    }
}
