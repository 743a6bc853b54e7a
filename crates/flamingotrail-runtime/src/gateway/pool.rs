//! Idle connections to endpoints.

use std::cell;
use std::collections;
use std::net;
use std::rc;
use std::time;

use flamingotrail_adapter::connection;
use flamingotrail_gateway::ids;

/// Idle connections kept to one endpoint at most.
const MAX_IDLE: usize = 16;
/// Time for which a connection is kept where the endpoint tells no timeout.
const DEFAULT_KEEP_ALIVE: time::Duration = time::Duration::from_secs(4);
/// Part of the endpoint's timeout for which an idle connection is used, in hundredths: the rest is
/// for clocks and for the request's way.
const KEEP_ALIVE_USED: u32 = 70;
/// Longest idle time before a request that may run once only: endpoints at times drop idle
/// connections early, and the request would be lost.
const MAX_IDLE_ONCE: time::Duration = time::Duration::from_millis(3_000);

/// Idle connections by endpoint.
#[derive(Clone, Default)]
pub struct Pool {
    rows:
        rc::Rc<cell::RefCell<collections::BTreeMap<ids::EndpointId, Vec<connection::Connection>>>>,
}

impl Pool {
    /// An idle connection to `endpoint` that can surely be used, the latest first.
    pub fn take(
        &self,
        endpoint: &ids::EndpointId,
        repeatable: bool,
    ) -> Option<connection::Connection> {
        let mut rows = self.rows.borrow_mut();
        let idle = rows.get_mut(endpoint)?;
        let now = time::Instant::now();
        while let Some(channel) = idle.pop() {
            if is_fresh(&channel, now, repeatable) && channel.is_reusable() {
                return Some(channel);
            }
        }
        None
    }

    /// Takes back a connection.
    pub fn put(&self, endpoint: &ids::EndpointId, channel: connection::Connection) {
        if !channel.is_reusable() {
            return;
        }
        let mut rows = self.rows.borrow_mut();
        let idle = rows.entry(endpoint.clone()).or_default();
        if idle.len() == MAX_IDLE {
            idle.remove(0);
        }
        idle.push(channel);
    }

    /// Drops the connections that have been idle for too long.
    pub fn remove_expired(&self) {
        let now = time::Instant::now();
        self.rows.borrow_mut().retain(|_, idle| {
            idle.retain(|channel| is_fresh(channel, now, true) && channel.is_reusable());
            !idle.is_empty()
        });
    }
}

fn is_fresh(channel: &connection::Connection, now: time::Instant, repeatable: bool) -> bool {
    let kept = channel.keep_alive_timeout.unwrap_or(DEFAULT_KEEP_ALIVE) * KEEP_ALIVE_USED / 100;
    let allowed = if repeatable { kept } else { kept.min(MAX_IDLE_ONCE) };
    now.duration_since(channel.idle_since) < allowed
}

/// Connects to `address`.
///
/// # Errors
///
/// No connection within `within`.
pub async fn connect(
    address: &str,
    within: time::Duration,
) -> Result<connection::Connection, connection::ConnectionError> {
    let address: net::SocketAddr = address
        .parse()
        .map_err(|_| connection::ConnectionError::Malformed("the endpoint's address is wrong"))?;
    connection::Connection::connect(address, within).await
}
