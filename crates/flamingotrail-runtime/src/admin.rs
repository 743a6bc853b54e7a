//! The HTTP server for operators: state dump, decision log, metrics and drain.

use std::convert;
use std::net;
use std::rc;
use std::time;

use actix_http::body;
use actix_http::header;
use actix_http::Method;
use actix_http::Response;
use actix_http::StatusCode;
use actix_server::Server;
use flamingotrail_adapter::configuration;
use flamingotrail_core::input;
use flamingotrail_wire::state;
use futures_util::future;
use tokio::sync::oneshot;

use crate::connections;
use crate::connections::limits as connection_limits;
use crate::connections::listener;
use crate::control;
use crate::http1;
use crate::http_server;
use crate::metrics;
use crate::response;

/// Maximum size of the headers of a request, and of its body, which no request needs, in bytes.
const MAX_PART_BYTES: usize = 8 << 10;
/// Timeout for receiving a request, and for an idle connection.
const TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// State shared by the request handlers.
#[derive(Clone)]
pub struct AdminServer {
    commands: control::CommandSender,
    metrics: metrics::Metrics,
    connections: connections::Connections,
}

impl AdminServer {
    /// Creates a server that is not listening yet.
    pub fn new(
        commands: control::CommandSender,
        metrics: metrics::Metrics,
        connections: connections::Connections,
    ) -> Self {
        AdminServer { commands, metrics, connections }
    }

    /// Binds `address` and returns the server, a future that serves requests.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn listen(self, address: net::SocketAddr) -> std::io::Result<Server> {
        let kind = connection_limits::Listener::Operators;
        let listener = listener::bind(address, &self.connections, kind)?;
        let server = Server::build()
            .workers(1)
            .disable_signals()
            .listen("operators", listener, move || {
                let server = rc::Rc::new(http_server::HttpServer {
                    connections: self.connections.clone(),
                    kind,
                    limits: configuration::RequestLimits {
                        max_head_bytes: MAX_PART_BYTES,
                        max_body_bytes: MAX_PART_BYTES,
                        head_timeout: TIMEOUT,
                        idle_timeout: TIMEOUT,
                    },
                    body_copies: 1,
                    handler: rc::Rc::new(self.clone()),
                });
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

    async fn respond(&self, received: http1::ReceivedRequest) -> response::BoxedResponse {
        let request = received.request;
        match (request.method(), request.path()) {
            (&Method::GET, "/healthz") => text_response(StatusCode::OK, "ok\n".to_owned()),
            (&Method::GET, "/metrics") => text_response(StatusCode::OK, self.metrics.render()),
            (&Method::GET, "/dump") => self.dump().await,
            (&Method::GET, "/explain") => {
                self.explain(request.uri().query().unwrap_or_default()).await
            }
            (&Method::POST, "/drain") => self.drain(),
            (_, path) => {
                let text = format!("{path} was not found; see docs/OPERATIONS.md\n");
                text_response(StatusCode::NOT_FOUND, text)
            }
        }
    }

    async fn dump(&self) -> response::BoxedResponse {
        let (tx, rx) = oneshot::channel();
        if self.commands.try_send(control::Command::Dump(tx)).is_err() {
            return unavailable();
        }
        match rx.await {
            Ok(tables) => {
                let tables: Vec<state::Table> =
                    tables.into_iter().map(state::Table::from).collect();
                json_response(&tables)
            }
            Err(_) => unavailable(),
        }
    }

    /// Returns the recorded decisions whose subject contains the TEXT of the query `about=TEXT`.
    async fn explain(&self, query: &str) -> response::BoxedResponse {
        let about = query.strip_prefix("about=").unwrap_or_default().to_owned();
        let (tx, rx) = oneshot::channel();
        if self.commands.try_send(control::Command::Explain(about, tx)).is_err() {
            return unavailable();
        }
        match rx.await {
            Ok(table) => json_response(&state::Table::from(table)),
            Err(_) => unavailable(),
        }
    }

    fn drain(&self) -> response::BoxedResponse {
        match self.commands.try_send(control::Command::Input(input::Input::Drain)) {
            Ok(()) => text_response(StatusCode::ACCEPTED, "draining\n".to_owned()),
            Err(_) => unavailable(),
        }
    }
}

impl http_server::Handler for AdminServer {
    fn handle(
        &self,
        request: http1::ReceivedRequest,
        _meter: connections::ResponseMeter,
    ) -> future::LocalBoxFuture<'_, response::BoxedResponse> {
        Box::pin(self.respond(request))
    }

    fn refuse(&self, error: &http1::ReadError) -> Option<response::BoxedResponse> {
        match error {
            http1::ReadError::Status(status) => Some(text_response(*status, String::new())),
            http1::ReadError::NoRoom(_) => Some(unavailable()),
            http1::ReadError::ConnectionEnded | http1::ReadError::Io(_) => None,
        }
    }
}

fn unavailable() -> response::BoxedResponse {
    text_response(StatusCode::SERVICE_UNAVAILABLE, format!("{}\n", control::InboxFull))
}

fn text_response(code: StatusCode, text: String) -> response::BoxedResponse {
    Response::build(code)
        .insert_header((header::CONTENT_TYPE, "text/plain; charset=utf-8"))
        .body(text)
        .map_into_boxed_body()
}

fn json_response<T: serde::Serialize>(value: &T) -> Response<body::BoxBody> {
    Response::build(StatusCode::OK)
        .insert_header((header::CONTENT_TYPE, "application/json"))
        .body(response::to_json(value))
        .map_into_boxed_body()
}
