//! A caller's persistent HTTP/1.1 connection.

use std::io;
use std::io::BufRead as _;
use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::time;

/// Timeout for connecting and for each read of a response.
const TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// The response to a request, as far as it was received.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// Status code; `None` if no status line was received.
    pub status: Option<u16>,
    /// `Request-Id` header of the response.
    pub request_id: Option<String>,
    /// `Response-Signature` header, which the runner sets.
    pub signature: Option<String>,
    /// Body as far as it was received, without chunk framing.
    pub body: String,
    /// Whether the whole response was received.
    pub is_complete: bool,
    /// Whether the connection can be used for another request.
    pub is_reusable: bool,
    /// Time from the end of the request to the end of the response or the failure.
    pub duration: time::Duration,
}

/// A connection to a gateway.
pub struct Connection {
    reader: io::BufReader<net::TcpStream>,
    writer: net::TcpStream,
}

impl Connection {
    /// Connects to a gateway.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection can't be established.
    pub fn new(address: net::SocketAddr) -> io::Result<Self> {
        let stream = net::TcpStream::connect_timeout(&address, TIMEOUT)?;
        stream.set_read_timeout(Some(TIMEOUT))?;
        stream.set_nodelay(true)?;
        let writer = stream.try_clone()?;
        Ok(Connection { reader: io::BufReader::new(stream), writer })
    }

    /// Sends a request and reads the response. A failure shows in the fields of the response.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Response {
        let mut head = format!("{method} {path} HTTP/1.1\r\nHost: desk.example\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
        let mut response = Response::default();
        if self.writer.write_all(head.as_bytes()).is_err() {
            return response;
        }
        let sent_at = time::Instant::now();
        response.is_complete = self.read_response(&mut response).is_ok();
        response.is_reusable &= response.is_complete;
        response.duration = sent_at.elapsed();
        response
    }

    fn read_response(&mut self, response: &mut Response) -> io::Result<()> {
        let status_line = self.read_line()?;
        response.status = status_line.split_whitespace().nth(1).and_then(|word| word.parse().ok());
        response.is_reusable = true;
        let mut length = 0;
        let mut is_chunked = false;
        loop {
            let line = self.read_line()?;
            let Some((name, value)) = line.split_once(':') else { break };
            let value = value.trim().to_owned();
            match name.to_ascii_lowercase().as_str() {
                "request-id" => response.request_id = Some(value),
                "response-signature" => response.signature = Some(value),
                "content-length" => length = value.parse().map_err(io::Error::other)?,
                "transfer-encoding" => is_chunked = true,
                "connection" => response.is_reusable = value != "close",
                _ => {}
            }
        }
        if !is_chunked {
            return self.read_body(length, response);
        }
        loop {
            let size = self.read_line()?;
            let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
            self.read_body(size, response)?;
            self.read_line()?;
            if size == 0 {
                return Ok(());
            }
        }
    }

    fn read_line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 || !line.ends_with('\n') {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim_end().to_owned())
    }

    fn read_body(&mut self, length: usize, response: &mut Response) -> io::Result<()> {
        let mut bytes = vec![0; length];
        self.reader.read_exact(&mut bytes)?;
        response.body.push_str(&String::from_utf8_lossy(&bytes));
        Ok(())
    }
}
