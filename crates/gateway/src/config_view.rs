//! The configuration held by this node and the checks on its age.

use std::{
    collections::{HashMap, HashSet},
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_policy::{ConfigAttestation, KeyTable, RouteTable};
use comfreyturn_types::{
    CustomerName, GatewayConfig, KeyedCustomer, RouteSpec, RouteTarget, ServiceName,
};

use crate::{
    gateway_metrics::{LABELLED_CUSTOMERS, OTHER_LABEL},
    gateway_state::GatewayState,
};

/// A node whose poll of the configuration takes this much longer than the poll may wait no longer
/// counts as one that reads it.
const CONFIG_ANSWER_TIME: Duration = Duration::from_millis(400);

/// A process that started this long ago and heard no other node has none to compare its
/// configuration with.
const LONE_START_TIME: Duration = Duration::from_secs(1);

/// The least urgent priority.
pub(crate) const LEAST_PRIORITY: u8 = 9;

/// A configuration and the lookup tables built from it.
#[derive(Debug)]
pub(crate) struct ConfigView {
    pub(crate) config: Rc<GatewayConfig>,
    pub(crate) routes: RouteTable,
    pub(crate) keys: Option<KeyTable>,

    /// Services whose routes don't all have the same priority, or don't all state one.
    ranked_services: HashSet<ServiceName>,

    /// Customers that have a metric label of their own.
    labelled: HashSet<CustomerName>,
}

impl ConfigView {
    pub(crate) fn new(config: Rc<GatewayConfig>) -> Self {
        let routes = RouteTable::new(&config.routes);
        let keys = config.customers.as_deref().map(KeyTable::new);
        let customers = config.customers.iter().flatten().take(LABELLED_CUSTOMERS);
        let labelled = customers.map(|customer| customer.name.clone()).collect();
        let ranked_services = ranked_services(&config);
        Self { config, routes, keys, ranked_services, labelled }
    }

    /// The priority of a request, from 0 to [`LEAST_PRIORITY`]: the customer's, else the one that
    /// the configuration states for the route. `None` if neither is declared, or if all routes of
    /// the service are alike, so that the route's priority distinguishes nothing.
    pub(crate) fn priority(
        &self,
        customer: Option<&KeyedCustomer>,
        route: &RouteSpec,
        service: &ServiceName,
    ) -> Option<u8> {
        let own = customer.and_then(|customer| customer.priority);
        let stated = route.priority.filter(|_| self.ranked_services.contains(service));
        own.or(stated).map(|priority| priority.min(LEAST_PRIORITY))
    }

    /// The value of the `customer` metric label.
    pub(crate) fn customer_label(&self, customer: Option<&CustomerName>) -> String {
        match customer {
            None => String::new(),
            Some(name) if self.labelled.contains(name) => name.to_string(),
            Some(_) => OTHER_LABEL.to_owned(),
        }
    }
}

/// The services whose routes differ in priority.
fn ranked_services(config: &GatewayConfig) -> HashSet<ServiceName> {
    let mut priorities: HashMap<&ServiceName, HashSet<Option<u8>>> = HashMap::new();
    for route in &config.routes {
        for target in &route.targets {
            priorities.entry(&target.service).or_default().insert(route.priority);
        }
    }
    let ranked = priorities.into_iter().filter(|(_, found)| found.len() > 1);
    ranked.map(|(service, _)| service.clone()).collect()
}

/// Whether requests of a route may take longer than before: its timeout is longer, or it leads to
/// another service.
fn may_take_longer(before: &RouteSpec, now: &RouteSpec) -> bool {
    let is_known = |target: &RouteTarget| {
        before.targets.iter().any(|known| known.service == target.service && known.weight > 0)
    };
    let mut used = now.targets.iter().filter(|target| target.weight > 0);
    now.timeout > before.timeout || !used.all(is_known)
}

impl GatewayState {
    /// Puts a configuration in force. How long requests took is forgotten for routes whose requests
    /// may take longer now.
    pub(crate) fn apply_config(&self, config: Rc<GatewayConfig>) {
        let mut held = self.config.borrow_mut();
        if let Some(view) = &*held {
            let before: HashMap<_, _> =
                view.config.routes.iter().map(|route| (&route.name, route)).collect();
            for route in &config.routes {
                if before.get(&route.name).is_some_and(|before| may_take_longer(before, route)) {
                    self.run_times.borrow_mut().forget(&route.name);
                }
            }
        }
        *held = Some(Rc::new(ConfigView::new(config)));
    }

    /// Whether the configuration was confirmed recently enough to accept or reject keys by it.
    pub(crate) fn config_is_usable(&self, now: Instant) -> bool {
        self.confirmed.get().is_usable(now, self.settings.config_limit)
    }

    /// Records the version of the configuration held by another node.
    pub(crate) fn record_peer_config(&self, version: u64) {
        self.peer_config_version.set(self.peer_config_version.get().max(version));
    }

    /// The newest version of the configuration that any node is known to hold.
    pub(crate) fn newest_config(&self) -> u64 {
        let own = self.config.borrow().as_ref().map(|view| view.config.version);
        own.unwrap_or_default().max(self.peer_config_version.get())
    }

    /// Whether this node read the configuration from the platform itself a short while ago.
    pub(crate) fn reads_config(&self, now: Instant) -> bool {
        let limit = self.settings.config_poll_timeout + CONFIG_ANSWER_TIME;
        let read_at = self.config_read_at.get();
        read_at.is_some_and(|at| now.saturating_duration_since(at) < limit)
    }

    /// Whether another node holds a newer configuration.
    pub(crate) fn lacks_config(&self) -> bool {
        let own = self.config.borrow().as_ref().map(|view| view.config.version);
        own.unwrap_or_default() < self.peer_config_version.get()
    }

    /// Records that the platform's configuration was the newest at `moment`. A restored store may hold
    /// an older one, which a process that starts can't tell from its own readings, so the reading
    /// proves nothing while another node holds a newer one, or before other nodes were heard.
    pub(crate) fn confirm_config(&self, now: Instant, moment: Instant) {
        let has_compared = self.is_first_start
            || self.peer_config_version.get() > 0
            || self.was_running_for(now, LONE_START_TIME);
        if has_compared && !self.lacks_config() {
            let mut confirmed = self.confirmed.get();
            confirmed.confirm(moment);
            self.confirmed.set(confirmed);
        }
    }

    /// Whether the configuration must be confirmed again.
    pub(crate) fn needs_config(&self, now: Instant) -> bool {
        let is_old = |age: Duration| age >= self.settings.renewal_age();
        self.confirmed.get().age(now).is_none_or(is_old)
    }

    /// Applies another node's attestation that its configuration is the newest.
    pub(crate) fn apply_attestation(&self, attestation: &ConfigAttestation) {
        let Some(own) = self.config.borrow().as_ref().map(|view| view.config.version) else {
            return;
        };
        let mut confirmed = self.confirmed.get();
        confirmed.apply_attestation(own, attestation);
        self.confirmed.set(confirmed);
    }
}
