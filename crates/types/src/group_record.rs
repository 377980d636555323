//! Groups and VMs as the table's rows hold them.

use serde::{Deserialize, Serialize};

use crate::{FabricDomain, GroupAssignment, GroupGeneration, GroupId};

/// Where a group stands in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum GroupPhase {
    /// Wanted: its VMs are ordered into it until their reports agree.
    Active,

    /// Unwanted: its VMs are released, and stay in no other group until the quiet period is over.
    Retiring,
}

/// The row of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRecord {
    /// What its VMs are ordered to be. Invariant: every member's row names this group and
    /// generation.
    pub assignment: GroupAssignment,

    /// Where all its VMs are.
    pub fabric_domain: FabricDomain,

    /// Where it stands.
    pub phase: GroupPhase,
}

/// The row of a VM. One row for each VM is why no VM can be in two groups.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmOwner {
    /// The group that holds the VM, if one does.
    pub holder: Option<(GroupId, GroupGeneration)>,
}
