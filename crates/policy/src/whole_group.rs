//! A group that may serve.

use std::time::Instant;

use comfreyturn_types::{GroupAssignment, VmLoad, VmRecord};

/// A group of which every VM was recently heard to hold its place.
#[derive(Clone, Debug)]
pub struct WholeGroup {
    /// Group, generation, service and members.
    pub assignment: GroupAssignment,

    /// The VM that takes requests: the first of the members.
    pub head: VmRecord,

    /// The load that `head` reported.
    pub load: VmLoad,

    /// When that load was measured, at the latest estimate.
    pub load_at: Instant,
}
