//! Typed identifiers.

use std::fmt;

pub use flamingotrail_core::ids::DomainName;
pub use flamingotrail_core::ids::InstanceName;
pub use flamingotrail_core::ids::RegionName;
pub use flamingotrail_core::ids::ServiceName;

flamingotrail_core::name_type!(
    /// Request id, which the caller assigns anew to each retry. A turn in the log has the id of the
    /// request that ran it.
    TurnId
);
flamingotrail_core::name_type!(
    /// Identifies an agent program.
    ProgramId
);
flamingotrail_core::name_type!(
    /// Identifies one run of an endpoint, from its start to its exit.
    EndpointId
);

flamingotrail_core::name_type!(
    /// Name of a workspace.
    WorkspaceName
);

/// Digest of a caller's key. The key itself is not known to the decisions, so that it can't get into
/// records, messages or log lines.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of `key`.
    pub fn of(key: &[u8]) -> Self {
        KeyDigest(*blake3::hash(key).as_bytes())
    }
}

impl TurnId {
    /// Returns this id as the gateways share it: within `workspace`.
    pub fn scoped(&self, workspace: Option<&WorkspaceName>) -> Self {
        TurnId::new(scoped(workspace, self.as_str()))
    }
}

impl ProgramId {
    /// Returns this id as the gateways share it: within `workspace`.
    pub fn scoped(&self, workspace: Option<&WorkspaceName>) -> Self {
        ProgramId::new(scoped(workspace, self.as_str()))
    }
}

/// Returns `WORKSPACE/ID`. The id of a caller without a workspace has no slash, so that it is none of
/// a workspace's ids, whatever the caller sends.
fn scoped(workspace: Option<&WorkspaceName>, id: &str) -> String {
    /// What would end the name of a workspace early, in an id or in the `key=value` pairs of log lines.
    const NAME_ESCAPES: &percent_encoding::AsciiSet =
        &percent_encoding::CONTROLS.add(b' ').add(b'%').add(b'/');
    const PLAIN_ESCAPES: &percent_encoding::AsciiSet =
        &percent_encoding::AsciiSet::EMPTY.add(b'%').add(b'/');
    match workspace {
        Some(workspace) => {
            let name = percent_encoding::utf8_percent_encode(workspace.as_str(), NAME_ESCAPES);
            format!("{name}/{id}")
        }
        None => percent_encoding::utf8_percent_encode(id, PLAIN_ESCAPES).to_string(),
    }
}

impl fmt::Debug for KeyDigest {
    /// Shows the beginning of the digest, which is enough to tell keys apart.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl fmt::Display for KeyDigest {
    /// Shows the beginning of the digest, which is enough to tell keys apart.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        const SHOWN_BYTES: usize = 4;
        self.0.iter().take(SHOWN_BYTES).try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Identifies an active call within this gateway process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// A partition of the log: one ordered stream of records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Partition(pub u16);

/// Identifies requests with the same target and body, whatever their ids.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Returns the fingerprint of a request with these fields.
    pub fn of(fields: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for field in fields {
            // The length keeps fields apart.
            hasher.update(&(field.len() as u64).to_be_bytes());
            hasher.update(field);
        }
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Fingerprint(u128::from_be_bytes(bytes))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Position of a record within its partition.
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

/// Hashes `text` with 64-bit FNV-1a. The result has to be the same in every process and version,
/// since gateways use it to agree on partitions, ranks and traffic splits.
pub fn stable_hash(text: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let hash =
        text.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME));
    // Folds in the high bits: the low bits of FNV-1a are poorly mixed for short inputs.
    hash ^ (hash >> 32)
}

impl Partition {
    /// Returns the partition, out of `count`, that stores the budget of `program`. Budgets use the
    /// upper half of the partitions, so that reading them does not transfer the texts of turns.
    pub fn of_program(program: &ProgramId, count: u16) -> Partition {
        let half = count / 2;
        Partition(half + Partition::from_hash(program.as_str(), count - half).0)
    }

    /// Returns the partition, out of `count`, that stores `turn`. Turns use the lower half; the
    /// partition depends only on the turn's id, so that a turn can be found without knowing its
    /// program.
    pub fn of_turn(turn: &TurnId, count: u16) -> Partition {
        Partition::from_hash(turn.as_str(), count / 2)
    }

    fn from_hash(text: &str, count: u16) -> Partition {
        let index = stable_hash(text) % u64::from(count.max(1));
        Partition(u16::try_from(index).unwrap_or(u16::MAX))
    }
}
