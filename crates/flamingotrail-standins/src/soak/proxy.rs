//! A loopback proxy that harms the connections through it.

use std::io;
use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::sync;
use std::thread;
use std::time;

/// Time between two looks at the fault, for a pump that waits.
const LOOK_PAUSE: time::Duration = time::Duration::from_millis(20);
/// Bytes of one read.
const BUF_BYTES: usize = 16 << 10;

/// What is done to connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// Nothing.
    #[default]
    None,
    /// Bytes arrive later.
    Delay(time::Duration),
    /// Connections are reset, new ones too.
    Reset,
    /// Bytes towards the server are held up.
    StallUpstream,
    /// Bytes towards the client are held up.
    StallDownstream,
    /// Open connections fall silent for good; new ones do while the harm lasts.
    Blackhole,
}

/// Direction of a pump.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Up,
    Down,
}

#[derive(Default)]
struct State {
    fault: LinkFault,
    /// Connections that were open before this number was reached are silent.
    silent_before: u64,
    opened: u64,
}

/// A proxy in front of one server.
#[derive(Clone)]
pub struct Proxy {
    /// Where it listens.
    pub address: net::SocketAddr,
    state: sync::Arc<sync::Mutex<State>>,
}

impl Proxy {
    /// Listens on a free port in front of `server` for as long as the process runs.
    ///
    /// # Errors
    ///
    /// No free port.
    pub fn start(server: net::SocketAddr) -> io::Result<Self> {
        let listener = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))?;
        let proxy = Proxy { address: listener.local_addr()?, state: sync::Arc::default() };
        let accepting = proxy.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                if let Err(error) = accepting.join(client, server) {
                    eprintln!("event=proxy_failed server={server} error={:?}", error.to_string());
                }
            }
        });
        Ok(proxy)
    }

    /// Sets what is done to connections from now on.
    pub fn set_fault(&self, fault: LinkFault) {
        let mut state = self.lock();
        if state.fault == LinkFault::Blackhole || fault == LinkFault::Blackhole {
            state.silent_before = state.opened + 1;
        }
        state.fault = fault;
    }

    fn join(&self, client: net::TcpStream, server: net::SocketAddr) -> io::Result<()> {
        let number = {
            let mut state = self.lock();
            state.opened += 1;
            state.opened
        };
        let upstream = net::TcpStream::connect(server)?;
        for stream in [&client, &upstream] {
            stream.set_read_timeout(Some(LOOK_PAUSE))?;
            stream.set_nodelay(true)?;
        }
        let (up, down) = (self.clone(), self.clone());
        let (client_out, upstream_out) = (client.try_clone()?, upstream.try_clone()?);
        thread::spawn(move || up.pump(client, upstream_out, Direction::Up, number));
        thread::spawn(move || down.pump(upstream, client_out, Direction::Down, number));
        Ok(())
    }

    /// Carries bytes until either side is gone.
    fn pump(&self, mut from: net::TcpStream, mut to: net::TcpStream, way: Direction, number: u64) {
        let mut buf = vec![0; BUF_BYTES];
        loop {
            let read = from.read(&mut buf);
            if !self.let_pass(way, number) {
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
                    if to.write_all(&buf[..length]).is_err() {
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

    /// Waits for as long as the harm holds bytes up; false where the connection is to be reset.
    fn let_pass(&self, way: Direction, number: u64) -> bool {
        loop {
            let (fault, is_silent) = {
                let state = self.lock();
                (state.fault, number < state.silent_before || state.fault == LinkFault::Blackhole)
            };
            let holds = match fault {
                LinkFault::Reset => return false,
                LinkFault::StallUpstream => way == Direction::Up,
                LinkFault::StallDownstream => way == Direction::Down,
                LinkFault::Delay(delay) => {
                    thread::sleep(delay);
                    is_silent
                }
                LinkFault::None | LinkFault::Blackhole => is_silent,
            };
            if !holds {
                return true;
            }
            thread::sleep(LOOK_PAUSE);
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}

/// Makes the connection end in a reset; one that is gone already needs none.
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
