//! Names and numbers on the wire.

use std::time;

use flamingotrail_core::digest;
use flamingotrail_core::ids;

/// Any name.
#[derive(
    Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct Name(pub String);

/// Any number.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct Number(pub u64);

/// A span of time, in microseconds.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct Micros(pub u64);

/// A digest's bytes.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct Digest(pub [u8; digest::DIGEST_BYTES]);

macro_rules! names {
    ($($name:ident),*) => {
        $(impl From<ids::$name> for Name {
            fn from(name: ids::$name) -> Self {
                Name(name.as_str().to_owned())
            }
        }

        impl From<Name> for ids::$name {
            fn from(name: Name) -> Self {
                ids::$name::new(name.0)
            }
        })*
    };
}
names!(RegionName, DomainName, WorkspaceName, ServiceName, ModelName, EndpointName, InstanceName);

macro_rules! numbers {
    ($($name:ident),*) => {
        $(impl From<ids::$name> for Number {
            fn from(number: ids::$name) -> Self {
                Number(number.0)
            }
        }

        impl From<Number> for ids::$name {
            fn from(number: Number) -> Self {
                ids::$name(number.0)
            }
        })*
    };
}
numbers!(Offset, Epoch, FencingToken, ConfigVersion, Incarnation, Nonce, HoldId);

impl From<time::Duration> for Micros {
    fn from(span: time::Duration) -> Self {
        Micros(u64::try_from(span.as_micros()).unwrap_or(u64::MAX))
    }
}

impl From<Micros> for time::Duration {
    fn from(micros: Micros) -> Self {
        time::Duration::from_micros(micros.0)
    }
}

impl From<digest::Digest> for Digest {
    fn from(digest: digest::Digest) -> Self {
        Digest(digest.0)
    }
}

impl From<Digest> for digest::Digest {
    fn from(wire: Digest) -> Self {
        digest::Digest(wire.0)
    }
}

wire_struct!(
    /// A partition.
    Partition, ids::Partition { region: one Name, index: one u16, }
);
wire_struct!(
    /// A program's id.
    ProgramId, ids::ProgramId { home: one Partition, key: one u64, }
);
wire_struct!(
    /// A conversation's id.
    ConversationId, ids::ConversationId { home: one Partition, key: one u64, }
);
wire_struct!(
    /// A call's key.
    CallKey, ids::CallKey { conversation: one ConversationId, turn: one u32, }
);
wire_struct!(
    /// An attempt's id.
    AttemptId, ids::AttemptId { call: one CallKey, epoch: one Number, number: one u32, }
);
wire_struct!(
    /// A request's id.
    RequestId, ids::RequestId { entry: one Number, number: one u64, }
);
wire_struct!(
    /// A start of a process.
    Peer, ids::Peer { instance: one Name, incarnation: one Number, }
);
