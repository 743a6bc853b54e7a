//! The HTTP server for operators: state dump, decision log, metrics and drain.

use std::convert;
use std::net;

use actix_http::body;
use actix_http::header;
use actix_http::HttpService;
use actix_http::Method;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_server::Server;
use flamingotrail_core::input;
use flamingotrail_wire::state;
use tokio::sync::oneshot;

use crate::control;
use crate::metrics;
use crate::response;

/// State shared by the request handlers.
#[derive(Clone)]
pub struct AdminServer {
    commands: control::CommandSender,
    metrics: metrics::Metrics,
}

impl AdminServer {
    /// Creates a server that is not listening yet.
    pub fn new(commands: control::CommandSender, metrics: metrics::Metrics) -> Self {
        AdminServer { commands, metrics }
    }

    /// Binds `address` and returns the server, a future that serves requests.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn listen(self, address: net::SocketAddr) -> std::io::Result<Server> {
        let server = Server::build()
            .workers(1)
            .disable_signals()
            .bind("operators", address, move || {
                let server = self.clone();
                HttpService::build()
                    .finish(move |request: Request| {
                        let server = server.clone();
                        async move { Ok::<_, convert::Infallible>(server.handle(request).await) }
                    })
                    .tcp()
            })?
            .run();
        Ok(server)
    }

    async fn handle(&self, request: Request) -> response::BoxedResponse {
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
