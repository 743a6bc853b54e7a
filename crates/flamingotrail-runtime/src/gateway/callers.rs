//! Caller connections: reads requests and writes their responses over HTTP/1.1.

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
use crate::connections;
use crate::connections::limits as connection_limits;
use crate::connections::listener;
use crate::connections::report;
use crate::gateway::control;
use crate::gateway::metrics;
use crate::gateway::pending_calls;
use crate::http1;

/// `Retry-After` of refusals while there is no room for a request.
const NO_ROOM_RETRY_AFTER: time::Duration = time::Duration::from_millis(200);

/// Progress of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownStage {
    /// Requests are served.
    Serving,
    /// Requests are served, and each response closes its connection.
    Closing,
    /// No connections are accepted, and those without a request are closed.
    Closed,
    /// Requests are refused; only those that were being received still come.
    Stopped,
}

/// Advances a shutdown to `stage`, unless it is further already.
pub fn advance_shutdown(tx: &watch::Sender<ShutdownStage>, stage: ShutdownStage) {
    tx.send_modify(|current| *current = stage.max(*current));
}

/// Accepts caller connections and serves their requests. Clones share one state.
#[derive(Clone)]
pub struct CallerServer {
    inputs: control::InputSender,
    calls: pending_calls::PendingCalls,
    clock: clock::Clock,
    next_call: rc::Rc<cell::Cell<u64>>,
    limits: rc::Rc<cell::Cell<configuration::RequestLimits>>,
    stage: watch::Receiver<ShutdownStage>,
    metrics: rc::Rc<metrics::Metrics>,
    connections: connections::Connections,
}

impl CallerServer {
    /// Creates a server that passes requests to the control thread through `inputs`.
    pub fn new(
        inputs: control::InputSender,
        calls: pending_calls::PendingCalls,
        clock: clock::Clock,
        limits: rc::Rc<cell::Cell<configuration::RequestLimits>>,
        stage: watch::Receiver<ShutdownStage>,
        metrics: rc::Rc<metrics::Metrics>,
        connections: connections::Connections,
    ) -> Self {
        CallerServer {
            inputs,
            calls,
            clock,
            next_call: rc::Rc::default(),
            limits,
            stage,
            metrics,
            connections,
        }
    }

    /// Accepts connections at `address` until the last stage of a shutdown.
    ///
    /// # Errors
    ///
    /// Fails if `address` can't be bound.
    pub async fn listen(self, address: net::SocketAddr) -> io::Result<()> {
        let kind = connection_limits::Listener::Callers;
        let listener = listener::Listener::bind(address, self.connections.clone(), kind).await?;
        let mut stage = self.stage.clone();
        actix_rt::spawn(async move {
            loop {
                tokio::select! {
                    biased;
                    connection = listener.accept() => {
                        actix_rt::spawn(self.clone().serve_connection(connection));
                    }
                    _ = stage.wait_for(|stage| *stage >= ShutdownStage::Closed) => return,
                }
            }
        });
        Ok(())
    }

    async fn serve_connection(mut self, mut connection: http1::Connection) {
        if connection.lease().is_surplus() {
            return write_and_close(connection, no_room_response()).await;
        }
        loop {
            let limits = self.limits.get();
            if !wait_for_request(&mut connection, &limits, &mut self.stage).await {
                return;
            }
            let incoming = match connection.read_request(&limits).await {
                Ok(incoming) => incoming,
                Err(http1::ReadError::Status(status)) => {
                    self.connections.report().count(report::Cause::Invalid, 1);
                    let response = http1::empty_response(status, true);
                    return write_and_close(connection, response).await;
                }
                Err(http1::ReadError::NoRoom(_)) => {
                    return write_and_close(connection, no_room_response()).await;
                }
                Err(error) => {
                    log::debug!("event=request_incomplete error={:?}", error.to_string());
                    return;
                }
            };
            if !self.serve_request(&mut connection, incoming).await {
                connection.close().await;
                return;
            }
        }
    }

    /// Serves one request. Returns whether the connection may be used for another one.
    async fn serve_request(
        &self,
        connection: &mut http1::Connection,
        incoming: http1::ReceivedRequest,
    ) -> bool {
        if *self.stage.borrow() == ShutdownStage::Stopped {
            return self.write_unavailable(connection).await;
        }
        let call = ids::CallId(self.next_call.get());
        self.next_call.set(call.0 + 1);
        let received = self.clock.timestamp_at(incoming.received_at);
        let arrival = requests::decode(incoming.request.head(), call, received, incoming.body);
        let meter = connection.lease().response_meter();
        let mut rx = self.calls.insert(call, rc::Rc::new(incoming.request), meter);
        let arrived = input::Input::Arrived(Box::new(arrival));
        if self.inputs.try_send(arrived).is_err() {
            self.calls.remove(call);
            self.connections.report().count(report::Cause::Inbox, 1);
            return self.write_unavailable(connection).await;
        }
        let started = time::Instant::now();
        let written = self.write_response(connection, &mut rx).await;
        self.metrics.record_response(connection.status(), started.elapsed());
        self.calls.remove(call);
        match written {
            Ok(keep_alive) => {
                self.inputs.send(input::Input::Delivered(call));
                keep_alive
            }
            Err(_) => {
                self.inputs.send(input::Input::Disconnected(call));
                false
            }
        }
    }

    /// Refuses a request that the control thread does not get. Returns whether the connection may be used for
    /// another one.
    async fn write_unavailable(&self, connection: &mut http1::Connection) -> bool {
        let refusal = output::Refusal {
            reason: output::Reason::Unavailable,
            retry_after: Some(NO_ROOM_RETRY_AFTER),
        };
        self.write_refusal(connection, refusal).await.unwrap_or(false)
    }

    async fn write_response(
        &self,
        connection: &mut http1::Connection,
        rx: &mut mpsc::UnboundedReceiver<pending_calls::ResponsePart>,
    ) -> io::Result<bool> {
        loop {
            let part = tokio::select! {
                biased;
                part = rx.recv() => part,
                () = connection.wait_for_disconnect() => {
                    return Err(io::ErrorKind::ConnectionAborted.into())
                }
            };
            match part {
                Some(pending_calls::ResponsePart::Complete(head, body)) => {
                    return self.write_complete(connection, &head, &body).await;
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

    async fn write_complete(
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
        let mut response = http1::empty_response(refusal_status(refusal.reason), self.is_closing());
        if let Some(delay) = refusal.retry_after {
            set_retry_after(&mut response, delay)?;
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

/// Waits for the next request of a caller. Returns false if there is none before the connection or
/// the gateway closes. A request that has arrived is served also by a gateway that closes.
pub async fn wait_for_request(
    connection: &mut http1::Connection,
    limits: &configuration::RequestLimits,
    stage: &mut watch::Receiver<ShutdownStage>,
) -> bool {
    tokio::select! {
        biased;
        result = connection.wait_for_request(limits) => result.is_ok(),
        _ = stage.wait_for(|stage| *stage >= ShutdownStage::Closed) => false,
    }
}

/// The last response of a connection for whose request there is no room.
fn no_room_response() -> Response<()> {
    let mut response = http1::empty_response(StatusCode::SERVICE_UNAVAILABLE, true);
    if let Err(error) = set_retry_after(&mut response, NO_ROOM_RETRY_AFTER) {
        log::error!("event=header_invalid error={:?}", error.to_string());
    }
    response
}

fn set_retry_after(response: &mut Response<()>, delay: time::Duration) -> io::Result<()> {
    let value = header::HeaderValue::from_str(&format!("{:.3}", delay.as_secs_f64()));
    let value = value.map_err(io::Error::other)?;
    response.headers_mut().insert(header::HeaderName::from_static(protocol::RETRY_AFTER), value);
    Ok(())
}

/// Writes the last response of a connection, which has no body.
async fn write_and_close(mut connection: http1::Connection, response: Response<()>) {
    if connection.write_head(response, body::BodySize::Sized(0), None).await.is_ok() {
        connection.close().await;
    }
}

fn refusal_status(reason: output::Reason) -> StatusCode {
    match reason {
        output::Reason::NoRoute | output::Reason::NoSuchTurn => StatusCode::NOT_FOUND,
        output::Reason::Unauthorized => StatusCode::UNAUTHORIZED,
        output::Reason::OverAllowance => StatusCode::TOO_MANY_REQUESTS,
        output::Reason::InvalidResume => StatusCode::BAD_REQUEST,
        output::Reason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        output::Reason::BudgetSpent => StatusCode::PAYMENT_REQUIRED,
        output::Reason::Unavailable | output::Reason::Quarantined => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        output::Reason::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        output::Reason::Lost => StatusCode::BAD_GATEWAY,
    }
}
