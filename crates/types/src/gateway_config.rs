//! What operators declare for a gateway: routes, services, customers' keys and limits of callers.

use std::{collections::BTreeMap, time::Duration};

use crate::{CustomerName, HostName, ModelName, RouteName, ServiceName};

/// Everything that a gateway needs to know of the operators' intent, as one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GatewayConfig {
    /// Rises with each change, in steps of any size. Zero means that nothing was declared.
    pub version: u64,

    /// Where requests go. Invariant: no two routes share host and prefix.
    pub routes: Vec<RouteSpec>,

    /// What stands behind the routes.
    pub services: BTreeMap<ServiceName, ServiceSpec>,

    /// Who may call. `None` if callers need no key.
    pub customers: Option<Vec<KeyedCustomer>>,

    /// What callers may send.
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

    /// A stream of events that may go on at another backend server after its last event.
    ResumableStream,

    /// A stream of events that may run once at most.
    OneTimeStream,
}

impl RequestKind {
    /// Whether the request may run again after it may have run.
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

    /// Its part of the route's requests, relative to the other targets.
    pub weight: u32,
}

/// Where the requests of one host and path prefix go.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSpec {
    /// Unique within a configuration.
    pub name: RouteName,

    /// The host that callers name.
    pub host: HostName,

    /// Begins the path of each request. Invariant: begins and ends with a slash.
    pub prefix: String,

    /// Whether requests may be repeated.
    pub kind: RequestKind,

    /// The longest time that a request may take.
    pub timeout: Duration,

    /// The time in which an answer, or the first event of a stream, is on time.
    pub objective: Duration,

    /// The longest pause between events of a stream that is on time.
    pub longest_pause: Option<Duration>,

    /// Rank among routes, 0 first.
    pub priority: u8,

    /// Backend servers that one request may be sent to. Invariant: at least one.
    pub max_attempts: u32,

    /// Whether requests need no key.
    pub public: bool,

    /// The services. Invariant: not empty.
    pub targets: Vec<RouteTarget>,
}

/// A service behind routes.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Unique within a configuration.
    pub name: ServiceName,

    /// Connections that one of its servers accepts from all callers.
    pub max_connections: u32,

    /// How its servers run models; `None` for a plain service.
    pub engine: Option<EngineSpec>,
}

/// How the servers of a service run models.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests that one group runs at once.
    pub slots: u32,

    /// The models that the servers share.
    pub models: Vec<PooledModel>,

    /// Loads from the weight store that may start in a second, over all servers.
    pub loads_per_second: f64,

    /// Loads that run at once at full speed, over all servers.
    pub loads_at_once: u32,

    /// Models whose weights a host keeps.
    pub kept_models: u32,

    /// Time from the order to open a group until it serves.
    pub open_time: Duration,
}

/// One of the models that the servers of a service share.
#[derive(Clone, Debug, PartialEq)]
pub struct PooledModel {
    /// The model.
    pub name: ModelName,

    /// VMs in a group. Invariant: at least one.
    pub group_size: u32,

    /// Part of the service's work that this model does at the start.
    pub share: f64,

    /// Factor on the time that a group takes for its work.
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

    /// The secrets that prove a caller to be this customer.
    pub keys: Vec<String>,

    /// Rank that goes before the route's, if any.
    pub priority: Option<u8>,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head_bytes: usize,

    /// Bytes of a request's body.
    pub body_bytes: usize,

    /// Time for a request's head to arrive.
    pub head_timeout: Duration,

    /// Time that a connection may stay unused.
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
