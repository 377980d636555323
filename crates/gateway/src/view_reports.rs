//! What other nodes report about requests and servers, merged for the next node.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use comfreyturn_policy::{ColdStatement, LEAST_PACE, LimitStatement, MOST_PACE};
use comfreyturn_types::{ModelName, NodeId, ServerLife};

use crate::{PartReport, RefusalReport};

/// What the sender of a report is to this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportKind {
    /// A relay. Its report covers its members.
    Relay,

    /// A member of this node.
    Member,

    /// The relay of this node. Its digest covers the whole fleet but this node.
    Upstream,
}

/// Rates of the requests for a model, in requests per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ModelRate {
    /// Requests refused for lack of capacity.
    pub refused: f64,

    /// All requests.
    pub arrived: f64,

    /// Requests that finished.
    pub finished: f64,

    /// Number of requests that wait for a free place at a server; no rate. Late ones count less.
    pub waiting: f64,
}

impl ModelRate {
    /// Adds the rates of other nodes.
    pub(crate) fn add(&mut self, other: &Self) {
        self.refused += other.refused;
        self.arrived += other.arrived;
        self.finished += other.finished;
        self.waiting += other.waiting;
    }

    fn subtract(&mut self, own: &Self) {
        self.refused = (self.refused - own.refused).max(0.0);
        self.arrived = (self.arrived - own.arrived).max(0.0);
        self.finished = (self.finished - own.finished).max(0.0);
        self.waiting = (self.waiting - own.waiting).max(0.0);
    }
}

/// What a node, or a set of nodes, reports about requests and servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ViewReport {
    /// Requests in flight at each server.
    pub loads: HashMap<ServerLife, u32>,

    /// Prompt tokens sent to each server whose first event has not arrived.
    pub unread: HashMap<ServerLife, u32>,

    /// Measured paces of servers. Invariant: positive and finite.
    pub paces: HashMap<ServerLife, f64>,

    /// When servers last delivered data to any of the nodes.
    pub seen: HashMap<ServerLife, Instant>,

    /// Servers that stalled, as observed by any of the nodes.
    pub stalls: Vec<ServerLife>,

    /// Rates of requests by model.
    pub rates: HashMap<ModelName, ModelRate>,

    /// Recent crashes caused by requests: the fingerprint of the request, and the crash.
    pub crashes: Vec<(u64, u64)>,

    /// Requests that are quarantined because they crash servers, by fingerprint, and since when.
    pub quarantined: HashMap<u64, Instant>,

    /// What servers said recently about their rate limits.
    pub limits: HashMap<ServerLife, LimitStatement>,

    /// What servers that are cold, or were until shortly, said about that.
    pub cold: HashMap<ServerLife, ColdStatement>,

    /// Which prompt parts may have crashed servers, and which did not.
    pub parts: PartReport,

    /// Which servers refuse requests without asking for a wait.
    pub refusals: RefusalReport,

    /// When the holder of the fleet's lease last ordered a head to join a group without an answer.
    pub unanswered_join: Option<Instant>,
}

impl ViewReport {
    /// Adds another report to this one.
    pub fn merge(&mut self, other: &Self) {
        // Before the loads are added, which are the weights of the paces.
        for (life, pace) in &other.paces {
            let (weight, added) = (pace_weight(&self.loads, life), pace_weight(&other.loads, life));
            let merge = |mean: &mut f64| {
                *mean = (*mean * weight + pace * added) / (weight + added);
            };
            self.paces.entry(life.clone()).and_modify(merge).or_insert(*pace);
        }
        for (life, tokens) in &other.unread {
            let unread = self.unread.entry(life.clone()).or_default();
            *unread = unread.saturating_add(*tokens);
        }
        for (life, running) in &other.loads {
            let sum = self.loads.entry(life.clone()).or_default();
            *sum = sum.saturating_add(*running);
        }
        for (life, at) in &other.seen {
            let seen = self.seen.entry(life.clone()).or_insert(*at);
            *seen = (*seen).max(*at);
        }
        for life in &other.stalls {
            if !self.stalls.contains(life) {
                self.stalls.push(life.clone());
            }
        }
        for (model, rate) in &other.rates {
            self.rates.entry(model.clone()).or_default().add(rate);
        }
        for crash in &other.crashes {
            if !self.crashes.contains(crash) {
                self.crashes.push(*crash);
            }
        }
        for (request, at) in &other.quarantined {
            let known = self.quarantined.entry(*request).or_insert(*at);
            *known = (*known).min(*at);
        }
        self.parts.merge(&other.parts);
        self.refusals.merge(&other.refusals);
        self.unanswered_join = self.unanswered_join.max(other.unanswered_join);
        for (life, statement) in &other.limits {
            let newest = self.limits.entry(life.clone()).or_insert(*statement);
            if newest.at < statement.at {
                *newest = *statement;
            }
        }
        for (life, statement) in &other.cold {
            let newest = self.cold.entry(life.clone()).or_insert(*statement);
            if newest.at < statement.at {
                *newest = *statement;
            }
        }
    }

    /// Takes this node's own figures out of a digest that includes them.
    pub fn subtract(&mut self, own: &Self) {
        // Before the loads are subtracted, which are the weights of the paces.
        for (life, pace) in &own.paces {
            let weight = pace_weight(&self.loads, life);
            let rest = weight - pace_weight(&own.loads, life);
            if rest <= 0.0 {
                self.paces.remove(life);
            } else if let Some(mean) = self.paces.get_mut(life) {
                let other = *mean + (*mean - pace) * (weight - rest) / rest;
                *mean = other.clamp(LEAST_PACE, MOST_PACE);
            }
        }
        for (life, tokens) in &own.unread {
            if let Some(sum) = self.unread.get_mut(life) {
                *sum = sum.saturating_sub(*tokens);
            }
        }
        for (life, running) in &own.loads {
            if let Some(sum) = self.loads.get_mut(life) {
                *sum = sum.saturating_sub(*running);
            }
        }
        for (model, rate) in &own.rates {
            if let Some(sum) = self.rates.get_mut(model) {
                sum.subtract(rate);
            }
        }
        // On its way through other nodes, a statement seems to become younger.
        self.limits.retain(|life, statement| {
            own.limits.get(life).is_none_or(|own| own.rate != statement.rate)
        });
        self.cold.retain(|life, statement| {
            own.cold.get(life).is_none_or(|own| !is_echo(own, statement))
        });
        self.refusals.subtract(&own.refusals);
    }
}

/// A statement that comes back through other nodes seems to end later than it did, by at most this.
const ECHO_DELAY: Duration = Duration::from_secs(1);

fn is_echo(own: &ColdStatement, told: &ColdStatement) -> bool {
    let later = told.until.saturating_duration_since(own.until);
    own.is_cold() == told.is_cold() && told.until >= own.until && later < ECHO_DELAY
}

/// The weight of a pace: the requests in flight of those who measured it.
fn pace_weight(loads: &HashMap<ServerLife, u32>, life: &ServerLife) -> f64 {
    f64::from(loads.get(life).copied().unwrap_or(0).max(1))
}

/// The newest report of each node that reports to this one.
#[derive(Debug, Default)]
pub struct ViewReports {
    reports: HashMap<NodeId, (Instant, ReportKind, ViewReport)>,
}

impl ViewReports {
    /// Replaces the report of a node. A node has one report at a time, so that its figures are
    /// counted once when it becomes a relay or stops being one.
    pub fn record(&mut self, now: Instant, node: NodeId, kind: ReportKind, report: ViewReport) {
        if kind == ReportKind::Upstream {
            self.reports.retain(|_, (_, kind, _)| *kind != ReportKind::Upstream);
        }
        self.reports.insert(node, (now, kind, report));
    }

    /// Removes the reports of nodes that reported nothing for `limit`, or for `member_limit` if
    /// they are members: those report to another relay by then.
    pub fn forget_unresponsive(&mut self, now: Instant, limit: Duration, member_limit: Duration) {
        self.reports.retain(|_, (at, kind, _)| {
            let limit = if *kind == ReportKind::Member { member_limit } else { limit };
            now.saturating_duration_since(*at) < limit
        });
    }

    /// The nodes whose report is of a kind.
    pub fn nodes(&self, kind: ReportKind) -> impl Iterator<Item = &NodeId> {
        let reports = self.reports.iter();
        reports.filter(move |(_, (_, own, _))| *own == kind).map(|(node, _)| node)
    }

    /// All reports.
    pub fn reports(&self) -> impl Iterator<Item = &ViewReport> {
        self.reports.values().map(|(_, _, report)| report)
    }

    /// The sum of the reports of some kinds.
    pub fn sum(&self, kinds: &[ReportKind]) -> ViewReport {
        let mut sum = ViewReport::default();
        for (_, kind, report) in self.reports.values() {
            if kinds.contains(kind) {
                sum.merge(report);
            }
        }
        sum
    }
}
