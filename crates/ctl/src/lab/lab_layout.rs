//! Addresses and settings of the parts of a lab.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    ops::Range,
};

use comfreyturn_node::NodeSettings;
use comfreyturn_standin::{EngineSettings, PlainSettings};
use comfreyturn_types::{VmRecord, VmRole};

use crate::{CtlError, Result};

/// The sample configuration that a lab declares.
pub(crate) const SAMPLE_INTENT: &str = include_str!("../../../../examples/intent.yaml");

/// The plain service of the sample configuration.
const PLAIN_SERVICE: &str = "certificates";

const CELL: &str = "lab";
const FAILURE_DOMAINS: u32 = 3;

/// Two VMs for a group and one spare.
const ENGINES_PER_FABRIC: u32 = 3;

const PLAIN_SERVERS: u32 = 2;

/// Ports that a lab picks from, below the ephemeral ports.
const LAB_PORTS: Range<u16> = 10_000..30_000;

/// Sockets that each node listens on: callers, operators and peers.
const PORTS_PER_NODE: usize = 3;

/// The settings of all parts of a lab, with their addresses.
pub(crate) struct LabLayout {
    pub(crate) platform: SocketAddr,
    pub(crate) engines: Vec<(SocketAddr, EngineSettings)>,
    pub(crate) plain: Vec<(SocketAddr, PlainSettings)>,
    pub(crate) nodes: Vec<NodeSettings>,
}

impl LabLayout {
    /// Lays out a lab on free loopback ports.
    pub(crate) fn new(nodes: u32) -> Result<Self> {
        let engine_count = usize_of(FAILURE_DOMAINS * ENGINES_PER_FABRIC);
        let node_ports = usize_of(nodes) * PORTS_PER_NODE;
        let addresses = free_addresses(1 + engine_count + usize_of(PLAIN_SERVERS) + node_ports)?;
        let (platform, rest) = addresses.split_at(1);
        let platform = platform[0];
        let (engines, rest) = rest.split_at(engine_count);
        let (plain, ports) = rest.split_at(usize_of(PLAIN_SERVERS));
        let engines = (0..).zip(engines);
        let plain = (0..).zip(plain);
        let nodes = (0..).zip(ports.chunks_exact(PORTS_PER_NODE));
        Ok(Self {
            platform,
            engines: engines.map(|(index, address)| (*address, engine(index, platform))).collect(),
            plain: plain
                .map(|(index, address)| (*address, plain_server(index, platform)))
                .collect(),
            nodes: nodes.map(|(index, ports)| node(index, platform, ports)).collect(),
        })
    }

    /// The VMs of the nodes, as the platform lists them.
    pub(crate) fn entry_vms(&self) -> Vec<VmRecord> {
        let record = |node: &NodeSettings| VmRecord {
            vm: node.vm.clone(),
            role: VmRole::Entry,
            address: node.peer_address,
            failure_domain: node.failure_domain.clone(),
            fabric_domain: "fabric-entry".into(),
            leaving: false,
        };
        self.nodes.iter().map(record).collect()
    }

    /// The addresses of backend servers.
    pub(crate) fn backends(&self) -> Vec<SocketAddr> {
        let engines = self.engines.iter().map(|(address, _)| *address);
        engines.chain(self.plain.iter().map(|(address, _)| *address)).collect()
    }
}

fn engine(index: u32, platform: SocketAddr) -> EngineSettings {
    let domain = 1 + index / ENGINES_PER_FABRIC;
    EngineSettings {
        vm: format!("vm-engine-{}", index + 1).into(),
        failure_domain: format!("domain-{domain}").into(),
        fabric_domain: format!("fabric-{domain}").into(),
        platform: Some(platform),
        ..EngineSettings::default()
    }
}

fn plain_server(index: u32, platform: SocketAddr) -> PlainSettings {
    let domain = 1 + index % FAILURE_DOMAINS;
    PlainSettings {
        vm: format!("vm-plain-{}", index + 1).into(),
        service: PLAIN_SERVICE.into(),
        failure_domain: format!("domain-{domain}").into(),
        fabric_domain: format!("fabric-{domain}").into(),
        platform: Some(platform),
        ..PlainSettings::default()
    }
}

fn node(index: u32, platform: SocketAddr, ports: &[SocketAddr]) -> NodeSettings {
    NodeSettings {
        cell: CELL.into(),
        node: format!("node-{}", index + 1).into(),
        vm: format!("vm-node-{}", index + 1).into(),
        failure_domain: format!("domain-{}", 1 + index % FAILURE_DOMAINS).into(),
        caller_address: ports[0],
        operator_address: ports[1],
        peer_address: ports[2],
        platform_address: platform,
        ..NodeSettings::default()
    }
}

/// Loopback addresses that are not in use, beginning at a random port. They are below the ephemeral
/// ports, because an outgoing connection could take an ephemeral port before its server listens.
fn free_addresses(count: usize) -> Result<Vec<SocketAddr>> {
    let start = rand::random_range(LAB_PORTS);
    let ports = (start..LAB_PORTS.end).chain(LAB_PORTS.start..start);
    let listeners: Vec<TcpListener> = ports
        .filter_map(|port| TcpListener::bind((Ipv4Addr::LOCALHOST, port)).ok())
        .take(count)
        .collect();
    if listeners.len() < count {
        return Err(CtlError::NoFreePorts);
    }
    let addresses: Result<Vec<_>, _> = listeners.iter().map(TcpListener::local_addr).collect();
    Ok(addresses?)
}

fn usize_of(number: u32) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
