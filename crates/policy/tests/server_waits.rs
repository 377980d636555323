//! Servers that ask this node to wait.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use comfreyturn_policy::{ServerWaits, WaitSettings};
use comfreyturn_types::{ServerLife, VmId};
use rand::{RngExt, SeedableRng, rngs::Xoshiro256PlusPlus};

/// The users' bound: of the requests that reach a server between this time after it asked for a wait
/// and the end of the wait, this many are allowed.
const SLACK: Duration = Duration::from_millis(500);
const ALLOWED: usize = 2;

/// The longest time from the sending of a request until the server gets it.
const LONGEST_WAY: Duration = Duration::from_millis(400);

const SEEDS: u64 = 50;
const STEPS: u32 = 4000;

fn life(number: u32, born: u64) -> ServerLife {
    ServerLife { vm: VmId::from(format!("s{number}")), born }
}

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Guards against a server that gets requests of a node which it asked to wait (BUDGET), whatever
/// answers arrive in between and however long requests are under way.
#[test]
fn server_that_asked_for_a_wait_gets_at_most_two_requests() {
    for seed in 0..SEEDS {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let mut waits = ServerWaits::new(WaitSettings::default());
        let mut now = Instant::now();
        let mut asked: HashMap<ServerLife, Vec<(Instant, Instant)>> = HashMap::new();
        let mut arrivals: HashMap<ServerLife, Vec<Instant>> = HashMap::new();
        for _ in 0..STEPS {
            now += ms(rng.random_range(0..40));
            let server = life(rng.random_range(0..4), rng.random_range(0..2));
            match rng.random_range(0..10) {
                0 => {
                    let wait = ms(rng.random_range(0..10_000));
                    waits.record_wait(now, &server, wait);
                    asked.entry(server).or_default().push((now, now + wait));
                }
                1 => waits.record_answer(now, &server),
                _ if waits.permits(now, &server) => {
                    waits.record_send(now, &server);
                    let way = LONGEST_WAY.mul_f64(rng.random());
                    arrivals.entry(server).or_default().push(now + way);
                }
                _ => {}
            }
        }
        for (server, spans) in &asked {
            for (from, to) in spans {
                let late = arrivals.get(server).into_iter().flatten();
                let late = late.filter(|at| **at > *from + SLACK && **at < *to).count();
                assert!(late <= ALLOWED, "seed {seed}: {server} got {late}");
            }
        }
    }
}

#[test]
fn wait_holds_for_one_lifetime_only() {
    let mut waits = ServerWaits::default();
    let now = Instant::now();
    waits.record_wait(now, &life(1, 1), ms(3000));
    assert!(!waits.permits(now, &life(1, 1)));
    assert!(waits.permits(now, &life(1, 2)), "it restarted");
    assert!(waits.permits(now, &life(2, 1)), "another server");
}

/// Guards against a shorter wait, or a late answer, that ends one which is in force.
#[test]
fn longest_wait_stays_in_force() {
    let mut waits = ServerWaits::default();
    let now = Instant::now();
    waits.record_wait(now, &life(1, 1), ms(3000));
    waits.record_wait(now + ms(10), &life(1, 1), ms(100));
    waits.record_answer(now + ms(200), &life(1, 1));
    assert!(!waits.permits(now + ms(2999), &life(1, 1)));
    assert!(waits.permits(now + ms(3000), &life(1, 1)));
}

/// Guards against all that was held back reaching a server at once when its wait ends.
#[test]
fn server_is_tried_before_it_gets_all_requests() {
    let settings = WaitSettings::default();
    let mut waits = ServerWaits::new(settings);
    let (start, server) = (Instant::now(), life(1, 1));
    waits.record_wait(start, &server, ms(1000));
    let end = start + ms(1000);
    waits.record_send(end, &server);
    assert!(!waits.permits(end + ms(1), &server));
    assert_eq!(waits.time_to_next(end, &server), settings.trial_pause);
    assert!(waits.permits(end + settings.trial_pause, &server));
    waits.record_answer(end + ms(50), &server);
    assert!(waits.permits(end + ms(51), &server), "it took one");
}

/// Guards against a server that is shut out for good by the time that it asks for.
#[test]
fn wait_is_bounded() {
    let settings = WaitSettings::default();
    let mut waits = ServerWaits::new(settings);
    let (now, server) = (Instant::now(), life(1, 1));
    waits.record_wait(now, &server, Duration::MAX);
    assert_eq!(waits.time_to_next(now, &server), settings.longest);
    waits.record_wait(now, &life(2, 1), Duration::ZERO);
    assert!(waits.permits(now, &life(2, 1)));
}

#[test]
fn server_that_drops_out_of_the_list_is_remembered_until_its_wait_is_over() {
    let mut waits = ServerWaits::default();
    let (now, server) = (Instant::now(), life(1, 1));
    waits.record_wait(now, &server, ms(1000));
    waits.retain(now + ms(500), |_| false);
    assert!(!waits.permits(now + ms(500), &server));
    assert_eq!(waits.waiting(now + ms(500)), 1);
    waits.retain(now + ms(1000), |_| false);
    waits.record_send(now + ms(1000), &server);
    assert!(waits.permits(now + ms(1001), &server), "forgotten");
}

/// Guards against a server that refuses at once, looks idle, and gets most requests.
#[test]
fn server_that_refuses_again_and_again_is_left_alone_for_longer_and_longer() {
    let settings = WaitSettings::default();
    let mut waits = ServerWaits::new(settings);
    let (start, server) = (Instant::now(), life(1, 1));
    waits.record_refusal(start, &server, start, true);
    assert!(waits.permits(start, &server), "one refusal says little");
    let mut now = start;
    let mut refusals = 0;
    while now < start + ms(10_000) {
        if waits.permits(now, &server) {
            waits.record_send(now, &server);
            waits.record_refusal(now, &server, now, true);
            refusals += 1;
        }
        now += ms(1);
    }
    assert!((4..8).contains(&refusals), "{refusals} in 10 s");
    waits.record_answer(now + settings.longest_pause, &server);
    assert!(waits.permits(now + settings.longest_pause, &server), "it took one");
}

/// Guards against each of many nodes having to find out that a server refuses everything.
#[test]
fn refusing_server_that_no_node_hears_of_is_left_alone_at_once() {
    let mut waits = ServerWaits::default();
    let (now, server) = (Instant::now(), life(1, 1));
    waits.record_refusal(now, &server, now, false);
    assert!(!waits.permits(now + ms(1000), &server));
}

/// Guards against a server being left alone that takes requests of other nodes again.
#[test]
fn server_that_another_node_hears_of_again_is_not_left_alone() {
    let mut waits = ServerWaits::default();
    let (start, refusing, asking) = (Instant::now(), life(1, 1), life(2, 1));
    waits.record_refusal(start, &refusing, start, false);
    waits.record_wait(start, &asking, ms(3000));
    for server in [&refusing, &asking] {
        waits.record_heard(start + ms(100), server, start - ms(1));
        assert!(!waits.permits(start + ms(100), server), "that was before");
        waits.record_heard(start + ms(100), server, start + ms(50));
    }
    assert!(waits.permits(start + ms(100), &refusing));
    assert!(!waits.permits(start + ms(100), &asking), "what it asked for holds");
}

/// Guards against a refusal without a word that ends the wait which the server asked for before.
#[test]
fn refusal_without_a_word_does_not_end_what_was_asked_for() {
    let mut waits = ServerWaits::default();
    let (start, server) = (Instant::now(), life(1, 1));
    waits.record_wait(start, &server, ms(1000));
    waits.record_refusal(start + ms(10), &server, start + ms(10), false);
    waits.record_heard(start + ms(500), &server, start + ms(400));
    assert!(!waits.permits(start + ms(999), &server));
    assert!(waits.permits(start + ms(1000), &server));
}

/// Guards against a full server, which takes some requests and refuses others, being left alone.
#[test]
fn server_that_takes_requests_in_between_is_not_left_alone() {
    let mut waits = ServerWaits::default();
    let (start, server) = (Instant::now(), life(1, 1));
    for round in 0..100 {
        let now = start + ms(10 * round);
        assert!(waits.permits(now, &server), "round {round}");
        waits.record_send(now, &server);
        waits.record_refusal(now, &server, now, true);
        waits.record_answer(now + ms(5), &server);
    }
}

/// Guards against an asked wait that ends because a longer pause, for refusals without a word,
/// replaced it and another node heard of the server.
#[test]
fn longer_pause_does_not_let_news_end_a_wait_that_was_asked_for() {
    let mut waits = ServerWaits::default();
    let (start, server) = (Instant::now(), life(1, 1));
    waits.record_wait(start, &server, ms(1500));
    // Requests that were under way are refused without a word.
    waits.record_refusal(start + ms(10), &server, start + ms(10), false);
    waits.record_heard(start + ms(100), &server, start + ms(50));
    assert!(!waits.permits(start + ms(1000), &server));
}

/// Guards against a wait that is lost because it ends before a pause that is in force, and news of
/// other nodes end that pause.
#[test]
fn wait_that_is_asked_for_within_a_longer_pause_stays_in_force() {
    let mut waits = ServerWaits::default();
    let (start, server) = (Instant::now(), life(1, 1));
    for _ in 0..5 {
        waits.record_refusal(start, &server, start, false);
    }
    waits.record_wait(start + ms(10), &server, ms(3000));
    waits.record_heard(start + ms(100), &server, start + ms(50));
    assert!(!waits.permits(start + ms(1000), &server));
}

/// Guards against a pause that goes on although this node itself saw the server take a request.
#[test]
fn own_answer_ends_a_pause_that_was_not_asked_for() {
    let mut waits = ServerWaits::default();
    let (start, server) = (Instant::now(), life(1, 1));
    for _ in 0..5 {
        waits.record_refusal(start, &server, start, false);
    }
    waits.record_answer(start + ms(500), &server);
    assert!(waits.permits(start + ms(1000), &server));
}

/// Guards against refusals hours ago that count as in a row.
#[test]
fn refusals_hours_ago_do_not_lengthen_a_pause() {
    let mut waits = ServerWaits::default();
    let (start, server) = (Instant::now(), life(1, 1));
    let hour = ms(3_600_000);
    for hours in 0..4 {
        waits.record_refusal(start + hour * hours, &server, start + hour * hours, true);
    }
    assert!(
        waits.permits(start + hour * 3 + ms(200), &server),
        "{:?}",
        waits.time_to_next(start + hour * 3, &server)
    );
}

/// Guards against a server being left alone for seconds that is full for a moment: it refuses the
/// requests together that are under way, while others stream there.
#[test]
fn refusals_of_requests_that_were_under_way_together_count_once() {
    let mut waits = ServerWaits::default();
    let (start, server) = (Instant::now(), life(1, 1));
    for number in 0..6 {
        waits.record_send(start + ms(number), &server);
    }
    for number in 0..6 {
        waits.record_refusal(start + ms(20 + number), &server, start + ms(number), true);
    }
    assert!(waits.permits(start + ms(30), &server), "{:?}", waits.time_to_next(start, &server));
    // One that was sent after the first refusal counts.
    waits.record_refusal(start + ms(50), &server, start + ms(30), true);
    assert!(!waits.permits(start + ms(60), &server));
    assert!(waits.permits(start + ms(200), &server));
}

/// Guards against a server that refuses everything being tried by each of many nodes, and against
/// one that takes requests again being left alone.
#[test]
fn server_that_refuses_requests_of_another_node_is_left_alone_until_a_node_hears_of_it() {
    let mut waits = ServerWaits::default();
    let (start, server) = (Instant::now(), life(1, 1));
    waits.record_told_refusal(start, &server, start - ms(100), ms(4000));
    assert!(!waits.permits(start + ms(3000), &server));
    // Later news do not put the trial off.
    waits.record_told_refusal(start + ms(3000), &server, start + ms(2900), ms(9000));
    assert!(waits.permits(start + ms(4000), &server));
    waits.record_told_refusal(start + ms(4000), &server, start + ms(3900), ms(9000));
    waits.record_heard(start + ms(5000), &server, start + ms(3800));
    assert!(!waits.permits(start + ms(5000), &server), "that was before");
    waits.record_heard(start + ms(5000), &server, start + ms(4500));
    assert!(waits.permits(start + ms(5000), &server));
}

/// Guards against one chance refusal being told to all nodes, and old ones.
#[test]
fn refusals_are_told_if_they_are_several_in_a_row_that_no_node_hears_of() {
    let settings = WaitSettings::default();
    let mut waits = ServerWaits::new(settings);
    let (start, silent, heard) = (Instant::now(), life(1, 1), life(2, 1));
    waits.record_refusal(start, &silent, start, false);
    assert!(waits.refusing(start).is_empty());
    let again = start + ms(1600);
    for server in [&silent, &heard] {
        waits.record_refusal(start, &heard, start, true);
        waits.record_refusal(again, server, again, server == &heard);
    }
    assert_eq!(waits.refusing(again).into_iter().collect::<Vec<_>>(), [(silent.clone(), again)]);
    assert!(waits.refusing(again + settings.news_time).is_empty());
    waits.record_heard(again + ms(100), &silent, again + ms(50));
    assert!(waits.refusing(again + ms(100)).is_empty());
}

/// Guards against a trial rate that grows with the number of nodes.
#[test]
fn shared_pauses_leave_the_same_number_of_trials_to_any_number_of_nodes() {
    let settings = WaitSettings::default();
    let waits = ServerWaits::new(settings);
    for nodes in [2, 89, 400] {
        let draws = (0..10_000_u32).map(|draw| (f64::from(draw) + 0.5) / 10_000.0);
        let sum: Duration = draws.map(|random| waits.shared_pause(nodes, random)).sum();
        let period = sum.div_f64(10_000.0 * nodes as f64).as_secs_f64();
        let expected = settings.shared_trial_period.as_secs_f64();
        assert!((period / expected - 1.0).abs() < 0.01, "{nodes} nodes: {period} s");
    }
    assert_eq!(waits.shared_pause(0, 0.5), Duration::ZERO);
    assert!(waits.shared_pause(usize::MAX, 1.0) >= settings.longest_pause);
}
