//! Directory of the gateways that accept new connections. It stands in for the platform's load
//! balancer.

use std::collections;
use std::net;
use std::sync;

/// One run of a gateway's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Incarnation {
    /// Index of the gateway.
    pub gateway: usize,
    /// How many times the gateway has been started, including this one.
    pub number: u32,
    /// Address for callers.
    pub address: net::SocketAddr,
}

#[derive(Default)]
struct State {
    /// Incarnations that accept new connections, by gateway.
    available: collections::BTreeMap<usize, Incarnation>,
    /// Newest additional route that each incarnation has served.
    newest_served_route: collections::BTreeMap<Incarnation, u64>,
    /// Number of additional routes published so far.
    published_routes: u64,
}

/// The directory; clones share their state.
#[derive(Clone, Default)]
pub struct Directory {
    state: sync::Arc<sync::Mutex<State>>,
}

impl Directory {
    /// Routes new connections to `incarnation`.
    pub fn add(&self, incarnation: Incarnation) {
        self.lock().available.insert(incarnation.gateway, incarnation);
    }

    /// Stops new connections to `gateway`.
    pub fn remove(&self, gateway: usize) {
        self.lock().available.remove(&gateway);
    }

    /// Selects one of the available incarnations by a random number.
    pub fn select(&self, random: u64) -> Option<Incarnation> {
        let state = self.lock();
        let count = u64::try_from(state.available.len()).ok().filter(|count| *count > 0)?;
        let index = usize::try_from(random % count).ok()?;
        state.available.values().nth(index).copied()
    }

    /// Sets the number of additional routes published so far.
    pub fn set_published_routes(&self, routes: u64) {
        self.lock().published_routes = routes;
    }

    /// Number of additional routes published so far.
    pub fn published_routes(&self) -> u64 {
        self.lock().published_routes
    }

    /// Newest additional route that `incarnation` has served, or 0.
    pub fn newest_served_route(&self, incarnation: Incarnation) -> u64 {
        self.lock().newest_served_route.get(&incarnation).copied().unwrap_or(0)
    }

    /// Records that `incarnation` has served an additional route.
    pub fn record_served_route(&self, incarnation: Incarnation, route: u64) {
        let mut state = self.lock();
        let newest = state.newest_served_route.entry(incarnation).or_default();
        *newest = (*newest).max(route);
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
