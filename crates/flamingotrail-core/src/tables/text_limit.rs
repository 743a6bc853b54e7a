//! Calls that were refused because the texts of programs take all of their memory.

use std::time;

use crate::time as core_time;

/// Name of the event that reports them.
pub const EVENT: &str = "programs_limited";
/// Minimum time between two such events.
const EVENT_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Refused calls, and when they were last reported.
#[derive(Debug, Default)]
pub struct TextLimit {
    /// Calls since the last event.
    unreported: u64,
    last_event: Option<core_time::Timestamp>,
}

impl TextLimit {
    /// Counts a refused call. Returns how many were refused since the last event, if one is due.
    pub fn count(&mut self, now: core_time::Timestamp) -> Option<u64> {
        self.unreported += 1;
        if self.last_event.is_some_and(|last| now.since(last) < EVENT_INTERVAL) {
            return None;
        }
        self.last_event = Some(now);
        Some(std::mem::take(&mut self.unreported))
    }
}
