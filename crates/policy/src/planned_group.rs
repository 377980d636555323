//! A group that the fleet planner ordered or found, and its health.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use comfreyturn_ports::FleetAction;
use comfreyturn_types::{
    EngineSpec, FleetGroupRecord, FleetServer, GroupId, MemberPhase, ModelName, ServerLife, VmId,
};

use crate::{FleetPlannerSettings, FleetView};

/// A load is considered lost after this multiple of the model's load time.
const LOAD_TIMEOUT_FACTOR: u32 = 5;

/// A [`FleetView`] with its servers indexed by VM.
pub(crate) struct FleetIndex<'a> {
    pub(crate) view: &'a FleetView<'a>,
    servers: HashMap<&'a VmId, &'a FleetServer>,
}

impl<'a> FleetIndex<'a> {
    pub(crate) fn new(view: &'a FleetView<'a>) -> Self {
        let servers = view.servers.iter().map(|server| (&server.life.vm, *server));
        Self { view, servers: servers.collect() }
    }

    /// One life of a server, listed or recently dropped from the list.
    pub(crate) fn find(&self, life: &ServerLife) -> Option<&'a FleetServer> {
        self.servers.get(&life.vm).copied().filter(|server| server.life == *life)
    }

    pub(crate) fn is_listed(&self, life: &ServerLife) -> bool {
        self.find(life).is_some() && !self.view.unlisted.contains(life)
    }

    /// Whether a later life of the server's VM is listed, so that this one has ended.
    pub(crate) fn has_successor(&self, life: &ServerLife) -> bool {
        let current = self.servers.get(&life.vm);
        current.is_some_and(|server| server.life.born > life.born && self.is_listed(&server.life))
    }

    /// Whether the server is known and responds.
    pub(crate) fn is_reachable(&self, life: &ServerLife) -> bool {
        self.find(life).is_some() && !self.view.lost.contains(life)
    }
}

/// A group that was ordered, or found in rows or reports.
#[derive(Clone, Debug)]
pub(crate) struct PlannedGroup {
    pub(crate) record: FleetGroupRecord,

    /// When it was ordered or found.
    pub(crate) since: Instant,

    /// Whether this planner formed it, so that it knows all orders to its members.
    pub(crate) is_own: bool,

    /// Whether its row is stored.
    pub(crate) is_saved: bool,

    /// Whether every member has been ready at some time.
    pub(crate) was_ready: bool,

    /// Whether it is being dissolved: its members become free once its head is known to have
    /// stopped serving.
    pub(crate) dissolving: bool,

    /// Since when it is being dissolved.
    /// Invariant: set exactly while `dissolving` is, once the group was planned.
    pub(crate) dissolving_since: Option<Instant>,

    /// Since when members have been silent, if that is all that tells that the group failed. It is
    /// dissolved meanwhile, and kept if they answer again.
    pub(crate) silent_since: Option<Instant>,

    /// Whether the planner saw its head in it.
    pub(crate) head_was_seen: bool,

    /// Whether its head may have been ordered to open, by this planner or an earlier one.
    pub(crate) may_be_open: bool,

    /// Whether it is being closed so that its servers can serve another model.
    pub(crate) yielding: bool,
}

/// State of a group, as the planner sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GroupHealth {
    /// Whole, and the head serves.
    Serving,

    /// Whole, and the head is ready to open.
    Ready,

    /// Members are still joining.
    Forming,

    /// The head serves, but a member announced that it is leaving, or the head is closing.
    Shrinking,

    /// It can't serve any more.
    Failed,
}

impl PlannedGroup {
    pub(crate) fn new(record: FleetGroupRecord, since: Instant, is_saved: bool) -> Self {
        Self {
            record,
            since,
            is_own: false,
            is_saved,
            was_ready: false,
            dissolving: false,
            dissolving_since: None,
            silent_since: None,
            head_was_seen: false,
            may_be_open: true,
            yielding: false,
        }
    }

    /// Its members.
    pub(crate) fn lives(&self) -> impl Iterator<Item = &ServerLife> {
        self.record.members.iter().map(|member| &member.life)
    }

    /// Whether a member is in an evacuated failure domain.
    pub(crate) fn is_evacuated(&self, view: &FleetView<'_>) -> bool {
        let mut members = self.record.members.iter();
        members.any(|member| view.evacuated.contains(&member.failure_domain))
    }

    /// Whether it isn't known yet where a member is.
    pub(crate) fn is_awaited(&self, view: &FleetView<'_>) -> bool {
        self.lives().any(|life| view.is_awaited(life))
    }

    /// Keeps the group as it is during an evacuation. It is not given up for another one any more,
    /// and the times within which its members must act begin anew.
    pub(crate) fn suspend(&mut self, now: Instant) {
        self.since = now;
        self.yielding = false;
    }

    /// Determines the health of the group.
    pub(crate) fn health(
        &self,
        now: Instant,
        index: &FleetIndex<'_>,
        settings: &FleetPlannerSettings,
    ) -> GroupHealth {
        let mut phases = Vec::with_capacity(self.record.members.len());
        let mut leaving = false;
        for (rank, member) in self.record.members.iter().enumerate() {
            let Some(server) = index.find(&member.life) else { return GroupHealth::Failed };
            let is_unlisted_head = rank == 0 && !index.is_listed(&member.life);
            if is_unlisted_head || !index.is_reachable(&member.life) {
                return GroupHealth::Failed;
            }
            leaving |= server.leaving;
            phases.push(phase_in_group(server, &self.record.group, self.record.epoch));
        }
        if leaving {
            let serves = matches!(phases[0], Some(MemberPhase::Open | MemberPhase::Closing));
            return if serves { GroupHealth::Shrinking } else { GroupHealth::Failed };
        }
        let age = now.saturating_duration_since(self.since);
        self.settled_health(index.view.engine, settings, &phases, age)
    }

    /// The health of a group whose members are all reachable and not leaving.
    fn settled_health(
        &self,
        engine: &EngineSpec,
        settings: &FleetPlannerSettings,
        phases: &[Option<MemberPhase>],
        age: Duration,
    ) -> GroupHealth {
        if phases.iter().any(Option::is_none) {
            let is_recent = !self.was_ready && age < settings.form_timeout;
            return if is_recent { GroupHealth::Forming } else { GroupHealth::Failed };
        }
        if phases.contains(&Some(MemberPhase::Joining)) {
            let late = age > load_timeout(engine, &self.record.model);
            return if late { GroupHealth::Failed } else { GroupHealth::Forming };
        }
        match phases[0] {
            Some(MemberPhase::Open) => GroupHealth::Serving,
            Some(MemberPhase::Ready) => GroupHealth::Ready,
            Some(MemberPhase::Closing) => GroupHealth::Shrinking,
            _ => GroupHealth::Failed,
        }
    }

    /// Whether all members are listed in it, but some don't answer. They may be silent for a moment
    /// only.
    fn is_silent(&self, index: &FleetIndex<'_>) -> bool {
        let is_in = |life: &ServerLife| {
            let server = index.find(life).filter(|_| index.is_listed(life));
            server.is_some_and(|server| {
                phase_in_group(server, &self.record.group, self.record.epoch).is_some()
            })
        };
        self.lives().all(is_in) && !self.responds(index)
    }

    /// Whether all members respond.
    fn responds(&self, index: &FleetIndex<'_>) -> bool {
        self.lives().all(|life| index.is_reachable(life))
    }

    /// Dissolves the group if it failed, and keeps it if members were silent for a while only.
    pub(crate) fn update_dissolving(
        &mut self,
        now: Instant,
        index: &FleetIndex<'_>,
        health: GroupHealth,
        settings: &FleetPlannerSettings,
    ) {
        let silent_since = self.silent_since.take();
        if self.is_silent(index) {
            let since = silent_since.or((!self.dissolving).then_some(now));
            let is_awaited =
                |since: &Instant| now.saturating_duration_since(*since) < settings.silence_timeout;
            self.silent_since = since.filter(is_awaited);
        } else if silent_since.is_some() {
            self.dissolving = false;
        }
        self.dissolving |=
            health == GroupHealth::Failed || (self.yielding && health == GroupHealth::Ready);
        let since = self.dissolving_since.unwrap_or(now);
        self.dissolving_since = self.dissolving.then_some(since);
    }

    /// Whether the head of a group that is being dissolved may still run requests that would be cut
    /// off if it left now.
    pub(crate) fn may_run(
        &self,
        now: Instant,
        index: &FleetIndex<'_>,
        settings: &FleetPlannerSettings,
    ) -> bool {
        let is_in = self.head_phase(index).is_some();
        is_in
            && index.view.busy.contains(&self.record.head().life)
            && !self.is_overdue(now, index, settings)
    }

    /// The order by which a head that serves ends its work. Leaving cuts off what runs there, so the
    /// head first closes, and leaves once nothing runs. A silent head would carry out an order when it
    /// goes on, so it gets none until it counts as gone.
    pub(crate) fn ending_order(
        &self,
        now: Instant,
        index: &FleetIndex<'_>,
        settings: &FleetPlannerSettings,
    ) -> Option<FleetAction> {
        let FleetGroupRecord { group, epoch, .. } = &self.record;
        let (group, epoch) = (group.clone(), *epoch);
        let head = &self.record.head().life;
        let is_overdue = self.is_overdue(now, index, settings);
        if !is_overdue && !index.is_reachable(head) {
            return None;
        }
        if !self.may_run(now, index, settings) {
            return Some(FleetAction::Leave { group, epoch });
        }
        let is_open = self.head_phase(index) == Some(MemberPhase::Open);
        is_open.then_some(FleetAction::Close { group, epoch })
    }

    /// Whether the group has been dissolved for so long that its head must leave, whatever runs there.
    fn is_overdue(
        &self,
        now: Instant,
        index: &FleetIndex<'_>,
        settings: &FleetPlannerSettings,
    ) -> bool {
        let limit =
            if self.responds(index) { settings.drain_timeout } else { settings.silence_timeout };
        self.dissolving_since.is_some_and(|since| now.saturating_duration_since(since) >= limit)
    }

    /// The phase of its head, as listed or as last listed.
    pub(crate) fn head_phase(&self, index: &FleetIndex<'_>) -> Option<MemberPhase> {
        let head = index.find(&self.record.head().life)?;
        phase_in_group(head, &self.record.group, self.record.epoch)
    }

    /// Whether its head can't be in it any more: it reports a newer group, its VM runs a later life
    /// of the server, the group is broken, or the head was in it and now reports that it isn't.
    pub(crate) fn is_head_out(&self, index: &FleetIndex<'_>) -> bool {
        let head = &self.record.head().life;
        if index.has_successor(head) {
            return true;
        }
        let Some(server) = index.find(head).filter(|_| index.is_listed(head)) else { return false };
        let newer = server.membership.as_ref();
        if newer.is_some_and(|newer| newer.epoch > self.record.epoch) {
            return true;
        }
        match self.head_phase(index) {
            Some(phase) => phase == MemberPhase::Broken,
            None => self.head_was_seen && !index.view.stale.is_stale(head),
        }
    }

    /// Members that don't report this group and epoch.
    pub(crate) fn missing_members(&self, index: &FleetIndex<'_>) -> Vec<&ServerLife> {
        let lives = self.record.members.iter().map(|member| &member.life);
        let missing = lives.filter(|life| {
            let server = index.find(life);
            let reported =
                server.map(|server| phase_in_group(server, &self.record.group, self.record.epoch));
            reported.flatten().is_none()
        });
        missing.collect()
    }
}

/// The phase of a server in exactly this group and epoch.
pub(crate) fn phase_in_group(
    server: &FleetServer,
    group: &GroupId,
    epoch: u64,
) -> Option<MemberPhase> {
    let membership = server.membership.as_ref()?;
    let same = membership.group == *group && membership.epoch == epoch;
    same.then_some(membership.phase)
}

/// How long a load of a model's weights may take.
pub(crate) fn load_timeout(engine: &EngineSpec, model: &ModelName) -> Duration {
    let pooled = engine.models.iter().find(|pooled| pooled.name == *model);
    pooled.map_or(Duration::ZERO, |model| model.load_time * LOAD_TIMEOUT_FACTOR)
}
