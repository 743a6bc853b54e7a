//! The HTTP server for callers, which runs on its own traffic threads.

use std::convert;
use std::net;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;
use std::time;

use actix_http::body;
use actix_http::header;
use actix_http::HttpMessage as _;
use actix_http::HttpService;
use actix_http::Method;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_server::Server;
use flamingotrail_core::errors;
use flamingotrail_core::ids;
use flamingotrail_core::input;
use flamingotrail_core::messages;
use flamingotrail_core::work;
use futures_util::Stream;
use futures_util::StreamExt as _;
use tokio::sync::mpsc;

use crate::control;
use crate::metrics;
use crate::parse;
use crate::relay;
use crate::response;

/// Timeout for receiving the headers of a request.
const REQUEST_HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// State shared by the request handlers.
#[derive(Clone)]
pub struct CallerServer {
    commands: control::CommandSender,
    relay: relay::TextRelay,
    metrics: metrics::Metrics,
    incarnation: ids::Incarnation,
    next_number: sync::Arc<atomic::AtomicU64>,
    max_body_bytes: usize,
}

/// Closes a request when its response is dropped, and reports the disconnect if the request was
/// still open.
struct DisconnectGuard {
    server: CallerServer,
    request: ids::RequestId,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if self.server.relay.close(self.request) {
            self.server.commands.send_input(input::Input::CallerDisconnected(self.request));
        }
    }
}

impl CallerServer {
    /// Creates a server that is not listening yet. `incarnation` identifies this run of the
    /// process in request ids.
    pub fn new(
        commands: control::CommandSender,
        relay: relay::TextRelay,
        metrics: metrics::Metrics,
        incarnation: ids::Incarnation,
        max_body_bytes: usize,
    ) -> Self {
        let next_number = sync::Arc::new(atomic::AtomicU64::new(1));
        CallerServer { commands, relay, metrics, incarnation, next_number, max_body_bytes }
    }

    /// Binds `address` and returns the server, a future that serves requests on `threads` threads.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn listen(self, address: net::SocketAddr, threads: usize) -> std::io::Result<Server> {
        let server = Server::build()
            .workers(threads)
            .disable_signals()
            .bind("callers", address, move || {
                let server = self.clone();
                HttpService::build()
                    .client_request_timeout(REQUEST_HEAD_TIMEOUT)
                    .h1_allow_half_closed(false)
                    .finish(move |request: Request| {
                        let server = server.clone();
                        async move { Ok::<_, convert::Infallible>(server.handle(request).await) }
                    })
                    .tcp()
            })?
            .run();
        Ok(server)
    }

    async fn handle(&self, mut request: Request) -> response::BoxedResponse {
        let path = request.path().to_owned();
        if path == "/healthz" {
            return Response::build(StatusCode::OK).body("ok\n").map_into_boxed_body();
        }
        let body = match self.read_body(&mut request).await {
            Ok(body) => body,
            Err(refusal) => return self.refusal_response(refusal),
        };
        let number = self.next_number.fetch_add(1, atomic::Ordering::Relaxed);
        let id = ids::RequestId { entry: self.incarnation, number };
        let headers = request.headers();
        let parsed = if request.method() == Method::POST && path == "/v1/chat/completions" {
            parse::chat_completion(headers, id, &body)
        } else if let Some(rest) = path.strip_prefix("/v1/services/") {
            parse::service_call(headers, id, rest, &body)
        } else if let Some(rest) = path.strip_prefix("/v1/programs/") {
            match *request.method() {
                Method::DELETE => parse::end_program(headers, id, rest),
                _ => Err(unknown_path(&path)),
            }
        } else {
            Err(unknown_path(&path))
        };
        match parsed {
            Ok(parsed) => self.run_call(parsed).await,
            Err(refusal) => self.refusal_response(refusal),
        }
    }

    fn refusal_response(&self, refusal: errors::Refusal) -> response::BoxedResponse {
        self.metrics.calls.with_label_values(&["not_run", refusal.kind()]).inc();
        response::refusal(&response::RequestIds::default(), refusal)
    }

    async fn read_body(&self, request: &mut Request) -> Result<bytes::BytesMut, errors::Refusal> {
        let limit = self.max_body_bytes;
        let mut body = bytes::BytesMut::new();
        let mut payload = request.take_payload();
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|error| errors::Refusal::BadField {
                field: "body".to_owned(),
                detail: error.to_string(),
            })?;
            if body.len() + chunk.len() > limit {
                return Err(errors::Refusal::TooLarge { limit: limit as u64 });
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body)
    }

    async fn run_call(&self, parsed: parse::ParsedRequest) -> response::BoxedResponse {
        let parse::ParsedRequest { request, stream } = parsed;
        let id = request.request;
        let (is_chat, model) = match &request.work {
            work::Work::Model { model, .. } => (true, model.to_string()),
            _ => (false, String::new()),
        };
        let event_rx = self.relay.open(id);
        let guard = DisconnectGuard { server: self.clone(), request: id };
        let command = control::Command::Input(input::Input::Request(Box::new(request)));
        if self.commands.try_send(command).is_err() {
            // The request did not reach the control thread, so it was certainly not run. Closing it
            // here keeps the guard from reporting a disconnect.
            self.relay.close(id);
            let retry_after = time::Duration::from_millis(200);
            return self.refusal_response(errors::Refusal::Overloaded { retry_after });
        }
        let pending = PendingResponse {
            server: self.clone(),
            event_rx,
            _guard: guard,
            ids: response::RequestIds::default(),
            text: String::new(),
            started_at: time::Instant::now(),
            last_text_at: None,
        };
        if stream {
            pending.stream().await
        } else {
            pending.complete(&model, is_chat).await
        }
    }
}

fn unknown_path(path: &str) -> errors::Refusal {
    errors::Refusal::BadField {
        field: "path".to_owned(),
        detail: format!("{path} was not found; see docs/API.md for the supported paths"),
    }
}

/// A response that is not complete yet.
struct PendingResponse {
    server: CallerServer,
    event_rx: mpsc::UnboundedReceiver<relay::CallerEvent>,
    _guard: DisconnectGuard,
    ids: response::RequestIds,
    text: String,
    started_at: time::Instant,
    last_text_at: Option<time::Instant>,
}

impl PendingResponse {
    /// Processes an event. Returns the reply if the event ends the response.
    fn handle_event(&mut self, event: relay::CallerEvent) -> Option<messages::Reply> {
        match event {
            relay::CallerEvent::Admitted { program, conversation } => {
                self.ids = response::RequestIds {
                    program: Some(program),
                    conversation: Some(conversation),
                };
                None
            }
            relay::CallerEvent::Text(text) => {
                self.observe_text();
                self.text.push_str(&text);
                None
            }
            relay::CallerEvent::Reply(reply) => {
                self.observe_reply(&reply);
                Some(*reply)
            }
        }
    }

    fn observe_text(&mut self) {
        let now = time::Instant::now();
        match self.last_text_at.replace(now) {
            None => {
                let seconds = (now - self.started_at).as_secs_f64();
                self.server.metrics.first_token_seconds.observe(seconds);
            }
            Some(last_text_at) => {
                let seconds = (now - last_text_at).as_secs_f64();
                self.server.metrics.inter_token_seconds.observe(seconds);
            }
        }
    }

    fn observe_reply(&self, reply: &messages::Reply) {
        let metrics = &self.server.metrics;
        metrics.call_seconds.observe(self.started_at.elapsed().as_secs_f64());
        let reason = match &reply.outcome {
            work::Outcome::Done(_) => "",
            work::Outcome::NotRun(refusal) => refusal.kind(),
            work::Outcome::Unknown(reason) => reason.kind(),
        };
        metrics.calls.with_label_values(&[reply.outcome.kind(), reason]).inc();
    }

    async fn complete(mut self, model: &str, is_chat: bool) -> response::BoxedResponse {
        while let Some(event) = self.event_rx.recv().await {
            if let Some(reply) = self.handle_event(event) {
                return response::complete(&self.ids, &reply, model, is_chat);
            }
        }
        response::refusal(&self.ids, errors::Refusal::Draining)
    }

    /// Returns the response as an event stream.
    ///
    /// The response is not started until the first text or the reply arrives, so that a call that
    /// fails before any text gets a plain response with the HTTP status of its outcome.
    async fn stream(mut self) -> response::BoxedResponse {
        while let Some(event) = self.event_rx.recv().await {
            let reply = self.handle_event(event);
            if let Some(reply) = reply {
                if !matches!(reply.outcome, work::Outcome::Done(_)) {
                    return response::complete(&self.ids, &reply, "", true);
                }
                let events = response::final_events(&self.ids, &reply, "");
                let events = futures_util::stream::iter(events);
                return event_stream(events.map(Ok::<_, convert::Infallible>));
            }
            if !self.text.is_empty() {
                let first_event = response::text_event(&self.text);
                let body = EventStream { pending: self, ready: vec![first_event], ended: false };
                return event_stream(body);
            }
        }
        response::refusal(&self.ids, errors::Refusal::Draining)
    }
}

fn event_stream<S>(stream: S) -> response::BoxedResponse
where
    S: Stream<Item = Result<bytes::Bytes, convert::Infallible>> + 'static,
{
    Response::build(StatusCode::OK)
        .insert_header((header::CONTENT_TYPE, "text/event-stream"))
        .insert_header((header::CACHE_CONTROL, "no-cache"))
        .body(body::BodyStream::new(Box::pin(stream)))
        .map_into_boxed_body()
}

/// The body of a streamed response: the `ready` events, followed by those of `pending`.
struct EventStream {
    pending: PendingResponse,
    ready: Vec<bytes::Bytes>,
    ended: bool,
}

impl Stream for EventStream {
    type Item = Result<bytes::Bytes, convert::Infallible>;

    fn poll_next(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Self::Item>> {
        let this = &mut *self;
        if !this.ready.is_empty() {
            return task::Poll::Ready(Some(Ok(this.ready.remove(0))));
        }
        if this.ended {
            return task::Poll::Ready(None);
        }
        match this.pending.event_rx.poll_recv(cx) {
            task::Poll::Pending => task::Poll::Pending,
            task::Poll::Ready(None) => task::Poll::Ready(None),
            task::Poll::Ready(Some(event)) => {
                let delivered_bytes = this.pending.text.len();
                if let Some(reply) = this.pending.handle_event(event) {
                    this.ended = true;
                    let text = &this.pending.text;
                    this.ready = response::final_events(&this.pending.ids, &reply, text);
                } else if this.pending.text.len() > delivered_bytes {
                    let event = response::text_event(&this.pending.text[delivered_bytes..]);
                    return task::Poll::Ready(Some(Ok(event)));
                }
                cx.waker().wake_by_ref();
                task::Poll::Pending
            }
        }
    }
}
