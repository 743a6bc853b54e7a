//! Client for the platform's append-only log.
//!
//! `POST /streams/{stream}/entries` with `{"data": base64}` returns `{"offset": n}`, or status 429
//! if the entry was rejected. `GET /streams/{stream}/entries?from=&wait_ms=` returns a page of
//! entries, waiting up to `wait_ms` milliseconds for the first one.

use std::cell;
use std::time;

use flamingotrail_core::ids;
use flamingotrail_core::input;
use flamingotrail_core::journal;
use flamingotrail_wire::codec;
use flamingotrail_wire::platform;

use crate::http;

/// Timeout for connecting to the log.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Timeout for a request, in addition to the long-poll wait of a read.
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Status (429) of an append that the log rejected without storing it.
const TOO_MANY_REQUESTS: u16 = 429;

/// The platform's log: append-only streams whose entries have offsets.
pub trait LogService {
    /// Appends an entry. The result distinguishes appends that were rejected from appends whose
    /// outcome is unknown.
    fn append<'a>(
        &'a self,
        stream: &'a ids::StreamName,
        entry: &'a journal::Entry,
    ) -> http::LocalFuture<'a, input::AppendResult>;

    /// Reads entries from offset `from`, waiting up to `wait` for the first one. Returns `None` if
    /// the read fails.
    fn read<'a>(
        &'a self,
        stream: &'a ids::StreamName,
        from: ids::Offset,
        wait: time::Duration,
    ) -> http::LocalFuture<'a, Option<input::StreamPage>>;
}

/// Log client over HTTP. A request without a response drops all idle connections: nothing else shows
/// that connections have gone silent, and the next requests would meet them one after the other.
pub struct HttpLogService {
    client: cell::RefCell<awc::Client>,
    base_url: String,
}

impl HttpLogService {
    /// Creates a client for the log at base URL `base_url`, such as `http://10.0.0.1:7000`.
    pub fn new(base_url: &str) -> Self {
        let client = cell::RefCell::new(new_client());
        HttpLogService { client, base_url: base_url.trim_end_matches('/').to_owned() }
    }

    fn client(&self) -> awc::Client {
        self.client.borrow().clone()
    }

    /// Drops the idle connections if a request got no response.
    fn check_response<T>(&self, result: &Result<T, http::HttpError>) {
        if matches!(result, Err(http::HttpError::InvalidResponse { .. })) {
            self.client.replace(new_client());
        }
    }

    async fn try_append(
        &self,
        stream: &ids::StreamName,
        entry: &journal::Entry,
    ) -> Result<u64, http::HttpError> {
        let url = format!("{}/streams/{stream}/entries", self.base_url);
        let body = platform::AppendRequest { data: codec::encode_entry(entry) };
        let result = self.client().post(&url).send_json(&body).await;
        let mut response =
            result.map_err(|error| http::HttpError::from_send_error(&url, &error))?;
        let status = response.status();
        let body = response.body().limit(http::MAX_BODY_BYTES).await;
        let body = body.map_err(|error| http::HttpError::invalid_response(&url, error))?;
        if !status.is_success() {
            return Err(http::HttpError::from_status(&url, status.as_u16(), &body));
        }
        let response: platform::AppendResponse = serde_json::from_slice(&body)
            .map_err(|error| http::HttpError::invalid_response(&url, error))?;
        Ok(response.offset)
    }

    async fn try_read(
        &self,
        stream: &ids::StreamName,
        from: ids::Offset,
        wait: time::Duration,
    ) -> Result<input::StreamPage, http::HttpError> {
        let url = format!(
            "{}/streams/{stream}/entries?from={}&wait_ms={}",
            self.base_url,
            from.0,
            wait.as_millis()
        );
        let result = self.client().get(&url).timeout(REQUEST_TIMEOUT + wait).send().await;
        let mut response =
            result.map_err(|error| http::HttpError::from_send_error(&url, &error))?;
        let status = response.status();
        let body = response.body().limit(http::MAX_BODY_BYTES).await;
        let body = body.map_err(|error| http::HttpError::invalid_response(&url, error))?;
        if !status.is_success() {
            return Err(http::HttpError::from_status(&url, status.as_u16(), &body));
        }
        let response: platform::ReadResponse = serde_json::from_slice(&body)
            .map_err(|error| http::HttpError::invalid_response(&url, error))?;
        Ok(decode_page(response))
    }
}

fn new_client() -> awc::Client {
    http::client(CONNECT_TIMEOUT, REQUEST_TIMEOUT)
}

fn decode_page(response: platform::ReadResponse) -> input::StreamPage {
    let entries = response.entries.into_iter().map(|entry| input::StreamEntry {
        offset: ids::Offset(entry.offset),
        age: time::Duration::from_millis(entry.age_ms),
        entry: codec::decode_entry(&entry.data)
            .inspect_err(|error| {
                log::warn!("event=entry_skipped offset={} error={error:?}", entry.offset)
            })
            .ok(),
    });
    input::StreamPage {
        start: ids::Offset(response.start),
        next: ids::Offset(response.next),
        end: ids::Offset(response.end),
        entries: entries.collect(),
    }
}

impl LogService for HttpLogService {
    fn append<'a>(
        &'a self,
        stream: &'a ids::StreamName,
        entry: &'a journal::Entry,
    ) -> http::LocalFuture<'a, input::AppendResult> {
        Box::pin(async move {
            let result = self.try_append(stream, entry).await;
            self.check_response(&result);
            match result {
                Ok(offset) => input::AppendResult::Committed(ids::Offset(offset)),
                Err(http::HttpError::Status { status: TOO_MANY_REQUESTS, .. }) => {
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
    ) -> http::LocalFuture<'a, Option<input::StreamPage>> {
        Box::pin(async move {
            let result = self.try_read(stream, from, wait).await;
            self.check_response(&result);
            result
                .inspect_err(|error| {
                    log::debug!("event=read_failed stream={stream} error={:?}", error.to_string());
                })
                .ok()
        })
    }
}
