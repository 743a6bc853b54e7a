//! The smallest fleet: a store, a model runner and a plain runner, for gateways that a test starts.

use std::io;
use std::net;
use std::path;
use std::thread;
use std::time;

use crate::fleet::gateways;
use crate::fleet::platform;
use crate::fleet::runner;
use crate::fleet::store;

/// Events in each response of the model runner.
pub const EVENTS_PER_RESPONSE: usize = 3;
/// Time between two polls of a condition.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Maximum number of polls.
const MAX_POLLS: u32 = 750;

/// The store and the runners that the gateways of a test use.
pub struct Fleet {
    /// The platform's store.
    pub store: store::Store,
    /// Address of the store.
    pub store_address: net::SocketAddr,
    /// The model runner.
    pub model: runner::Runner,
    /// The plain runner.
    pub plain: runner::Runner,
    /// Address of the plain runner.
    pub plain_address: net::SocketAddr,
    /// Folder of the gateways' settings and logs.
    pub folder: path::PathBuf,
}

/// Starts a fleet. `name` distinguishes its folder from those of other tests.
///
/// # Errors
///
/// Returns an error if no port is free.
pub fn start(name: &str) -> io::Result<Fleet> {
    let store = store::Store::new();
    let store_address = store.serve()?;
    let (model, plain) = (runner::Runner::new(), runner::Runner::new());
    let model_address = model.serve_model(EVENTS_PER_RESPONSE)?;
    let plain_address = plain.serve_plain()?;
    store.set("keyed.op", "config", &platform::configuration(3, 0));
    store.set("keyed.servers", "m-1", &platform::runner_entry("model", model_address));
    store.set("keyed.servers", "p-1", &platform::runner_entry("plain", plain_address));
    store.set("keyed.servers", "foreign", "{\"service\":7}");
    let folder = std::env::temp_dir().join(format!("flamingotrail-{name}-{}", std::process::id()));
    Ok(Fleet { store, store_address, model, plain, plain_address, folder })
}

/// Path of the gateway program.
pub fn program() -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../target/release/flamingotraild")
}

impl Fleet {
    /// Starts a gateway and waits until it is ready.
    ///
    /// # Panics
    ///
    /// Panics if it can't be started or does not become ready.
    pub fn start_gateway(&self, name: &str) -> gateways::Gateway {
        let gateway = gateways::start(&program(), &self.folder, name, self.store_address)
            .unwrap_or_else(|error| panic!("{error}; scripts/test builds the program"));
        assert!(gateway.wait_until_ready(), "the gateway did not become ready");
        gateway
    }

    /// Returns what the gateway `name` has logged so far; nothing before it has.
    pub fn log(&self, name: &str) -> String {
        let path = self.folder.join(format!("{name}.log"));
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// Waits until the store meets `condition`; returns false after 15 s.
    pub fn wait_until(&self, condition: impl Fn(&store::Store) -> bool) -> bool {
        (0..MAX_POLLS).any(|_| {
            if condition(&self.store) {
                return true;
            }
            thread::sleep(POLL_INTERVAL);
            false
        })
    }
}
