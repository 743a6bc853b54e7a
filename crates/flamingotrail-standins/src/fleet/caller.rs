//! A minimal HTTP client that sends each request on a new connection.

use std::io;
use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::time;

/// Read timeout of a connection.
const READ_TIMEOUT: time::Duration = time::Duration::from_secs(8);

/// The raw response up to the point where its connection ended.
#[derive(Debug)]
pub struct Response {
    /// Status code, or 0 if no status line was received.
    pub status: u16,
    /// All bytes that were received, including status line, headers and chunk framing.
    pub text: String,
}

impl Response {
    /// Whether a chunked response ends with its last chunk.
    pub fn is_complete(&self) -> bool {
        self.text.ends_with("0\r\n\r\n")
    }
}

/// Sends a request with `headers` and reads until the connection ends. If reading fails, returns
/// the bytes received so far, followed by the error.
///
/// # Errors
///
/// Returns an error if the connection can't be established or the request can't be written.
pub fn call(
    address: net::SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<Response> {
    let mut stream = net::TcpStream::connect(address)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    let mut head =
        format!("{method} {path} HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(head.as_bytes())?;
    let mut bytes = Vec::new();
    if let Err(error) = stream.read_to_end(&mut bytes) {
        bytes.extend_from_slice(format!("\nconnection failed: {error}").as_bytes());
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let status = text.split_whitespace().nth(1).and_then(|word| word.parse().ok());
    Ok(Response { status: status.unwrap_or(0), text })
}
