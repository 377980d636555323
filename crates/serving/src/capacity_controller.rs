//! Limits how many requests of each service run at once from this node.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Instant};

use comfreyturn_policy::CapacityShare;
use comfreyturn_types::{ServiceBackend, ServiceName};

use crate::ServingView;

/// Running requests of one service and this node's share of its slots.
#[derive(Default)]
struct ServiceRuns {
    running: u32,
    share: CapacityShare,
}

/// Counts running requests and computes this node's share of the groups' slots.
pub(crate) struct CapacityController {
    view: Rc<dyn ServingView>,
    plain_capacity: u32,
    services: RefCell<BTreeMap<ServiceName, ServiceRuns>>,
}

impl CapacityController {
    /// `plain_capacity` is how many requests a plain backend server runs at once.
    pub(crate) fn new(view: Rc<dyn ServingView>, plain_capacity: u32) -> Self {
        Self { view, plain_capacity, services: RefCell::default() }
    }

    /// How many requests of a service may run at once from this node.
    pub(crate) fn capacity(&self, now: Instant, service: &ServiceName) -> u32 {
        let config = self.view.config();
        match config.services.get(service).map(|service| &service.backend) {
            None => 0,
            Some(ServiceBackend::Plain) => {
                let backends = self.view.plain_backends(now, service).len();
                let backends = u32::try_from(backends).unwrap_or(u32::MAX);
                backends.saturating_mul(self.plain_capacity)
            }
            Some(ServiceBackend::Model(_)) => {
                let groups = self.view.whole_groups(now, service);
                let nodes = config.roster.current.members.len();
                let mut services = self.services.borrow_mut();
                let runs = services.entry(service.clone()).or_default();
                runs.share.capacity(now, &groups, runs.running, nodes)
            }
        }
    }

    /// Counts a request that starts.
    pub(crate) fn enter(&self, service: &ServiceName) {
        self.services.borrow_mut().entry(service.clone()).or_default().running += 1;
    }

    /// Counts a request that ended.
    pub(crate) fn leave(&self, service: &ServiceName) {
        if let Some(runs) = self.services.borrow_mut().get_mut(service) {
            runs.running = runs.running.saturating_sub(1);
        }
    }
}
