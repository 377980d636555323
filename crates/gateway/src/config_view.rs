//! The configuration that a node holds, and whether it may be used.

use std::{
    collections::HashSet,
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_policy::{ConfigVouch, KeyTable, RouteTable};
use comfreyturn_types::{CustomerName, GatewayConfig};

use crate::{
    gateway_metrics::{LABELLED_CUSTOMERS, OTHER_LABEL},
    gateway_state::GatewayState,
};

/// A proof of the configuration is renewed once it is older than this part of its limit.
const CONFIG_RENEWAL_DIVISOR: u32 = 3;

/// A configuration with its tables.
#[derive(Debug)]
pub(crate) struct ConfigView {
    pub(crate) config: Rc<GatewayConfig>,
    pub(crate) routes: RouteTable,
    pub(crate) keys: Option<KeyTable>,

    /// Customers that metrics tell apart.
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

    /// How metrics name a customer.
    pub(crate) fn customer_label(&self, customer: Option<&CustomerName>) -> String {
        match customer {
            None => String::new(),
            Some(name) if self.labelled.contains(name) => name.to_string(),
            Some(_) => OTHER_LABEL.to_owned(),
        }
    }
}

impl GatewayState {
    /// Whether the configuration is known to be new enough to decide about keys.
    pub(crate) fn config_is_usable(&self, now: Instant) -> bool {
        self.confirmed.get().is_usable(now, self.settings.config_limit)
    }

    /// Takes in that another node holds a version of the configuration.
    pub(crate) fn record_peer_config(&self, version: u64) {
        self.peer_config_version.set(self.peer_config_version.get().max(version));
    }

    /// Whether another node holds a newer configuration, or this one's proof grows old.
    pub(crate) fn needs_config(&self, now: Instant) -> bool {
        let own = self.config.borrow().as_ref().map(|view| view.config.version);
        let is_old = |age: Duration| age >= self.settings.config_limit / CONFIG_RENEWAL_DIVISOR;
        own.is_none_or(|own| own < self.peer_config_version.get())
            || self.confirmed.get().age(now).is_none_or(is_old)
    }

    /// Takes in another node's word on the configuration.
    pub(crate) fn apply_attestation(&self, attestation: &ConfigVouch) {
        let Some(own) = self.config.borrow().as_ref().map(|view| view.config.version) else {
            return;
        };
        let mut confirmed = self.confirmed.get();
        confirmed.take_vouch(own, attestation);
        self.confirmed.set(confirmed);
    }
}
