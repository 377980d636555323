//! The choice of groups when some are slow, failing, at capacity or reported late.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use comfreyturn_policy::{
    GroupRouter, LoadRouter, LoadRouterSettings, ReportedLoadRouter, RouteEnd, RouteQuery,
    WholeGroup,
};
use comfreyturn_types::{GroupGeneration, GroupId, VmLoad};

use crate::common::{group, groups};

mod common;

const MILLI: Duration = Duration::from_millis(1);

fn route(prefix: u64) -> RouteQuery {
    RouteQuery { customer: "acme".into(), prefix, prompt_tokens: 100, avoid: Vec::new() }
}

fn router() -> LoadRouter {
    LoadRouter::new(LoadRouterSettings::default(), 1)
}

/// Routes one request that gets its first token and ends after `latency`.
fn serve(
    router: &mut LoadRouter,
    now: Instant,
    prefix: u64,
    groups: &[WholeGroup],
    latency: impl Fn(&GroupId) -> Duration,
) -> GroupId {
    let chosen = router.choose(now, &route(prefix), groups).expect("a group has free capacity");
    router.started(now, &chosen, &route(prefix));
    let elapsed = latency(&chosen);
    router.first_token(now + elapsed, &chosen, elapsed);
    router.ended(now + elapsed, &chosen, RouteEnd::Finished);
    chosen
}

#[test]
fn no_group_is_chosen_only_if_all_are_at_capacity() {
    let now = Instant::now();
    let mut router = router();
    assert_eq!(router.choose(now, &route(1), &[]), None);
    let full = VmLoad { running: 16, queued: 4, capacity: 16, age: Duration::ZERO };
    let mut offered: Vec<_> = (0..4).map(|i| group(&format!("g{i}"), full, now)).collect();
    assert_eq!(router.choose(now, &route(1), &offered), None);
    offered[2].load.running = 15;
    offered[2].load.queued = 0;
    assert_eq!(router.choose(now, &route(1), &offered), Some("g2".into()));
}

#[test]
fn own_attempts_count_before_they_are_reported() {
    let now = Instant::now();
    let mut router = router();
    let offered = groups(2, now);
    for _ in 0..40 {
        let chosen = router.choose(now, &route(7), &offered).expect("40 fit");
        router.started(now, &chosen, &route(7));
    }
    assert_eq!(router.choose(now, &route(7), &offered), None);
}

#[test]
fn failed_groups_are_avoided_while_others_have_capacity() {
    let now = Instant::now();
    let mut router = router();
    let offered = groups(3, now);
    for prefix in 0..20 {
        let mut query = route(prefix);
        query.avoid = vec!["g0".into(), "g1".into()];
        assert_eq!(router.choose(now, &query, &offered), Some("g2".into()));
        query.avoid.push("g2".into());
        assert!(router.choose(now, &query, &offered).is_some());
    }
}

#[test]
fn prefix_stays_at_its_group_until_group_is_loaded() {
    let now = Instant::now();
    let mut router = router();
    let offered = groups(8, now);
    let served =
        |router: &mut LoadRouter, i: u32| serve(router, now + i * MILLI, 42, &offered, |_| MILLI);
    let chosen: HashSet<_> = (0..20).map(|i| served(&mut router, i)).collect();
    assert_eq!(chosen.len(), 1);
    // Many concurrent requests spread over the groups.
    let mut loads: HashMap<GroupId, u32> = HashMap::new();
    for _ in 0..64 {
        let chosen = router.choose(now, &route(42), &offered).expect("free capacity");
        router.started(now, &chosen, &route(42));
        *loads.entry(chosen).or_default() += 1;
    }
    assert!(loads.values().all(|load| *load <= 16), "{loads:?}");
    assert!(loads.len() >= 6, "{loads:?}");
}

#[test]
fn added_or_removed_group_moves_few_prefixes() {
    let now = Instant::now();
    let mut router = router();
    let nine = groups(9, now);
    let homes = |router: &mut LoadRouter, offered: &[WholeGroup]| -> Vec<GroupId> {
        (0..900).map(|p| router.choose(now, &route(p), offered).expect("free capacity")).collect()
    };
    let before = homes(&mut router, &nine);
    let after = homes(&mut router, &nine[..8]);
    let moved = before.iter().zip(&after).filter(|(a, b)| a != b).count();
    let held = before.iter().filter(|id| id.as_str() == "g8").count();
    assert_eq!(moved, held);
    assert!((50..150).contains(&held), "{held}");
}

#[test]
fn straggler_is_excluded_and_readmitted_by_probe() {
    let start = Instant::now();
    let mut router = router();
    let offered = groups(6, start);
    let straggler = GroupId::from("g3");
    let slow = |id: &GroupId| if *id == straggler { 2_000 * MILLI } else { 100 * MILLI };
    for i in 0..600 {
        serve(&mut router, start + i * 10 * MILLI, i.into(), &offered, slow);
    }
    assert!(router.is_excluded(&straggler));
    let chosen = |router: &mut LoadRouter, from: u32, latency: &dyn Fn(&GroupId) -> Duration| {
        (from..from + 1_000)
            .filter(|i| {
                let at = start + *i * 10 * MILLI;
                serve(router, at, u64::from(*i), &offered, latency) == straggler
            })
            .count()
    };
    // While the group is slow it gets only probes, at growing intervals, over twenty seconds.
    let probes = chosen(&mut router, 600, &slow) + chosen(&mut router, 1_600, &slow);
    assert!((1..=3).contains(&probes), "{probes} probes");
    assert!(router.is_excluded(&straggler));
    // Once the group has recovered, one successful probe readmits it.
    let recovered = |_: &GroupId| 100 * MILLI;
    chosen(&mut router, 2_600, &recovered);
    chosen(&mut router, 3_600, &recovered);
    assert!(!router.is_excluded(&straggler));
    let share = chosen(&mut router, 4_600, &recovered);
    assert!(share > 80, "{share} of 1000");
}

#[test]
fn hanging_group_is_excluded_without_any_first_token() {
    let start = Instant::now();
    let mut router = router();
    let offered = groups(6, start);
    let hung = GroupId::from("g2");
    let mut lost = 0;
    for i in 0..1_000_u32 {
        let now = start + i * 10 * MILLI;
        let chosen = router.choose(now, &route(i.into()), &offered).expect("free capacity");
        router.started(now, &chosen, &route(i.into()));
        if chosen == hung {
            lost += 1;
            continue;
        }
        router.first_token(now + 50 * MILLI, &chosen, 50 * MILLI);
        router.ended(now + 50 * MILLI, &chosen, RouteEnd::Finished);
    }
    assert!(router.is_excluded(&hung));
    assert!(lost < 25, "{lost} requests went to the group that hangs");
}

#[test]
fn fast_failing_group_attracts_no_requests() {
    let start = Instant::now();
    let mut router = router();
    let offered = groups(4, start);
    let failing: HashSet<GroupId> = ["g0".into(), "g1".into()].into();
    let mut failed = 0;
    for i in 0..1_000_u32 {
        let now = start + i * 10 * MILLI;
        let chosen = router.choose(now, &route(i.into()), &offered).expect("free capacity");
        router.started(now, &chosen, &route(i.into()));
        if failing.contains(&chosen) {
            failed += 1;
            router.ended(now + MILLI, &chosen, RouteEnd::Failed);
        } else {
            router.first_token(now + 50 * MILLI, &chosen, 50 * MILLI);
            router.ended(now + 50 * MILLI, &chosen, RouteEnd::Finished);
        }
    }
    assert!(failed < 15, "{failed} of 1000 went to groups that fail");
}

#[test]
fn only_group_serves_even_if_excluded() {
    let now = Instant::now();
    let mut router = router();
    let offered = groups(1, now);
    for _ in 0..10 {
        router.choose(now, &route(1), &offered).expect("free capacity");
        router.started(now, &"g0".into(), &route(1));
        router.ended(now, &"g0".into(), RouteEnd::Failed);
    }
    assert!(router.choose(now, &route(1), &offered).is_some());
}

#[test]
fn new_generation_ends_exclusion() {
    let now = Instant::now();
    let mut router = router();
    let mut offered = groups(2, now);
    for _ in 0..3 {
        router.choose(now, &route(1), &offered);
        router.started(now, &"g0".into(), &route(1));
        router.ended(now, &"g0".into(), RouteEnd::Failed);
    }
    router.choose(now, &route(1), &offered);
    assert!(router.is_excluded(&"g0".into()));
    offered[0].assignment.generation = GroupGeneration(2);
    router.choose(now, &route(1), &offered);
    assert!(!router.is_excluded(&"g0".into()));
}

#[test]
fn failures_of_earlier_generation_do_not_count() {
    let now = Instant::now();
    let mut router = router();
    let mut offered = groups(2, now);
    let fail = |router: &mut LoadRouter, offered: &[WholeGroup]| {
        router.choose(now, &route(1), offered);
        router.started(now, &"g0".into(), &route(1));
        router.ended(now, &"g0".into(), RouteEnd::Failed);
    };
    fail(&mut router, &offered);
    fail(&mut router, &offered);
    offered[0].assignment.generation = GroupGeneration(2);
    fail(&mut router, &offered);
    assert!(!router.is_excluded(&"g0".into()));
}

/// Number of requests that the most chosen group gets while the reports show one group as empty.
fn worst_share(routers: &mut [Box<dyn GroupRouter>]) -> usize {
    let now = Instant::now();
    let busy = VmLoad { running: 8, queued: 0, capacity: 64, age: Duration::ZERO };
    let mut offered: Vec<_> = (0..10).map(|i| group(&format!("g{i}"), busy, now)).collect();
    offered[4].load.running = 0;
    let mut counts: HashMap<GroupId, usize> = HashMap::new();
    for i in 0..200_u64 {
        let router = &mut routers[usize::try_from(i).unwrap() % 8];
        let at = now + Duration::from_secs(2);
        let chosen = router.choose(at, &route(i), &offered).expect("free capacity");
        router.started(at, &chosen, &route(i));
        *counts.entry(chosen).or_default() += 1;
    }
    counts.into_values().max().unwrap_or(0)
}

#[test]
fn nodes_do_not_herd_to_group_reported_empty() {
    let settings = LoadRouterSettings { affinity_groups: 0, ..Default::default() };
    let mut routers: Vec<Box<dyn GroupRouter>> = (0..8)
        .map(|seed| -> Box<dyn GroupRouter> { Box::new(LoadRouter::new(settings.clone(), seed)) })
        .collect();
    let worst = worst_share(&mut routers);
    assert!(worst <= 60, "{worst} of 200");
    let mut baseline: Vec<Box<dyn GroupRouter>> =
        (0..8).map(|_| -> Box<dyn GroupRouter> { Box::new(ReportedLoadRouter) }).collect();
    assert_eq!(worst_share(&mut baseline), 200);
}
