//! Which models get groups, and where weights are loaded in advance.

use std::collections::HashMap;

use comfreyturn_policy::FleetOrder;
use comfreyturn_ports::FleetAction;
use comfreyturn_types::{FabricDomain, FleetServer, MemberPhase, ModelName};

use crate::test_fleet::{TestFleet, model, server};

#[test]
fn loads_stay_within_the_rate_of_the_weight_store() {
    let servers = (0..60).map(|index| server(index, &[])).collect();
    let mut fleet = TestFleet::new(servers, vec![model("big", 4), model("small", 2)]);
    let mut stages = 0;
    for _ in 0..4 {
        let orders = fleet.orders();
        let stage = |order: &&FleetOrder| matches!(order.action, FleetAction::Stage { .. });
        let count = orders.iter().filter(stage).count();
        assert!(count <= 5, "{count} loads in a second");
        stages += count;
    }
    assert_eq!(stages, 7, "no more loads than run at full speed");
}

#[test]
fn models_get_groups_by_their_work() {
    let servers = (0..60).map(|index| server(index, &[])).collect();
    let mut fleet = TestFleet::new(servers, vec![model("big", 4), model("small", 2)]);
    fleet.before_traffic = true;
    fleet.work.insert(ModelName::from("small"), 0.5);
    fleet.settle();
    let mut counts: HashMap<String, usize> = HashMap::new();
    for life in fleet.in_phase(MemberPhase::Open) {
        let server = fleet.servers.iter().find(|server| server.life == life).unwrap();
        *counts.entry(server.model.clone().unwrap().to_string()).or_default() += 1;
    }
    let per_group = |name: &str, work: f64| work / counts[name] as f64;
    let (big, small) = (per_group("big", 1.0), per_group("small", 0.5));
    assert!(big / small < 1.5 && small / big < 1.5, "work of a group: {big}, {small}");
}

#[test]
fn last_spare_of_a_model_that_lacks_nothing_is_not_given_other_weights() {
    let mut servers: Vec<FleetServer> = (0..4).map(|index| server(index, &["big"])).collect();
    servers.push(server(4, &["big"]));
    servers.extend((5..7).map(|index| server(index, &["small"])));
    servers.push(server(7, &["small"]));
    let mut fleet = TestFleet::new(servers, vec![model("big", 4), model("small", 2)]);
    // The large model has all its groups; the small one is short of one.
    fleet.work.insert(ModelName::from("big"), 8.0);
    fleet.work.insert(ModelName::from("small"), 12.0);
    for _ in 0..8 {
        let orders = fleet.orders();
        let stages = orders.iter().any(|order| matches!(order.action, FleetAction::Stage { .. }));
        assert!(!stages, "the spare of the large model must stay available to repair its group");
        fleet.carry_out(&orders);
    }
    assert_eq!(fleet.in_phase(MemberPhase::Open).len(), 2);
}

/// A fabric domain of 19 servers without weights that serve models in groups of eight and four.
fn domain_of_nineteen() -> TestFleet {
    let mut servers: Vec<FleetServer> = (0..19).map(|index| server(index, &[])).collect();
    for server in &mut servers {
        server.fabric_domain = Some(FabricDomain::from("d0"));
    }
    let mut fleet = TestFleet::new(servers, vec![model("big", 8), model("small", 4)]);
    fleet.before_traffic = true;
    fleet
}

fn free(fleet: &TestFleet) -> Vec<&FleetServer> {
    fleet.servers.iter().filter(|server| server.membership.is_none()).collect()
}

#[test]
fn spares_load_weights_before_traffic_though_a_model_lacks_a_group_without_room() {
    let mut fleet = domain_of_nineteen();
    // The large model wants more groups than the domain can hold.
    fleet.work.insert(ModelName::from("big"), 100.0);
    for _ in 0..10 {
        fleet.settle();
    }
    let spares = free(&fleet);
    assert!(!spares.is_empty());
    let unstaged = spares.iter().filter(|server| server.staged.is_empty()).count();
    assert_eq!(unstaged, 0, "a spare without weights replaces nobody for 16 s");
}

#[test]
fn spares_hold_the_weights_of_the_groups_of_their_domain() {
    let mut fleet = domain_of_nineteen();
    fleet.work.insert(ModelName::from("big"), 100.0);
    for _ in 0..10 {
        fleet.settle();
    }
    let grouped = |name: &str| {
        let in_group = fleet.servers.iter().filter(|server| server.membership.is_some());
        in_group.filter(|server| server.model == Some(ModelName::from(name))).count()
    };
    let staged = |name: &str| {
        let spares = free(&fleet).into_iter();
        spares.filter(|server| server.staged.contains(&ModelName::from(name))).count()
    };
    for name in ["big", "small"] {
        assert!(grouped(name) == 0 || staged(name) > 0, "{name}: no spare for its groups");
        assert!(grouped(name) > 0 || staged(name) == 0, "{name}: a spare without groups");
    }
}

#[test]
fn room_beyond_the_spares_of_a_domain_serves_another_model() {
    let mut fleet = domain_of_nineteen();
    // Seven servers are left beside groups of eight: too few for another one.
    fleet.servers.truncate(15);
    fleet.work.insert(ModelName::from("big"), 100.0);
    for _ in 0..10 {
        fleet.settle();
    }
    assert_eq!(free(&fleet).len(), 3, "one group of eight, one of four, and spares");
}
