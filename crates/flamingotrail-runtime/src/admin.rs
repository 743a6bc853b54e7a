//! The HTTP front end for operators: state dump, explanations, metrics, drain.

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

/// What the handlers need.
#[derive(Clone)]
pub struct AdminServer {
    commands: control::CommandSender,
    metrics: metrics::Metrics,
}

impl AdminServer {
    /// A front end for operators.
    pub fn new(commands: control::CommandSender, metrics: metrics::Metrics) -> Self {
        AdminServer { commands, metrics }
    }

    /// Listens for operators.
    ///
    /// # Errors
    ///
    /// An address that can't be used.
    pub fn listen(self, address: net::SocketAddr) -> std::io::Result<Server> {
        let server = Server::build()
            .workers(1)
            .disable_signals()
            .bind("operators", address, move || {
                let admin = self.clone();
                HttpService::build()
                    .finish(move |request: Request| {
                        let admin = admin.clone();
                        async move { Ok::<_, convert::Infallible>(admin.handle(request).await) }
                    })
                    .tcp()
            })?
            .run();
        Ok(server)
    }

    async fn handle(&self, request: Request) -> response::BoxedResponse {
        match (request.method(), request.path()) {
            (&Method::GET, "/healthz") => plain(StatusCode::OK, "ok\n".to_owned()),
            (&Method::GET, "/metrics") => plain(StatusCode::OK, self.metrics.render()),
            (&Method::GET, "/dump") => self.dump().await,
            (&Method::GET, "/explain") => {
                self.explain(request.uri().query().unwrap_or_default()).await
            }
            (&Method::POST, "/drain") => self.drain(),
            (_, path) => {
                let text = format!("{path} is not served; see docs/OPERATIONS.md\n");
                plain(StatusCode::NOT_FOUND, text)
            }
        }
    }

    async fn dump(&self) -> response::BoxedResponse {
        let (tx, rx) = oneshot::channel();
        if self.commands.try_send(control::Command::Dump(tx)).is_err() {
            return busy();
        }
        match rx.await {
            Ok(tables) => {
                let tables: Vec<state::Table> =
                    tables.into_iter().map(state::Table::from).collect();
                json(&tables)
            }
            Err(_) => busy(),
        }
    }

    /// Decisions on what the query `about=TEXT` names.
    async fn explain(&self, query: &str) -> response::BoxedResponse {
        let about = query.strip_prefix("about=").unwrap_or_default().to_owned();
        let (tx, rx) = oneshot::channel();
        if self.commands.try_send(control::Command::Explain(about, tx)).is_err() {
            return busy();
        }
        match rx.await {
            Ok(table) => json(&state::Table::from(table)),
            Err(_) => busy(),
        }
    }

    fn drain(&self) -> response::BoxedResponse {
        match self.commands.try_send(control::Command::Input(input::Input::Drain)) {
            Ok(()) => plain(StatusCode::ACCEPTED, "draining\n".to_owned()),
            Err(_) => busy(),
        }
    }
}

fn busy() -> response::BoxedResponse {
    plain(StatusCode::SERVICE_UNAVAILABLE, format!("{}\n", control::InboxFull))
}

fn plain(code: StatusCode, text: String) -> response::BoxedResponse {
    Response::build(code)
        .insert_header((header::CONTENT_TYPE, "text/plain; charset=utf-8"))
        .body(text)
        .map_into_boxed_body()
}

fn json<T: serde::Serialize>(value: &T) -> Response<body::BoxBody> {
    Response::build(StatusCode::OK)
        .insert_header((header::CONTENT_TYPE, "application/json"))
        .body(response::to_json(value))
        .map_into_boxed_body()
}
