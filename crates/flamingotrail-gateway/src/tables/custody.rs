//! Records on their way into the log: this process's own that wait for it, and those that other
//! gateways have entrusted to it because the log did not answer them.

use std::collections;

use crate::ids;
use crate::journal;

/// One of this process's records that somebody waits for.
#[derive(Debug)]
pub struct Wait {
    /// The record.
    pub record: journal::Record,
    /// Its partition.
    pub partition: ids::Partition,
    /// Gateways that were asked to take it and have not answered.
    pub asked: collections::BTreeSet<ids::InstanceName>,
    /// Gateways that were asked at any time.
    pub tried: collections::BTreeSet<ids::InstanceName>,
    /// Whether a gateway keeps a copy.
    pub kept: bool,
}

/// A record of another gateway.
#[derive(Debug)]
pub struct Entrusted {
    /// The record's name.
    pub key: journal::Key,
    /// The record, for a decision without the log.
    pub record: journal::Record,
}

/// What another gateway says of a record that was entrusted to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It stands in the log; for a start, the size of the allowance or none.
    Logged(Option<u64>),
    /// It is kept until the log is back; for a start, the size of the allowance or none.
    Kept(Option<u64>),
}

/// All records on their way.
#[derive(Debug, Default)]
pub struct Custody {
    /// This process's own.
    pub waits: collections::BTreeMap<journal::Key, Wait>,
    /// Those of others, by the ticket under which the answer is expected.
    pub entrusted: collections::BTreeMap<u64, Entrusted>,
}
