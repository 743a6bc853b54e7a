//! The log and the list over HTTP.

use std::time;

use flamingotrail_wire::platform as wire;

use crate::http;
use crate::log;

/// Longest wait of a read.
const MAX_WAIT: time::Duration = time::Duration::from_secs(30);

/// Answer to an append, as the HTTP server is to give it.
pub enum Append {
    /// 200.
    At(u64),
    /// 429.
    Refused,
    /// No answer.
    Silent,
}

/// Appends an entry.
pub fn append(outside: &http::Outside, stream: &str, data: String) -> Append {
    let now = outside.now();
    let appended = http::locked(&outside.log).append(now, stream, data);
    match appended {
        log::AppendOutcome::Committed(offset) => {
            outside.log_changed.notify_waiters();
            Append::At(offset)
        }
        log::AppendOutcome::RateLimited => Append::Refused,
        log::AppendOutcome::ResponseLost(_) => {
            outside.log_changed.notify_waiters();
            Append::Silent
        }
        log::AppendOutcome::Unavailable => Append::Silent,
    }
}

/// Reads a page, waiting for the first entry. None while the log is out.
pub async fn read(
    outside: &http::Outside,
    stream: &str,
    from: u64,
    wait: time::Duration,
) -> Option<wire::ReadResponse> {
    let until = time::Instant::now() + wait.min(MAX_WAIT);
    loop {
        let changed = outside.log_changed.notified();
        let page = http::locked(&outside.log).read(outside.now(), stream, from)?;
        let left = until.saturating_duration_since(time::Instant::now());
        if !page.entries.is_empty() || left.is_zero() {
            return Some(response(page));
        }
        let _ = actix_rt::time::timeout(left, changed).await;
    }
}

fn response(page: log::Page<String>) -> wire::ReadResponse {
    let entries = page.entries.into_iter().map(|(offset, age, data)| wire::ReadEntry {
        offset,
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        data,
    });
    wire::ReadResponse {
        start: page.start,
        next: page.next,
        end: page.end,
        entries: entries.collect(),
    }
}
