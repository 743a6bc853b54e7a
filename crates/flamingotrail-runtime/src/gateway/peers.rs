//! Links between gateways: records that the log does not take, and turns that it does not have.
//!
//! Plain HTTP/1.1 with MessagePack bodies on the port that the platform leaves for processes: there
//! are no keys on its machines with which QUIC could be set up.

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
use flamingotrail_adapter::store;
use flamingotrail_gateway::ids;
use flamingotrail_gateway::input;
use flamingotrail_gateway::journal;
use flamingotrail_gateway::tables::peers;
use flamingotrail_wire::gateway as wire;
use tokio::sync::oneshot;

use crate::gateway::control;
use crate::gateway::http1;
use crate::gateway::pool;
use crate::gateway::watch;

/// Path for records that are entrusted.
const RECORDS: &str = "/v1/records";
/// Path before the id of a turn that is sought.
const TURNS: &str = "/v1/turns/";
/// Time for an answer of another gateway: a round trip between regions, and its wait for the log.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(450);
/// Time for a connection to another gateway.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(250);
/// Bytes of an answer at most: a long chain.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// How long a reading of the gateways' entries waits at the store for a change.
const ENTRIES_WAIT: time::Duration = time::Duration::from_secs(10);
/// Pause after a failed reading or writing of entries.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(500);

/// Links to and from other gateways.
#[derive(Clone)]
pub struct PeerLinks {
    inputs: control::InputSender,
    pool: pool::Pool,
    next: rc::Rc<cell::Cell<u64>>,
    waiting: rc::Rc<cell::RefCell<collections::BTreeMap<u64, oneshot::Sender<Bytes>>>>,
}

impl PeerLinks {
    /// Links that hand what other gateways say to `inputs`.
    pub fn new(inputs: control::InputSender, pool: pool::Pool) -> Self {
        PeerLinks { inputs, pool, next: rc::Rc::default(), waiting: rc::Rc::default() }
    }

    /// Serves other gateways at `address`.
    ///
    /// # Errors
    ///
    /// An address that can't be used.
    pub async fn listen(self, address: net::SocketAddr) -> io::Result<()> {
        let listener = tokio::net::TcpListener::bind(address).await?;
        actix_rt::spawn(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        actix_rt::spawn(self.clone().serve(http1::Connection::new(stream)));
                    }
                    Err(error) => {
                        log::warn!("event=accept_failed error={:?}", error.to_string());
                        actix_rt::time::sleep(RETRY_PAUSE).await;
                    }
                }
            }
        });
        Ok(())
    }

    async fn serve(self, mut connection: http1::Connection) {
        let limits = configuration::RequestLimits::default();
        while connection.wait_for_request(&limits).await.is_ok() {
            let Ok(incoming) = connection.read_request(&limits).await else { return };
            let (status, answer) = self.answer(&incoming).await;
            let size = body::BodySize::Sized(answer.len() as u64);
            let head = http1::empty_response(status, false);
            if connection.write_head(head, size, Some(&answer)).await.is_err() {
                return;
            }
        }
    }

    async fn answer(&self, incoming: &http1::ReceivedRequest) -> (StatusCode, Bytes) {
        let ticket = self.next.get();
        self.next.set(ticket + 1);
        let path = incoming.request.path();
        let question = if incoming.request.method() == Method::POST && path == RECORDS {
            match wire::decode_record(&incoming.body) {
                Ok(record) => input::Input::RelayRequested { ticket, record: Box::new(record) },
                Err(error) => {
                    log::warn!("event=record_unreadable error={:?}", error.to_string());
                    return (StatusCode::BAD_REQUEST, Bytes::new());
                }
            }
        } else if let Some(turn) = path.strip_prefix(TURNS) {
            input::Input::LookupRequested { ticket, turn: ids::TurnId::new(turn) }
        } else {
            return (StatusCode::NOT_FOUND, Bytes::new());
        };
        let (tx, rx) = oneshot::channel();
        self.waiting.borrow_mut().insert(ticket, tx);
        self.inputs.send(question);
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, rx).await;
        self.waiting.borrow_mut().remove(&ticket);
        match answer {
            Ok(Ok(bytes)) => (StatusCode::OK, bytes),
            Ok(Err(_)) | Err(_) => (StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        }
    }

    /// Answers another gateway about a record.
    pub fn answer_relay(&self, ticket: u64, answer: input::RelayAnswer) {
        self.resolve(ticket, wire::encode_relay_answer(answer));
    }

    /// Answers another gateway about a turn.
    pub fn answer_lookup(&self, ticket: u64, found: &input::LookupAnswer) {
        self.resolve(ticket, wire::encode_lookup_answer(found));
    }

    fn resolve<E: std::fmt::Display>(&self, ticket: u64, answer: Result<Vec<u8>, E>) {
        let Some(tx) = self.waiting.borrow_mut().remove(&ticket) else { return };
        match answer {
            Ok(bytes) => {
                if tx.send(bytes.into()).is_err() {
                    log::debug!("event=peer_gone ticket={ticket}");
                }
            }
            Err(error) => log::error!("event=answer_unencodable error={:?}", error.to_string()),
        }
    }

    /// Entrusts a record to another gateway.
    pub fn relay_record(&self, peer: ids::InstanceName, address: String, record: journal::Record) {
        let Some(key) = record.key() else { return };
        let peers = self.clone();
        actix_rt::spawn(async move {
            let answer = match wire::encode_record(&record) {
                Ok(body) => {
                    let bytes = peers.call(&peer, &address, "POST", RECORDS, body.into()).await;
                    bytes.and_then(|bytes| readable(wire::decode_relay_answer(&bytes)))
                }
                Err(error) => {
                    log::error!("event=record_unencodable error={:?}", error.to_string());
                    None
                }
            };
            peers.inputs.send(input::Input::RelayAnswered { peer, key, answer });
        });
    }

    /// Asks another gateway for a turn.
    pub fn look_up_turn(
        &self,
        call: ids::CallId,
        peer: ids::InstanceName,
        address: String,
        turn: ids::TurnId,
    ) {
        let peers = self.clone();
        actix_rt::spawn(async move {
            let path = format!("{TURNS}{turn}");
            let bytes = peers.call(&peer, &address, "GET", &path, Bytes::new()).await;
            let answer = bytes.and_then(|bytes| readable(wire::decode_lookup_answer(&bytes)));
            peers.inputs.send(input::Input::LookupAnswered { call, peer, answer });
        });
    }

    async fn call(
        &self,
        peer: &ids::InstanceName,
        address: &str,
        method: &str,
        path: &str,
        body: Bytes,
    ) -> Option<Bytes> {
        let exchange = self.exchange(peer, address, method, path, body);
        match tokio::time::timeout(ANSWER_TIMEOUT, exchange).await {
            Ok(Ok(bytes)) => bytes,
            Ok(Err(error)) => {
                log::debug!("event=peer_failed peer={peer} error={:?}", error.to_string());
                None
            }
            Err(_) => {
                log::debug!("event=peer_silent peer={peer}");
                None
            }
        }
    }

    async fn exchange(
        &self,
        peer: &ids::InstanceName,
        address: &str,
        method: &str,
        path: &str,
        body: Bytes,
    ) -> Result<Option<Bytes>, connection::ConnectionError> {
        let key = ids::EndpointId::new(peer.as_str());
        let mut channel = match self.pool.take(&key, false) {
            Some(channel) => channel,
            None => pool::connect(address, CONNECT_TIMEOUT).await?,
        };
        let length = body.len();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {length}\r\n\r\n"
        );
        let answer = channel.exchange(head.as_bytes(), &[body]).await?;
        let bytes = channel.read_full_body(MAX_ANSWER_BYTES).await?;
        self.pool.put(&key, channel);
        Ok((answer.status == 200).then_some(bytes))
    }
}

fn readable<T, E: std::fmt::Display>(decoded: Result<T, E>) -> Option<T> {
    match decoded {
        Ok(value) => Some(value),
        Err(error) => {
            log::warn!("event=peer_unreadable error={:?}", error.to_string());
            None
        }
    }
}

/// Enters this process among the gateways, and follows their entries for as long as it lives.
pub async fn register_and_watch(
    store: rc::Rc<store::StoreClient>,
    inputs: control::InputSender,
    name: ids::InstanceName,
    own: peers::Peer,
) {
    enter(&store, &name, &own).await;
    let mut follower = watch::TopicReader::new(store::GATEWAY_TOPIC);
    let mut rows = collections::BTreeMap::new();
    loop {
        match follower.read(&store, ENTRIES_WAIT).await {
            Ok(changes) => {
                for (key, value) in changes.records {
                    if let Some(peer) = readable(wire::decode_peer(&value)) {
                        rows.insert(ids::InstanceName::new(&key), peer);
                    }
                }
                inputs.send(input::Input::Peers(rows.clone()));
            }
            Err(error) => {
                log::debug!("event=peers_unread error={:?}", error.to_string());
                actix_rt::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn enter(store: &store::StoreClient, name: &ids::InstanceName, own: &peers::Peer) {
    let value = match wire::encode_peer(own) {
        Ok(value) => value,
        Err(error) => {
            log::error!("event=entry_unencodable error={:?}", error.to_string());
            return;
        }
    };
    while let Err(error) = store.put(store::GATEWAY_TOPIC, name.as_str(), &value).await {
        log::debug!("event=entry_unwritten error={:?}", error.to_string());
        actix_rt::time::sleep(RETRY_PAUSE).await;
    }
}
