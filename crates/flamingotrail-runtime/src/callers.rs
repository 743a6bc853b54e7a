//! The HTTP server for callers, which runs on its own traffic threads.

use std::convert;
use std::net;
use std::pin;
use std::rc;
use std::sync;
use std::sync::atomic;
use std::task;
use std::time;

use actix_http::body;
use actix_http::header;
use actix_http::HttpMessage as _;
use actix_http::Method;
use actix_http::Response;
use actix_http::StatusCode;
use actix_server::Server;
use flamingotrail_adapter::configuration;
use flamingotrail_core::errors;
use flamingotrail_core::ids;
use flamingotrail_core::input;
use flamingotrail_core::messages;
use flamingotrail_core::work;
use futures_util::future;
use futures_util::Stream;
use futures_util::StreamExt as _;
use tokio::sync::mpsc;

use crate::connections;
use crate::connections::limits as connection_limits;
use crate::connections::listener;
use crate::control;
use crate::http1;
use crate::http_server;
use crate::metrics;
use crate::parse;
use crate::relay;
use crate::response;

/// Maximum size of the headers of a request, in bytes. Continuations are sent in headers.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Timeout for receiving the headers of a request, and for each read of its body.
const READ_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// How long a connection may be idle, and a body may take.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// Copies of a body: as it was received, its messages, and the message to the owner, which is kept until
/// it is acknowledged, and encoded.
pub const BODY_COPIES: usize = 4;
/// When a caller is to return whose request has no room in this instance.
const RETRY_AFTER: time::Duration = time::Duration::from_millis(200);

/// State shared by the request handlers.
#[derive(Clone)]
pub struct CallerServer {
    commands: control::CommandSender,
    relay: relay::TextRelay,
    metrics: metrics::Metrics,
    incarnation: ids::Incarnation,
    next_number: sync::Arc<atomic::AtomicU64>,
    max_body_bytes: usize,
    connections: connections::Connections,
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
        connections: connections::Connections,
    ) -> Self {
        let next_number = sync::Arc::new(atomic::AtomicU64::new(1));
        CallerServer {
            commands,
            relay,
            metrics,
            incarnation,
            next_number,
            max_body_bytes,
            connections,
        }
    }

    /// Binds `address` and returns the server, a future that serves requests on `threads` threads.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn listen(self, address: net::SocketAddr, threads: usize) -> std::io::Result<Server> {
        // The table of connections makes room at its limit; the server would stop to accept.
        let max_accepted = self.connections.limits().callers + self.connections.limits().monitoring;
        let kind = connection_limits::Listener::Callers;
        let listener = listener::bind(address, &self.connections, kind)?;
        let server = Server::build()
            .workers(threads)
            .max_concurrent_connections(max_accepted)
            .disable_signals()
            .listen("callers", listener, move || {
                let server = rc::Rc::new(self.http_server());
                actix_service::fn_service(move |stream: tokio::net::TcpStream| {
                    let server = server.clone();
                    async move {
                        server.serve(stream).await;
                        Ok::<_, convert::Infallible>(())
                    }
                })
            })?
            .run();
        Ok(server)
    }

    fn http_server(&self) -> http_server::HttpServer {
        http_server::HttpServer {
            connections: self.connections.clone(),
            kind: connection_limits::Listener::Callers,
            limits: configuration::RequestLimits {
                max_head_bytes: MAX_HEAD_BYTES,
                max_body_bytes: self.max_body_bytes,
                head_timeout: READ_TIMEOUT,
                idle_timeout: IDLE_TIMEOUT,
            },
            body_copies: BODY_COPIES,
            handler: rc::Rc::new(self.clone()),
        }
    }

    async fn respond(
        &self,
        received: http1::ReceivedRequest,
        meter: connections::ResponseMeter,
    ) -> response::BoxedResponse {
        let http1::ReceivedRequest { request, body, .. } = received;
        let path = request.path().to_owned();
        if path == "/healthz" {
            return Response::build(StatusCode::OK).body("ok\n").map_into_boxed_body();
        }
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
        drop((request, body));
        match parsed {
            Ok(parsed) => self.run_call(parsed, meter).await,
            Err(refusal) => self.refusal_response(refusal),
        }
    }

    fn refusal_response(&self, refusal: errors::Refusal) -> response::BoxedResponse {
        self.metrics.calls.with_label_values(&["not_run", refusal.kind()]).inc();
        response::refusal(&response::RequestIds::default(), refusal)
    }

    async fn run_call(
        &self,
        parsed: parse::ParsedRequest,
        meter: connections::ResponseMeter,
    ) -> response::BoxedResponse {
        let parse::ParsedRequest { request, stream } = parsed;
        let id = request.request;
        let (is_chat, model) = match &request.work {
            work::Work::Model { model, .. } => (true, model.to_string()),
            _ => (false, String::new()),
        };
        let event_rx = self.relay.open(id, meter);
        let guard = DisconnectGuard { server: self.clone(), request: id };
        let command = control::Command::Input(input::Input::Request(Box::new(request)));
        if self.commands.try_send(command).is_err() {
            // The request did not reach the control thread, so it was certainly not run. Closing it
            // here keeps the guard from reporting a disconnect.
            self.relay.close(id);
            return self.refusal_response(errors::Refusal::Overloaded { retry_after: RETRY_AFTER });
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

impl http_server::Handler for CallerServer {
    fn handle(
        &self,
        request: http1::ReceivedRequest,
        meter: connections::ResponseMeter,
    ) -> future::LocalBoxFuture<'_, response::BoxedResponse> {
        Box::pin(self.respond(request, meter))
    }

    fn refuse(&self, error: &http1::ReadError) -> Option<response::BoxedResponse> {
        let refusal = match error {
            http1::ReadError::NoRoom(_) => errors::Refusal::Overloaded { retry_after: RETRY_AFTER },
            http1::ReadError::Status(StatusCode::PAYLOAD_TOO_LARGE) => {
                errors::Refusal::TooLarge { limit: self.max_body_bytes as u64 }
            }
            http1::ReadError::Status(status) => {
                return Some(Response::build(*status).body("").map_into_boxed_body());
            }
            http1::ReadError::ConnectionEnded | http1::ReadError::Io(_) => return None,
        };
        Some(self.refusal_response(refusal))
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
