//! VMs as the platform lists them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{FabricDomain, FailureDomain, ServiceName, VmId};

/// What a VM is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum VmRole {
    /// Runs a node of this system.
    Entry,

    /// Runs a model engine, and takes orders.
    Engine {
        /// Accelerators on the VM.
        accelerators: u32,
    },

    /// Runs a plain service.
    Plain {
        /// The service's name.
        service: ServiceName,
    },
}

/// One line of the platform's list, which lags behind reality.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// The VM.
    pub vm: VmId,

    /// What it is for.
    pub role: VmRole,

    /// Where its server listens.
    pub address: SocketAddr,

    /// The scope that fails as one.
    pub failure_domain: FailureDomain,

    /// The scope with a fast interconnect.
    pub fabric_domain: FabricDomain,

    /// Whether the platform is taking the VM away.
    pub leaving: bool,
}
