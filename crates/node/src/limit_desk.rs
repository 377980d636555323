//! The share of each customer's limits that this node holds.

use std::time::Instant;

use comfreyturn_policy::{ConfigState, CustomerShare};
use comfreyturn_types::{CustomerIntent, NodeId};

/// Splits customers' limits over the nodes of the roster.
pub struct LimitDesk {
    node: NodeId,
}

impl LimitDesk {
    /// A desk of this node.
    pub fn new(node: NodeId) -> Self {
        Self { node }
    }

    /// The share of a customer.
    pub fn share(
        &mut self,
        _now: Instant,
        config: &ConfigState,
        customer: &CustomerIntent,
    ) -> CustomerShare {
        let members = &config.roster.current.members;
        let holds = members.contains_key(&self.node);
        let parts = f64::from(u32::try_from(members.len().max(1)).unwrap_or(u32::MAX));
        let part = |limit: u32| if holds { f64::from(limit) / parts } else { 0.0 };
        CustomerShare {
            requests_per_second: part(customer.requests_per_second),
            tokens_per_second: part(customer.tokens_per_second),
        }
    }
}
