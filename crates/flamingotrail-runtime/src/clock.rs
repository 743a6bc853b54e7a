//! The clock that supplies the world's timestamps.

use std::time;

use flamingotrail_core::time as core_time;

/// A monotonic clock whose zero is its creation.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: time::Instant,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn new() -> Self {
        Clock { start: time::Instant::now() }
    }

    /// Returns the current time.
    pub fn now(&self) -> core_time::Timestamp {
        core_time::Timestamp::ZERO.after(self.start.elapsed())
    }

    /// Converts `instant` to a timestamp; instants before the clock's start become zero.
    pub fn timestamp_at(&self, instant: time::Instant) -> core_time::Timestamp {
        core_time::Timestamp::ZERO.after(instant.saturating_duration_since(self.start))
    }
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}
