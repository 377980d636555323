//! Giving up groups of one model to form a group of another one in the same fabric domain.
//!
//! Losses strand the members of large groups: a group of eight that loses a member leaves seven
//! servers that are of use only with an eighth one from their domain. If no spare is left there, a
//! small group whose members hold the weights closes, and its servers join the stranded ones.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use comfreyturn_types::{FleetServer, GroupId, ModelName, PooledModel, ServerLife};

use crate::{
    FleetPlanner,
    fleet_match::{GroupShortage, holds_weights},
    fleet_plan::FleetPlan,
    fleet_planner::is_usable,
    planned_group::{FleetIndex, GroupHealth, PlannedGroup},
};

/// A group that is formed of servers of which some still belong to other groups.
///
/// Its servers are kept for it until all of them are free.
#[derive(Clone, Debug)]
pub(crate) struct GroupConversion {
    model: ModelName,

    /// The future members. Invariant: as many as the group size of the model, all of one fabric
    /// domain, and all hold the weights.
    servers: Vec<ServerLife>,

    since: Instant,
}

/// A conversion that could begin now, with the groups that it gives up.
struct ConversionChoice {
    model: ModelName,
    servers: Vec<ServerLife>,
    donors: Vec<GroupId>,

    /// Number of servers in the groups that are given up.
    cost: usize,
}

/// Factor by which the work per group of a model must exceed that of the model that gives up groups,
/// after it did.
const CONVERSION_RATIO: f64 = 1.25;

/// Conversions at a time, as a share of all groups.
const CONVERSION_SHARE: f64 = 1.0 / 16.0;

/// A conversion whose servers aren't all free after this time is dropped.
const CONVERSION_TIMEOUT: Duration = Duration::from_secs(6);

impl FleetPlanner {
    /// Forms the groups whose servers are all free by now, and keeps the servers of the others.
    pub(crate) fn advance_conversions(
        &mut self,
        now: Instant,
        index: &FleetIndex<'_>,
        plan: &mut FleetPlan,
    ) {
        let view = index.view;
        for conversion in std::mem::take(&mut self.conversions) {
            let age = now.saturating_duration_since(conversion.since);
            let lives = conversion.servers.iter();
            let servers = lives.filter_map(|life| index.find(life)).filter(|s| is_usable(view, s));
            let servers: Vec<&FleetServer> = servers.collect();
            if servers.len() < conversion.servers.len() || age > CONVERSION_TIMEOUT {
                continue;
            }
            if conversion.servers.iter().any(|life| plan.held.contains(life)) {
                plan.held.extend(conversion.servers.iter().cloned());
                *plan.active.entry(conversion.model.clone()).or_default() += 1;
                self.conversions.push(conversion);
            } else {
                self.add_group(now, view, &conversion.model, &servers, plan);
            }
        }
    }

    /// Begins conversions towards the models that are short of groups.
    pub(crate) fn start_conversions(
        &mut self,
        now: Instant,
        index: &FleetIndex<'_>,
        plan: &mut FleetPlan,
    ) {
        if index.view.before_traffic {
            return;
        }
        let groups = plan.active.values().sum::<u32>();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a share of the number of groups"
        )]
        let limit = (f64::from(groups) * CONVERSION_SHARE).ceil() as usize;
        while self.conversions.len() < limit {
            let Some(choice) = self.best_conversion(now, index, plan) else { return };
            for donor in &choice.donors {
                let Some(group) = self.groups.get_mut(donor) else { continue };
                group.yielding = true;
                let count = plan.active.entry(group.record.model.clone()).or_default();
                *count = count.saturating_sub(1);
            }
            let ConversionChoice { model, servers, .. } = choice;
            plan.held.extend(servers.iter().cloned());
            *plan.active.entry(model.clone()).or_default() += 1;
            self.conversions.push(GroupConversion { model, servers, since: now });
        }
    }

    /// The conversion that gives up the fewest servers, for the model with the greatest need that
    /// has one.
    fn best_conversion(
        &self,
        now: Instant,
        index: &FleetIndex<'_>,
        plan: &FleetPlan,
    ) -> Option<ConversionChoice> {
        let view = index.view;
        let targets = self.targets(view);
        let shortage = GroupShortage { view, targets: &targets, active: &plan.active };
        let mut models: Vec<&PooledModel> = view.engine.models.iter().collect();
        models.retain(|model| shortage.is_short(&model.name));
        models.sort_by(|a, b| shortage.need(&b.name).total_cmp(&shortage.need(&a.name)));
        let domains: HashSet<_> = view.servers.iter().map(|s| &s.fabric_domain).collect();
        let reserved: HashSet<&ServerLife> =
            self.conversions.iter().flat_map(|conversion| &conversion.servers).collect();
        let groups = self.groups.values();
        let groups = groups.filter(|group| {
            !group.yielding && !group.is_evacuated(view) && !group.is_awaited(view)
        });
        let serving: Vec<&PlannedGroup> = groups
            .filter(|group| group.health(now, index, &self.settings) == GroupHealth::Serving)
            .collect();
        models.into_iter().find_map(|model| {
            let choices = domains.iter().filter_map(|domain| {
                let in_domain = |server: &&FleetServer| {
                    server.fabric_domain == **domain && !reserved.contains(&server.life)
                };
                self.conversion_in(&shortage, model, &serving, plan, in_domain)
            });
            choices.min_by_key(|choice| (choice.cost, choice.servers.first().cloned()))
        })
    }

    /// The conversion in one fabric domain, if its free servers and those of groups that other
    /// models can spare make a group.
    fn conversion_in(
        &self,
        shortage: &GroupShortage<'_>,
        model: &PooledModel,
        serving: &[&PlannedGroup],
        plan: &FleetPlan,
        in_domain: impl Fn(&&FleetServer) -> bool,
    ) -> Option<ConversionChoice> {
        let view = shortage.view;
        let size = model.group_size as usize;
        let fits = |server: &&FleetServer| {
            in_domain(server)
                && is_usable(view, server)
                && holds_weights(server, &model.name)
                && !self.staging.contains_key(&server.life)
        };
        // Members of groups that are being dissolved will be free, unless they are in a new group
        // already: the old one is known for as long as a lost member of it is listed.
        let lives = |dissolving: bool| -> HashSet<&ServerLife> {
            let groups = self.groups.values().filter(|group| group.dissolving == dissolving);
            groups.flat_map(PlannedGroup::lives).collect()
        };
        let (freed, kept) = (lives(true), lives(false));
        let is_free = |s: &&&FleetServer| {
            !plan.held.contains(&s.life) || (freed.contains(&s.life) && !kept.contains(&s.life))
        };
        let all: Vec<&FleetServer> = view.servers.iter().copied().filter(fits).collect();
        let mut servers: Vec<&FleetServer> = all.iter().filter(is_free).copied().collect();
        servers.truncate(size);
        let mut donors: Vec<&PlannedGroup> = serving
            .iter()
            .copied()
            .filter(|group| group.record.model != model.name)
            .filter(|group| !members_of(group, &all).is_empty())
            .collect();
        donors.sort_by_key(|group| {
            let members = group.record.members.len();
            (members, members - members_of(group, &all).len())
        });
        let (mut given_up, mut cost) = (Vec::new(), 0);
        for donor in donors {
            if servers.len() >= size {
                break;
            }
            servers.extend(members_of(donor, &all));
            cost += donor.record.members.len();
            given_up.push(donor);
        }
        let is_whole = servers.len() >= size;
        let pays = || pays(shortage, &model.name, &given_up);
        if !is_whole || given_up.is_empty() || !pays() {
            return None;
        }
        let servers = servers.into_iter().take(size).map(|server| server.life.clone()).collect();
        let donors = given_up.iter().map(|group| group.record.group.clone()).collect();
        Some(ConversionChoice { model: model.name.clone(), servers, donors, cost })
    }
}

/// Whether `model` needs a group clearly more than the donors need theirs afterwards, by work per
/// group.
fn pays(shortage: &GroupShortage<'_>, model: &ModelName, donors: &[&PlannedGroup]) -> bool {
    let need = shortage.need(model);
    donors.iter().all(|group| {
        let donor = &group.record.model;
        let count = donors.iter().filter(|other| other.record.model == *donor).count();
        need > shortage.need_without(donor, count) * CONVERSION_RATIO
    })
}

/// The servers that are members of the group.
fn members_of<'a>(group: &PlannedGroup, servers: &[&'a FleetServer]) -> Vec<&'a FleetServer> {
    let members = servers.iter().filter(|server| group.lives().any(|life| *life == server.life));
    members.copied().collect()
}
