//! A baseline router: the group with the least reported load.

use std::time::{Duration, Instant};

use comfreyturn_types::GroupId;

use crate::{GroupRouter, RouteEnd, RouteQuery, WholeGroup};

/// Chooses the group with the least reported load. A baseline to measure [`crate::LoadRouter`]
/// against.
#[derive(Debug, Default)]
pub struct ReportedLoadRouter;

impl GroupRouter for ReportedLoadRouter {
    fn choose(&mut self, _: Instant, _: &RouteQuery, groups: &[WholeGroup]) -> Option<GroupId> {
        let least = groups.iter().min_by_key(|group| group.load.running + group.load.queued)?;
        Some(least.assignment.group.clone())
    }

    fn started(&mut self, _: Instant, _: &GroupId, _: &RouteQuery) {}

    fn first_token(&mut self, _: Instant, _: &GroupId, _: Duration) {}

    fn ended(&mut self, _: Instant, _: &GroupId, _: RouteEnd) {}
}
