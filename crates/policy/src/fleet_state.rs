//! Groups as reported by the servers of a service.

use std::collections::BTreeMap;

use comfreyturn_types::{
    EngineSpec, FleetGroupRecord, FleetServer, GroupId, GroupMembership, MemberPhase, ModelName,
    PooledModel, ServerLife, ServiceName,
};

use crate::FleetView;

/// Names a group after its model, so that a server's entry shows which model the group runs.
pub fn group_name(model: &ModelName, epoch: u64) -> GroupId {
    GroupId::from(format!("{model}.{epoch}"))
}

/// The model that a group runs, by its name.
pub fn group_model<'a>(engine: &'a EngineSpec, group: &GroupId) -> Option<&'a PooledModel> {
    let (name, _) = group.as_str().rsplit_once('.')?;
    engine.models.iter().find(|model| model.name.as_str() == name)
}

/// The servers that report the same group and epoch.
#[derive(Clone, Debug)]
pub struct ReportedGroup<'a> {
    /// The group.
    pub group: GroupId,

    /// The epoch of its members.
    pub epoch: u64,

    /// Its model.
    pub model: &'a PooledModel,

    /// Members by rank; `None` for a rank that no server reports.
    /// Invariant: the length is the group size of the model.
    pub members: Vec<Option<&'a FleetServer>>,
}

impl<'a> ReportedGroup<'a> {
    /// The server that takes the group's requests.
    pub fn head(&self) -> Option<&'a FleetServer> {
        *self.members.first()?
    }

    /// Whether every member is reported and ready.
    pub fn is_whole(&self) -> bool {
        let is_ready = |member: &&FleetServer| {
            matches!(member_phase(member), Some(MemberPhase::Ready | MemberPhase::Open))
        };
        self.members.iter().all(|member| member.as_ref().is_some_and(is_ready))
    }

    /// Whether a member that reports the group is in an evacuated failure domain.
    pub(crate) fn is_evacuated(&self, view: &FleetView<'_>) -> bool {
        self.members.iter().flatten().any(|server| view.is_evacuated(server))
    }

    /// Whether a member that reports the group may be elsewhere by now.
    pub(crate) fn is_awaited(&self, view: &FleetView<'_>) -> bool {
        self.members.iter().flatten().any(|server| view.is_awaited(&server.life))
    }

    /// Whether the head takes requests.
    pub fn is_open(&self) -> bool {
        let head = self.head().filter(|head| !head.leaving);
        head.and_then(member_phase) == Some(MemberPhase::Open)
    }
}

/// The phase of a server in its group.
pub fn member_phase(server: &FleetServer) -> Option<MemberPhase> {
    server.membership.as_ref().map(|membership| membership.phase)
}

/// Assembles the groups that the servers of a service report.
pub fn reported_groups<'a>(
    servers: impl Iterator<Item = &'a FleetServer>,
    service: &ServiceName,
    engine: &'a EngineSpec,
) -> Vec<ReportedGroup<'a>> {
    let mut groups: BTreeMap<(u64, GroupId), ReportedGroup<'a>> = BTreeMap::new();
    for server in servers.filter(|server| server.service == *service) {
        let Some(membership) = &server.membership else { continue };
        let Some(model) = group_model(engine, &membership.group) else { continue };
        let group = groups
            .entry((membership.epoch, membership.group.clone()))
            .or_insert_with(|| empty_group(membership, model));
        let rank = usize::try_from(membership.rank).ok();
        if let Some(member) = rank.and_then(|rank| group.members.get_mut(rank)) {
            *member = Some(server);
        }
    }
    groups.into_values().collect()
}

fn empty_group<'a>(membership: &GroupMembership, model: &'a PooledModel) -> ReportedGroup<'a> {
    ReportedGroup {
        group: membership.group.clone(),
        epoch: membership.epoch,
        model,
        members: vec![None; model.group_size as usize],
    }
}

/// The newest group of each server that rows of groups name, with its rank there. Rows of dissolved
/// groups may be left, so an older row says nothing of a server that a newer one names.
pub fn newest_places(
    records: &[FleetGroupRecord],
) -> BTreeMap<&ServerLife, (&FleetGroupRecord, usize)> {
    let mut places: BTreeMap<&ServerLife, (&FleetGroupRecord, usize)> = BTreeMap::new();
    for record in records {
        for (rank, member) in record.members.iter().enumerate() {
            let place = places.entry(&member.life).or_insert((record, rank));
            if place.0.epoch < record.epoch {
                *place = (record, rank);
            }
        }
    }
    places
}
