//! Prediction of the time that a server takes until it sends the first event of an answer.

use std::time::Duration;

use comfreyturn_types::{EngineTimes, TokenCounts};

/// Pairs of tokens in a million pairs.
const MEGAPAIR: f64 = 1e6;

/// Tokens in 1,000 tokens.
const KILOTOKEN: f64 = 1e3;

/// What a request asks of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestDemand {
    /// Its size; `None` if it is not stated.
    pub tokens: Option<TokenCounts>,

    /// Whether the answer is delivered as a whole, not as a stream.
    pub is_whole: bool,

    /// The longest pause between two events of a stream that meets the objective.
    pub longest_pause: Option<Duration>,
}

/// The load of a server, as known to this node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerLoad {
    /// Requests in flight there, from all nodes.
    pub running: u32,

    /// Requests that it runs concurrently. Invariant: at least one.
    pub slots: u32,

    /// Prompt tokens sent there whose first event has not arrived, from all nodes.
    pub unread: f64,

    /// Measured duration of its steps, relative to the stated one. Invariant: positive.
    pub pace: f64,

    /// One-way delay to it.
    pub distance: Duration,
}

/// The predicted time to the first event at one server, and how it rises with further requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FirstEventEstimate {
    /// Time until the first event arrives, or the whole answer where it is not streamed.
    pub time: Duration,

    /// Time by which each additional usual request that finds a free slot delays the event.
    pub delay_per_request: Duration,

    /// Time by which each additional usual request delays the event once all slots are taken.
    pub delay_per_queued: Duration,

    /// Time by which pauses of the streams there exceed the longest one of the objective while the
    /// request's prompt is read.
    pub excess_pause: Duration,
}

/// Predicts times to the first event from the stated timing of an engine, for one model.
#[derive(Clone, Copy, Debug)]
pub struct TimeEstimator {
    /// Duration of a step without decoding requests, in seconds.
    step: f64,

    /// Seconds that each decoding request of usual length adds to a step.
    step_per_writer: f64,

    /// Seconds to read a token, without its pairs.
    read_per_token: f64,

    /// Seconds for each pair of tokens.
    read_per_pair: f64,

    /// Tokens that one step reads at most.
    chunk: f64,

    /// Steps in a pass.
    stride: f64,

    /// Tokens of a usual prompt and answer.
    prompt: f64,
    answer: f64,

    /// Factor of the model on all times.
    pace: f64,
}

impl TimeEstimator {
    /// Creates an estimator for a model with this pace. A pace that is not positive and finite
    /// counts as 1.
    pub fn new(times: &EngineTimes, pace: f64) -> Self {
        let context = times.usual.prompt + times.usual.answer / 2.0;
        let step_per_writer = times.step_per_request.as_secs_f64()
            + times.step_per_kilotoken.as_secs_f64() * context / KILOTOKEN;
        Self {
            step: times.step.as_secs_f64(),
            step_per_writer,
            read_per_token: 1.0 / times.read_rate,
            read_per_pair: times.read_per_megapair.as_secs_f64() / MEGAPAIR,
            chunk: f64::from(times.chunk),
            stride: f64::from(times.stride),
            prompt: times.usual.prompt,
            answer: times.usual.answer,
            pace: if pace.is_finite() && pace > 0.0 { pace } else { 1.0 },
        }
    }

    /// Predicts the time to the first event of a request that is sent to a server now.
    ///
    /// The request waits for a slot and for the end of the pass under way. Then the server reads
    /// the prompts before it and its own one, and decodes until the end of the pass.
    pub fn estimate(&self, load: &ServerLoad, demand: &RequestDemand) -> FirstEventEstimate {
        let slots = load.slots.max(1);
        let writers = f64::from(load.running.min(slots));
        let prompt = demand.tokens.map_or(self.prompt, |tokens| f64::from(tokens.prompt));
        // The prompts of queued requests are read while this request waits for its slot.
        let queued = f64::from(load.running.saturating_sub(slots));
        let unread = (load.unread - queued * self.prompt).max(0.0);
        let turnover = self.slot_turnover(f64::from(slots));
        let mut time = if load.running >= slots { (queued + 1.0) * turnover } else { 0.0 };
        if load.running > 0 {
            time += 0.5 * self.pass(writers);
        }
        time += self.reading(unread, self.prompt, writers) + self.reading(prompt, prompt, writers);
        time += self.pass(writers + 1.0);
        if demand.is_whole {
            time += (self.answer_tokens(demand) - self.stride).max(0.0) * self.step(writers + 1.0);
        }
        let pace = self.pace * load.pace;
        let delay_per_request = self.reading(self.prompt, self.prompt, writers)
            + 1.5 * self.stride * self.step_per_writer;
        FirstEventEstimate {
            time: duration(time * pace).saturating_add(load.distance.saturating_mul(2)),
            delay_per_request: duration(delay_per_request * pace),
            delay_per_queued: duration(turnover * pace),
            excess_pause: self.excess_pause(load, demand, writers, unread, prompt),
        }
    }

    /// The expected time between two events of a stream at a server, with the model's pace but
    /// without the measured one. `unread` is the number of prompt tokens that it still has to read.
    pub fn event_pause(&self, running: u32, slots: u32, unread: f64) -> Duration {
        let writers = f64::from(running.min(slots).max(1));
        let read = unread.min(self.chunk * self.stride);
        duration((self.pass(writers) + self.raw_reading(read, self.prompt)) * self.pace)
    }

    /// The prompt tokens that a request of this size adds to a server's unread ones.
    pub fn prompt_tokens(&self, demand: &RequestDemand) -> u32 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the cast saturates"
        )]
        demand.tokens.map_or(self.prompt as u32, |tokens| tokens.prompt)
    }

    /// By how much a pass that reads this prompt exceeds the longest pause of the streams there.
    /// Prompts share a pass, so that it grows with the unread tokens before this prompt.
    fn excess_pause(
        &self,
        load: &ServerLoad,
        demand: &RequestDemand,
        writers: f64,
        unread: f64,
        prompt: f64,
    ) -> Duration {
        let Some(longest) = demand.longest_pause.filter(|_| writers > 0.0) else {
            return Duration::ZERO;
        };
        let read = (unread + prompt).min(self.chunk * self.stride);
        // The last tokens of a long prompt have the most pairs.
        let pairs =
            if read < prompt { read * (prompt - read / 2.0) } else { prompt * prompt / 2.0 };
        let reading = read * self.read_per_token + pairs * self.read_per_pair;
        duration((self.pass(writers) + reading) * self.pace * load.pace).saturating_sub(longest)
    }

    /// Seconds between two requests that leave a server whose slots are all taken. Its requests
    /// decode at the same time, but it reads their prompts one after another.
    fn slot_turnover(&self, slots: f64) -> f64 {
        self.answer * self.step(slots) / slots + self.raw_reading(self.prompt, self.prompt)
    }

    fn answer_tokens(&self, demand: &RequestDemand) -> f64 {
        let Some(tokens) = demand.tokens else { return self.answer };
        let hint = tokens.output_hint.map_or(self.answer, f64::from);
        hint.min(f64::from(tokens.most_output))
    }

    /// Seconds for one step with this number of decoding requests.
    fn step(&self, writers: f64) -> f64 {
        self.step + writers * self.step_per_writer
    }

    /// Seconds for one pass.
    fn pass(&self, writers: f64) -> f64 {
        self.stride * self.step(writers)
    }

    /// Seconds to read tokens of prompts of this length. Each step that reads also decodes.
    fn reading(&self, tokens: f64, prompt: f64, writers: f64) -> f64 {
        self.raw_reading(tokens, prompt) + (tokens / self.chunk).ceil() * self.step(writers)
    }

    /// Seconds to read tokens of prompts of this length, without the steps.
    fn raw_reading(&self, tokens: f64, prompt: f64) -> f64 {
        tokens * (self.read_per_token + prompt / 2.0 * self.read_per_pair)
    }
}

/// A number of seconds; the longest duration if it is larger than that.
fn duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::MAX)
}
