//! Freeing of the members of groups that are dissolved.
//!
//! A server that joins a group while another one that it belongs to may still serve is in two groups.
//! So members are freed by evidence that the old group has stopped, never by silence alone.

use std::time::Instant;

use comfreyturn_ports::FleetAction;
use comfreyturn_types::{FleetGroupRecord, GroupId, MemberPhase, ServerLife};

use crate::{
    FleetPlanner,
    fleet_plan::FleetPlan,
    fleet_state::{ReportedGroup, reported_groups},
    late_orders::EarlierOrders,
    planned_group::{FleetIndex, PlannedGroup, phase_in_group},
};

impl FleetPlanner {
    /// Dissolves a group. Its head closes before it leaves, so that what runs there is not cut off.
    /// The members are held until the head is known to have stopped serving: a member that joined
    /// another group before that would be in two groups. If the head is silent, or the list alone
    /// tells that it doesn't serve, each member leaves the group first; a group that a member left
    /// runs nothing.
    pub(crate) fn dissolve(
        &mut self,
        now: Instant,
        index: &FleetIndex<'_>,
        group: &PlannedGroup,
        plan: &mut FleetPlan,
    ) {
        let FleetGroupRecord { group: name, epoch, members, .. } = &group.record;
        let head = &group.record.head().life;
        let phase = group.head_phase(index);
        let serves = matches!(phase, Some(MemberPhase::Open | MemberPhase::Closing));
        let has_left = self.has_left(head, name);
        if serves
            && !has_left
            && let Some(action) = group.ending_order(now, index, &self.settings)
        {
            plan.order(head, action);
        }
        // A listed head that does not answer may be unreachable from this node only.
        let is_listed = index.is_listed(head);
        let is_idle = is_listed && !serves;
        let is_out = has_left || group.is_head_out(index) || (is_idle && !group.may_be_open);
        let is_gone = !is_listed && !index.is_reachable(head) && self.is_head_gone(now, head);
        let may_run = group.may_run(now, index, &self.settings);
        if !is_out && !is_gone && (!is_idle || may_run) {
            plan.hold(group);
            return;
        }
        let may_return = self.may_return(now, index, group);
        if may_return {
            let may_join =
                |life: &&ServerLife| *life == head || self.late_orders.may_join(life, name);
            plan.held.extend(group.lives().filter(may_join).cloned());
        }
        if may_return || !is_out {
            let members = members.iter().map(|member| &member.life);
            self.release_members(index, name, *epoch, members, plan);
        }
    }

    /// Whether orders that the head of a group didn't answer may make it serve in the group again, or
    /// put it there after it has left. Of those of an earlier planner it is known at most that there
    /// were some; they were sent before the head was seen in the group. A head that knows a newer epoch
    /// refuses them.
    pub(crate) fn may_return(
        &self,
        now: Instant,
        index: &FleetIndex<'_>,
        group: &PlannedGroup,
    ) -> bool {
        let FleetGroupRecord { group: name, epoch, .. } = &group.record;
        let head = &group.record.head().life;
        let Some(server) = index.find(head) else { return false };
        if server.membership.as_ref().is_some_and(|place| place.epoch > *epoch) {
            return false;
        }
        if group.is_own {
            return self.late_orders.may_open(head, name);
        }
        let seen_at = index.view.sightings.first_seen(head, name).unwrap_or(group.since);
        let unknown = EarlierOrders { until: group.since, unanswered_join: Some(group.since) };
        let earlier = self.earlier.unwrap_or(unknown);
        earlier.may_come(now, seen_at, self.settings.late_order_time)
    }

    /// Members of groups that this planner doesn't know and whose head isn't listed. The head may
    /// still serve, so they leave before they join another group. Members of an unknown group in an
    /// evacuated domain are held until the evacuation ends, and beside a stale place until its server
    /// has told where it is.
    pub(crate) fn release_orphans(&self, index: &FleetIndex<'_>, plan: &mut FleetPlan) {
        let view = index.view;
        let reported = reported_groups(view.servers.iter().copied(), view.service, view.engine);
        let is_unknown = |group: &&ReportedGroup<'_>| !self.groups.contains_key(&group.group);
        for group in reported.iter().filter(is_unknown) {
            let members = group.members.iter().flatten().map(|member| &member.life);
            if group.is_evacuated(view) || group.is_awaited(view) {
                plan.held.extend(members.cloned());
                continue;
            }
            if group.head().is_some() {
                continue;
            }
            self.release_members(index, &group.group, group.epoch, members, plan);
        }
    }

    /// Orders members to leave a group, and holds those that are in it until they have left.
    fn release_members<'a>(
        &self,
        index: &FleetIndex<'_>,
        name: &GroupId,
        epoch: u64,
        members: impl Iterator<Item = &'a ServerLife>,
        plan: &mut FleetPlan,
    ) {
        for life in members {
            let server = index.find(life);
            let is_in = server.is_some_and(|server| phase_in_group(server, name, epoch).is_some());
            if !is_in || self.has_left(life, name) {
                continue;
            }
            plan.held.insert(life.clone());
            if index.is_listed(life) {
                plan.order(life, FleetAction::Leave { group: name.clone(), epoch });
            }
        }
    }

    fn has_left(&self, life: &ServerLife, group: &GroupId) -> bool {
        self.left.contains(life, group)
    }

    /// Whether a head has been neither listed nor reachable for the configured time.
    fn is_head_gone(&mut self, now: Instant, head: &ServerLife) -> bool {
        let since = *self.unreachable_heads.entry(head.clone()).or_insert(now);
        now.saturating_duration_since(since) >= self.settings.head_loss_timeout
    }
}
