//! Orders without an answer, which servers may still carry out.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use comfreyturn_ports::FleetAction;
use comfreyturn_types::{GroupId, ServerLife};

use crate::FleetOrder;

/// Orders by which a head comes to serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum OrderKind {
    Join,
    Open,
}

/// Orders of one kind to a server in a group, sent once or more often.
#[derive(Clone, Copy, Debug)]
struct OrderCount {
    sent: u32,
    answered: u32,
    last_sent_at: Instant,
}

/// Orders to join and to open groups that may still be carried out.
///
/// An order whose answer was lost may be carried out seconds later, even after the server has
/// answered the same order, sent again, and a later one to leave: its group and epoch are still the
/// newest that the server knows. So it may be in the group again, and open.
#[derive(Debug, Default)]
pub(crate) struct LateOrders {
    orders: HashMap<(ServerLife, GroupId, OrderKind), OrderCount>,
}

impl LateOrders {
    pub(crate) fn record_sent(&mut self, now: Instant, order: &FleetOrder) {
        let Some(key) = key(order) else { return };
        let first = OrderCount { sent: 0, answered: 0, last_sent_at: now };
        let count = self.orders.entry(key).or_insert(first);
        count.sent += 1;
        count.last_sent_at = now;
    }

    /// Records an answer to an order, whatever it is.
    pub(crate) fn record_answered(&mut self, order: &FleetOrder) {
        if let Some(count) = key(order).and_then(|key| self.orders.get_mut(&key)) {
            count.answered += 1;
        }
    }

    /// Forgets orders that were sent longer ago than they can be carried out.
    pub(crate) fn forget(&mut self, now: Instant, late_time: Duration) {
        self.orders
            .retain(|_, count| now.saturating_duration_since(count.last_sent_at) < late_time);
    }

    /// Whether the server may still join the group by an order that it didn't answer.
    pub(crate) fn may_join(&self, life: &ServerLife, group: &GroupId) -> bool {
        self.is_unanswered(life, group, OrderKind::Join)
    }

    /// Whether the server may still join the group and open it by orders that it didn't answer.
    pub(crate) fn may_open(&self, life: &ServerLife, group: &GroupId) -> bool {
        self.may_join(life, group) && self.is_unanswered(life, group, OrderKind::Open)
    }

    fn is_unanswered(&self, life: &ServerLife, group: &GroupId, kind: OrderKind) -> bool {
        let count = self.orders.get(&(life.clone(), group.clone(), kind));
        count.is_some_and(|count| count.sent > count.answered)
    }
}

fn key(order: &FleetOrder) -> Option<(ServerLife, GroupId, OrderKind)> {
    let (group, kind) = match &order.action {
        FleetAction::Join { group, .. } => (group, OrderKind::Join),
        FleetAction::Open { group, .. } => (group, OrderKind::Open),
        FleetAction::Close { .. } | FleetAction::Leave { .. } | FleetAction::Stage { .. } => {
            return None;
        }
    };
    Some((order.life.clone(), group.clone(), kind))
}
