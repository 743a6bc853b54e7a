//! Callers' connections.

use std::cell;
use std::io;
use std::net;
use std::rc;
use std::time;

use actix_http::body;
use actix_http::header;
use actix_http::ConnectionType;
use actix_http::Response;
use actix_http::StatusCode;
use bytes::Bytes;
use flamingotrail_adapter::configuration;
use flamingotrail_adapter::connection;
use flamingotrail_adapter::protocol;
use flamingotrail_adapter::requests;
use flamingotrail_adapter::responses;
use flamingotrail_gateway::ids;
use flamingotrail_gateway::input;
use flamingotrail_gateway::output;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::clock;
use crate::gateway::control;
use crate::gateway::http1;
use crate::gateway::metrics;
use crate::gateway::pending_calls;

/// Pause after a failed accept, which may be for want of descriptors.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(20);
/// When to come back where the control thread takes nothing more.
const FULL_PAUSE: time::Duration = time::Duration::from_millis(200);

/// How far a graceful shutdown is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownStage {
    /// Callers are served.
    Serving,
    /// Callers are served, and each answer ends its connection.
    Closing,
    /// Connections without a request are closed.
    Closed,
}

/// What callers' connections share.
#[derive(Clone)]
pub struct CallerServer {
    inputs: control::InputSender,
    calls: pending_calls::PendingCalls,
    clock: clock::Clock,
    next: rc::Rc<cell::Cell<u64>>,
    limits: rc::Rc<cell::Cell<configuration::RequestLimits>>,
    stage: watch::Receiver<ShutdownStage>,
    metrics: rc::Rc<metrics::Metrics>,
}

impl CallerServer {
    /// Callers' connections that hand their requests to `inputs`.
    pub fn new(
        inputs: control::InputSender,
        calls: pending_calls::PendingCalls,
        clock: clock::Clock,
        limits: rc::Rc<cell::Cell<configuration::RequestLimits>>,
        stage: watch::Receiver<ShutdownStage>,
        metrics: rc::Rc<metrics::Metrics>,
    ) -> Self {
        CallerServer { inputs, calls, clock, next: rc::Rc::default(), limits, stage, metrics }
    }

    /// Accepts callers at `address` until the last stage of a shutdown.
    ///
    /// # Errors
    ///
    /// An address that can't be used.
    pub async fn listen(self, address: net::SocketAddr) -> io::Result<()> {
        let listener = tokio::net::TcpListener::bind(address).await?;
        let mut stage = self.stage.clone();
        actix_rt::spawn(async move {
            loop {
                tokio::select! {
                    accepted = listener.accept() => self.accepted(accepted).await,
                    _ = stage.wait_for(|stage| *stage == ShutdownStage::Closed) => return,
                }
            }
        });
        Ok(())
    }

    async fn accepted(&self, accepted: io::Result<(tokio::net::TcpStream, net::SocketAddr)>) {
        match accepted {
            Ok((stream, _)) => {
                actix_rt::spawn(self.clone().serve(http1::Connection::new(stream)));
            }
            Err(error) => {
                log::warn!("event=accept_failed error={:?}", error.to_string());
                actix_rt::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }

    async fn serve(mut self, mut connection: http1::Connection) {
        loop {
            let limits = self.limits.get();
            let waited = tokio::select! {
                waited = connection.wait_for_request(&limits) => waited,
                _ = self.stage.wait_for(|stage| *stage == ShutdownStage::Closed) => return,
            };
            if waited.is_err() {
                return;
            }
            let incoming = match connection.read_request(&limits).await {
                Ok(incoming) => incoming,
                Err(http1::ReadError::Status(status)) => {
                    log::info!("event=request_rejected status={}", status.as_u16());
                    let size = body::BodySize::Sized(0);
                    let answer = http1::empty_response(status, true);
                    if connection.write_head(answer, size, None).await.is_ok() {
                        connection.close().await;
                    }
                    return;
                }
                Err(error) => {
                    log::debug!("event=caller_broke_off error={:?}", error.to_string());
                    return;
                }
            };
            if !self.answer(&mut connection, incoming).await {
                connection.close().await;
                return;
            }
        }
    }

    /// Serves one request: whether the connection may take another one.
    async fn answer(
        &self,
        connection: &mut http1::Connection,
        incoming: http1::ReceivedRequest,
    ) -> bool {
        let call = ids::CallId(self.next.get());
        self.next.set(call.0 + 1);
        let received = self.clock.timestamp_at(incoming.received_at);
        let arrival = requests::decode(incoming.request.head(), call, received, incoming.body);
        let mut rx = self.calls.insert(call, rc::Rc::new(incoming.request));
        let arrived = input::Input::Arrived(Box::new(arrival));
        if self.inputs.try_send(arrived).is_err() {
            self.calls.remove(call);
            log::warn!("event=inbox_full call={call}");
            let refusal = output::Refusal {
                reason: output::Reason::Unavailable,
                retry_after: Some(FULL_PAUSE),
            };
            return self.write_refusal(connection, refusal).await.unwrap_or(false);
        }
        let started = time::Instant::now();
        let written = self.write(connection, &mut rx).await;
        self.metrics.record_response(connection.status(), started.elapsed());
        self.calls.remove(call);
        match written {
            Ok(keep) => {
                self.inputs.send(input::Input::Delivered(call));
                keep
            }
            Err(_) => {
                self.inputs.send(input::Input::Disconnected(call));
                false
            }
        }
    }

    async fn write(
        &self,
        connection: &mut http1::Connection,
        rx: &mut mpsc::UnboundedReceiver<pending_calls::ResponsePart>,
    ) -> io::Result<bool> {
        loop {
            let reply = tokio::select! {
                biased;
                reply = rx.recv() => reply,
                () = connection.wait_for_disconnect() => {
                    return Err(io::ErrorKind::ConnectionAborted.into());
                }
            };
            match reply {
                Some(pending_calls::ResponsePart::Complete(head, body)) => {
                    return self.write_whole(connection, &head, &body).await;
                }
                Some(pending_calls::ResponsePart::StreamHead(head)) => {
                    let response = self.response(&head)?;
                    connection.write_head(response, body::BodySize::Stream, None).await?;
                }
                Some(pending_calls::ResponsePart::StreamData(data)) => {
                    connection.write_chunk(Some(data)).await?
                }
                Some(pending_calls::ResponsePart::StreamEnd) => {
                    connection.write_chunk(None).await?;
                    return Ok(self.keeps_alive(connection));
                }
                Some(pending_calls::ResponsePart::Refusal(refusal)) => {
                    return self.write_refusal(connection, refusal).await;
                }
                Some(pending_calls::ResponsePart::Abort) | None => {
                    return Err(io::ErrorKind::ConnectionAborted.into());
                }
            }
        }
    }

    async fn write_whole(
        &self,
        connection: &mut http1::Connection,
        head: &connection::ResponseHead,
        body: &Bytes,
    ) -> io::Result<bool> {
        let response = self.response(head)?;
        let size = body::BodySize::Sized(body.len() as u64);
        connection.write_head(response, size, Some(body)).await?;
        Ok(self.keeps_alive(connection))
    }

    async fn write_refusal(
        &self,
        connection: &mut http1::Connection,
        refusal: output::Refusal,
    ) -> io::Result<bool> {
        let mut response = http1::empty_response(status(refusal.reason), self.is_closing());
        if let Some(span) = refusal.retry_after {
            let value = header::HeaderValue::from_str(&format!("{:.3}", span.as_secs_f64()));
            let value = value.map_err(io::Error::other)?;
            response
                .headers_mut()
                .insert(header::HeaderName::from_static(protocol::RETRY_AFTER), value);
        }
        connection.write_head(response, body::BodySize::Sized(0), None).await?;
        Ok(self.keeps_alive(connection))
    }

    fn response(&self, head: &connection::ResponseHead) -> io::Result<Response<()>> {
        let status = StatusCode::from_u16(head.status).map_err(io::Error::other)?;
        let mut response = Response::with_body(status, ());
        if self.is_closing() {
            response.head_mut().set_connection_type(ConnectionType::Close);
        }
        for (name, value) in responses::forwarded_headers(head) {
            let name = header::HeaderName::from_bytes(name.as_bytes()).map_err(io::Error::other)?;
            let value = header::HeaderValue::from_str(value).map_err(io::Error::other)?;
            response.headers_mut().append(name, value);
        }
        Ok(response)
    }

    fn is_closing(&self) -> bool {
        *self.stage.borrow() != ShutdownStage::Serving
    }

    fn keeps_alive(&self, connection: &http1::Connection) -> bool {
        connection.keeps_alive() && !self.is_closing()
    }
}

fn status(reason: output::Reason) -> StatusCode {
    match reason {
        output::Reason::NoRoute | output::Reason::NoSuchTurn => StatusCode::NOT_FOUND,
        output::Reason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        output::Reason::BudgetSpent => StatusCode::PAYMENT_REQUIRED,
        output::Reason::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
        output::Reason::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        output::Reason::Lost => StatusCode::BAD_GATEWAY,
    }
}
