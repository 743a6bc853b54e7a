//! JSON bodies of the HTTP interfaces of the platform's log and instance list.

use flamingotrail_core::ids;
use flamingotrail_core::input;

/// Request to append an entry to a stream.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct AppendRequest {
    /// The entry, encoded as base64.
    pub data: String,
}

/// Response to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct AppendResponse {
    /// Offset of the appended entry.
    pub offset: u64,
}

/// Response to a read: one page of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ReadResponse {
    /// Offset of the oldest entry that the stream retains.
    pub start: u64,
    /// Offset after the last entry of this page.
    pub next: u64,
    /// Offset after the last entry of the stream.
    pub end: u64,
    /// Entries of this page.
    pub entries: Vec<ReadEntry>,
}

/// An entry of a page.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ReadEntry {
    /// Offset of the entry.
    pub offset: u64,
    /// Time since the log accepted the entry, in milliseconds.
    pub age_ms: u64,
    /// The entry, encoded as base64.
    pub data: String,
}

/// One row of the instance list.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ListedInstance {
    /// Name of the instance.
    pub instance: String,
    /// Region of the instance.
    pub region: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Endpoint that the instance serves; `None` for an entry instance.
    #[serde(default)]
    pub endpoint: Option<String>,
    /// Address for links from other instances, `ip:port`.
    pub address: String,
    /// Address of the admin interface, `ip:port`.
    #[serde(default)]
    pub admin: String,
    /// State of the instance, `live` or `leaving`.
    pub state: String,
}

/// State of an instance that is shutting down.
pub const STATE_LEAVING: &str = "leaving";

impl From<ListedInstance> for input::ListedInstance {
    fn from(listed: ListedInstance) -> Self {
        input::ListedInstance {
            instance: ids::InstanceName::new(listed.instance),
            region: ids::RegionName::new(listed.region),
            domain: ids::DomainName::new(listed.domain),
            endpoint: listed.endpoint.map(ids::EndpointName::new),
            address: listed.address,
            leaving: listed.state == STATE_LEAVING,
        }
    }
}
