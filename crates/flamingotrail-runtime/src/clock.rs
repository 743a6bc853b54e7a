//! The process's clock as the world sees it.

use std::time;

use flamingotrail_core::time as core_time;

/// Counts from the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: time::Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn new() -> Self {
        Clock { start: time::Instant::now() }
    }

    /// The time.
    pub fn now(&self) -> core_time::Timestamp {
        core_time::Timestamp::ZERO.after(self.start.elapsed())
    }

    /// The time of `instant`; the start of the process where it is earlier.
    pub fn timestamp_at(&self, instant: time::Instant) -> core_time::Timestamp {
        core_time::Timestamp::ZERO.after(instant.saturating_duration_since(self.start))
    }
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}
