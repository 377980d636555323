//! Groups that servers have left.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use comfreyturn_types::{GroupId, ServerLife};

use crate::planned_group::FleetIndex;

/// An entry that still shows the group so long after the server left it is newer than that.
const LIST_LAG: Duration = Duration::from_secs(2);

/// A server's answer to an order to leave.
#[derive(Clone, Copy, Debug)]
struct LeftGroup {
    at: Instant,

    /// Whether the list showed the server out of the group since.
    was_seen_out: bool,
}

/// Groups that servers confirmed to have left.
///
/// An answer proves where the server was when it carried the order out, and no more: an earlier order
/// that is carried out late may put it back. What the server tells later goes before the answer.
#[derive(Debug, Default)]
pub(crate) struct LeftGroups {
    left: HashMap<(ServerLife, GroupId), LeftGroup>,
}

impl LeftGroups {
    pub(crate) fn record(&mut self, now: Instant, life: &ServerLife, group: &GroupId) {
        let left = LeftGroup { at: now, was_seen_out: false };
        self.left.insert((life.clone(), group.clone()), left);
    }

    /// Whether a server is out of a group, though the list may still show it there.
    pub(crate) fn contains(&self, life: &ServerLife, group: &GroupId) -> bool {
        self.left.contains_key(&(life.clone(), group.clone()))
    }

    /// Forgets what the list contradicts by now, and servers that are unknown.
    pub(crate) fn update(&mut self, now: Instant, index: &FleetIndex<'_>) {
        self.left.retain(|(life, group), left| {
            let Some(server) = index.find(life) else { return false };
            let place = server.membership.as_ref();
            let is_in = place.is_some_and(|place| place.group == *group);
            left.was_seen_out |= !is_in;
            let is_late = now.saturating_duration_since(left.at) >= LIST_LAG;
            let is_newer = index.is_listed(life) && (left.was_seen_out || is_late);
            !(is_in && is_newer)
        });
    }
}
