//! Short questions over HTTP: the balancer's readiness, and the metrics.

use std::io;
use std::net;

use actix_http::body;
use actix_http::StatusCode;
use bytes::Bytes;
use flamingotrail_adapter::configuration;

use crate::gateway::http1;

/// Answers questions by path.
pub trait Handler {
    /// The status and text for a path.
    fn handle(&self, path: &str) -> (StatusCode, Bytes);
}

/// Serves `handler` at `address` for as long as the process lives.
///
/// # Errors
///
/// An address that can't be used.
pub async fn listen(
    address: net::SocketAddr,
    handler: impl Handler + Clone + 'static,
) -> io::Result<()> {
    let listener = tokio::net::TcpListener::bind(address).await?;
    actix_rt::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    actix_rt::spawn(serve(http1::Connection::new(stream), handler.clone()));
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

async fn serve(mut connection: http1::Connection, handler: impl Handler) {
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
