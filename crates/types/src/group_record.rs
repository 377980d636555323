//! Groups and VMs as stored in table rows.

use serde::{Deserialize, Serialize};

use crate::{FabricDomain, GroupAssignment, GroupGeneration, GroupId};

/// The phase of a group's lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum GroupPhase {
    /// Wanted: its VMs are ordered to join it until their reports show its assignment.
    Active,

    /// Unwanted: its VMs are released, and may join no other group until the quiet period is over.
    Retiring,
}

/// The row of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRecord {
    /// The assignment that its VMs are ordered to take. Invariant: every member's row names this
    /// group and generation.
    pub assignment: GroupAssignment,

    /// The fabric domain of all its VMs.
    pub fabric_domain: FabricDomain,

    /// The phase of its lifecycle.
    pub phase: GroupPhase,
}

/// The row of a VM. As each VM has exactly one row, no VM can be in two groups.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmOwner {
    /// The group that holds the VM, if one does.
    pub holder: Option<(GroupId, GroupGeneration)>,
}
