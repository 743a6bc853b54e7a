//! Links between instances: QUIC connections with mutual TLS that are opened on demand and closed
//! when idle.
//!
//! To send to a peer, an instance opens a connection with two unidirectional streams: one for
//! control messages and one for text, so that a long control message doesn't delay text. Frames
//! are length-delimited.

use std::cell;
use std::collections;
use std::net;
use std::rc;
use std::sync;
use std::time;

use bytes::Bytes;
use flamingotrail_core::ids;
use flamingotrail_core::input;
use flamingotrail_core::messages;
use flamingotrail_core::relay as core_relay;
use flamingotrail_wire::codec;
use flamingotrail_wire::frames;
use flamingotrail_wire::messages as wire_messages;
use futures_util::SinkExt as _;
use tokio::sync::mpsc;
use tokio_util::codec as framing;

use crate::address;
use crate::byte_budget;
use crate::connections;
use crate::connections::limits;
use crate::connections::report;
use crate::control;
use crate::metrics;
use crate::relay;
use crate::tls;

mod accept;

/// Capacity of the frame queue of one connection. Frames beyond it are dropped; messages that must
/// arrive are retransmitted.
const QUEUE_CAPACITY: usize = 4096;
/// Frames up to this size are queued in any case, so that large ones for a peer that does not read leave
/// room for others.
const SMALL_FRAME_BYTES: usize = 8 << 10;
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(800);
/// Time without traffic after which a connection is closed.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// What links share with the rest of the process.
#[derive(Clone)]
pub struct Context {
    /// Addresses of peers.
    pub addresses: address::AddressBook,
    /// Commands for the control thread.
    pub commands: control::CommandSender,
    /// Texts of running calls.
    pub relay: relay::TextRelay,
    /// Metrics.
    pub metrics: metrics::Metrics,
    /// Connections of clients; a handshake is one until it is complete.
    pub connections: connections::Connections,
}

/// Sends and receives frames over the links of this instance. It is used on one thread, so its
/// shared state needs no lock.
#[derive(Clone)]
pub struct Links {
    endpoint: quinn::Endpoint,
    own_instance: ids::InstanceName,
    own_address: net::SocketAddr,
    cx: Context,
    /// Bytes of the frames that wait to be sent to any peer.
    queued: byte_budget::ByteBudget,
    /// Number of connections whose handshake is complete, and of those that this instance opens.
    established: rc::Rc<cell::Cell<usize>>,
    senders:
        rc::Rc<cell::RefCell<collections::BTreeMap<ids::InstanceName, mpsc::Sender<QueuedFrame>>>>,
}

/// An encoded frame that waits to be sent.
struct QueuedFrame {
    stream: Stream,
    bytes: Bytes,
    _held: byte_budget::HeldBytes,
}

/// A stream of a link.
#[derive(Clone, Copy, Debug)]
enum Stream {
    Control,
    Text,
}

/// An error of a link.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The local address can't be bound.
    #[error("can't bind {address} for links: {error}; set it to a free address of this instance")]
    Bind {
        /// The address.
        address: net::SocketAddr,
        /// The cause.
        error: std::io::Error,
    },
    /// No address of the peer is known.
    #[error("no address is known for {0}; check that the platform's instance list contains it")]
    NoAddress(ids::InstanceName),
    /// The connection to the peer can't be established or failed.
    #[error("can't reach {peer}: {detail}; check that the peer is running")]
    Unreachable {
        /// The peer.
        peer: ids::InstanceName,
        /// Description of the failure.
        detail: String,
    },
}

fn transport_config() -> sync::Arc<quinn::TransportConfig> {
    let mut transport = quinn::TransportConfig::default();
    let idle = quinn::IdleTimeout::try_from(IDLE_TIMEOUT).ok();
    transport.max_idle_timeout(idle);
    sync::Arc::new(transport)
}

impl Links {
    /// Binds `address`, starts to accept links, and advertises `advertised` to peers.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn new(
        own_instance: &ids::InstanceName,
        (address, advertised): (net::SocketAddr, net::SocketAddr),
        configs: tls::LinkConfigs,
        cx: Context,
    ) -> Result<Self, LinkError> {
        let tls::LinkConfigs { mut server, mut client } = configs;
        server.transport_config(transport_config());
        accept::limit_incoming(
            &mut server,
            cx.connections.limits().connections(limits::Listener::Links),
        );
        client.transport_config(transport_config());
        let bind_error = |error| LinkError::Bind { address, error };
        let mut endpoint = quinn::Endpoint::server(server, address).map_err(bind_error)?;
        endpoint.set_default_client_config(client);
        let queued = cx.connections.link_queues().clone().with_free_bytes(SMALL_FRAME_BYTES);
        let links = Links {
            endpoint,
            own_instance: own_instance.clone(),
            own_address: advertised,
            cx,
            queued,
            established: rc::Rc::default(),
            senders: rc::Rc::default(),
        };
        actix_rt::spawn(accept::accept_connections(links.clone()));
        Ok(links)
    }

    /// Sends a control message. Delivery is not guaranteed.
    pub fn send(&self, to: &ids::InstanceName, envelope: messages::Envelope) {
        let frame = frames::Frame::Control(wire_messages::Envelope::from(envelope));
        let bytes = Bytes::from(codec::encode(&frame));
        self.cx.metrics.control_bytes.inc_by(bytes.len() as u64);
        self.enqueue(to, Stream::Control, bytes);
    }

    /// Sends a chunk of an attempt's text, which starts at byte `offset`, to the attempt's owner.
    pub fn send_attempt_text(
        &self,
        to: &ids::InstanceName,
        attempt: &ids::AttemptId,
        offset: usize,
        text: &str,
    ) {
        if *to == self.own_instance {
            self.append_attempt_text(attempt, offset, text);
            return;
        }
        let chunk = frames::TextChunk {
            attempt: Some(attempt.clone().into()),
            request: None,
            at: offset as u64,
            text: text.to_owned(),
        };
        let bytes = Bytes::from(codec::encode(&frames::Frame::Text(chunk)));
        self.enqueue(to, Stream::Text, bytes);
    }

    /// Sends a chunk of text to the entry instance of the caller.
    pub fn forward_text(&self, forwarded: core_relay::ForwardedText) {
        let chunk = frames::TextChunk {
            attempt: None,
            request: Some(forwarded.request.into()),
            at: forwarded.at as u64,
            text: forwarded.text,
        };
        let bytes = Bytes::from(codec::encode(&frames::Frame::Text(chunk)));
        self.enqueue(&forwarded.entry, Stream::Text, bytes);
    }

    fn append_attempt_text(&self, attempt: &ids::AttemptId, offset: usize, text: &str) {
        if let Some(forwarded) =
            self.cx.relay.with_attempt_texts(|texts| texts.append(attempt, offset, text))
        {
            self.forward_text(forwarded);
        }
    }

    /// Queues a frame, or drops it if the queue or its memory is full.
    fn enqueue(&self, to: &ids::InstanceName, stream: Stream, bytes: Bytes) {
        let Ok(held) = self.queued.hold(bytes.len()) else {
            self.cx.connections.report().count(report::Cause::Links, 1);
            return;
        };
        let frame = QueuedFrame { stream, bytes, _held: held };
        let sender = self.senders.borrow().get(to).cloned();
        let sender = match sender {
            Some(sender) if !sender.is_closed() => sender,
            _ => self.start_sender(to),
        };
        if sender.try_send(frame).is_err() {
            log::debug!("event=frame_dropped peer={to} reason=queue_full");
        }
    }

    fn start_sender(&self, to: &ids::InstanceName) -> mpsc::Sender<QueuedFrame> {
        let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
        self.senders.borrow_mut().insert(to.clone(), tx.clone());
        let links = self.clone();
        let to = to.clone();
        actix_rt::spawn(async move {
            if let Err(error) = links.run_sender(&to, rx).await {
                log::debug!("event=link_failed peer={to} error={:?}", error.to_string());
                links.cx.commands.send_input(input::Input::PeerDisconnected(to));
            }
        });
        tx
    }

    /// Connects to a peer and sends frames until the link is idle or fails.
    async fn run_sender(
        &self,
        to: &ids::InstanceName,
        mut rx: mpsc::Receiver<QueuedFrame>,
    ) -> Result<(), LinkError> {
        let unreachable = |detail: String| LinkError::Unreachable { peer: to.clone(), detail };
        let _established = accept::Established::new(&self.established);
        let connection = self.connect(to).await?;
        let mut control_stream = self.open_stream(&connection, to).await?;
        let mut text_stream = self.open_stream(&connection, to).await?;
        loop {
            let frame = match actix_rt::time::timeout(IDLE_TIMEOUT / 2, rx.recv()).await {
                Ok(Some(frame)) => frame,
                Ok(None) => return Ok(()),
                Err(_) if rx.is_empty() => {
                    // The link is idle. Frames queued from now on open a new link; frames queued
                    // before the close are still sent.
                    rx.close();
                    if rx.is_empty() {
                        return Ok(());
                    }
                    continue;
                }
                Err(_) => continue,
            };
            let sent = match frame.stream {
                Stream::Control => control_stream.send(frame.bytes).await,
                Stream::Text => text_stream.send(frame.bytes).await,
            };
            sent.map_err(|error| unreachable(error.to_string()))?;
        }
    }

    async fn connect(&self, to: &ids::InstanceName) -> Result<quinn::Connection, LinkError> {
        let address =
            self.cx.addresses.lookup(to).ok_or_else(|| LinkError::NoAddress(to.clone()))?;
        let unreachable = |detail: String| LinkError::Unreachable { peer: to.clone(), detail };
        let connecting = self
            .endpoint
            .connect(address, tls::SERVER_NAME)
            .map_err(|error| unreachable(error.to_string()))?;
        match actix_rt::time::timeout(CONNECT_TIMEOUT, connecting).await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(error)) => Err(unreachable(error.to_string())),
            Err(_) => Err(unreachable("connection timed out".to_owned())),
        }
    }

    async fn open_stream(
        &self,
        connection: &quinn::Connection,
        to: &ids::InstanceName,
    ) -> Result<framing::FramedWrite<quinn::SendStream, framing::LengthDelimitedCodec>, LinkError>
    {
        let unreachable = |detail: String| LinkError::Unreachable { peer: to.clone(), detail };
        let stream = connection.open_uni().await.map_err(|error| unreachable(error.to_string()))?;
        let mut framed = framing::FramedWrite::new(stream, frame_codec());
        let hello = frames::Hello {
            instance: self.own_instance.clone().into(),
            address: self.own_address.to_string(),
        };
        let sent = framed.send(Bytes::from(codec::encode(&hello))).await;
        sent.map_err(|error| unreachable(error.to_string()))?;
        Ok(framed)
    }

    fn handle_frame(&self, from: &ids::InstanceName, bytes: &[u8]) {
        match codec::decode::<frames::Frame>(bytes) {
            Ok(frames::Frame::Control(envelope)) => {
                let from = from.clone();
                let envelope = messages::Envelope::from(envelope);
                let input = input::Input::PeerMessage { from, envelope };
                if self.cx.commands.try_send(control::Command::Input(input)).is_err() {
                    log::warn!("event=message_dropped reason=inbox_full");
                }
            }
            Ok(frames::Frame::Text(chunk)) => self.handle_text(chunk),
            Err(error) => {
                log::warn!("event=frame_skipped peer={from} error={:?}", error.to_string())
            }
        }
    }

    fn handle_text(&self, chunk: frames::TextChunk) {
        let offset = usize::try_from(chunk.at).unwrap_or(usize::MAX);
        if let Some(attempt) = chunk.attempt {
            self.append_attempt_text(&attempt.into(), offset, &chunk.text);
        } else if let Some(request) = chunk.request {
            self.cx.relay.append_caller_text(request.into(), offset, &chunk.text);
        }
    }
}

fn frame_codec() -> framing::LengthDelimitedCodec {
    framing::LengthDelimitedCodec::builder().max_frame_length(frames::MAX_FRAME_BYTES).new_codec()
}
