//! Splits a customer's limit over its home nodes.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use comfreyturn_types::{ConfigVersion, CustomerName, NodeId};

use crate::{
    CustomerShare, ShareAnswer, ShareQuestion, customer_homes,
    demand_meter::DemandMeter,
    home_fraction::HomeFraction,
    share_loan::{IssuedLoan, LoanTable},
};

/// Settings of a [`LimitShare`]. Invariant: the same at all nodes of a cell.
#[derive(Clone, Debug)]
pub struct LimitShareSettings {
    /// Number of nodes that a customer's limit is split over.
    pub home_nodes: usize,

    /// No node uses a configuration for longer than this after a newer one was accepted.
    pub staleness_bound: Duration,

    /// How long a loan may be used, counted from when the borrower sent its question.
    pub loan_window: Duration,

    /// The lender does not use the lent fraction until the loan window and this margin have passed
    /// since its answer. Covers clocks that run at different speeds.
    pub loan_margin: Duration,

    /// Interval between two questions to the same home.
    pub request_period: Duration,

    /// Length of the window over which demand is measured.
    pub demand_window: Duration,

    /// A node borrows once demand exceeds this part of the fraction that it has not lent.
    pub borrow_threshold: f64,

    /// A node borrows up to this many times its demand, and keeps as much of its own fraction when
    /// it lends.
    pub demand_headroom: f64,

    /// Part of its own fraction that a node never lends.
    pub reserve: f64,
}

impl Default for LimitShareSettings {
    fn default() -> Self {
        Self {
            home_nodes: 3,
            staleness_bound: Duration::from_secs(7),
            loan_window: Duration::from_secs(2),
            loan_margin: Duration::from_millis(200),
            request_period: Duration::from_millis(500),
            demand_window: Duration::from_secs(4),
            borrow_threshold: 0.8,
            demand_headroom: 1.25,
            reserve: 0.1,
        }
    }
}

impl LimitShareSettings {
    /// How long after a change a fraction may still be in use under the previous configuration.
    fn handover_time(&self) -> Duration {
        self.staleness_bound + self.loan_window
    }
}

/// The first version of a cell's configuration.
const FIRST_VERSION: ConfigVersion = ConfigVersion(1);

/// One customer's limit at this node.
#[derive(Debug)]
struct LimitEntry {
    /// The limit over all nodes.
    limit: CustomerShare,

    /// The other homes.
    others: Vec<NodeId>,

    own: HomeFraction,
    borrowed: LoanTable,
    issued: BTreeMap<NodeId, IssuedLoan>,
    demand: DemandMeter,

    /// When the last questions were sent to the other homes.
    questions_sent_at: Option<Instant>,
}

impl LimitEntry {
    /// The node's own fraction less what it has lent.
    fn unlent(&mut self, now: Instant) -> f64 {
        let lent: f64 = self.issued.values_mut().map(|loan| loan.outstanding(now)).sum();
        (self.own.at(now) - lent).max(0.0)
    }

    fn fraction(&mut self, now: Instant) -> f64 {
        self.unlent(now) + self.borrowed.total(now)
    }
}

/// Splits customers' limits over their homes, and lends unused parts between these.
///
/// The homes of a customer are the first nodes of its rendezvous order over the roster. The sum of
/// the fractions in use never exceeds one, also during network partitions and while rosters differ:
///
/// - A node that becomes a home, or whose fraction grows, waits until no node can still use an
///   older configuration and every loan under that one has ended. A smaller fraction applies at
///   once.
/// - A loan expires at the borrower, which counts from its question, before it expires at the
///   lender, which counts from its answer. No message is needed to end a loan.
#[derive(Debug)]
pub struct LimitShare {
    settings: LimitShareSettings,
    node: NodeId,
    version: Option<ConfigVersion>,
    entries: BTreeMap<CustomerName, LimitEntry>,

    /// The time since which configuration versions have been applied without a gap.
    contiguous_since: Option<Instant>,

    /// Whether all versions since the first one of the cell have been applied. A customer that this
    /// node has never seen is then new to all nodes.
    has_full_history: bool,

    /// When customers were deleted. Entries are kept while other nodes may still serve them.
    deleted: BTreeMap<CustomerName, Instant>,

    last_number: u64,
}

impl LimitShare {
    /// Creates the state of a node that holds no fraction yet.
    pub fn new(settings: LimitShareSettings, node: NodeId) -> Self {
        Self {
            settings,
            node,
            version: None,
            entries: BTreeMap::new(),
            contiguous_since: None,
            has_full_history: false,
            deleted: BTreeMap::new(),
            last_number: 0,
        }
    }

    /// Applies a version of the configuration: the nodes on the roster and all customers' limits.
    ///
    /// Called for each version in turn. If versions were skipped, the node may have stopped being a
    /// home and become one again in these, so it gives up all fractions and waits again.
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
        self.has_full_history = follows && (self.has_full_history || self.version.is_none());
        self.version = Some(version);
        if !follows {
            self.contiguous_since = Some(now);
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
            let exists = limits.iter().any(|(found, _)| found == customer);
            if !exists {
                deleted.insert(customer.clone(), now);
            }
            exists
        });
        let wait = self.settings.handover_time();
        deleted.retain(|_, at| now.saturating_duration_since(*at) < wait);
    }

    /// How long a larger fraction has to wait. There is no wait for a new customer that no other
    /// node can be serving yet.
    fn growth_wait(&self, now: Instant, customer: &CustomerName) -> Duration {
        let wait = self.settings.handover_time();
        let contiguous_for = self.contiguous_since.map(|at| now.saturating_duration_since(at));
        let has_full_history =
            self.has_full_history || contiguous_for.is_some_and(|time| time >= wait);
        let is_new = !self.entries.contains_key(customer) && !self.deleted.contains_key(customer);
        if has_full_history && is_new { Duration::ZERO } else { wait }
    }

    fn entry(&mut self, customer: &CustomerName, limit: CustomerShare) -> &mut LimitEntry {
        let demand_window = self.settings.demand_window;
        let entry = self.entries.entry(customer.clone()).or_insert_with(|| LimitEntry {
            limit,
            others: Vec::new(),
            own: HomeFraction::default(),
            borrowed: LoanTable::default(),
            issued: BTreeMap::new(),
            demand: DemandMeter::new(demand_window),
            questions_sent_at: None,
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

    /// The rates at which this node may admit a customer's requests now.
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

    /// Records a request as demand, whether it is admitted or not.
    pub fn record_demand(&mut self, now: Instant, customer: &CustomerName, tokens: u32) {
        if let Some(entry) = self.entries.get_mut(customer) {
            entry.demand.record(now, f64::from(tokens));
        }
    }

    /// The loan questions to send to other homes now. An answer is of use only within the loan
    /// window.
    pub fn questions(&mut self, now: Instant) -> Vec<(NodeId, ShareQuestion)> {
        let mut questions = Vec::new();
        for (customer, entry) in &mut self.entries {
            let period = self.settings.request_period;
            let recent = entry
                .questions_sent_at
                .is_some_and(|at| now.saturating_duration_since(at) < period);
            let demand = entry.demand.fraction(now, entry.limit);
            let unlent = entry.unlent(now);
            if recent || unlent <= 0.0 || demand <= self.settings.borrow_threshold * unlent {
                continue;
            }
            entry.questions_sent_at = Some(now);
            let missing = demand * self.settings.demand_headroom - entry.fraction(now);
            let each = missing / entry.others.len().max(1) as f64;
            for lender in &entry.others {
                self.last_number += 1;
                let wanted = (entry.borrowed.borrowed_from(now, lender) + each).clamp(0.0, 1.0);
                entry.borrowed.record_question(now, lender, self.last_number);
                let question =
                    ShareQuestion { customer: customer.clone(), number: self.last_number, wanted };
                questions.push((lender.clone(), question));
            }
        }
        questions
    }

    /// Answers a loan question of another home.
    ///
    /// `config_is_fresh` tells whether this node may use its configuration now. Otherwise it lends
    /// nothing: under a newer configuration, other nodes may hold its fraction.
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
            entry.issued.entry(borrower.clone()).or_default().push(lent, until);
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
            .issued
            .iter_mut()
            .filter(|(found, _)| *found != borrower)
            .map(|(_, loan)| loan.outstanding(now))
            .sum();
        let unused = entry.own.at(now) - lent_to_others - demand.max(reserve);
        question.wanted.clamp(0.0, unused.max(0.0))
    }

    /// Applies an answer to a question of this node.
    pub fn accept(&mut self, lender: &NodeId, answer: &ShareAnswer) {
        let window = self.settings.loan_window;
        if let Some(entry) = self.entries.get_mut(&answer.customer) {
            entry.borrowed.accept(lender, answer, window);
        }
    }
}
