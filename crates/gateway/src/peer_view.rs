//! What this node knows of the other nodes, and through which of them it learns it.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use comfreyturn_policy::{
    RelayCandidate, RelayChoice, RelayChoiceSettings, RelayRoster, RelaySettings,
};
use comfreyturn_types::{Incarnation, ModelName, NodeId, StoreVersion};

use crate::{LogPosition, ModelRate, PeerTable, ReportKind, ViewReports, peer_table::PeerTimeouts};

/// How long a node that is only known from its row may be chosen as a relay.
const TRIAL_TIME: Duration = Duration::from_secs(3);

/// From which node this one gets changes of the list of servers, and how far it has read them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ListCursor {
    pub(crate) node: NodeId,
    pub(crate) incarnation: Incarnation,
    pub(crate) position: LogPosition,
}

/// What this node knows of the other nodes.
#[derive(Debug, Default)]
pub(crate) struct PeerView {
    pub(crate) peers: PeerTable,
    pub(crate) reports: ViewReports,
    pub(crate) roster: RelayRoster,
    pub(crate) choice: RelayChoice,
    pub(crate) list_cursor: Option<ListCursor>,

    /// Tags of live nodes that this node doesn't know, by the node that sent them.
    pub(crate) unknown_nodes: HashMap<NodeId, HashSet<u32>>,

    /// Since when no live node is known to hold the fleet's lease.
    holderless_since: Option<Instant>,
}

impl PeerView {
    pub(crate) fn new(choice: RelayChoiceSettings) -> Self {
        Self { choice: RelayChoice::new(choice), ..Self::default() }
    }

    /// Chooses the relays anew; `own` is `None` if this node must not be one. A node that hears
    /// nobody keeps the relays that it had, so that it can find one that still answers.
    pub(crate) fn update_roster(
        &mut self,
        now: Instant,
        own: Option<RelayCandidate>,
        timeouts: PeerTimeouts,
        settings: RelaySettings,
    ) {
        let mut candidates = self.peers.relay_candidates(now, timeouts, TRIAL_TIME);
        if candidates.is_empty() && self.roster.relays().next().is_some() {
            return;
        }
        candidates.extend(own);
        self.roster = RelayRoster::new(candidates, settings);
    }

    /// Removes what is too old.
    pub(crate) fn forget_unresponsive(
        &mut self,
        now: Instant,
        report_retention: Duration,
        member_retention: Duration,
        peer_retention: Duration,
    ) {
        self.reports.forget_unresponsive(now, report_retention, member_retention);
        self.peers.forget_unresponsive(now, peer_retention);
    }

    /// How long no live node has held the fleet's lease; `None` while one does.
    pub(crate) fn holderless_time(
        &mut self,
        now: Instant,
        holder_timeout: Duration,
    ) -> Option<Duration> {
        let is_live_holder = |record: &crate::PeerRecord| {
            record.status.lease_fencing > 0 && record.was_seen(now, holder_timeout)
        };
        if self.peers.named().any(|(_, record)| is_live_holder(record)) {
            self.holderless_since = None;
            return None;
        }
        let since = *self.holderless_since.get_or_insert(now);
        Some(now.saturating_duration_since(since))
    }

    /// The number of live relays before `rank` that read the configuration from the platform.
    pub(crate) fn config_readers(
        &self,
        now: Instant,
        timeouts: PeerTimeouts,
        rank: usize,
    ) -> usize {
        let earlier = self.roster.relays().take(rank);
        let records = earlier.filter_map(|node| self.peers.get(node));
        let is_reader = |record: &&crate::PeerRecord| {
            record.progress.reads_config && record.is_alive(now, timeouts)
        };
        records.filter(is_reader).count()
    }

    /// The live relay that has the newest list of servers, the first one among equals, unless all
    /// lists are older than `own`.
    pub(crate) fn list_source(
        &self,
        now: Instant,
        timeouts: PeerTimeouts,
        own: StoreVersion,
    ) -> Option<NodeId> {
        let mut best: Option<(StoreVersion, &NodeId)> = None;
        for node in self.roster.relays() {
            let record = self.peers.get(node).filter(|record| record.is_alive(now, timeouts));
            let Some(record) = record else { continue };
            let is_better = match best {
                Some((version, _)) => record.progress.list_version > version,
                None => record.progress.list_version >= own,
            };
            if is_better {
                best = Some((record.progress.list_version, node));
            }
        }
        best.map(|(_, node)| node.clone())
    }

    /// The rate at which requests for a model arrive at all other nodes, per second.
    pub(crate) fn arrival_rate(&self, model: &ModelName) -> f64 {
        self.reports
            .reports()
            .filter_map(|report| report.rates.get(model))
            .map(|rate| rate.arrived)
            .sum()
    }

    /// The rates of a model at all other nodes together.
    pub(crate) fn waiting_rate(&self, model: &ModelName) -> ModelRate {
        let mut sum = ModelRate::default();
        let reports = self.reports.reports();
        reports.filter_map(|report| report.rates.get(model)).for_each(|rate| sum.add(rate));
        sum
    }

    /// Whether a relay answers this node.
    pub(crate) fn hears_relay(&self) -> bool {
        self.reports.nodes(ReportKind::Upstream).next().is_some()
    }

    /// Whether this node passes on the reports of others.
    pub(crate) fn has_members(&self) -> bool {
        self.reports.nodes(ReportKind::Member).next().is_some()
    }
}
