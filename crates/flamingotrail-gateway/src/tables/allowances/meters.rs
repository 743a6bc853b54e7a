//! Meters of a workspace's calls: their rate, and the number of calls of its programs.

use flamingotrail_core::time as core_time;

/// Time constant of the measured rate, in seconds.
const RATE_SMOOTHING_S: f64 = 1.5;
/// Time constant of the measured calls per program, in seconds: more than the time between two calls of
/// a program.
const PROGRAM_SMOOTHING_S: f64 = 10.0;

/// Returns the part of a count that remains after `since`.
pub fn decay(since: core_time::Timestamp, now: core_time::Timestamp, constant_s: f64) -> f64 {
    (-now.since(since).as_secs_f64() / constant_s).exp()
}

/// A rate of calls that has decayed since it was reported.
pub fn decayed_rate(per_s: f64, at: core_time::Timestamp, now: core_time::Timestamp) -> f64 {
    per_s * decay(at, now, RATE_SMOOTHING_S)
}

/// Calls per second, as a decaying average.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    per_s: f64,
    updated: core_time::Timestamp,
}

impl Rate {
    /// Records a call at `now`.
    pub fn record(&mut self, now: core_time::Timestamp) {
        self.per_s = self.per_s(now) + 1.0 / RATE_SMOOTHING_S;
        self.updated = now;
    }

    /// Returns the calls per second at `now`.
    pub fn per_s(&self, now: core_time::Timestamp) -> f64 {
        decayed_rate(self.per_s, self.updated, now)
    }
}

/// Mean number of calls of a workspace's programs: their first turns that were sent, and the calls
/// that arrive of those that have begun.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProgramLength {
    first_turns: f64,
    others: f64,
    updated: core_time::Timestamp,
}

impl ProgramLength {
    /// Records that a first turn was sent.
    pub fn record_first(&mut self, now: core_time::Timestamp) {
        self.fade(now);
        self.first_turns += 1.0;
    }

    /// Records the arrival of another call of a program.
    pub fn record_other(&mut self, now: core_time::Timestamp) {
        self.fade(now);
        self.others += 1.0;
    }

    fn fade(&mut self, now: core_time::Timestamp) {
        let remaining = decay(self.updated, now, PROGRAM_SMOOTHING_S);
        self.first_turns *= remaining;
        self.others *= remaining;
        self.updated = now;
    }

    /// Returns the mean number of calls per program, at least 1.
    pub fn mean(&self) -> f64 {
        1.0 + self.others / self.first_turns.max(1.0)
    }
}
