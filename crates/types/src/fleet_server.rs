//! Backend servers as the platform's list describes them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{FabricDomain, FailureDomain, GroupId, ModelName, ServiceName, VmId};

/// One life of a backend server. A server that starts again under its name has forgotten
/// everything, so the name alone does not tell one life from the next.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, derive_more::Display,
)]
#[display("{vm}@{born}")]
pub struct ServerLife {
    /// The VM.
    pub vm: VmId,

    /// When it started, as a number that differs between lives.
    pub born: u64,
}

/// How far a VM is with its place in a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum MemberPhase {
    /// It loads weights or waits for them.
    Joining,

    /// It can serve.
    Ready,

    /// It is the head and serves.
    Open,

    /// It is the head and serves what it has begun.
    Closing,

    /// It is the head and has lost a member.
    Broken,
}

/// A VM's place in a group, as the VM tells it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupMembership {
    /// The group.
    pub group: GroupId,

    /// Rises with each set of members, over all groups of the deployment.
    pub epoch: u64,

    /// Position among the members, the head's being 0.
    pub rank: u32,

    /// How far it is.
    pub phase: MemberPhase,
}

/// A backend server in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetServer {
    /// Which server, and which of its lives.
    pub life: ServerLife,

    /// The service that it runs.
    pub service: ServiceName,

    /// Where it listens.
    pub address: SocketAddr,

    /// The failure domain that it stands in.
    pub failure_domain: FailureDomain,

    /// Requests that it runs at once.
    pub slots: u32,

    /// Whether it is about to leave and takes no new work.
    pub leaving: bool,

    /// The fabric domain, for a model server.
    pub fabric_domain: Option<FabricDomain>,

    /// The model of its last group.
    pub model: Option<ModelName>,

    /// Models whose weights are on its host.
    pub staged: Vec<ModelName>,

    /// Its place in a group, if it has one.
    pub membership: Option<GroupMembership>,
}

/// A member of a group, as its row keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The server.
    pub life: ServerLife,

    /// Where it listened when the group was formed.
    pub address: SocketAddr,

    /// The failure domain that it stands in.
    pub failure_domain: FailureDomain,
}

/// A group that was ordered, as its row keeps it until the group is dissolved.
///
/// Servers tell their own place only. The row tells who the other members are, which matters
/// when one of them is cut off from the platform and serves on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetGroupRecord {
    /// The group.
    pub group: GroupId,

    /// The service of its servers.
    pub service: ServiceName,

    /// Its epoch.
    pub epoch: u64,

    /// Its model.
    pub model: ModelName,

    /// By rank, the head first. Invariant: not empty.
    pub members: Vec<MemberRecord>,
}

impl FleetGroupRecord {
    /// The member that takes the group's requests.
    pub fn head(&self) -> &MemberRecord {
        &self.members[0]
    }
}
