//! The platform's log and its list of instances, as they speak HTTP with JSON.

use flamingotrail_core::ids;
use flamingotrail_core::input;

/// Body of an append.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct AppendRequest {
    /// The entry, base64.
    pub data: String,
}

/// Answer to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct AppendResponse {
    /// Where the entry stands.
    pub offset: u64,
}

/// Answer to a read.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ReadResponse {
    /// First offset that the stream still has.
    pub start: u64,
    /// Offset after the last entry of this page.
    pub next: u64,
    /// Offset after the last entry of the stream.
    pub end: u64,
    /// The entries.
    pub entries: Vec<ReadEntry>,
}

/// One entry of a page.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ReadEntry {
    /// Its offset.
    pub offset: u64,
    /// How long ago the log took it, in milliseconds.
    pub age_ms: u64,
    /// The entry, base64.
    pub data: String,
}

/// One row of the list of instances.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ListedInstance {
    /// Instance name.
    pub instance: String,
    /// Region.
    pub region: String,
    /// Failure domain.
    pub domain: String,
    /// The endpoint beside it.
    #[serde(default)]
    pub endpoint: Option<String>,
    /// Address for links, `ip:port`.
    pub address: String,
    /// Address for operators, `ip:port`.
    #[serde(default)]
    pub admin: String,
    /// `live` or `leaving`.
    pub state: String,
}

/// State of an instance that is leaving.
pub const LEAVING: &str = "leaving";

impl From<ListedInstance> for input::ListedInstance {
    fn from(listed: ListedInstance) -> Self {
        input::ListedInstance {
            instance: ids::InstanceName::new(listed.instance),
            region: ids::RegionName::new(listed.region),
            domain: ids::DomainName::new(listed.domain),
            endpoint: listed.endpoint.map(ids::EndpointName::new),
            address: listed.address,
            leaving: listed.state == LEAVING,
        }
    }
}
