//! Loads above capacity, played with the room and with the baselines.

use std::collections::BTreeMap;

use comfreyturn_policy::WaitingRoomSettings;

use crate::{
    schemes::{HeldOrder, Scheme},
    simulation::{CAPACITY, Call, KINDS, Kind, SERVERS, arrivals, in_time, play},
};

const CUSTOMERS: usize = 12;

/// Rate of one kind and customer at which all together make `part` of the capacity.
fn even(part: f64) -> f64 {
    part * CAPACITY / (KINDS.len() * CUSTOMERS) as f64
}

fn schemes() -> Vec<(&'static str, Scheme)> {
    let early = WaitingRoomSettings { newest_late: false, ..WaitingRoomSettings::default() };
    vec![
        ("room", Scheme::room(WaitingRoomSettings::default())),
        ("room, earliest late first", Scheme::room(early)),
        ("refuse", Scheme::Refuse),
        ("arrival", Scheme::Hold(HeldOrder::Arrival, Vec::new())),
        ("priority", Scheme::Hold(HeldOrder::Priority, Vec::new())),
        ("deadline", Scheme::Hold(HeldOrder::Deadline, Vec::new())),
    ]
}

/// Plays a load with each scheme, and prints the shares served in time and at all.
fn compare(
    load: &str,
    calls: &[Call],
    servers: impl Fn(f64) -> usize,
) -> BTreeMap<&'static str, Vec<Call>> {
    let mut results = BTreeMap::new();
    for (name, scheme) in schemes() {
        let played = play(calls.to_vec(), scheme, &servers);
        let served = played.iter().filter(|call| call.first.is_some()).count();
        let kinds = (0..KINDS.len()).map(|kind| in_time(&played, |call| call.kind == kind));
        let kinds: Vec<_> = kinds.map(|share| format!("{share:.3}")).collect();
        println!(
            "{load}: {name:<26} in time {:.3} (by kind {}), served {:.3}",
            in_time(&played, |_| true),
            kinds.join(" "),
            served as f64 / played.len() as f64,
        );
        results.insert(name, played);
    }
    results
}

/// Checks that the room serves at least as many requests in time as each baseline, but for the
/// noise of one load and the small part of the places that late requests get; and more at all than
/// if it refused at once.
fn assert_best(results: &BTreeMap<&'static str, Vec<Call>>, is_counted: impl Fn(&Call) -> bool) {
    const NOISE: f64 = 0.02;
    let served = |name: &str| {
        let counted = results[name].iter().filter(|call| is_counted(call));
        counted.filter(|call| call.first.is_some()).count()
    };
    assert!(served("room") >= served("refuse"), "fewer are served than if refused at once");
    let own = in_time(&results["room"], &is_counted);
    for (name, calls) in results {
        let share = in_time(calls, &is_counted);
        assert!(own >= share - NOISE, "room {own:.3}, {name} {share:.3}");
    }
}

fn usual(_: &mut rand::rngs::Xoshiro256PlusPlus) -> f64 {
    1.0
}

/// (a) Guards against queues that make all requests late for long after a burst.
#[test]
fn requests_are_in_time_again_two_seconds_after_a_burst() {
    let rate = |at: f64, _, _| even(if (4.0..8.0).contains(&at) { 1.6 } else { 0.8 });
    let calls = arrivals(16.0, CUSTOMERS, usual, rate);
    let results = compare("burst", &calls, |_| SERVERS);
    let after = in_time(&results["room"], |call| (10.0..14.0).contains(&call.at));
    let before = in_time(&results["room"], |call| call.at < 4.0);
    println!("burst: in time before {before:.3}, from 2 s after {after:.3}");
    assert!(after >= before - 0.02, "{after:.3} in time after the burst, {before:.3} before");
    assert_best(&results, |_| true);
}

/// (b) Guards against a wave whose peak is just above capacity, and that leaves requests late.
#[test]
fn most_requests_are_in_time_at_the_peak_of_a_wave() {
    let rate = |at: f64, _, _| even(0.85 + 0.25 * (at / 20.0 * std::f64::consts::TAU).sin());
    let calls = arrivals(20.0, CUSTOMERS, usual, rate);
    let results = compare("wave", &calls, |_| SERVERS);
    assert_best(&results, |_| true);
}

/// (c) Guards against queues that build up while servers are lost.
#[test]
fn most_requests_are_in_time_while_a_quarter_of_the_servers_is_lost() {
    let calls = arrivals(15.0, CUSTOMERS, usual, |_, _, _| even(0.95));
    let lost = |at: f64| if (4.0..9.0).contains(&at) { SERVERS - 1 } else { SERVERS };
    let results = compare("loss", &calls, lost);
    let after = in_time(&results["room"], |call| (11.0..14.0).contains(&call.at));
    assert!(after >= 0.95, "{after:.3} in time from 2 s after the loss");
    assert_best(&results, |_| true);
}

/// (d) Guards against one kind of request that takes the places of the others.
#[test]
fn other_kinds_are_in_time_while_one_kind_bursts() {
    for (kind, Kind { name, .. }) in KINDS.iter().enumerate() {
        let rate = |at: f64, own: usize, _: usize| {
            even(0.7) * if own == kind && (4.0..8.0).contains(&at) { 4.0 } else { 1.0 }
        };
        let calls = arrivals(14.0, CUSTOMERS, usual, rate);
        let results = compare(&format!("burst of {name}"), &calls, |_| SERVERS);
        let others = |call: &Call| call.kind != kind;
        let own = in_time(&results["room"], others);
        println!("burst of {name}: others in time {own:.3}");
        assert_best(&results, |_| true);
        if kind > 0 {
            assert!(own >= 0.9, "{own:.3} of the others in time");
        }
    }
}

/// (e) Guards against one customer that takes the places of the others.
#[test]
fn other_customers_are_in_time_while_one_customer_bursts() {
    let rate = |at: f64, _: usize, customer: usize| {
        let bursts = customer == 0 && (4.0..8.0).contains(&at);
        even(0.7) * if bursts { 12.0 } else { 1.0 }
    };
    let calls = arrivals(14.0, CUSTOMERS, usual, rate);
    let results = compare("customer", &calls, |_| SERVERS);
    let others = |call: &Call| call.customer != 0;
    let own = in_time(&results["room"], others);
    println!("customer: others in time {own:.3}");
    assert_best(&results, others);
    assert!(own >= 0.9, "{own:.3} of the others in time");
}

/// (f) Guards against large requests that starve, or that make small ones late.
#[test]
fn requests_of_all_sizes_are_served() {
    let size = |rng: &mut rand::rngs::Xoshiro256PlusPlus| {
        use rand::RngExt as _;
        // 40 to 5,880 tokens: times from a fifth to three times the usual one.
        0.2 + 2.8 * rng.random::<f64>().powi(3)
    };
    let rate = |at: f64, _, _| even(if (4.0..8.0).contains(&at) { 1.7 } else { 0.9 });
    let calls = arrivals(14.0, CUSTOMERS, size, rate);
    let results = compare("sizes", &calls, |_| SERVERS);
    let room = &results["room"];
    let served = |is_large: bool| {
        let counted = room.iter().filter(|call| (call.size > 1.0) == is_large);
        let served = counted.clone().filter(|call| call.first.is_some()).count();
        served as f64 / counted.count() as f64
    };
    println!("sizes: served small {:.3}, large {:.3}", served(false), served(true));
    assert!(served(true) >= served(false) - 0.1);
    assert_best(&results, |_| true);
}
