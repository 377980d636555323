//! What operators declare for a gateway: routes, services, customers' keys and limits of callers.

use std::{collections::BTreeMap, time::Duration};

use crate::{CustomerName, EngineTimes, HostName, ModelName, RequestRate, RouteName, ServiceName};

/// One version of the operators' configuration, as far as a gateway needs it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GatewayConfig {
    /// Increases with each change, not necessarily by one. Zero means that nothing was declared.
    pub version: u64,

    /// Where requests go. Invariant: no two routes share host and prefix.
    pub routes: Vec<RouteSpec>,

    /// The services that the routes refer to.
    pub services: BTreeMap<ServiceName, ServiceSpec>,

    /// The customers that may call. `None` if callers need no key.
    pub customers: Option<Vec<KeyedCustomer>>,

    /// Limits on requests of callers.
    pub limits: CallerLimits,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RequestKind {
    /// May run any number of times.
    Idempotent,

    /// May run once at most.
    NonIdempotent,

    /// A stream of events that another backend server can resume after the last event delivered.
    ResumableStream,

    /// A stream of events that may run once at most.
    OneTimeStream,
}

impl RequestKind {
    /// Whether a request that may have run can safely run again.
    #[inline]
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    #[inline]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::OneTimeStream)
    }
}

/// One of the services that a route sends requests to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,

    /// Its share of the route's requests, relative to the other targets.
    pub weight: u32,
}

/// Where the requests of one host and path prefix go.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSpec {
    /// Unique within a configuration.
    pub name: RouteName,

    /// The host name in the requests.
    pub host: HostName,

    /// The prefix of the requests' paths. Invariant: begins and ends with a slash.
    pub prefix: String,

    /// Whether requests may be repeated.
    pub kind: RequestKind,

    /// The longest time that a request may take.
    pub timeout: Duration,

    /// Latency objective: the time in which the response, or the first event of a stream, should
    /// arrive.
    pub objective: Duration,

    /// Latency objective: the longest time between two events of a stream.
    pub longest_pause: Option<Duration>,

    /// Priority among routes; 0 is the highest. `None` if the configuration states none.
    pub priority: Option<u8>,

    /// Number of backend servers that one request may be sent to. Invariant: at least one.
    pub max_attempts: u32,

    /// Whether callers need no key.
    pub public: bool,

    /// The services. Invariant: not empty.
    pub targets: Vec<RouteTarget>,
}

/// A service that routes send requests to.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Unique within a configuration.
    pub name: ServiceName,

    /// Number of connections that one of its servers accepts from all its clients.
    pub max_connections: u32,

    /// How its servers run models; `None` for a plain service.
    pub engine: Option<EngineSpec>,

    /// What its servers tolerate while they are cold; `None` if they never are.
    pub cold: Option<ColdSpec>,
}

/// What the servers of a service tolerate while they are cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdSpec {
    /// How long a server is cold after it started while callers send requests. Zero if only servers
    /// that say so are cold.
    pub start_time: Duration,

    /// Requests that a cold server tolerates from all nodes together.
    pub rate: RequestRate,
}

/// How the servers of a service run models.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Number of requests that one group runs concurrently.
    pub slots: u32,

    /// The models that the servers share.
    pub models: Vec<PooledModel>,

    /// Loads from the weight store that may start per second, over all servers.
    pub loads_per_second: f64,

    /// Concurrent loads that still run at full speed, over all servers.
    pub loads_at_once: u32,

    /// Number of models whose weights a host keeps.
    pub kept_models: u32,

    /// Time from the order to open a group until it serves requests.
    pub open_time: Duration,

    /// The timing of its steps; `None` if it is not stated, or not plausible.
    pub times: Option<EngineTimes>,
}

/// One of the models that the servers of a service share.
#[derive(Clone, Debug, PartialEq)]
pub struct PooledModel {
    /// The model.
    pub name: ModelName,

    /// Number of VMs in a group. Invariant: at least one.
    pub group_size: u32,

    /// This model's declared share of all servers' time, used until there is traffic.
    pub share: f64,

    /// Factor by which a group's processing time is multiplied for this model.
    pub pace: f64,

    /// Time to load the weights from the weight store.
    pub load_time: Duration,

    /// Time to load the weights from the host.
    pub warm_time: Duration,
}

/// A customer with its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedCustomer {
    /// The customer.
    pub name: CustomerName,

    /// The secrets that authenticate this customer.
    pub keys: Vec<String>,

    /// Priority that overrides the route's, if set.
    pub priority: Option<u8>,
}

/// Limits on the size of requests and on the time that callers may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,

    /// Largest request body, in bytes.
    pub body_bytes: usize,

    /// Time for a request's head to arrive.
    pub head_timeout: Duration,

    /// Time after which an unused connection is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
