//! The split of group slots over nodes follows demand and never exceeds the slots.

use std::time::{Duration, Instant};

use comfreyturn_policy::{CapacityShare, CapacityShareSettings};
use comfreyturn_types::VmLoad;

use crate::common::groups;

mod common;

const NODES: usize = 8;
const STEP: Duration = Duration::from_millis(250);

/// Delay of the load reports, in steps.
const LAG: usize = 10;

/// One in this many running requests ends in each step.
const SERVICE_STEPS: u32 = 20;

/// Simulates nodes that have requests for all their capacity while `busy`, and returns the number
/// of running requests of each node in each step.
fn run(steps: usize, busy: impl Fn(usize, usize) -> bool) -> Vec<[u32; NODES]> {
    let start = Instant::now();
    let mut shares: Vec<_> =
        (0..NODES).map(|_| CapacityShare::new(CapacityShareSettings::default())).collect();
    let mut history: Vec<[u32; NODES]> = vec![[0; NODES]];
    let mut running = [0_u32; NODES];
    for step in 1..steps {
        let now = start + STEP * u32::try_from(step).expect("few steps");
        let reported = step.saturating_sub(LAG);
        let reported_at = start + STEP * u32::try_from(reported).expect("few steps");
        let total: u32 = history[reported].iter().sum();
        let mut offered = groups(12, reported_at);
        offered[0].load = VmLoad { running: total, capacity: 16, ..Default::default() };
        for node in 0..NODES {
            let capacity = shares[node].capacity(now, &offered, running[node], NODES);
            running[node] -= running[node].div_ceil(SERVICE_STEPS);
            if busy(step, node) {
                running[node] = running[node].max(capacity);
            }
        }
        history.push(running);
    }
    history
}

#[test]
fn slots_are_not_oversubscribed_and_follow_demand() {
    let slots = 12 * 16;
    let history = run(1_200, |step, node| (step / 400 + 2) % NODES == node || node == 7);
    let most = history.iter().map(|running| running.iter().sum::<u32>()).max().expect("steps");
    assert!(most <= slots, "{most} of {slots}");
    for step in [399, 799, 1_199] {
        let busy = [(step / 400 + 2) % NODES, 7];
        let held: u32 = busy.iter().map(|node| history[step][*node]).sum();
        assert!(f64::from(held) > 0.65 * f64::from(slots), "step {step}: {:?}", history[step]);
        let least = busy.iter().map(|node| history[step][*node]).min().expect("two");
        assert!(f64::from(least) > 0.15 * f64::from(slots), "step {step}: {:?}", history[step]);
    }
}

#[test]
fn simultaneous_surge_at_all_nodes_stays_within_slots() {
    let history = run(400, |step, _| step > 100);
    let most = history.iter().map(|running| running.iter().sum::<u32>()).max().expect("steps");
    assert!(most <= 12 * 16, "{most}");
    let last = history.last().expect("steps");
    assert!(last.iter().all(|running| (14..=24).contains(running)), "{last:?}");
}

#[test]
fn capacity_is_zero_without_groups() {
    let mut share = CapacityShare::default();
    assert_eq!(share.capacity(Instant::now(), &[], 5, NODES), 0);
}
