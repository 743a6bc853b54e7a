//! Messages between gateways about the allowances of workspaces: requests for leases and units, their
//! answers, and reports of the leases that a gateway holds.

use std::time;

use crate::ids;

/// What a gateway asks of the owner of workspaces.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// Gateway that asks.
    pub holder: ids::InstanceName,
    /// Identifies the process of that gateway.
    pub boot: u64,
    /// Number of the request, which increases within a process.
    pub number: u64,
    /// The workspaces.
    pub demands: Vec<Demand>,
}

/// What a gateway needs for a workspace, and what it holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The workspace.
    pub workspace: ids::WorkspaceName,
    /// Calls per second that arrive at the gateway.
    pub per_s: f64,
    /// Rate of the lease that the gateway holds; 0 if it holds none.
    pub held_rate: f64,
    /// Number of that lease; 0 if another gateway has granted it.
    pub held_lease: u64,
    /// Number of calls that wait and for which the gateway has no room.
    pub units: u32,
}

/// The owner's answer to a request. Workspaces that it does not own are left out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    /// Identifies the process of the owner.
    pub boot: u64,
    /// The workspaces.
    pub grants: Vec<Grant>,
}

/// What a gateway may send for a workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// The workspace.
    pub workspace: ids::WorkspaceName,
    /// Number of the lease, which replaces the one that the gateway holds.
    pub lease: u64,
    /// Rate of the lease in calls per second; 0 for none.
    pub rate: f64,
    /// Time for which the lease is valid, from the sending of the request.
    pub valid: time::Duration,
    /// Number of calls that may be sent besides.
    pub units: u32,
    /// Time for which these are valid, from the sending of the request.
    pub units_valid: time::Duration,
    /// Time after which there is room for the calls that got no unit.
    pub retry: time::Duration,
    /// Calls per second that arrive at all gateways together.
    pub total_per_s: f64,
    /// Whether the owner knows all leases of the workspace; if not, it grants nothing new.
    pub is_settled: bool,
}

/// Why a gateway asks another one what it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Question {
    /// It has become an owner, and its list has the gateway that it asks.
    Listed,
    /// It has become an owner, and its list has that gateway no longer.
    Unlisted,
    /// It can't read the list, and wants to know whether it still is an owner.
    Check,
}

/// The leases that a gateway holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Holdings {
    /// Identifies the process of the gateway.
    pub boot: u64,
    /// Whether the gateway that has asked is in this gateway's list.
    pub lists_owner: bool,
    /// Workspaces with the rates of their leases.
    pub rates: Vec<(ids::WorkspaceName, f64)>,
    /// Gateways that have left the list lately and may still hold leases. A gateway that has just started
    /// does not know them.
    pub departed: Vec<Departed>,
}

/// A gateway that has left the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Departed {
    /// The gateway.
    pub name: ids::InstanceName,
    /// Its address.
    pub address: String,
    /// Time since it has left.
    pub age: time::Duration,
}

/// Result of the question which leases a gateway holds.
#[derive(Clone, Debug, PartialEq)]
pub enum Report {
    /// The gateway's answer.
    Holdings(Holdings),
    /// The gateway's process has ended: no process accepts connections at its address.
    Ended,
    /// The gateway did not answer.
    Unknown,
}
