//! Rate limiter of this gateway's appends, which share the log's rate limit with those of all other
//! gateways.
//!
//! The rate is adjusted by additive increase and multiplicative decrease (AIMD). Refused appends
//! count towards the log's limit like accepted ones, so gateways that retried them at once would
//! block each other.

use std::time;

use flamingotrail_core::time as core_time;

/// Minimum rate, as a fraction of the fair rate.
const MIN_RATE_FRACTION: f64 = 0.5;
/// Rate increase per second without a refusal, as a fraction of the fair rate.
const INCREASE_FRACTION: f64 = 0.5;
/// Factor by which a refusal decreases the rate.
const DECREASE_FACTOR: f64 = 0.7;
/// Minimum interval between two decreases, so that simultaneous refusals count once.
const DECREASE_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Maximum burst, in seconds at the current rate.
const BURST_S: f64 = 0.2;
/// Weight of the newest delay in the moving average.
const DELAY_SMOOTHING: f64 = 0.1;
/// Time in which the mean delay falls to half if no delay is recorded.
const DELAY_HALF_LIFE: time::Duration = time::Duration::from_millis(500);

/// Token bucket for appends, and the mean delay until records are stored in the log.
#[derive(Debug, Default)]
pub struct AppendRateLimiter {
    /// Appends per second; `None` before the first refusal, while appends are not limited.
    rate: Option<f64>,
    /// Number of appends that may start now.
    tokens: f64,
    /// When the rate and the tokens were updated.
    updated: core_time::Timestamp,
    /// When the rate was decreased last.
    decreased: core_time::Timestamp,
    /// Mean delay of records, in seconds.
    delay_s: f64,
    /// When the mean delay was updated.
    delay_updated: core_time::Timestamp,
}

impl AppendRateLimiter {
    /// Decreases the rate after the log refused an append at `now`; `fair_rate` is this gateway's
    /// equal share of the log's limit, in appends per second.
    pub fn record_refusal(&mut self, fair_rate: f64, now: core_time::Timestamp) {
        if self.rate.is_some() && now.since(self.decreased) < DECREASE_INTERVAL {
            return;
        }
        let min_rate = fair_rate * MIN_RATE_FRACTION;
        let rate = self.rate.map_or(fair_rate, |rate| (rate * DECREASE_FACTOR).max(min_rate));
        self.rate = Some(rate);
        self.tokens = self.tokens.min(0.0);
        self.decreased = now;
        self.updated = now;
    }

    /// Returns whether an append may start at `now`, and consumes a token if so.
    pub fn try_acquire(&mut self, fair_rate: f64, now: core_time::Timestamp) -> bool {
        let Some(rate) = self.rate.as_mut() else { return true };
        let elapsed = now.since(self.updated).as_secs_f64();
        self.updated = now;
        *rate += elapsed * fair_rate * INCREASE_FRACTION;
        self.tokens = (self.tokens + elapsed * *rate).min((*rate * BURST_S).max(1.0));
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns when the next append may start.
    pub fn next_append_at(&self, now: core_time::Timestamp) -> core_time::Timestamp {
        let rate = self.rate.unwrap_or(f64::MAX).max(1.0);
        now.after(time::Duration::from_secs_f64(((1.0 - self.tokens) / rate).max(0.001)))
    }

    /// Records the delay between the submission of a record and its storage in the log.
    pub fn record_delay(&mut self, delay: time::Duration, now: core_time::Timestamp) {
        self.delay_s = self.mean_delay_s(now) * (1.0 - DELAY_SMOOTHING)
            + delay.as_secs_f64() * DELAY_SMOOTHING;
        self.delay_updated = now;
    }

    /// Returns the mean delay until a record is stored in the log.
    pub fn mean_delay(&self, now: core_time::Timestamp) -> time::Duration {
        time::Duration::from_secs_f64(self.mean_delay_s(now))
    }

    fn mean_delay_s(&self, now: core_time::Timestamp) -> f64 {
        let age = now.since(self.delay_updated).as_secs_f64() / DELAY_HALF_LIFE.as_secs_f64();
        self.delay_s * 0.5_f64.powf(age)
    }
}
