//! The configuration held by this node and the checks on its age.

use std::{
    collections::HashSet,
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_policy::{ConfigAttestation, KeyTable, RouteTable};
use comfreyturn_types::{CustomerName, GatewayConfig};

use crate::{
    gateway_metrics::{LABELLED_CUSTOMERS, OTHER_LABEL},
    gateway_state::GatewayState,
};

/// A node whose poll of the configuration takes this much longer than the poll may wait no longer
/// counts as one that reads it.
const CONFIG_ANSWER_TIME: Duration = Duration::from_millis(400);

/// A configuration and the lookup tables built from it.
#[derive(Debug)]
pub(crate) struct ConfigView {
    pub(crate) config: Rc<GatewayConfig>,
    pub(crate) routes: RouteTable,
    pub(crate) keys: Option<KeyTable>,

    /// Customers that have a metric label of their own.
    labelled: HashSet<CustomerName>,
}

impl ConfigView {
    pub(crate) fn new(config: Rc<GatewayConfig>) -> Self {
        let routes = RouteTable::new(&config.routes);
        let keys = config.customers.as_deref().map(KeyTable::new);
        let customers = config.customers.iter().flatten().take(LABELLED_CUSTOMERS);
        let labelled = customers.map(|customer| customer.name.clone()).collect();
        Self { config, routes, keys, labelled }
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

impl GatewayState {
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
