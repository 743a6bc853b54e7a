//! HTTP server for monitoring: the load balancer's readiness checks, and the metrics.

use std::io;
use std::net;

use actix_http::body;
use actix_http::StatusCode;
use bytes::Bytes;
use flamingotrail_adapter::configuration;

use crate::gateway::http1;

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
) -> io::Result<()> {
    let listener = tokio::net::TcpListener::bind(address).await?;
    actix_rt::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    actix_rt::spawn(serve_connection(
                        http1::Connection::new(stream),
                        handler.clone(),
                    ));
                }
                Err(error) => {
                    log::warn!("event=accept_failed error={:?}", error.to_string());
                    actix_rt::time::sleep(std::time::Duration::from_millis(100)).await;
                }
            }
        }
    });
    Ok(())
}

async fn serve_connection(mut connection: http1::Connection, handler: impl Handler) {
    let limits = configuration::RequestLimits::default();
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
