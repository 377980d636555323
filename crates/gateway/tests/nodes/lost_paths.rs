//! Nodes that lost their paths to all servers, while callers and the other nodes still reach them.

use std::{cell::Cell, rc::Rc, time::Duration};

use comfreyturn_gateway::ForwardAnswer;
use comfreyturn_ports::ServerReading;
use comfreyturn_standin::fakes::FixedFeeds;
use comfreyturn_types::{RequestKind, ServerLife, StoreVersion, VmId};

use crate::{
    plain_service::{listed, plain_config, plain_request},
    test_nodes::{TestNodes, address, name},
};

const SIZES: [u16; 2] = [7, 89];

const SERVERS: usize = 9;

/// Pause between two requests, in milliseconds.
const REQUEST_PAUSE_MS: u64 = 10;

/// Time after which the nodes of a first start know each other and the servers, in milliseconds.
const JOIN_MS: u64 = 6000;

/// Time from the cut until its callers must be served, in milliseconds.
const SETTLING_MS: u64 = 3000;

/// Time in which requests are counted, in milliseconds.
const COUNTED_MS: u64 = 6000;

/// Time after which the last answer is there, in milliseconds.
const ANSWER_MS: u64 = 5000;

/// Callers of nodes without a path are served at least this many times as often as the others.
const LEAST_SHARE: f64 = 2.0 / 3.0;

fn fill(feeds: &FixedFeeds) {
    feeds.put_config(plain_config(RequestKind::Idempotent));
    let changes = (0..SERVERS).map(|index| listed(&format!("s{index}"))).collect();
    let version = StoreVersion::first_era(1);
    feeds.add_reading(ServerReading { is_whole: true, version, changes });
}

/// Requests that were sent and those that were served at the first try.
#[derive(Clone, Default)]
struct Tally {
    sent: Rc<Cell<u32>>,
    served: Rc<Cell<u32>>,
}

impl Tally {
    /// Sends a request to a node and counts it.
    fn send(&self, nodes: &TestNodes, number: u16) {
        let gateway = nodes.gateways[&number].clone();
        let request = plain_request(nodes.now(number));
        let Self { sent, served } = self.clone();
        sent.set(sent.get() + 1);
        nodes.plan.spawner(&name(number)).spawn(Box::pin(async move {
            if let ForwardAnswer::Whole { status, .. } = gateway.forward(request).await
                && status.is_success()
            {
                served.set(served.get() + 1);
            }
        }));
    }

    fn share(&self) -> f64 {
        f64::from(self.served.get()) / f64::from(self.sent.get().max(1))
    }
}

/// Guards against callers of nodes that lost their paths to all servers being served far worse than
/// the others (RECOVER).
#[test]
fn callers_of_nodes_without_a_path_to_servers_are_served_like_the_others() {
    for size in SIZES {
        for cut in [1, size / 3, size - 1] {
            let mut nodes = TestNodes::first_start(size);
            nodes.feeds.values().for_each(fill);
            nodes.run(JOIN_MS);
            (1..=cut)
                .for_each(|number| nodes.servers.set_cut(&name(number), address(number), true));
            let (cut_off, others) = (Tally::default(), Tally::default());
            for round in 0..(SETTLING_MS + COUNTED_MS) / REQUEST_PAUSE_MS {
                let is_counted = round * REQUEST_PAUSE_MS >= SETTLING_MS;
                let at_cut = 1 + u16::try_from(round % u64::from(cut)).unwrap();
                let rest = u64::from(size - cut);
                let at_other = 1 + cut + u16::try_from(round % rest).unwrap();
                for (tally, number) in [(&cut_off, at_cut), (&others, at_other)] {
                    let tally = if is_counted { tally.clone() } else { Tally::default() };
                    tally.send(&nodes, number);
                }
                nodes.run(REQUEST_PAUSE_MS);
            }
            nodes.run(ANSWER_MS);
            assert!(
                cut_off.share() >= LEAST_SHARE * others.share(),
                "{cut} of {size} nodes without a path: {:.2} of their requests are served, {:.2} of \
                 those of the others",
                cut_off.share(),
                others.share()
            );
        }
    }
}

/// Guards against a node that sends its requests through others although its paths work: all servers
/// of its streams are silent for a second, and go on.
#[test]
fn servers_that_fall_silent_and_go_on_do_not_make_a_node_lose_its_paths() {
    const SILENT_SERVERS: usize = 3;
    let mut nodes = TestNodes::first_start(SIZES[0]);
    for feeds in nodes.feeds.values() {
        feeds.put_config(plain_config(RequestKind::ResumableStream));
        let changes = (0..SILENT_SERVERS).map(|index| listed(&format!("s{index}"))).collect();
        let version = StoreVersion::first_era(1);
        feeds.add_reading(ServerReading { is_whole: true, version, changes });
    }
    nodes.servers.set_events(60);
    nodes.run(JOIN_MS);
    for _ in 0..SILENT_SERVERS {
        for number in 1..=SIZES[0] {
            nodes.send(number, plain_request(nodes.now(number)));
            nodes.run(REQUEST_PAUSE_MS);
        }
    }
    nodes.run(300);
    let until = nodes.now(1) + Duration::from_secs(1);
    for index in 0..SILENT_SERVERS {
        let life = ServerLife { vm: VmId::from(format!("s{index}")), born: 1 };
        nodes.servers.freeze(&life, until);
    }
    nodes.run(1200);
    let before = nodes.servers.arrivals().len();
    for number in 1..=SIZES[0] {
        nodes.send(number, plain_request(nodes.now(number)));
    }
    nodes.run(500);
    let arrivals = nodes.servers.arrivals().split_off(before);
    assert_eq!(arrivals.len(), usize::from(SIZES[0]));
    let helped = arrivals.iter().filter(|arrival| arrival.seen != arrival.node).count();
    assert_eq!(helped, 0, "requests that went through another node");
}
