//! Wire formats of the gateway's log records and of messages between gateways.
//!
//! Values are encoded as MessagePack with named fields, so that a decoder can skip fields that it
//! does not know.

use std::time;

use flamingotrail_gateway::ids;
use flamingotrail_gateway::input;
use flamingotrail_gateway::journal;
use flamingotrail_gateway::tables::peers;
use serde::Deserialize;
use serde::Serialize;

/// A record of the log.
#[derive(Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
enum WireRecord {
    Start {
        turn: String,
        program: String,
        least: u64,
        wanted: u64,
        budget: u64,
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        settled: Vec<WireSettled>,
        at_ms: Option<u64>,
    },
    End {
        turn: String,
        previous: Option<String>,
        endpoint: String,
        #[serde(with = "serde_bytes")]
        input: Vec<u8>,
        #[serde(with = "serde_bytes")]
        output: Vec<u8>,
        at_ms: Option<u64>,
    },
    /// A kind of its own, so that versions without parts take no long turn for one without texts.
    LongEnd {
        turn: String,
        previous: Option<String>,
        endpoint: String,
        input_bytes: u64,
        parts: u32,
        at_ms: Option<u64>,
    },
    Part {
        turn: String,
        number: u32,
        #[serde(with = "serde_bytes")]
        text: Vec<u8>,
    },
    Settle {
        program: String,
        settled: Vec<WireSettled>,
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        open: Vec<WireOpen>,
        at_ms: Option<u64>,
    },
}

impl WireRecord {
    /// Returns the wire type of `record`, which is encoded at `now`.
    fn new(record: &journal::Record, now: UnixTime) -> Self {
        match record {
            journal::Record::Start(start) => WireRecord::Start {
                turn: start.turn.to_string(),
                program: start.program.to_string(),
                least: start.min_tokens,
                wanted: start.desired_tokens,
                budget: start.budget,
                settled: start.settled.iter().map(WireSettled::from).collect(),
                at_ms: Some(now.before(start.age).0),
            },
            journal::Record::End(end) => WireRecord::End {
                turn: end.turn.to_string(),
                previous: end.previous.as_ref().map(ToString::to_string),
                endpoint: end.endpoint.to_string(),
                input: end.input.to_vec(),
                output: end.output.to_vec(),
                at_ms: Some(now.before(end.age).0),
            },
            journal::Record::LongEnd(long) => WireRecord::LongEnd {
                turn: long.end.turn.to_string(),
                previous: long.end.previous.as_ref().map(ToString::to_string),
                endpoint: long.end.endpoint.to_string(),
                input_bytes: long.input_bytes,
                parts: long.parts,
                at_ms: Some(now.before(long.end.age).0),
            },
            journal::Record::Part(part) => WireRecord::Part {
                turn: part.turn.to_string(),
                number: part.number,
                text: part.text.to_vec(),
            },
            journal::Record::Settle(settle) => WireRecord::Settle {
                program: settle.program.to_string(),
                settled: settle.settled.iter().map(WireSettled::from).collect(),
                open: settle.open.iter().map(WireOpen::from).collect(),
                at_ms: Some(now.before(settle.age).0),
            },
        }
    }

    /// Returns the record, which is decoded at `now`.
    fn into_record(self, now: UnixTime) -> journal::Record {
        match self {
            WireRecord::Start { turn, program, least, wanted, budget, settled, at_ms } => {
                journal::Record::Start(journal::Start {
                    turn: ids::TurnId::new(&turn),
                    program: ids::ProgramId::new(&program),
                    min_tokens: least,
                    desired_tokens: wanted,
                    budget,
                    settled: settled.into_iter().map(journal::SettledAllowance::from).collect(),
                    age: now.age_of(at_ms),
                })
            }
            WireRecord::End { turn, previous, endpoint, input, output, at_ms } => {
                journal::Record::End(journal::End {
                    turn: ids::TurnId::new(&turn),
                    previous: previous.as_deref().map(ids::TurnId::new),
                    endpoint: ids::EndpointId::new(&endpoint),
                    input: input.into(),
                    output: output.into(),
                    age: now.age_of(at_ms),
                })
            }
            WireRecord::LongEnd { turn, previous, endpoint, input_bytes, parts, at_ms } => {
                let end = journal::End {
                    turn: ids::TurnId::new(&turn),
                    previous: previous.as_deref().map(ids::TurnId::new),
                    endpoint: ids::EndpointId::new(&endpoint),
                    input: Default::default(),
                    output: Default::default(),
                    age: now.age_of(at_ms),
                };
                journal::Record::LongEnd(journal::LongEnd { end, input_bytes, parts })
            }
            WireRecord::Part { turn, number, text } => journal::Record::Part(journal::Part {
                turn: ids::TurnId::new(&turn),
                number,
                text: text.into(),
            }),
            WireRecord::Settle { program, settled, open, at_ms } => {
                journal::Record::Settle(journal::Settle {
                    program: ids::ProgramId::new(&program),
                    settled: settled.into_iter().map(journal::SettledAllowance::from).collect(),
                    open: open.into_iter().map(journal::OpenAllowance::from).collect(),
                    age: now.age_of(at_ms),
                })
            }
        }
    }
}

/// Time of day in milliseconds since the Unix epoch. Clocks of gateways differ by seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnixTime(pub u64);

impl UnixTime {
    /// Returns the time of day; a clock before the epoch makes records look old.
    #[allow(
        clippy::disallowed_methods,
        reason = "the ages of records outlive processes, and may be wrong by tens of seconds"
    )]
    pub fn now() -> Self {
        let since_epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
        UnixTime(since_epoch.map_or(0, |time| u64::try_from(time.as_millis()).unwrap_or(u64::MAX)))
    }

    fn before(self, duration: time::Duration) -> Self {
        let ms = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        UnixTime(self.0.saturating_sub(ms))
    }

    /// Returns the time since `at_ms`. A record without a time was written by an older version, and may
    /// be as old as the log keeps records.
    fn age_of(self, at_ms: Option<u64>) -> time::Duration {
        let at_ms = at_ms.unwrap_or(0);
        time::Duration::from_millis(self.0.saturating_sub(at_ms))
    }
}

/// The turn that identifies an open allowance, and its size.
#[derive(Debug, Deserialize, Serialize)]
struct WireOpen(String, u64);

impl From<&journal::OpenAllowance> for WireOpen {
    fn from(open: &journal::OpenAllowance) -> Self {
        WireOpen(open.turn.to_string(), open.tokens)
    }
}

impl From<WireOpen> for journal::OpenAllowance {
    fn from(WireOpen(turn, tokens): WireOpen) -> Self {
        journal::OpenAllowance { turn: ids::TurnId::new(&turn), tokens }
    }
}

/// The turn that identifies a closed allowance, and the tokens that the allowance used.
#[derive(Debug, Deserialize, Serialize)]
struct WireSettled(String, u64);

impl From<&journal::SettledAllowance> for WireSettled {
    fn from(settled: &journal::SettledAllowance) -> Self {
        WireSettled(settled.turn.to_string(), settled.tokens)
    }
}

impl From<WireSettled> for journal::SettledAllowance {
    fn from(WireSettled(turn, tokens): WireSettled) -> Self {
        journal::SettledAllowance { turn: ids::TurnId::new(&turn), tokens }
    }
}

/// Encodes a record of the log, with the time of day at which it was stored.
///
/// # Errors
///
/// Returns an error if serialization fails.
pub fn encode_record(
    record: &journal::Record,
    now: UnixTime,
) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    rmp_serde::to_vec_named(&WireRecord::new(record, now))
}

/// Decodes a record of the log.
///
/// # Errors
///
/// Returns an error if the bytes are not an encoded record, or if this version does not know its
/// kind.
pub fn decode_record(
    bytes: &[u8],
    now: UnixTime,
) -> Result<journal::Record, rmp_serde::decode::Error> {
    rmp_serde::from_slice::<WireRecord>(bytes).map(|record| record.into_record(now))
}

/// A gateway's response to a request to append another gateway's record.
#[derive(Debug, Deserialize, Serialize)]
struct WireRelayResponse {
    logged: bool,
    size: Option<u64>,
}

/// Encodes the response to a request to append a record.
///
/// # Errors
///
/// Returns an error if serialization fails.
pub fn encode_relay_response(
    response: input::RelayResponse,
) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    rmp_serde::to_vec_named(&WireRelayResponse { logged: response.logged, size: response.size })
}

/// Decodes the response to a request to append a record.
///
/// # Errors
///
/// Returns an error if the bytes are not an encoded response.
pub fn decode_relay_response(
    bytes: &[u8],
) -> Result<input::RelayResponse, rmp_serde::decode::Error> {
    let WireRelayResponse { logged, size } = rmp_serde::from_slice(bytes)?;
    Ok(input::RelayResponse { logged, size })
}

/// A gateway's response to another gateway's lookup of a turn.
#[derive(Debug, Deserialize, Serialize)]
struct WireLookupResponse {
    chain: Vec<WireRecord>,
    sure: bool,
}

/// Encodes the response to the lookup of a turn.
///
/// # Errors
///
/// Returns an error if serialization fails.
pub fn encode_lookup_response(
    response: &input::LookupResponse,
    now: UnixTime,
) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    let records = response.chain.iter().map(|end| journal::Record::End(end.clone()));
    let chain = records.map(|record| WireRecord::new(&record, now)).collect();
    rmp_serde::to_vec_named(&WireLookupResponse { chain, sure: response.is_authoritative })
}

/// Decodes the response to the lookup of a turn. Skips records in its chain that are not `End`
/// records.
///
/// # Errors
///
/// Returns an error if the bytes are not an encoded response.
pub fn decode_lookup_response(
    bytes: &[u8],
    now: UnixTime,
) -> Result<input::LookupResponse, rmp_serde::decode::Error> {
    let WireLookupResponse { chain, sure } = rmp_serde::from_slice(bytes)?;
    let chain = chain
        .into_iter()
        .filter_map(|record| match record.into_record(now) {
            journal::Record::End(end) => Some(end),
            _ => None,
        })
        .collect();
    Ok(input::LookupResponse { chain, is_authoritative: sure })
}

/// Entry of a gateway in the topic in which gateways register: its address and location.
#[derive(Debug, Deserialize, Serialize)]
struct WirePeer {
    address: String,
    domain: String,
    region: String,
}

/// Encodes the entry of a gateway.
///
/// # Errors
///
/// Returns an error if serialization fails.
pub fn encode_peer(peer: &peers::Peer) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    rmp_serde::to_vec_named(&WirePeer {
        address: peer.address.clone(),
        domain: peer.domain.to_string(),
        region: peer.region.to_string(),
    })
}

/// Decodes the entry of a gateway.
///
/// # Errors
///
/// Returns an error if the bytes are not an encoded entry.
pub fn decode_peer(bytes: &[u8]) -> Result<peers::Peer, rmp_serde::decode::Error> {
    let WirePeer { address, domain, region } = rmp_serde::from_slice(bytes)?;
    Ok(peers::Peer {
        address,
        domain: ids::DomainName::new(&domain),
        region: ids::RegionName::new(&region),
    })
}

/// An announcement of an endpoint that a gateway tells the others.
#[derive(Debug, Deserialize, Serialize)]
struct WireNotice {
    endpoint: String,
    max_requests_per_s: Option<f64>,
    #[serde(default)]
    is_leaving: bool,
    age_ms: u64,
}

impl From<&input::PeerNotice> for WireNotice {
    fn from(told: &input::PeerNotice) -> Self {
        WireNotice {
            endpoint: told.endpoint.to_string(),
            max_requests_per_s: told.notice.max_requests_per_s,
            is_leaving: told.notice.is_leaving,
            age_ms: u64::try_from(told.age.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

impl From<WireNotice> for input::PeerNotice {
    fn from(wire: WireNotice) -> Self {
        let is_valid = |limit: &f64| limit.is_finite() && *limit >= 0.0;
        input::PeerNotice {
            endpoint: ids::EndpointId::new(&wire.endpoint),
            notice: input::Notice {
                max_requests_per_s: wire.max_requests_per_s.filter(is_valid),
                is_leaving: wire.is_leaving,
            },
            age: time::Duration::from_millis(wire.age_ms),
        }
    }
}

/// Encodes the announcements that a gateway tells another.
///
/// # Errors
///
/// Returns an error if serialization fails.
pub fn encode_notices(notices: &[input::PeerNotice]) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    rmp_serde::to_vec_named(&notices.iter().map(WireNotice::from).collect::<Vec<_>>())
}

/// Decodes the announcements that a gateway was told.
///
/// # Errors
///
/// Returns an error if the bytes are not encoded announcements.
pub fn decode_notices(bytes: &[u8]) -> Result<Vec<input::PeerNotice>, rmp_serde::decode::Error> {
    let notices: Vec<WireNotice> = rmp_serde::from_slice(bytes)?;
    Ok(notices.into_iter().map(input::PeerNotice::from).collect())
}

/// The crash of an endpoint by a request, as a gateway tells the others.
#[derive(Debug, Deserialize, Serialize)]
struct WireCrash {
    fingerprint: u128,
    endpoint: String,
    age_ms: u64,
    took_ms: u64,
}

impl From<&input::PeerCrash> for WireCrash {
    fn from(crash: &input::PeerCrash) -> Self {
        WireCrash {
            fingerprint: crash.fingerprint.0,
            endpoint: crash.endpoint.to_string(),
            age_ms: u64::try_from(crash.age.as_millis()).unwrap_or(u64::MAX),
            took_ms: u64::try_from(crash.took.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

impl From<WireCrash> for input::PeerCrash {
    fn from(wire: WireCrash) -> Self {
        input::PeerCrash {
            fingerprint: ids::Fingerprint(wire.fingerprint),
            endpoint: ids::EndpointId::new(&wire.endpoint),
            age: time::Duration::from_millis(wire.age_ms),
            took: time::Duration::from_millis(wire.took_ms),
        }
    }
}

/// Encodes the crashes that a gateway tells another.
///
/// # Errors
///
/// Returns an error if serialization fails.
pub fn encode_crashes(crashes: &[input::PeerCrash]) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    rmp_serde::to_vec_named(&crashes.iter().map(WireCrash::from).collect::<Vec<_>>())
}

/// Decodes the crashes that a gateway was told.
///
/// # Errors
///
/// Returns an error if the bytes are not encoded crashes.
pub fn decode_crashes(bytes: &[u8]) -> Result<Vec<input::PeerCrash>, rmp_serde::decode::Error> {
    let crashes: Vec<WireCrash> = rmp_serde::from_slice(bytes)?;
    Ok(crashes.into_iter().map(input::PeerCrash::from).collect())
}

/// A loss that a gateway has saved.
#[derive(Debug, Deserialize, Serialize)]
struct WireLoss {
    fingerprint: u128,
    endpoint: String,
    started_at_ms: Option<u64>,
    at_ms: u64,
    took_ms: u64,
}

/// A crash that a gateway has saved.
#[derive(Debug, Deserialize, Serialize)]
struct WireSavedCrash {
    fingerprint: u128,
    endpoint: String,
    at_ms: u64,
    took_ms: u64,
}

/// What a gateway has saved of requests that crash endpoints, with times of day.
#[derive(Debug, Deserialize, Serialize)]
struct WireCrashRecord {
    crashes: Vec<WireSavedCrash>,
    losses: Vec<WireLoss>,
}

impl WireCrashRecord {
    /// Returns the wire type of `record`, which is encoded at `now`.
    fn new(record: &input::CrashRecord, now: UnixTime) -> Self {
        let crashes = record.crashes.iter().map(|crash| WireSavedCrash {
            fingerprint: crash.fingerprint.0,
            endpoint: crash.endpoint.to_string(),
            at_ms: now.before(crash.age).0,
            took_ms: milliseconds(crash.took),
        });
        let losses = record.losses.iter().map(|loss| WireLoss {
            fingerprint: loss.fingerprint.0,
            endpoint: loss.endpoint.to_string(),
            started_at_ms: loss.started_at_ms,
            at_ms: now.before(loss.age).0,
            took_ms: milliseconds(loss.took),
        });
        WireCrashRecord { crashes: crashes.collect(), losses: losses.collect() }
    }

    /// Returns the record, which is decoded at `now`.
    fn into_record(self, now: UnixTime) -> input::CrashRecord {
        let crashes = self.crashes.into_iter().map(|crash| input::PeerCrash {
            fingerprint: ids::Fingerprint(crash.fingerprint),
            endpoint: ids::EndpointId::new(&crash.endpoint),
            age: now.age_of(Some(crash.at_ms)),
            took: time::Duration::from_millis(crash.took_ms),
        });
        let losses = self.losses.into_iter().map(|loss| input::Loss {
            fingerprint: ids::Fingerprint(loss.fingerprint),
            endpoint: ids::EndpointId::new(&loss.endpoint),
            started_at_ms: loss.started_at_ms,
            age: now.age_of(Some(loss.at_ms)),
            took: time::Duration::from_millis(loss.took_ms),
        });
        input::CrashRecord { crashes: crashes.collect(), losses: losses.collect() }
    }
}

fn milliseconds(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Encodes what a gateway saves of requests that crash endpoints.
///
/// # Errors
///
/// Returns an error if serialization fails.
pub fn encode_crash_record(
    record: &input::CrashRecord,
    now: UnixTime,
) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    rmp_serde::to_vec_named(&WireCrashRecord::new(record, now))
}

/// Decodes what a gateway has saved of requests that crash endpoints.
///
/// # Errors
///
/// Returns an error if the bytes are not an encoded record.
pub fn decode_crash_record(
    bytes: &[u8],
    now: UnixTime,
) -> Result<input::CrashRecord, rmp_serde::decode::Error> {
    rmp_serde::from_slice::<WireCrashRecord>(bytes).map(|record| record.into_record(now))
}

/// Encodes the requests that endpoints have survived, as a gateway tells another.
///
/// # Errors
///
/// Returns an error if serialization fails.
pub fn encode_survivals(
    survivals: &[ids::Fingerprint],
) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    let fingerprints: Vec<u128> = survivals.iter().map(|fingerprint| fingerprint.0).collect();
    rmp_serde::to_vec_named(&fingerprints)
}

/// Decodes the requests that endpoints have survived, as a gateway was told.
///
/// # Errors
///
/// Returns an error if the bytes are not encoded requests.
pub fn decode_survivals(bytes: &[u8]) -> Result<Vec<ids::Fingerprint>, rmp_serde::decode::Error> {
    let fingerprints: Vec<u128> = rmp_serde::from_slice(bytes)?;
    Ok(fingerprints.into_iter().map(ids::Fingerprint).collect())
}
