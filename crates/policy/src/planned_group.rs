//! A group that was ordered, and how it does.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use comfreyturn_types::{
    EngineSpec, FleetGroupRecord, FleetServer, GroupId, MemberPhase, ModelName, ServerLife, VmId,
};

use crate::{FleetPlannerSettings, FleetView};

/// Times the load time after which a load that shows no effect is taken as lost.
const LOAD_PATIENCE: u32 = 5;

/// A view with its servers by name.
pub(crate) struct PlanScene<'a> {
    pub(crate) view: &'a FleetView<'a>,
    servers: HashMap<&'a VmId, &'a FleetServer>,
}

impl<'a> PlanScene<'a> {
    pub(crate) fn new(view: &'a FleetView<'a>) -> Self {
        let servers = view.servers.iter().map(|server| (&server.life.vm, *server));
        Self { view, servers: servers.collect() }
    }

    /// One life of a server, listed or dropped a short time ago.
    pub(crate) fn find(&self, life: &ServerLife) -> Option<&'a FleetServer> {
        self.servers.get(&life.vm).copied().filter(|server| server.life == *life)
    }

    pub(crate) fn is_listed(&self, life: &ServerLife) -> bool {
        self.find(life).is_some() && !self.view.unlisted.contains(life)
    }

    /// Whether the server is known and answers.
    pub(crate) fn is_reachable(&self, life: &ServerLife) -> bool {
        self.find(life).is_some() && !self.view.lost.contains(life)
    }
}

/// A group that was ordered, or found.
#[derive(Clone, Debug)]
pub(crate) struct PlannedGroup {
    pub(crate) record: FleetGroupRecord,

    /// When it was ordered or found.
    pub(crate) since: Instant,

    /// Its row stands.
    pub(crate) is_saved: bool,

    /// Every member was ready at some time.
    pub(crate) was_ready: bool,

    /// Given up: its members go back once its head surely serves no more.
    pub(crate) dissolving: bool,

    /// The head said that it is not in the group any more.
    pub(crate) head_left: bool,
}

/// What the planner thinks of a group now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GroupHealth {
    /// Whole, the head serves.
    Serving,

    /// Whole, the head is ready to open.
    Ready,

    /// Members are on their way.
    Forming,

    /// Whole but for members that announced to leave.
    Shrinking,

    /// It will not serve any more.
    Failed,
}

impl PlannedGroup {
    pub(crate) fn new(record: FleetGroupRecord, since: Instant, is_saved: bool) -> Self {
        Self { record, since, is_saved, was_ready: false, dissolving: false, head_left: false }
    }

    /// How the group does.
    pub(crate) fn health(
        &self,
        now: Instant,
        scene: &PlanScene<'_>,
        settings: &FleetPlannerSettings,
    ) -> GroupHealth {
        let mut phases = Vec::with_capacity(self.record.members.len());
        let mut leaving = false;
        for (rank, member) in self.record.members.iter().enumerate() {
            let Some(server) = scene.find(&member.life) else { return GroupHealth::Failed };
            let is_gone_head = rank == 0 && !scene.is_listed(&member.life);
            if is_gone_head || !scene.is_reachable(&member.life) {
                return GroupHealth::Failed;
            }
            leaving |= server.leaving;
            phases.push(place_phase(server, &self.record.group, self.record.epoch));
        }
        if leaving {
            let serves = matches!(phases[0], Some(MemberPhase::Open | MemberPhase::Closing));
            return if serves { GroupHealth::Shrinking } else { GroupHealth::Failed };
        }
        let age = now.saturating_duration_since(self.since);
        self.settled_health(scene.view.engine, settings, &phases, age)
    }

    /// The health of a group whose members are all there and mean to stay.
    fn settled_health(
        &self,
        engine: &EngineSpec,
        settings: &FleetPlannerSettings,
        phases: &[Option<MemberPhase>],
        age: Duration,
    ) -> GroupHealth {
        if phases.iter().any(Option::is_none) {
            let young = !self.was_ready && age < settings.form_timeout;
            return if young { GroupHealth::Forming } else { GroupHealth::Failed };
        }
        if phases.contains(&Some(MemberPhase::Joining)) {
            let late = age > load_limit(engine, &self.record.model);
            return if late { GroupHealth::Failed } else { GroupHealth::Forming };
        }
        match phases[0] {
            Some(MemberPhase::Open) => GroupHealth::Serving,
            Some(MemberPhase::Ready) => GroupHealth::Ready,
            Some(MemberPhase::Closing) => GroupHealth::Shrinking,
            _ => GroupHealth::Failed,
        }
    }

    /// Members that do not tell the group.
    pub(crate) fn untold_members(&self, scene: &PlanScene<'_>) -> Vec<&ServerLife> {
        let lives = self.record.members.iter().map(|member| &member.life);
        let untold = lives.filter(|life| {
            let server = scene.find(life);
            let told =
                server.map(|server| place_phase(server, &self.record.group, self.record.epoch));
            told.flatten().is_none()
        });
        untold.collect()
    }
}

/// The phase of a server in exactly this group and epoch.
pub(crate) fn place_phase(
    server: &FleetServer,
    group: &GroupId,
    epoch: u64,
) -> Option<MemberPhase> {
    let membership = server.membership.as_ref()?;
    let same = membership.group == *group && membership.epoch == epoch;
    same.then_some(membership.phase)
}

/// How long weights may take to load.
pub(crate) fn load_limit(engine: &EngineSpec, model: &ModelName) -> Duration {
    let pooled = engine.models.iter().find(|pooled| pooled.name == *model);
    pooled.map_or(Duration::ZERO, |model| model.load_time * LOAD_PATIENCE)
}
