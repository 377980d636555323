//! Servers whose entries are as long as entries may be.

use comfreyturn_ports::{ServerChange, ServerReading};
use comfreyturn_types::{GatewayConfig, ModelName, StoreVersion};

use crate::{
    plain_service::listed,
    test_nodes::{LARGE_NODES, TestNodes},
};

/// The small ones of these nodes get the list from the others.
const NODES: u16 = LARGE_NODES + 5;
const SERVERS: usize = 89;

/// Names in each entry, and bytes of each.
const NAMES: usize = 20;
const NAME_BYTES: usize = 200;

/// Time after which the nodes of a first start know each other, in milliseconds.
const JOIN_MS: u64 = 6000;

/// Time in which changes of all servers reach all nodes, in milliseconds.
const CHANGE_MS: u64 = 8000;

fn long_entry(index: usize) -> ServerChange {
    let ServerChange::Listed(mut server) = listed(&format!("s{index}")) else { unreachable!() };
    let name = |number| format!("{number:0NAME_BYTES$}");
    server.staged = (0..NAMES).map(|number| ModelName::from(name(number))).collect();
    ServerChange::Listed(server)
}

/// Guards against changes of the list that together do not fit into a datagram: it is never sent,
/// and the same one is assembled again and again, so that nodes stop following the list and hear
/// nothing else either.
#[test]
fn long_entries_reach_every_node() {
    let mut nodes = TestNodes::first_start(NODES);
    let config = GatewayConfig { version: 1, ..GatewayConfig::default() };
    nodes.feeds.values().for_each(|feeds| feeds.put_config(config.clone()));
    nodes.run(JOIN_MS);
    let version = StoreVersion::first_era(5);
    let changes = (0..SERVERS).map(long_entry).collect();
    let whole = ServerReading { is_whole: true, version, changes };
    (1..=LARGE_NODES).for_each(|number| nodes.feeds[&number].add_reading(whole.clone()));
    nodes.run(CHANGE_MS);
    let has_list = |number: &u16| nodes.gateways[number].list_version() == version;
    let lacking: Vec<u16> = (1..=NODES).filter(|number| !has_list(number)).collect();
    assert!(lacking.is_empty(), "nodes {lacking:?} of {NODES} lack the list");
}
