//! The router that weighs load, prefix caches and stragglers.

use std::{
    cmp::Reverse,
    collections::HashMap,
    time::{Duration, Instant},
};

use comfreyturn_types::GroupId;
use rand::{RngExt, SeedableRng, rngs::Xoshiro256PlusPlus};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    GroupRouter, RouteEnd, RouteQuery, StragglerSettings, WholeGroup, group_load::GroupLoad,
    straggler_watch::StragglerWatch,
};

/// Settings of a [`LoadRouter`].
#[derive(Clone, Debug)]
pub struct LoadRouterSettings {
    /// Groups drawn at random, of which the least loaded is chosen. Invariant: at least one.
    pub choices: usize,

    /// The age at which a reported load counts by 1/e; the rest is the mean of all groups.
    pub report_decay: Duration,

    /// Groups that a prefix prefers, the first ones in its rendezvous order. Zero turns prefix
    /// affinity off.
    pub affinity_groups: usize,

    /// A preferred group is taken only while its load is below this many times the mean.
    pub affinity_bound: f64,

    /// A preferred group is always taken while its load is below this share of its capacity.
    pub affinity_slack: f64,

    /// A preferred group is never taken above this share of its capacity: a request that has to wait
    /// there loses more time than a cached prefix saves.
    pub affinity_cap: f64,

    /// Requests that a group holds at once if it does not say.
    pub default_capacity: u32,

    /// Requests that may queue at a group, as a share of its capacity.
    pub queue_share: f64,

    /// How stragglers are put aside.
    pub stragglers: StragglerSettings,

    /// How long a group that is offered no more is remembered.
    pub group_retention: Duration,
}

impl Default for LoadRouterSettings {
    fn default() -> Self {
        Self {
            choices: 4,
            report_decay: Duration::from_secs(1),
            affinity_groups: 3,
            affinity_bound: 1.25,
            affinity_slack: 0.25,
            affinity_cap: 0.75,
            default_capacity: 16,
            queue_share: 0.25,
            stragglers: StragglerSettings::default(),
            group_retention: Duration::from_secs(60),
        }
    }
}

/// A group is late, whatever its average, once a request waits for its first token for this many
/// times as long as makes a straggler.
const HUNG_RATIO: u32 = 2;

/// Time between two comparisons of the groups' latencies.
const JUDGE_PERIOD: Duration = Duration::from_millis(100);

/// A group that may be chosen.
#[derive(Clone, Copy, Debug)]
struct RouteCandidate {
    /// Position among the offered groups.
    index: usize,

    /// See [`LoadEstimate::load`].
    load: f64,

    /// See [`LoadEstimate::crowd`].
    crowd: f64,

    /// Whether the group is aside or on the query's avoid list.
    rank: CandidateRank,
}

/// Estimated requests at a group, as shares of its capacity.
#[derive(Clone, Copy, Debug)]
struct LoadEstimate {
    /// The estimate to choose by, with late reports discounted.
    load: f64,

    /// The estimate by which a group is too crowded to be preferred. The nodes prefer the same
    /// groups for a prefix, so a report of many requests there is not discounted.
    crowd: f64,
}

/// Groups of a later rank are used only if none of the ranks before has room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CandidateRank {
    Preferred,
    Aside,
    Avoided,
}

/// Routes by prefix affinity with a bound on load, else to the least loaded of a few random groups.
///
/// The load of a group is the number of own attempts there plus what others had there when its
/// load was measured. The older a report, the more the mean of all groups takes its place, so that
/// the nodes do not all run to the group that looked empty two seconds ago.
#[derive(Debug)]
pub struct LoadRouter {
    settings: LoadRouterSettings,
    groups: HashMap<GroupId, GroupLoad>,
    stragglers: StragglerWatch,
    rng: Xoshiro256PlusPlus,
    pruned_at: Option<Instant>,
    judged_at: Option<Instant>,

    /// First tokens that take longer than this are late.
    late_after: Duration,
}

impl LoadRouter {
    /// A router that has seen no group yet. Nodes take different seeds.
    pub fn new(settings: LoadRouterSettings, seed: u64) -> Self {
        Self {
            stragglers: StragglerWatch::new(settings.stragglers.clone()),
            settings,
            groups: HashMap::new(),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            pruned_at: None,
            judged_at: None,
            late_after: Duration::MAX,
        }
    }

    /// Whether a group is put aside as a straggler.
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
        load.seen_at = now;
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
            LoadEstimate { load, crowd: load.max(own + others) }
        };
        groups.iter().zip(known).map(estimate).collect()
    }

    /// The groups with room.
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
            .map(|(index, (group, LoadEstimate { load, crowd }))| RouteCandidate {
                index,
                load,
                crowd,
                rank: self.rank(query, &group.assignment.group),
            })
            .filter(|candidate| candidate.load < full)
            .collect()
    }

    fn rank(&self, query: &RouteQuery, group: &GroupId) -> CandidateRank {
        if query.avoid.contains(group) {
            CandidateRank::Avoided
        } else if self.stragglers.is_excluded(group) {
            CandidateRank::Aside
        } else {
            CandidateRank::Preferred
        }
    }

    /// A group that is aside and whose time for a probe has come.
    fn probe_target(
        &self,
        now: Instant,
        groups: &[WholeGroup],
        candidates: &[RouteCandidate],
    ) -> Option<usize> {
        let mut aside = candidates.iter().filter(|found| found.rank == CandidateRank::Aside);
        aside
            .find(|found| self.stragglers.wants_probe(now, &groups[found.index].assignment.group))
            .map(|found| found.index)
    }

    /// The first preferred group of the prefix whose load is within the bound.
    fn affine_choice(
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
        preferred.find(|(_, candidate)| candidate.crowd <= bound).map(|(_, found)| found.index)
    }

    /// The least loaded of some groups drawn at random.
    fn random_choice(&mut self, candidates: &[RouteCandidate]) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        let draws = (0..self.settings.choices.max(1))
            .map(|_| candidates[self.rng.random_range(0..candidates.len())]);
        draws.min_by(|a, b| a.load.total_cmp(&b.load)).map(|chosen| chosen.index)
    }

    fn median_latency(&self, groups: &[WholeGroup]) -> Option<f64> {
        let min_samples = self.stragglers.settings.min_samples;
        let mut latencies: Vec<f64> = groups
            .iter()
            .filter_map(|group| self.groups.get(&group.assignment.group))
            .filter(|load| load.samples >= min_samples)
            .map(|load| load.latency)
            .collect();
        if latencies.is_empty() {
            return None;
        }
        latencies.sort_unstable_by(f64::total_cmp);
        Some(latencies[(latencies.len() - 1) / 2])
    }

    /// Puts groups aside whose first tokens are late against the median.
    fn judge_stragglers(&mut self, now: Instant, groups: &[WholeGroup]) {
        let judged = self.judged_at.map(|at| now.saturating_duration_since(at));
        if judged.is_some_and(|age| age < JUDGE_PERIOD) {
            return;
        }
        self.judged_at = Some(now);
        let median = self.median_latency(groups);
        let threshold = median.map(|median| self.stragglers.threshold(median));
        self.late_after = threshold.map_or(Duration::MAX, Duration::from_secs_f64);
        let ids = || groups.iter().map(|group| &group.assignment.group);
        let mut aside = ids().filter(|id| self.stragglers.is_excluded(id)).count();
        for id in ids() {
            if self.stragglers.is_excluded(id) {
                if self.stragglers.probe_overdue(now, id, self.late_after) {
                    self.stragglers.extend(now, id);
                }
            } else if self.is_late(now, id) && self.stragglers.may_add(aside, groups.len()) {
                self.stragglers.put_aside(now, id);
                aside += 1;
            }
        }
    }

    fn is_late(&self, now: Instant, group: &GroupId) -> bool {
        let Some(load) = self.groups.get(group) else { return false };
        let judged = load.samples >= self.settings.stragglers.min_samples;
        let late = judged && load.latency > self.late_after.as_secs_f64();
        late || load.longest_wait(now) > self.late_after.saturating_mul(HUNG_RATIO)
    }

    fn prune(&mut self, now: Instant) {
        let retention = self.settings.group_retention;
        if self.pruned_at.is_some_and(|at| now.saturating_duration_since(at) < retention) {
            return;
        }
        self.pruned_at = Some(now);
        let stragglers = &mut self.stragglers;
        self.groups.retain(|id, load| {
            let idle = now.saturating_duration_since(load.seen_at);
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
        self.judge_stragglers(now, groups);
        let mut candidates = self.candidates(query, groups, loads);
        if let Some(index) = self.probe_target(now, groups, &candidates) {
            return Some(groups[index].assignment.group.clone());
        }
        let best = candidates.iter().map(|candidate| candidate.rank).min()?;
        candidates.retain(|candidate| candidate.rank == best);
        let index = match self.affine_choice(query, groups, &candidates) {
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
        if elapsed > self.late_after {
            self.stragglers.extend(now, group);
        } else {
            load.forget_latency();
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
                    self.stragglers.probe_failed(now, group);
                } else if load.failures >= self.settings.stragglers.max_failures {
                    self.stragglers.put_aside(now, group);
                }
            }
        }
    }
}
