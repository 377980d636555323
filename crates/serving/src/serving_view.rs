//! What serving needs to know of the node's control state.

use std::{net::SocketAddr, rc::Rc, time::Instant};

use async_trait::async_trait;
use comfreyturn_policy::{ConfigState, CustomerShare, WholeGroup};
use comfreyturn_ports::{PeerNotice, Step};
use comfreyturn_types::{
    CustomerIntent, CustomerName, GroupGeneration, GroupId, Incarnation, ServiceName, VmId,
    VmRecord,
};

/// One run of a backend server, as its newest report named it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmRun {
    /// The run.
    pub incarnation: Incarnation,

    /// Whether it is leaving.
    pub leaving: bool,
}

/// The node's control state, as requests see it.
#[async_trait(?Send)]
pub trait ServingView {
    /// The configuration in force at this node.
    fn config(&self) -> Rc<ConfigState>;

    /// Whether the configuration is known to be fresh, so that new requests may be admitted.
    fn may_admit(&self, now: Instant) -> bool;

    /// Whether the node has announced that it is leaving. It goes on serving until
    /// [`crate::RequestService::drain`] has waited out the validity of its address.
    fn is_leaving(&self) -> bool;

    /// The share of a customer's limits that this node holds.
    fn customer_share(&self, now: Instant, customer: &CustomerIntent) -> CustomerShare;

    /// A request of a customer came that would cost this many tokens, whether it is admitted or
    /// not.
    fn record_demand(&self, _now: Instant, _customer: &CustomerName, _tokens: u32) {}

    /// The groups that may serve.
    fn whole_groups(&self, now: Instant, service: &ServiceName) -> Vec<WholeGroup>;

    /// The plain backend servers that may serve.
    fn plain_backends(&self, now: Instant, service: &ServiceName) -> Vec<VmRecord>;

    /// Whether every VM of this generation of a group is freshly known to hold its place, and none
    /// is leaving.
    fn is_group_whole(&self, now: Instant, group: &GroupId, generation: GroupGeneration) -> bool;

    /// The run of a backend server that its newest report named, however old that is.
    fn vm_run(&self, vm: &VmId) -> Option<VmRun>;

    /// Polls a backend server at once, and takes the report in as evidence. `None` if it gave none.
    async fn probe(&self, vm: &VmId) -> Option<VmRun>;

    /// The run of a backend server by evidence, own or relayed, of a poll that was sent after
    /// `since`. `None` if there is none.
    fn seen_since(&self, vm: &VmId, since: Instant) -> Option<VmRun>;

    /// A request found a backend server dead.
    fn report_lost(&self, now: Instant, vm: &VmId);

    /// Where else a caller can go, the preferred address first.
    fn other_addresses(
        &self,
        now: Instant,
        service: &ServiceName,
        customer: &CustomerName,
    ) -> Vec<SocketAddr>;

    /// Whether the roster no longer names this run of any node.
    fn incarnation_gone(&self, incarnation: &Incarnation) -> bool;

    /// Tells all peers. Completes once each of them took the notice in, or let a short timeout
    /// pass.
    async fn notify(&self, step: Step, notice: PeerNotice);
}
