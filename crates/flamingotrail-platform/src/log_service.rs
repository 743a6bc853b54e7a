//! The platform's append-only log.
//!
//! `POST /streams/{stream}/entries` with `{"data": base64}` answers `{"offset": n}`, or 429 where
//! the entry was refused. `GET /streams/{stream}/entries?from=&wait_ms=` answers a page.

use std::time;

use flamingotrail_core::ids;
use flamingotrail_core::input;
use flamingotrail_core::journal;
use flamingotrail_wire::codec;
use flamingotrail_wire::platform;

use crate::http;

/// How long a connection to the log may take.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// How long the log may take to answer, besides the wait that a read asks for.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Status by which the log refuses an append for sure.
const REFUSED: u16 = 429;

/// An append-only log with offsets.
pub trait LogService {
    /// Appends an entry.
    fn append<'a>(
        &'a self,
        stream: &'a ids::StreamName,
        entry: &'a journal::Entry,
    ) -> http::Local<'a, input::AppendResult>;

    /// Reads entries from `from` on, waiting up to `wait` for the first. None where the log does
    /// not answer.
    fn read<'a>(
        &'a self,
        stream: &'a ids::StreamName,
        from: ids::Offset,
        wait: time::Duration,
    ) -> http::Local<'a, Option<input::StreamPage>>;
}

/// The log over HTTP.
pub struct HttpLog {
    client: awc::Client,
    base: String,
}

impl HttpLog {
    /// The log at `base`, such as `http://10.0.0.1:7000`.
    pub fn new(base: &str) -> Self {
        let client = http::client(CONNECT_TIMEOUT, ANSWER_TIMEOUT);
        HttpLog { client, base: base.trim_end_matches('/').to_owned() }
    }

    async fn try_append(
        &self,
        stream: &ids::StreamName,
        entry: &journal::Entry,
    ) -> Result<u64, http::HttpError> {
        let url = format!("{}/streams/{stream}/entries", self.base);
        let body = platform::AppendRequest { data: codec::entry_to_text(entry) };
        let sent = self.client.post(&url).send_json(&body).await;
        let mut response = sent.map_err(|error| http::HttpError::from_send(&url, &error))?;
        let status = response.status();
        let body = response.body().limit(http::MAX_BODY_BYTES).await;
        let body = body.map_err(|error| http::HttpError::broken(&url, error))?;
        if !status.is_success() {
            return Err(http::HttpError::status(&url, status.as_u16(), &body));
        }
        let answer: platform::AppendResponse =
            serde_json::from_slice(&body).map_err(|error| http::HttpError::broken(&url, error))?;
        Ok(answer.offset)
    }

    async fn try_read(
        &self,
        stream: &ids::StreamName,
        from: ids::Offset,
        wait: time::Duration,
    ) -> Result<input::StreamPage, http::HttpError> {
        let url = format!(
            "{}/streams/{stream}/entries?from={}&wait_ms={}",
            self.base,
            from.0,
            wait.as_millis()
        );
        let sent = self.client.get(&url).timeout(ANSWER_TIMEOUT + wait).send().await;
        let mut response = sent.map_err(|error| http::HttpError::from_send(&url, &error))?;
        let status = response.status();
        let body = response.body().limit(http::MAX_BODY_BYTES).await;
        let body = body.map_err(|error| http::HttpError::broken(&url, error))?;
        if !status.is_success() {
            return Err(http::HttpError::status(&url, status.as_u16(), &body));
        }
        let answer: platform::ReadResponse =
            serde_json::from_slice(&body).map_err(|error| http::HttpError::broken(&url, error))?;
        Ok(page(answer))
    }
}

fn page(answer: platform::ReadResponse) -> input::StreamPage {
    let entries = answer.entries.into_iter().map(|read| input::StreamEntry {
        offset: ids::Offset(read.offset),
        age: time::Duration::from_millis(read.age_ms),
        entry: codec::entry_from_text(&read.data)
            .inspect_err(|error| {
                log::warn!("event=entry_skipped offset={} error={error:?}", read.offset)
            })
            .ok(),
    });
    input::StreamPage {
        start: ids::Offset(answer.start),
        next: ids::Offset(answer.next),
        end: ids::Offset(answer.end),
        entries: entries.collect(),
    }
}

impl LogService for HttpLog {
    fn append<'a>(
        &'a self,
        stream: &'a ids::StreamName,
        entry: &'a journal::Entry,
    ) -> http::Local<'a, input::AppendResult> {
        Box::pin(async move {
            match self.try_append(stream, entry).await {
                Ok(offset) => input::AppendResult::Committed(ids::Offset(offset)),
                Err(http::HttpError::Status { status: REFUSED, .. }) => {
                    input::AppendResult::RateLimited
                }
                Err(error) => {
                    log::debug!("event=append_lost stream={stream} error={:?}", error.to_string());
                    input::AppendResult::Unknown
                }
            }
        })
    }

    fn read<'a>(
        &'a self,
        stream: &'a ids::StreamName,
        from: ids::Offset,
        wait: time::Duration,
    ) -> http::Local<'a, Option<input::StreamPage>> {
        Box::pin(async move {
            let read = self.try_read(stream, from, wait).await;
            read.inspect_err(|error| {
                log::debug!("event=read_failed stream={stream} error={:?}", error.to_string());
            })
            .ok()
        })
    }
}
