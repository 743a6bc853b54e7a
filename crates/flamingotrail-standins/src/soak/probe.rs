//! The last requests of a run: at each gateway, once no fault is left, with each key that ever was
//! valid and with one that never was.

use std::fs;
use std::net;
use std::path;
use std::thread;
use std::time;

use crate::fleet::caller;
use crate::soak::keys;

/// Time in which a gateway that was restarted last has to respond.
const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Time between two requests with the same key.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(200);

/// Returns one message for each key that a gateway takes for valid or not valid, wrongly. Waits until
/// the gateways have to know.
pub fn violations(gateways: &[net::SocketAddr], ring: &keys::KeyRing) -> Vec<String> {
    thread::sleep(ring.time_until_known());
    let mut rows: Vec<_> = ring.all();
    let unknown = format!("{}unknown", keys::KEY_PREFIX);
    let now = Some(time::Instant::now());
    rows.push(keys::Key { text: unknown, workspace: 0, is_permanent: false, removed_at: now });
    let mut violations = Vec::new();
    for (gateway, address) in gateways.iter().enumerate() {
        for (number, key) in rows.iter().enumerate() {
            let id = format!("c{}-probe{gateway}-{number}", key.workspace);
            let status = status_of(*address, &id, &key.text);
            let is_valid = key.removed_at.is_none();
            if status == 0 || (status == 401) == is_valid {
                violations.push(format!(
                    "identity: gateway-{gateway} responds with {status} to key {number} of {}, \
                     valid: {is_valid}",
                    keys::WORKSPACES[key.workspace]
                ));
            }
        }
    }
    violations
}

/// Returns one message for each log in `folder` that contains a key.
pub fn logged_keys(folder: &path::Path, gateways: usize) -> Vec<String> {
    let names = (0..gateways).map(|gateway| format!("gateway-{gateway}.log"));
    let read = |name: &String| fs::read(folder.join(name)).unwrap_or_default();
    names
        .filter(|name| String::from_utf8_lossy(&read(name)).contains(keys::KEY_PREFIX))
        .map(|name| format!("identity: {name} contains a key"))
        .collect()
}

/// Returns the status of a request; repeats one that gets no response or that nothing can serve now.
fn status_of(address: net::SocketAddr, id: &str, key: &str) -> u16 {
    let started_at = time::Instant::now();
    let credential = format!("Token {key}");
    let headers =
        [("Request-Id", id), ("Deadline-Ms", "2500"), ("Authorization", credential.as_str())];
    loop {
        let response = caller::call(address, "GET", "/look/1", &headers, "");
        let status = response.map_or(0, |response| response.status);
        if !matches!(status, 0 | 503) || started_at.elapsed() > RESPONSE_TIMEOUT {
            return status;
        }
        thread::sleep(RETRY_DELAY);
    }
}
