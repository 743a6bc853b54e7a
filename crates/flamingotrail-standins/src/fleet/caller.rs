//! Callers: one request on a connection of its own.

use std::io;
use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::time;

/// Time for a whole answer.
const TIMEOUT: time::Duration = time::Duration::from_secs(8);

/// An answer as it came, and whether its connection ended in order.
#[derive(Debug)]
pub struct Response {
    /// Status; 0 where there is none.
    pub status: u16,
    /// All bytes.
    pub text: String,
}

impl Response {
    /// Whether the stream came to its end.
    pub fn is_complete(&self) -> bool {
        self.text.ends_with("0\r\n\r\n")
    }
}

/// Sends a request with `headers` and reads until the connection ends.
///
/// # Errors
///
/// A connection that fails.
pub fn call(
    address: net::SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<Response> {
    let mut stream = net::TcpStream::connect(address)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    let mut head =
        format!("{method} {path} HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(head.as_bytes())?;
    let mut bytes = Vec::new();
    // A connection that breaks off leaves what came before.
    if let Err(error) = stream.read_to_end(&mut bytes) {
        bytes.extend_from_slice(format!("\nbroke off: {error}").as_bytes());
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let status = text.split_whitespace().nth(1).and_then(|word| word.parse().ok());
    Ok(Response { status: status.unwrap_or(0), text })
}
