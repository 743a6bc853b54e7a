//! Strongly typed names, ids and numbers.

use std::fmt;
use std::str;

use crate::errors;

/// Defines a newtype for one kind of name.
#[macro_export]
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
        pub struct $name(Box<str>);

        impl $name {
            /// Wraps `name` without validating it.
            pub fn new(name: impl AsRef<str>) -> Self {
                $name(name.as_ref().into())
            }

            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl ::std::fmt::Display for $name {
            fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

crate::name_type!(
    /// Name of a region.
    RegionName
);
crate::name_type!(
    /// Name of a failure domain within a region.
    DomainName
);
crate::name_type!(
    /// Name of a workspace.
    WorkspaceName
);
crate::name_type!(
    /// Name of a plain service or of a service of model engines.
    ServiceName
);
crate::name_type!(
    /// Name of a model.
    ModelName
);
crate::name_type!(
    /// Name of an endpoint: one engine, or one runner of a plain service.
    EndpointName
);
crate::name_type!(
    /// Name of an instance: one process of the system. It stays the same across restarts.
    InstanceName
);
crate::name_type!(
    /// Name of a priority class.
    PriorityName
);
crate::name_type!(
    /// Name of a budget object.
    BudgetName
);
crate::name_type!(
    /// Name of a stream in the platform's log.
    StreamName
);

/// Position of an entry in a log stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Offset(pub u64);

/// Epoch of a partition's owner: the log offset of its ownership claim. Epochs of different streams
/// are not comparable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Epoch(pub u64);

/// Fencing token of the instance that serves an endpoint: the log offset of its endpoint claim.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct FencingToken(pub u64);

/// Version of the configuration, assigned by the order of publications in the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigVersion(pub u64);

/// Identifies one run of an instance; a restarted instance gets a new incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Incarnation(pub u64);

/// Random number that identifies duplicates of one append.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Nonce(pub u64);

/// Number of a call within its conversation, from 1.
pub type Turn = u32;

macro_rules! number_display {
    ($($name:ident),*) => {
        $(impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        })*
    };
}
number_display!(Offset, Epoch, FencingToken, ConfigVersion, Incarnation, Nonce);

/// A partition of a region's programs, with one log stream and one owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Partition {
    /// Region whose instances can own the partition.
    pub region: RegionName,
    /// Index within the region.
    pub index: u16,
}

impl Partition {
    /// Creates the id of partition `index` of `region`.
    pub fn new(region: &RegionName, index: u16) -> Self {
        Partition { region: region.clone(), index }
    }

    /// Returns the name of the partition's log stream.
    pub fn stream(&self) -> StreamName {
        StreamName::new(format!("partition.{}.{}", self.region, self.index))
    }
}

impl fmt::Display for Partition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.region, self.index)
    }
}

macro_rules! partitioned_id {
    ($(#[$doc:meta])* $name:ident, $prefix:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
        pub struct $name {
            /// Partition that stores the object.
            pub home: Partition,
            /// Random key within the partition.
            pub key: u64,
        }

        impl $name {
            /// Creates an id from its partition and key.
            pub fn new(home: &Partition, key: u64) -> Self {
                $name { home: home.clone(), key }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($prefix, ".{}.{:016x}"), self.home, self.key)
            }
        }

        impl str::FromStr for $name {
            type Err = errors::ParseIdError;

            fn from_str(text: &str) -> Result<Self, errors::ParseIdError> {
                let (home, key) = parse_partitioned_id(text, $prefix)?;
                Ok($name { home, key })
            }
        }
    };
}
partitioned_id!(
    /// Id of a program. A sub-agent's program shares the partition of its root program, so that a
    /// single owner controls budget, order and effects of the whole program tree.
    ProgramId,
    "prg"
);
partitioned_id!(
    /// Id of a conversation. It shares the partition of its program.
    ConversationId,
    "cnv"
);

/// Maximum length of an accepted id in bytes.
const MAX_ID_BYTES: usize = 160;

fn parse_partitioned_id(
    text: &str,
    prefix: &str,
) -> Result<(Partition, u64), errors::ParseIdError> {
    let error = || errors::ParseIdError { text: text.chars().take(MAX_ID_BYTES).collect() };
    if text.len() > MAX_ID_BYTES {
        return Err(error());
    }
    let mut parts = text.rsplitn(3, '.');
    let key = parts.next().ok_or_else(error)?;
    let index = parts.next().ok_or_else(error)?;
    let head = parts.next().ok_or_else(error)?;
    let region = head.strip_prefix(prefix).and_then(|rest| rest.strip_prefix('.'));
    let region = region.filter(|region| !region.is_empty()).ok_or_else(error)?;
    let index = index.parse().map_err(|_| error())?;
    let key = u64::from_str_radix(key, 16).map_err(|_| error())?;
    Ok((Partition::new(&RegionName::new(region), index), key))
}

/// Identifies a call: one turn of a conversation.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallKey {
    /// The conversation.
    pub conversation: ConversationId,
    /// Turn number within the conversation.
    pub turn: Turn,
}

impl fmt::Display for CallKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.conversation, self.turn)
    }
}

/// Identifies one execution attempt of a call on an endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The call.
    pub call: CallKey,
    /// Epoch of the owner that dispatched it.
    pub epoch: Epoch,
    /// Number of the attempt within that epoch, from 1.
    pub number: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}.{}", self.call, self.epoch, self.number)
    }
}

/// Identifies a hold: a lease on cached context at one engine. Ids are never reused, so that a
/// delayed release can't affect a newer hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HoldId(pub u64);

impl fmt::Display for HoldId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "hold.{:016x}", self.0)
    }
}

/// Identifies a caller's request; assigned by the entry instance that received it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId {
    /// Incarnation of the entry instance.
    pub entry: Incarnation,
    /// Sequence number within that incarnation.
    pub number: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.entry, self.number)
    }
}

/// One incarnation of a named instance; addresses messages that must not reach a later incarnation.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Peer {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Its incarnation.
    pub incarnation: Incarnation,
}
