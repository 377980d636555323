//! Invariants that must hold at all times.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_control::{LimitController, NodeControl};
use comfreyturn_standin::fakes::FaultPlan;
use comfreyturn_types::{ConfigVersion, CustomerName, GroupAssignment, NodeId, VmId};

use super::{CUSTOMER, SERVICE};

/// How long after its acceptance a change may be unknown to a node that reports itself as fresh.
const FRESHNESS_LIMIT: Duration = Duration::from_millis(5100);

/// The rounding error that the sum of the shares may have.
const ROUNDING: f64 = 1e-9;

/// A paused node detects the pause with the first answer after it resumes. Checks skip the node for
/// this long.
const RESUME_GRACE: Duration = Duration::from_millis(2200);

/// Checks the invariants and collects violations.
#[derive(Default)]
pub struct InvariantCheck {
    /// Descriptions of the violations.
    pub violations: BTreeSet<String>,

    /// The highest version that each run of a node has had.
    versions: BTreeMap<(NodeId, usize), ConfigVersion>,

    /// Pauses, as detected by [`Self::sample`].
    pauses: PauseTracker,

    /// Pauses, as detected by [`Self::sample_limits`].
    limit_pauses: PauseTracker,
}

/// Tracks which nodes are paused or have resumed recently.
#[derive(Default)]
struct PauseTracker {
    /// The latest time on each node's clock, and when the node was last seen paused.
    nodes: BTreeMap<NodeId, (Instant, Duration)>,
}

impl InvariantCheck {
    /// Checks that the shares of a customer's limit that nodes may grant do not exceed the limit.
    pub fn sample_limits(
        &mut self,
        now: Duration,
        plan: &FaultPlan,
        limits: &BTreeMap<NodeId, Rc<LimitController>>,
        nodes: &BTreeMap<NodeId, Rc<NodeControl>>,
    ) {
        let mut sum = 0.0;
        let mut fractions = Vec::new();
        for (node, controller) in limits {
            let node_now = plan.clock(node).now();
            let config = nodes[node].config();
            let limit = config.customers.get(&CustomerName::from(CUSTOMER));
            let Some(limit) = limit.filter(|_| plan.is_alive(node)) else { continue };
            if !self.limit_pauses.is_running(now, node, node_now) {
                continue;
            }
            let share = controller.share(node_now, &CUSTOMER.into());
            let fraction = share.requests_per_second / f64::from(limit.requests_per_second);
            sum += fraction;
            fractions.push(format!("{node} {fraction:.3} of version {}", config.version));
        }
        if sum > 1.0 + ROUNDING {
            self.record(format!("limits granted {sum:.3} times: {}", fractions.join(", ")));
        }
    }

    /// Checks all nodes that are not paused.
    pub fn sample(
        &mut self,
        now: Duration,
        plan: &FaultPlan,
        nodes: &BTreeMap<NodeId, Rc<NodeControl>>,
        accepted: &[(ConfigVersion, Duration)],
    ) {
        let newest_due = accepted.iter().filter(|(_, at)| now > *at + FRESHNESS_LIMIT);
        let newest_due = newest_due.map(|(version, _)| *version).max().unwrap_or_default();
        let mut whole: BTreeMap<VmId, (NodeId, GroupAssignment)> = BTreeMap::new();
        for (node, control) in nodes {
            let node_now = plan.clock(node).now();
            self.check_version(node, control);
            if !plan.is_alive(node) || !self.pauses.is_running(now, node, node_now) {
                continue;
            }
            let version = control.config().version;
            if control.is_fresh(node_now) && version < newest_due {
                self.record(format!(
                    "{node} reports {version} as fresh, but {newest_due} is accepted"
                ));
            }
            for group in control.whole_groups(node_now, &SERVICE.into()) {
                self.check_group(&mut whole, node, &group.assignment);
            }
        }
    }

    fn check_version(&mut self, node: &NodeId, control: &Rc<NodeControl>) {
        let version = control.config().version;
        let run = (node.clone(), Rc::as_ptr(control) as usize);
        let highest = self.versions.entry(run).or_default();
        if version < *highest {
            let violation = format!("{node} went back from {highest} to {version}");
            self.violations.insert(violation);
        }
        *highest = version.max(*highest);
    }

    fn check_group(
        &mut self,
        whole: &mut BTreeMap<VmId, (NodeId, GroupAssignment)>,
        node: &NodeId,
        group: &GroupAssignment,
    ) {
        for vm in &group.members {
            let Some((other_node, other)) = whole.get(vm) else {
                whole.insert(vm.clone(), (node.clone(), group.clone()));
                continue;
            };
            if other.group != group.group || other.members != group.members {
                let violation = format!(
                    "{vm} is in {} {} at {other_node} and in {} {} at {node}",
                    other.group, other.generation, group.group, group.generation
                );
                self.record(violation);
            }
        }
    }

    fn record(&mut self, violation: String) {
        self.violations.insert(violation);
    }
}

impl PauseTracker {
    /// Whether a node is running, and has been for long enough to detect an earlier pause. The
    /// clock of a paused node does not advance.
    fn is_running(&mut self, now: Duration, node: &NodeId, node_now: Instant) -> bool {
        let (latest, since) = self.nodes.entry(node.clone()).or_insert((node_now, now));
        if node_now <= *latest && now != *since {
            *since = now;
            return false;
        }
        *latest = node_now;
        now >= *since + RESUME_GRACE
    }
}
