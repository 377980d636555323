//! Backend servers as the platform's list describes them.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{FabricDomain, FailureDomain, GroupId, ModelName, ServiceName, VmId};

/// One run of a backend server's process. A restarted server keeps its name but none of its state,
/// so the name alone doesn't identify a run.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, derive_more::Display,
)]
#[display("{vm}@{born}")]
pub struct ServerLife {
    /// The VM.
    pub vm: VmId,

    /// Identifies the run: its start time, as a number that differs between runs.
    pub born: u64,
}

/// The phase of a VM's membership in a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum MemberPhase {
    /// It loads weights or waits for them.
    Joining,

    /// It can serve.
    Ready,

    /// It is the head and serves requests.
    Open,

    /// It is the head, finishes the requests in progress and accepts no new ones.
    Closing,

    /// It is the head and has lost a member.
    Broken,
}

/// A VM's place in a group, as the VM reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupMembership {
    /// The group.
    pub group: GroupId,

    /// Increases with each new set of members, across all groups of the deployment.
    pub epoch: u64,

    /// Position among the members; the head has 0.
    pub rank: u32,

    /// The phase of the membership.
    pub phase: MemberPhase,
}

/// A backend server in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetServer {
    /// The server, and the run of its process.
    pub life: ServerLife,

    /// The service that it runs.
    pub service: ServiceName,

    /// Where it listens.
    pub address: SocketAddr,

    /// The failure domain that it belongs to.
    pub failure_domain: FailureDomain,

    /// Number of requests that it runs concurrently.
    pub slots: u32,

    /// Whether it is about to leave and accepts no new work.
    pub leaving: bool,

    /// The fabric domain, for a model server.
    pub fabric_domain: Option<FabricDomain>,

    /// The model of its last group.
    pub model: Option<ModelName>,

    /// Models whose weights are on its host.
    pub staged: Vec<ModelName>,

    /// Its place in a group, if it has one.
    pub membership: Option<GroupMembership>,

    /// For how long it tolerates only a low rate of requests, as of its entry; zero if it does not
    /// say so. The time counts from when a node receives the entry.
    pub cold_left: Duration,
}

/// A member of a group, as stored in the group's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The server.
    pub life: ServerLife,

    /// Where it listened when the group was formed.
    pub address: SocketAddr,

    /// The failure domain that it belongs to.
    pub failure_domain: FailureDomain,
}

/// A group whose members were ordered to join it. Its row exists until the group is dissolved.
///
/// Servers report only their own place. The row lists the other members, which is needed when one
/// of them loses its connection to the platform and continues to serve.
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
