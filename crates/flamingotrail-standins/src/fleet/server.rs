//! A minimal HTTP/1.1 server with one thread per connection. It doesn't parse chunked request
//! bodies.

use std::io;
use std::io::BufRead as _;
use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

/// Number of bytes after which an endless response ends all the same, so that a test ends.
const MAX_ENDLESS_BYTES: usize = 1 << 30;

/// An HTTP request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Method, such as `GET`.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers in the order received, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body of the length given by `Content-Length`.
    pub body: Vec<u8>,
    /// When its first line was read.
    pub received_at: time::Instant,
}

impl Request {
    /// Returns the first header called `name`, which must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns the query parameter `name`, without percent-decoding.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }
}

/// How a handler responds to a request.
#[derive(Debug)]
pub enum Response {
    /// Writes the bytes and keeps the connection open.
    Bytes(Vec<u8>),
    /// Writes the first bytes and keeps the connection open. Writes the second ones before the next
    /// response on the connection.
    Late(Vec<u8>, Vec<u8>),
    /// Writes the chunks with a delay before each and keeps the connection open.
    DelayedChunks(Vec<Vec<u8>>, time::Duration),
    /// Writes the first bytes, then the second ones again and again until the peer closes the
    /// connection, or up to `MAX_ENDLESS_BYTES`.
    Endless(Vec<u8>, Vec<u8>),
    /// Writes the bytes and closes the connection.
    Truncated(Vec<u8>),
    /// Writes the bytes and resets the connection.
    Reset(Vec<u8>),
    /// Closes the connection without a response.
    Close,
}

/// Lets the open connections of a server go silent: they stay open, and nothing more comes of them. New
/// connections work. Clones act on the same server.
#[derive(Clone, Default)]
pub struct Silence {
    begun: sync::Arc<atomic::AtomicU64>,
}

impl Silence {
    /// Silences the connections that are open now.
    pub fn begin(&self) {
        self.begun.fetch_add(1, atomic::Ordering::SeqCst);
    }

    fn count(&self) -> u64 {
        self.begun.load(atomic::Ordering::SeqCst)
    }
}

/// Builds a response with a `Content-Length` body.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Response {
    let mut bytes = format!("HTTP/1.1 {status} Status\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    Response::Bytes(bytes)
}

/// Serves `handler` on a free loopback port until the process exits.
///
/// # Errors
///
/// Returns an error if no port is free.
pub fn serve(
    handler: impl Fn(&Request) -> Response + Send + Sync + 'static,
) -> io::Result<net::SocketAddr> {
    serve_with_silence(handler, &Silence::default())
}

/// Serves `handler` on a free loopback port until the process exits; `silence` can silence its
/// connections.
///
/// # Errors
///
/// Returns an error if no port is free.
pub fn serve_with_silence(
    handler: impl Fn(&Request) -> Response + Send + Sync + 'static,
    silence: &Silence,
) -> io::Result<net::SocketAddr> {
    let silence = silence.clone();
    let listener = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    let handler = sync::Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (handler, silence) = (handler.clone(), silence.clone());
            thread::spawn(move || serve_connection(stream, &*handler, &silence));
        }
    });
    Ok(address)
}

/// Serves one connection until it ends or fails. Errors are not reported, since the peer may close
/// it at any time.
fn serve_connection(
    stream: net::TcpStream,
    handler: &dyn Fn(&Request) -> Response,
    silence: &Silence,
) {
    let opened_at = silence.count();
    let Ok(mut out) = stream.try_clone() else { return };
    let mut reader = io::BufReader::new(stream);
    let mut late = Vec::new();
    while let Ok(Some(request)) = read_request(&mut reader) {
        if silence.count() != opened_at {
            continue;
        }
        let response = handler(&request);
        if silence.count() != opened_at {
            continue;
        }
        if out.write_all(&std::mem::take(&mut late)).is_err() {
            return;
        }
        match response {
            Response::Late(bytes, next) => {
                if out.write_all(&bytes).is_err() {
                    return;
                }
                late = next;
            }
            Response::Bytes(bytes) => {
                if out.write_all(&bytes).is_err() {
                    return;
                }
            }
            Response::DelayedChunks(chunks, delay) => {
                for chunk in chunks {
                    thread::sleep(delay);
                    if out.write_all(&chunk).is_err() {
                        return;
                    }
                }
            }
            Response::Endless(start, repeated) => {
                write_endlessly(&mut out, &start, &repeated);
                return;
            }
            Response::Truncated(bytes) => {
                // The peer may have closed the connection; nothing is left to do then.
                if out.write_all(&bytes).is_err() {
                    eprintln!("event=truncated_response_not_written");
                }
                return;
            }
            Response::Reset(bytes) => {
                reset_after(&mut out, &bytes);
                return;
            }
            Response::Close => return,
        }
    }
}

fn reset_after(out: &mut net::TcpStream, bytes: &[u8]) {
    let written = out.write_all(bytes);
    // Lets the peer read the bytes, which a reset would drop.
    thread::sleep(time::Duration::from_millis(100));
    let no_wait = Some(time::Duration::ZERO);
    if written.is_err() || rustix::net::sockopt::set_socket_linger(&*out, no_wait).is_err() {
        eprintln!("event=connection_not_reset");
    }
}

fn write_endlessly(out: &mut net::TcpStream, start: &[u8], repeated: &[u8]) {
    const BLOCK_BYTES: usize = 64 * 1024;
    let block = repeated.repeat(BLOCK_BYTES.div_ceil(repeated.len().max(1)));
    let mut written = out.write_all(start);
    for _ in 0..MAX_ENDLESS_BYTES / BLOCK_BYTES {
        if written.is_err() {
            return;
        }
        written = out.write_all(&block);
    }
}

/// Reads a request. Returns `None` at the end of the connection or after a malformed request line.
fn read_request(reader: &mut io::BufReader<net::TcpStream>) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let (Some(method), Some(target)) = (words.next(), words.next()) else { return Ok(None) };
    if !words.next().is_some_and(|version| version.starts_with("HTTP/1.")) {
        return Ok(None);
    }
    let mut request = Request {
        method: method.to_owned(),
        target: target.to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
        received_at: time::Instant::now(),
    };
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        request.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let length = request.header("content-length").and_then(|text| text.parse().ok());
    request.body.resize(length.unwrap_or(0), 0);
    reader.read_exact(&mut request.body)?;
    Ok(Some(request))
}
