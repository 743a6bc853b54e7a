//! Endpoints: what the list says of them, and what this process has seen of them.

use std::collections;
use std::time;

use flamingotrail_core::time as core_time;

use crate::ids;
use crate::input;

/// One endpoint.
#[derive(Debug)]
pub struct Endpoint {
    /// What the list says.
    pub listed: input::Endpoint,
    /// Whether the list no longer names it; kept for a while after the list was out of reach.
    pub lapsed: bool,
    /// Attempts of this process under way.
    pub in_flight: u32,
    /// Load as it told last, and when.
    pub load: Option<(core_time::Timestamp, input::Load)>,
    /// Attempts of this process that it has begun since it told its load.
    pub sent_since_load: u32,
    /// Failures of late: each success halves them.
    pub failures: u32,
    /// Not to be chosen before this time unless there is no other.
    pub avoid_until: core_time::Timestamp,
    /// Mean of its times to answer, each as a part of its route's mean, and when it was taken.
    slowness: (f64, core_time::Timestamp),
    /// Prompt parts that it has likely cached, with the time of their last use.
    pub cached_parts: collections::BTreeMap<u64, core_time::Timestamp>,
}

/// Longest time for which an endpoint is avoided after failures.
const MAX_AVOID: time::Duration = time::Duration::from_secs(4);
/// Time for which an endpoint is avoided after its first failure; doubles with each further one.
const FIRST_AVOID: time::Duration = time::Duration::from_millis(250);
/// Weight of the newest answer in an endpoint's slowness: the work of calls differs widely, and a slow
/// endpoint has to be told after some four answers.
const NEWEST: f64 = 0.2;
/// Largest slowness that one answer counts for.
const MAX_RATIO: f64 = 8.0;
/// Time in which half of an endpoint's slowness is forgotten, so that it is tried again.
const SLOWNESS_HALF_LIFE: time::Duration = time::Duration::from_secs(2);
/// Prompt parts remembered for an endpoint at most.
const MAX_CACHED: usize = 4096;

impl Endpoint {
    /// An endpoint that was just listed.
    pub fn new(listed: input::Endpoint) -> Self {
        Endpoint {
            listed,
            lapsed: false,
            in_flight: 0,
            load: None,
            sent_since_load: 0,
            failures: 0,
            avoid_until: core_time::Timestamp::ZERO,
            slowness: (1.0, core_time::Timestamp::ZERO),
            cached_parts: collections::BTreeMap::new(),
        }
    }

    /// Takes a failure at `now`.
    pub fn record_failure(&mut self, now: core_time::Timestamp) {
        let doublings = self.failures.min(8);
        self.failures += 1;
        let span = FIRST_AVOID.saturating_mul(1 << doublings).min(MAX_AVOID);
        self.avoid_until = self.avoid_until.max(now.after(span));
    }

    /// Takes a success: one among failures does not end the pause, as an endpoint may fail a part of
    /// its requests.
    pub fn record_success(&mut self) {
        self.failures /= 2;
    }

    /// Takes the load that it told at `now`.
    pub fn update_load(&mut self, now: core_time::Timestamp, load: Option<input::Load>) {
        if let Some(load) = load {
            self.load = Some((now, load));
            self.sent_since_load = 0;
        }
    }

    /// Takes the time that an answer took, as a part of its route's mean.
    pub fn record_latency(&mut self, ratio: f64, now: core_time::Timestamp) {
        let mean = self.slowness(now) * (1.0 - NEWEST) + ratio.min(MAX_RATIO) * NEWEST;
        self.slowness = (mean, now);
    }

    /// How many times as long as others it takes to answer.
    pub fn slowness(&self, now: core_time::Timestamp) -> f64 {
        let (mean, taken) = self.slowness;
        let age = now.since(taken).as_secs_f64() / SLOWNESS_HALF_LIFE.as_secs_f64();
        1.0 + (mean - 1.0) * 0.5_f64.powf(age)
    }

    /// Remembers that the parts of `prompt` were read at `now`.
    pub fn record_prompt(&mut self, prompt: &[input::PromptPart], now: core_time::Timestamp) {
        for part in prompt {
            self.cached_parts.insert(part.id, now);
        }
        while self.cached_parts.len() > MAX_CACHED {
            let oldest = self.cached_parts.iter().min_by_key(|(_, at)| **at).map(|(id, _)| *id);
            let Some(oldest) = oldest else { return };
            self.cached_parts.remove(&oldest);
        }
    }

    /// Tokens at the start of `prompt` that are likely cached.
    pub fn cached_tokens(&self, prompt: &[input::PromptPart]) -> u64 {
        let known = prompt.iter().take_while(|part| self.cached_parts.contains_key(&part.id));
        known.map(|part| part.tokens).sum()
    }
}

/// All endpoints by id.
#[derive(Debug, Default)]
pub struct Endpoints {
    /// The rows.
    pub rows: collections::BTreeMap<ids::EndpointId, Endpoint>,
    /// Whether the list was read at least once.
    pub is_loaded: bool,
    /// When the list was read last, as long as it can be read.
    pub last_read: Option<core_time::Timestamp>,
    /// Since when the list can't be read.
    pub unreadable_since: Option<core_time::Timestamp>,
    /// Until when endpoints that are missing from the list are kept.
    pub keep_lapsed_until: core_time::Timestamp,
}
