//! Schedule of VM losses.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::FleetPlan;

/// A loss of some VMs, including their state.
#[derive(Clone, Debug)]
pub struct FleetFault {
    /// Time of the loss, since the start.
    pub at: Duration,

    /// How long the VMs are down.
    pub away: Duration,

    /// The VMs, as indexes.
    pub vms: Vec<usize>,
}

/// Rates of losses.
#[derive(Clone, Copy, Debug)]
pub struct FaultRates {
    /// Failures per VM and day.
    pub failures: f64,

    /// Restarts and replacements per VM and day.
    pub restarts: f64,

    /// Losses per rack and day.
    pub racks: f64,

    /// Losses per failure domain and day.
    pub failure_domains: f64,
}

const FLEET_VMS: f64 = 11_000.0;
const FLEET_RACKS: f64 = 690.0;
const FLEET_FAILURE_DOMAINS: f64 = 23.0;
const HOUR: Duration = Duration::from_secs(3_600);
const DAY: Duration = Duration::from_secs(86_400);

impl Default for FaultRates {
    fn default() -> Self {
        Self {
            failures: 100.0 / FLEET_VMS,
            restarts: 3_900.0 / FLEET_VMS,
            racks: 1.0 / 7.0 / FLEET_RACKS,
            failure_domains: 1.5 / 365.0 / FLEET_FAILURE_DOMAINS,
        }
    }
}

impl FaultRates {
    /// Draws the faults of a replay of `length`, in order of time.
    pub fn draw(&self, plan: &FleetPlan, seed: u64, length: Duration) -> Vec<FleetFault> {
        let mut rng = StdRng::seed_from_u64(seed);
        let vms: Vec<Vec<usize>> = (0..plan.vms).map(|vm| vec![vm]).collect();
        let racks = plan.members(FleetPlan::rack_of);
        let failure_domains = plan.members(FleetPlan::failure_domain_of);
        let kinds = [
            (self.failures, &vms, 2.0 * 3_600.0..6.0 * 3_600.0),
            (self.restarts, &vms, 120.0..480.0),
            (self.racks, &racks, 1_800.0..5_400.0),
            (self.failure_domains, &failure_domains, 1_800.0..5_400.0),
        ];
        let mut faults = Vec::new();
        for (rate, scopes, away) in kinds {
            let mean = DAY.as_secs_f64() / (rate * scopes.len() as f64);
            let mut at = 0.0;
            loop {
                at -= mean * (1.0 - rng.random::<f64>()).ln();
                if at >= length.as_secs_f64() {
                    break;
                }
                let scope = rng.random_range(0..scopes.len());
                faults.push(FleetFault {
                    at: Duration::from_secs_f64(at),
                    away: Duration::from_secs_f64(rng.random_range(away.clone())),
                    vms: scopes[scope].clone(),
                });
            }
        }
        if let (Some(at), Some(vms)) = (plan.domain_loss_at, failure_domains.first()) {
            faults.push(FleetFault { at, away: HOUR, vms: vms.clone() });
        }
        faults.sort_by_key(|fault| fault.at);
        faults
    }
}
