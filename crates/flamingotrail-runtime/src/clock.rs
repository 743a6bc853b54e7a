//! The clock that supplies the world's timestamps.

use std::time;

use flamingotrail_core::time as core_time;
use rustix::time as rustix_time;

/// A monotonic clock whose zero is its creation. It goes on while the machine is suspended, when
/// [`time::Instant`] stands still: what was valid before must not look valid afterwards.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: time::Duration,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn new() -> Self {
        Clock { start: since_boot() }
    }

    /// Returns the current time.
    pub fn now(&self) -> core_time::Timestamp {
        core_time::Timestamp::ZERO.after(since_boot().saturating_sub(self.start))
    }

    /// Converts `instant`, which has passed, to a timestamp; instants before the clock's start become
    /// zero. An instant before a suspension looks as late as if it were after it.
    pub fn timestamp_at(&self, instant: time::Instant) -> core_time::Timestamp {
        self.now().before(instant.elapsed())
    }
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}

/// Returns the time since the machine's start, suspensions included.
fn since_boot() -> time::Duration {
    let now = rustix_time::clock_gettime(rustix_time::ClockId::Boottime);
    // The clock starts at zero, so neither part is negative.
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let nanoseconds = u32::try_from(now.tv_nsec).unwrap_or(0);
    time::Duration::new(seconds, nanoseconds)
}
