//! A fake of the platform's log: streams with offsets, a rate limit, retention, outages, and
//! appends whose response is lost.

use std::collections;
use std::time as std_time;

use flamingotrail_core::time;

/// Outcome of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The entry was stored at this offset and the response arrives.
    Committed(u64),
    /// Rejected: the append rate limit is exceeded.
    RateLimited,
    /// The entry was stored at this offset, but the response never arrives.
    ResponseLost(u64),
    /// The entry was not stored and no response arrives.
    Unavailable,
}

/// One page of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page<T> {
    /// First offset that is still retained.
    pub start: u64,
    /// Offset after the last entry on this page.
    pub next: u64,
    /// Offset after the last entry in the stream.
    pub end: u64,
    /// Entries as (offset, age, data).
    pub entries: Vec<(u64, std_time::Duration, T)>,
}

/// Maximum number of entries on a page.
const MAX_PAGE_ENTRIES: usize = 512;

struct StoredEntry<T> {
    appended_at: time::Timestamp,
    data: T,
}

struct Stream<T> {
    start: u64,
    entries: collections::VecDeque<StoredEntry<T>>,
}

/// An in-memory log.
pub struct FakeLog<T> {
    streams: collections::BTreeMap<String, Stream<T>>,
    /// Age after which entries are dropped.
    pub retention: std_time::Duration,
    /// Append rate limit, per second. It is also the burst size.
    pub rate: f64,
    /// Whether the log is down.
    pub unavailable: bool,
    /// Number of upcoming appends whose response is lost although the entry is stored.
    pub responses_to_drop: u32,
    rate_tokens: f64,
    refilled_at: time::Timestamp,
    /// Appends stored so far.
    pub appends: u64,
    /// Appends rejected by the rate limit so far.
    pub rate_limited: u64,
}

impl<T: Clone> FakeLog<T> {
    /// Creates a log that accepts `rate` appends per second and keeps entries for `retention`.
    pub fn new(rate: f64, retention: std_time::Duration) -> Self {
        FakeLog {
            streams: collections::BTreeMap::new(),
            retention,
            rate,
            unavailable: false,
            responses_to_drop: 0,
            rate_tokens: rate,
            refilled_at: time::Timestamp::ZERO,
            appends: 0,
            rate_limited: 0,
        }
    }

    /// Appends `data` to `stream`.
    pub fn append(&mut self, now: time::Timestamp, stream: &str, data: T) -> AppendOutcome {
        if self.unavailable {
            return AppendOutcome::Unavailable;
        }
        if !self.take_rate_token(now) {
            self.rate_limited += 1;
            return AppendOutcome::RateLimited;
        }
        self.appends += 1;
        let target = self.stream_mut(now, stream);
        let offset = target.start + target.entries.len() as u64;
        target.entries.push_back(StoredEntry { appended_at: now, data });
        if self.responses_to_drop > 0 {
            self.responses_to_drop -= 1;
            return AppendOutcome::ResponseLost(offset);
        }
        AppendOutcome::Committed(offset)
    }

    /// Reads a page of `stream` starting at offset `from`, or `None` during an outage.
    pub fn read(&mut self, now: time::Timestamp, stream: &str, from: u64) -> Option<Page<T>> {
        if self.unavailable {
            return None;
        }
        let target = self.stream_mut(now, stream);
        let end = target.start + target.entries.len() as u64;
        let first = from.clamp(target.start, end);
        let skip = usize::try_from(first - target.start).unwrap_or(usize::MAX);
        let taken = target.entries.iter().skip(skip).take(MAX_PAGE_ENTRIES).enumerate();
        let entries: Vec<(u64, std_time::Duration, T)> = taken
            .map(|(index, entry)| {
                (first + index as u64, now.since(entry.appended_at), entry.data.clone())
            })
            .collect();
        let next = first + entries.len() as u64;
        Some(Page { start: target.start, next, end, entries })
    }

    /// Returns every retained entry of `stream` with its offset, also during an outage.
    pub fn entries(&self, stream: &str) -> Vec<(u64, T)> {
        let Some(target) = self.streams.get(stream) else {
            return Vec::new();
        };
        let entries = target.entries.iter().enumerate();
        entries.map(|(index, entry)| (target.start + index as u64, entry.data.clone())).collect()
    }

    /// Returns the names of all streams.
    pub fn streams(&self) -> Vec<String> {
        self.streams.keys().cloned().collect()
    }

    /// Returns the stream after dropping entries older than the retention time.
    fn stream_mut(&mut self, now: time::Timestamp, name: &str) -> &mut Stream<T> {
        let retention = self.retention;
        let new_stream = || Stream { start: 0, entries: collections::VecDeque::new() };
        let stream = self.streams.entry(name.to_owned()).or_insert_with(new_stream);
        while stream.entries.front().is_some_and(|first| now.since(first.appended_at) > retention) {
            stream.entries.pop_front();
            stream.start += 1;
        }
        stream
    }

    /// Takes one append from the token bucket, if one is available.
    fn take_rate_token(&mut self, now: time::Timestamp) -> bool {
        let refill = now.since(self.refilled_at).as_secs_f64() * self.rate;
        self.rate_tokens = (self.rate_tokens + refill).min(self.rate);
        self.refilled_at = now;
        if self.rate_tokens < 1.0 {
            return false;
        }
        self.rate_tokens -= 1.0;
        true
    }
}
