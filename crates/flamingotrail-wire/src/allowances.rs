//! Wire formats of the messages between gateways about the allowances of workspaces.
//!
//! Values are encoded as MessagePack with named fields, so that a decoder can skip fields that it
//! does not know. Numbers that no gateway sends are errors: a false rate would be spent.

use std::time;

use flamingotrail_gateway::ids;
use flamingotrail_gateway::leases;
use serde::Deserialize;
use serde::Serialize;

/// A message that can't be decoded.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The bytes have a different structure.
    #[error("the message can't be decoded: {0}; use compatible versions on all gateways")]
    MessagePack(#[from] rmp_serde::decode::Error),
    /// A number is negative or not finite.
    #[error("{0} is not a rate: a gateway of a compatible version sends 0 or more")]
    Rate(f64),
}

/// A request to the owner of workspaces.
#[derive(Debug, Deserialize, Serialize)]
struct WireRequest {
    from: String,
    boot: u64,
    number: u64,
    requests: Vec<WireDemand>,
}

#[derive(Debug, Deserialize, Serialize)]
struct WireDemand {
    workspace: String,
    demand: f64,
    held_rate: f64,
    held_lease: u64,
    units: u32,
}

/// The owner's answer.
#[derive(Debug, Deserialize, Serialize)]
struct WireAnswer {
    boot: u64,
    answers: Vec<WireGrant>,
}

#[derive(Debug, Deserialize, Serialize)]
struct WireGrant {
    workspace: String,
    lease: u64,
    rate: f64,
    valid_ms: u64,
    units: u32,
    unit_ms: u64,
    retry_ms: u64,
    total: f64,
    settled: bool,
}

/// The leases that a gateway holds.
#[derive(Debug, Deserialize, Serialize)]
struct WireHoldings {
    boot: u64,
    lists_owner: bool,
    holdings: Vec<WireHolding>,
    /// Missing in messages of older versions.
    #[serde(default)]
    departed: Vec<WireDeparted>,
}

#[derive(Debug, Deserialize, Serialize)]
struct WireDeparted {
    name: String,
    address: String,
    age_ms: u64,
}

impl From<&leases::Departed> for WireDeparted {
    fn from(departed: &leases::Departed) -> Self {
        WireDeparted {
            name: departed.name.to_string(),
            address: departed.address.clone(),
            age_ms: to_ms(departed.age),
        }
    }
}

impl From<WireDeparted> for leases::Departed {
    fn from(wire: WireDeparted) -> Self {
        leases::Departed {
            name: ids::InstanceName::new(&wire.name),
            address: wire.address,
            age: time::Duration::from_millis(wire.age_ms),
        }
    }
}

#[derive(Debug, Deserialize, Serialize)]
struct WireHolding {
    workspace: String,
    rate: f64,
}

fn checked_rate(rate: f64) -> Result<f64, DecodeError> {
    if rate.is_finite() && rate >= 0.0 {
        Ok(rate)
    } else {
        Err(DecodeError::Rate(rate))
    }
}

fn to_ms(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl From<&leases::Demand> for WireDemand {
    fn from(demand: &leases::Demand) -> Self {
        WireDemand {
            workspace: demand.workspace.to_string(),
            demand: demand.per_s,
            held_rate: demand.held_rate,
            held_lease: demand.held_lease,
            units: demand.units,
        }
    }
}

impl TryFrom<WireDemand> for leases::Demand {
    type Error = DecodeError;

    fn try_from(wire: WireDemand) -> Result<Self, DecodeError> {
        Ok(leases::Demand {
            workspace: ids::WorkspaceName::new(&wire.workspace),
            per_s: checked_rate(wire.demand)?,
            held_rate: checked_rate(wire.held_rate)?,
            held_lease: wire.held_lease,
            units: wire.units,
        })
    }
}

impl From<&leases::Grant> for WireGrant {
    fn from(grant: &leases::Grant) -> Self {
        WireGrant {
            workspace: grant.workspace.to_string(),
            lease: grant.lease,
            rate: grant.rate,
            valid_ms: to_ms(grant.valid),
            units: grant.units,
            unit_ms: to_ms(grant.units_valid),
            retry_ms: to_ms(grant.retry),
            total: grant.total_per_s,
            settled: grant.is_settled,
        }
    }
}

impl TryFrom<WireGrant> for leases::Grant {
    type Error = DecodeError;

    fn try_from(wire: WireGrant) -> Result<Self, DecodeError> {
        Ok(leases::Grant {
            workspace: ids::WorkspaceName::new(&wire.workspace),
            lease: wire.lease,
            rate: checked_rate(wire.rate)?,
            valid: time::Duration::from_millis(wire.valid_ms),
            units: wire.units,
            units_valid: time::Duration::from_millis(wire.unit_ms),
            retry: time::Duration::from_millis(wire.retry_ms),
            total_per_s: checked_rate(wire.total)?,
            is_settled: wire.settled,
        })
    }
}

/// Encodes a request to the owner of workspaces.
///
/// # Errors
///
/// Returns an error if serialization fails.
pub fn encode_request(request: &leases::Request) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    rmp_serde::to_vec_named(&WireRequest {
        from: request.holder.to_string(),
        boot: request.boot,
        number: request.number,
        requests: request.demands.iter().map(WireDemand::from).collect(),
    })
}

/// Decodes a request to the owner of workspaces.
///
/// # Errors
///
/// Returns an error if the bytes are not an encoded request.
pub fn decode_request(bytes: &[u8]) -> Result<leases::Request, DecodeError> {
    let WireRequest { from, boot, number, requests } = rmp_serde::from_slice(bytes)?;
    let demands = requests.into_iter().map(leases::Demand::try_from);
    let holder = ids::InstanceName::new(&from);
    Ok(leases::Request { holder, boot, number, demands: demands.collect::<Result<_, _>>()? })
}

/// Encodes an owner's answer.
///
/// # Errors
///
/// Returns an error if serialization fails.
pub fn encode_answer(answer: &leases::Answer) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    let answers = answer.grants.iter().map(WireGrant::from).collect();
    rmp_serde::to_vec_named(&WireAnswer { boot: answer.boot, answers })
}

/// Decodes an owner's answer.
///
/// # Errors
///
/// Returns an error if the bytes are not an encoded answer.
pub fn decode_answer(bytes: &[u8]) -> Result<leases::Answer, DecodeError> {
    let WireAnswer { boot, answers } = rmp_serde::from_slice(bytes)?;
    let grants = answers.into_iter().map(leases::Grant::try_from);
    Ok(leases::Answer { boot, grants: grants.collect::<Result<_, _>>()? })
}

/// Encodes the leases that a gateway holds.
///
/// # Errors
///
/// Returns an error if serialization fails.
pub fn encode_holdings(holdings: &leases::Holdings) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    let rates = holdings.rates.iter();
    let rates = rates
        .map(|(workspace, rate)| WireHolding { workspace: workspace.to_string(), rate: *rate });
    rmp_serde::to_vec_named(&WireHoldings {
        boot: holdings.boot,
        lists_owner: holdings.lists_owner,
        holdings: rates.collect(),
        departed: holdings.departed.iter().map(WireDeparted::from).collect(),
    })
}

/// Decodes the leases that a gateway holds.
///
/// # Errors
///
/// Returns an error if the bytes are not encoded leases.
pub fn decode_holdings(bytes: &[u8]) -> Result<leases::Holdings, DecodeError> {
    let WireHoldings { boot, lists_owner, holdings, departed } = rmp_serde::from_slice(bytes)?;
    let rates = holdings
        .into_iter()
        .map(|row| Ok((ids::WorkspaceName::new(&row.workspace), checked_rate(row.rate)?)));
    Ok(leases::Holdings {
        boot,
        lists_owner,
        rates: rates.collect::<Result<_, DecodeError>>()?,
        departed: departed.into_iter().map(leases::Departed::from).collect(),
    })
}
