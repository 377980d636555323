//! The timing of an engine's steps, and the size of a request in tokens.

use std::time::Duration;

use crate::FailureDomain;

/// How long an engine takes, as stated by the operators. All times apply to a model with pace 1 on
/// a group without a slowdown.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineTimes {
    /// Time of a step without any decoding request. Invariant: positive.
    pub step: Duration,

    /// Time that each decoding request adds to a step.
    pub step_per_request: Duration,

    /// Time that each 1,000 tokens of context of a decoding request add to a step.
    pub step_per_kilotoken: Duration,

    /// Prompt tokens that are read per second. Invariant: positive and finite.
    pub read_rate: f64,

    /// Time that a million pairs of a prompt's token and an earlier one add to reading.
    pub read_per_megapair: Duration,

    /// Prompt tokens that one step reads at most. Invariant: at least one.
    pub chunk: u32,

    /// Steps in a pass. Invariant: at least one.
    pub stride: u32,

    /// The mean size of a request: prompt and answer. Requests that don't state theirs count as
    /// this large.
    pub usual: UsualTokens,

    /// One-way delays between failure domains.
    pub delays: Vec<DomainDelay>,
}

impl EngineTimes {
    /// The one-way delay between two failure domains; none if no delay is stated for them in
    /// either direction.
    pub fn delay(&self, from: &FailureDomain, to: &FailureDomain) -> Duration {
        let find = |from: &FailureDomain, to: &FailureDomain| {
            self.delays.iter().find(|delay| delay.from == *from && delay.to == *to)
        };
        let delay = find(from, to).or_else(|| find(to, from));
        delay.map_or(Duration::ZERO, |delay| delay.delay)
    }
}

/// The mean size of a request, in tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsualTokens {
    /// Prompt tokens.
    pub prompt: f64,

    /// Tokens of the answer. Invariant: positive.
    pub answer: f64,
}

/// The one-way delay between two failure domains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainDelay {
    /// The failure domain of the sender.
    pub from: FailureDomain,

    /// The failure domain of the receiver.
    pub to: FailureDomain,

    /// The delay.
    pub delay: Duration,
}

/// The size of a request, as stated by its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenCounts {
    /// Tokens of the prompt.
    pub prompt: u32,

    /// The largest number of tokens of the answer.
    pub most_output: u32,

    /// The estimated number of tokens of the answer. Often far off.
    pub output_hint: Option<u32>,
}
