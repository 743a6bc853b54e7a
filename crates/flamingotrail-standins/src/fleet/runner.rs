//! Runners: a model runner that streams events, and a plain one.

use std::io;
use std::net;
use std::sync;
use std::thread;
use std::time;

use crate::fleet::server;

/// What a runner has seen, and what it does wrong.
#[derive(Default)]
struct State {
    requests: Vec<server::Request>,
    extra_answers: bool,
    lose_answers: bool,
    pause: time::Duration,
}

/// A runner.
#[derive(Clone, Default)]
pub struct Runner {
    state: sync::Arc<sync::Mutex<State>>,
}

impl Runner {
    /// A runner that has seen nothing.
    pub fn new() -> Self {
        Runner::default()
    }

    /// Serves a model runner that answers each request with `events` events.
    ///
    /// # Errors
    ///
    /// No free port.
    pub fn serve_model(&self, events: usize) -> io::Result<net::SocketAddr> {
        let runner = self.clone();
        server::serve(move |request| {
            runner.lock().requests.push(request.clone());
            let id = request.header("request-id").unwrap_or_default();
            let head = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s.{id}\r\n\
                 Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            let events = (1..=events).map(|number| {
                let event = format!("id: {number}\ndata: w{number}\n\n");
                format!("{:x}\r\n{event}\r\n", event.len())
            });
            let parts = std::iter::once(head).chain(events).chain(["0\r\n\r\n".to_owned()]);
            let pause = runner.lock().pause;
            if pause.is_zero() {
                return server::Response::Bytes(parts.collect::<String>().into_bytes());
            }
            server::Response::DelayedChunks(parts.map(String::into_bytes).collect(), pause)
        })
    }

    /// Serves a plain runner.
    ///
    /// # Errors
    ///
    /// No free port.
    pub fn serve_plain(&self) -> io::Result<net::SocketAddr> {
        let runner = self.clone();
        server::serve(move |request| runner.answer_plain(request))
    }

    fn answer_plain(&self, request: &server::Request) -> server::Response {
        let (pause, lose_answers, extra_answers) = {
            let mut state = self.lock();
            state.requests.push(request.clone());
            (state.pause, state.lose_answers, state.extra_answers)
        };
        thread::sleep(pause);
        if lose_answers {
            return server::Response::Close;
        }
        let id = request.header("request-id").unwrap_or_default();
        let signature = format!("s.{id}");
        let headers = [("Request-Id", id), ("Response-Signature", &signature)];
        let body = format!("done {id}");
        let server::Response::Bytes(mut bytes) = server::response(200, &headers, body.as_bytes())
        else {
            return server::Response::Close;
        };
        if extra_answers {
            // It reaches the caller where its next answer is due.
            bytes.extend_from_within(..);
        }
        server::Response::Bytes(bytes)
    }

    /// Sets whether a second answer follows each answer.
    pub fn set_duplicate_responses(&self, extra: bool) {
        self.lock().extra_answers = extra;
    }

    /// Sets whether requests are run and not answered.
    pub fn set_drop_responses(&self, lose: bool) {
        self.lock().lose_answers = lose;
    }

    /// Sets the pause before an answer, or before each part of a model runner's.
    pub fn set_delay(&self, pause: time::Duration) {
        self.lock().pause = pause;
    }

    /// Bodies of the requests so far.
    pub fn bodies(&self) -> Vec<String> {
        let state = self.lock();
        state.requests.iter().map(|r| String::from_utf8_lossy(&r.body).into_owned()).collect()
    }

    /// The requests so far.
    pub fn requests(&self) -> Vec<server::Request> {
        self.lock().requests.clone()
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
