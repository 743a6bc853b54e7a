//! Reports refusals and closed connections: counters, and at most one log line a second however many
//! clients there are.

use std::sync;
use std::sync::atomic;
use std::time;

/// Minimum time between two log lines.
const LINE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Number of causes.
const CAUSES: usize = 6;

/// Why a request was refused or a connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// A listener has as many connections as it may.
    Connections,
    /// Requests take the memory that is for them.
    Requests,
    /// Responses that clients have not taken do.
    Responses,
    /// Frames that wait for a peer take the memory that is for them.
    Links,
    /// Complete requests wait for the control thread, as many as may.
    Inbox,
    /// A request violates the protocol, a size limit or a time-out.
    Invalid,
}

impl Cause {
    /// All causes, with their names in metrics and log lines.
    pub const ALL: [(Cause, &'static str); CAUSES] = [
        (Cause::Connections, "connections"),
        (Cause::Requests, "request_memory"),
        (Cause::Responses, "response_memory"),
        (Cause::Links, "link_memory"),
        (Cause::Inbox, "inbox"),
        (Cause::Invalid, "invalid"),
    ];
}

/// Counts by cause, and when they were last logged.
#[derive(Debug)]
pub struct Report {
    counts: [atomic::AtomicU64; CAUSES],
    last_line: sync::Mutex<Option<(time::Instant, [u64; CAUSES])>>,
}

impl Report {
    /// Creates a report without counts.
    pub fn new() -> Self {
        Report { counts: Default::default(), last_line: sync::Mutex::new(None) }
    }

    /// Counts `number` refusals or closed connections, and logs a line if one is due.
    pub fn count(&self, cause: Cause, number: u64) {
        if number == 0 {
            return;
        }
        self.counts[cause as usize].fetch_add(number, atomic::Ordering::Relaxed);
        if let Some(counts) = self.take_line() {
            let counts = Cause::ALL.iter().zip(counts);
            let counts: Vec<String> =
                counts.map(|((_, name), count)| format!("{name}={count}")).collect();
            log::warn!("event=clients_limited {}", counts.join(" "));
        }
    }

    /// Number of refusals and closed connections by cause.
    pub fn counts(&self) -> [u64; CAUSES] {
        std::array::from_fn(|index| self.counts[index].load(atomic::Ordering::Relaxed))
    }

    /// Returns what was counted since the last line, if a line is due.
    fn take_line(&self) -> Option<[u64; CAUSES]> {
        let mut last = self.last_line.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let now = time::Instant::now();
        let counts = self.counts();
        let before = match *last {
            Some((at, _)) if now.duration_since(at) < LINE_INTERVAL => return None,
            Some((_, counts)) => counts,
            None => [0; CAUSES],
        };
        *last = Some((now, counts));
        Some(std::array::from_fn(|index| counts[index] - before[index]))
    }
}

impl Default for Report {
    fn default() -> Self {
        Report::new()
    }
}
