//! Gateways as real processes on loopback, each ended by its id.

use std::fs;
use std::io;
use std::net;
use std::path;
use std::process;
use std::thread;
use std::time;

use crate::fleet::caller;
use crate::local::processes;

/// Time for a gateway to say that it is ready, or to end.
const PATIENCE: time::Duration = time::Duration::from_secs(15);
/// Pause between two looks.
const LOOK_PAUSE: time::Duration = time::Duration::from_millis(20);

/// One gateway.
pub struct Gateway {
    /// Address for callers.
    pub caller_address: net::SocketAddr,
    /// Address of the metrics.
    pub metrics_address: net::SocketAddr,
    readiness: net::SocketAddr,
    child: process::Child,
}

/// Writes the settings of a gateway and starts it from the folder of `program`.
///
/// # Errors
///
/// A folder or program that can't be used.
pub fn start(
    program: &path::Path,
    folder: &path::Path,
    name: &str,
    store: net::SocketAddr,
) -> io::Result<Gateway> {
    let [caller_address, readiness] = [processes::free_address()?, processes::free_address()?];
    let [link, metrics_address] = [processes::free_address()?, processes::free_address()?];
    fs::create_dir_all(folder)?;
    let settings = folder.join(format!("{name}.yaml"));
    let link_port = link.port();
    fs::write(
        &settings,
        format!(
            "node_name: {name}\nip: 127.0.0.1\nzone: north-a\nregion: north\nzones:\n  north-a: north\n\
             listen_addrs:\n  front: {caller_address}\n  ready: {readiness}\n\
             internal_ports:\n  - {link_port}\n  - {link_port}\nheartbeat_ms: 1200\n\
             bounds:\n  drain_ms: 3000\n  grace_s: 8\n\
             platform:\n  address: {store}\n  writes_per_s: 800\n  parts: 4\n  record_bytes: 262144\n  \
             call_bytes: 2097152\n"
        ),
    )?;
    let mut command = process::Command::new(program);
    command
        .args(["--role", "gateway"])
        .env("FLAMINGOTRAIL_SETTINGS", &settings)
        .env("FLAMINGOTRAIL_METRICS_PORT", metrics_address.port().to_string())
        .stdout(
            fs::File::options()
                .create(true)
                .append(true)
                .open(folder.join(format!("{name}.log")))?,
        );
    let child = processes::spawn(&mut command)?;
    let gateway = Gateway { caller_address, metrics_address, readiness, child };
    Ok(gateway)
}

impl Gateway {
    /// Whether it says that it takes callers.
    pub fn is_ready(&self) -> bool {
        let answer = caller::call(self.readiness, "GET", "/v1/ready", &[], "");
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Waits until it takes callers: whether it does in time.
    pub fn wait_until_ready(&self) -> bool {
        wait(|| self.is_ready().then_some(())).is_some()
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: rustix::process::Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(rustix::process::Pid::from_raw);
        let sent = pid.map(|pid| rustix::process::kill_process(pid, signal));
        assert!(matches!(sent, Some(Ok(()))), "the gateway is gone already");
    }

    /// Waits for its end: its exit code, or none where it does not end in time.
    pub fn wait_for_exit(&mut self) -> Option<i32> {
        wait(|| self.child.try_wait().ok().flatten()).and_then(|status| status.code())
    }

    /// Whether it still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // One that ended by itself can't be killed, and that is fine.
        if self.child.kill().is_ok() && self.child.wait().is_err() {
            eprintln!("the gateway's end could not be read");
        }
    }
}

fn wait<T>(mut look: impl FnMut() -> Option<T>) -> Option<T> {
    let start = time::Instant::now();
    while start.elapsed() < PATIENCE {
        if let Some(value) = look() {
            return Some(value);
        }
        thread::sleep(LOOK_PAUSE);
    }
    None
}
