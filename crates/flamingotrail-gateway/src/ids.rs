//! Typed names and numbers.

use std::fmt;

pub use flamingotrail_core::ids::DomainName;
pub use flamingotrail_core::ids::InstanceName;
pub use flamingotrail_core::ids::RegionName;
pub use flamingotrail_core::ids::ServiceName;

flamingotrail_core::name_type!(
    /// Id that a caller gave one attempt of a request; a turn that counts bears the id of its attempt.
    TurnId
);
flamingotrail_core::name_type!(
    /// An agent program.
    ProgramId
);
flamingotrail_core::name_type!(
    /// One start of an endpoint.
    EndpointId
);

/// A call under way at this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// One partition of the programs: one stream of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Partition(pub u16);

/// Position of a record in a partition.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Offset(pub u64);

macro_rules! number_display {
    ($($name:ident),*) => {
        $(impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        })*
    };
}
number_display!(CallId, Partition, Offset);

/// A hash that is the same at every process and in every version (64-bit FNV-1a).
pub fn stable_hash(text: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let hash =
        text.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME));
    // The low bits of FNV mix poorly for short names.
    hash ^ (hash >> 32)
}

impl Partition {
    /// The partition that holds the budget of `program`, among `count`. Budgets have the upper half of
    /// the partitions, where reading them brings no texts of turns.
    pub fn of_program(program: &ProgramId, count: u16) -> Partition {
        let half = count / 2;
        Partition(half + Partition::of_text(program.as_str(), count - half).0)
    }

    /// The partition that holds `turn`, among `count`, in the lower half. It follows from the turn's
    /// id alone, so that a turn is found without knowing its program.
    pub fn of_turn(turn: &TurnId, count: u16) -> Partition {
        Partition::of_text(turn.as_str(), count / 2)
    }

    fn of_text(text: &str, count: u16) -> Partition {
        let slot = stable_hash(text) % u64::from(count.max(1));
        Partition(u16::try_from(slot).unwrap_or(u16::MAX))
    }
}
