//! The node's control state as the request service needs it.

use std::{net::SocketAddr, rc::Rc, time::Instant};

use async_trait::async_trait;
use comfreyturn_policy::{ConfigState, CustomerShare, WholeGroup};
use comfreyturn_ports::{PeerNotice, Step};
use comfreyturn_types::{
    CustomerIntent, CustomerName, GroupGeneration, GroupId, Incarnation, ServiceName, VmId,
    VmRecord,
};

/// One run of a backend server, as given in its newest report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmRun {
    /// The incarnation of the run.
    pub incarnation: Incarnation,

    /// Whether the backend server is leaving.
    pub leaving: bool,
}

/// Access to the node's control state.
#[async_trait(?Send)]
pub trait ServingView {
    /// The configuration in force at this node.
    fn config(&self) -> Rc<ConfigState>;

    /// Whether the configuration is known to be fresh, so that new requests may be admitted.
    fn may_admit(&self, now: Instant) -> bool;

    /// Whether the node has announced that it is leaving. It keeps serving until
    /// [`crate::RequestService::drain`] has waited out the validity of its address.
    fn is_leaving(&self) -> bool;

    /// The share of a customer's limits that this node holds.
    fn customer_share(&self, now: Instant, customer: &CustomerIntent) -> CustomerShare;

    /// Records a request of a customer that would cost this many tokens, whether or not it is
    /// admitted.
    fn record_demand(&self, _now: Instant, _customer: &CustomerName, _tokens: u32) {}

    /// The groups that may serve.
    fn whole_groups(&self, now: Instant, service: &ServiceName) -> Vec<WholeGroup>;

    /// The plain backend servers that may serve.
    fn plain_backends(&self, now: Instant, service: &ServiceName) -> Vec<VmRecord>;

    /// Whether recent evidence shows every VM of this generation of a group as its member, and none
    /// of them is leaving.
    fn is_group_whole(&self, now: Instant, group: &GroupId, generation: GroupGeneration) -> bool;

    /// The run of a backend server given in its newest report, however old that is.
    fn vm_run(&self, vm: &VmId) -> Option<VmRun>;

    /// Polls a backend server at once and records its report as evidence. `None` if it gave none.
    async fn probe(&self, vm: &VmId) -> Option<VmRun>;

    /// The run of a backend server according to a poll sent after `since` by this or another node.
    /// `None` if there is no such evidence.
    fn seen_since(&self, vm: &VmId, since: Instant) -> Option<VmRun>;

    /// Records that a request found a backend server unresponsive.
    fn report_lost(&self, now: Instant, vm: &VmId);

    /// Addresses of other nodes for a caller, the preferred one first.
    fn other_addresses(
        &self,
        now: Instant,
        service: &ServiceName,
        customer: &CustomerName,
    ) -> Vec<SocketAddr>;

    /// Whether no node on the roster has this incarnation.
    fn incarnation_gone(&self, incarnation: &Incarnation) -> bool;

    /// Sends a notice to all peers. Completes when each of them has accepted it or a short timeout
    /// has passed.
    async fn notify(&self, step: Step, notice: PeerNotice);
}
