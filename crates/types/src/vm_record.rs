//! VMs as the platform lists them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{FabricDomain, FailureDomain, ServiceName, VmId};

/// The role of a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum VmRole {
    /// Runs a node of this system.
    Entry,

    /// Runs a model engine, which accepts orders.
    Engine {
        /// Number of accelerators of the VM.
        accelerators: u32,
    },

    /// Runs a plain service.
    Plain {
        /// The service's name.
        service: ServiceName,
    },
}

/// One entry of the platform's list of VMs, which may be out of date.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// The VM.
    pub vm: VmId,

    /// Its role.
    pub role: VmRole,

    /// The address that its server listens on.
    pub address: SocketAddr,

    /// Its failure domain.
    pub failure_domain: FailureDomain,

    /// Its fabric domain.
    pub fabric_domain: FabricDomain,

    /// Whether the platform is removing the VM.
    pub leaving: bool,
}
