//! HTTP server for monitoring: the load balancer's readiness checks, and the metrics.

use std::io;
use std::net;

use actix_http::body;
use actix_http::StatusCode;
use bytes::Bytes;
use flamingotrail_adapter::configuration;

use crate::connections;
use crate::connections::limits as connection_limits;
use crate::connections::listener;
use crate::http1;

/// Largest body of a request, in bytes. Requests for monitoring have none.
const MAX_BODY_BYTES: usize = 1024;

/// Handles requests by path.
pub trait Handler {
    /// Returns the status and body of the response for `path`.
    fn handle(&self, path: &str) -> (StatusCode, Bytes);
}

/// Serves requests at `address` with `handler` until the process exits.
///
/// # Errors
///
/// Fails if `address` can't be bound.
pub async fn listen(
    address: net::SocketAddr,
    handler: impl Handler + Clone + 'static,
    connections: connections::Connections,
    kind: connection_limits::Listener,
) -> io::Result<()> {
    let listener = listener::Listener::bind(address, connections, kind).await?;
    actix_rt::spawn(async move {
        loop {
            actix_rt::spawn(serve_connection(listener.accept().await, handler.clone()));
        }
    });
    Ok(())
}

async fn serve_connection(mut connection: http1::Connection, handler: impl Handler) {
    let limits = configuration::RequestLimits {
        max_body_bytes: MAX_BODY_BYTES,
        ..configuration::RequestLimits::default()
    };
    while connection.wait_for_request(&limits).await.is_ok() {
        let Ok(incoming) = connection.read_request(&limits).await else { return };
        let (status, text) = handler.handle(incoming.request.path());
        let size = body::BodySize::Sized(text.len() as u64);
        let written =
            connection.write_head(http1::empty_response(status, false), size, Some(&text)).await;
        if written.is_err() || !connection.keeps_alive() {
            return;
        }
    }
}
