//! Counts of refused callers whose workspace is not known: they may send any number of requests, so
//! log lines sum them up.

use std::time;

use flamingotrail_core::time as core_time;

use crate::input;

/// Minimum time between two log lines: enough to see a flood begin, and few lines while it lasts.
const LINE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Refusals since the last log line, by what the callers presented.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Refusals {
    /// Callers that presented nothing.
    pub absent: u64,
    /// Callers that presented something that can't be a key.
    pub malformed: u64,
    /// Callers that presented a key of no workspace.
    pub unknown: u64,
}

/// The refusals that were not reported yet, and when the next line is due.
#[derive(Debug, Default)]
pub struct UnknownCallers {
    unreported: Refusals,
    next_line_at: core_time::Timestamp,
}

impl UnknownCallers {
    /// Counts a refusal. Returns when it is to be reported.
    pub fn record(
        &mut self,
        credential: input::Credential,
        now: core_time::Timestamp,
    ) -> core_time::Timestamp {
        let count = match credential {
            input::Credential::Absent => &mut self.unreported.absent,
            input::Credential::Malformed => &mut self.unreported.malformed,
            input::Credential::Key(_) => &mut self.unreported.unknown,
        };
        *count += 1;
        self.next_line_at.max(now)
    }

    /// Returns the refusals to report now, if there are any.
    pub fn take_report(&mut self, now: core_time::Timestamp) -> Option<Refusals> {
        if self.unreported == Refusals::default() || now < self.next_line_at {
            return None;
        }
        self.next_line_at = now.after(LINE_INTERVAL);
        Some(std::mem::take(&mut self.unreported))
    }
}
