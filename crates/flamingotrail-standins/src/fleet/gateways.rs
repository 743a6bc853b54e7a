//! Gateway processes on loopback, each killed when its handle is dropped.

use std::fs;
use std::io;
use std::net;
use std::path;
use std::process;
use std::thread;
use std::time;

use crate::fleet::caller;
use crate::local::processes;

/// Maximum time to wait for a gateway to become ready or to exit.
const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(15);
/// Time after which the platform's store drops a record, unless a test sets another one.
const DEFAULT_RETENTION: time::Duration = time::Duration::from_secs(300);
/// Time between two polls of a condition.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// What a gateway's settings say of its machine and its store.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Time after which the store drops a record.
    pub retention: time::Duration,
    /// Memory of the process, in megabytes; the settings name none if it is `None`.
    pub memory_mb: Option<u64>,
    /// Maximum number of descriptors; the settings name none if it is `None`.
    pub max_descriptors: Option<u64>,
}

impl Default for Options {
    fn default() -> Self {
        Options { retention: DEFAULT_RETENTION, memory_mb: None, max_descriptors: None }
    }
}

impl Options {
    /// Returns the section of the settings file with the limits of the machine.
    fn limits(&self) -> String {
        let memory = self.memory_mb.map(|memory| format!("  memory_mb: {memory}\n"));
        let descriptors = self.max_descriptors.map(|count| format!("  max_fds: {count}\n"));
        let lines: String = memory.into_iter().chain(descriptors).collect();
        if lines.is_empty() {
            lines
        } else {
            format!("limits:\n{lines}")
        }
    }
}

/// A gateway process.
pub struct Gateway {
    /// Address for callers.
    pub caller_address: net::SocketAddr,
    /// Address for connections between gateways.
    pub link_address: net::SocketAddr,
    /// Address of the metrics endpoint.
    pub metrics_address: net::SocketAddr,
    readiness: net::SocketAddr,
    child: process::Child,
}

/// Starts the gateway `program` with a generated settings file. The settings file and the log go to
/// `folder`.
///
/// # Errors
///
/// Returns an error if no port is free, a file can't be written, or the program can't be started.
pub fn start(
    program: &path::Path,
    folder: &path::Path,
    name: &str,
    store: net::SocketAddr,
) -> io::Result<Gateway> {
    start_with_options(program, folder, name, store, &Options::default())
}

/// Starts the gateway `program` with a store that drops records after `retention`.
///
/// # Errors
///
/// Returns an error if no port is free, a file can't be written, or the program can't be started.
pub fn start_with_retention(
    program: &path::Path,
    folder: &path::Path,
    name: &str,
    store: net::SocketAddr,
    retention: time::Duration,
) -> io::Result<Gateway> {
    let options = Options { retention, ..Options::default() };
    start_with_options(program, folder, name, store, &options)
}

/// Starts the gateway `program` with `options` in its settings.
///
/// # Errors
///
/// Returns an error if no port is free, a file can't be written, or the program can't be started.
pub fn start_with_options(
    program: &path::Path,
    folder: &path::Path,
    name: &str,
    store: net::SocketAddr,
    options: &Options,
) -> io::Result<Gateway> {
    let retention_s = options.retention.as_secs();
    let limits = options.limits();
    let [caller_address, readiness] = [processes::free_address()?, processes::free_address()?];
    let [link, metrics_address] = [processes::free_address()?, processes::free_address()?];
    fs::create_dir_all(folder)?;
    let settings_file = folder.join(format!("{name}.yaml"));
    let link_port = link.port();
    fs::write(
        &settings_file,
        format!(
            "node_name: {name}\nip: 127.0.0.1\nzone: north-a\nregion: north\nzones:\n  north-a: north\n\
             listen_addrs:\n  front: {caller_address}\n  ready: {readiness}\n\
             internal_ports:\n  - {link_port}\n  - {link_port}\nheartbeat_ms: 1200\n\
             {limits}bounds:\n  drain_ms: 3000\n  grace_s: 8\n\
             platform:\n  address: {store}\n  writes_per_s: 800\n  parts: 4\n  record_bytes: 262144\n  \
             call_bytes: 2097152\n  retention_s: {retention_s}\n"
        ),
    )?;
    let mut command = process::Command::new(program);
    command
        .args(["--role", "gateway"])
        .env("FLAMINGOTRAIL_SETTINGS", &settings_file)
        .env("FLAMINGOTRAIL_METRICS_PORT", metrics_address.port().to_string())
        .stdout(
            fs::File::options()
                .create(true)
                .append(true)
                .open(folder.join(format!("{name}.log")))?,
        );
    let child = processes::spawn(&mut command)?;
    let gateway = Gateway { caller_address, link_address: link, metrics_address, readiness, child };
    Ok(gateway)
}

impl Gateway {
    /// Whether the readiness check succeeds.
    pub fn is_ready(&self) -> bool {
        let response = caller::call(self.readiness, "GET", "/v1/ready", &[], "");
        response.is_ok_and(|response| response.status == 200)
    }

    /// Waits until the readiness check succeeds; returns false on timeout.
    pub fn wait_until_ready(&self) -> bool {
        poll_until(|| self.is_ready().then_some(())).is_some()
    }

    /// Sends `signal` to the process.
    ///
    /// # Panics
    ///
    /// Panics if the signal can't be sent, for instance because the process no longer exists.
    pub fn signal(&self, signal: rustix::process::Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(rustix::process::Pid::from_raw);
        let result = pid.map(|pid| rustix::process::kill_process(pid, signal));
        assert!(matches!(result, Some(Ok(()))), "the signal could not be sent to the gateway");
    }

    /// Waits for the process to exit. Returns its exit code, or `None` on timeout or if a signal
    /// ended it.
    pub fn wait_for_exit(&mut self) -> Option<i32> {
        poll_until(|| self.child.try_wait().ok().flatten()).and_then(|status| status.code())
    }

    /// Peak of the process's resident memory, in kilobytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has exited or its status can't be read.
    pub fn peak_memory_kb(&self) -> io::Result<u64> {
        processes::peak_memory_kb(self.child.id())
    }

    /// Number of descriptors that the process has open.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has exited.
    pub fn open_descriptors(&self) -> io::Result<usize> {
        processes::open_descriptors(self.child.id())
    }

    /// Address of the readiness check.
    pub fn readiness_address(&self) -> net::SocketAddr {
        self.readiness
    }

    /// Whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // Killing can fail for a process that has already exited; nothing is left to do then.
        if self.child.kill().is_ok() && self.child.wait().is_err() {
            eprintln!("the exit status of the gateway could not be read");
        }
    }
}

/// Polls until `condition` returns a value. Returns `None` on timeout.
fn poll_until<T>(mut condition: impl FnMut() -> Option<T>) -> Option<T> {
    let start = time::Instant::now();
    while start.elapsed() < WAIT_TIMEOUT {
        if let Some(value) = condition() {
            return Some(value);
        }
        thread::sleep(POLL_INTERVAL);
    }
    None
}
