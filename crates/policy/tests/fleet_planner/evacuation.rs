//! Groups in evacuated failure domains.

use std::time::{Duration, Instant};

use comfreyturn_policy::{FleetPlanner, FleetPlannerSettings};
use comfreyturn_types::{FailureDomain, MemberPhase, ModelName, ServerLife, StoreVersion};

use crate::test_fleet::{TestFleet, is_leave, model, server};

/// Servers of two failure domains, `a` and `b`. Four groups serve in each of them, and two servers
/// are spares.
fn fleet_of_two_domains() -> TestFleet {
    let servers = (0..20).map(|index| server(index, &["small"])).collect();
    let mut fleet = TestFleet::new(servers, vec![model("small", 2)]);
    fleet.work.insert(ModelName::from("small"), 60.0);
    for (index, server) in fleet.servers.iter_mut().enumerate() {
        server.failure_domain = FailureDomain::from(if index < 10 { "a" } else { "b" });
    }
    fleet.settle();
    assert_eq!((fleet.open_in("a"), fleet.open_in("b")), (4, 4));
    fleet
}

impl TestFleet {
    /// Number of groups that serve in a failure domain.
    fn open_in(&self, domain: &str) -> usize {
        let open = self.in_phase(MemberPhase::Open);
        open.iter().filter(|life| self.is_in(domain, life)).count()
    }

    fn is_in(&self, domain: &str, life: &ServerLife) -> bool {
        let server = self.servers.iter().find(|server| server.life == *life);
        server.is_some_and(|server| server.failure_domain.as_str() == domain)
    }

    fn evacuate(&mut self, number: u64, domains: &[&str]) {
        let domains = domains.iter().map(|name| FailureDomain::from(*name)).collect();
        self.evacuated.apply_reading(Instant::now(), StoreVersion::first_era(number), domains);
    }

    /// Plans for some time, with pauses in which forming groups time out. No order goes to domain
    /// `a`, and no group loses its row.
    fn settle_without_a(&mut self) {
        for _ in 0..8 {
            self.now += Duration::from_secs(3);
            let mut orders = self.plan_once();
            assert_eq!(self.planner.row_changes().1, []);
            orders.extend(self.orders());
            assert!(orders.iter().all(|order| !self.is_in("a", &order.life)), "{orders:?}");
            self.carry_out(&orders);
        }
    }
}

/// Guards against a planner that repairs, dissolves or uses servers in an evacuated domain, that
/// doesn't serve their demand elsewhere, or that gives their groups up when the evacuation ends.
#[test]
fn groups_in_an_evacuated_domain_stay_and_others_take_their_demand() {
    let mut fleet = fleet_of_two_domains();
    fleet.evacuate(1, &["a"]);
    fleet.lost.insert(fleet.servers[0].life.clone());
    fleet.settle_without_a();
    assert_eq!(fleet.open_in("b"), 5, "the spares serve too");
    fleet.lost.clear();
    fleet.evacuate(2, &[]);
    let orders = fleet.orders();
    assert!(!orders.iter().any(|order| fleet.is_in("a", &order.life)), "{orders:?}");
    assert_eq!(fleet.open_in("a"), 4, "they serve on at once");
}

/// Guards against a new lease holder that dissolves the groups of an evacuated domain, of which it
/// knows only rows, because their servers are off.
#[test]
fn new_planner_keeps_the_rows_of_groups_in_an_evacuated_domain() {
    let mut fleet = fleet_of_two_domains();
    let records = fleet.records();
    fleet.evacuate(1, &["a"]);
    fleet.planner = FleetPlanner::new(2, FleetPlannerSettings::default());
    fleet.planner.restore(fleet.now, records);
    let all = fleet.servers.clone();
    fleet.servers.retain(|server| server.failure_domain.as_str() != "a");
    fleet.settle_without_a();
    let away = all.into_iter().filter(|server| server.failure_domain.as_str() == "a");
    fleet.servers.extend(away);
    fleet.settle_without_a();
    fleet.evacuate(2, &[]);
    let orders = fleet.orders();
    assert!(!orders.iter().any(is_leave), "{orders:?}");
    assert_eq!(fleet.open_in("a"), 4);
}
