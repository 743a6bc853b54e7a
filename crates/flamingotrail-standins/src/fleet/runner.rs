//! Stand-ins for runners: a model runner that streams events, and a plain runner that returns a
//! short body.

use std::io;
use std::net;
use std::sync;
use std::thread;
use std::time;

use crate::fleet::server;

/// Id that a plain runner gives in its responses to health checks.
pub const PLAIN_RUNNER_ID: &str = "p-1";

/// Requests received by a runner, and the faults injected into it.
#[derive(Default)]
struct State {
    requests: Vec<server::Request>,
    duplicate_responses: bool,
    drop_responses: bool,
    delay: time::Duration,
    /// Requests per second that the runner accepts from all gateways together, if it names a limit.
    limit_per_s: Option<f64>,
    /// Whether the runner says that it leaves.
    is_leaving: bool,
    /// A response that does not end, if the runner sends one.
    endless: Option<Endless>,
    /// Whether a plain runner sends a copy of each response late, when the connection is in use again.
    late_copies: bool,
    /// Whether responses lack the request's id.
    omits_ids: bool,
    /// Value of the `Keep-Alive` header of a plain runner's responses.
    keep_alive: Option<String>,
    /// Number of events after which a model runner breaks its next stream off, in the middle of the
    /// event that follows.
    break_after: Option<usize>,
    /// Responds in place of the runner, if set.
    responder: Option<Responder>,
}

/// Responds to a request; the second argument counts the requests so far.
type Responder = sync::Arc<dyn Fn(&server::Request, usize) -> server::Response + Send + Sync>;

/// Where a response never ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endless {
    /// In the status line.
    StatusLine,
    /// In the value of a header.
    Header,
    /// In the number of headers.
    Headers,
    /// In interim responses before the response.
    InterimResponses,
    /// In a body that ends with the connection.
    Body,
    /// In a body of chunks.
    Chunks,
    /// In the extension of a chunk.
    ChunkExtension,
    /// In the trailer after a body of chunks.
    Trailer,
    /// In the body of a refusal, which says that the request was not executed.
    Refusal,
    /// In an event of a stream.
    Event,
    /// In a stream of complete events.
    Events,
    /// In the comments of a stream before its first event.
    Comments,
    /// In the comments after its first event.
    CommentsAfterEvent,
}

impl Endless {
    /// The response to request `id`: its beginning, and what follows again and again.
    fn response(self, id: &str) -> server::Response {
        let head = format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s.{id}\r\n");
        let chunked = "Transfer-Encoding: chunked\r\n\r\n";
        let stream = "Content-Type: text/event-stream\r\n\r\n";
        let (start, repeated) = match self {
            Endless::StatusLine => ("HTTP/1.1 200 ".to_owned(), "x"),
            Endless::Headers => (head, "X-Padding: x\r\n"),
            Endless::Header => (format!("{head}X-Padding: "), "x"),
            Endless::InterimResponses => (String::new(), "HTTP/1.1 102 Processing\r\n\r\n"),
            Endless::Body => (format!("{head}\r\n"), "noise"),
            Endless::Chunks => (format!("{head}{chunked}"), "5\r\nnoise\r\n"),
            Endless::ChunkExtension => (format!("{head}{chunked}5;x="), "x"),
            Endless::Trailer => (format!("{head}{chunked}0\r\n"), "X-Padding: x\r\n"),
            Endless::Refusal => (
                format!("HTTP/1.1 503 Full\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n\r\n"),
                "noise",
            ),
            Endless::Event => (format!("{head}{stream}data: "), "x"),
            Endless::Events => (format!("{head}{stream}"), "data: w\n\n"),
            Endless::Comments => (format!("{head}{stream}"), ": ping\n\n"),
            Endless::CommentsAfterEvent => (format!("{head}{stream}data: w\n\n"), ": ping\n\n"),
        };
        server::Response::Endless(start.into_bytes(), repeated.as_bytes().to_vec())
    }
}

/// The chunk of a stream's event `number`.
fn event_chunk(number: usize) -> String {
    let event = format!("id: {number}\ndata: w{number}\n\n");
    format!("{:x}\r\n{event}\r\n", event.len())
}

/// A runner; clones share their state.
#[derive(Clone, Default)]
pub struct Runner {
    state: sync::Arc<sync::Mutex<State>>,
    silence: server::Silence,
}

impl Runner {
    /// Creates a runner without injected faults.
    pub fn new() -> Self {
        Runner::default()
    }

    /// Serves as a model runner that responds to each request with `events` events.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub fn serve_model(&self, events: usize) -> io::Result<net::SocketAddr> {
        let runner = self.clone();
        let handler = move |request: &server::Request| {
            runner.lock().requests.push(request.clone());
            if let Some(response) = runner.respond_instead(request) {
                return response;
            }
            let id = request.header("request-id").unwrap_or_default();
            let endless = runner.lock().endless;
            if let Some(endless) = endless {
                return endless.response(id);
            }
            let head = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s.{id}\r\n\
                 {}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                runner
                    .announcements()
                    .iter()
                    .map(|(name, value)| format!("{name}: {value}\r\n"))
                    .collect::<String>()
            );
            let resumed = request.header("last-event-id").and_then(|text| text.parse().ok());
            let first = resumed.map_or(1, |last: usize| last + 1);
            if let Some(count) = runner.lock().break_after.take() {
                let whole = (first..first + count).map(event_chunk);
                let torn = "12\r\nid: 99\nda".to_owned();
                let bytes = std::iter::once(head).chain(whole).chain([torn]).collect::<String>();
                return server::Response::Truncated(bytes.into_bytes());
            }
            let events = (first..=events).map(event_chunk);
            let chunks = std::iter::once(head).chain(events).chain(["0\r\n\r\n".to_owned()]);
            let delay = runner.lock().delay;
            if delay.is_zero() {
                return server::Response::Bytes(chunks.collect::<String>().into_bytes());
            }
            server::Response::DelayedChunks(chunks.map(String::into_bytes).collect(), delay)
        };
        server::serve_with_silence(handler, &self.silence)
    }

    /// Serves as a plain runner.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub fn serve_plain(&self) -> io::Result<net::SocketAddr> {
        let runner = self.clone();
        server::serve_with_silence(move |request| runner.respond_plain(request), &self.silence)
    }

    /// Lets all connections that are open now go silent, without closing them; new ones work.
    pub fn silence_connections(&self) {
        self.silence.begin();
    }

    /// Responds to a health check.
    fn respond_to_check(&self) -> server::Response {
        let status = if self.lock().is_leaving { 503 } else { 200 };
        let announcements = self.announcements();
        let mut headers = vec![("Instance-Id", PLAIN_RUNNER_ID)];
        headers.extend(announcements.iter().map(|(name, value)| (*name, value.as_str())));
        server::response(status, &headers, b"")
    }

    fn respond_plain(&self, request: &server::Request) -> server::Response {
        if request.path() == "/health" {
            return self.respond_to_check();
        }
        let (delay, drop_responses, duplicate_responses) = {
            let mut state = self.lock();
            state.requests.push(request.clone());
            (state.delay, state.drop_responses, state.duplicate_responses)
        };
        if let Some(response) = self.respond_instead(request) {
            return response;
        }
        thread::sleep(delay);
        if drop_responses {
            return server::Response::Close;
        }
        let id = request.header("request-id").unwrap_or_default();
        let endless = self.lock().endless;
        if let Some(endless) = endless {
            return endless.response(id);
        }
        let signature = format!("s.{id}");
        let announcements = self.announcements();
        let (omits_ids, keep_alive) = {
            let state = self.lock();
            (state.omits_ids, state.keep_alive.clone())
        };
        let mut headers = vec![("Response-Signature", signature.as_str())];
        if !omits_ids {
            headers.push(("Request-Id", id));
        }
        headers.extend(keep_alive.as_deref().map(|value| ("Keep-Alive", value)));
        headers.extend(announcements.iter().map(|(name, value)| (*name, value.as_str())));
        let body = format!("done {id}");
        let server::Response::Bytes(mut bytes) = server::response(200, &headers, body.as_bytes())
        else {
            return server::Response::Close;
        };
        if self.lock().late_copies {
            return server::Response::Late(bytes.clone(), bytes);
        }
        if duplicate_responses {
            // A gateway that reuses the connection without a check takes the copy as the response
            // to its next request.
            bytes.extend_from_within(..);
        }
        server::Response::Bytes(bytes)
    }

    /// Makes the runner respond with `responder`, which also gets the number of requests so far.
    pub fn respond_with(
        &self,
        responder: impl Fn(&server::Request, usize) -> server::Response + Send + Sync + 'static,
    ) {
        self.lock().responder = Some(sync::Arc::new(responder));
    }

    fn respond_instead(&self, request: &server::Request) -> Option<server::Response> {
        let (responder, count) = {
            let state = self.lock();
            (state.responder.clone()?, state.requests.len())
        };
        Some(responder(request, count))
    }

    /// Sets whether a plain runner sends each response twice.
    pub fn set_duplicate_responses(&self, enabled: bool) {
        self.lock().duplicate_responses = enabled;
    }

    /// Makes a plain runner send a copy of each response before the next one, when its connection is
    /// in use again. With `omits_ids`, responses don't say which request they belong to.
    pub fn send_late_copies(&self, omits_ids: bool) {
        let mut state = self.lock();
        state.late_copies = true;
        state.omits_ids = omits_ids;
    }

    /// Sets the `Keep-Alive` header of a plain runner's responses.
    pub fn set_keep_alive(&self, value: &str) {
        self.lock().keep_alive = Some(value.to_owned());
    }

    /// Sets whether a plain runner executes requests and closes the connection without a response.
    pub fn set_drop_responses(&self, enabled: bool) {
        self.lock().drop_responses = enabled;
    }

    /// Sets the limit that the runner names in its responses, in requests per second.
    pub fn set_limit(&self, per_s: Option<f64>) {
        self.lock().limit_per_s = per_s;
    }

    /// Sets whether the runner says in its responses that it leaves.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.lock().is_leaving = is_leaving;
    }

    /// Sets whether the runner sends responses that do not end.
    pub fn set_endless(&self, endless: Option<Endless>) {
        self.lock().endless = endless;
    }

    /// Makes a model runner break its next stream off after `events` events, in the middle of the
    /// event that follows.
    pub fn break_next_stream(&self, events: usize) {
        self.lock().break_after = Some(events);
    }

    /// Response headers in which the runner announces its state.
    fn announcements(&self) -> Vec<(&'static str, String)> {
        let state = self.lock();
        let limit = state.limit_per_s.map(|limit| ("Server-Limit", limit.to_string()));
        let leaving = state.is_leaving.then(|| ("Server-Leaving", "1".to_owned()));
        limit.into_iter().chain(leaving).collect()
    }

    /// Sets the delay before the response of a plain runner, or before each chunk of a model
    /// runner.
    pub fn set_delay(&self, delay: time::Duration) {
        self.lock().delay = delay;
    }

    /// Bodies of all requests received so far.
    pub fn bodies(&self) -> Vec<String> {
        let state = self.lock();
        state.requests.iter().map(|r| String::from_utf8_lossy(&r.body).into_owned()).collect()
    }

    /// All requests received so far.
    pub fn requests(&self) -> Vec<server::Request> {
        self.lock().requests.clone()
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
