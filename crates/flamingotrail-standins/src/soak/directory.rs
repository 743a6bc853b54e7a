//! Where callers find gateways, as the platform's balancer tells them.

use std::collections;
use std::net;
use std::sync;

/// One start of a gateway's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Incarnation {
    /// The gateway.
    pub gateway: usize,
    /// Number of the start.
    pub number: u32,
    /// Address for callers.
    pub address: net::SocketAddr,
}

#[derive(Default)]
struct State {
    open: collections::BTreeMap<usize, Incarnation>,
    /// The newest further route that each incarnation was seen to serve.
    newest_served_route: collections::BTreeMap<Incarnation, u64>,
    /// Further routes that were published.
    published: u64,
}

/// The directory that all callers share.
#[derive(Clone, Default)]
pub struct Directory {
    state: sync::Arc<sync::Mutex<State>>,
}

impl Directory {
    /// Lets new connections go to a incarnation.
    pub fn add(&self, incarnation: Incarnation) {
        self.lock().open.insert(incarnation.gateway, incarnation);
    }

    /// Lets no new connection go to a gateway.
    pub fn remove(&self, gateway: usize) {
        self.lock().open.remove(&gateway);
    }

    /// The incarnation that `point` selects among those that take new connections.
    pub fn select(&self, point: u64) -> Option<Incarnation> {
        let state = self.lock();
        let count = u64::try_from(state.open.len()).ok().filter(|count| *count > 0)?;
        let at = usize::try_from(point % count).ok()?;
        state.open.values().nth(at).copied()
    }

    /// Takes the publication of a further route.
    pub fn set_published_routes(&self, routes: u64) {
        self.lock().published = routes;
    }

    /// Further routes that were published.
    pub fn published_routes(&self) -> u64 {
        self.lock().published
    }

    /// The newest further route that `incarnation` was seen to serve.
    pub fn newest_served_route(&self, incarnation: Incarnation) -> u64 {
        self.lock().newest_served_route.get(&incarnation).copied().unwrap_or(0)
    }

    /// Takes that `incarnation` serves a further route.
    pub fn record_served_route(&self, incarnation: Incarnation, route: u64) {
        let mut state = self.lock();
        let newest = state.newest_served_route.entry(incarnation).or_default();
        *newest = (*newest).max(route);
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
