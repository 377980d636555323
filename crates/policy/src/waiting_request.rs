//! Requests that wait at a node for a free place at a server.

use std::time::{Duration, Instant};

use comfreyturn_types::{CustomerName, ModelName, RouteName, ServiceName};

/// Number of priorities; 0 is the most urgent.
pub const PRIORITIES: u8 = 10;

/// Priority of a request for which none is declared, as at the servers.
pub const DEFAULT_PRIORITY: u8 = 5;

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitingTicket(pub(crate) u64);

/// What requests wait for: the servers of a plain service, or the groups that serve a model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct WaitingKey {
    /// The service.
    pub service: ServiceName,

    /// The model; `None` for any.
    pub model: Option<ModelName>,
}

/// A request that can't run at once.
#[derive(Clone, Debug)]
pub struct WaitingRequest {
    /// Its kind.
    pub kind: RouteName,

    /// The customer, if known.
    pub customer: Option<CustomerName>,

    /// Its priority; larger ones than the least urgent count as that.
    pub priority: u8,

    /// Latency objective for its first event or its answer.
    pub objective: Duration,

    /// When the objective is missed.
    pub objective_at: Instant,

    /// When its caller gives up.
    pub limit_at: Instant,

    /// Time from sending the request until its first event, or its answer.
    pub needed: Duration,

    /// Memory that it occupies while it waits, in bytes.
    pub bytes: usize,
}

impl WaitingRequest {
    /// From when on it can't meet its objective any more.
    pub(crate) fn late_at(&self) -> Instant {
        self.objective_at.checked_sub(self.needed).unwrap_or(self.objective_at)
    }

    /// From when on it can't be served before its caller gives up.
    pub(crate) fn ends_at(&self) -> Instant {
        self.limit_at.checked_sub(self.needed).unwrap_or(self.limit_at)
    }
}

/// Places that are free at servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FreePlaces {
    /// For requests that can meet their objective. Includes `spare`.
    pub all: u32,

    /// At servers that are not nearly full, for requests of any kind.
    pub spare: u32,
}

/// What this node knows of the requests that wait at other nodes for the same servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeersWaiting {
    /// Requests that wait there, as by [`crate::WaitingRoom::weights`].
    pub requests: f64,

    /// Requests of these nodes that finish per second.
    pub finish_rate: f64,

    /// Whether nodes share the places that their requests free. If their numbers are not known, each
    /// keeps its own.
    pub shares_finished: bool,

    /// This node's even part of all nodes.
    pub even_part: f64,

    /// The largest part of the free places that this node may take.
    pub largest_part: f64,
}

impl Default for PeersWaiting {
    fn default() -> Self {
        Self {
            requests: 0.0,
            finish_rate: 0.0,
            shares_finished: true,
            even_part: 1.0,
            largest_part: 1.0,
        }
    }
}

/// What becomes of a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmitDecision {
    /// It runs now.
    Run,

    /// It waits.
    Wait(WaitingTicket),

    /// It is refused.
    Refuse(AdmitRefusal),
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum AdmitRefusal {
    /// By the rate at which places become free, it would not get one in time.
    Unlikely,

    /// Its caller gives up before it could be served.
    Expired,

    /// The bounds on waiting requests are reached, and its customer has its even part of them.
    Full,
}

/// A waiting request that runs now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReleasedRequest {
    /// The request.
    pub ticket: WaitingTicket,

    /// Whether it can't meet its objective any more.
    pub is_late: bool,
}

/// The waiting requests that leave the room.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Releases {
    /// Run now, in this order.
    pub run: Vec<ReleasedRequest>,

    /// Refused now.
    pub refused: Vec<(WaitingTicket, AdmitRefusal)>,
}
