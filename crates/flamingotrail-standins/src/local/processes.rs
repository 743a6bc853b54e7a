//! Daemon processes on loopback. Each is signalled by its own process id.

use std::fs;
use std::io;
use std::net;
use std::ops;
use std::path;
use std::process;
use std::sync;
use std::sync::atomic;
use std::time;

use flamingotrail_wire::platform as wire;

use crate::deployment;
use crate::http;
use crate::local::relay;

/// Secret that signs continuations in a local cluster.
const CONTINUATION_SECRET: &str = "a secret for one local set-up only";
/// How long a process may take to stop gracefully before it is killed.
const STOP_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// A daemon and its addresses.
pub struct Daemon {
    /// Instance name.
    pub name: String,
    /// Region.
    pub region: String,
    /// Failure domain.
    pub domain: String,
    /// The endpoint that it serves; `None` for an entry.
    pub endpoint: Option<deployment::EndpointSpec>,
    /// Address that an entry listens on for callers.
    pub listen: net::SocketAddr,
    /// Address that the daemon binds for its links.
    pub link: net::SocketAddr,
    /// Address of the relay in front of the links, which other daemons use.
    pub advertised: net::SocketAddr,
    /// Address of the admin interface.
    pub admin: net::SocketAddr,
    child: Option<process::Child>,
}

/// The daemons of a cluster.
pub struct Daemons {
    /// One row for each daemon, entries first.
    pub rows: Vec<Daemon>,
    folder: path::PathBuf,
    binary_dir: path::PathBuf,
    fakes_address: net::SocketAddr,
    fakes: sync::Arc<http::FakeSystems>,
    flags: Vec<String>,
    environment: Vec<(String, String)>,
}

/// Ports to allocate from. They lie below the usual ephemeral range, so no outgoing connection
/// takes a port between its allocation and its use.
const PORT_RANGE: ops::Range<u16> = 20_000..32_000;

/// Distance between the first ports of processes with consecutive ids: a prime that doesn't divide
/// the number of ports.
const PORT_STRIDE: u32 = 4_999;

/// Number of ports that this process has tried so far.
static PORTS_TRIED: atomic::AtomicU16 = atomic::AtomicU16::new(0);

/// Held while a port is probed and while a process is spawned. Between fork and exec a child has
/// copies of all open sockets, so it would keep a probed port bound.
static PROBE_OR_SPAWN: sync::Mutex<()> = sync::Mutex::new(());

/// Allocates a loopback address whose port is free for TCP and UDP. A port is not allocated twice
/// until the range is used up.
///
/// # Errors
///
/// Returns an error if no port is free.
pub fn free_address() -> io::Result<net::SocketAddr> {
    let port_count = PORT_RANGE.end - PORT_RANGE.start;
    // Spreads the first ports of processes that run at the same time and have consecutive ids.
    let offset = process::id().wrapping_mul(PORT_STRIDE) % u32::from(port_count);
    let start = u16::try_from(offset).unwrap_or(0);
    for _ in 0..port_count {
        let number = PORTS_TRIED.fetch_add(1, atomic::Ordering::Relaxed);
        let port = PORT_RANGE.start + (start + number % port_count) % port_count;
        let address = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port));
        let _guard = http::lock(&PROBE_OR_SPAWN);
        let is_free =
            net::TcpListener::bind(address).is_ok() && net::UdpSocket::bind(address).is_ok();
        if is_free {
            return Ok(address);
        }
    }
    Err(io::Error::new(
        io::ErrorKind::AddrInUse,
        "no port is free between 20000 and 32000; stop processes that use them",
    ))
}

/// Spawns a process.
///
/// # Errors
///
/// Returns an error if the program can't be run.
pub fn spawn(command: &mut process::Command) -> io::Result<process::Child> {
    // `spawn` returns after the child's exec, so the lock covers the time between fork and exec.
    let _guard = http::lock(&PROBE_OR_SPAWN);
    command.spawn()
}

/// Runs a process until it exits and returns its output.
///
/// # Errors
///
/// Returns an error if the program can't be run.
pub fn run_to_exit(command: &mut process::Command) -> io::Result<process::Output> {
    command
        .stdin(process::Stdio::null())
        .stdout(process::Stdio::piped())
        .stderr(process::Stdio::piped());
    spawn(command)?.wait_with_output()
}

/// Peak of a process's resident memory, in kilobytes.
///
/// # Errors
///
/// Returns an error if the process has exited or its status can't be read.
pub fn peak_memory_kb(process: u32) -> io::Result<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let number = line.and_then(|text| text.trim().strip_suffix(" kB"));
    number.and_then(|text| text.parse().ok()).ok_or(io::ErrorKind::InvalidData.into())
}

/// Number of descriptors that a process has open.
///
/// # Errors
///
/// Returns an error if the process has exited.
pub fn open_descriptors(process: u32) -> io::Result<usize> {
    Ok(fs::read_dir(format!("/proc/{process}/fd"))?.count())
}

/// Bytes that the kernel holds for the IPv4 connections which a server at `address` has accepted, or is
/// to accept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KernelBytes {
    /// Bytes that have arrived and the server has not read.
    pub unread: u64,
    /// Bytes that the server has written and its clients have not received.
    pub unsent: u64,
}

impl KernelBytes {
    /// Returns those of a server's connections at present.
    ///
    /// # Errors
    ///
    /// Returns an error if the kernel's table of connections can't be read.
    pub fn of(address: net::SocketAddrV4) -> io::Result<Self> {
        let ip = u32::from_ne_bytes(address.ip().octets());
        let local = format!("{ip:08X}:{:04X}", address.port());
        let rows = fs::read_to_string("/proc/net/tcp")?;
        let rows = rows.lines().filter_map(|row| KernelBytes::of_row(row, &local));
        Ok(rows.fold(KernelBytes::default(), |sum, row| KernelBytes {
            unread: sum.unread + row.unread,
            unsent: sum.unsent + row.unsent,
        }))
    }

    /// Reads a row of the kernel's table; `None` if it is no connection of `local`.
    fn of_row(row: &str, local: &str) -> Option<Self> {
        const LISTENING: &str = "0A";
        let mut fields = row.split_whitespace().skip(1);
        let is_local = fields.next()? == local;
        let is_connection = fields.nth(1)? != LISTENING;
        let (unsent, unread) =
            fields.next().filter(|_| is_local && is_connection)?.split_once(':')?;
        let parse = |text| u64::from_str_radix(text, 16).ok();
        Some(KernelBytes { unread: parse(unread)?, unsent: parse(unsent)? })
    }
}

impl Daemons {
    /// Prepares the daemons of `deployment` with `entries` entries, without starting them.
    /// `binary_dir` holds the binaries of the daemon and the client; `folder` receives keys and
    /// logs.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub fn new(
        deployment: &deployment::Deployment,
        entries: usize,
        binary_dir: &path::Path,
        folder: &path::Path,
        fakes: sync::Arc<http::FakeSystems>,
        fakes_address: net::SocketAddr,
    ) -> io::Result<Self> {
        let mut rows = Vec::new();
        for index in 0..entries {
            let (region, domain) = deployment.regions[index % deployment.regions.len()].clone();
            rows.push(new_daemon(format!("entry-{}", index + 1), region, domain, None)?);
        }
        for endpoint in &deployment.endpoints {
            let (region, domain) = (endpoint.region.clone(), endpoint.domain.clone());
            let name = format!("at-{}", endpoint.name);
            rows.push(new_daemon(name, region, domain, Some(endpoint.clone()))?);
        }
        Ok(Daemons {
            rows,
            folder: folder.to_owned(),
            binary_dir: binary_dir.to_owned(),
            fakes_address,
            fakes,
            flags: Vec::new(),
            environment: Vec::new(),
        })
    }

    /// Adds command-line flags to every daemon.
    pub fn with_flags(mut self, flags: &[&str]) -> Self {
        self.flags = flags.iter().map(|flag| (*flag).to_owned()).collect();
        self
    }

    /// Adds environment variables to every daemon.
    pub fn with_environment(mut self, variables: &[(&str, &str)]) -> Self {
        let owned = |(name, value): &(&str, &str)| ((*name).to_owned(), (*value).to_owned());
        self.environment = variables.iter().map(owned).collect();
        self
    }

    /// Id of a daemon's process, if it runs.
    pub fn process_id(&self, index: usize) -> Option<u32> {
        self.rows[index].child.as_ref().map(process::Child::id)
    }

    /// Whether a daemon's process is running.
    pub fn is_running(&mut self, index: usize) -> bool {
        let child = self.rows[index].child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Generates keys, starts the relays and the daemons, and adds them to the instance list.
    ///
    /// # Errors
    ///
    /// Returns an error if a program can't be run or an address can't be bound.
    pub async fn start_all(&mut self, cut_links: &relay::CutLinks) -> io::Result<()> {
        fs::create_dir_all(&self.folder)?;
        self.generate_keys().await?;
        for index in 0..self.rows.len() {
            let row = &self.rows[index];
            relay::start(row.advertised, row.link, cut_links.clone()).await?;
            self.start_daemon(index)?;
        }
        Ok(())
    }

    /// Runs the operators' client with `args` and returns whether it succeeded, and its output.
    ///
    /// # Errors
    ///
    /// Returns an error if the client can't be run.
    pub async fn run_client(&self, args: &[&str]) -> io::Result<(bool, String)> {
        let mut command = process::Command::new(self.binary_dir.join("flamingotrail"));
        command
            .args(args)
            .env("FLAMINGOTRAIL_LOG_URL", format!("http://{}/log", self.fakes_address))
            .env("FLAMINGOTRAIL_LIST_URL", format!("http://{}/list", self.fakes_address));
        // The fakes run on this thread, so blocking it until the client exits would deadlock.
        let output = actix_rt::task::spawn_blocking(move || run_to_exit(&mut command)).await;
        let output = output.map_err(io::Error::other)??;
        let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
        text.push_str(&String::from_utf8_lossy(&output.stderr));
        Ok((output.status.success(), text))
    }

    async fn generate_keys(&self) -> io::Result<()> {
        let folder = self.folder.join("keys");
        let folder = folder.to_string_lossy().into_owned();
        let mut args = vec!["keys", "--out", &folder];
        args.extend(self.rows.iter().map(|row| row.name.as_str()));
        match self.run_client(&args).await? {
            (true, _) => Ok(()),
            (false, text) => Err(io::Error::other(text)),
        }
    }

    /// Starts a daemon and adds it to the instance list.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon can't be run or its log file can't be opened.
    pub fn start_daemon(&mut self, index: usize) -> io::Result<()> {
        let row = &self.rows[index];
        let keys = self.folder.join("keys");
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", row.name)))?;
        let mut command = process::Command::new(self.binary_dir.join("flamingotraild"));
        command
            .args(["--instance", &row.name, "--region", &row.region, "--domain", &row.domain])
            .args(["--link", &row.link.to_string(), "--admin", &row.admin.to_string()])
            .args(["--link-advertised", &row.advertised.to_string()])
            .args(["--log-url", &format!("http://{}/log", self.fakes_address)])
            .args(["--list-url", &format!("http://{}/list", self.fakes_address)])
            .arg("--tls-cert")
            .arg(keys.join(format!("{}.pem", row.name)))
            .arg("--tls-key")
            .arg(keys.join(format!("{}.key", row.name)))
            .arg("--tls-authority")
            .arg(keys.join("authority.pem"))
            .env("FLAMINGOTRAIL_CONTINUATION_SECRET", CONTINUATION_SECRET)
            .args(&self.flags)
            .envs(self.environment.iter().map(|(name, value)| (name, value)))
            .stdin(process::Stdio::null())
            .stdout(process::Stdio::null())
            .stderr(log);
        match &row.endpoint {
            None => {
                command.args(["--role", "entry", "--listen", &row.listen.to_string()]);
            }
            Some(endpoint) => {
                let (kind, url) = self.endpoint_url(endpoint);
                command.args(["--role", "endpoint", "--endpoint", &endpoint.name]);
                command.args(["--endpoint-kind", kind, "--endpoint-url", &url]);
            }
        }
        let child = spawn(&mut command)?;
        self.set_listed_state(index, "live");
        self.rows[index].child = Some(child);
        Ok(())
    }

    fn endpoint_url(&self, endpoint: &deployment::EndpointSpec) -> (&'static str, String) {
        let base = format!("http://{}", self.fakes_address);
        match endpoint.services.is_empty() {
            true => ("engine", format!("{base}/engines/{}", endpoint.name)),
            false => ("service", format!("{base}/services/all")),
        }
    }

    /// Sets a daemon's row in the platform's instance list.
    pub fn set_listed_state(&self, index: usize, state: &str) {
        let row = &self.rows[index];
        self.fakes.upsert_instance(wire::ListedInstance {
            instance: row.name.clone(),
            region: row.region.clone(),
            domain: row.domain.clone(),
            endpoint: row.endpoint.as_ref().map(|endpoint| endpoint.name.clone()),
            address: row.advertised.to_string(),
            admin: row.admin.to_string(),
            state: state.to_owned(),
        });
    }

    /// Sends a signal to a daemon, if it runs.
    pub fn send_signal(&self, index: usize, signal: rustix::process::Signal) {
        let Some(child) = &self.rows[index].child else {
            return;
        };
        let id = i32::try_from(child.id()).ok().and_then(rustix::process::Pid::from_raw);
        if let Some(id) = id {
            let _ = rustix::process::kill_process(id, signal);
        }
    }

    /// Waits until a daemon exits and returns its status. Kills it and returns `None` if it doesn't
    /// exit in time.
    pub async fn wait_for_exit(&mut self, index: usize) -> Option<process::ExitStatus> {
        let deadline = time::Instant::now() + STOP_TIMEOUT;
        let child = self.rows[index].child.as_mut()?;
        loop {
            if let Ok(Some(status)) = child.try_wait() {
                self.rows[index].child = None;
                return Some(status);
            }
            if time::Instant::now() >= deadline {
                let _ = child.kill();
                let _ = child.wait();
                self.rows[index].child = None;
                return None;
            }
            actix_rt::time::sleep(time::Duration::from_millis(20)).await;
        }
    }

    /// Kills a daemon with SIGKILL and reaps it.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.rows[index].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Stops all daemons gracefully. Returns the names of those that had to be killed or exited
    /// with an error.
    pub async fn stop_all(&mut self) -> Vec<String> {
        for index in 0..self.rows.len() {
            self.send_signal(index, rustix::process::Signal::CONT);
            self.send_signal(index, rustix::process::Signal::TERM);
        }
        let mut failed = Vec::new();
        for index in 0..self.rows.len() {
            if self.rows[index].child.is_none() {
                continue;
            }
            let status = self.wait_for_exit(index).await;
            if !status.is_some_and(|status| status.success()) {
                failed.push(self.rows[index].name.clone());
            }
        }
        failed
    }

    /// Returns the addresses that the entries listen on for callers.
    pub fn entry_addresses(&self) -> Vec<net::SocketAddr> {
        let entries = self.rows.iter().filter(|row| row.endpoint.is_none());
        entries.map(|row| row.listen).collect()
    }
}

impl Drop for Daemons {
    fn drop(&mut self) {
        for index in 0..self.rows.len() {
            self.kill(index);
        }
    }
}

fn new_daemon(
    name: String,
    region: String,
    domain: String,
    endpoint: Option<deployment::EndpointSpec>,
) -> io::Result<Daemon> {
    Ok(Daemon {
        name,
        region,
        domain,
        endpoint,
        listen: free_address()?,
        link: free_address()?,
        advertised: free_address()?,
        admin: free_address()?,
        child: None,
    })
}
