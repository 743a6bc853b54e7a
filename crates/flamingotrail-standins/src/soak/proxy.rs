//! A loopback TCP proxy that injects faults into the connections through it.

use std::io;
use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::sync;
use std::thread;
use std::time;

/// Read timeout of a connection, and interval at which the fault is checked while data is held
/// back.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Buffer size for one read.
const BUFFER_BYTES: usize = 16 << 10;

/// A fault that affects all connections through a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// No fault.
    #[default]
    None,
    /// Data is delayed.
    Delay(time::Duration),
    /// Existing and new connections are reset.
    Reset,
    /// Data to the server is held back.
    StallUpstream,
    /// Data to the client is held back.
    StallDownstream,
    /// No data is forwarded. Connections that were open during the fault stay stalled after it.
    Blackhole,
}

/// Direction of forwarding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

#[derive(Default)]
struct State {
    fault: LinkFault,
    /// Connections with a smaller number are stalled permanently.
    stalled_before: u64,
    /// Number of connections accepted so far.
    connection_count: u64,
}

/// A proxy in front of one server; clones share their state.
#[derive(Clone)]
pub struct Proxy {
    /// Address that the proxy listens on.
    pub address: net::SocketAddr,
    state: sync::Arc<sync::Mutex<State>>,
}

impl Proxy {
    /// Forwards a free loopback port to `server` until the process exits.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub fn start(server: net::SocketAddr) -> io::Result<Self> {
        let listener = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))?;
        let proxy = Proxy { address: listener.local_addr()?, state: sync::Arc::default() };
        let acceptor = proxy.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                if let Err(error) = acceptor.forward(client, server) {
                    eprintln!("event=proxy_failed server={server} error={:?}", error.to_string());
                }
            }
        });
        Ok(proxy)
    }

    /// Sets the fault that affects connections from now on.
    pub fn set_fault(&self, fault: LinkFault) {
        let mut state = self.lock();
        if state.fault == LinkFault::Blackhole || fault == LinkFault::Blackhole {
            state.stalled_before = state.connection_count + 1;
        }
        state.fault = fault;
    }

    /// Stalls all connections that are open now for good, without closing them; new ones work.
    pub fn silence(&self) {
        let mut state = self.lock();
        state.stalled_before = state.connection_count + 1;
    }

    /// Connects to `server` and starts one thread per direction.
    fn forward(&self, client: net::TcpStream, server: net::SocketAddr) -> io::Result<()> {
        let number = {
            let mut state = self.lock();
            state.connection_count += 1;
            state.connection_count
        };
        let upstream = net::TcpStream::connect(server)?;
        for stream in [&client, &upstream] {
            stream.set_read_timeout(Some(POLL_INTERVAL))?;
            stream.set_nodelay(true)?;
        }
        let (to_server, to_client) = (self.clone(), self.clone());
        let (client_writer, upstream_writer) = (client.try_clone()?, upstream.try_clone()?);
        thread::spawn(move || to_server.copy(client, upstream_writer, Direction::ToServer, number));
        thread::spawn(move || to_client.copy(upstream, client_writer, Direction::ToClient, number));
        Ok(())
    }

    /// Copies data in one direction until either side closes.
    fn copy(
        &self,
        mut from: net::TcpStream,
        mut to: net::TcpStream,
        direction: Direction,
        number: u64,
    ) {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let read = from.read(&mut buffer);
            if !self.wait_until_allowed(direction, number) {
                reset(&from);
                reset(&to);
                return;
            }
            match read {
                Ok(0) => {
                    close_write(&to);
                    return;
                }
                Ok(length) => {
                    if to.write_all(&buffer[..length]).is_err() {
                        close_write(&from);
                        return;
                    }
                }
                Err(error) if is_timeout(&error) => {}
                Err(_) => {
                    close_write(&to);
                    return;
                }
            }
        }
    }

    /// Waits while the fault holds data back. Returns false if the connection has to be reset.
    fn wait_until_allowed(&self, direction: Direction, number: u64) -> bool {
        loop {
            let (fault, is_stalled) = {
                let state = self.lock();
                (state.fault, number < state.stalled_before || state.fault == LinkFault::Blackhole)
            };
            let is_held = match fault {
                LinkFault::Reset => return false,
                LinkFault::StallUpstream => direction == Direction::ToServer,
                LinkFault::StallDownstream => direction == Direction::ToClient,
                LinkFault::Delay(delay) => {
                    thread::sleep(delay);
                    is_stalled
                }
                LinkFault::None | LinkFault::Blackhole => is_stalled,
            };
            if !is_held {
                return true;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}

/// Closes the connection with a reset, if it is still open.
fn reset(stream: &net::TcpStream) {
    if rustix::net::sockopt::set_socket_linger(stream, Some(time::Duration::ZERO)).is_ok() {
        close(stream, net::Shutdown::Both);
    }
}

fn close_write(stream: &net::TcpStream) {
    close(stream, net::Shutdown::Write);
}

fn close(stream: &net::TcpStream, how: net::Shutdown) {
    match stream.shutdown(how) {
        Err(error) if error.kind() != io::ErrorKind::NotConnected => {
            eprintln!("event=proxy_close_failed error={:?}", error.to_string());
        }
        _ => {}
    }
}
