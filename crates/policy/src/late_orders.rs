//! Orders without an answer, which servers may still carry out.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use comfreyturn_ports::FleetAction;
use comfreyturn_types::{GroupId, ServerLife};

use crate::{FleetOrder, fleet_standby::is_standby_group, planned_group::FleetIndex};

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

    /// Whether the server is the head of the group.
    is_head: bool,
}

/// What a planner knows of the orders of earlier ones.
#[derive(Clone, Copy, Debug)]
pub struct EarlierOrders {
    /// When it took over.
    pub until: Instant,

    /// When one of them last ordered a head to join a group without an answer. Others may not have
    /// told it of their very last orders.
    pub unanswered_join: Option<Instant>,
}

/// Orders that a planner sent so shortly before the next one took over may not be told to that one.
/// Longer than a planner that ends can go unnoticed.
const UNTOLD_TIME: Duration = Duration::from_secs(5);

/// A missing answer may still come within this time.
const ANSWER_TIME: Duration = Duration::from_secs(1);

impl EarlierOrders {
    /// Whether orders to a head that was first seen in its group at `seen_at` may still be carried out.
    pub(crate) fn may_come(&self, now: Instant, seen_at: Instant, late_time: Duration) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < late_time;
        let may_be_untold = seen_at + UNTOLD_TIME > self.until;
        is_recent(seen_at) && (may_be_untold || self.unanswered_join.is_some_and(is_recent))
    }
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
        let first = OrderCount { sent: 0, answered: 0, last_sent_at: now, is_head: is_head(order) };
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

    /// Forgets orders that were sent longer ago than they can be carried out, and those to unknown
    /// servers.
    pub(crate) fn forget(&mut self, now: Instant, late_time: Duration, index: &FleetIndex<'_>) {
        self.orders.retain(|(life, ..), count| {
            let is_recent = now.saturating_duration_since(count.last_sent_at) < late_time;
            is_recent && index.find(life).is_some()
        });
    }

    /// When a head was last ordered to join a group without an answer.
    pub(crate) fn unanswered_join(&self, now: Instant) -> Option<Instant> {
        let joins = self.orders.iter().filter(|((_, group, kind), count)| {
            let is_join = *kind == OrderKind::Join && !is_standby_group(group);
            let is_late = now.saturating_duration_since(count.last_sent_at) >= ANSWER_TIME;
            is_join && count.is_head && count.sent > count.answered && is_late
        });
        joins.map(|(_, count)| count.last_sent_at).max()
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

fn is_head(order: &FleetOrder) -> bool {
    match &order.action {
        FleetAction::Join { members, .. } => members.first() == Some(&order.life.vm),
        _ => true,
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
