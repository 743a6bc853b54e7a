//! Links between gateways, which relay records and look up turns for a gateway that can't reach the
//! log, tell each other about endpoints, and share the allowances of workspaces.
//!
//! Links use plain HTTP/1.1 with MessagePack bodies on a port that the platform reserves for
//! traffic between processes. QUIC is ruled out, since the platform's machines hold no keys for it.

use std::cell;
use std::collections;
use std::io;
use std::net;
use std::rc;
use std::time;

use actix_http::body;
use actix_http::Method;
use actix_http::StatusCode;
use bytes::Bytes;
use flamingotrail_adapter::configuration;
use flamingotrail_adapter::connection;
use flamingotrail_adapter::idle;
use flamingotrail_gateway::ids;
use flamingotrail_gateway::input;
use flamingotrail_gateway::journal;
use flamingotrail_wire::gateway as wire;
use flamingotrail_wire::paths;
use tokio::sync::oneshot;

use crate::byte_budget;
use crate::connections;
use crate::connections::limits as connection_limits;
use crate::connections::listener;
use crate::connections::report;
use crate::gateway::control;
use crate::gateway::pool;
use crate::http1;

pub mod allowances;
pub mod announcements;
pub mod registration;

/// Path for relayed records.
const RECORDS_PATH: &str = "/v1/records";
/// Path prefix of turn lookups; the turn's id follows.
const TURNS_PATH_PREFIX: &str = "/v1/turns/";
/// Path of probes.
const PROBE_PATH: &str = "/v1/alive";
/// Timeout for a response of another gateway: a round trip between regions, and the time that the
/// other gateway waits for the log.
const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_millis(450);
/// Timeout for connecting to another gateway.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(250);
/// Interval between two checks for room for a response.
const ROOM_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(5);
/// Maximum size of a request head. Ids of callers may fill a head of theirs, and each of their
/// characters may take three in a path.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Maximum size of a response, which may contain a long chain of turns.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// A response of another gateway, whose bytes count until it is decoded.
struct HeldResponse {
    bytes: Bytes,
    _held: byte_budget::HeldBytes,
}

impl HeldResponse {
    fn decode<T, E: std::fmt::Display>(
        self,
        decode: impl FnOnce(&[u8]) -> Result<T, E>,
    ) -> Option<T> {
        ok_or_log(decode(&self.bytes))
    }
}

/// Another gateway has not responded; it may have received the message.
struct NoResponse;

/// A response to another gateway.
enum Response {
    /// A short one.
    Encoded(Bytes),
    /// A chain of turns, which shares its texts with the tables until it is encoded.
    Lookup(input::LookupResponse),
}

/// Links to and from other gateways.
#[derive(Clone)]
pub struct PeerLinks {
    inputs: control::InputSender,
    pool: pool::Pool,
    buffers: byte_budget::ByteBudget,
    connections: connections::Connections,
    next_ticket: rc::Rc<cell::Cell<u64>>,
    waiting_requests: rc::Rc<cell::RefCell<collections::BTreeMap<u64, oneshot::Sender<Response>>>>,
}

impl PeerLinks {
    /// Creates links that pass what other gateways send to the control thread through `inputs`.
    /// Responses to and of other gateways count for `buffers`.
    pub fn new(
        inputs: control::InputSender,
        pool: pool::Pool,
        buffers: byte_budget::ByteBudget,
        connections: connections::Connections,
    ) -> Self {
        PeerLinks {
            inputs,
            pool,
            buffers,
            connections,
            next_ticket: rc::Rc::default(),
            waiting_requests: rc::Rc::default(),
        }
    }

    /// Serves other gateways at `address`.
    ///
    /// # Errors
    ///
    /// Fails if `address` can't be bound.
    pub async fn listen(self, address: net::SocketAddr) -> io::Result<()> {
        let kind = connection_limits::Listener::Peers;
        let connections = self.connections.clone();
        let listener = listener::Listener::bind(address, connections, kind).await?;
        actix_rt::spawn(async move {
            loop {
                actix_rt::spawn(self.clone().serve_connection(listener.accept().await));
            }
        });
        Ok(())
    }

    async fn serve_connection(self, mut connection: http1::Connection) {
        let limits = configuration::RequestLimits {
            max_head_bytes: MAX_HEAD_BYTES,
            ..configuration::RequestLimits::default()
        };
        while connection.wait_for_request(&limits).await.is_ok() {
            let Ok(incoming) = connection.read_request(&limits).await else { return };
            let (status, response) = self.serve_request(&incoming).await;
            let (status, response_body, _held) = self.encode_response(status, response).await;
            if status == StatusCode::BAD_REQUEST {
                self.connections.report().count(report::Cause::Invalid, 1);
            }
            let size = body::BodySize::Sized(response_body.len() as u64);
            let head = http1::empty_response(status, false);
            // The other gateway does not wait for longer, and what it does not take is held.
            let written = connection.write_head(head, size, Some(&response_body));
            match tokio::time::timeout(RESPONSE_TIMEOUT, written).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) | Err(_) => return,
            }
        }
    }

    async fn serve_request(
        &self,
        incoming: &http1::ReceivedRequest,
    ) -> (StatusCode, Option<Response>) {
        let ticket = self.next_ticket.get();
        self.next_ticket.set(ticket + 1);
        let path = incoming.request.path();
        if path == PROBE_PATH {
            return (StatusCode::OK, None);
        }
        if path == announcements::NOTICES_PATH && incoming.request.method() == Method::POST {
            return (self.receive_notices(&incoming.body), None);
        }
        if path == announcements::CRASHES_PATH && incoming.request.method() == Method::POST {
            return (self.receive_crashes(&incoming.body), None);
        }
        if path == announcements::SURVIVALS_PATH && incoming.request.method() == Method::POST {
            return (self.receive_survivals(&incoming.body), None);
        }
        let input = if path == allowances::PATH {
            match allowances::decode_question(ticket, &incoming.request, &incoming.body) {
                Some(input) => input,
                None => return (StatusCode::BAD_REQUEST, None),
            }
        } else if incoming.request.method() == Method::POST && path == RECORDS_PATH {
            match wire::decode_record(&incoming.body, wire::UnixTime::now()) {
                Ok(record) => input::Input::RelayRequested { ticket, record: Box::new(record) },
                Err(error) => {
                    log::debug!("event=relayed_record_invalid error={:?}", error.to_string());
                    return (StatusCode::BAD_REQUEST, None);
                }
            }
        } else if path == announcements::NOTICES_PATH {
            input::Input::NoticesRequested { ticket }
        } else if path == announcements::CRASHES_PATH {
            input::Input::CrashesRequested { ticket }
        } else if let Some(turn) = path.strip_prefix(TURNS_PATH_PREFIX) {
            let Some(turn) = paths::decode_segment(turn) else {
                return (StatusCode::BAD_REQUEST, None);
            };
            input::Input::LookupRequested { ticket, turn: ids::TurnId::new(turn) }
        } else {
            return (StatusCode::NOT_FOUND, None);
        };
        let (tx, rx) = oneshot::channel();
        self.waiting_requests.borrow_mut().insert(ticket, tx);
        self.inputs.send(input);
        let response = tokio::time::timeout(RESPONSE_TIMEOUT, rx).await;
        self.waiting_requests.borrow_mut().remove(&ticket);
        match response {
            Ok(Ok(response)) => (StatusCode::OK, Some(response)),
            Ok(Err(_)) | Err(_) => (StatusCode::SERVICE_UNAVAILABLE, None),
        }
    }

    /// Encodes a response as soon as there is room for it.
    async fn encode_response(
        &self,
        status: StatusCode,
        response: Option<Response>,
    ) -> (StatusCode, Bytes, Option<byte_budget::HeldBytes>) {
        let lookup = match response {
            None => return (status, Bytes::new(), None),
            Some(Response::Encoded(bytes)) => return (status, bytes, None),
            Some(Response::Lookup(lookup)) => lookup,
        };
        let length = lookup.chain.iter().map(|end| end.input.len() + end.output.len()).sum();
        let held = tokio::time::timeout(RESPONSE_TIMEOUT, async {
            loop {
                match self.buffers.hold(length) {
                    Ok(held) => return held,
                    Err(byte_budget::OutOfBudget) => tokio::time::sleep(ROOM_CHECK_INTERVAL).await,
                }
            }
        });
        let Ok(held) = held.await else {
            return (StatusCode::SERVICE_UNAVAILABLE, Bytes::new(), None);
        };
        match wire::encode_lookup_response(&lookup, wire::UnixTime::now()) {
            Ok(bytes) => (status, bytes.into(), Some(held)),
            Err(error) => {
                log::error!("event=peer_response_encoding_failed error={:?}", error.to_string());
                (StatusCode::SERVICE_UNAVAILABLE, Bytes::new(), None)
            }
        }
    }

    /// Responds to another gateway's request to append a record.
    pub fn respond_to_relay(&self, ticket: u64, response: input::RelayResponse) {
        self.respond(ticket, wire::encode_relay_response(response));
    }

    /// Responds to another gateway's lookup of a turn.
    pub fn respond_to_lookup(&self, ticket: u64, response: input::LookupResponse) {
        self.send_response(ticket, Response::Lookup(response));
    }

    fn respond<E: std::fmt::Display>(&self, ticket: u64, response: Result<Vec<u8>, E>) {
        match response {
            Ok(bytes) => self.send_response(ticket, Response::Encoded(bytes.into())),
            Err(error) => {
                self.waiting_requests.borrow_mut().remove(&ticket);
                log::error!("event=peer_response_encoding_failed error={:?}", error.to_string());
            }
        }
    }

    fn send_response(&self, ticket: u64, response: Response) {
        let Some(tx) = self.waiting_requests.borrow_mut().remove(&ticket) else { return };
        if tx.send(response).is_err() {
            log::debug!("event=peer_disconnected ticket={ticket}");
        }
    }

    /// Asks another gateway to append a record to the log.
    pub fn relay_record(&self, peer: ids::InstanceName, address: String, record: journal::Record) {
        let Some(key) = record.key() else { return };
        let peers = self.clone();
        actix_rt::spawn(async move {
            let response = match wire::encode_record(&record, wire::UnixTime::now()) {
                Ok(body) => {
                    let response =
                        peers.request(&peer, &address, "POST", RECORDS_PATH, body.into()).await;
                    response.and_then(|response| response.decode(wire::decode_relay_response))
                }
                Err(error) => {
                    log::error!("event=record_encoding_failed error={:?}", error.to_string());
                    None
                }
            };
            peers.inputs.send(input::Input::RelayFinished { peer, key, response });
        });
    }

    /// Probes another gateway. Any response counts, so that versions without the path respond, too.
    pub fn probe(&self, peer: ids::InstanceName, address: String) {
        let peers = self.clone();
        actix_rt::spawn(async move {
            let reuse = idle::Reuse::Idle;
            let response =
                peers.try_request(&peer, &address, "GET", PROBE_PATH, Bytes::new(), reuse);
            let has_responded = response.await.is_ok();
            peers.inputs.send(input::Input::PeerProbed { peer, has_responded });
        });
    }

    /// Looks up a turn at another gateway.
    pub fn look_up_turn(
        &self,
        call: ids::CallId,
        peer: ids::InstanceName,
        address: String,
        turn: ids::TurnId,
    ) {
        let peers = self.clone();
        actix_rt::spawn(async move {
            let path = format!("{TURNS_PATH_PREFIX}{}", paths::encode_segment(turn.as_str()));
            let response = peers.request(&peer, &address, "GET", &path, Bytes::new()).await;
            let decode = |bytes: &[u8]| wire::decode_lookup_response(bytes, wire::UnixTime::now());
            let response = response.and_then(|response| response.decode(decode));
            peers.inputs.send(input::Input::LookupFinished { call, peer, response });
        });
    }

    /// Sends a message that may arrive twice, once more on a new connection if the first try gets no
    /// response: an idle connection may have gone silent.
    async fn request_persistently(
        &self,
        peer: &ids::InstanceName,
        address: &str,
        method: &str,
        path: &str,
        body: Bytes,
    ) -> Option<HeldResponse> {
        let first =
            self.try_request(peer, address, method, path, body.clone(), idle::Reuse::Idle).await;
        match first {
            Ok(response) => response,
            Err(NoResponse) => {
                let second =
                    self.try_request(peer, address, method, path, body, idle::Reuse::Never);
                second.await.ok().flatten()
            }
        }
    }

    async fn request(
        &self,
        peer: &ids::InstanceName,
        address: &str,
        method: &str,
        path: &str,
        body: Bytes,
    ) -> Option<HeldResponse> {
        let response = self.try_request(peer, address, method, path, body, idle::Reuse::Idle);
        response.await.ok().flatten()
    }

    async fn try_request(
        &self,
        peer: &ids::InstanceName,
        address: &str,
        method: &str,
        path: &str,
        body: Bytes,
        reuse: idle::Reuse,
    ) -> Result<Option<HeldResponse>, NoResponse> {
        match self.send_request(peer, address, method, path, body, reuse).await {
            Ok(response) => Ok(response),
            Err(error) => {
                log::debug!("event=peer_request_failed peer={peer} error={:?}", error.to_string());
                Err(NoResponse)
            }
        }
    }

    async fn send_request(
        &self,
        peer: &ids::InstanceName,
        address: &str,
        method: &str,
        path: &str,
        body: Bytes,
        reuse: idle::Reuse,
    ) -> Result<Option<HeldResponse>, connection::ConnectionError> {
        let key = ids::EndpointId::new(peer.as_str());
        let sent_at = time::Instant::now();
        let exchange = self.exchange(&key, address, method, path, body, reuse);
        let result = match tokio::time::timeout(RESPONSE_TIMEOUT, exchange).await {
            Ok(result) => result,
            Err(_) => Err(io::Error::from(io::ErrorKind::TimedOut).into()),
        };
        if result.is_err() {
            self.pool.discredit(&key, sent_at);
        }
        result
    }

    async fn exchange(
        &self,
        key: &ids::EndpointId,
        address: &str,
        method: &str,
        path: &str,
        body: Bytes,
        reuse: idle::Reuse,
    ) -> Result<Option<HeldResponse>, connection::ConnectionError> {
        let idle = match reuse {
            idle::Reuse::Idle => self.pool.take(key, false),
            idle::Reuse::Never => None,
        };
        let mut connection = match idle {
            Some(connection) => connection,
            None => pool::connect(address, CONNECT_TIMEOUT).await?,
        };
        let length = body.len();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {length}\r\n\r\n"
        );
        let response = connection.exchange(head.as_bytes(), &[body]).await?;
        let mut held = self.buffers.begin();
        let mut held_length = 0;
        let has_room = |length: usize| {
            let has_room = held.add(length - held_length).is_ok();
            held_length = length;
            has_room && length <= MAX_RESPONSE_BYTES
        };
        let bytes = connection.read_body_while(has_room).await?;
        self.pool.put(key, connection);
        Ok((response.status == 200).then_some(HeldResponse { bytes, _held: held }))
    }
}

/// Returns the decoded or encoded value; logs an error.
pub(super) fn ok_or_log<T, E: std::fmt::Display>(decoded: Result<T, E>) -> Option<T> {
    match decoded {
        Ok(value) => Some(value),
        Err(error) => {
            log::warn!("event=peer_message_invalid error={:?}", error.to_string());
            None
        }
    }
}
