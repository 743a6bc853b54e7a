//! The prompts that an engine is reading, which delay those that come after them.

use flamingotrail_core::time as core_time;

use crate::tables::endpoints;

/// Returns the time in milliseconds until an endpoint has read the prompts of this gateway's attempts,
/// one after the other. It ends when it was expected to, also if a response is late: a stalled endpoint
/// is known by other signs.
pub fn left_ms(row: &endpoints::Endpoint, token_ms: f64, now: core_time::Timestamp) -> f64 {
    let mut left_ms = 0.0_f64;
    let mut last = None;
    for read in row.own_attempts.reads() {
        let since_last = last.map_or(0.0, |last| millis(read.sent_at, last));
        left_ms = (left_ms - since_last).max(0.0) + read.tokens as f64 * token_ms;
        last = Some(read.sent_at);
    }
    last.map_or(0.0, |last| (left_ms - millis(now, last)).max(0.0))
}

fn millis(now: core_time::Timestamp, at: core_time::Timestamp) -> f64 {
    now.since(at).as_secs_f64() * 1000.0
}
