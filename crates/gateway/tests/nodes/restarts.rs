//! Nodes that start again under the same name.

use std::{cell::Cell, rc::Rc};

use comfreyturn_gateway::ForwardAnswer;
use comfreyturn_ports::{ServerChange, ServerReading};
use comfreyturn_types::{RequestKind, StoreVersion, VmId};

use crate::{
    plain_service::{listed, plain_config, plain_request},
    test_nodes::{TestNodes, name},
};

const NODES: u16 = 7;
const SERVERS: usize = 60;

/// Time after which the nodes of a first start know each other and the servers, in milliseconds.
const JOIN_MS: u64 = 6000;

/// Time for which the process of a node is gone, in milliseconds. The others do not notice.
const ABSENCE_MS: u64 = 600;

/// Time after which a node that started must know the servers, in milliseconds.
const LIST_MS: u64 = 1500;

/// Time in which a request is answered, in milliseconds.
const ANSWER_MS: u64 = 3000;

fn whole_list(version: u64) -> ServerReading {
    let changes = (0..SERVERS).map(|index| listed(&format!("s{index}"))).collect();
    ServerReading { is_whole: true, version: StoreVersion::first_era(version), changes }
}

/// Whether a node has a request run.
fn serves(nodes: &mut TestNodes, number: u16) -> bool {
    let gateway = nodes.gateways[&number].clone();
    let request = plain_request(nodes.now(number));
    let is_run = Rc::new(Cell::new(false));
    let outcome = is_run.clone();
    nodes.plan.spawner(&name(number)).spawn(Box::pin(async move {
        let answer = gateway.forward(request).await;
        outcome.set(!matches!(answer, ForwardAnswer::NotRun { .. }));
    }));
    nodes.run(ANSWER_MS);
    is_run.get()
}

/// Guards against changes of the list that are sent to a node for the list that its last process
/// had: the new one takes them for the whole list, and knows no other server.
#[test]
fn node_that_starts_again_knows_all_servers_while_the_list_changes() {
    let mut empty = Vec::new();
    for number in 1..=NODES {
        let mut nodes = TestNodes::first_start(NODES);
        for feeds in nodes.feeds.values() {
            feeds.put_config(plain_config(RequestKind::OneTimeStream));
            feeds.add_reading(whole_list(5));
        }
        nodes.run(JOIN_MS);
        nodes.plan.kill(&name(number));
        // A server leaves the list meanwhile.
        let version = StoreVersion::first_era(9);
        let left = ServerChange::Dropped(VmId::from("s0"));
        let change = ServerReading { is_whole: false, version, changes: vec![left] };
        nodes.feeds.values().for_each(|feeds| feeds.add_reading(change.clone()));
        nodes.run(ABSENCE_MS);
        nodes.start(number);
        let feeds = &nodes.feeds[&number];
        feeds.put_config(plain_config(RequestKind::OneTimeStream));
        feeds.add_reading(whole_list(9));
        nodes.run(LIST_MS);
        if !serves(&mut nodes, number) {
            empty.push(number);
        }
    }
    assert!(empty.is_empty(), "nodes {empty:?} of {NODES} know no server after their start");
}
