//! Models one group: a batch with a fixed number of slots, serial prefill and a prefix cache.

use std::{collections::VecDeque, time::Duration};

use comfreyturn_types::VmLoad;

/// Settings of the modelled engine of a group.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Maximum number of requests in the batch.
    pub slots: u32,

    /// Prompt tokens per second.
    pub prefill_rate: f64,

    /// Time between two tokens of a request in an empty batch, in seconds. It doubles when the
    /// batch is full.
    pub step_time: f64,

    /// Maximum number of prefixes in the cache.
    pub cached_prefixes: usize,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self { slots: 16, prefill_rate: 8_000.0, step_time: 0.015, cached_prefixes: 24 }
    }
}

/// The work that a request causes at an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineWork {
    /// Identifies the prefix.
    pub prefix: u64,

    /// Tokens of the prefix. They need no prefill if the prefix is cached.
    pub prefix_tokens: f64,

    /// Tokens of the prompt after the prefix.
    pub own_tokens: f64,

    /// Tokens to generate.
    pub output_tokens: f64,
}

/// An attempt that took a slot.
#[derive(Clone, Copy, Debug)]
pub struct StartedWork {
    pub attempt: usize,
    pub first_token_at: Duration,
    pub end_at: Duration,
    pub cached: bool,
}

/// The engine of one group.
#[derive(Debug)]
pub struct EngineModel {
    settings: EngineSettings,

    /// Factor on all processing times.
    slowness: f64,

    /// Whether the group is down and refuses attempts.
    pub down: bool,

    running: Vec<usize>,
    queued: VecDeque<(usize, EngineWork)>,

    /// Most recently used last.
    cache: Vec<u64>,

    prefill_free_at: Duration,
}

impl EngineModel {
    pub fn new(settings: EngineSettings, slowness: f64) -> Self {
        Self {
            settings,
            slowness,
            down: false,
            running: Vec::new(),
            queued: VecDeque::new(),
            cache: Vec::new(),
            prefill_free_at: Duration::ZERO,
        }
    }

    pub fn load(&self) -> VmLoad {
        VmLoad {
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            queued: u32::try_from(self.queued.len()).unwrap_or(u32::MAX),
            capacity: self.settings.slots,
            age: Duration::ZERO,
        }
    }

    /// Queues an attempt; [`Self::start_next`] starts it.
    pub fn offer(&mut self, attempt: usize, work: EngineWork) {
        self.queued.push_back((attempt, work));
    }

    /// Starts the next queued attempt, if there is one and a slot is free.
    pub fn start_next(&mut self, now: Duration) -> Option<StartedWork> {
        if self.down || self.running.len() >= self.settings.slots as usize {
            return None;
        }
        let (attempt, work) = self.queued.pop_front()?;
        self.running.push(attempt);
        let cached = self.touch_prefix(work.prefix);
        let prompt = work.own_tokens + if cached { 0.0 } else { work.prefix_tokens };
        let prefill = self.slowness * prompt / self.settings.prefill_rate;
        let first_token_at = self.prefill_free_at.max(now) + Duration::from_secs_f64(prefill);
        self.prefill_free_at = first_token_at;
        let fill = self.running.len() as f64 / f64::from(self.settings.slots);
        let step = self.slowness * self.settings.step_time * (1.0 + fill);
        let end_at = first_token_at + Duration::from_secs_f64(work.output_tokens * step);
        Some(StartedWork { attempt, first_token_at, end_at, cached })
    }

    /// Removes an attempt that ended or was cancelled.
    pub fn remove(&mut self, attempt: usize) {
        self.running.retain(|found| *found != attempt);
        self.queued.retain(|(found, _)| *found != attempt);
    }

    /// Takes the group down, and returns the attempts that are lost.
    pub fn take_down(&mut self) -> Vec<usize> {
        self.down = true;
        self.cache.clear();
        let queued = self.queued.drain(..).map(|(attempt, _)| attempt);
        self.running.drain(..).chain(queued).collect()
    }

    fn touch_prefix(&mut self, prefix: u64) -> bool {
        let cached = self.cache.contains(&prefix);
        self.cache.retain(|found| *found != prefix);
        self.cache.push(prefix);
        if self.cache.len() > self.settings.cached_prefixes {
            self.cache.remove(0);
        }
        cached
    }
}
