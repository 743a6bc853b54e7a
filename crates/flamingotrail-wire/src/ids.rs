//! Wire types for names, numbers and ids.

use std::time;

use flamingotrail_core::digest;
use flamingotrail_core::ids;

/// A name of any kind, such as an instance or a model name.
#[derive(
    Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct Name(pub String);

/// A number of any kind, such as an epoch or a log offset.
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

/// A duration in microseconds.
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

/// The bytes of a digest.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct Digest(pub [u8; digest::DIGEST_BYTES]);

/// Converts between [`Name`] and newtypes for names.
macro_rules! impl_name_conversions {
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
impl_name_conversions!(
    RegionName,
    DomainName,
    WorkspaceName,
    ServiceName,
    ModelName,
    EndpointName,
    InstanceName
);

/// Converts between [`Number`] and newtypes for numbers.
macro_rules! impl_number_conversions {
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
impl_number_conversions!(Offset, Epoch, FencingToken, ConfigVersion, Incarnation, Nonce, HoldId);

impl From<time::Duration> for Micros {
    fn from(duration: time::Duration) -> Self {
        Micros(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
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
    fn from(digest: Digest) -> Self {
        digest::Digest(digest.0)
    }
}

wire_struct!(
    /// Id of a partition.
    Partition, ids::Partition { region: one Name, index: one u16, }
);
wire_struct!(
    /// Id of a program.
    ProgramId, ids::ProgramId { home: one Partition, key: one u64, }
);
wire_struct!(
    /// Id of a conversation.
    ConversationId, ids::ConversationId { home: one Partition, key: one u64, }
);
wire_struct!(
    /// Identifies a call: one turn of a conversation.
    CallKey, ids::CallKey { conversation: one ConversationId, turn: one u32, }
);
wire_struct!(
    /// Identifies one execution attempt of a call on an endpoint.
    AttemptId, ids::AttemptId { call: one CallKey, epoch: one Number, number: one u32, }
);
wire_struct!(
    /// Identifies a caller's request at its entry instance.
    RequestId, ids::RequestId { entry: one Number, number: one u64, }
);
wire_struct!(
    /// One incarnation of a named instance.
    Peer, ids::Peer { instance: one Name, incarnation: one Number, }
);
