//! Serves HTTP/1.1 connections with a handler, for the instance's own API and its admin server.

use std::future;
use std::rc;

use actix_http::body;
use actix_http::body::MessageBody as _;
use actix_http::ConnectionType;
use flamingotrail_adapter::configuration;
use futures_util::future as futures;

use crate::connections;
use crate::connections::limits as connection_limits;
use crate::connections::report;
use crate::http1;
use crate::response;

/// Handles the requests of a listener.
pub trait Handler {
    /// Responds to a request. `meter` counts what is held of the response.
    fn handle(
        &self,
        request: http1::ReceivedRequest,
        meter: connections::ResponseMeter,
    ) -> futures::LocalBoxFuture<'_, response::BoxedResponse>;

    /// Responds to a request that can't be received. `None` closes the connection without a response.
    fn refuse(&self, error: &http1::ReadError) -> Option<response::BoxedResponse>;
}

/// Connections of a listener, their limits and their handler.
#[derive(Clone)]
pub struct HttpServer {
    /// Connections of the process.
    pub connections: connections::Connections,
    /// Kind of the listener.
    pub kind: connection_limits::Listener,
    /// Limits of each request.
    pub limits: configuration::RequestLimits,
    /// Copies of a body that the handler makes.
    pub body_copies: usize,
    /// Handles the requests.
    pub handler: rc::Rc<dyn Handler>,
}

impl HttpServer {
    /// Serves a connection until it ends.
    pub async fn serve(&self, stream: tokio::net::TcpStream) {
        let Some(lease) = self.connections.open_or_refuse(self.kind).await else { return };
        let is_surplus = lease.is_surplus();
        let connection = http1::Connection::new(stream, lease);
        let mut connection = connection.with_body_copies(self.body_copies);
        if is_surplus {
            return self.refuse(connection, &connections::NoRoom.into()).await;
        }
        while connection.wait_for_request(&self.limits).await.is_ok() {
            match connection.read_request(&self.limits).await {
                Ok(request) => {
                    let meter = connection.lease().response_meter();
                    let response = tokio::select! {
                        biased;
                        response = self.handler.handle(request, meter) => response,
                        () = connection.wait_for_disconnect() => return,
                    };
                    if write(&mut connection, response).await.is_err() {
                        return;
                    }
                    if !connection.keeps_alive() {
                        return connection.close().await;
                    }
                }
                Err(error) => {
                    if matches!(error, http1::ReadError::Status(_)) {
                        self.connections.report().count(report::Cause::Invalid, 1);
                    }
                    return self.refuse(connection, &error).await;
                }
            }
        }
    }

    /// Refuses a request that can't be received, and closes its connection.
    async fn refuse(&self, mut connection: http1::Connection, error: &http1::ReadError) {
        let Some(mut response) = self.handler.refuse(error) else { return };
        response.head_mut().set_connection_type(ConnectionType::Close);
        if write(&mut connection, response).await.is_ok() {
            connection.close().await;
        }
    }
}

/// Writes a response whose body is complete or a stream.
async fn write(
    connection: &mut http1::Connection,
    response: response::BoxedResponse,
) -> std::io::Result<()> {
    let (head, response_body) = response.into_parts();
    let size = response_body.size();
    let mut stream = match response_body.try_into_bytes() {
        Ok(bytes) => {
            let size = body::BodySize::Sized(bytes.len() as u64);
            return connection.write_head(head, size, Some(&bytes)).await;
        }
        Err(stream) => Box::pin(stream),
    };
    connection.write_head(head, size, None).await?;
    loop {
        let piece = tokio::select! {
            biased;
            piece = future::poll_fn(|cx| stream.as_mut().poll_next(cx)) => piece,
            () = connection.wait_for_disconnect() => {
                return Err(std::io::ErrorKind::ConnectionAborted.into());
            }
        };
        match piece {
            Some(Ok(piece)) => connection.write_chunk(Some(piece)).await?,
            Some(Err(error)) => return Err(std::io::Error::other(error.to_string())),
            None => return connection.write_chunk(None).await,
        }
    }
}
