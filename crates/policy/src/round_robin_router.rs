//! A baseline router: round robin.

use std::time::{Duration, Instant};

use comfreyturn_types::GroupId;

use crate::{GroupRouter, RouteEnd, RouteQuery, WholeGroup};

/// Chooses each group in turn. A baseline to measure [`crate::LoadRouter`] against.
#[derive(Debug)]
pub struct RoundRobinRouter {
    next: usize,
}

impl RoundRobinRouter {
    /// Creates a router that starts with the group at position `first`.
    pub fn new(first: usize) -> Self {
        Self { next: first }
    }
}

impl GroupRouter for RoundRobinRouter {
    fn choose(&mut self, _: Instant, _: &RouteQuery, groups: &[WholeGroup]) -> Option<GroupId> {
        if groups.is_empty() {
            return None;
        }
        let index = self.next % groups.len();
        self.next = index + 1;
        Some(groups[index].assignment.group.clone())
    }

    fn started(&mut self, _: Instant, _: &GroupId, _: &RouteQuery) {}

    fn first_token(&mut self, _: Instant, _: &GroupId, _: Duration) {}

    fn ended(&mut self, _: Instant, _: &GroupId, _: RouteEnd) {}
}
