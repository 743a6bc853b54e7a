//! A crowd of clients that begin QUIC handshakes and never answer.

use std::collections;
use std::error;
use std::io;
use std::net;
use std::sync;
use std::time;

/// Handshakes that are begun before a pause.
const BATCH: usize = 20;
/// Pause after a batch, so that the first packets are not lost at full buffers.
const BATCH_INTERVAL: time::Duration = time::Duration::from_millis(10);
/// Protocol of the links.
const ALPN: &[u8] = b"flamingotrail/1";
/// Name of the server that the clients ask for.
const SERVER: &str = "peer.example";
/// Form and type of a QUIC packet in its first byte, and those of a packet that asks a client to confirm
/// its address.
const PACKET_TYPE_MASK: u8 = 0b1011_0000;
const RETRY_PACKET: u8 = 0b1011_0000;
/// Bytes of a QUIC packet before the length of its destination's id.
const FIXED_HEADER_BYTES: usize = 5;
/// Largest datagram of a client, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// What the clients of a crowd answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answers {
    /// Nothing: each sends only its first packet.
    Nothing,
    /// A server that asks them to confirm their address.
    Retry,
}

/// Clients that share a socket, which passes on only the packets that begin handshakes.
pub struct Crowd {
    begun: sync::Arc<sync::Mutex<Begun>>,
    _endpoint: quinn::Endpoint,
}

/// Destinations' ids of the packets that were passed on.
type Begun = collections::BTreeSet<Vec<u8>>;

impl Crowd {
    /// Begins `count` handshakes at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if no socket can be bound or a handshake can't be begun.
    pub async fn start(
        address: net::SocketAddr,
        count: usize,
        answers: Answers,
    ) -> io::Result<Self> {
        let local = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        let clients = sync::Arc::new(tokio::net::UdpSocket::bind(local).await?);
        let server = sync::Arc::new(tokio::net::UdpSocket::bind(local).await?);
        server.connect(address).await?;
        let endpoint = quinn::Endpoint::client(local)?;
        let target = clients.local_addr()?;
        let config = client_config().map_err(io::Error::other)?;
        let begun = sync::Arc::new(sync::Mutex::new(Begun::new()));
        actix_rt::spawn(pass_on_first_packets(clients.clone(), server.clone(), begun.clone()));
        if answers == Answers::Retry {
            actix_rt::spawn(pass_on_retries(server, clients.clone(), endpoint.local_addr()?));
        }
        for _ in 0..count.div_ceil(BATCH) {
            let attempts: Result<Vec<_>, _> =
                (0..BATCH).map(|_| endpoint.connect_with(config.clone(), target, SERVER)).collect();
            let attempts = attempts.map_err(io::Error::other)?;
            tokio::time::sleep(BATCH_INTERVAL).await;
            drop(attempts);
        }
        Ok(Crowd { begun, _endpoint: endpoint })
    }

    /// Number of handshakes that were begun.
    pub fn len(&self) -> usize {
        self.begun.lock().unwrap_or_else(sync::PoisonError::into_inner).len()
    }

    /// Whether no handshake was begun.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

async fn pass_on_first_packets(
    clients: sync::Arc<tokio::net::UdpSocket>,
    server: sync::Arc<tokio::net::UdpSocket>,
    begun: sync::Arc<sync::Mutex<Begun>>,
) {
    let mut buf = [0; MAX_DATAGRAM_BYTES];
    while let Ok((length, _)) = clients.recv_from(&mut buf).await {
        let Some(id) = destination(&buf[..length]) else { continue };
        let is_first = begun.lock().unwrap_or_else(sync::PoisonError::into_inner).insert(id);
        if is_first && server.send(&buf[..length]).await.is_err() {
            return;
        }
    }
}

async fn pass_on_retries(
    server: sync::Arc<tokio::net::UdpSocket>,
    clients: sync::Arc<tokio::net::UdpSocket>,
    endpoint: net::SocketAddr,
) {
    let mut buf = [0; MAX_DATAGRAM_BYTES];
    while let Ok(length) = server.recv(&mut buf).await {
        let is_retry = buf[0] & PACKET_TYPE_MASK == RETRY_PACKET;
        if is_retry && clients.send_to(&buf[..length], endpoint).await.is_err() {
            return;
        }
    }
}

/// Returns the destination's id, which differs between connections, of a client's first packet.
fn destination(datagram: &[u8]) -> Option<Vec<u8>> {
    let length = usize::from(*datagram.get(FIXED_HEADER_BYTES)?);
    let id = datagram.get(FIXED_HEADER_BYTES + 1..)?.get(..length)?;
    Some(id.to_vec())
}

fn client_config() -> Result<quinn::ClientConfig, Box<dyn error::Error + Send + Sync>> {
    let provider = sync::Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_root_certificates(rustls::RootCertStore::empty())
        .with_no_client_auth();
    tls.alpn_protocols = vec![ALPN.to_vec()];
    let crypto = quinn::crypto::rustls::QuicClientConfig::try_from(tls)?;
    Ok(quinn::ClientConfig::new(sync::Arc::new(crypto)))
}
