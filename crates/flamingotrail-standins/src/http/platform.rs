//! Log operations behind the HTTP server.

use std::time;

use flamingotrail_wire::platform as wire;

use crate::http;
use crate::log;

/// Longest time that a read may wait for entries.
const MAX_WAIT: time::Duration = time::Duration::from_secs(30);

/// Result of an append, by the response that the HTTP server gives.
pub enum AppendResult {
    /// 200 with the offset.
    Committed(u64),
    /// 429.
    RateLimited,
    /// No response; the entry may have been written.
    NoResponse,
}

/// Appends an entry and wakes waiting readers if it was written.
pub fn append(fakes: &http::FakeSystems, stream: &str, data: String) -> AppendResult {
    let now = fakes.now();
    let appended = http::lock(&fakes.log).append(now, stream, data);
    match appended {
        log::AppendOutcome::Committed(offset) => {
            fakes.log_changed.notify_waiters();
            AppendResult::Committed(offset)
        }
        log::AppendOutcome::RateLimited => AppendResult::RateLimited,
        log::AppendOutcome::ResponseLost(_) => {
            fakes.log_changed.notify_waiters();
            AppendResult::NoResponse
        }
        log::AppendOutcome::Unavailable => AppendResult::NoResponse,
    }
}

/// Reads a page, waiting up to `wait` for an entry. `None` while the log is unavailable.
pub async fn read(
    fakes: &http::FakeSystems,
    stream: &str,
    from: u64,
    wait: time::Duration,
) -> Option<wire::ReadResponse> {
    let until = time::Instant::now() + wait.min(MAX_WAIT);
    loop {
        let changed = fakes.log_changed.notified();
        let page = http::lock(&fakes.log).read(fakes.now(), stream, from)?;
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
