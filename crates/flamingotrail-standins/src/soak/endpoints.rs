//! The runners of a run, each behind a proxy, and their entries in the store.

use std::io;
use std::net;
use std::time;

use crate::fleet::platform;
use crate::fleet::runner;
use crate::fleet::store;
use crate::soak::callers;
use crate::soak::plan;
use crate::soak::proxy;

/// Delay before a response, or before each chunk of a model runner's response.
const RUNNER_DELAY: time::Duration = time::Duration::from_millis(15);

/// Starts the runners and lists them in `store`; returns them with their proxies.
///
/// # Errors
///
/// Returns an error if no port is free.
pub fn start(store: &store::Store) -> io::Result<(Vec<runner::Runner>, Vec<proxy::Proxy>)> {
    let (mut runners, mut links) = (Vec::new(), Vec::new());
    for number in 0..plan::RUNNERS {
        let runner = runner::Runner::new();
        runner.set_delay(RUNNER_DELAY);
        let address = match number < plan::MODEL_RUNNERS {
            true => runner.serve_model(callers::EVENTS_PER_RESPONSE)?,
            false => runner.serve_plain()?,
        };
        let link = proxy::Proxy::start(address)?;
        list_again(store, number, link.address, 0);
        runners.push(runner);
        links.push(link);
    }
    Ok((runners, links))
}

/// Lists runner `number` in `store` after `restarts` starts under the same id.
pub fn list_again(store: &store::Store, number: usize, address: net::SocketAddr, restarts: u64) {
    let service = if number < plan::MODEL_RUNNERS { "model" } else { "plain" };
    let entry = platform::restarted_runner_entry(service, address, restarts);
    store.set("keyed.servers", &format!("runner-{number}"), &entry);
}
