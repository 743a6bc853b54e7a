//! Server side of an HTTP/1.1 connection, built on the codec of `actix-http`.
//!
//! The library's own dispatcher can't change its limits at run time or hold back the end of a
//! response, so this module drives the codec itself.

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
use flamingotrail_adapter::credentials;
use flamingotrail_adapter::requests;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio_util::codec::Decoder as _;
use tokio_util::codec::Encoder as _;

use crate::connections;
use crate::connections::body as body_buffer;
use crate::connections::limits as connection_limits;
use crate::connections::unsent;

/// Bytes that are drained at a time from a connection that closes.
const DRAIN_SIZE: usize = 1024;
/// Memory of a head beside its own size: the fields that are decoded from it take as much again.
const HEAD_COPIES: usize = 2;
/// Bytes of a response that are encoded at a time.
const WRITE_PIECE_BYTES: usize = 64 * 1024;
/// Timeout for a caller to accept written bytes.
const WRITE_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Interval between two checks whether a caller has taken a response.
const UNSENT_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Time for a caller to read the last response before its connection is dropped.
const CLOSE_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// A request that was read completely.
#[derive(Debug)]
pub struct ReceivedRequest {
    /// The request line and headers.
    pub request: Request,
    /// The body.
    pub body: Bytes,
    /// When reading began, after the first byte had arrived.
    pub received_at: time::Instant,
}

/// Why no further request can be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The connection ended between requests or was idle for too long.
    #[error("the connection has ended or was idle for too long")]
    ConnectionEnded,
    /// The connection failed while a request was being read.
    #[error("the connection failed while reading a request: {0}; the caller has to send it again")]
    Io(#[from] io::Error),
    /// The request is rejected with this status.
    #[error("the request is rejected with status {0}; correct it and send it again")]
    Status(StatusCode),
    /// There is no room for the request, which has not run.
    #[error(transparent)]
    NoRoom(#[from] connections::NoRoom),
}

/// An accepted connection.
pub struct Connection {
    stream: tokio::net::TcpStream,
    read_buffer: BytesMut,
    write_buffer: BytesMut,
    codec: h1::Codec,
    status: u16,
    lease: connections::Lease,
    unsent: unsent::Unsent,
    /// Whether the client has not taken its response in time.
    is_stalled: bool,
    /// Copies of a body that the process holds while its request runs.
    body_copies: usize,
}

impl Connection {
    /// Wraps a newly accepted connection.
    pub fn new(stream: tokio::net::TcpStream, lease: connections::Lease) -> Self {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("event=socket_option_failed option=nodelay error={error:?}");
        }
        let unsent = unsent::Unsent::new(lease.limits().send_buffer_bytes);
        Connection {
            stream,
            read_buffer: BytesMut::new(),
            write_buffer: BytesMut::new(),
            codec: h1::Codec::default(),
            status: 0,
            lease,
            unsent,
            is_stalled: false,
            body_copies: 1,
        }
    }

    /// Sets how many copies of a body the process holds while its request runs.
    pub fn with_body_copies(mut self, copies: usize) -> Self {
        self.body_copies = copies;
        self
    }

    /// What the process holds for the connection.
    pub fn lease(&self) -> &connections::Lease {
        &self.lease
    }

    /// Status of the response to the current request; 0 if none was written.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// Whether the connection may be used for another request after the current response.
    pub fn keeps_alive(&self) -> bool {
        self.codec.keep_alive()
    }

    /// Whether no bytes of a next request are buffered.
    pub fn is_idle(&self) -> bool {
        self.read_buffer.is_empty()
    }

    /// Waits for the first byte of the next request.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends or is idle for too long.
    pub async fn wait_for_request(
        &mut self,
        limits: &configuration::RequestLimits,
    ) -> Result<(), ReadError> {
        self.lease.set_idle();
        self.hold_unsent();
        self.write_buffer = BytesMut::new();
        if !self.read_buffer.is_empty() {
            self.lease.begin_request();
            return Ok(());
        }
        // An idle connection has no buffer.
        self.read_buffer = BytesMut::new();
        let token = self.lease.token();
        let first_bytes = tokio::time::timeout(limits.idle_timeout, self.read_when_idle());
        let read = tokio::select! {
            biased;
            read = first_bytes => read,
            () = token.cancelled() => return Err(ReadError::ConnectionEnded),
        };
        self.is_stalled = read.is_err();
        match read {
            Ok(Ok(1..)) => {
                self.lease.begin_request();
                Ok(())
            }
            Ok(Ok(0) | Err(_)) | Err(_) => Err(ReadError::ConnectionEnded),
        }
    }

    /// Reads the first bytes of the next request. Checks meanwhile whether the client takes the last
    /// response.
    async fn read_when_idle(&mut self) -> io::Result<usize> {
        while self.unsent.held_bytes() > 0 {
            let read = tokio::time::timeout(UNSENT_CHECK_INTERVAL, self.read_first_bytes()).await;
            match read {
                Ok(read) => return read,
                Err(_) => self.release_taken(),
            }
        }
        self.read_first_bytes().await
    }

    /// Counts what the kernel holds of the last response.
    fn hold_unsent(&self) {
        let bytes = self.unsent.held_bytes();
        if bytes > 0 {
            self.lease.response_meter().add(bytes);
        }
    }

    /// Counts what the client has taken of the last response no more.
    fn release_taken(&mut self) {
        let released = self.unsent.release(|| unsent::is_taken(&self.stream));
        if released > 0 {
            self.lease.response_meter().release(released);
        }
    }

    async fn read_first_bytes(&mut self) -> io::Result<usize> {
        loop {
            self.stream.readable().await?;
            let mut buf = BytesMut::with_capacity(connection_limits::READ_BYTES);
            match self.stream.try_read_buf(&mut buf) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                read => {
                    self.read_buffer = buf;
                    return read;
                }
            }
        }
    }

    /// Reads the next request, whose first byte has arrived.
    ///
    /// # Errors
    ///
    /// Fails if the request has to be rejected or the connection fails.
    pub async fn read_request(
        &mut self,
        limits: &configuration::RequestLimits,
    ) -> Result<ReceivedRequest, ReadError> {
        self.status = 0;
        let token = self.lease.token();
        let request = tokio::select! {
            biased;
            request = self.read_parts(limits) => request,
            () = token.cancelled() => Err(connections::NoRoom.into()),
        };
        let request = request.and_then(|request| {
            self.lease.complete_request()?;
            Ok(request)
        });
        if request.is_err() {
            // The connection closes, and what was read of the request is not needed any more.
            self.read_buffer = BytesMut::new();
        }
        request
    }

    async fn read_parts(
        &mut self,
        limits: &configuration::RequestLimits,
    ) -> Result<ReceivedRequest, ReadError> {
        let received_at = time::Instant::now();
        let head = self.read_head(limits);
        let (request, head_bytes) = match tokio::time::timeout(limits.head_timeout, head).await {
            Ok(request) => request?,
            Err(_) => return Err(ReadError::Status(StatusCode::REQUEST_TIMEOUT)),
        };
        if let Some(length) = content_length(&request) {
            let length = usize::try_from(length).unwrap_or(usize::MAX);
            if length > limits.max_body_bytes {
                return Err(ReadError::Status(StatusCode::PAYLOAD_TOO_LARGE));
            }
            self.lease.check_announced(length.saturating_mul(self.body_copies))?;
        }
        if request.head().expect() {
            self.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        }
        // A body that drips holds its memory. It is read for no longer than its caller waits for the
        // response, and than the process allows.
        let max_time = requests::timeout(request.head()).unwrap_or(limits.idle_timeout);
        let max_time = max_time.min(self.lease.limits().max_body_time);
        let body = self.read_body(limits, head_bytes);
        let body = match tokio::time::timeout(max_time, body).await {
            Ok(body) => body?,
            Err(_) => return Err(ReadError::Status(StatusCode::REQUEST_TIMEOUT)),
        };
        Ok(ReceivedRequest { request, body, received_at })
    }

    /// Reads a head. Returns it with the memory that it takes, in bytes.
    async fn read_head(
        &mut self,
        limits: &configuration::RequestLimits,
    ) -> Result<(Request, usize), ReadError> {
        loop {
            let buffered = self.read_buffer.len();
            let capacity = self.read_buffer.capacity();
            let message =
                self.codec.decode(&mut self.read_buffer).map_err(|error| to_read_error(&error))?;
            if let Some(h1::Message::Item(mut request)) = message {
                credentials::hide(request.head_mut());
                if buffered - self.read_buffer.len() > limits.max_head_bytes {
                    return Err(ReadError::Status(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE));
                }
                self.detach_read_buffer();
                let head_bytes = HEAD_COPIES * capacity;
                self.lease.hold_request(head_bytes).await?;
                return Ok((request, head_bytes));
            }
            if self.read_buffer.len() > limits.max_head_bytes {
                return Err(ReadError::Status(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE));
            }
            self.fill_buffer().await?;
            self.lease.hold_request(self.read_buffer.capacity()).await?;
        }
    }

    /// Moves what was read beyond a head to a buffer of its own: the head would keep the shared one
    /// alive, and a further read would make a copy of its size.
    fn detach_read_buffer(&mut self) {
        let rest = std::mem::take(&mut self.read_buffer);
        self.read_buffer.extend_from_slice(&rest);
    }

    async fn read_body(
        &mut self,
        limits: &configuration::RequestLimits,
        head_bytes: usize,
    ) -> Result<Bytes, ReadError> {
        if self.codec.message_type() == h1::MessageType::None {
            return Ok(Bytes::new());
        }
        let mut body = body_buffer::BodyBuffer::new(limits.max_body_bytes);
        loop {
            match self.codec.decode(&mut self.read_buffer).map_err(|error| to_read_error(&error))? {
                Some(h1::Message::Chunk(Some(chunk))) => {
                    let capacity = body
                        .capacity_with(chunk.len())
                        .ok_or(ReadError::Status(StatusCode::PAYLOAD_TOO_LARGE))?;
                    if capacity > body.capacity() {
                        let bytes = head_bytes + capacity * self.body_copies;
                        self.lease.hold_request(bytes).await?;
                    }
                    body.extend(&chunk);
                }
                Some(h1::Message::Chunk(None)) => return Ok(body.into_bytes()),
                Some(h1::Message::Item(_)) => {
                    return Err(ReadError::Status(StatusCode::BAD_REQUEST));
                }
                None => match tokio::time::timeout(limits.head_timeout, self.fill_buffer()).await {
                    Ok(filled) => filled?,
                    Err(_) => return Err(ReadError::Status(StatusCode::REQUEST_TIMEOUT)),
                },
            }
        }
    }

    async fn fill_buffer(&mut self) -> Result<(), ReadError> {
        self.read_buffer.reserve(connection_limits::READ_BYTES);
        if self.stream.read_buf(&mut self.read_buffer).await? == 0 {
            return Err(ReadError::Io(io::ErrorKind::UnexpectedEof.into()));
        }
        Ok(())
    }

    /// Waits until the caller disconnects or the connection is closed to make room. Bytes of a further
    /// request are read up to the size of a buffer; the rest stays with its sender.
    pub async fn wait_for_disconnect(&mut self) {
        loop {
            if self.read_buffer.len() >= connection_limits::READ_BYTES {
                // Nothing more is read, so a disconnect goes unnoticed here and shows as a failed
                // write.
                self.lease.hold_ahead();
                return self.lease.closed_for_room().await;
            }
            self.read_buffer.reserve(connection_limits::READ_BYTES - self.read_buffer.len());
            let read = tokio::select! {
                biased;
                read = self.stream.read_buf(&mut self.read_buffer) => read,
                () = self.lease.closed_for_room() => return,
            };
            match read {
                Ok(1..) => {}
                Ok(0) | Err(_) => return,
            }
        }
    }

    /// Writes the head of a response, with the body if it is complete.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails or the caller does not accept the bytes in time.
    pub async fn write_head(
        &mut self,
        response: Response<()>,
        size: body::BodySize,
        complete_body: Option<&Bytes>,
    ) -> io::Result<()> {
        self.status = response.status().as_u16();
        self.codec.encode(h1::Message::Item((response, size)), &mut self.write_buffer)?;
        let Some(body) = complete_body else { return self.flush().await };
        let pieces = async {
            let mut rest = body.clone();
            while !rest.is_empty() {
                let piece = rest.split_to(rest.len().min(WRITE_PIECE_BYTES));
                self.write_chunk(Some(piece)).await?;
            }
            self.flush().await
        };
        match tokio::time::timeout(WRITE_TIMEOUT, pieces).await {
            Ok(result) => result,
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    /// Writes a chunk of a streamed body, or the end of the body if `chunk` is `None`.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails or the caller does not accept the bytes in time.
    pub async fn write_chunk(&mut self, chunk: Option<Bytes>) -> io::Result<()> {
        let bytes = chunk.as_ref().map_or(0, Bytes::len);
        self.codec.encode(h1::Message::Chunk(chunk), &mut self.write_buffer)?;
        self.flush().await?;
        let released = self.unsent.record_written(bytes, || unsent::is_taken(&self.stream));
        if released > 0 {
            self.lease.response_meter().release(released);
        }
        Ok(())
    }

    async fn flush(&mut self) -> io::Result<()> {
        if self.write_buffer.is_empty() {
            return Ok(());
        }
        let bytes = std::mem::take(&mut self.write_buffer);
        self.write_all(&bytes).await
    }

    async fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        let written = tokio::select! {
            biased;
            written = tokio::time::timeout(WRITE_TIMEOUT, self.stream.write_all(bytes)) => written,
            () = self.lease.closed_for_room() => return Err(io::ErrorKind::ConnectionAborted.into()),
        };
        self.is_stalled = written.is_err();
        match written {
            Ok(result) => result,
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    /// Waits until the client has taken the last response.
    async fn wait_until_taken(&mut self) {
        while self.unsent.held_bytes() > 0 {
            tokio::time::sleep(UNSENT_CHECK_INTERVAL).await;
            self.release_taken();
        }
    }

    /// Closes the connection gracefully. Input is drained first, since unread bytes would reset the
    /// connection before the caller has read the last response.
    pub async fn close(mut self) {
        self.read_buffer = BytesMut::new();
        self.lease.begin_close();
        self.hold_unsent();
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let token = self.lease.token();
        let taken = tokio::time::timeout(WRITE_TIMEOUT, self.wait_until_taken());
        tokio::select! {
            biased;
            taken = taken => self.is_stalled = taken.is_err(),
            () = token.cancelled() => return,
        }
        let drain = async {
            let mut buf = [0; DRAIN_SIZE];
            while matches!(self.stream.read(&mut buf).await, Ok(1..)) {}
        };
        // A caller that keeps sending loses its connection. If its place is needed, only what has
        // arrived is drained.
        tokio::select! {
            biased;
            drained = tokio::time::timeout(CLOSE_TIMEOUT, drain) => if drained.is_err() {
                log::debug!("event=close_timed_out");
            },
            () = token.cancelled() => {}
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let gives_up = self.is_stalled || self.lease.token().is_cancelled();
        if gives_up && !unsent::is_taken(&self.stream) {
            unsent::discard_on_close(&self.stream);
        }
    }
}

/// Creates a response with a status and no body.
pub fn empty_response(status: StatusCode, closes_connection: bool) -> Response<()> {
    let mut response = Response::with_body(status, ());
    if closes_connection {
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
    response
}

fn content_length(request: &Request) -> Option<u64> {
    request.headers().get(header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

fn to_read_error(error: &error::ParseError) -> ReadError {
    match error {
        error::ParseError::TooLarge => {
            ReadError::Status(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE)
        }
        _ => ReadError::Status(StatusCode::BAD_REQUEST),
    }
}
