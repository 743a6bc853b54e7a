//! Pool of idle connections to endpoints and other gateways.

use std::cell;
use std::collections;
use std::net;
use std::rc;
use std::time;

use flamingotrail_adapter::connection;
use flamingotrail_adapter::idle;
use flamingotrail_gateway::ids;

/// Maximum number of idle connections per endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 16;
/// Keep-alive timeout assumed if the endpoint announces none.
const DEFAULT_KEEP_ALIVE: time::Duration = time::Duration::from_secs(4);
/// Percentage of the endpoint's keep-alive timeout during which an idle connection is used. The
/// rest allows for clock differences and for the transit time of the request.
const KEEP_ALIVE_USED_PERCENT: u32 = 70;
/// Longest idle time of a connection used for a request that must not be sent twice. Endpoints
/// sometimes close idle connections early, and the request would be lost.
const MAX_IDLE_TIME_NON_REPEATABLE: time::Duration = time::Duration::from_millis(3_000);

/// Idle connections by endpoint. Clones share the same connections.
#[derive(Clone, Default)]
pub struct Pool {
    connections:
        rc::Rc<cell::RefCell<collections::BTreeMap<ids::EndpointId, idle::IdleConnections>>>,
}

impl Pool {
    /// Takes the most recently used of the idle connections to `endpoint` that are safe to reuse.
    /// Requests that are not `repeatable` get a connection only if it was idle for a short time.
    pub fn take(
        &self,
        endpoint: &ids::EndpointId,
        repeatable: bool,
    ) -> Option<connection::Connection> {
        let mut connections = self.connections.borrow_mut();
        let now = time::Instant::now();
        connections.get_mut(endpoint)?.take(|connection| is_fresh(connection, now, repeatable))
    }

    /// Returns a connection to the pool. A full pool drops the oldest connection of the endpoint.
    pub fn put(&self, endpoint: &ids::EndpointId, connection: connection::Connection) {
        let mut connections = self.connections.borrow_mut();
        let idle = connections.entry(endpoint.clone()).or_default();
        idle.put(connection, MAX_IDLE_PER_ENDPOINT);
    }

    /// Drops the connections to `endpoint` that have not responded since `sent_at`, when a request was
    /// sent that got no response.
    pub fn discredit(&self, endpoint: &ids::EndpointId, sent_at: time::Instant) {
        if let Some(idle) = self.connections.borrow_mut().get_mut(endpoint) {
            idle.discredit(sent_at);
        }
    }

    /// Drops connections that have been idle for too long.
    pub fn remove_expired(&self) {
        let now = time::Instant::now();
        self.connections.borrow_mut().retain(|_, idle| {
            idle.retain(|connection| is_fresh(connection, now, true));
            !idle.is_empty()
        });
    }
}

fn is_fresh(connection: &connection::Connection, now: time::Instant, repeatable: bool) -> bool {
    let usable_time =
        connection.keep_alive_timeout.unwrap_or(DEFAULT_KEEP_ALIVE) * KEEP_ALIVE_USED_PERCENT / 100;
    let max_idle_time =
        if repeatable { usable_time } else { usable_time.min(MAX_IDLE_TIME_NON_REPEATABLE) };
    now.duration_since(connection.idle_since) < max_idle_time
}

/// Connects to `address`.
///
/// # Errors
///
/// Fails if `address` is malformed or no connection is established within `timeout`.
pub async fn connect(
    address: &str,
    timeout: time::Duration,
) -> Result<connection::Connection, connection::ConnectionError> {
    let address: net::SocketAddr = address
        .parse()
        .map_err(|_| connection::ConnectionError::Malformed("malformed endpoint address"))?;
    connection::Connection::connect(address, timeout).await
}
