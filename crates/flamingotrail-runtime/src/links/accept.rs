//! Accepts links of peers. A client is a peer once its handshake is complete; until then it is anybody,
//! so handshakes have a limit, and the oldest unfinished one makes room for the next.

use std::cell;
use std::rc;

use flamingotrail_core::ids;
use flamingotrail_wire::codec;
use flamingotrail_wire::frames;
use futures_util::StreamExt as _;
use tokio_util::codec as framing;

use crate::connections;
use crate::connections::limits;
use crate::connections::report;
use crate::links;

/// Bytes of a client's packets that are buffered until its handshake is accepted or refused.
const INCOMING_BYTES: u64 = 16 << 10;
/// Part of the limit of handshakes above which a client has to confirm its address first, which takes
/// it a round trip and this instance no memory.
const UNCONFIRMED_DIVISOR: usize = 2;
/// Connections that are not established, in multiples of the limit of handshakes: QUIC keeps a closed
/// connection for a few round trips.
const LINGERING_FACTOR: usize = 4;

/// Counts a connection as established until the value is dropped.
pub struct Established {
    count: rc::Rc<cell::Cell<usize>>,
}

impl Established {
    /// Counts one more connection.
    pub fn new(count: &rc::Rc<cell::Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Established { count: count.clone() }
    }
}

impl Drop for Established {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}

/// Limits what is buffered for `max_handshakes` clients.
pub fn limit_incoming(config: &mut quinn::ServerConfig, max_handshakes: usize) {
    let max_buffered = INCOMING_BYTES.saturating_mul(max_handshakes as u64);
    config
        .max_incoming(max_handshakes)
        .incoming_buffer_size(INCOMING_BYTES)
        .incoming_buffer_size_total(max_buffered);
}

/// Accepts links until the endpoint is closed.
pub async fn accept_connections(links: links::Links) {
    while let Some(incoming) = links.endpoint.accept().await {
        if let Some((incoming, lease)) = admit(&links, incoming).await {
            actix_rt::spawn(serve(links.clone(), incoming, lease));
        }
    }
}

/// Returns a handshake that may begin, with its place.
async fn admit(
    links: &links::Links,
    incoming: quinn::Incoming,
) -> Option<(quinn::Incoming, connections::Lease)> {
    let max = links.cx.connections.limits().connections(limits::Listener::Links);
    let is_busy = links.cx.connections.usage().handshakes >= max / UNCONFIRMED_DIVISOR;
    if is_busy && incoming.may_retry() {
        if incoming.retry().is_err() {
            log::debug!("event=handshake_retry_failed");
        }
        return None;
    }
    let unfinished = links.endpoint.open_connections().saturating_sub(links.established.get());
    let place = match unfinished < max.saturating_mul(LINGERING_FACTOR) {
        true => links.cx.connections.open(limits::Listener::Links).await,
        false => {
            links.cx.connections.report().count(report::Cause::Connections, 1);
            None
        }
    };
    match place {
        Some(lease) => Some((incoming, lease)),
        None => {
            incoming.refuse();
            None
        }
    }
}

async fn serve(links: links::Links, incoming: quinn::Incoming, lease: connections::Lease) {
    let connection = tokio::select! {
        biased;
        connection = incoming => connection,
        () = lease.closed_for_room() => return,
    };
    drop(lease);
    let Ok(connection) = connection else { return };
    let _established = Established::new(&links.established);
    while let Ok(stream) = connection.accept_uni().await {
        actix_rt::spawn(receive_stream(links.clone(), stream));
    }
}

/// Receives the frames of one stream. The first frame identifies the sender.
async fn receive_stream(links: links::Links, stream: quinn::RecvStream) {
    let mut framed = framing::FramedRead::new(stream, links::frame_codec());
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
        links.cx.addresses.set_advertised(&from, address);
    }
    while let Some(Ok(bytes)) = framed.next().await {
        links.handle_frame(&from, &bytes);
    }
}
