//! Settings of a model engine.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use comfreyturn_types::{FabricDomain, FailureDomain, VmId};

/// Settings of a model engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// The VM that it runs on.
    pub vm: VmId,

    /// The VM's failure domain.
    pub failure_domain: FailureDomain,

    /// The VM's fabric domain.
    pub fabric_domain: FabricDomain,

    /// Accelerators on the VM.
    pub accelerators: u32,

    /// The platform, which lists the VM, serves weights and gives other members' addresses.
    pub platform: Option<SocketAddr>,

    /// Fixed addresses of members; the platform's list gives those of the others.
    pub members: BTreeMap<VmId, SocketAddr>,

    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,

    /// Output rate of each stream. Invariant: above zero.
    pub tokens_per_second: f64,

    /// Time from the admission to the batch to the first token.
    pub first_token_delay: Duration,

    /// Maximum number of streams that run at once.
    pub batch_capacity: u32,

    /// Maximum number of streams that wait for a slot in the batch.
    pub queue_capacity: u32,

    /// How long a stream is kept while no caller reads it, and after its end.
    pub retention: Duration,

    /// Age of the load in a report.
    pub load_lag: Duration,

    /// Size of the weights of a model version, in bytes.
    pub weight_bytes: u64,

    /// Rate of loading weights if no platform is set. Zero means no limit.
    pub weight_bytes_per_second: u64,

    /// The engine crashes when it runs a prompt that contains this.
    pub crash_marker: Option<String>,

    /// How often the first VM of a group checks the others.
    pub member_period: Duration,

    /// A member whose report takes longer than this counts as lost.
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
