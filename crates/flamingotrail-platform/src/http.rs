//! What the clients share: connections, bounded bodies and errors.

use std::time;

use awc::error;
use futures_util::future;

/// Largest body that is read, in bytes.
pub const MAX_BODY_BYTES: usize = 32 * 1024 * 1024;

/// A future of a client: it stays on its thread.
pub type LocalFuture<'a, T> = future::LocalBoxFuture<'a, T>;

/// A request that got no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// No connection: no byte of the request was sent.
    #[error("{url} can't be reached: {detail}; check its address and that it runs")]
    Unreachable {
        /// Where to.
        url: String,
        /// Why.
        detail: String,
    },
    /// The connection broke, or the answer can't be read: the request may have been taken.
    #[error("{url} gave no usable answer: {detail}; look at its log")]
    InvalidResponse {
        /// Where to.
        url: String,
        /// Why.
        detail: String,
    },
    /// An answer with an error status.
    #[error("{url} answered {status}: {detail}; see its documentation")]
    Status {
        /// Where to.
        url: String,
        /// HTTP status code.
        status: u16,
        /// Body, cut.
        detail: String,
    },
}

impl HttpError {
    /// Sorts an error of the HTTP library by whether a byte may have been sent.
    pub fn from_send_error(url: &str, error: &error::SendRequestError) -> Self {
        let (url, detail) = (url.to_owned(), error.to_string());
        match error {
            error::SendRequestError::Connect(_) | error::SendRequestError::Url(_) => {
                HttpError::Unreachable { url, detail }
            }
            _ => HttpError::InvalidResponse { url, detail },
        }
    }

    /// A broken answer.
    pub fn invalid_response(url: &str, detail: impl ToString) -> Self {
        HttpError::InvalidResponse { url: url.to_owned(), detail: detail.to_string() }
    }

    /// An answer with an error status.
    pub fn from_status(url: &str, status: u16, body: &[u8]) -> Self {
        const SHOWN_BYTES: usize = 300;
        let shown = &body[..body.len().min(SHOWN_BYTES)];
        let detail = String::from_utf8_lossy(shown).into_owned();
        HttpError::Status { url: url.to_owned(), status, detail }
    }
}

/// A client whose requests end after `timeout`, and whose connections must stand within
/// `connect_timeout`.
pub fn client(connect_timeout: time::Duration, timeout: time::Duration) -> awc::Client {
    let connector = awc::Connector::new().timeout(connect_timeout);
    awc::Client::builder().connector(connector).timeout(timeout).finish()
}
