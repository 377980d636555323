//! Periods and limits of a gateway.

use std::time::Duration;

use comfreyturn_policy::{FleetPlannerSettings, HeadPickerSettings, LeaseTerm};

/// Periods and limits of a gateway.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// A configuration that was not known to be the newest for this time admits no request that
    /// needs a key.
    pub config_limit: Duration,

    /// Nodes that always ask for the configuration. The others rely on their word.
    pub config_watchers: usize,

    /// How long the store may hold back the answer that no configuration is newer.
    pub config_poll_timeout: Duration,

    /// Least pause between two readings of the list of servers after another node told that it
    /// changed.
    pub list_change_pause: Duration,

    /// Pause between two readings of the list of servers.
    pub server_list_period: Duration,

    /// The same, for the holder of the fleet's lease.
    pub planner_period: Duration,

    /// After an outage of the list, servers that are missing from it are kept for this time.
    pub outage_grace: Duration,

    /// Pause after a reading that failed.
    pub feed_retry_pause: Duration,

    /// Pause between two datagrams to each other node.
    pub heartbeat_period: Duration,

    /// A node that was not heard of for this time takes no new callers.
    pub peer_timeout: Duration,

    /// A holder of the fleet's lease that was not heard of for this time is taken to be dead.
    pub holder_timeout: Duration,

    /// Pause between two renewals of the fleet's lease.
    pub lease_period: Duration,

    /// Pause between two looks at the lease of another node that is heard of.
    pub lease_poll_period: Duration,

    /// The times of the lease.
    pub lease_term: LeaseTerm,

    /// Whether all servers refuse orders with an old fencing number.
    pub fencing_checked: bool,

    /// Pause between two readings of the rows of other nodes.
    pub node_period: Duration,

    /// How long an order or a probe may take.
    pub order_timeout: Duration,

    /// How long a server may take to answer a probe before it counts as silent.
    pub probe_timeout: Duration,

    /// Silent probes in a row after which a server counts as lost.
    pub lost_probes: u32,

    /// Part of a service's requests that may be sent once more.
    pub retry_share: f64,

    /// Requests that may be sent once more in each window, whatever the number of requests.
    pub retry_floor: u32,

    /// The window of the retry budget.
    pub retry_window: Duration,

    /// A stream whose server is silent for this multiple of the longest pause on time goes on
    /// elsewhere.
    pub stall_factor: f64,

    /// The pause of a stream whose route states none.
    pub default_pause: Duration,

    /// A stream without a first event after this multiple of its objective goes elsewhere.
    pub first_event_factor: f64,

    /// The least time that a first event is waited for.
    pub first_event_floor: Duration,

    /// An idempotent request without an answer after this multiple of its objective goes
    /// elsewhere.
    pub answer_factor: f64,

    /// A stalled server takes no new requests for this time, unless it is heard of again.
    pub stall_retention: Duration,

    /// Callers that are refused may come back after a time between these two. Groups are mended
    /// within it, and callers who were refused together do not return together.
    pub retry_after: (Duration, Duration),

    /// Bytes of an answer that is kept back until it is whole.
    pub whole_answer_limit: usize,

    /// Choice of servers.
    pub picker: HeadPickerSettings,

    /// Forming of groups.
    pub planner: FleetPlannerSettings,
}

impl Default for GatewaySettings {
    fn default() -> Self {
        Self {
            config_limit: Duration::from_millis(4500),
            config_watchers: 12,
            config_poll_timeout: Duration::from_millis(2000),
            list_change_pause: Duration::from_millis(300),
            server_list_period: Duration::from_millis(900),
            planner_period: Duration::from_millis(150),
            outage_grace: Duration::from_millis(2200),
            feed_retry_pause: Duration::from_millis(200),
            heartbeat_period: Duration::from_millis(100),
            peer_timeout: Duration::from_millis(1000),
            holder_timeout: Duration::from_millis(600),
            lease_period: Duration::from_millis(500),
            lease_poll_period: Duration::from_millis(4000),
            lease_term: LeaseTerm {
                term: Duration::from_millis(2500),
                guard: Duration::from_millis(700),
            },
            fencing_checked: false,
            node_period: Duration::from_secs(15),
            order_timeout: Duration::from_millis(600),
            probe_timeout: Duration::from_millis(300),
            lost_probes: 2,
            retry_share: 0.15,
            retry_floor: 5,
            retry_window: Duration::from_secs(10),
            stall_factor: 1.5,
            default_pause: Duration::from_millis(300),
            first_event_factor: 3.0,
            first_event_floor: Duration::from_millis(900),
            answer_factor: 3.0,
            stall_retention: Duration::from_secs(2),
            retry_after: (Duration::from_millis(600), Duration::from_millis(1800)),
            whole_answer_limit: 1024 * 1024,
            picker: HeadPickerSettings::default(),
            planner: FleetPlannerSettings::default(),
        }
    }
}
