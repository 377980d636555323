//! How a model engine behaves.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use comfreyturn_types::{FabricDomain, FailureDomain, VmId};

/// How a model engine behaves.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// The VM that it runs on.
    pub vm: VmId,

    /// Where the VM is.
    pub failure_domain: FailureDomain,

    /// Where the VM is.
    pub fabric_domain: FabricDomain,

    /// Accelerators on the VM.
    pub accelerators: u32,

    /// The platform, to announce the VM to, load weights from, and find other members at.
    pub platform: Option<SocketAddr>,

    /// Members' addresses that need not be asked of the platform.
    pub members: BTreeMap<VmId, SocketAddr>,

    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,

    /// Output rate of each stream. Invariant: above zero.
    pub tokens_per_second: f64,

    /// Time from a place in the batch to the first token.
    pub first_token_delay: Duration,

    /// Streams that run at once.
    pub batch_capacity: u32,

    /// Streams that wait at most.
    pub queue_capacity: u32,

    /// How long a stream is kept when nobody reads it, and after its end.
    pub retention: Duration,

    /// How old the load in a report is.
    pub load_lag: Duration,

    /// Size of the weights of a model version, in bytes.
    pub weight_bytes: u64,

    /// Rate of loading where no platform is set. Zero means no limit.
    pub weight_bytes_per_second: u64,

    /// The engine crashes when it runs a prompt that contains this.
    pub crash_marker: Option<String>,

    /// How often the first VM of a group checks the others.
    pub member_period: Duration,

    /// A member that does not answer for this long is dead.
    pub member_timeout: Duration,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            vm: VmId::from("vm-1"),
            failure_domain: FailureDomain::from("domain-1"),
            fabric_domain: FabricDomain::from("fabric-1"),
            accelerators: 8,
            platform: None,
            members: BTreeMap::new(),
            checks_fencing: true,
            tokens_per_second: 200.0,
            first_token_delay: Duration::from_millis(20),
            batch_capacity: 32,
            queue_capacity: 64,
            retention: Duration::from_secs(30),
            load_lag: Duration::from_millis(500),
            weight_bytes: 0,
            weight_bytes_per_second: 0,
            crash_marker: None,
            member_period: Duration::from_millis(100),
            member_timeout: Duration::from_millis(500),
        }
    }
}
