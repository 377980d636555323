//! What the planner of a fleet decides over, and what it orders.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use comfreyturn_ports::FleetAction;
use comfreyturn_types::{EngineSpec, FleetServer, ModelName, ServerLife, ServiceName};

use crate::planned_group::PlannedGroup;

/// Settings of a [`FleetPlanner`](crate::FleetPlanner).
#[derive(Clone, Copy, Debug)]
pub struct FleetPlannerSettings {
    /// Part of the servers that is kept out of groups before the first request, to replace members
    /// that are lost.
    pub spare_share: f64,

    /// Part of a group's slots that may be in use before its model gets another group.
    pub utilization: f64,

    /// An order that shows no effect is given again after this time.
    pub order_retry_interval: Duration,

    /// A group that is not told whole by then, counted from its first order, is given up.
    pub form_timeout: Duration,

    /// A head that neither answers nor is listed is taken to be gone after this time.
    pub head_loss_timeout: Duration,

    /// Loads that are under way at once before the first request, as a multiple of what runs at
    /// full speed. More keep the weight store busy without a pause.
    pub first_load_factor: f64,
}

impl Default for FleetPlannerSettings {
    fn default() -> Self {
        Self {
            spare_share: 0.2,
            utilization: 0.7,
            order_retry_interval: Duration::from_millis(500),
            form_timeout: Duration::from_millis(2500),
            head_loss_timeout: Duration::from_millis(300),
            first_load_factor: 2.0,
        }
    }
}

/// What the planner decides over.
#[derive(Clone, Debug)]
pub struct FleetView<'a> {
    /// The service.
    pub service: &'a ServiceName,

    /// How its servers run models.
    pub engine: &'a EngineSpec,

    /// All servers in the platform's list, and those that were dropped from it a short time ago,
    /// as they were last listed.
    pub servers: Vec<&'a FleetServer>,

    /// Servers that were dropped from the list. They take no new work; their groups live on as
    /// long as they answer.
    pub unlisted: &'a HashSet<ServerLife>,

    /// Servers that do not answer.
    pub lost: &'a HashSet<ServerLife>,

    /// Work of each model, in requests under way; before the first one, in any unit.
    pub work: &'a HashMap<ModelName, f64>,

    /// Whether no request has come yet. Weights load fast then, and nobody waits for a group.
    pub before_traffic: bool,
}

/// An order to one server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetOrder {
    /// The server.
    pub life: ServerLife,

    /// What it is to do.
    pub action: FleetAction,
}

/// A plan in the making.
#[derive(Debug, Default)]
pub(crate) struct FleetPlan {
    pub(crate) orders: Vec<FleetOrder>,

    /// Servers that are bound to a group.
    pub(crate) held: HashSet<ServerLife>,

    /// Groups that serve or will.
    pub(crate) active: HashMap<ModelName, u32>,
}

impl FleetPlan {
    pub(crate) fn order(&mut self, life: &ServerLife, action: FleetAction) {
        self.orders.push(FleetOrder { life: life.clone(), action });
    }

    pub(crate) fn hold(&mut self, group: &PlannedGroup) {
        self.held.extend(group.record.members.iter().map(|member| member.life.clone()));
    }
}
