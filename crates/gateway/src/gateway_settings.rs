//! Periods and limits of a gateway.

use std::time::Duration;

use comfreyturn_policy::{
    FleetPlannerSettings, HeadPickerSettings, LeaseTerm, PaceMeterSettings, PathSettings,
    RelayChoiceSettings, RelaySettings, ReturnSettings, RunTimeSettings, SecondBound,
    SendQuotaSettings, StalePlacesSettings, WaitSettings, WaitingRoomSettings,
};

use crate::PeerTimeouts;

/// Periods and limits of a gateway.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Requests that need a key are refused if the configuration was not confirmed as the newest
    /// within this time.
    pub config_limit: Duration,

    /// Time after which nothing new may be sent to an evacuated failure domain; `None` if none is
    /// stated. Nodes read the store often enough to learn of an evacuation in time.
    pub evacuation_limit: Option<Duration>,

    /// Number of nodes that poll the configuration all the time. The others rely on the
    /// attestations of these nodes.
    pub config_watchers: usize,

    /// How long the store may delay its answer while there is no newer configuration.
    pub config_poll_timeout: Duration,

    /// Number of relays that read the list of servers all the time, besides the holder of the
    /// fleet's lease.
    pub list_readers: usize,

    /// Pause between two readings of the list of servers.
    pub server_list_period: Duration,

    /// A node whose list is older than this reads it from the platform itself.
    pub list_age_limit: Duration,

    /// Pause between two such readings.
    pub lone_list_period: Duration,

    /// Pause between two rounds of the holder of the fleet's lease: it reads the list of servers,
    /// probes and plans.
    pub planner_period: Duration,

    /// After an outage of the list, servers that are missing from it are kept for this time.
    pub outage_grace: Duration,

    /// When a server's listed place in a group counts again after it may have been out of date.
    pub stale_places: StalePlacesSettings,

    /// Pause after a reading that failed.
    pub feed_retry_pause: Duration,

    /// Pause between two datagrams to each other relay.
    pub heartbeat_period: Duration,

    /// Pause between two reports of a member to its relay.
    pub member_period: Duration,

    /// Times after which a node that shows no sign of life is not announced to callers.
    pub peer_timeouts: PeerTimeouts,

    /// The report of a node that sends no newer one is used for this time.
    pub report_retention: Duration,

    /// Number of relays.
    pub relays: RelaySettings,

    /// Choice of this node's relay.
    pub relay_choice: RelayChoiceSettings,

    /// Before the first datagrams, a node of one core waits for this time, and for a random part
    /// of the other; a smaller one waits longer in proportion. So not all nodes call the platform
    /// at the same moment, and the largest ones become relays.
    pub join_delay: (Duration, Duration),

    /// A holder of the fleet's lease without a heartbeat for this time counts as crashed.
    pub holder_timeout: Duration,

    /// If no live node holds the fleet's lease, the first relay tries to acquire it at once, and
    /// each further one this much later than the one before.
    pub lease_rank_delay: Duration,

    /// Number of relays that may hold the fleet's lease.
    pub lease_candidates: usize,

    /// Pause between two renewals of the fleet's lease.
    pub lease_period: Duration,

    /// Pause between two polls of the fleet's lease while another live node holds it.
    pub lease_poll_period: Duration,

    /// Term and safety margin of the fleet's lease.
    pub lease_term: LeaseTerm,

    /// Whether all servers refuse orders with an old fencing number. Only then is the lease taken
    /// from an unresponsive holder before it expires.
    pub fencing_checked: bool,

    /// Pause between two readings of the rows of other nodes while no other node is heard.
    pub node_period: Duration,

    /// How long an order may take.
    pub order_timeout: Duration,

    /// How long a server may take to answer a probe before the probe counts as failed.
    pub probe_timeout: Duration,

    /// Failed probes in a row after which a server counts as lost.
    pub lost_probes: u32,

    /// Share of a service's requests that may be retried.
    pub retry_share: f64,

    /// Requests of a service that all nodes together may retry in each window in addition to
    /// `retry_share`.
    pub retry_slack: f64,

    /// The window of the retry budget.
    pub retry_window: Duration,

    /// A stream that receives nothing for this multiple of the route's longest pause is resumed at
    /// another server.
    pub stall_factor: f64,

    /// The longest pause of a stream if its route states none.
    pub default_pause: Duration,

    /// A stream without a first event after this multiple of the route's objective is sent to
    /// another server.
    pub first_event_factor: f64,

    /// The least time to wait for the first event.
    pub first_event_floor: Duration,

    /// An idempotent request without an answer after this multiple of the route's objective is sent
    /// to another server.
    pub answer_factor: f64,

    /// A stalled server receives no new requests for this time, unless one of its streams delivers
    /// data again.
    pub stall_retention: Duration,

    /// How long requests take, by which a node that stops decides whether to take one.
    pub run_times: RunTimeSettings,

    /// When refused callers should come back.
    pub return_delay: ReturnSettings,

    /// When this node's own paths to the servers count as lost.
    pub paths: PathSettings,

    /// Pause between two probes while they do.
    pub path_probe_period: Duration,

    /// Requests in flight, those of its own callers included, from which on a node sends none for
    /// other nodes.
    pub helped_requests: usize,

    /// Size limit of a buffered answer, in bytes.
    pub whole_answer_limit: usize,

    /// What answers may take until they are returned, all of them together, in bytes.
    pub answer_memory: usize,

    /// Servers that ask this node to wait.
    pub server_waits: WaitSettings,

    /// Parts of the rate limits that servers state.
    pub send_quotas: SendQuotaSettings,

    /// Parts of what cold servers tolerate.
    pub cold_quotas: SendQuotaSettings,

    /// Before this time after its start, a node does not know which other nodes share a limit, and
    /// sends nothing to servers that state one or are cold.
    pub sender_settling_time: Duration,

    /// Choice of servers.
    pub picker: HeadPickerSettings,

    /// Measuring of the servers' pace.
    pub pace_meter: PaceMeterSettings,

    /// Requests that wait for a free place at a server.
    pub waiting: WaitingRoomSettings,

    /// Forming of groups.
    pub planner: FleetPlannerSettings,
}

/// The configuration is confirmed again once its last confirmation is older than a limit divided by
/// this.
const RENEWAL_DIVISOR: u32 = 2;

/// Shorter limits for evacuations count as this, so that nodes don't call the store all the time.
const MIN_EVACUATION_LIMIT: Duration = Duration::from_secs(1);

impl GatewaySettings {
    /// The age from which on the configuration must be confirmed again.
    pub(crate) fn renewal_age(&self) -> Duration {
        let evacuation_limit =
            self.evacuation_limit.map_or(Duration::MAX, |limit| limit.max(MIN_EVACUATION_LIMIT));
        evacuation_limit.min(self.config_limit) / RENEWAL_DIVISOR
    }
}

impl Default for GatewaySettings {
    fn default() -> Self {
        Self {
            config_limit: Duration::from_millis(4500),
            evacuation_limit: None,
            config_watchers: 4,
            config_poll_timeout: Duration::from_millis(700),
            list_readers: 2,
            server_list_period: Duration::from_millis(300),
            list_age_limit: Duration::from_millis(1000),
            lone_list_period: Duration::from_millis(900),
            planner_period: Duration::from_millis(150),
            outage_grace: Duration::from_millis(2200),
            stale_places: StalePlacesSettings::default(),
            feed_retry_pause: Duration::from_millis(200),
            heartbeat_period: Duration::from_millis(100),
            member_period: Duration::from_millis(120),
            peer_timeouts: PeerTimeouts {
                heard: Duration::from_millis(700),
                relayed: Duration::from_millis(500),
            },
            report_retention: Duration::from_millis(1500),
            relays: RelaySettings::default(),
            relay_choice: RelayChoiceSettings::default(),
            join_delay: (Duration::from_millis(50), Duration::from_millis(200)),
            holder_timeout: Duration::from_millis(600),
            lease_rank_delay: Duration::from_millis(400),
            lease_candidates: 4,
            lease_period: Duration::from_millis(500),
            lease_poll_period: Duration::from_millis(4000),
            lease_term: LeaseTerm {
                term: Duration::from_millis(2500),
                safety_margin: Duration::from_millis(700),
            },
            fencing_checked: false,
            node_period: Duration::from_secs(2),
            order_timeout: Duration::from_millis(600),
            probe_timeout: Duration::from_millis(300),
            lost_probes: 2,
            retry_share: 0.15,
            retry_slack: 50.0,
            retry_window: Duration::from_secs(10),
            stall_factor: 1.5,
            default_pause: Duration::from_millis(300),
            first_event_factor: 3.0,
            first_event_floor: Duration::from_millis(900),
            answer_factor: 3.0,
            stall_retention: Duration::from_secs(2),
            run_times: RunTimeSettings::default(),
            return_delay: ReturnSettings::default(),
            paths: PathSettings::default(),
            path_probe_period: Duration::from_millis(500),
            helped_requests: 400,
            whole_answer_limit: 1024 * 1024,
            answer_memory: 64 * 1024 * 1024,
            server_waits: WaitSettings::default(),
            send_quotas: SendQuotaSettings::default(),
            cold_quotas: SendQuotaSettings::within_second(SecondBound::default()),
            sender_settling_time: Duration::from_secs(1),
            picker: HeadPickerSettings::default(),
            pace_meter: PaceMeterSettings::default(),
            waiting: WaitingRoomSettings::default(),
            planner: FleetPlannerSettings::default(),
        }
    }
}
