//! Prediction of the time to the first event, and the choice of servers by it, on a model of engines
//! that works pass by pass.

use std::time::{Duration, Instant};

use comfreyturn_policy::{
    HeadCandidate, HeadPicker, PaceMeter, RequestDemand, ServerLoad, TimeEstimator,
};
use comfreyturn_types::{ServerLife, TokenCounts, VmId};
use rand::{RngExt, SeedableRng, rngs::Xoshiro256PlusPlus};

use crate::engine_model::{EngineModel, SLOTS, draw_tokens, times};

mod engine_model;

const MAX_PAUSE: Duration = Duration::from_millis(250);

fn demand(tokens: TokenCounts) -> RequestDemand {
    RequestDemand { tokens: Some(tokens), is_whole: false, longest_pause: Some(MAX_PAUSE) }
}

fn load(running: u32, unread: f64, pace: f64) -> ServerLoad {
    ServerLoad { running, slots: SLOTS, unread, pace, distance: Duration::ZERO }
}

fn life(server: usize) -> ServerLife {
    ServerLife { vm: VmId::from(format!("vm-{server}")), born: 0 }
}

fn percentile(values: &mut [f64], percent: usize) -> f64 {
    values.sort_by(f64::total_cmp);
    values[(values.len() - 1) * percent / 100]
}

// -------------------------------------------------------------------------------------------
// The estimate

/// Guards against an estimate that misses a part of the work of an engine: the median error would
/// become as large as that part.
#[test]
fn estimate_is_close_to_an_engine_that_works_pass_by_pass() {
    let (times, estimator) = (times(), TimeEstimator::new(&times(), 1.0));
    for (rate, bound) in [(2.0, 0.3), (6.0, 0.35), (10.0, 0.4)] {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(1);
        let mut engine = EngineModel::default();
        engine.slowdown = 1.0;
        let (mut at, mut predicted) = (0.0, Vec::new());
        while at < 200.0 {
            at += -rng.random_range(1e-9..1.0_f64).ln() / rate;
            let tokens = draw_tokens(&mut rng);
            engine.run(&times, at);
            let (running, unread) = engine.load(at);
            let estimate = estimator.estimate(&load(running, unread, 1.0), &demand(tokens));
            predicted.push(estimate.time.as_secs_f64());
            engine.send(at, tokens);
        }
        engine.run(&times, 400.0);
        let measured: Vec<f64> =
            engine.requests.iter().map(|one| one.first_at - one.arrived).collect();
        let pairs = || predicted.iter().zip(&measured);
        let mut errors: Vec<f64> = pairs().map(|(one, other)| (one / other - 1.0).abs()).collect();
        let bias = pairs().map(|(one, other)| one - other).sum::<f64>() / measured.len() as f64;
        let mean = measured.iter().sum::<f64>() / measured.len() as f64;
        let (median, p95) = (percentile(&mut errors, 50), percentile(&mut errors, 95));
        println!(
            "{rate} requests/s: mean {mean:.3} s, bias {bias:.3} s, error p50 {median:.2} p95 {p95:.2}"
        );
        assert!(median < bound, "{rate} requests/s: {median}");
    }
}

#[test]
fn estimate_rises_with_work_pace_and_distance_and_stays_finite() {
    let estimator = TimeEstimator::new(&times(), 1.0);
    let tokens = TokenCounts { prompt: 500, most_output: 50, output_hint: None };
    let time = |load: &ServerLoad| estimator.estimate(load, &demand(tokens)).time;
    let idle = time(&load(0, 0.0, 1.0));
    assert!(time(&load(10, 0.0, 1.0)) > idle);
    assert!(time(&load(10, 5000.0, 1.0)) > time(&load(10, 0.0, 1.0)));
    assert!(time(&load(SLOTS, 0.0, 1.0)) > time(&load(SLOTS - 1, 0.0, 1.0)));
    assert_eq!(time(&load(0, 0.0, 2.0)).as_millis(), (idle * 2).as_millis());
    let delay = Duration::from_millis(20);
    assert_eq!(time(&ServerLoad { distance: delay, ..load(0, 0.0, 1.0) }), idle + delay * 2);
    let extreme = ServerLoad { slots: 0, ..load(u32::MAX, f64::MAX, f64::MAX) };
    assert_eq!(time(&extreme), Duration::MAX);
    assert_eq!(
        TimeEstimator::new(&times(), f64::NAN).estimate(&load(0, 0.0, 1.0), &demand(tokens)).time,
        idle
    );
}

/// Two long prompts in one pass delay all streams there beyond the longest pause, though each of the
/// two alone would get its first event sooner there.
#[test]
fn long_prompts_are_spread_although_the_other_server_is_farther() {
    let estimator = TimeEstimator::new(&times(), 1.0);
    let tokens = TokenCounts { prompt: 1200, most_output: 50, output_hint: None };
    let longest_pause = Some(Duration::from_millis(130));
    let demand = RequestDemand { longest_pause, ..demand(tokens) };
    let candidate = |server: usize, load: ServerLoad| HeadCandidate {
        life: life(server),
        running: load.running,
        slots: SLOTS,
        distance: load.distance,
        has_quota: false,
        estimate: Some(estimator.estimate(&load, &demand)),
    };
    let far = ServerLoad { distance: Duration::from_millis(60), ..load(14, 0.0, 1.0) };
    let candidates = [candidate(0, load(8, 1500.0, 1.0)), candidate(1, far)];
    let estimates = candidates.each_ref().map(|one| one.estimate.unwrap());
    assert!(estimates[0].time < estimates[1].time, "{estimates:?}");
    assert!(estimates[0].excess_pause > estimates[1].excess_pause, "{estimates:?}");
    let picked = HeadPicker::default().pick(&candidates, 0.0, 0.5, false).unwrap();
    assert_eq!(picked.life, life(1));
}

/// A node that kept an old measurement would avoid a sound server for good.
#[test]
fn measured_pace_returns_to_one_within_seconds_and_is_bounded() {
    let (start, mut meter) = (Instant::now(), PaceMeter::default());
    let expected = Duration::from_millis(50);
    assert_eq!(meter.pace(start, &life(0)), None);
    for event in 0..100 {
        let at = start + expected * event;
        meter.record(at, &life(0), Duration::from_secs(60), expected);
        meter.record(at, &life(1), Duration::ZERO, expected);
        meter.record(at, &life(1), expected, Duration::ZERO);
    }
    let end = start + expected * 100;
    let pace = |after: u64, server| meter.pace(end + Duration::from_secs(after), &life(server));
    assert!((15.0..=20.0).contains(&pace(0, 0).unwrap()), "{:?}", pace(0, 0));
    assert!((0.5..0.6).contains(&pace(0, 1).unwrap()));
    assert!(pace(6, 0).unwrap_or(1.0) < 2.5, "{:?}", pace(6, 0));
    assert_eq!(pace(20, 0), None);
}

// -------------------------------------------------------------------------------------------
// The choice, with stale counts

const SERVERS: usize = 24;
const SLOWDOWN: f64 = 3.5;
const SNAPSHOT_TICKS: usize = 10;
const OBJECTIVE: f64 = 0.6;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Rule {
    Random,
    TwoChoices,
    LeastRunning,
    ByCount,
    ByTime,
}

struct Outcome {
    in_time: f64,

    /// Requests at the busiest server relative to the mean, on average over time.
    busiest: f64,

    /// The arrival times of the requests of each server.
    arrivals: Vec<Vec<f64>>,
}

/// Sends requests to servers of which `slow` are slow until `slow_until`, in seconds.
fn run(rule: Rule, seed: u64, rate: f64, slow: &[usize], slow_until: f64) -> Outcome {
    let (times, estimator) = (times(), TimeEstimator::new(&times(), 1.0));
    let (mut rng, mut draws) =
        (Xoshiro256PlusPlus::seed_from_u64(seed), Xoshiro256PlusPlus::seed_from_u64(seed + 1));
    let (start, mut meter, picker) = (Instant::now(), PaceMeter::default(), HeadPicker::default());
    let mut engines: Vec<EngineModel> = (0..SERVERS).map(|_| EngineModel::default()).collect();
    let (mut snapshots, mut busiest) = (Vec::<Vec<(u32, f64)>>::new(), Vec::new());
    let (mut at, tick, end) = (0.0, 0.025, 24.0);
    while at < end {
        let before = at;
        at += -rng.random_range(1e-9..1.0_f64).ln() / rate;
        let moment = start + Duration::from_secs_f64(at);
        for (server, engine) in engines.iter_mut().enumerate() {
            let is_slow = slow.contains(&server) && at < slow_until;
            engine.slowdown = if is_slow { SLOWDOWN } else { 1.0 };
            engine.run(&times, at);
            let (running, unread) = engine.load(at);
            for (ended_at, pause) in std::mem::take(&mut engine.pauses) {
                let ended_at = start + Duration::from_secs_f64(ended_at);
                let expected = estimator.event_pause(running, SLOTS, unread);
                meter.record(ended_at, &life(server), Duration::from_secs_f64(pause), expected);
            }
        }
        while snapshots.len() as f64 * tick <= at {
            let taken_at = (snapshots.len() as f64 * tick).max(before);
            let loads: Vec<_> = engines.iter().map(|engine| engine.load(taken_at)).collect();
            let running = loads.iter().map(|(running, _)| f64::from(*running));
            let mean = running.clone().sum::<f64>() / SERVERS as f64;
            busiest.push(running.fold(0.0, f64::max) / mean.max(1.0));
            snapshots.push(loads);
        }
        let age = rng.random_range(4..=SNAPSHOT_TICKS);
        let seen = &snapshots[snapshots.len().saturating_sub(age)];
        let unseen = rate * age as f64 * tick;
        let tokens = draw_tokens(&mut rng);
        let any = |draws: &mut Xoshiro256PlusPlus| draws.random_range(0..SERVERS);
        let candidates = seen.iter().enumerate().map(|(server, (running, unread))| {
            let pace = meter.pace(moment, &life(server)).unwrap_or(1.0);
            let estimate = estimator.estimate(&load(*running, *unread, pace), &demand(tokens));
            HeadCandidate {
                life: life(server),
                running: *running,
                slots: SLOTS,
                distance: Duration::ZERO,
                has_quota: false,
                estimate: (rule == Rule::ByTime).then_some(estimate),
            }
        });
        let server = match rule {
            Rule::Random => any(&mut draws),
            Rule::TwoChoices => {
                let pair = [any(&mut draws), any(&mut draws)];
                pair.into_iter().min_by_key(|server| seen[*server].0).unwrap()
            }
            Rule::LeastRunning => (0..SERVERS).min_by_key(|server| seen[*server].0).unwrap(),
            Rule::ByCount | Rule::ByTime => {
                let candidates: Vec<_> = candidates.collect();
                let picked = picker.pick(&candidates, unseen, draws.random(), true).unwrap();
                candidates.iter().position(|one| one.life == picked.life).unwrap()
            }
        };
        engines[server].send(at, tokens);
    }
    engines.iter_mut().for_each(|engine| engine.run(&times, end + 60.0));
    let all = || engines.iter().flat_map(|engine| &engine.requests);
    let in_time = all().filter(|one| one.first_at - one.arrived <= OBJECTIVE).count();
    let arrivals = |engine: &EngineModel| engine.requests.iter().map(|one| one.arrived).collect();
    Outcome {
        in_time: in_time as f64 / all().count() as f64,
        busiest: busiest.iter().sum::<f64>() / busiest.len() as f64,
        arrivals: engines.iter().map(arrivals).collect(),
    }
}

/// A choice by count sends as much to slow servers as to others until their slots fill, and knows
/// nothing of long prompts.
#[test]
fn choice_by_time_serves_more_in_time_than_the_baselines() {
    let slow: Vec<usize> = (0..SERVERS).step_by(6).collect();
    for seed in [1, 2] {
        for rate in [100.0, 150.0] {
            let outcome = |rule| run(rule, seed, rate, &slow, f64::INFINITY);
            let by_time = outcome(Rule::ByTime);
            println!(
                "seed {seed}, {rate}/s: by time {:.3}, busiest {:.2}",
                by_time.in_time, by_time.busiest
            );
            for rule in [Rule::Random, Rule::TwoChoices, Rule::LeastRunning, Rule::ByCount] {
                let Outcome { in_time, busiest, .. } = outcome(rule);
                println!("  {rule:?} {in_time:.3}, busiest {busiest:.2}");
                assert!(by_time.in_time > in_time, "seed {seed}, {rate}/s, {rule:?}");
            }
        }
    }
}

/// A slow server must get less work while it is slow, and its part soon after it recovered.
#[test]
fn recovered_server_gets_its_part_again() {
    let outcome = run(Rule::ByTime, 3, 120.0, &[5], 10.0);
    let count = |server: usize, from: f64, to: f64| {
        outcome.arrivals[server].iter().filter(|at| (from..to).contains(*at)).count() as f64
    };
    let share = |from, to| {
        let all: f64 = (0..SERVERS).map(|server| count(server, from, to)).sum();
        count(5, from, to) / all * SERVERS as f64
    };
    let (slow, recovered) = (share(3.0, 10.0), share(16.0, 24.0));
    println!("share of the mean: {slow:.2} while slow, {recovered:.2} from 6 s after");
    assert!(slow < 0.6, "{slow}");
    assert!(recovered > 0.7, "{recovered}");
}
