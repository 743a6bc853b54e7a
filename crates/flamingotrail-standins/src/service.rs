//! A fake of a plain service. It counts executions, ignores idempotency keys, and does not respond
//! to requests whose body contains [`HANG_MARKER`].

use std::collections;
use std::time as std_time;

/// A request whose body contains this text is executed but gets no response.
pub const HANG_MARKER: &str = "hang!";

/// An in-memory service.
#[derive(Clone, Debug)]
pub struct FakeService {
    /// Latency of a call.
    pub latency: std_time::Duration,
    /// Execution count by (operation, body).
    pub executions: collections::BTreeMap<(String, String), u32>,
}

impl FakeService {
    /// Creates a service whose calls take `latency`.
    pub fn new(latency: std_time::Duration) -> Self {
        FakeService { latency, executions: collections::BTreeMap::new() }
    }

    /// Executes a call immediately and returns its response, which the caller delivers after the
    /// latency. Returns `None` if the call was executed but hangs.
    pub fn execute(&mut self, operation: &str, body: &str) -> Option<String> {
        let key = (operation.to_owned(), body.to_owned());
        let count = self.executions.entry(key).or_default();
        *count += 1;
        if body.contains(HANG_MARKER) {
            return None;
        }
        Some(format!("{{\"operation\":{operation:?},\"execution\":{count}}}"))
    }

    /// Returns the (operation, body) pairs that were executed more than once.
    pub fn repeated_executions(&self) -> Vec<(&(String, String), u32)> {
        let rows = self.executions.iter();
        rows.filter(|(_, count)| **count > 1).map(|(key, count)| (key, *count)).collect()
    }
}
