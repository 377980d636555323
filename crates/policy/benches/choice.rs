//! Measures the processor time of one choice of a server by predicted times.
//!
//! `cargo bench -p comfreyturn_policy --bench choice`

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use comfreyturn_policy::{HeadCandidate, HeadPicker, RequestDemand, ServerLoad, TimeEstimator};
use comfreyturn_types::{EngineTimes, ServerLife, TokenCounts, UsualTokens, VmId};

const ROUNDS: u32 = 20_000;

const SLOTS: u32 = 20;

fn main() {
    for count in [10, 100, 1_000] {
        let mut candidates: Vec<_> = (0..count).map(candidate).collect();
        println!("{count:>5} candidates  by count {:>9.2?}", time(&mut candidates, false));
        println!("{count:>5} candidates  by time  {:>9.2?}", time(&mut candidates, true));
    }
}

fn times() -> EngineTimes {
    EngineTimes {
        step: Duration::from_millis(8),
        step_per_request: Duration::from_micros(400),
        step_per_kilotoken: Duration::from_micros(200),
        read_rate: 20_000.0,
        read_per_megapair: Duration::from_millis(2),
        chunk: 512,
        stride: 4,
        usual: UsualTokens { prompt: 800.0, answer: 60.0 },
        delays: Vec::new(),
    }
}

fn candidate(number: u32) -> HeadCandidate {
    HeadCandidate {
        life: ServerLife { vm: VmId::from(format!("vm-{number}")), born: 0 },
        running: number * 7 % SLOTS,
        slots: SLOTS,
        distance: Duration::ZERO,
        has_quota: false,
        estimate: None,
    }
}

/// Mean time of a choice, including all estimates if the choice is by time.
fn time(candidates: &mut [HeadCandidate], by_time: bool) -> Duration {
    let (times, picker) = (times(), HeadPicker::default());
    let started_at = Instant::now();
    for round in 0..ROUNDS {
        if by_time {
            let estimator = TimeEstimator::new(&times, 1.0);
            let tokens = TokenCounts { prompt: round % 5880, most_output: 100, output_hint: None };
            let longest_pause = Some(Duration::from_millis(250));
            let demand = RequestDemand { tokens: Some(tokens), is_whole: false, longest_pause };
            for candidate in candidates.iter_mut() {
                let load = ServerLoad {
                    running: candidate.running,
                    slots: SLOTS,
                    unread: f64::from(candidate.running * 100),
                    pace: 1.1,
                    distance: candidate.distance,
                };
                candidate.estimate = Some(estimator.estimate(&load, &demand));
            }
        }
        let draw = f64::from(round) / f64::from(ROUNDS);
        black_box(picker.pick(candidates, 30.0, draw, false));
    }
    started_at.elapsed() / ROUNDS
}
