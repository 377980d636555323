//! A customer's limit, split over the nodes that are its homes.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use comfreyturn_types::{ConfigVersion, CustomerName, NodeId};

use crate::{
    CustomerShare, ShareAnswer, ShareQuestion, customer_homes,
    demand_meter::DemandMeter,
    home_fraction::HomeFraction,
    share_loan::{GivenLoan, LoanBook},
};

/// Settings of a [`LimitShare`]. Invariant: the same at all nodes of a cell.
#[derive(Clone, Debug)]
pub struct LimitShareSettings {
    /// Nodes that a customer's limit is split over.
    pub home_nodes: usize,

    /// No node uses a configuration for longer than this after a newer one was accepted.
    pub staleness_bound: Duration,

    /// How long a loan may be used, counted from when the borrower asked.
    pub loan_window: Duration,

    /// How much longer the lender goes without what it lent, counted from when it answered. Covers
    /// clocks that run at different speeds.
    pub loan_margin: Duration,

    /// Time between two questions to the same home.
    pub ask_period: Duration,

    /// How far back demand counts.
    pub demand_window: Duration,

    /// Borrow once demand exceeds this part of the share.
    pub borrow_above: f64,

    /// Hold this many times the demand.
    pub demand_headroom: f64,

    /// Never lend this part of one's own fraction.
    pub reserve: f64,
}

impl Default for LimitShareSettings {
    fn default() -> Self {
        Self {
            home_nodes: 3,
            staleness_bound: Duration::from_secs(7),
            loan_window: Duration::from_secs(2),
            loan_margin: Duration::from_millis(200),
            ask_period: Duration::from_millis(500),
            demand_window: Duration::from_secs(4),
            borrow_above: 0.8,
            demand_headroom: 1.25,
            reserve: 0.1,
        }
    }
}

impl LimitShareSettings {
    /// How long after a change a fraction may still be in use under the configuration before it.
    fn handover(&self) -> Duration {
        self.staleness_bound + self.loan_window
    }
}

/// The first version of a cell's configuration.
const FIRST_VERSION: ConfigVersion = ConfigVersion(1);

/// One customer's limit at this node.
#[derive(Debug)]
struct LimitEntry {
    /// Over all nodes.
    limit: CustomerShare,

    /// The other homes.
    others: Vec<NodeId>,

    own: HomeFraction,
    taken: LoanBook,
    given: BTreeMap<NodeId, GivenLoan>,
    demand: DemandMeter,
    asked_at: Option<Instant>,
}

impl LimitEntry {
    /// The own fraction without what is lent.
    fn kept(&mut self, now: Instant) -> f64 {
        let lent: f64 = self.given.values_mut().map(|loan| loan.held(now)).sum();
        (self.own.at(now) - lent).max(0.0)
    }

    fn fraction(&mut self, now: Instant) -> f64 {
        self.kept(now) + self.taken.total(now)
    }
}

/// Splits customers' limits over their homes, and moves unused parts between these.
///
/// The homes of a customer are the first nodes of its rendezvous order over the roster. The sum of
/// the fractions in use never exceeds one, whoever is cut off from whom and while rosters differ:
///
/// - A node that becomes a home, or whose fraction grows, waits until no node can still use an older
///   configuration and every loan under that one has ended. A fraction that falls does so at once.
/// - A loan ends at the borrower, which counts from its question, before it ends at the lender,
///   which counts from its answer. Nothing has to arrive for a loan to end.
#[derive(Debug)]
pub struct LimitShare {
    settings: LimitShareSettings,
    node: NodeId,
    version: Option<ConfigVersion>,
    entries: BTreeMap<CustomerName, LimitEntry>,

    /// Since when versions have followed each other without a gap.
    seen_since: Option<Instant>,

    /// Whether they have done so since the first version of the cell. Nobody can then know of a
    /// customer that this node never saw.
    sees_all: bool,

    /// When customers were deleted, for as long as other nodes may still serve them.
    deleted: BTreeMap<CustomerName, Instant>,

    last_number: u64,
}

impl LimitShare {
    /// A node that holds no fraction yet.
    pub fn new(settings: LimitShareSettings, node: NodeId) -> Self {
        Self {
            settings,
            node,
            version: None,
            entries: BTreeMap::new(),
            seen_since: None,
            sees_all: false,
            deleted: BTreeMap::new(),
            last_number: 0,
        }
    }

    /// Takes in a version of the configuration: the nodes on the roster and all customers' limits.
    ///
    /// Called for each version in turn. After a gap the node may have lost and regained a place
    /// without knowing, so it gives up all fractions and waits anew.
    pub fn apply_config(
        &mut self,
        now: Instant,
        version: ConfigVersion,
        roster: &[NodeId],
        limits: &[(CustomerName, CustomerShare)],
    ) {
        let follows = match self.version {
            Some(known) => known == version || known.next() == version,
            None => version == FIRST_VERSION,
        };
        self.sees_all = follows && (self.sees_all || self.version.is_none());
        self.version = Some(version);
        if !follows {
            self.seen_since = Some(now);
        }
        self.delete_missing(now, limits);
        for (customer, limit) in limits {
            let wait = self.growth_wait(now, customer);
            let entry = self.entry(customer, *limit);
            if !follows {
                entry.own.reset();
            }
            self.apply_limit(now, roster, customer, wait);
        }
    }

    fn delete_missing(&mut self, now: Instant, limits: &[(CustomerName, CustomerShare)]) {
        let deleted = &mut self.deleted;
        self.entries.retain(|customer, _| {
            let kept = limits.iter().any(|(found, _)| found == customer);
            if !kept {
                deleted.insert(customer.clone(), now);
            }
            kept
        });
        let wait = self.settings.handover();
        deleted.retain(|_, at| now.saturating_duration_since(*at) < wait);
    }

    /// How long a larger fraction has to wait. A customer that is new, as far as anyone can still
    /// know, is in nobody's hands yet.
    fn growth_wait(&self, now: Instant, customer: &CustomerName) -> Duration {
        let wait = self.settings.handover();
        let seen_for = self.seen_since.map(|at| now.saturating_duration_since(at));
        let sees_all = self.sees_all || seen_for.is_some_and(|time| time >= wait);
        let is_new = !self.entries.contains_key(customer) && !self.deleted.contains_key(customer);
        if sees_all && is_new { Duration::ZERO } else { wait }
    }

    fn entry(&mut self, customer: &CustomerName, limit: CustomerShare) -> &mut LimitEntry {
        let demand_window = self.settings.demand_window;
        let entry = self.entries.entry(customer.clone()).or_insert_with(|| LimitEntry {
            limit,
            others: Vec::new(),
            own: HomeFraction::default(),
            taken: LoanBook::default(),
            given: BTreeMap::new(),
            demand: DemandMeter::new(demand_window),
            asked_at: None,
        });
        entry.limit = limit;
        entry
    }

    fn apply_limit(
        &mut self,
        now: Instant,
        roster: &[NodeId],
        customer: &CustomerName,
        wait: Duration,
    ) {
        let Some(entry) = self.entries.get_mut(customer) else { return };
        let homes = customer_homes(customer, roster, self.settings.home_nodes);
        let is_home = homes.contains(&&self.node);
        let target = if is_home { 1.0 / homes.len() as f64 } else { 0.0 };
        entry.others = homes.into_iter().filter(|home| **home != self.node).cloned().collect();
        entry.own.set(now, target, wait);
    }

    /// What this node may let through of a customer's requests now.
    pub fn share(&mut self, now: Instant, customer: &CustomerName) -> CustomerShare {
        let Some(entry) = self.entries.get_mut(customer) else {
            return CustomerShare { requests_per_second: 0.0, tokens_per_second: 0.0 };
        };
        let fraction = entry.fraction(now);
        CustomerShare {
            requests_per_second: entry.limit.requests_per_second * fraction,
            tokens_per_second: entry.limit.tokens_per_second * fraction,
        }
    }

    /// A request came, whether it is admitted or not.
    pub fn record_demand(&mut self, now: Instant, customer: &CustomerName, tokens: u32) {
        if let Some(entry) = self.entries.get_mut(customer) {
            entry.demand.record(now, f64::from(tokens));
        }
    }

    /// Questions to send now to other homes. Each is worth an answer only if it comes soon.
    pub fn questions(&mut self, now: Instant) -> Vec<(NodeId, ShareQuestion)> {
        let mut questions = Vec::new();
        for (customer, entry) in &mut self.entries {
            let period = self.settings.ask_period;
            let recent =
                entry.asked_at.is_some_and(|at| now.saturating_duration_since(at) < period);
            let demand = entry.demand.fraction(now, entry.limit);
            let kept = entry.kept(now);
            if recent || kept <= 0.0 || demand <= self.settings.borrow_above * kept {
                continue;
            }
            entry.asked_at = Some(now);
            let missing = demand * self.settings.demand_headroom - entry.fraction(now);
            let each = missing / entry.others.len().max(1) as f64;
            for lender in &entry.others {
                self.last_number += 1;
                let wanted = (entry.taken.from(now, lender) + each).clamp(0.0, 1.0);
                entry.taken.ask(now, lender, self.last_number);
                let question =
                    ShareQuestion { customer: customer.clone(), number: self.last_number, wanted };
                questions.push((lender.clone(), question));
            }
        }
        questions
    }

    /// Answers a question of another home.
    ///
    /// `config_is_fresh` says whether this node may use its configuration now. A node that may not
    /// lends nothing: others may hold its fraction by a configuration that it does not know.
    pub fn lend(
        &mut self,
        now: Instant,
        config_is_fresh: bool,
        borrower: &NodeId,
        question: &ShareQuestion,
    ) -> ShareAnswer {
        let lent = if config_is_fresh { self.lendable(now, borrower, question) } else { 0.0 };
        let until = now + self.settings.loan_window + self.settings.loan_margin;
        if let Some(entry) = self.entries.get_mut(&question.customer).filter(|_| lent > 0.0) {
            entry.given.entry(borrower.clone()).or_default().push(lent, until);
        }
        ShareAnswer { customer: question.customer.clone(), number: question.number, lent }
    }

    fn lendable(&mut self, now: Instant, borrower: &NodeId, question: &ShareQuestion) -> f64 {
        let Some(entry) = self.entries.get_mut(&question.customer) else { return 0.0 };
        if !entry.others.contains(borrower) || !question.wanted.is_finite() {
            return 0.0;
        }
        let demand = entry.demand.fraction(now, entry.limit) * self.settings.demand_headroom;
        let reserve = entry.own.at(now) * self.settings.reserve;
        let lent_to_others: f64 = entry
            .given
            .iter_mut()
            .filter(|(found, _)| *found != borrower)
            .map(|(_, loan)| loan.held(now))
            .sum();
        let unused = entry.own.at(now) - lent_to_others - demand.max(reserve);
        question.wanted.clamp(0.0, unused.max(0.0))
    }

    /// Takes in an answer to a question of this node.
    pub fn accept(&mut self, lender: &NodeId, answer: &ShareAnswer) {
        let window = self.settings.loan_window;
        if let Some(entry) = self.entries.get_mut(&answer.customer) {
            entry.taken.accept(lender, answer, window);
        }
    }
}
