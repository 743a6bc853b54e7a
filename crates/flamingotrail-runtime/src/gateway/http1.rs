//! A caller's connection: requests in, answers out, by the codec of `actix-http`.
//!
//! The library's own dispatcher can't change its limits while it runs, nor hold back the end of an
//! answer; its codec can be driven from outside.

use std::io;
use std::time;

use actix_http::body;
use actix_http::error;
use actix_http::h1;
use actix_http::header;
use actix_http::ConnectionType;
use actix_http::HttpMessage as _;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use bytes::Bytes;
use bytes::BytesMut;
use flamingotrail_adapter::configuration;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio_util::codec::Decoder as _;
use tokio_util::codec::Encoder as _;

/// Bytes asked of a read at once.
const READ_BYTES: usize = 4 * 1024;
/// Bytes of further requests that are taken in while one is being answered.
const MAX_PIPELINED: usize = 64 * 1024;
/// Time for a caller to take bytes that were written.
const WRITE_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Time for a caller to take the last answer before its connection is dropped.
const LINGER: time::Duration = time::Duration::from_millis(500);

/// A request that was read whole.
#[derive(Debug)]
pub struct ReceivedRequest {
    /// Its head.
    pub request: Request,
    /// Its body.
    pub body: Bytes,
    /// When its first byte came.
    pub received_at: time::Instant,
}

/// Why there is no next request.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The caller closed the connection between requests, or was idle for too long.
    #[error("the connection is over")]
    ConnectionEnded,
    /// The connection failed within a request.
    #[error("the connection failed within a request: {0}; the caller has to send it again")]
    Io(#[from] io::Error),
    /// The request can't be taken.
    #[error("the request can't be taken: status {0}; correct it and send it again")]
    Status(StatusCode),
}

/// A caller's connection.
pub struct Connection {
    stream: tokio::net::TcpStream,
    buf: BytesMut,
    out: BytesMut,
    codec: h1::Codec,
    status: u16,
}

impl Connection {
    /// A connection that was just accepted.
    pub fn new(stream: tokio::net::TcpStream) -> Self {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("event=socket_option option=nodelay error={error:?}");
        }
        Connection {
            stream,
            buf: BytesMut::new(),
            out: BytesMut::new(),
            codec: h1::Codec::default(),
            status: 0,
        }
    }

    /// Status of the answer to the present request; 0 where none was written.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// Whether the connection may take another request after the present answer.
    pub fn keeps_alive(&self) -> bool {
        self.codec.keep_alive()
    }

    /// Whether nothing of a next request has come.
    pub fn is_idle(&self) -> bool {
        self.buf.is_empty()
    }

    /// Waits for the first byte of the next request.
    ///
    /// # Errors
    ///
    /// A connection that is over.
    pub async fn wait_for_request(
        &mut self,
        limits: &configuration::RequestLimits,
    ) -> Result<(), ReadError> {
        if !self.buf.is_empty() {
            return Ok(());
        }
        self.buf.reserve(READ_BYTES);
        let read = self.stream.read_buf(&mut self.buf);
        match tokio::time::timeout(limits.idle_timeout, read).await {
            Ok(Ok(1..)) => Ok(()),
            Ok(Ok(0) | Err(_)) | Err(_) => Err(ReadError::ConnectionEnded),
        }
    }

    /// Reads the next request, whose first byte is there.
    ///
    /// # Errors
    ///
    /// A request that can't be taken, or a connection that failed.
    pub async fn read_request(
        &mut self,
        limits: &configuration::RequestLimits,
    ) -> Result<ReceivedRequest, ReadError> {
        let received_at = time::Instant::now();
        self.status = 0;
        let head = self.read_head(limits);
        let request = match tokio::time::timeout(limits.head_timeout, head).await {
            Ok(request) => request?,
            Err(_) => return Err(ReadError::Status(StatusCode::REQUEST_TIMEOUT)),
        };
        if declared_length(&request).is_some_and(|length| length > limits.max_body_bytes as u64) {
            return Err(ReadError::Status(StatusCode::PAYLOAD_TOO_LARGE));
        }
        if request.head().expect() {
            self.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        }
        let body = self.read_body(limits).await?;
        Ok(ReceivedRequest { request, body, received_at })
    }

    async fn read_head(
        &mut self,
        limits: &configuration::RequestLimits,
    ) -> Result<Request, ReadError> {
        loop {
            let before = self.buf.len();
            let message = self.codec.decode(&mut self.buf).map_err(|error| status_of(&error))?;
            if let Some(h1::Message::Item(request)) = message {
                if before - self.buf.len() > limits.max_head_bytes {
                    return Err(ReadError::Status(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE));
                }
                return Ok(request);
            }
            if self.buf.len() > limits.max_head_bytes {
                return Err(ReadError::Status(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE));
            }
            self.fill().await?;
        }
    }

    async fn read_body(
        &mut self,
        limits: &configuration::RequestLimits,
    ) -> Result<Bytes, ReadError> {
        let mut body = BytesMut::new();
        if self.codec.message_type() == h1::MessageType::None {
            return Ok(Bytes::new());
        }
        loop {
            match self.codec.decode(&mut self.buf).map_err(|error| status_of(&error))? {
                Some(h1::Message::Chunk(Some(chunk))) => {
                    if body.len() + chunk.len() > limits.max_body_bytes {
                        return Err(ReadError::Status(StatusCode::PAYLOAD_TOO_LARGE));
                    }
                    body.extend_from_slice(&chunk);
                }
                Some(h1::Message::Chunk(None)) => return Ok(body.freeze()),
                Some(h1::Message::Item(_)) => {
                    return Err(ReadError::Status(StatusCode::BAD_REQUEST));
                }
                None => match tokio::time::timeout(limits.head_timeout, self.fill()).await {
                    Ok(filled) => filled?,
                    Err(_) => return Err(ReadError::Status(StatusCode::REQUEST_TIMEOUT)),
                },
            }
        }
    }

    async fn fill(&mut self) -> Result<(), ReadError> {
        self.buf.reserve(READ_BYTES);
        if self.stream.read_buf(&mut self.buf).await? == 0 {
            return Err(ReadError::Io(io::ErrorKind::UnexpectedEof.into()));
        }
        Ok(())
    }

    /// Waits until the caller has left; bytes of further requests are kept.
    pub async fn wait_for_disconnect(&mut self) {
        loop {
            if self.buf.len() > MAX_PIPELINED {
                // The caller's close can't be seen behind its own bytes; its writes fail in the end.
                std::future::pending::<()>().await;
            }
            self.buf.reserve(READ_BYTES);
            match self.stream.read_buf(&mut self.buf).await {
                Ok(1..) => {}
                Ok(0) | Err(_) => return,
            }
        }
    }

    /// Writes the head of an answer, and its body where that is whole.
    ///
    /// # Errors
    ///
    /// A connection that failed.
    pub async fn write_head(
        &mut self,
        response: Response<()>,
        size: body::BodySize,
        whole: Option<&Bytes>,
    ) -> io::Result<()> {
        self.status = response.status().as_u16();
        self.codec.encode(h1::Message::Item((response, size)), &mut self.out)?;
        if let Some(body) = whole {
            self.codec.encode(h1::Message::Chunk(Some(body.clone())), &mut self.out)?;
        }
        self.flush().await
    }

    /// Writes a part of a stream, or its end.
    ///
    /// # Errors
    ///
    /// A connection that failed.
    pub async fn write_chunk(&mut self, part: Option<Bytes>) -> io::Result<()> {
        self.codec.encode(h1::Message::Chunk(part), &mut self.out)?;
        self.flush().await
    }

    async fn flush(&mut self) -> io::Result<()> {
        let out = self.out.split();
        self.write_all(&out).await
    }

    async fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        match tokio::time::timeout(WRITE_TIMEOUT, self.stream.write_all(bytes)).await {
            Ok(result) => result,
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    /// Closes the connection so that the caller can read the last answer: unread bytes would reset
    /// it.
    pub async fn close(mut self) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let drain = async {
            loop {
                self.buf.clear();
                self.buf.reserve(READ_BYTES);
                match self.stream.read_buf(&mut self.buf).await {
                    Ok(1..) => {}
                    Ok(0) | Err(_) => return,
                }
            }
        };
        // A caller that goes on sending loses its connection.
        if tokio::time::timeout(LINGER, drain).await.is_err() {
            log::debug!("event=caller_lingers");
        }
    }
}

/// An answer with a status alone.
pub fn empty_response(status: StatusCode, closes: bool) -> Response<()> {
    let mut response = Response::with_body(status, ());
    if closes {
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
    response
}

fn declared_length(request: &Request) -> Option<u64> {
    request.headers().get(header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

fn status_of(error: &error::ParseError) -> ReadError {
    match error {
        error::ParseError::TooLarge => {
            ReadError::Status(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE)
        }
        _ => ReadError::Status(StatusCode::BAD_REQUEST),
    }
}
