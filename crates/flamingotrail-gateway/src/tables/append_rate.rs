//! Pace of this process's appends, which share the log's limit with those of all other processes.
//!
//! Additive increase and multiplicative decrease: refused appends cost as much as taken ones, and
//! processes that repeat them at once keep each other out.

use std::time;

use flamingotrail_core::time as core_time;

/// Part of the even share of the limit below which the pace does not fall.
const FLOOR_OF_SHARE: f64 = 0.5;
/// Appends a second that each second without a refusal adds, as a part of the even share.
const RAISE_OF_SHARE: f64 = 0.5;
/// Factor of the pace after a refusal.
const CUT: f64 = 0.7;
/// Shortest time between two cuts: refusals of one moment count once.
const CUT_PAUSE: time::Duration = time::Duration::from_millis(250);
/// Seconds of the pace that may be used at once.
const BURST_S: f64 = 0.2;
/// Weight of the newest delay in their mean.
const NEWEST: f64 = 0.1;
/// Time in which the mean delay falls to half without a new one.
const DELAY_HALF_LIFE: time::Duration = time::Duration::from_millis(500);

/// Pace of appends, and the delay that records have met.
#[derive(Debug, Default)]
pub struct AppendRateLimiter {
    /// Appends a second; none before the first refusal, when nothing is held back.
    rate: Option<f64>,
    /// Appends that may begin now.
    tokens: f64,
    /// When the figures were brought up to date.
    updated: core_time::Timestamp,
    /// When the pace was cut last.
    cut: core_time::Timestamp,
    /// Mean delay of records, in seconds, and when it was taken.
    delay_s: f64,
    delayed: core_time::Timestamp,
}

impl AppendRateLimiter {
    /// Takes a refusal at `now`; `share` is the even share of the limit, in appends a second.
    pub fn record_refusal(&mut self, share: f64, now: core_time::Timestamp) {
        if self.rate.is_some() && now.since(self.cut) < CUT_PAUSE {
            return;
        }
        let floor = share * FLOOR_OF_SHARE;
        let rate = self.rate.map_or(share, |rate| (rate * CUT).max(floor));
        self.rate = Some(rate);
        self.tokens = self.tokens.min(0.0);
        self.cut = now;
        self.updated = now;
    }

    /// Whether an append may begin at `now`; it is taken off the pace then.
    pub fn try_acquire(&mut self, share: f64, now: core_time::Timestamp) -> bool {
        let Some(rate) = self.rate.as_mut() else { return true };
        let elapsed = now.since(self.updated).as_secs_f64();
        self.updated = now;
        *rate += elapsed * share * RAISE_OF_SHARE;
        self.tokens = (self.tokens + elapsed * *rate).min((*rate * BURST_S).max(1.0));
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// When the next append may begin.
    pub fn next_append_at(&self, now: core_time::Timestamp) -> core_time::Timestamp {
        let rate = self.rate.unwrap_or(f64::MAX).max(1.0);
        now.after(time::Duration::from_secs_f64(((1.0 - self.tokens) / rate).max(0.001)))
    }

    /// Takes the delay that a record has met until it stood in the log.
    pub fn record_delay(&mut self, delay: time::Duration, now: core_time::Timestamp) {
        self.delay_s = self.delay_at(now) * (1.0 - NEWEST) + delay.as_secs_f64() * NEWEST;
        self.delayed = now;
    }

    /// Mean delay that records meet.
    pub fn mean_delay(&self, now: core_time::Timestamp) -> time::Duration {
        time::Duration::from_secs_f64(self.delay_at(now))
    }

    fn delay_at(&self, now: core_time::Timestamp) -> f64 {
        let age = now.since(self.delayed).as_secs_f64() / DELAY_HALF_LIFE.as_secs_f64();
        self.delay_s * 0.5_f64.powf(age)
    }
}
