//! How the endpoints of each service perform, as measured from this gateway's own calls.
//!
//! The time until a response begins is fitted as a sum of a constant, a time for each prompt token
//! that is not cached, and a time for each other request at the endpoint. Old measurements fade. The
//! fit starts from typical values, which count like a few measurements.

use std::collections;
use std::time;

use crate::ids;

/// Typical time to read a prompt token, in milliseconds, before any was measured.
const TYPICAL_TOKEN_MS: f64 = 0.02;
/// Typical delay that another request adds, in milliseconds, before any was measured.
const TYPICAL_REQUEST_MS: f64 = 3.0;
/// Typical share of its duration that a call saves on an endpoint that knows its object, before any was
/// measured.
const TYPICAL_AFFINITY_SHARE: f64 = 0.2;
/// Largest such share that is believed.
const MAX_AFFINITY_SHARE: f64 = 0.5;
/// Typical duration of a call, in milliseconds, before any was measured.
const TYPICAL_DURATION_MS: f64 = 200.0;
/// Number of measurements that the typical values count for.
const TYPICAL_WEIGHT: f64 = 20.0;
/// Standard deviation of the prompts, in tokens, of the measurements that the typical values stand for.
const TYPICAL_TOKEN_SPREAD: f64 = 500.0;
/// Factor by which older measurements fade with each new one.
const FADING: f64 = 0.998;
/// Factor by which a single measurement may exceed the expected time. Larger ones are cut, so that
/// stalled endpoints have little influence.
const MAX_EXCESS: f64 = 2.0;
/// Weight of the newest call in the mean duration and in the mean slowdown.
const DURATION_SMOOTHING: f64 = 0.05;
/// Weight of the newest call in the mean number of tokens; sizes vary more than durations.
const TOKENS_SMOOTHING: f64 = 0.02;
/// Limits of the fitted time for each token, in milliseconds.
const TOKEN_MS_RANGE: (f64, f64) = (0.0005, 1.0);
/// Limits of the fitted delay for each request, in milliseconds.
const REQUEST_MS_RANGE: (f64, f64) = (0.5, 50.0);

/// Expected performance of a service's endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Profile {
    /// Time to read a prompt token that is not cached, in milliseconds.
    pub token_ms: f64,
    /// Delay that another request at the endpoint adds, in milliseconds.
    pub request_ms: f64,
    /// Mean time for which a call occupies a slot, in milliseconds.
    pub duration_ms: f64,
    /// Share of its duration that a call saves on an endpoint that has lately handled its object.
    pub affinity_share: f64,
    /// Mean factor by which the endpoints report that work takes longer than usual.
    pub slowdown: f64,
    /// Mean number of tokens of a call: prompt and longest output.
    pub call_tokens: f64,
    /// Standard deviation of the tokens of a call.
    pub call_tokens_deviation: f64,
}

/// Measurements of one service.
#[derive(Clone, Debug)]
struct Measurements {
    weight: f64,
    /// Faded means of tokens, requests and time.
    mean: [f64; 3],
    /// Faded sums of products of the deviations: tokens with tokens, tokens with requests, requests
    /// with requests, tokens with time, requests with time.
    products: [f64; 5],
    duration_ms: f64,
    slowdown: f64,
    /// Mean relative durations of calls on endpoints that knew their objects, and on others.
    affinity_ratios: (f64, f64),
    /// Moving averages of the tokens of a call and of their square; `None` before any was measured.
    call_tokens: Option<(f64, f64)>,
}

impl Default for Measurements {
    fn default() -> Self {
        let token_weight = TYPICAL_WEIGHT * TYPICAL_TOKEN_SPREAD * TYPICAL_TOKEN_SPREAD;
        Measurements {
            weight: 0.0,
            mean: [0.0; 3],
            products: [
                token_weight,
                0.0,
                TYPICAL_WEIGHT,
                token_weight * TYPICAL_TOKEN_MS,
                TYPICAL_WEIGHT * TYPICAL_REQUEST_MS,
            ],
            duration_ms: TYPICAL_DURATION_MS,
            slowdown: 1.0,
            affinity_ratios: (1.0 - TYPICAL_AFFINITY_SHARE, 1.0),
            call_tokens: None,
        }
    }
}

impl Measurements {
    /// Returns the fitted times of a token and of another request, in milliseconds.
    fn slopes(&self) -> (f64, f64) {
        let [tt, tr, rr, ty, ry] = self.products;
        let determinant = tt * rr - tr * tr;
        if determinant <= f64::EPSILON * tt * rr {
            return (TYPICAL_TOKEN_MS, TYPICAL_REQUEST_MS);
        }
        let token_ms = (ty * rr - ry * tr) / determinant;
        let request_ms = (ry * tt - ty * tr) / determinant;
        (
            token_ms.clamp(TOKEN_MS_RANGE.0, TOKEN_MS_RANGE.1),
            request_ms.clamp(REQUEST_MS_RANGE.0, REQUEST_MS_RANGE.1),
        )
    }

    fn expected_ms(&self, tokens: f64, requests: f64) -> f64 {
        let (token_ms, request_ms) = self.slopes();
        let [mean_tokens, mean_requests, mean_ms] = self.mean;
        mean_ms + token_ms * (tokens - mean_tokens) + request_ms * (requests - mean_requests)
    }

    fn record(&mut self, tokens: f64, requests: f64, begun_ms: f64) {
        let is_known = self.weight >= TYPICAL_WEIGHT;
        let limit = MAX_EXCESS * self.expected_ms(tokens, requests).max(1.0);
        let measured = [tokens, requests, if is_known { begun_ms.min(limit) } else { begun_ms }];
        self.weight = self.weight * FADING + 1.0;
        let before: [f64; 3] = std::array::from_fn(|i| measured[i] - self.mean[i]);
        for (mean, difference) in self.mean.iter_mut().zip(before) {
            *mean += difference / self.weight;
        }
        let after: [f64; 3] = std::array::from_fn(|i| measured[i] - self.mean[i]);
        let pairs = [(0, 0), (0, 1), (1, 1), (0, 2), (1, 2)];
        for (product, (a, b)) in self.products.iter_mut().zip(pairs) {
            *product = *product * FADING + before[a] * after[b];
        }
    }
}

/// Table of measured services.
#[derive(Debug, Default)]
pub struct ServiceProfiles {
    rows: collections::BTreeMap<ids::ServiceName, Measurements>,
}

impl ServiceProfiles {
    /// Records that a response began `begun` after its request was sent, with `uncached_tokens` of
    /// its prompt probably not cached and `requests` other requests probably at the endpoint.
    pub fn record_beginning(
        &mut self,
        service: &ids::ServiceName,
        uncached_tokens: u64,
        requests: f64,
        begun: time::Duration,
    ) {
        let row = self.rows.entry(service.clone()).or_default();
        row.record(uncached_tokens as f64, requests, begun.as_secs_f64() * 1000.0);
    }

    /// Records the duration of a call that succeeded.
    pub fn record_duration(&mut self, service: &ids::ServiceName, duration: time::Duration) {
        let row = self.rows.entry(service.clone()).or_default();
        let ms = (duration.as_secs_f64() * 1000.0).min(row.duration_ms * MAX_EXCESS);
        row.duration_ms += (ms - row.duration_ms) * DURATION_SMOOTHING;
    }

    /// Records the factor by which the endpoint of a call reported that work takes longer than usual.
    pub fn record_slowdown(&mut self, service: &ids::ServiceName, factor: f64) {
        let row = self.rows.entry(service.clone()).or_default();
        row.slowdown += (factor - row.slowdown) * DURATION_SMOOTHING;
    }

    /// Records that a call took `ratio` times the mean of its route on an endpoint that knew its object, or
    /// did not.
    pub fn record_affinity(&mut self, service: &ids::ServiceName, was_known: bool, ratio: f64) {
        let row = self.rows.entry(service.clone()).or_default();
        let (known, unknown) = &mut row.affinity_ratios;
        let mean = if was_known { known } else { unknown };
        *mean += (ratio.min(MAX_EXCESS) - *mean) * DURATION_SMOOTHING;
    }

    /// Records the size of a call that succeeded: the tokens of its prompt and of its longest output.
    pub fn record_tokens(&mut self, service: &ids::ServiceName, tokens: u64) {
        let row = self.rows.entry(service.clone()).or_default();
        let tokens = tokens as f64;
        let (mean, square) = row.call_tokens.unwrap_or((tokens, tokens * tokens));
        row.call_tokens = Some((
            mean + (tokens - mean) * TOKENS_SMOOTHING,
            square + (tokens * tokens - square) * TOKENS_SMOOTHING,
        ));
    }

    /// Returns the expected performance of `service`.
    pub fn profile(&self, service: &ids::ServiceName) -> Profile {
        let typical = Measurements::default();
        let row = self.rows.get(service).unwrap_or(&typical);
        let (token_ms, request_ms) = row.slopes();
        let (mean, square) = row.call_tokens.unwrap_or_default();
        let (known, unknown) = row.affinity_ratios;
        Profile {
            token_ms,
            request_ms,
            duration_ms: row.duration_ms.max(1.0),
            affinity_share: (1.0 - known / unknown.max(f64::MIN_POSITIVE))
                .clamp(0.0, MAX_AFFINITY_SHARE),
            slowdown: row.slowdown,
            call_tokens: mean,
            call_tokens_deviation: (square - mean * mean).max(0.0).sqrt(),
        }
    }

    /// Removes the services for which `is_configured` is false.
    pub fn retain(&mut self, is_configured: impl Fn(&ids::ServiceName) -> bool) {
        self.rows.retain(|service, _| is_configured(service));
    }
}
