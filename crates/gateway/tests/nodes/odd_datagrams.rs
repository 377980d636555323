//! Datagrams with extreme numbers, and with bytes that no node sent.

use std::{cell::Cell, rc::Rc};

use comfreyturn_gateway::ForwardAnswer;
use comfreyturn_ports::ServerReading;
use comfreyturn_proto::peer;
use comfreyturn_types::{RequestKind, StoreVersion};
use prost::Message;
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    plain_service::{listed, plain_config, plain_request},
    test_nodes::{TestNodes, address, name},
};

const NODES: u16 = 3;
const SERVERS: usize = 3;
const JOIN_MS: u64 = 6000;
const STEP_MS: u64 = 300;
const ANSWER_MS: u64 = 3000;

/// Time after which nodes that are not heard any more are forgotten, in milliseconds.
const FORGET_MS: u64 = 30_000;
const SEED: u64 = 20_261_205;
const MUTATED_DATAGRAMS: usize = 2000;

fn site() -> TestNodes {
    let mut nodes = TestNodes::first_start(NODES);
    let changes: Vec<_> = (0..SERVERS).map(|index| listed(&format!("s{index}"))).collect();
    let version = StoreVersion::first_era(5);
    for feeds in nodes.feeds.values() {
        feeds.put_config(plain_config(RequestKind::Idempotent));
        feeds.add_reading(ServerReading { is_whole: true, version, changes: changes.clone() });
    }
    nodes.run(JOIN_MS);
    nodes
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

/// The short hash by which nodes name a server.
fn tag(index: usize) -> u32 {
    let hash = xxh3_64(format!("s{index}@1").as_bytes()).to_le_bytes();
    u32::from_le_bytes([hash[0], hash[1], hash[2], hash[3]])
}

/// A datagram in which all numbers are this one, as far as they fit.
fn extreme_beat(sender: &str, number: u64, incarnation: u64, kind: peer::BeatKind) -> Vec<u8> {
    let short = u32::try_from(number).unwrap_or(u32::MAX);
    let tags: Vec<u32> = (0..SERVERS).map(tag).collect();
    let numbers = vec![short; SERVERS];
    let version = Some(peer::ListVersion { era: 1, number: 5 });
    let beat = peer::GatewayBeat {
        node: sender.to_owned(),
        incarnation: number,
        sequence: number,
        peer_address: "127.0.0.1:9".to_owned(),
        caller_address: "0.0.0.0:0".to_owned(),
        capacity: short,
        kind: kind.into(),
        ready: true,
        lease: number,
        config_age_ms: number,
        config_version: 1,
        list_version: version,
        list_age_ms: number,
        echo: Some(peer::BeatEcho { incarnation, sequence: number }),
        loads: Some(peer::ServerLoads {
            servers: tags.clone(),
            running: numbers.clone(),
            heard_age_ms: numbers.clone(),
            unread_tokens: numbers.clone(),
            pace_milli: numbers.clone(),
        }),
        limits: Some(peer::ServerLimits {
            servers: tags.clone(),
            // One that fits into 32 bits is a valid statement.
            limits: vec![number.max(1 << 33); SERVERS],
            ages_ms: numbers.clone(),
        }),
        cold_servers: Some(peer::ColdServers {
            servers: tags.clone(),
            left_ms: vec![0; SERVERS],
            ages_ms: numbers.clone(),
        }),
        refusals: Some(peer::ServerRefusals {
            servers: tags.clone(),
            ages_ms: numbers.clone(),
            answered: tags,
            answered_ages_ms: numbers,
        }),
        rates: vec![peer::ModelRates {
            model: String::new(),
            refused_milli: number,
            arrived_milli: number,
            waiting_milli: number,
            finished_milli: number,
        }],
        deaths: vec![peer::RequestDeath { fingerprint: number, death: number }],
        part_crashes: vec![peer::PartCrash { crash: number, age_ms: short, parts: vec![number] }],
        sound_parts: vec![peer::PartTime { part: number, age_ms: short, undecided: true }],
        unanswered_join_age_ms: u64::from(short),
        quarantined_requests: vec![peer::RequestTime { fingerprint: number, age_ms: short }],
        quarantined_parts: vec![peer::PartTime { part: number, age_ms: short, undecided: true }],
        list_request: Some(peer::ListRequest { complete: version, incarnation, position: number }),
        list_changes: Some(peer::ListChanges {
            incarnation: number,
            position: number,
            complete: version,
            has_hole: false,
            servers: Vec::new(),
        }),
        nodes: vec![peer::NodeStatus {
            incarnation: number,
            lease: number,
            capacity: short,
            ..Default::default()
        }],
        live_nodes: vec![short],
        unknown_nodes: vec![short],
        ..Default::default()
    };
    beat.encode_to_vec()
}

const KINDS: [peer::BeatKind; 3] =
    [peer::BeatKind::Member, peer::BeatKind::Relay, peer::BeatKind::Digest];

/// Guards against numbers of other nodes that overflow: sums of requests in flight, positions in
/// logs, ages.
#[test]
fn extreme_numbers_of_other_nodes_end_no_process() {
    for number in [u64::MAX, u64::MAX - 1, u64::from(u32::MAX), 1 << 63, 1] {
        let mut nodes = site();
        for to in 1..=NODES {
            for kind in KINDS {
                for sender in ["odd-1", "odd-2", "odd-3"] {
                    let sender = format!("{sender}-{kind:?}");
                    let bytes = extreme_beat(&sender, number, u64::from(to), kind);
                    nodes.net.deliver(address(to), bytes);
                }
            }
        }
        nodes.run(STEP_MS);
        // Ends with a line on the capacity of the service.
        for to in 1..=NODES {
            serves(&mut nodes, to);
        }
        nodes.run(FORGET_MS);
        for to in 1..=NODES {
            assert!(serves(&mut nodes, to), "node {to} after {number}");
        }
    }
}

/// Guards against bytes from the network that end the process: mutated datagrams and random ones.
#[test]
fn mutated_datagrams_end_no_process() {
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut nodes = site();
    for round in 0..MUTATED_DATAGRAMS {
        let kind = *KINDS.choose(&mut rng).unwrap();
        let number = rng.random::<u64>() >> rng.random_range(0..64);
        let mut bytes = extreme_beat(&format!("odd-{}", round % 5), number, 1, kind);
        match round % 4 {
            0 => bytes.truncate(rng.random_range(0..bytes.len())),
            1 => bytes = (0..rng.random_range(0..2000)).map(|_| rng.random()).collect(),
            _ => {
                for _ in 0..rng.random_range(1..20) {
                    let index = rng.random_range(0..bytes.len());
                    bytes[index] = rng.random();
                }
            }
        }
        nodes.net.deliver(address(1), bytes);
        if round % 100 == 0 {
            nodes.run(STEP_MS);
        }
    }
    nodes.run(FORGET_MS);
    assert!(serves(&mut nodes, 2));
}
