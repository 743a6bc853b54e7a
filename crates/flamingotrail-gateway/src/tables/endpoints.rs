//! Endpoints: their entries in the platform's list, and this gateway's observations of them.

use std::collections;
use std::time;

use flamingotrail_core::time as core_time;

use crate::ids;
use crate::input;
use crate::tables::affinities;
use crate::tables::cached_parts;
use crate::tables::calls;
use crate::tables::own_attempts;
use crate::tables::slowdowns;

/// An endpoint.
#[derive(Debug)]
pub struct Endpoint {
    /// Entry in the platform's list.
    pub listed: input::Endpoint,
    /// Whether the endpoint is missing from the list but kept for a while, because the list was
    /// unreadable shortly before.
    pub lapsed: bool,
    /// Number of running attempts of this gateway.
    pub in_flight: u32,
    /// Load that the endpoint reported last, and when.
    pub load: Option<(core_time::Timestamp, input::Load)>,
    /// Number of attempts that this gateway has sent since the last reported load.
    pub sent_since_load: u32,
    /// How long work takes on the endpoint, as it reports.
    pub slowdown: slowdowns::Slowdown,
    /// Number of recent failures; each success halves it.
    pub failures: u32,
    /// Time before which the endpoint is used only if there is no other.
    pub avoid_until: core_time::Timestamp,
    /// Moving average of the response times relative to the mean of their routes, and when it was
    /// updated.
    slowness: (f64, core_time::Timestamp),
    /// What the running attempts of this gateway need.
    pub own_attempts: own_attempts::OwnAttempts,
    /// Objects that the endpoint has lately handled for this gateway.
    pub affinities: affinities::Affinities,
    /// Prompt parts that the endpoint probably has cached.
    pub cached_parts: cached_parts::CachedParts,
}

/// Maximum time for which an endpoint is avoided after failures.
const MAX_BACKOFF: time::Duration = time::Duration::from_secs(4);
/// Time for which an endpoint is avoided after its first failure; doubles with each further
/// failure.
const MIN_BACKOFF: time::Duration = time::Duration::from_millis(250);
/// Weight of the newest response in an endpoint's slowness. The work per call varies widely, yet a
/// slow endpoint has to be detected after about four responses.
const SLOWNESS_SMOOTHING: f64 = 0.2;
/// Maximum slowness that a single response contributes.
const MAX_LATENCY_RATIO: f64 = 8.0;
/// Half-life of the slowness: it decays, so that a slow endpoint is tried again.
const SLOWNESS_HALF_LIFE: time::Duration = time::Duration::from_secs(2);

impl Endpoint {
    /// Creates the row of an endpoint that is new in the list.
    pub fn new(listed: input::Endpoint) -> Self {
        Endpoint {
            listed,
            lapsed: false,
            in_flight: 0,
            load: None,
            sent_since_load: 0,
            slowdown: slowdowns::Slowdown::default(),
            failures: 0,
            avoid_until: core_time::Timestamp::ZERO,
            slowness: (1.0, core_time::Timestamp::ZERO),
            affinities: affinities::Affinities::default(),
            own_attempts: own_attempts::OwnAttempts::default(),
            cached_parts: cached_parts::CachedParts::default(),
        }
    }

    /// Records a failure at `now`, and avoids the endpoint with exponential backoff.
    pub fn record_failure(&mut self, now: core_time::Timestamp) {
        let doublings = self.failures.min(8);
        self.failures += 1;
        let backoff = MIN_BACKOFF.saturating_mul(1 << doublings).min(MAX_BACKOFF);
        self.avoid_until = self.avoid_until.max(now.after(backoff));
    }

    /// Records a success. It does not end a backoff in progress, since an endpoint may fail only a
    /// part of its requests.
    pub fn record_success(&mut self) {
        self.failures /= 2;
    }

    /// Updates the load from the endpoint's report at `now`, if it sent one.
    pub fn update_load(&mut self, now: core_time::Timestamp, load: Option<input::Load>) {
        if let Some(load) = load {
            self.load = Some((now, load));
            if let Some(percent) = load.slowdown_percent {
                self.slowdown.record(percent, now);
            }
            self.sent_since_load = 0;
        }
    }

    /// Records a response time, given as its ratio to the mean of the route.
    pub fn record_latency(&mut self, ratio: f64, now: core_time::Timestamp) {
        let mean = self.slowness(now) * (1.0 - SLOWNESS_SMOOTHING)
            + ratio.min(MAX_LATENCY_RATIO) * SLOWNESS_SMOOTHING;
        self.slowness = (mean, now);
    }

    /// Returns the endpoint's response time relative to the mean of its routes: 1 is average, and
    /// larger values are slower.
    pub fn slowness(&self, now: core_time::Timestamp) -> f64 {
        let (mean, updated) = self.slowness;
        let age = now.since(updated).as_secs_f64() / SLOWNESS_HALF_LIFE.as_secs_f64();
        1.0 + (mean - 1.0) * 0.5_f64.powf(age)
    }

    /// Records that `attempt` of `call` was sent. `memory_tokens` is the endpoint's memory, if it is
    /// known.
    pub fn record_sent(
        &mut self,
        call: &calls::Call,
        attempt: &calls::RunningAttempt,
        memory_tokens: Option<u64>,
    ) {
        self.in_flight += 1;
        self.sent_since_load += 1;
        let read = own_attempts::Read { sent_at: attempt.sent_at, tokens: attempt.uncached_tokens };
        self.own_attempts.insert(call.arrival.call, attempt.tokens, read);
        // What the requests of other gateways hold is not free for cached parts; this gateway's
        // requests hold the parts of their own prompts.
        let others = attempt.expected_memory.saturating_sub(self.own_attempts.tokens());
        let max_tokens = memory_tokens.map(|memory| memory.saturating_sub(others));
        self.cached_parts.record(&call.arrival.prompt, max_tokens);
    }

    /// Records that the attempt of `call` has ended.
    pub fn record_end(&mut self, call: ids::CallId) {
        if self.own_attempts.remove(call) {
            self.in_flight = self.in_flight.saturating_sub(1);
        }
    }
}

/// Table of endpoints.
#[derive(Debug, Default)]
pub struct Endpoints {
    /// Endpoints by id.
    pub rows: collections::BTreeMap<ids::EndpointId, Endpoint>,
    /// Whether the list was read at least once.
    pub is_loaded: bool,
    /// When the list was read last; `None` while it is unreadable.
    pub last_read: Option<core_time::Timestamp>,
    /// When the list became unreadable; `None` while it can be read.
    pub unreadable_since: Option<core_time::Timestamp>,
    /// Time until which endpoints that are missing from the list are kept.
    pub keep_lapsed_until: core_time::Timestamp,
}
