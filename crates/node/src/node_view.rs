//! The control state that requests use.

use std::{net::SocketAddr, rc::Rc, time::Instant};

use async_trait::async_trait;
use comfreyturn_control::{LimitController, NodeControl};
use comfreyturn_policy::{ConfigState, CustomerShare, WholeGroup, address_order};
use comfreyturn_ports::{PeerLink, PeerNotice, Step};
use comfreyturn_serving::{ServingView, VmRun};
use comfreyturn_types::{
    CustomerIntent, CustomerName, GroupGeneration, GroupId, Incarnation, NodeId, ServiceName, VmId,
    VmRecord, VmReport,
};
use futures_util::future::join_all;

/// Nodes that a customer's limit is split over, and that its callers try first.
pub const HOME_NODES: usize = 3;

/// Gives `comfreyturn_serving` access to the state that `comfreyturn_control` keeps.
pub struct NodeView {
    /// The node's control state.
    pub control: Rc<NodeControl>,

    /// Sends notices to other nodes.
    pub peers: Rc<dyn PeerLink>,

    /// This node's shares of customers' limits.
    pub limits: Rc<LimitController>,

    /// This node.
    pub node: NodeId,
}

impl NodeView {
    /// Addresses of nodes that are not leaving, in the order in which a customer of a service
    /// should use them.
    pub fn caller_addresses(
        &self,
        service: &ServiceName,
        customer: &CustomerName,
    ) -> Vec<SocketAddr> {
        let config = self.control.config();
        let members = &config.roster.current.members;
        address_order(service, customer, members.keys(), HOME_NODES)
            .into_iter()
            .filter(|node| !self.is_node_leaving(&config, node))
            .filter_map(|node| members.get(node))
            .map(|member| member.caller_address)
            .collect()
    }

    fn is_node_leaving(&self, config: &ConfigState, node: &NodeId) -> bool {
        if config.drained_nodes.contains(node) {
            return true;
        }
        if *node == self.node {
            return self.control.is_leaving();
        }
        self.control.is_peer_leaving(node)
    }

    fn own_address(&self) -> SocketAddr {
        self.control.member().caller_address
    }
}

#[async_trait(?Send)]
impl ServingView for NodeView {
    fn config(&self) -> Rc<ConfigState> {
        self.control.config()
    }

    fn may_admit(&self, now: Instant) -> bool {
        self.control.is_fresh(now)
    }

    fn is_leaving(&self) -> bool {
        self.control.is_leaving()
    }

    fn customer_share(&self, now: Instant, customer: &CustomerIntent) -> CustomerShare {
        self.limits.share(now, &customer.name)
    }

    fn record_demand(&self, now: Instant, customer: &CustomerName, tokens: u32) {
        self.limits.record_demand(now, customer, tokens);
    }

    fn whole_groups(&self, now: Instant, service: &ServiceName) -> Vec<WholeGroup> {
        self.control.whole_groups(now, service)
    }

    fn plain_backends(&self, now: Instant, service: &ServiceName) -> Vec<VmRecord> {
        self.control.plain_backends(now, service)
    }

    fn is_group_whole(&self, now: Instant, group: &GroupId, generation: GroupGeneration) -> bool {
        self.control.is_group_whole(now, group, generation)
    }

    fn vm_run(&self, vm: &VmId) -> Option<VmRun> {
        self.control.newest_report(vm).map(|report| vm_run(&report))
    }

    fn seen_since(&self, vm: &VmId, since: Instant) -> Option<VmRun> {
        self.control.report_since(vm, since).map(|report| vm_run(&report))
    }

    async fn probe(&self, vm: &VmId) -> Option<VmRun> {
        self.control.probe(vm).await;
        self.vm_run(vm)
    }

    fn report_lost(&self, _now: Instant, vm: &VmId) {
        self.control.report_lost(vm);
    }

    fn other_addresses(
        &self,
        _now: Instant,
        service: &ServiceName,
        customer: &CustomerName,
    ) -> Vec<SocketAddr> {
        let own = self.own_address();
        let mut addresses = self.caller_addresses(service, customer);
        addresses.retain(|address| *address != own);
        addresses
    }

    fn incarnation_gone(&self, incarnation: &Incarnation) -> bool {
        let config = self.control.config();
        let mut members = config.roster.current.members.values();
        !members.any(|member| member.incarnation == *incarnation)
    }

    async fn notify(&self, step: Step, notice: PeerNotice) {
        let config = self.control.config();
        let members = config.roster.current.members.values();
        let others = members.filter(|member| member.node != self.node);
        join_all(others.map(|member| self.peers.notify(step, member, notice.clone()))).await;
    }
}

fn vm_run(report: &VmReport) -> VmRun {
    VmRun { incarnation: report.incarnation, leaving: report.leaving }
}
