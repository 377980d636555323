//! A group whose members are all present and ready.

use std::time::Instant;

use comfreyturn_types::{GroupAssignment, VmLoad, VmRecord};

/// A group of which every VM recently reported the group's assignment.
#[derive(Clone, Debug)]
pub struct WholeGroup {
    /// Group, generation, service and members.
    pub assignment: GroupAssignment,

    /// The VM that takes requests: the first of the members.
    pub head: VmRecord,

    /// The load that `head` reported.
    pub load: VmLoad,

    /// When that load was measured, estimated from when the poll was sent.
    pub load_at: Instant,
}
