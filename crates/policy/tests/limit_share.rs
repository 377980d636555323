//! The sum of the rates that all nodes admit never exceeds a customer's limit: while rosters
//! differ, while nodes are isolated, and while questions and answers are delayed or lost.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use comfreyturn_policy::{
    CustomerShare, LimitShare, LimitShareSettings, ShareAnswer, ShareQuestion, customer_homes,
};
use comfreyturn_types::{ConfigVersion, CustomerName, NodeId};
use rand::{RngExt, SeedableRng, rngs::Xoshiro256PlusPlus};

const STEP: Duration = Duration::from_millis(50);
const SECOND: Duration = Duration::from_secs(1);
const LIMIT: CustomerShare =
    CustomerShare { requests_per_second: 100.0, tokens_per_second: 100_000.0 };
const NODES: usize = 6;

fn customer() -> CustomerName {
    "acme".into()
}

fn node(index: usize) -> NodeId {
    NodeId::from(format!("n{index}"))
}

/// A message in transit: sender, receiver and content.
enum LoanMessage {
    Question(NodeId, NodeId, ShareQuestion),
    Answer(NodeId, NodeId, ShareAnswer),
}

/// Nodes that apply configurations late and exchange loans over a lossy network.
struct ShareNetwork {
    rng: Xoshiro256PlusPlus,
    shares: BTreeMap<NodeId, LimitShare>,

    /// Rosters by version, and when each was accepted.
    rosters: Vec<(Instant, Vec<NodeId>)>,

    /// The newest version that each node has applied.
    applied: BTreeMap<NodeId, usize>,

    messages: Vec<(Instant, LoanMessage)>,

    /// The largest sum of fractions, and the largest fraction of one node.
    largest_sum: f64,
    largest_fraction: f64,
}

impl ShareNetwork {
    fn new(now: Instant, seed: u64, settings: &LimitShareSettings) -> Self {
        let share = |index| (node(index), LimitShare::new(settings.clone(), node(index)));
        let mut network = Self {
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            shares: (0..NODES).map(share).collect(),
            rosters: vec![(now, (0..NODES).map(node).collect())],
            applied: BTreeMap::new(),
            messages: Vec::new(),
            largest_sum: 0.0,
            largest_fraction: 0.0,
        };
        (0..NODES).for_each(|index| network.apply_version(now, &node(index), 0));
        network
    }

    fn apply_version(&mut self, now: Instant, node: &NodeId, version: usize) {
        let number = ConfigVersion(version as u64 + 1);
        let limits = [(customer(), LIMIT)];
        let roster = &self.rosters[version].1;
        let share = self.shares.get_mut(node).expect("every node has one");
        share.apply_config(now, number, roster, &limits);
        self.applied.insert(node.clone(), version);
    }

    /// Accepts a roster with one node more or fewer.
    fn change_roster(&mut self, now: Instant) {
        let mut roster: BTreeSet<NodeId> =
            self.rosters.last().expect("one at least").1.iter().cloned().collect();
        let changed = node(self.rng.random_range(0..NODES));
        if !roster.remove(&changed) || roster.len() < 2 {
            roster.insert(changed);
        }
        self.rosters.push((now, roster.into_iter().collect()));
    }

    /// Applies new versions at some nodes, one by one or with gaps. A node that falls behind the
    /// staleness bound does not admit requests.
    fn spread_config(&mut self, now: Instant) {
        for index in 0..NODES {
            let node = node(index);
            let applied = self.applied[&node];
            let newest = self.rosters.len() - 1;
            if applied == newest || !self.rng.random_bool(0.02) {
                continue;
            }
            let first = if self.rng.random_bool(0.2) { newest } else { applied + 1 };
            (first..=newest).for_each(|version| self.apply_version(now, &node, version));
        }
    }

    /// Whether a node admits requests: it has applied every version that was accepted longer ago
    /// than the staleness bound.
    fn admits(&self, now: Instant, node: &NodeId) -> bool {
        let next = self.applied[node] + 1;
        self.rosters.get(next).is_none_or(|(accepted, _)| now < *accepted + 7 * SECOND)
    }

    fn send(&mut self, now: Instant, message: LoanMessage) {
        if self.rng.random_bool(0.2) {
            return;
        }
        let slow = self.rng.random_bool(0.2);
        let delay = Duration::from_millis(self.rng.random_range(0..if slow { 4_000 } else { 20 }));
        self.messages.push((now + delay, message));
    }

    fn deliver(&mut self, now: Instant) {
        let (due, later) =
            std::mem::take(&mut self.messages).into_iter().partition(|(at, _)| *at <= now);
        self.messages = later;
        for (_, message) in due {
            match message {
                LoanMessage::Question(from, to, question) => {
                    let fresh = self.admits(now, &to);
                    let share = self.shares.get_mut(&to).expect("every node has one");
                    let answer = share.lend(now, fresh, &from, &question);
                    self.send(now, LoanMessage::Answer(to, from, answer));
                }
                LoanMessage::Answer(from, to, answer) => {
                    self.shares.get_mut(&to).expect("every node has one").accept(&from, &answer);
                }
            }
        }
    }

    fn send_questions(&mut self, now: Instant, busy: &NodeId) {
        for index in 0..NODES {
            let id = node(index);
            let share = self.shares.get_mut(&id).expect("every node has one");
            let requests = if id == *busy { 10 } else { u32::from(self.rng.random_bool(0.05)) };
            (0..requests).for_each(|_| share.record_demand(now, &customer(), 100));
            for (to, question) in share.questions(now) {
                self.send(now, LoanMessage::Question(id.clone(), to, question));
            }
        }
    }

    fn measure(&mut self, now: Instant) {
        let mut sum = 0.0;
        for index in 0..NODES {
            let node = node(index);
            if !self.admits(now, &node) {
                continue;
            }
            let share = self.shares.get_mut(&node).expect("every node has one");
            let fraction =
                share.share(now, &customer()).requests_per_second / LIMIT.requests_per_second;
            self.largest_fraction = self.largest_fraction.max(fraction);
            sum += fraction;
        }
        self.largest_sum = self.largest_sum.max(sum);
    }
}

/// Simulates three minutes with one seed, and returns the largest sum and the largest fraction.
fn run(seed: u64, settings: &LimitShareSettings) -> (f64, f64) {
    let start = Instant::now();
    let mut network = ShareNetwork::new(start, seed, settings);
    for step in 1..3_600 {
        let now = start + STEP * step;
        if step > 400 && network.rng.random_bool(0.008) {
            network.change_roster(now);
        }
        network.spread_config(now);
        network.deliver(now);
        let roster = network.rosters.last().expect("one at least").1.clone();
        let busy = customer_homes(&customer(), &roster, 3)[(step / 600) as usize % 2].clone();
        network.send_questions(now, &busy);
        network.measure(now);
    }
    (network.largest_sum, network.largest_fraction)
}

#[test]
fn sum_of_fractions_never_exceeds_limit() {
    for seed in 0..40 {
        let (sum, fraction) = run(seed, &LimitShareSettings::default());
        assert!(sum <= 1.0 + 1e-9, "seed {seed}: {sum}");
        assert!(fraction > 0.6, "seed {seed}: nothing was lent, {fraction}");
    }
}

#[test]
fn differing_rosters_exceed_limit_without_handover_wait() {
    let settings =
        LimitShareSettings { staleness_bound: Duration::ZERO, ..LimitShareSettings::default() };
    assert!((0..40).any(|seed| run(seed, &settings).0 > 1.2));
}

#[test]
fn node_with_stale_config_lends_nothing() {
    let mut lender = LimitShare::new(LimitShareSettings::default(), node(0));
    let start = Instant::now();
    apply(&mut lender, start, 1, &[node(0), node(1)]);
    let question = ShareQuestion { customer: customer(), number: 1, wanted: 0.3 };
    let now = start + 20 * SECOND;
    assert_eq!(lender.lend(now, false, &node(1), &question).lent, 0.0);
    assert!(lender.lend(now, true, &node(1), &question).lent > 0.2);
}

#[test]
fn node_without_fraction_does_not_renew_loan() {
    let mut lender = LimitShare::new(LimitShareSettings::default(), node(0));
    let start = Instant::now();
    apply(&mut lender, start, 1, &[node(0), node(1)]);
    let question = ShareQuestion { customer: customer(), number: 1, wanted: 0.3 };
    let now = start + 20 * SECOND;
    assert!(lender.lend(now, true, &node(1), &question).lent > 0.2);
    apply(&mut lender, now, 3, &[node(0), node(1)]);
    let question = ShareQuestion { number: 2, ..question };
    assert_eq!(lender.lend(now + SECOND, true, &node(1), &question).lent, 0.0);
}

#[test]
fn lender_that_reclaims_early_exceeds_limit() {
    let settings =
        LimitShareSettings { loan_margin: Duration::ZERO, ..LimitShareSettings::default() };
    let mut lender = LimitShare::new(settings.clone(), node(0));
    let longer_window = LimitShareSettings { loan_window: 4 * SECOND, ..settings };
    let mut borrower = LimitShare::new(longer_window, node(1));
    let start = Instant::now();
    let (sum_before, _) = lend_once(start, &mut lender, &mut borrower, Duration::ZERO);
    assert!(sum_before <= 1.0 + 1e-9);
    let late = start + 20 * SECOND + 3 * SECOND;
    assert!(sum_at(late, &mut lender, &mut borrower) > 1.2);
}

#[test]
fn loan_expires_at_borrower_before_lender_for_any_answer_delay() {
    for delay in [0, 100, 1_000, 1_900, 2_100, 10_000] {
        let mut lender = LimitShare::new(LimitShareSettings::default(), node(0));
        let mut borrower = LimitShare::new(LimitShareSettings::default(), node(1));
        let start = Instant::now();
        let delay = Duration::from_millis(delay);
        let (_, accepted_at) = lend_once(start, &mut lender, &mut borrower, delay);
        for step in 0..200 {
            let now = accepted_at + STEP * step;
            let sum = sum_at(now, &mut lender, &mut borrower);
            assert!(sum <= 1.0 + 1e-9, "{delay:?}, step {step}: {sum}");
        }
    }
}

#[test]
fn isolated_node_uses_own_fraction_only() {
    let start = Instant::now();
    let mut share = LimitShare::new(LimitShareSettings::default(), node(0));
    apply(&mut share, start, 7, &[node(0), node(1)]);
    assert!(share.share(start + 8 * SECOND, &customer()).requests_per_second < 1e-9);
    for step in 0..1_000 {
        let now = start + 9 * SECOND + STEP * step;
        (0..10).for_each(|_| share.record_demand(now, &customer(), 100));
        share.questions(now);
        let requests = share.share(now, &customer()).requests_per_second;
        assert!((requests - 50.0).abs() < 1e-9, "{requests}");
    }
}

#[test]
fn smaller_fraction_applies_at_once_and_larger_one_waits() {
    let start = Instant::now();
    let mut share = LimitShare::new(LimitShareSettings::default(), node(0));
    apply(&mut share, start, 1, &[node(0), node(1)]);
    let now = start + 20 * SECOND;
    apply(&mut share, now, 2, &[node(0), node(1), node(2)]);
    let requests = share.share(now, &customer()).requests_per_second;
    assert!((requests - 100.0 / 3.0).abs() < 1e-9, "{requests}");
    apply(&mut share, now, 3, &[node(0)]);
    let waiting = share.share(now + 8 * SECOND, &customer()).requests_per_second;
    assert!((waiting - 100.0 / 3.0).abs() < 1e-9, "{waiting}");
    let grown = share.share(now + 9 * SECOND, &customer()).requests_per_second;
    assert!((grown - 100.0).abs() < 1e-9, "{grown}");
}

#[test]
fn new_customer_is_served_at_once_and_recreated_one_waits() {
    let start = Instant::now();
    let mut share = LimitShare::new(LimitShareSettings::default(), node(0));
    let roster = [node(0), node(1)];
    share.apply_config(start, ConfigVersion(1), &roster, &[]);
    let now = start + 9 * SECOND;
    apply(&mut share, now, 2, &roster);
    assert!(share.share(now, &customer()).requests_per_second > 49.0);
    share.apply_config(now, ConfigVersion(3), &roster, &[]);
    apply(&mut share, now + SECOND, 4, &roster);
    assert!(share.share(now + 8 * SECOND, &customer()).requests_per_second < 1e-9);
    assert!(share.share(now + 10 * SECOND, &customer()).requests_per_second > 49.0);
}

#[test]
fn restarted_node_treats_no_customer_as_new() {
    let start = Instant::now();
    let mut share = LimitShare::new(LimitShareSettings::default(), node(0));
    let roster = [node(0), node(1)];
    share.apply_config(start, ConfigVersion(7), &roster, &[]);
    apply(&mut share, start + SECOND, 8, &roster);
    assert!(share.share(start + 9 * SECOND, &customer()).requests_per_second < 1e-9);
}

#[test]
fn node_waits_again_after_version_gap() {
    let start = Instant::now();
    let mut share = LimitShare::new(LimitShareSettings::default(), node(0));
    apply(&mut share, start, 1, &[node(0), node(1)]);
    let now = start + 20 * SECOND;
    apply(&mut share, now, 3, &[node(0), node(1)]);
    assert!(share.share(now, &customer()).requests_per_second < 1e-9);
    assert!(share.share(now + 9 * SECOND, &customer()).requests_per_second > 49.0);
}

fn apply(share: &mut LimitShare, now: Instant, version: u64, roster: &[NodeId]) {
    share.apply_config(now, ConfigVersion(version), roster, &[(customer(), LIMIT)]);
}

fn sum_at(now: Instant, lender: &mut LimitShare, borrower: &mut LimitShare) -> f64 {
    let sum = lender.share(now, &customer()).requests_per_second
        + borrower.share(now, &customer()).requests_per_second;
    sum / LIMIT.requests_per_second
}

/// Makes one loan whose answer is sent `delay` after the question. Returns the sum of fractions and
/// the time of the answer.
fn lend_once(
    start: Instant,
    lender: &mut LimitShare,
    borrower: &mut LimitShare,
    delay: Duration,
) -> (f64, Instant) {
    let roster = [node(0), node(1)];
    apply(lender, start, 1, &roster);
    apply(borrower, start, 1, &roster);
    let requested_at = start + 20 * SECOND;
    for step in 0..80 {
        let now = requested_at - STEP * (80 - step);
        (0..10).for_each(|_| borrower.record_demand(now, &customer(), 100));
    }
    let questions = borrower.questions(requested_at);
    let (to, question) = &questions[0];
    assert_eq!(*to, node(0));
    let now = requested_at + delay;
    let answer = lender.lend(now, true, &node(1), question);
    assert!(answer.lent > 0.2, "{answer:?}");
    borrower.accept(&node(0), &answer);
    (sum_at(now, lender, borrower), now)
}

#[test]
fn node_with_full_history_serves_new_customer_at_once() {
    let now = Instant::now();
    let roster = [node(0)];
    let mut share = LimitShare::new(LimitShareSettings::default(), node(0));
    share.apply_config(now, ConfigVersion(1), &roster, &[]);
    apply(&mut share, now, 2, &roster);
    assert_eq!(share.share(now, &customer()), LIMIT);
}
