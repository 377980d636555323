//! Servers that say in their answers that they are leaving, while the list of servers does not.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use comfreyturn_types::NodeId;

use crate::{test_nodes::address, waiting_site::WaitingSite};

const SIZES: [u16; 2] = [7, 89];
const SLOTS: u32 = 16;
const EVENTS: u32 = 5;

/// Requests per second to each node, on the mean.
const NODE_RATE: f64 = 15.0;

/// Time in which nearly every node sends to the server.
const NEWS_TIME: Duration = Duration::from_secs(6);
const CHECK_TIME: Duration = Duration::from_secs(3);

/// Time from the arrival of a request until its node has the head of the answer.
const ANSWER_TIME: Duration = Duration::from_millis(60);

/// The server that leaves.
const LEAVING: usize = 0;

impl WaitingSite {
    /// Sends requests to all nodes.
    fn send_to_all(&mut self, size: u16, time: Duration) {
        let all: Vec<u16> = (1..=size).collect();
        self.send_for(time, NODE_RATE * f64::from(size), &all);
    }

    /// Requests that reached the leaving server over a node which had an answer of it.
    fn late_requests(&self, since: Instant) -> usize {
        let arrivals = self.nodes.servers.arrivals();
        let own = arrivals.iter().filter(|arrival| arrival.life == self.lives[LEAVING]);
        let mut told: HashMap<&NodeId, Instant> = HashMap::new();
        let mut late = 0;
        for arrival in own.filter(|arrival| arrival.at >= since) {
            let told_at = *told.entry(&arrival.seen).or_insert(arrival.at + ANSWER_TIME);
            late += usize::from(arrival.at > told_at);
        }
        late
    }

    fn says_that_it_leaves(&self, is_leaving: bool) -> Instant {
        self.nodes.servers.set_leaving(&self.lives[LEAVING], is_leaving);
        self.now()
    }
}

/// Guards against nodes that go on sending to a server which told them that it is leaving (DRAIN),
/// also through other nodes, and after answers that do not say so.
#[test]
fn server_that_is_leaving_gets_nothing_from_nodes_that_it_told() {
    for size in SIZES {
        let mut site = WaitingSite::started(size, SLOTS, EVENTS);
        site.nodes.servers.set_cut(&crate::test_nodes::name(1), address(1), true);
        site.send_to_all(size, CHECK_TIME);
        let since = site.says_that_it_leaves(true);
        site.send_to_all(size, NEWS_TIME);
        let late = site.late_requests(since);
        assert_eq!(late, 0, "{size} nodes");
        site.says_that_it_leaves(false);
        site.send_to_all(size, CHECK_TIME);
        assert_eq!(site.late_requests(since), 0, "{size} nodes: it does not come back");
    }
}

/// Guards against a notice that outlives the server: a new life under the same id is not leaving.
#[test]
fn new_life_of_a_server_that_left_gets_requests() {
    let mut site = WaitingSite::started(SIZES[0], SLOTS, EVENTS);
    site.says_that_it_leaves(true);
    site.send_to_all(SIZES[0], NEWS_TIME);
    site.replace(LEAVING);
    let replaced_at = site.now();
    site.send_to_all(SIZES[0], CHECK_TIME);
    let senders: HashSet<NodeId> = site.senders(LEAVING, replaced_at, site.now());
    assert!(!senders.is_empty());
}
