//! The retry budgets of all services, and what is logged of them.

use std::{
    cell::RefCell,
    collections::HashMap,
    num::NonZeroUsize,
    time::{Duration, Instant},
};

use comfreyturn_policy::{FleetRetryBudget, FleetRetrySettings, RetryBudget};
use comfreyturn_types::ServiceName;

use crate::{
    GatewaySettings,
    gateway_metrics::{count_retry, set_retry_slack},
    node_snapshot::whole_ms,
};

/// The retry budgets of all services.
#[derive(Debug)]
pub(crate) struct RetryBudgets {
    settings: FleetRetrySettings,
    services: RefCell<HashMap<ServiceName, ServiceBudget>>,
}

/// What a node knows that its budgets depend on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BudgetBasis {
    /// Number of nodes that divide the slack among themselves, this one included. Those that are
    /// not heard any more count for a while: they may be cut off, and send. `None` while the node
    /// may not know all of them.
    pub(crate) nodes: Option<NonZeroUsize>,

    /// When this process started.
    pub(crate) started_at: Instant,

    /// Whether no process of this node can have used the budget before.
    pub(crate) is_first_start: bool,
}

impl BudgetBasis {
    /// From when on this process uses its part of the slack.
    fn slack_from(&self, window: Duration) -> Instant {
        if self.is_first_start { self.started_at } else { self.started_at + window }
    }
}

/// The budget of one service.
#[derive(Debug)]
struct ServiceBudget {
    budget: FleetRetryBudget,
    tally: BudgetTally,
}

/// What happened since the last log line.
#[derive(Clone, Copy, Debug, Default)]
struct BudgetTally {
    requests: u32,
    taken: u32,
    refused: u32,
}

impl RetryBudgets {
    pub(crate) fn new(settings: &GatewaySettings) -> Self {
        let settings = FleetRetrySettings {
            share: settings.retry_share,
            slack: settings.retry_slack,
            window: settings.retry_window,
        };
        Self { settings, services: RefCell::default() }
    }

    /// Counts a request of a service.
    pub(crate) fn record_request(&self, now: Instant, service: &ServiceName, basis: BudgetBasis) {
        self.with_service(service, basis, |service| {
            service.tally.requests += 1;
            service.budget.record_request(now);
        });
    }

    /// Whether a request of a service may be retried; if so, takes a retry from the budget.
    pub(crate) fn try_retry(&self, now: Instant, name: &ServiceName, basis: BudgetBasis) -> bool {
        let is_allowed = self.with_service(name, basis, |service| {
            let is_allowed = service.budget.try_retry(now);
            let tally = &mut service.tally;
            *(if is_allowed { &mut tally.taken } else { &mut tally.refused }) += 1;
            is_allowed
        });
        count_retry(name, is_allowed);
        is_allowed
    }

    fn with_service<T>(
        &self,
        name: &ServiceName,
        basis: BudgetBasis,
        change: impl FnOnce(&mut ServiceBudget) -> T,
    ) -> T {
        let mut services = self.services.borrow_mut();
        let service = services.entry(name.clone()).or_insert_with(|| ServiceBudget {
            budget: FleetRetryBudget::new(
                self.settings.clone(),
                basis.slack_from(self.settings.window),
            ),
            tally: BudgetTally::default(),
        });
        service.budget.set_nodes(basis.nodes);
        change(service)
    }

    /// Logs the use of each budget from which retries were asked since the last call.
    pub(crate) fn report(&self, now: Instant, basis: BudgetBasis) {
        for (name, service) in &mut *self.services.borrow_mut() {
            let BudgetTally { requests, taken, refused } = std::mem::take(&mut service.tally);
            let slack = service.budget.slack(now);
            set_retry_slack(slack);
            if taken + refused == 0 {
                continue;
            }
            log::info!(
                service:% = name,
                requests = requests,
                taken = taken,
                refused = refused,
                slack = slack,
                nodes = basis.nodes.map(NonZeroUsize::get),
                uptime_ms = whole_ms(now.saturating_duration_since(basis.started_at));
                "budget: retries asked for."
            );
        }
    }
}
