//! A crowd of clients that send what a server has to hold, and keep their connections open.

use std::io;
use std::io::Write as _;
use std::net;
use std::thread;
use std::time;

/// Time after which a client gives up on a server that no longer reads.
const WRITE_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// Size of the pieces in which a body without chunks is written, in bytes.
const PIECE_BYTES: usize = 64 << 10;
/// Size of a very small chunk, in bytes.
pub const SMALL_CHUNK_BYTES: usize = 8;
/// Size of a large chunk, in bytes.
pub const LARGE_CHUNK_BYTES: usize = 256 << 10;

/// What each client of a crowd sends.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Request line and headers without those that frame the body.
    head: String,
    /// Beginning of the ids of the requests.
    name: String,
    framing: Framing,
    /// Bytes of the body that are sent.
    sent_bytes: usize,
    /// Body that is sent whole instead.
    whole_body: Option<String>,
    /// Whether the clients take turns, each with a piece of its body.
    is_interleaved: bool,
    /// Bytes that are sent after the request.
    ahead_bytes: usize,
}

#[derive(Clone, Copy, Debug)]
enum Framing {
    /// An incomplete head.
    Head,
    /// A body of this announced length.
    Length(usize),
    /// Chunks of this size.
    Chunks(usize),
    /// Chunks of this size, the last of which lacks a byte.
    BrokenChunks(usize),
}

impl Behaviour {
    /// Sends `bytes` of a head that does not end.
    pub fn unfinished_head(head: &str, bytes: usize) -> Self {
        Behaviour::new(head, Framing::Head, bytes)
    }

    /// Announces a body of `announced` bytes and sends `sent` of them.
    pub fn with_length(head: &str, announced: usize, sent: usize) -> Self {
        Behaviour::new(head, Framing::Length(announced), sent)
    }

    /// Sends `sent` bytes in chunks of `chunk` bytes, without the last chunk.
    pub fn with_chunks(head: &str, chunk: usize, sent: usize) -> Self {
        Behaviour::new(head, Framing::Chunks(chunk), sent)
    }

    /// Sends a body of `size` bytes in chunks of `chunk` bytes, without the last byte of the last chunk.
    pub fn with_broken_chunks(head: &str, chunk: usize, size: usize) -> Self {
        Behaviour::new(head, Framing::BrokenChunks(chunk), size)
    }

    /// Sends `body` whole.
    pub fn with_body(head: &str, body: &str) -> Self {
        let behaviour = Behaviour::new(head, Framing::Length(body.len()), body.len());
        Behaviour { whole_body: Some(body.to_owned()), ..behaviour }
    }

    /// Sets the beginning of the ids of the requests, which distinguishes them from those of other crowds.
    pub fn named(mut self, name: &str) -> Self {
        self.name = name.to_owned();
        self
    }

    /// Lets the clients take turns, each with a piece of its body.
    pub fn interleaved(mut self) -> Self {
        self.is_interleaved = true;
        self
    }

    /// Sends `bytes` of further requests without waiting for the response.
    pub fn with_bytes_ahead(mut self, bytes: usize) -> Self {
        self.ahead_bytes = bytes;
        self
    }

    fn new(head: &str, framing: Framing, sent_bytes: usize) -> Self {
        Behaviour {
            head: head.to_owned(),
            name: "crowd".to_owned(),
            framing,
            sent_bytes,
            whole_body: None,
            is_interleaved: false,
            ahead_bytes: 0,
        }
    }

    /// Returns the pieces that client `number` writes one after another.
    fn pieces(&self, number: usize) -> Vec<Vec<u8>> {
        let head = format!("{}\r\nRequest-Id: {}-{number}", self.head, self.name);
        let mut pieces = Vec::new();
        match self.framing {
            Framing::Head => {
                let start = format!("{head}\r\nX-Padding: ");
                let padding = vec![b'x'; self.sent_bytes.saturating_sub(start.len())];
                pieces.push(start.into_bytes());
                pieces.extend(padding.chunks(PIECE_BYTES).map(<[u8]>::to_vec));
            }
            Framing::Length(announced) => {
                let body = match &self.whole_body {
                    Some(body) => body.clone().into_bytes(),
                    None => vec![b'x'; self.sent_bytes],
                };
                pieces.push(format!("{head}\r\nContent-Length: {announced}\r\n\r\n").into_bytes());
                pieces.extend(body.chunks(PIECE_BYTES).map(<[u8]>::to_vec));
            }
            Framing::Chunks(size) => {
                let chunk = format!("{size:x}\r\n{}\r\n", "x".repeat(size)).into_bytes();
                let per_piece = (PIECE_BYTES / size).max(1);
                pieces.push(format!("{head}\r\nTransfer-Encoding: chunked\r\n\r\n").into_bytes());
                let count = self.sent_bytes / (size * per_piece);
                pieces.extend((0..count).map(|_| chunk.repeat(per_piece)));
            }
            Framing::BrokenChunks(size) => {
                let chunk = format!("{size:x}\r\n{}\r\n", "x".repeat(size)).into_bytes();
                let broken = chunk[..chunk.len() - "x\r\n".len()].to_vec();
                let per_piece = (PIECE_BYTES / size).max(1);
                let count = self.sent_bytes / size - 1;
                pieces.push(format!("{head}\r\nTransfer-Encoding: chunked\r\n\r\n").into_bytes());
                pieces.extend((0..count / per_piece).map(|_| chunk.repeat(per_piece)));
                pieces.push([chunk.repeat(count % per_piece), broken].concat());
            }
        }
        if self.ahead_bytes > 0 {
            let ahead = format!("{head}\r\nX-Padding: {}", "x".repeat(self.ahead_bytes));
            pieces.push(ahead.into_bytes());
        }
        pieces
    }
}

/// Connections that stay open until the value is dropped.
pub struct Crowd {
    streams: Vec<net::TcpStream>,
}

impl Crowd {
    /// Connects `clients` clients to `address` at once and returns after each has sent what the server
    /// takes of its request.
    pub fn start(address: net::SocketAddr, clients: usize, behaviour: &Behaviour) -> Self {
        if behaviour.is_interleaved {
            return Crowd::start_interleaved(address, clients, behaviour);
        }
        let streams = thread::scope(|scope| {
            let send =
                |number| scope.spawn(move || send_request(address, &behaviour.pieces(number)));
            let handles: Vec<_> = (0..clients).map(send).collect();
            handles.into_iter().filter_map(|handle| handle.join().ok()?.ok()).collect()
        });
        Crowd { streams }
    }

    /// Starts crowds of several kinds at once; each is given by its address, its size and its behaviour.
    pub fn start_all(kinds: Vec<(net::SocketAddr, usize, Behaviour)>) -> Vec<Self> {
        thread::scope(|scope| {
            let start = |(address, clients, behaviour)| {
                scope.spawn(move || Crowd::start(address, clients, &behaviour))
            };
            let handles: Vec<_> = kinds.into_iter().map(start).collect();
            handles.into_iter().filter_map(|handle| handle.join().ok()).collect()
        })
    }

    /// Connects `clients` clients that send nothing.
    pub fn start_silent(address: net::SocketAddr, clients: usize) -> Self {
        Crowd { streams: (0..clients).filter_map(|_| connect(address).ok()).collect() }
    }

    fn start_interleaved(address: net::SocketAddr, clients: usize, behaviour: &Behaviour) -> Self {
        let mut streams: Vec<_> = (0..clients).filter_map(|_| connect(address).ok()).collect();
        let pieces: Vec<_> = (0..streams.len()).map(|number| behaviour.pieces(number)).collect();
        let rounds = pieces.iter().map(Vec::len).max().unwrap_or(0);
        let mut has_failed = vec![false; streams.len()];
        for round in 0..rounds {
            for (number, stream) in streams.iter_mut().enumerate() {
                if let (false, Some(piece)) = (has_failed[number], pieces[number].get(round)) {
                    has_failed[number] = stream.write_all(piece).is_err();
                }
            }
        }
        Crowd { streams }
    }

    /// Number of clients that were connected.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether no client was connected.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }
}

fn connect(address: net::SocketAddr) -> io::Result<net::TcpStream> {
    let stream = net::TcpStream::connect(address)?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    Ok(stream)
}

/// Sends the pieces of a request until the server no longer takes them.
fn send_request(address: net::SocketAddr, pieces: &[Vec<u8>]) -> io::Result<net::TcpStream> {
    let mut stream = connect(address)?;
    for piece in pieces {
        if stream.write_all(piece).is_err() {
            break;
        }
    }
    Ok(stream)
}
