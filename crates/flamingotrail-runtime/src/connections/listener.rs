//! Accepts connections for a listener, one at a time.

use std::cell;
use std::io;
use std::net;
use std::time;

use crate::connections;
use crate::connections::limits;
use crate::connections::unsent;
use crate::http1;

/// Delay after a failed accept: the process may have run out of file descriptors.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(20);
/// The kernel makes the buffer of a socket larger by this factor than it is told.
const KERNEL_FACTOR: usize = 2;
/// Minimum time between two log lines on failed accepts.
const LINE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Binds `address`. The kernel holds a limited number of unread and unsent bytes of each connection: they
/// count as memory of the process. Peers send little that waits, and their records are not to be slowed down.
///
/// # Errors
///
/// Fails if `address` can't be bound.
pub fn bind(
    address: net::SocketAddr,
    connections: &connections::Connections,
    kind: limits::Listener,
) -> io::Result<net::TcpListener> {
    let listener = net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    if let Err(error) = unsent::limit(&listener, connections.limits().send_buffer_bytes) {
        log::warn!("event=socket_option_failed option=notsent_lowat error={error:?}");
    }
    if kind != limits::Listener::Peers {
        let bytes = connections.limits().receive_buffer_bytes / KERNEL_FACTOR;
        if let Err(error) = rustix::net::sockopt::set_socket_recv_buffer_size(&listener, bytes) {
            log::warn!("event=socket_option_failed option=rcvbuf error={error:?}");
        }
    }
    Ok(listener)
}

/// A bound address whose connections have rows in the table.
pub struct Listener {
    tcp: tokio::net::TcpListener,
    connections: connections::Connections,
    kind: limits::Listener,
    last_line: cell::Cell<Option<time::Instant>>,
}

impl Listener {
    /// Binds `address`.
    ///
    /// # Errors
    ///
    /// Fails if `address` can't be bound.
    pub async fn bind(
        address: net::SocketAddr,
        connections: connections::Connections,
        kind: limits::Listener,
    ) -> io::Result<Self> {
        let tcp = tokio::net::TcpListener::from_std(bind(address, &connections, kind)?)?;
        Ok(Listener { tcp, connections, kind, last_line: cell::Cell::new(None) })
    }

    /// Returns the next connection. Of those for which there is no place, some are returned to be refused,
    /// and the others are closed.
    pub async fn accept(&self) -> http1::Connection {
        loop {
            match self.tcp.accept().await {
                Ok((stream, _)) => {
                    if let Some(lease) = self.connections.open_or_refuse(self.kind).await {
                        return http1::Connection::new(stream, lease);
                    }
                }
                Err(error) => {
                    self.log_failure(&error);
                    actix_rt::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    fn log_failure(&self, error: &io::Error) {
        let now = time::Instant::now();
        let is_due = |last: time::Instant| now.duration_since(last) >= LINE_INTERVAL;
        if self.last_line.get().is_none_or(is_due) {
            self.last_line.set(Some(now));
            log::warn!("event=accept_failed error={:?}", error.to_string());
        }
    }
}
