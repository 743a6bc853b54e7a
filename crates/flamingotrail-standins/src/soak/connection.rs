//! A caller's connection that is kept for many requests.

use std::io;
use std::io::BufRead as _;
use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::time;

/// A caller leaves an answer that is silent for this long.
const SILENCE: time::Duration = time::Duration::from_secs(2);

/// What came back for a request.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// Status; none where no answer began.
    pub status: Option<u16>,
    /// Request that the answer says it belongs to.
    pub id: Option<String>,
    /// The runner's signature.
    pub signature: Option<String>,
    /// Body as far as it came; without the framing.
    pub body: String,
    /// Whether the answer came to its end.
    pub is_complete: bool,
    /// Whether the connection takes another request.
    pub is_reusable: bool,
    /// Time from the last byte of the request to the end.
    pub duration: time::Duration,
}

/// A connection.
pub struct Connection {
    reader: io::BufReader<net::TcpStream>,
    out: net::TcpStream,
}

impl Connection {
    /// Connects to a gateway.
    ///
    /// # Errors
    ///
    /// No connection.
    pub fn new(address: net::SocketAddr) -> io::Result<Self> {
        let stream = net::TcpStream::connect_timeout(&address, SILENCE)?;
        stream.set_read_timeout(Some(SILENCE))?;
        stream.set_nodelay(true)?;
        let out = stream.try_clone()?;
        Ok(Connection { reader: io::BufReader::new(stream), out })
    }

    /// Sends a request and reads its answer as far as it comes.
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
        if self.out.write_all(head.as_bytes()).is_err() {
            return response;
        }
        let sent = time::Instant::now();
        response.is_complete = self.read(&mut response).is_ok();
        response.is_reusable &= response.is_complete;
        response.duration = sent.elapsed();
        response
    }

    fn read(&mut self, response: &mut Response) -> io::Result<()> {
        let line = self.line()?;
        response.status = line.split_whitespace().nth(1).and_then(|word| word.parse().ok());
        response.is_reusable = true;
        let mut length = 0;
        let mut is_chunked = false;
        loop {
            let line = self.line()?;
            let Some((name, value)) = line.split_once(':') else { break };
            let value = value.trim().to_owned();
            match name.to_ascii_lowercase().as_str() {
                "request-id" => response.id = Some(value),
                "response-signature" => response.signature = Some(value),
                "content-length" => length = value.parse().map_err(io::Error::other)?,
                "transfer-encoding" => is_chunked = true,
                "connection" => response.is_reusable = value != "close",
                _ => {}
            }
        }
        if !is_chunked {
            return self.part(length, response);
        }
        loop {
            let size = self.line()?;
            let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
            self.part(size, response)?;
            self.line()?;
            if size == 0 {
                return Ok(());
            }
        }
    }

    fn line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 || !line.ends_with('\n') {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim_end().to_owned())
    }

    fn part(&mut self, length: usize, response: &mut Response) -> io::Result<()> {
        let mut bytes = vec![0; length];
        self.reader.read_exact(&mut bytes)?;
        response.body.push_str(&String::from_utf8_lossy(&bytes));
        Ok(())
    }
}
