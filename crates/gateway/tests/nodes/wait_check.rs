//! Whether nodes left servers alone that asked them to wait, by what the servers saw.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use comfreyturn_standin::fakes::{AnsweringServers, ServerArrival, WaitAsked};
use comfreyturn_types::{NodeId, ServerLife};

/// Time after a server's answer in which requests that were on their way may still arrive.
const GRACE: Duration = Duration::from_millis(500);

/// Requests that may reach a server from a node within a wait, once the grace has passed.
const MOST_REQUESTS: usize = 2;

/// What servers got from nodes that they had asked to wait.
#[derive(Debug)]
pub struct WaitCheck {
    /// Answers by which a server asked a node to wait.
    pub asked: usize,

    /// Servers and nodes with at least one such answer.
    pub pairs: usize,

    /// Those of them with too many requests within one of the waits.
    pub broken: usize,

    /// The most requests within one wait, and the wait.
    pub most: usize,
    pub most_wait: Duration,
}

impl WaitCheck {
    /// Goes over each answer by which a server asked a node to wait, except nodes that were frozen,
    /// restarted or cut.
    pub fn of(servers: &AnsweringServers, excused: &HashSet<NodeId>) -> Self {
        let arrivals = by_pair(servers.arrivals());
        let asked = servers.asked();
        let mut check =
            Self { asked: 0, pairs: 0, broken: 0, most: 0, most_wait: Duration::default() };
        let (mut pairs, mut broken) = (HashSet::new(), HashSet::new());
        for WaitAsked { life, seen, at, wait } in asked {
            if excused.contains(&seen) {
                continue;
            }
            let pair = (life, seen);
            let got = arrivals.get(&pair).map_or(0, |times| count(times, at + GRACE, at + wait));
            check.asked += 1;
            if got > check.most {
                (check.most, check.most_wait) = (got, wait);
            }
            if got > MOST_REQUESTS {
                broken.insert(pair.clone());
            }
            pairs.insert(pair);
        }
        (check.pairs, check.broken) = (pairs.len(), broken.len());
        check
    }

    /// Whether servers asked for waits, and all of them were kept.
    pub fn is_good(&self) -> bool {
        self.asked > 0 && self.broken == 0
    }
}

impl std::fmt::Display for WaitCheck {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { asked, pairs, broken, most, most_wait } = self;
        write!(
            f,
            "{asked} answers with a wait, too many requests from {broken} of {pairs} servers and \
             nodes, at most {most} within a wait of {most_wait:?} (allowed {MOST_REQUESTS})"
        )
    }
}

/// The times of arrivals, in order, of each server and each node whose connection it saw.
fn by_pair(arrivals: Vec<ServerArrival>) -> HashMap<(ServerLife, NodeId), Vec<Instant>> {
    let mut pairs: HashMap<_, Vec<Instant>> = HashMap::new();
    for ServerArrival { life, seen, at, .. } in arrivals {
        pairs.entry((life, seen)).or_default().push(at);
    }
    pairs.values_mut().for_each(|times| times.sort());
    pairs
}

/// The number of times from `from` until `to`. `times` must be in ascending order.
fn count(times: &[Instant], from: Instant, to: Instant) -> usize {
    let before = |limit| times.partition_point(|at| *at < limit);
    before(to).saturating_sub(before(from))
}
