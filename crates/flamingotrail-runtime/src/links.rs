//! Links between processes: QUIC with mutual TLS, opened on need and closed when idle.
//!
//! A process sends to another on one-way streams of its own connection: one for control, one for
//! text, so that a long message does not hold up tokens. Frames are length-delimited.

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
use futures_util::StreamExt as _;
use tokio::sync::mpsc;
use tokio_util::codec as framing;

use crate::address;
use crate::control;
use crate::metrics;
use crate::relay;
use crate::tls;

/// Frames that wait for one connection at most; more are lost and sent again where that matters.
const QUEUE: usize = 4096;
/// How long a connection may take to stand.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(800);
/// A connection without traffic is closed after this.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Both ends of all links of this process; used on one thread.
#[derive(Clone)]
pub struct Links {
    endpoint: quinn::Endpoint,
    own: ids::InstanceName,
    own_address: net::SocketAddr,
    book: address::AddressBook,
    commands: control::CommandSender,
    relay: relay::TextRelay,
    metrics: metrics::Metrics,
    senders: rc::Rc<cell::RefCell<collections::BTreeMap<ids::InstanceName, mpsc::Sender<Queued>>>>,
}

/// A frame that waits for a connection.
enum Queued {
    Control(Bytes),
    Text(Bytes),
}

/// Links that can't be opened.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The address can't be used.
    #[error("{address} can't be used for links: {error}; give a free address of this instance")]
    Bind {
        /// The address.
        address: net::SocketAddr,
        /// Why.
        error: std::io::Error,
    },
    /// The peer has no known address.
    #[error("no address is known for {0}; check the platform's list")]
    NoAddress(ids::InstanceName),
    /// No connection.
    #[error("{peer} can't be reached: {detail}; check that it runs")]
    Unreachable {
        /// The peer.
        peer: ids::InstanceName,
        /// Why.
        detail: String,
    },
}

fn transport() -> sync::Arc<quinn::TransportConfig> {
    let mut transport = quinn::TransportConfig::default();
    let idle = quinn::IdleTimeout::try_from(IDLE_TIMEOUT).ok();
    transport.max_idle_timeout(idle);
    sync::Arc::new(transport)
}

impl Links {
    /// Opens the process's end at the first address and accepts links; peers are told the second.
    ///
    /// # Errors
    ///
    /// An address that can't be used.
    pub fn new(
        own: &ids::InstanceName,
        (address, advertised): (net::SocketAddr, net::SocketAddr),
        configs: tls::LinkConfigs,
        book: address::AddressBook,
        commands: control::CommandSender,
        relay: relay::TextRelay,
        metrics: metrics::Metrics,
    ) -> Result<Self, LinkError> {
        let tls::LinkConfigs { mut server, mut client } = configs;
        server.transport_config(transport());
        client.transport_config(transport());
        let bind = |error| LinkError::Bind { address, error };
        let mut endpoint = quinn::Endpoint::server(server, address).map_err(bind)?;
        endpoint.set_default_client_config(client);
        let links = Links {
            endpoint,
            own: own.clone(),
            own_address: advertised,
            book,
            commands,
            relay,
            metrics,
            senders: rc::Rc::default(),
        };
        actix_rt::spawn(accept(links.clone()));
        Ok(links)
    }

    /// Sends a message; it may get lost.
    pub fn send(&self, to: &ids::InstanceName, envelope: messages::Envelope) {
        let frame = frames::Frame::Control(wire_messages::Envelope::from(envelope));
        let bytes = Bytes::from(codec::encode(&frame));
        self.metrics.control_bytes.inc_by(bytes.len() as u64);
        self.queue(to, Queued::Control(bytes));
    }

    /// Sends a piece of an attempt's text to its owner.
    pub fn send_attempt_text(
        &self,
        to: &ids::InstanceName,
        attempt: &ids::AttemptId,
        at: usize,
        text: &str,
    ) {
        if *to == self.own {
            self.take_attempt_text(attempt, at, text);
            return;
        }
        let chunk = frames::TextChunk {
            attempt: Some(attempt.clone().into()),
            request: None,
            at: at as u64,
            text: text.to_owned(),
        };
        self.queue(to, Queued::Text(Bytes::from(codec::encode(&frames::Frame::Text(chunk)))));
    }

    /// Sends a piece of text on to the entry that has the caller.
    pub fn forward(&self, forward: core_relay::ForwardedText) {
        let chunk = frames::TextChunk {
            attempt: None,
            request: Some(forward.request.into()),
            at: forward.at as u64,
            text: forward.text,
        };
        let bytes = Bytes::from(codec::encode(&frames::Frame::Text(chunk)));
        self.queue(&forward.entry, Queued::Text(bytes));
    }

    fn take_attempt_text(&self, attempt: &ids::AttemptId, at: usize, text: &str) {
        if let Some(forward) =
            self.relay.with_attempt_texts(|texts| texts.append(attempt, at, text))
        {
            self.forward(forward);
        }
    }

    fn queue(&self, to: &ids::InstanceName, frame: Queued) {
        let sender = self.senders.borrow().get(to).cloned();
        let sender = match sender {
            Some(sender) if !sender.is_closed() => sender,
            _ => self.start_sender(to),
        };
        if sender.try_send(frame).is_err() {
            log::debug!("event=frame_dropped peer={to} reason=queue_full");
        }
    }

    fn start_sender(&self, to: &ids::InstanceName) -> mpsc::Sender<Queued> {
        let (tx, rx) = mpsc::channel(QUEUE);
        self.senders.borrow_mut().insert(to.clone(), tx.clone());
        let links = self.clone();
        let to = to.clone();
        actix_rt::spawn(async move {
            if let Err(error) = links.run_sender(&to, rx).await {
                log::debug!("event=link_failed peer={to} error={:?}", error.to_string());
                links.commands.send_input(input::Input::PeerDisconnected(to));
            }
        });
        tx
    }

    /// Connects and sends frames until the link is idle or fails.
    async fn run_sender(
        &self,
        to: &ids::InstanceName,
        mut rx: mpsc::Receiver<Queued>,
    ) -> Result<(), LinkError> {
        let unreachable = |detail: String| LinkError::Unreachable { peer: to.clone(), detail };
        let connection = self.connect(to).await?;
        let mut control = self.open(&connection, to).await?;
        let mut text = self.open(&connection, to).await?;
        loop {
            let frame = match actix_rt::time::timeout(IDLE_TIMEOUT / 2, rx.recv()).await {
                Ok(Some(frame)) => frame,
                Ok(None) => return Ok(()),
                Err(_) if rx.is_empty() => {
                    // Idle: a frame that comes in from here on opens a new link.
                    rx.close();
                    if rx.is_empty() {
                        return Ok(());
                    }
                    continue;
                }
                Err(_) => continue,
            };
            let sent = match frame {
                Queued::Control(bytes) => control.send(bytes).await,
                Queued::Text(bytes) => text.send(bytes).await,
            };
            sent.map_err(|error| unreachable(error.to_string()))?;
        }
    }

    async fn connect(&self, to: &ids::InstanceName) -> Result<quinn::Connection, LinkError> {
        let address = self.book.lookup(to).ok_or_else(|| LinkError::NoAddress(to.clone()))?;
        let unreachable = |detail: String| LinkError::Unreachable { peer: to.clone(), detail };
        let connecting = self
            .endpoint
            .connect(address, tls::SERVER_NAME)
            .map_err(|error| unreachable(error.to_string()))?;
        match actix_rt::time::timeout(CONNECT_TIMEOUT, connecting).await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(error)) => Err(unreachable(error.to_string())),
            Err(_) => Err(unreachable("no answer".to_owned())),
        }
    }

    async fn open(
        &self,
        connection: &quinn::Connection,
        to: &ids::InstanceName,
    ) -> Result<framing::FramedWrite<quinn::SendStream, framing::LengthDelimitedCodec>, LinkError>
    {
        let unreachable = |detail: String| LinkError::Unreachable { peer: to.clone(), detail };
        let stream = connection.open_uni().await.map_err(|error| unreachable(error.to_string()))?;
        let mut framed = framing::FramedWrite::new(stream, frame_codec());
        let hello = frames::Hello {
            instance: self.own.clone().into(),
            address: self.own_address.to_string(),
        };
        let sent = framed.send(Bytes::from(codec::encode(&hello))).await;
        sent.map_err(|error| unreachable(error.to_string()))?;
        Ok(framed)
    }

    fn take_frame(&self, from: &ids::InstanceName, bytes: &[u8]) {
        match codec::decode::<frames::Frame>(bytes) {
            Ok(frames::Frame::Control(envelope)) => {
                let from = from.clone();
                let envelope = messages::Envelope::from(envelope);
                let input = input::Input::PeerMessage { from, envelope };
                if self.commands.try_send(control::Command::Input(input)).is_err() {
                    log::warn!("event=message_dropped reason=inbox_full");
                }
            }
            Ok(frames::Frame::Text(chunk)) => self.take_text(chunk),
            Err(error) => {
                log::warn!("event=frame_skipped peer={from} error={:?}", error.to_string())
            }
        }
    }

    fn take_text(&self, chunk: frames::TextChunk) {
        let at = usize::try_from(chunk.at).unwrap_or(usize::MAX);
        if let Some(attempt) = chunk.attempt {
            self.take_attempt_text(&attempt.into(), at, &chunk.text);
        } else if let Some(request) = chunk.request {
            self.relay.append_caller_text(request.into(), at, &chunk.text);
        }
    }
}

fn frame_codec() -> framing::LengthDelimitedCodec {
    framing::LengthDelimitedCodec::builder().max_frame_length(frames::MAX_FRAME_BYTES).new_codec()
}

async fn accept(links: Links) {
    while let Some(incoming) = links.endpoint.accept().await {
        let links = links.clone();
        actix_rt::spawn(async move {
            let Ok(connection) = incoming.await else {
                return;
            };
            while let Ok(stream) = connection.accept_uni().await {
                actix_rt::spawn(receive(links.clone(), stream));
            }
        });
    }
}

/// Reads one stream: who sends, then frames.
async fn receive(links: Links, stream: quinn::RecvStream) {
    let mut framed = framing::FramedRead::new(stream, frame_codec());
    let Some(Ok(first)) = framed.next().await else {
        return;
    };
    let hello = match codec::decode::<frames::Hello>(&first) {
        Ok(hello) => hello,
        Err(error) => {
            log::warn!("event=stream_refused error={:?}", error.to_string());
            return;
        }
    };
    let from = ids::InstanceName::from(hello.instance);
    if let Ok(address) = hello.address.parse() {
        links.book.set_advertised(&from, address);
    }
    while let Some(Ok(bytes)) = framed.next().await {
        links.take_frame(&from, &bytes);
    }
}
