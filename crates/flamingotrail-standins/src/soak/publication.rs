//! The configuration that operators publish during a run: routes are added, and keys are exchanged.

use crate::fleet::platform;
use crate::fleet::store;
use crate::soak::keys;

/// The published configuration.
pub struct Publication {
    store: store::Store,
    version: u64,
    /// Number of additional routes published so far.
    routes: u64,
    /// Keys of the workspaces.
    pub keys: keys::KeyRing,
}

impl Publication {
    /// Publishes the first configuration.
    pub fn new(store: store::Store) -> Self {
        let mut publication =
            Publication { store, version: 0, routes: 0, keys: keys::KeyRing::new() };
        publication.publish();
        publication
    }

    /// Publishes a configuration with one more route; returns the number of additional routes.
    pub fn add_route(&mut self) -> u64 {
        self.routes += 1;
        self.publish();
        self.routes
    }

    /// Publishes a configuration with another temporary key for `workspace`.
    pub fn rotate_key(&mut self, workspace: usize) {
        self.keys.rotate(workspace);
        self.publish();
    }

    fn publish(&mut self) {
        self.version += 1;
        let configuration = platform::configuration(self.version, self.routes);
        let configuration = platform::with_workspaces(&configuration, &self.keys.valid());
        self.store.set("keyed.op", "config", &configuration);
    }
}
