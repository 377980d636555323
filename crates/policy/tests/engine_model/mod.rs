//! A model of an engine that works pass by pass and step by step, independent of the estimator.

use std::time::Duration;

use comfreyturn_types::{EngineTimes, TokenCounts, UsualTokens};
use rand::{RngExt, rngs::Xoshiro256PlusPlus};

pub const SLOTS: u32 = 20;

pub fn times() -> EngineTimes {
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

/// Prompts of 40 to 5,880 tokens: most are short, one in ten is long.
pub fn draw_tokens(rng: &mut Xoshiro256PlusPlus) -> TokenCounts {
    let prompt = match rng.random_range(0..10) {
        0..7 => rng.random_range(40..400),
        7..9 => rng.random_range(400..1500),
        _ => rng.random_range(1500..=5880),
    };
    let output = rng.random_range(20..=100);
    TokenCounts { prompt, most_output: output, output_hint: None }
}

/// A request at an engine. Times are seconds since the start.
#[derive(Clone, Copy, Debug)]
pub struct ModelRequest {
    pub arrived: f64,
    pub tokens: TokenCounts,
    read: u32,
    written: u32,
    pub first_at: f64,
    pub ended_at: f64,
}

/// An engine with the requests that were sent to it, in order of arrival.
#[derive(Default)]
pub struct EngineModel {
    pub requests: Vec<ModelRequest>,

    /// Requests before this one have ended.
    ended: usize,
    clock: f64,

    /// Factor on all times.
    pub slowdown: f64,

    /// Time between two events of its streams, and the time of the second one.
    pub pauses: Vec<(f64, f64)>,
}

impl EngineModel {
    pub fn send(&mut self, at: f64, tokens: TokenCounts) {
        let (first_at, ended_at) = (f64::INFINITY, f64::INFINITY);
        let (read, written) = (0, 0);
        self.requests.push(ModelRequest { arrived: at, tokens, read, written, first_at, ended_at });
    }

    /// Requests in flight, and their prompt tokens without a first event.
    pub fn load(&self, at: f64) -> (u32, f64) {
        let open = self.requests[self.ended..].iter();
        open.filter(|one| one.arrived <= at && one.ended_at > at).fold((0, 0.0), |sum, one| {
            let unread = if one.first_at > at { f64::from(one.tokens.prompt) } else { 0.0 };
            (sum.0 + 1, sum.1 + unread)
        })
    }

    /// Runs passes that begin before `until`.
    pub fn run(&mut self, times: &EngineTimes, until: f64) {
        while self.clock < until {
            while self.requests.get(self.ended).is_some_and(|one| one.ended_at < until - 1.0) {
                self.ended += 1;
            }
            let (clock, open) = (self.clock, &mut self.requests[self.ended..]);
            let admitted = open.iter_mut().filter(|one| one.ended_at.is_infinite());
            let mut batch: Vec<_> = admitted
                .filter(|one| one.arrived <= clock)
                .take(usize::try_from(SLOTS).unwrap())
                .collect();
            if batch.is_empty() {
                let waiting = open.iter().map(|one| one.arrived).filter(|at| *at > clock);
                self.clock = waiting.fold(until, f64::min);
                continue;
            }
            let started = self.clock;
            for _ in 0..times.stride {
                self.clock += step(times, &mut batch) * self.slowdown;
            }
            let had_events = batch.iter().any(|one| one.first_at.is_finite());
            if had_events {
                self.pauses.push((self.clock, self.clock - started));
            }
            for one in batch.into_iter().filter(|one| one.written > 0) {
                one.first_at = one.first_at.min(self.clock);
                if one.written >= one.tokens.most_output {
                    one.ended_at = self.clock;
                }
            }
        }
    }
}

/// Runs one step: each request whose prompt was read decodes a token, and others are read. Returns
/// its duration.
fn step(times: &EngineTimes, batch: &mut [&mut ModelRequest]) -> f64 {
    let mut duration = times.step.as_secs_f64();
    let mut budget = times.chunk;
    for one in batch.iter_mut() {
        let left = one.tokens.prompt - one.read;
        if left == 0 {
            let context = f64::from(one.tokens.prompt + one.written) / 1000.0;
            duration += times.step_per_request.as_secs_f64()
                + times.step_per_kilotoken.as_secs_f64() * context;
            one.written += 1;
            continue;
        }
        let read = left.min(budget);
        budget -= read;
        let pairs = f64::from(read) * (f64::from(one.read) + f64::from(read) / 2.0);
        duration +=
            f64::from(read) / times.read_rate + pairs / 1e6 * times.read_per_megapair.as_secs_f64();
        one.read += read;
    }
    duration
}
