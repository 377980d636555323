//! Parts of the rate limits that servers state, at fleets of up to 400 nodes.

use std::time::{Duration, Instant};

use comfreyturn_policy::{
    AnswerReceiver, KnownLimit, LimitStatement, SendPermit, SendQuotaSettings, SendQuotas,
    SenderRoster, StatedLimits,
};
use comfreyturn_types::{NodeId, RequestRate, ServerLife, VmId};
use rand::{RngExt, SeedableRng, rngs::Xoshiro256PlusPlus};

const SIZES: [usize; 4] = [7, 9, 89, 400];

/// Limits in thousandths of a request per second.
const LIMITS: [u32; 6] = [0, 200, 1400, 3500, 20_000, 500_000];

/// See the bound of the users: this many times the limit in a window, and some requests more.
const LIMIT_FACTOR: f64 = 1.5;
const LIMIT_SLACK: f64 = 5.0;
const WINDOW: Duration = Duration::from_secs(4);

const STEP: Duration = Duration::from_millis(20);

/// Steps between two changes of the nodes, and until a node may learn of one.
const CHANGE_STEPS: usize = 100;
const NEWS_STEPS: usize = 50;

const STEPS: usize = 1000;

/// Part of a limit that is used at least, when each of this number of nodes had to wait for its first
/// request.
const LEAST_USED: f64 = 0.7;
const FIRST_SENDERS: f64 = 2.0;

fn node_name(index: usize) -> NodeId {
    NodeId::from(format!("node-{index}"))
}

fn life() -> ServerLife {
    ServerLife { vm: VmId::from("s1"), born: 1 }
}

/// A node with its own view of the others.
struct LimitNode {
    index: usize,
    quotas: SendQuotas,
    roster: SenderRoster,
}

/// Nodes that join one after the other, each of which all others learn of at different times.
struct GrowingFleet {
    nodes: Vec<LimitNode>,
    rng: Xoshiro256PlusPlus,
    start: Instant,
}

impl GrowingFleet {
    fn new(size: usize, seed: u64) -> Self {
        let start = Instant::now();
        let mut fleet =
            Self { nodes: Vec::new(), rng: Xoshiro256PlusPlus::seed_from_u64(seed), start };
        (0..size).for_each(|_| fleet.join());
        fleet.spread_news(start, 1.0);
        fleet
    }

    fn join(&mut self) {
        let index = self.nodes.len();
        let quotas = SendQuotas::new(SendQuotaSettings::default(), node_name(index));
        self.nodes.push(LimitNode { index, quotas, roster: SenderRoster::default() });
    }

    /// Lets each node learn of all others with some probability.
    fn spread_news(&mut self, now: Instant, probability: f64) {
        let names: Vec<NodeId> = (0..self.nodes.len()).map(node_name).collect();
        for node in &mut self.nodes {
            if node.roster.is_empty() || self.rng.random_bool(probability) {
                let others = names.iter().filter(|name| **name != names[node.index]);
                node.roster.update(now, &names[node.index], others);
            }
        }
    }

    /// Requests in each step that were sent, if every node has a request in each step.
    fn run(&mut self, limit: RequestRate) -> Vec<usize> {
        let mut sent = Vec::new();
        for step in 0..STEPS {
            let now = self.start + STEP * u32::try_from(step).unwrap();
            if step % CHANGE_STEPS == 0 && step > 0 {
                self.join();
            }
            if step % NEWS_STEPS == NEWS_STEPS / 2 {
                self.spread_news(now, 0.7);
            }
            if step % CHANGE_STEPS == CHANGE_STEPS - 1 {
                self.spread_news(now, 1.0);
            }
            let known = KnownLimit { rate: limit, stated_at: now };
            let mut count = 0;
            for node in &mut self.nodes {
                let draw = self.rng.random();
                let permit = node.quotas.permit(now, &life(), known, &node.roster, draw);
                if permit == SendPermit::Quota {
                    node.quotas.record_send(now, &life());
                    count += 1;
                }
            }
            sent.push(count);
        }
        sent
    }
}

fn most_in_window(sent: &[usize]) -> usize {
    let steps = usize::try_from(WINDOW.as_millis() / STEP.as_millis()).unwrap();
    sent.windows(steps).map(|window| window.iter().sum()).max().unwrap()
}

/// Guards against a limit that all nodes together overrun while nodes join (LIMIT), and against one
/// that is kept by sending almost nothing.
#[test]
fn all_nodes_together_use_a_limit_and_stay_within_it_while_nodes_join() {
    for size in SIZES {
        for milli in LIMITS {
            let limit = RequestRate { milli };
            let sent = GrowingFleet::new(size, u64::from(milli)).run(limit);
            let allowed = LIMIT_FACTOR * limit.within(WINDOW) + LIMIT_SLACK;
            let most = most_in_window(&sent);
            assert!(most as f64 <= allowed, "{size} nodes, {limit} a second: {most} in a window");
            let taken = limit.within(STEP * u32::try_from(STEPS).unwrap());
            let used: usize = sent.iter().sum();
            let least = LEAST_USED * taken - FIRST_SENDERS;
            assert!(used as f64 >= least, "{size} nodes, {limit} a second: {used} of {taken}");
        }
    }
}

/// Guards against a limit that two parts of a fleet use twice when they lose each other.
#[test]
fn nodes_that_are_not_heard_keep_their_part() {
    let start = Instant::now();
    let names: Vec<NodeId> = (0..8).map(node_name).collect();
    let mut roster = SenderRoster::default();
    roster.update(start, &names[0], names[1..].iter());
    roster.update(start + Duration::from_secs(30), &names[0], names[1..4].iter());
    assert_eq!(roster.len(), 8, "a part of the nodes is heard");
    roster.update(start + Duration::from_secs(300), &names[0], [].iter());
    assert_eq!(roster.len(), 8, "nobody is heard");
    roster.update(start + Duration::from_secs(301), &names[0], names[1..4].iter());
    assert_eq!(roster.len(), 4, "nodes that are gone for long have no part any more");
}

#[test]
fn the_later_statement_counts_whoever_received_it() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let rate = Some(RequestRate { milli: 2000 });
    let mut limits = StatedLimits::default();
    let none = LimitStatement { rate: None, at: at(1) };
    assert!(!limits.record(&life(), none, AnswerReceiver::This), "it never had a limit");
    assert!(limits.record(&life(), LimitStatement { rate, at: at(2) }, AnswerReceiver::Other));
    assert!(!limits.record(&life(), none, AnswerReceiver::Other), "older news");
    assert_eq!(limits.limit(&life()).map(|limit| limit.rate), rate);
    assert!(limits.own_recent(at(2), Duration::from_secs(5)).is_empty(), "told by others");
    let ended = LimitStatement { rate: None, at: at(3) };
    assert!(limits.record(&life(), ended, AnswerReceiver::This));
    assert!(limits.limit(&life()).is_none());
    let own = limits.own_recent(at(4), Duration::from_secs(5));
    assert_eq!(own.get(&life()), Some(&ended), "the end of a limit is told as well");
    assert!(limits.own_recent(at(9), Duration::from_secs(5)).is_empty());
    limits.retain(at(9), Duration::from_secs(20), |_| false);
    limits.record(&life(), LimitStatement { rate, at: at(3) }, AnswerReceiver::Other);
    assert!(limits.limit(&life()).is_none(), "a server that drops out of the list is remembered");
}
