//! A stand-in of the platform's log: streams with offsets, a rate limit, retention, outages, and
//! appends whose answer gets lost.

use std::collections;
use std::time as std_time;

use flamingotrail_core::time;

/// What an append meets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// It stands at this offset, and the answer arrives.
    Committed(u64),
    /// Refused: over the rate.
    RateLimited,
    /// It stands, but the answer never arrives.
    ResponseLost(u64),
    /// It does not stand, and no answer arrives.
    Unavailable,
}

/// A page of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page<T> {
    /// First offset that the stream still has.
    pub start: u64,
    /// Offset after the last entry of the page.
    pub next: u64,
    /// Offset after the last entry of the stream.
    pub end: u64,
    /// Entries: offset, age, data.
    pub entries: Vec<(u64, std_time::Duration, T)>,
}

/// Entries of a page at most.
const PAGE: usize = 512;

struct Row<T> {
    at: time::Timestamp,
    data: T,
}

struct Stream<T> {
    start: u64,
    rows: collections::VecDeque<Row<T>>,
}

/// The log.
pub struct FakeLog<T> {
    streams: collections::BTreeMap<String, Stream<T>>,
    /// How long entries are kept.
    pub retention: std_time::Duration,
    /// Appends a second that it takes.
    pub rate: f64,
    /// Whether it is out.
    pub unavailable: bool,
    /// Answers of this many appends to come get lost, though the entries stand.
    pub responses_to_drop: u32,
    allowance: f64,
    allowed_at: time::Timestamp,
    /// Appends taken so far.
    pub appends: u64,
    /// Appends refused so far.
    pub rate_limited: u64,
}

impl<T: Clone> FakeLog<T> {
    /// A log that takes `rate` appends a second and keeps entries for `retention`.
    pub fn new(rate: f64, retention: std_time::Duration) -> Self {
        FakeLog {
            streams: collections::BTreeMap::new(),
            retention,
            rate,
            unavailable: false,
            responses_to_drop: 0,
            allowance: rate,
            allowed_at: time::Timestamp::ZERO,
            appends: 0,
            rate_limited: 0,
        }
    }

    /// Appends `data` to `stream`.
    pub fn append(&mut self, now: time::Timestamp, stream: &str, data: T) -> AppendOutcome {
        if self.unavailable {
            return AppendOutcome::Unavailable;
        }
        if !self.allow(now) {
            self.rate_limited += 1;
            return AppendOutcome::RateLimited;
        }
        self.appends += 1;
        let row = self.stream(now, stream);
        let offset = row.start + row.rows.len() as u64;
        row.rows.push_back(Row { at: now, data });
        if self.responses_to_drop > 0 {
            self.responses_to_drop -= 1;
            return AppendOutcome::ResponseLost(offset);
        }
        AppendOutcome::Committed(offset)
    }

    /// Reads entries of `stream` from `from` on. None while it is out.
    pub fn read(&mut self, now: time::Timestamp, stream: &str, from: u64) -> Option<Page<T>> {
        if self.unavailable {
            return None;
        }
        let row = self.stream(now, stream);
        let end = row.start + row.rows.len() as u64;
        let first = from.clamp(row.start, end);
        let skip = usize::try_from(first - row.start).unwrap_or(usize::MAX);
        let taken = row.rows.iter().skip(skip).take(PAGE).enumerate();
        let entries: Vec<(u64, std_time::Duration, T)> = taken
            .map(|(index, row)| (first + index as u64, now.since(row.at), row.data.clone()))
            .collect();
        let next = first + entries.len() as u64;
        Some(Page { start: row.start, next, end, entries })
    }

    /// Every entry of `stream` that it still has, with its offset, whether it is out or not.
    pub fn entries(&self, stream: &str) -> Vec<(u64, T)> {
        let Some(row) = self.streams.get(stream) else {
            return Vec::new();
        };
        let rows = row.rows.iter().enumerate();
        rows.map(|(index, r)| (row.start + index as u64, r.data.clone())).collect()
    }

    /// Names of all streams.
    pub fn streams(&self) -> Vec<String> {
        self.streams.keys().cloned().collect()
    }

    /// The stream, without what is older than the retention.
    fn stream(&mut self, now: time::Timestamp, name: &str) -> &mut Stream<T> {
        let retention = self.retention;
        let new = || Stream { start: 0, rows: collections::VecDeque::new() };
        let row = self.streams.entry(name.to_owned()).or_insert_with(new);
        while row.rows.front().is_some_and(|first| now.since(first.at) > retention) {
            row.rows.pop_front();
            row.start += 1;
        }
        row
    }

    fn allow(&mut self, now: time::Timestamp) -> bool {
        let gained = now.since(self.allowed_at).as_secs_f64() * self.rate;
        self.allowance = (self.allowance + gained).min(self.rate);
        self.allowed_at = now;
        if self.allowance < 1.0 {
            return false;
        }
        self.allowance -= 1.0;
        true
    }
}
