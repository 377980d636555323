//! What becomes of a call, and what cuts it off.

use std::{net::SocketAddr, time::Duration};

use comfreyturn_types::{NodeId, VmId};

/// One end of a call.
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

/// What becomes of a call's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestFate {
    /// It arrives.
    Arrives,
    /// The caller knows that it was not sent.
    NotSent,
    /// The caller cannot know whether it arrived. It did not.
    Vanishes,
}

/// What becomes of a call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallFate {
    pub(crate) request: RequestFate,
    pub(crate) loses_answer: bool,
    pub(crate) is_duplicate: bool,
}

/// Nothing goes from one end to the other.
pub(crate) struct LinkCut {
    pub(crate) from: FaultEndpoint,
    pub(crate) to: FaultEndpoint,
    pub(crate) both_ways: bool,
    pub(crate) until: Duration,
}

impl LinkCut {
    /// Whether it stops what goes from one end to the other now.
    pub(crate) fn stops(&self, now: Duration, from: &FaultEndpoint, to: &FaultEndpoint) -> bool {
        let forth = self.from == *from && self.to == *to;
        let back = self.both_ways && self.from == *to && self.to == *from;
        now < self.until && (forth || back)
    }
}
