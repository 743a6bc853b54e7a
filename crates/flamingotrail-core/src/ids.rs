//! Typed names and numbers.

use std::fmt;
use std::str;

use crate::errors;

/// Makes a type for names of one kind.
#[macro_export]
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
        pub struct $name(Box<str>);

        impl $name {
            /// Takes the name as it is.
            pub fn new(name: impl AsRef<str>) -> Self {
                $name(name.as_ref().into())
            }

            /// The name as text.
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
    /// A region.
    RegionName
);
crate::name_type!(
    /// A failure domain within a region.
    DomainName
);
crate::name_type!(
    /// A workspace.
    WorkspaceName
);
crate::name_type!(
    /// A plain service or a service of model engines.
    ServiceName
);
crate::name_type!(
    /// A model.
    ModelName
);
crate::name_type!(
    /// An endpoint: one engine or one runner of a plain service.
    EndpointName
);
crate::name_type!(
    /// One process of the system.
    InstanceName
);
crate::name_type!(
    /// A priority class.
    PriorityName
);
crate::name_type!(
    /// A budget object.
    BudgetName
);
crate::name_type!(
    /// A stream of the platform's log.
    StreamName
);

/// Position of an entry in a stream of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Offset(pub u64);

/// Offset of the claim under which an owner of a partition writes. Epochs of different streams
/// can't be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Epoch(pub u64);

/// Fencing number of the process beside an endpoint: the offset of its endpoint claim.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct FencingToken(pub u64);

/// Version of the configuration, counted by log order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigVersion(pub u64);

/// One start of a process: differs between two starts under the same instance name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Incarnation(pub u64);

/// Random number that marks copies of one append.
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

/// One partition of a region's programs: one stream of the log, one owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Partition {
    /// Region whose instances own it.
    pub region: RegionName,
    /// Index within the region.
    pub index: u16,
}

impl Partition {
    /// The partition `index` of `region`.
    pub fn new(region: &RegionName, index: u16) -> Self {
        Partition { region: region.clone(), index }
    }

    /// The partition's stream in the log.
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
            /// Partition that keeps it.
            pub home: Partition,
            /// Random key within the partition.
            pub key: u64,
        }

        impl $name {
            /// The id `key` in the partition `home`.
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
    /// A program. A sub-agent's program has the home of its root program, so one owner decides on
    /// the whole tree's budget, order and effects.
    ProgramId,
    "prg"
);
partitioned_id!(
    /// A conversation of a program; its home is the program's.
    ConversationId,
    "cnv"
);

/// Longest accepted id, in bytes.
const MAX_ID_BYTES: usize = 160;

fn parse_partitioned_id(
    text: &str,
    prefix: &str,
) -> Result<(Partition, u64), errors::ParseIdError> {
    let bad = || errors::ParseIdError { text: text.chars().take(MAX_ID_BYTES).collect() };
    if text.len() > MAX_ID_BYTES {
        return Err(bad());
    }
    let mut parts = text.rsplitn(3, '.');
    let key = parts.next().ok_or_else(bad)?;
    let index = parts.next().ok_or_else(bad)?;
    let head = parts.next().ok_or_else(bad)?;
    let region = head.strip_prefix(prefix).and_then(|rest| rest.strip_prefix('.'));
    let region = region.filter(|region| !region.is_empty()).ok_or_else(bad)?;
    let index = index.parse().map_err(|_| bad())?;
    let key = u64::from_str_radix(key, 16).map_err(|_| bad())?;
    Ok((Partition::new(&RegionName::new(region), index), key))
}

/// One call: a turn of a conversation.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallKey {
    /// The conversation.
    pub conversation: ConversationId,
    /// The turn.
    pub turn: Turn,
}

impl fmt::Display for CallKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.conversation, self.turn)
    }
}

/// One run of a call on one endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The call.
    pub call: CallKey,
    /// Epoch of the owner that dispatched it.
    pub epoch: Epoch,
    /// Number of the attempt under that owner, from 1.
    pub number: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}.{}", self.call, self.epoch, self.number)
    }
}

/// A lease on cached context at one engine. Never reused, so that a late order for it undoes
/// nothing newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HoldId(pub u64);

impl fmt::Display for HoldId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "hold.{:016x}", self.0)
    }
}

/// One request of a caller, as its entry process numbers it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId {
    /// Start of the entry process that took it.
    pub entry: Incarnation,
    /// Number within that start.
    pub number: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.entry, self.number)
    }
}

/// A start of a process under its instance name: what a message is addressed to when it must not
/// reach a later start.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Peer {
    /// Instance name.
    pub instance: InstanceName,
    /// Start.
    pub incarnation: Incarnation,
}
