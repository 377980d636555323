//! The router that considers load, prefix caches and stragglers.

use std::{
    cmp::Reverse,
    collections::HashMap,
    time::{Duration, Instant},
};

use comfreyturn_types::GroupId;
use rand::{RngExt, SeedableRng, rngs::Xoshiro256PlusPlus};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    GroupRouter, LoadRouterSettings, RouteEnd, RouteQuery, WholeGroup, group_load::GroupLoad,
    straggler_detector::StragglerDetector, straggler_table::StragglerTable,
};

/// A group that may be chosen.
#[derive(Clone, Copy, Debug)]
struct RouteCandidate {
    /// Position among the offered groups.
    index: usize,

    /// See [`LoadEstimate::load`].
    load: f64,

    /// See [`LoadEstimate::affinity_load`].
    affinity_load: f64,

    /// Whether the group is excluded as a straggler or on the query's avoid list.
    rank: CandidateRank,
}

/// Estimated requests at a group, as shares of its capacity.
#[derive(Clone, Copy, Debug)]
struct LoadEstimate {
    /// The load for the choice of a group, with old reports discounted.
    load: f64,

    /// The load that is compared with the affinity bound. All nodes prefer the same groups for a
    /// prefix, so a report of many requests there is not discounted.
    affinity_load: f64,
}

/// Groups of a later rank are used only if no group of an earlier rank has capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CandidateRank {
    Preferred,
    Excluded,
    Avoided,
}

/// Routes by prefix affinity with a bound on load, else to the least loaded of a few random groups.
///
/// The load of a group is the number of attempts of this node there plus the number of attempts of
/// other nodes when its load was measured. The older a report, the more it is replaced by the mean
/// of all groups, so that the nodes do not all choose the group that was empty two seconds ago.
#[derive(Debug)]
pub struct LoadRouter {
    settings: LoadRouterSettings,
    groups: HashMap<GroupId, GroupLoad>,
    stragglers: StragglerTable,
    straggler_detector: StragglerDetector,
    rng: Xoshiro256PlusPlus,
    pruned_at: Option<Instant>,
}

impl LoadRouter {
    /// Creates a router without any observations. Each node uses a different seed.
    pub fn new(settings: LoadRouterSettings, seed: u64) -> Self {
        Self {
            stragglers: StragglerTable::new(settings.stragglers.clone()),
            straggler_detector: StragglerDetector::new(),
            settings,
            groups: HashMap::new(),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            pruned_at: None,
        }
    }

    /// Whether a group is excluded as a straggler.
    #[inline]
    pub fn is_excluded(&self, group: &GroupId) -> bool {
        self.stragglers.is_excluded(group)
    }

    fn group_load(&mut self, now: Instant, group: &WholeGroup) -> &GroupLoad {
        let generation = group.assignment.generation;
        let id = &group.assignment.group;
        let load = self.groups.entry(id.clone()).or_insert_with(|| GroupLoad::new(now, generation));
        if load.generation != generation {
            load.reset(generation);
            self.stragglers.restore(id);
        }
        load.offered_at = now;
        load
    }

    fn capacity(&self, group: &WholeGroup) -> f64 {
        let reported = group.load.capacity;
        f64::from(if reported == 0 { self.settings.default_capacity.max(1) } else { reported })
    }

    fn report_weight(&self, now: Instant, group: &WholeGroup) -> f64 {
        let age = now.saturating_duration_since(group.load_at).as_secs_f64();
        (-age / self.settings.report_decay.as_secs_f64().max(f64::MIN_POSITIVE)).exp()
    }

    fn estimate_loads(&mut self, now: Instant, groups: &[WholeGroup]) -> Vec<LoadEstimate> {
        let mut known = Vec::with_capacity(groups.len());
        for group in groups {
            let capacity = self.capacity(group);
            let load = self.group_load(now, group);
            let own = f64::from(load.in_flight) / capacity;
            known.push((own, load.others_at_report(group) / capacity));
        }
        let mean = known.iter().map(|(_, others)| others).sum::<f64>() / known.len().max(1) as f64;
        let estimate = |(group, (own, others)): (&WholeGroup, (f64, f64))| {
            let weight = self.report_weight(now, group);
            let load = own + weight * others + (1.0 - weight) * mean;
            LoadEstimate { load, affinity_load: load.max(own + others) }
        };
        groups.iter().zip(known).map(estimate).collect()
    }

    /// The groups with free capacity.
    fn candidates(
        &self,
        query: &RouteQuery,
        groups: &[WholeGroup],
        loads: Vec<LoadEstimate>,
    ) -> Vec<RouteCandidate> {
        let full = 1.0 + self.settings.queue_share;
        groups
            .iter()
            .zip(loads)
            .enumerate()
            .map(|(index, (group, LoadEstimate { load, affinity_load }))| RouteCandidate {
                index,
                load,
                affinity_load,
                rank: self.rank(query, &group.assignment.group),
            })
            .filter(|candidate| candidate.load < full)
            .collect()
    }

    fn rank(&self, query: &RouteQuery, group: &GroupId) -> CandidateRank {
        if query.avoid.contains(group) {
            CandidateRank::Avoided
        } else if self.stragglers.is_excluded(group) {
            CandidateRank::Excluded
        } else {
            CandidateRank::Preferred
        }
    }

    /// An excluded group that is due for a probe.
    fn probe_target(
        &self,
        now: Instant,
        groups: &[WholeGroup],
        candidates: &[RouteCandidate],
    ) -> Option<usize> {
        let mut excluded = candidates.iter().filter(|found| found.rank == CandidateRank::Excluded);
        excluded
            .find(|found| self.stragglers.probe_due(now, &groups[found.index].assignment.group))
            .map(|found| found.index)
    }

    /// The first preferred group of the prefix whose load is within the bound.
    fn affinity_choice(
        &self,
        query: &RouteQuery,
        groups: &[WholeGroup],
        candidates: &[RouteCandidate],
    ) -> Option<usize> {
        let mean = candidates.iter().map(|candidate| candidate.load).sum::<f64>()
            / candidates.len().max(1) as f64;
        let bound = (mean * self.settings.affinity_bound)
            .max(self.settings.affinity_slack)
            .min(self.settings.affinity_cap);
        let mut ranked: Vec<_> = candidates
            .iter()
            .map(|candidate| {
                let id = groups[candidate.index].assignment.group.as_str();
                (xxh3_64_with_seed(id.as_bytes(), query.prefix), candidate)
            })
            .collect();
        let wanted = self.settings.affinity_groups.min(ranked.len());
        if wanted < ranked.len() {
            ranked.select_nth_unstable_by_key(wanted, |(hash, _)| Reverse(*hash));
            ranked.truncate(wanted);
        }
        ranked.sort_unstable_by_key(|(hash, _)| Reverse(*hash));
        let mut preferred = ranked.iter();
        preferred
            .find(|(_, candidate)| candidate.affinity_load <= bound)
            .map(|(_, found)| found.index)
    }

    /// The least loaded of a few groups drawn at random.
    fn random_choice(&mut self, candidates: &[RouteCandidate]) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        let draws = (0..self.settings.choices.max(1))
            .map(|_| candidates[self.rng.random_range(0..candidates.len())]);
        draws.min_by(|a, b| a.load.total_cmp(&b.load)).map(|chosen| chosen.index)
    }

    fn prune(&mut self, now: Instant) {
        let retention = self.settings.group_retention;
        if self.pruned_at.is_some_and(|at| now.saturating_duration_since(at) < retention) {
            return;
        }
        self.pruned_at = Some(now);
        let stragglers = &mut self.stragglers;
        self.groups.retain(|id, load| {
            let idle = now.saturating_duration_since(load.offered_at);
            let keep = load.in_flight > 0 || idle < retention;
            if !keep {
                stragglers.restore(id);
            }
            keep
        });
    }
}

impl GroupRouter for LoadRouter {
    fn choose(
        &mut self,
        now: Instant,
        query: &RouteQuery,
        groups: &[WholeGroup],
    ) -> Option<GroupId> {
        self.prune(now);
        let loads = self.estimate_loads(now, groups);
        self.straggler_detector.detect(now, groups, &self.groups, &mut self.stragglers);
        let mut candidates = self.candidates(query, groups, loads);
        if let Some(index) = self.probe_target(now, groups, &candidates) {
            return Some(groups[index].assignment.group.clone());
        }
        let best = candidates.iter().map(|candidate| candidate.rank).min()?;
        candidates.retain(|candidate| candidate.rank == best);
        let index = match self.affinity_choice(query, groups, &candidates) {
            Some(index) => index,
            None => self.random_choice(&candidates)?,
        };
        Some(groups[index].assignment.group.clone())
    }

    fn started(&mut self, now: Instant, group: &GroupId, _query: &RouteQuery) {
        self.stragglers.started(now, group);
        if let Some(load) = self.groups.get_mut(group) {
            load.started(now);
        }
    }

    fn first_token(&mut self, now: Instant, group: &GroupId, elapsed: Duration) {
        let max_samples = self.stragglers.settings.max_samples;
        let Some(load) = self.groups.get_mut(group) else { return };
        load.first_token(now, elapsed, max_samples);
        let started_at = now.checked_sub(elapsed).unwrap_or(now);
        if !self.stragglers.is_probe(group, started_at) {
            return;
        }
        if self.straggler_detector.is_late(elapsed) {
            self.stragglers.extend(now, group);
        } else {
            load.reset_latency();
            self.stragglers.restore(group);
        }
    }

    fn ended(&mut self, now: Instant, group: &GroupId, end: RouteEnd) {
        let Some(load) = self.groups.get_mut(group) else { return };
        load.ended(now);
        match end {
            RouteEnd::Finished => load.failures = 0,
            RouteEnd::Abandoned => {}
            RouteEnd::Failed => {
                load.failures += 1;
                if self.stragglers.is_excluded(group) {
                    self.stragglers.attempt_failed(now, group);
                } else if load.failures >= self.settings.stragglers.max_failures {
                    self.stragglers.exclude(now, group);
                }
            }
        }
    }
}
