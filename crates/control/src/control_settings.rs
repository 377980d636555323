//! Periods and limits of the protocols.

use std::time::Duration;

use comfreyturn_policy::LeaseTerm;

/// Periods and limits of the protocols.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlSettings {
    /// How often the head of the configuration log is read.
    pub head_period: Duration,

    /// How often a heartbeat is sent to each peer.
    pub heartbeat_period: Duration,

    /// How often each backend server is polled by its watchers.
    pub poll_period: Duration,

    /// How often the platform's list of VMs is read.
    pub directory_period: Duration,

    /// How often a node that is not in the roster tries to join it.
    pub join_period: Duration,

    /// How often the holder of the planner's lease plans and reconciles.
    pub planner_period: Duration,

    /// How often the lease is renewed by its holder or checked by other nodes.
    pub lease_period: Duration,

    /// The time limits of the lease.
    pub lease_term: LeaseTerm,

    /// How long a call of the table service may take.
    pub table_timeout: Duration,

    /// How long a peer may take to answer.
    pub peer_timeout: Duration,

    /// How long a backend server may take to report.
    pub poll_timeout: Duration,

    /// How long an order may be in flight. No order takes effect later than this.
    pub order_lifetime: Duration,

    /// How long a change may wait for acceptance by a majority before its result is "pending".
    pub accept_timeout: Duration,

    /// A node polls a VM itself, even if it is not a watcher of it, when its evidence of the VM is
    /// older than this.
    pub probe_age: Duration,

    /// How many log entries are kept in the table and in memory.
    pub kept_entries: u64,

    /// A sleep that exceeds its duration by more than this means that the process was paused.
    pub pause_tolerance: Duration,
}

impl Default for ControlSettings {
    fn default() -> Self {
        Self {
            head_period: Duration::from_secs(1),
            heartbeat_period: Duration::from_secs(1),
            poll_period: Duration::from_secs(1),
            directory_period: Duration::from_secs(2),
            join_period: Duration::from_millis(500),
            planner_period: Duration::from_millis(500),
            lease_period: Duration::from_secs(1),
            lease_term: LeaseTerm::default(),
            table_timeout: Duration::from_secs(2),
            peer_timeout: Duration::from_secs(1),
            poll_timeout: Duration::from_secs(1),
            order_lifetime: Duration::from_secs(2),
            accept_timeout: Duration::from_secs(4),
            probe_age: Duration::from_millis(2400),
            kept_entries: 1024,
            pause_tolerance: Duration::from_secs(2),
        }
    }
}
