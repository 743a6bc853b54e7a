//! A gateway's share of an endpoint's limit.
//!
//! A limit applies to all gateways together. Each gateway uses an equal share of it without asking
//! the others: its requests are due at regular times, and one that is not used in time is lost.
//! Otherwise many gateways could save up one request each and send them all at once.

use std::time;

use flamingotrail_core::time as core_time;

/// Time for which a request that has become due may be sent. Bounds what all gateways together can
/// send at once to the limit's requests in this time.
const MAX_UNUSED_TIME: time::Duration = time::Duration::from_millis(1_000);
/// Lowest limit that is applied, in requests per second: an endpoint that accepts nothing has to be
/// asked now and then whether that has changed.
const MIN_REQUESTS_PER_S: f64 = 0.1;
/// Highest limit that is applied, in requests per second: more than any gateway sends.
const MAX_REQUESTS_PER_S: f64 = 1e6;

/// The limit that an endpoint has named, and this gateway's share of it.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    /// Maximum number of requests per second from all gateways together.
    pub max_requests_per_s: f64,
    /// When this value was learned.
    pub learned_at: core_time::Timestamp,
    /// Time between two requests of this gateway; `None` while it has no share.
    interval: Option<time::Duration>,
    /// When the next request of this gateway is due.
    next_at: core_time::Timestamp,
    /// Part of the interval after which the first request is due. It differs between gateways, so
    /// that their requests do not coincide.
    phase: f64,
}

impl Limit {
    /// Creates a limit without a share. `phase`, from 0 to 1, is the part of the interval between two
    /// requests after which the first one is due.
    pub fn new(max_requests_per_s: f64, phase: f64, now: core_time::Timestamp) -> Self {
        Limit { max_requests_per_s, learned_at: now, interval: None, next_at: now, phase }
    }

    /// Changes the limit and the share.
    pub fn change(
        &mut self,
        max_requests_per_s: f64,
        gateway_count: Option<usize>,
        now: core_time::Timestamp,
    ) {
        self.max_requests_per_s = max_requests_per_s;
        self.learned_at = now;
        self.update_share(gateway_count, now);
    }

    /// Adapts the share to the limit and to the number of gateways. The progress towards the next
    /// request is kept.
    pub fn update_share(&mut self, gateway_count: Option<usize>, now: core_time::Timestamp) {
        let limit = self.max_requests_per_s.clamp(MIN_REQUESTS_PER_S, MAX_REQUESTS_PER_S);
        let interval =
            gateway_count.map(|count| time::Duration::from_secs_f64(count as f64 / limit));
        if let Some(interval) = interval {
            let remaining = match self.interval {
                Some(before) => {
                    let left = self.next_at.since(now).as_secs_f64() / before.as_secs_f64();
                    interval.mul_f64(left)
                }
                None => interval.mul_f64(self.phase),
            };
            if self.interval.is_none() || self.next_at > now {
                self.next_at = now.after(remaining);
            }
        }
        self.interval = interval;
    }

    /// Returns when this gateway may send its next request, which is in the past if one is due;
    /// `None` while it has no share.
    pub fn next_due(&self, now: core_time::Timestamp) -> Option<core_time::Timestamp> {
        let interval = self.interval?;
        let overdue = now.since(self.next_at);
        if overdue <= MAX_UNUSED_TIME {
            return Some(self.next_at);
        }
        let lost = (overdue - MAX_UNUSED_TIME).as_secs_f64() / interval.as_secs_f64();
        Some(self.next_at.after(interval.mul_f64(lost.ceil())))
    }

    /// Records that a request was sent.
    pub fn record_request(&mut self, now: core_time::Timestamp) {
        if let (Some(due), Some(interval)) = (self.next_due(now), self.interval) {
            self.next_at = due.after(interval);
        }
    }

    /// Returns the number of requests per second that this gateway may send.
    pub fn share_per_s(&self) -> f64 {
        self.interval.map_or(0.0, |interval| 1.0 / interval.as_secs_f64())
    }
}
