//! A stand-in of a plain service: counts what it ran, ignores idempotency keys, and hangs on marked
//! content.

use std::collections;
use std::time as std_time;

/// Mark of a body on which the service never answers.
pub const HANG_MARKER: &str = "hang!";

/// A service.
#[derive(Clone, Debug)]
pub struct FakeService {
    /// How long a call takes.
    pub latency: std_time::Duration,
    /// Executions by operation and body.
    pub executions: collections::BTreeMap<(String, String), u32>,
}

impl FakeService {
    /// A service whose calls take `latency`.
    pub fn new(latency: std_time::Duration) -> Self {
        FakeService { latency, executions: collections::BTreeMap::new() }
    }

    /// Runs a call at once and returns its answer; it arrives after the latency. None where it
    /// hangs, though it ran.
    pub fn execute(&mut self, operation: &str, body: &str) -> Option<String> {
        let key = (operation.to_owned(), body.to_owned());
        let count = self.executions.entry(key).or_default();
        *count += 1;
        if body.contains(HANG_MARKER) {
            return None;
        }
        Some(format!("{{\"operation\":{operation:?},\"execution\":{count}}}"))
    }

    /// Operations that ran more than once with the same body.
    pub fn repeated_executions(&self) -> Vec<(&(String, String), u32)> {
        let rows = self.executions.iter();
        rows.filter(|(_, count)| **count > 1).map(|(key, count)| (key, *count)).collect()
    }
}
