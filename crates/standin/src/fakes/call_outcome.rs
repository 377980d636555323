//! The effect of faults on one call, and cuts between endpoints.

use std::{net::SocketAddr, time::Duration};

use comfreyturn_types::{NodeId, VmId};

/// One endpoint of a call.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultEndpoint {
    /// The table service.
    Table,
    /// The list of VMs.
    Directory,
    /// A node.
    Node(NodeId),
    /// A backend server, by its VM.
    Vm(VmId),
    /// A backend server, by its address.
    Address(SocketAddr),
}

/// Whether a call's request is delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestDelivery {
    /// The request reaches the target.
    Delivered,
    /// The request is not sent, and the caller knows it.
    NotSent,
    /// The request is lost after sending. The caller cannot know whether it was delivered.
    Lost,
}

/// The effect of the injected faults on a call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallOutcome {
    pub(crate) request: RequestDelivery,
    pub(crate) loses_answer: bool,
    pub(crate) is_duplicate: bool,
}

/// Drops everything sent from one endpoint to another until a given time.
pub(crate) struct LinkCut {
    pub(crate) from: FaultEndpoint,
    pub(crate) to: FaultEndpoint,
    pub(crate) both_ways: bool,
    pub(crate) until: Duration,
}

impl LinkCut {
    /// Whether the cut drops what `from` sends to `to` at `now`.
    pub(crate) fn applies(&self, now: Duration, from: &FaultEndpoint, to: &FaultEndpoint) -> bool {
        let forth = self.from == *from && self.to == *to;
        let back = self.both_ways && self.from == *to && self.to == *from;
        now < self.until && (forth || back)
    }
}
