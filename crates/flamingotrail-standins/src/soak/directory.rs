//! Where callers find gateways, as the platform's balancer tells them.

use std::collections;
use std::net;
use std::sync;

/// One start of a gateway's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Boot {
    /// The gateway.
    pub gateway: usize,
    /// Number of the start.
    pub number: u32,
    /// Address for callers.
    pub address: net::SocketAddr,
}

#[derive(Default)]
struct State {
    open: collections::BTreeMap<usize, Boot>,
    /// The newest further route that each boot was seen to serve.
    newest_route: collections::BTreeMap<Boot, u64>,
    /// Further routes that were published.
    published: u64,
}

/// The directory that all callers share.
#[derive(Clone, Default)]
pub struct Directory {
    state: sync::Arc<sync::Mutex<State>>,
}

impl Directory {
    /// Lets new connections go to a boot.
    pub fn admit(&self, boot: Boot) {
        self.lock().open.insert(boot.gateway, boot);
    }

    /// Lets no new connection go to a gateway.
    pub fn withdraw(&self, gateway: usize) {
        self.lock().open.remove(&gateway);
    }

    /// The boot that `point` selects among those that take new connections.
    pub fn pick(&self, point: u64) -> Option<Boot> {
        let state = self.lock();
        let count = u64::try_from(state.open.len()).ok().filter(|count| *count > 0)?;
        let at = usize::try_from(point % count).ok()?;
        state.open.values().nth(at).copied()
    }

    /// Takes the publication of a further route.
    pub fn publish(&self, routes: u64) {
        self.lock().published = routes;
    }

    /// Further routes that were published.
    pub fn published(&self) -> u64 {
        self.lock().published
    }

    /// The newest further route that `boot` was seen to serve.
    pub fn newest_route(&self, boot: Boot) -> u64 {
        self.lock().newest_route.get(&boot).copied().unwrap_or(0)
    }

    /// Takes that `boot` serves a further route.
    pub fn serves_route(&self, boot: Boot, route: u64) {
        let mut state = self.lock();
        let newest = state.newest_route.entry(boot).or_default();
        *newest = (*newest).max(route);
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
