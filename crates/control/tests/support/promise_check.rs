//! What must hold at every moment.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_control::{LimitController, NodeControl};
use comfreyturn_standin::fakes::FaultPlan;
use comfreyturn_types::{ConfigVersion, CustomerName, GroupAssignment, NodeId, VmId};

use super::{CUSTOMER, SERVICE};

/// How long after its acceptance a change may be unknown to a node that calls itself fresh.
const FRESHNESS_LIMIT: Duration = Duration::from_millis(5100);

/// Sums of fractions are exact up to this.
const ROUNDING: f64 = 1e-9;

/// A node whose clock stood still learns so from the first answer after its wake.
const WAKE_GRACE: Duration = Duration::from_millis(2200);

/// Watches promises.
#[derive(Default)]
pub struct PromiseCheck {
    /// What was broken.
    pub violations: BTreeSet<String>,

    /// The highest version that each run of a node had.
    versions: BTreeMap<(NodeId, usize), ConfigVersion>,

    /// The latest time that each node was seen at, and since when it runs.
    seen: WakeWatch,

    /// The same, at the checks of limits.
    stood_still: WakeWatch,
}

/// Knows which nodes stood still a short time ago.
#[derive(Default)]
struct WakeWatch {
    nodes: BTreeMap<NodeId, (Instant, Duration)>,
}

impl PromiseCheck {
    /// Checks that the parts of a customer's limit that nodes grant are no more than the whole.
    pub fn sample_limits(
        &mut self,
        now: Duration,
        plan: &FaultPlan,
        desks: &BTreeMap<NodeId, Rc<LimitController>>,
        nodes: &BTreeMap<NodeId, Rc<NodeControl>>,
    ) {
        let mut whole = 0.0;
        let mut parts = Vec::new();
        for (node, desk) in desks {
            let node_now = plan.clock(node).now();
            let config = nodes[node].config();
            let limit = config.customers.get(&CustomerName::from(CUSTOMER));
            let Some(limit) = limit.filter(|_| plan.is_alive(node)) else { continue };
            if !self.stood_still.runs(now, node, node_now) {
                continue;
            }
            let share = desk.share(node_now, &CUSTOMER.into());
            let part = share.requests_per_second / f64::from(limit.requests_per_second);
            whole += part;
            parts.push(format!("{node} {part:.3} of version {}", config.version));
        }
        if whole > 1.0 + ROUNDING {
            self.note(format!("limits granted {whole:.3} times: {}", parts.join(", ")));
        }
    }

    /// Checks all nodes that run.
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
            if !plan.is_alive(node) || !self.seen.runs(now, node, node_now) {
                continue;
            }
            let version = control.config().version;
            if control.is_fresh(node_now) && version < newest_due {
                self.note(format!("{node} calls {version} fresh, but {newest_due} is accepted"));
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
                self.note(violation);
            }
        }
    }

    fn note(&mut self, violation: String) {
        self.violations.insert(violation);
    }
}

impl WakeWatch {
    /// Whether a node runs, and has done so for long enough to know that it had stood still. The
    /// time of a node that stands still lies behind.
    fn runs(&mut self, now: Duration, node: &NodeId, node_now: Instant) -> bool {
        let (latest, since) = self.nodes.entry(node.clone()).or_insert((node_now, now));
        if node_now <= *latest && now != *since {
            *since = now;
            return false;
        }
        *latest = node_now;
        now >= *since + WAKE_GRACE
    }
}
