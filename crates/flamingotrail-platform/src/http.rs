//! Shared code of the HTTP clients: client construction, the body size limit and errors.

use std::time;

use awc::error;
use futures_util::future;

/// Maximum size of a response body, in bytes.
pub const MAX_BODY_BYTES: usize = 32 * 1024 * 1024;

/// Boxed future that is not `Send`.
pub type LocalFuture<'a, T> = future::LocalBoxFuture<'a, T>;

/// A failed request.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The connection could not be established; no byte of the request was sent.
    #[error(
        "can't reach {url}: {detail}; check that the address is correct and the server is running"
    )]
    Unreachable {
        /// URL of the request.
        url: String,
        /// Description of the failure.
        detail: String,
    },
    /// The connection failed or the response is invalid; the request may have been processed.
    #[error("no valid response from {url}: {detail}; check the server and its log output")]
    InvalidResponse {
        /// URL of the request.
        url: String,
        /// Description of the failure.
        detail: String,
    },
    /// The response has an error status.
    #[error("{url} responded with status {status}: {detail}; see the documentation of the server")]
    Status {
        /// URL of the request.
        url: String,
        /// HTTP status code.
        status: u16,
        /// Beginning of the response body.
        detail: String,
    },
}

impl HttpError {
    /// Converts an `awc` error. Errors in the URL or while connecting become `Unreachable`; all
    /// others become `InvalidResponse`, because the request may have been sent.
    pub fn from_send_error(url: &str, error: &error::SendRequestError) -> Self {
        let (url, detail) = (url.to_owned(), error.to_string());
        match error {
            error::SendRequestError::Connect(_) | error::SendRequestError::Url(_) => {
                HttpError::Unreachable { url, detail }
            }
            _ => HttpError::InvalidResponse { url, detail },
        }
    }

    /// Creates an `InvalidResponse` error.
    pub fn invalid_response(url: &str, detail: impl ToString) -> Self {
        HttpError::InvalidResponse { url: url.to_owned(), detail: detail.to_string() }
    }

    /// Creates a `Status` error with the beginning of `body`.
    pub fn from_status(url: &str, status: u16, body: &[u8]) -> Self {
        const MAX_DETAIL_BYTES: usize = 300;
        let prefix = &body[..body.len().min(MAX_DETAIL_BYTES)];
        let detail = String::from_utf8_lossy(prefix).into_owned();
        HttpError::Status { url: url.to_owned(), status, detail }
    }
}

/// Creates a client with the given timeouts for establishing a connection and for a request.
pub fn client(connect_timeout: time::Duration, timeout: time::Duration) -> awc::Client {
    let connector = awc::Connector::new().timeout(connect_timeout);
    awc::Client::builder().connector(connector).timeout(timeout).finish()
}
