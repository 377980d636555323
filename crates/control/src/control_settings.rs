//! Periods and limits of the protocols.

use std::time::Duration;

use comfreyturn_policy::LeaseTerm;

/// Periods and limits of the protocols.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlSettings {
    /// How often the head of the configuration log is read.
    pub head_period: Duration,

    /// How often each peer is asked.
    pub heartbeat_period: Duration,

    /// How often each backend server is polled by its watchers.
    pub poll_period: Duration,

    /// How often the platform's list of VMs is read.
    pub directory_period: Duration,

    /// How often a node that the roster does not name tries to join.
    pub join_period: Duration,

    /// How often the holder of the planner's lease plans and reconciles.
    pub planner_period: Duration,

    /// How often the lease is renewed or looked at.
    pub lease_period: Duration,

    /// The times of the lease.
    pub lease_term: LeaseTerm,

    /// How long a call of the table service may take.
    pub table_timeout: Duration,

    /// How long a peer may take to answer.
    pub peer_timeout: Duration,

    /// How long a backend server may take to report.
    pub poll_timeout: Duration,

    /// How long an order may be under way. No order takes effect later than this.
    pub order_lifetime: Duration,

    /// How long a change may wait to be known to a majority before its result is "pending".
    pub accept_timeout: Duration,

    /// Evidence of a VM older than this is renewed by a poll of one's own.
    pub probe_age: Duration,

    /// Log entries that are kept in the table and in memory.
    pub kept_entries: u64,

    /// A sleep that took this much longer than asked for means that the VM stood still.
    pub jump_limit: Duration,
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
            jump_limit: Duration::from_secs(2),
        }
    }
}
