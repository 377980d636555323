//! Input, settings and orders of the fleet planner.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use comfreyturn_ports::FleetAction;
use comfreyturn_types::{EngineSpec, FleetServer, ModelName, ServerLife, ServiceName};

use crate::{EvacuationSet, GroupSightings, StalePlaces, planned_group::PlannedGroup};

/// Settings of a [`FleetPlanner`](crate::FleetPlanner).
#[derive(Clone, Copy, Debug)]
pub struct FleetPlannerSettings {
    /// Fraction of the servers, of all and of each fabric domain, that is kept out of groups to
    /// replace lost members.
    pub spare_share: f64,

    /// Fraction of a group's slots that may be in use before its model gets another group.
    pub utilization: f64,

    /// An order that shows no effect is sent again after this time.
    pub order_retry_interval: Duration,

    /// A group that its members don't report as whole within this time of its first order is
    /// dissolved.
    pub form_timeout: Duration,

    /// A head that has been neither listed nor reachable for this time is considered gone.
    pub head_loss_timeout: Duration,

    /// A group of which a member is listed and doesn't answer is kept for this time, and its head
    /// leaves it after this time at the latest. Longer than the list keeps a server that crashed, and
    /// than a head needs to find that it lost a member.
    pub silence_timeout: Duration,

    /// The head of a group that is given up, though all members answer, is ordered to leave after
    /// this time at the latest. Longer than almost all requests run.
    pub drain_timeout: Duration,

    /// An order that was not answered may still be carried out for this time.
    pub late_order_time: Duration,

    /// Concurrent loads before the first request, as a multiple of the number that run at full
    /// speed. A factor above one keeps the weight store busy when a load ends.
    pub first_load_factor: f64,
}

impl Default for FleetPlannerSettings {
    fn default() -> Self {
        Self {
            spare_share: 0.15,
            utilization: 0.5,
            order_retry_interval: Duration::from_millis(500),
            form_timeout: Duration::from_millis(2500),
            head_loss_timeout: Duration::from_millis(300),
            silence_timeout: Duration::from_secs(5),
            drain_timeout: Duration::from_secs(10),
            late_order_time: Duration::from_secs(13),
            first_load_factor: 2.0,
        }
    }
}

/// Input of a plan.
#[derive(Clone, Debug)]
pub struct FleetView<'a> {
    /// The service.
    pub service: &'a ServiceName,

    /// How its servers run models.
    pub engine: &'a EngineSpec,

    /// All servers on the platform's list, and those that were recently dropped from it, as they
    /// were last listed.
    pub servers: Vec<&'a FleetServer>,

    /// Servers that were dropped from the list. They take no new work; their groups are kept as
    /// long as they answer.
    pub unlisted: &'a HashSet<ServerLife>,

    /// Servers that do not answer.
    pub lost: &'a HashSet<ServerLife>,

    /// Servers that run requests of callers, as far as this node knows.
    pub busy: &'a HashSet<ServerLife>,

    /// Servers whose listed place may be out of date. They get no order to join, and groups that
    /// may be theirs stay as they are until those that answer have told their place.
    pub stale: &'a StalePlaces,

    /// Since when servers have been seen in their groups.
    pub sightings: &'a GroupSightings,

    /// Failure domains whose servers get no orders. Their groups stay as they are, and the demand
    /// is planned for the other servers.
    pub evacuated: &'a EvacuationSet,

    /// Work of each model, in requests in flight; before the first request, in any unit.
    pub work: &'a HashMap<ModelName, f64>,

    /// Whether no request has arrived yet. Weights load fast then, and no caller waits for a
    /// group.
    pub before_traffic: bool,

    /// Whether `work` was measured; else it holds the declared shares.
    pub is_work_measured: bool,
}

impl FleetView<'_> {
    pub(crate) fn is_evacuated(&self, server: &FleetServer) -> bool {
        self.evacuated.contains(&server.failure_domain)
    }

    /// Whether a server will tell its place, which isn't known.
    pub(crate) fn is_awaited(&self, life: &ServerLife) -> bool {
        self.stale.is_stale(life) && !self.lost.contains(life)
    }
}

/// An order to one server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetOrder {
    /// The server.
    pub life: ServerLife,

    /// What it should do.
    pub action: FleetAction,
}

/// A plan under construction.
#[derive(Debug, Default)]
pub(crate) struct FleetPlan {
    pub(crate) orders: Vec<FleetOrder>,

    /// Servers that belong to a group and must not join another one.
    pub(crate) held: HashSet<ServerLife>,

    /// Number of groups that serve or are expected to, by model.
    pub(crate) active: HashMap<ModelName, u32>,
}

impl FleetPlan {
    pub(crate) fn order(&mut self, life: &ServerLife, action: FleetAction) {
        self.orders.push(FleetOrder { life: life.clone(), action });
    }

    /// Counts on a group as it was.
    pub(crate) fn keep(&mut self, group: &PlannedGroup) {
        self.hold(group);
        if !group.dissolving {
            *self.active.entry(group.record.model.clone()).or_default() += 1;
        }
    }

    pub(crate) fn hold(&mut self, group: &PlannedGroup) {
        self.held.extend(group.record.members.iter().map(|member| member.life.clone()));
    }
}
