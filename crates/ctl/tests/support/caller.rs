//! Callers that do what the system asks of them: keep the addresses, try the next one, come back.

use std::{
    net::SocketAddr,
    thread::{self, JoinHandle},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use comfreyturn_standin::{
    content_hash,
    invariants::{CallEnd, CallRecord},
    output_length, output_token,
};
use comfreyturn_types::{NodeId, RequestId, RequestOutcome};

use super::{
    http::HttpAnswer,
    site::{ask_addresses, complete},
};

/// Pause before a caller comes back.
const COMEBACK_PAUSE: Duration = Duration::from_millis(200);

/// What a caller met on the way to its whole answer.
#[derive(Debug, Default)]
pub struct CallerStory {
    /// Attempts that were answered with `not-run`.
    pub not_run: u32,

    /// Attempts that broke off, or took no connection.
    pub broken: u32,

    /// Attempts that failed in words.
    pub failed: Vec<HttpAnswer>,

    /// Every attempt, for the check of the promises.
    pub calls: Vec<CallRecord>,
}

impl CallerStory {
    fn record(&mut self, address: SocketAddr, prompt: &str, sent_ms: u64, end: CallEnd) {
        let expected = u64::from(matches!(end, CallEnd::Whole { .. }));
        self.calls.push(CallRecord {
            request: RequestId::from(format!("{prompt}, attempt {}", self.calls.len() + 1)),
            content_hash: content_hash(prompt.as_bytes()),
            expected_hash: Some(expected),
            key: None,
            non_idempotent: false,
            node: NodeId::from(address.to_string()),
            sent_ms,
            ended_ms: now_ms(),
            end,
        });
    }
}

/// The present time on the clock of the stand-ins' records.
pub fn now_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(elapsed.as_millis()).unwrap()
}

/// Sends a request until it has its whole answer, which must be right.
pub fn call_until_whole(
    addresses: &[SocketAddr],
    prompt: &str,
    tokens: u32,
    limit: Duration,
) -> CallerStory {
    let give_up_at = Instant::now() + limit;
    let mut story = CallerStory::default();
    for address in addresses.iter().cycle() {
        let sent_ms = now_ms();
        let answer = complete(*address, prompt, tokens, &[]);
        let end = call_end(answer.as_ref());
        story.record(*address, prompt, sent_ms, end);
        match (end, answer) {
            (CallEnd::Whole { .. }, Some(answer)) => {
                assert_right(prompt, tokens, &answer);
                return story;
            }
            (CallEnd::Outcome(RequestOutcome::NotRun), _) => story.not_run += 1,
            (CallEnd::Cut, Some(answer)) => {
                assert_prefix(prompt, &answer);
                story.broken += 1;
            }
            (CallEnd::Outcome(_), Some(answer)) => story.failed.push(answer),
            _ => story.broken += 1,
        }
        assert!(Instant::now() < give_up_at, "no whole answer within {limit:?}: {story:?}");
        thread::sleep(COMEBACK_PAUSE);
    }
    unreachable!("addresses never end")
}

/// How an attempt ended for its caller. Whole answers are compared token by token elsewhere.
fn call_end(answer: Option<&HttpAnswer>) -> CallEnd {
    let Some(answer) = answer else { return CallEnd::Missing };
    if let Some(word) = answer.header("x-outcome") {
        return CallEnd::Outcome(word.parse().unwrap());
    }
    if answer.events().1 { CallEnd::Whole { answer_hash: 1 } } else { CallEnd::Cut }
}

/// Starts callers, each with a prompt of its own, which begin with the same node.
pub fn start_callers(
    addresses: &[SocketAddr],
    name: &str,
    callers: usize,
    tokens: u32,
    limit: Duration,
) -> Vec<JoinHandle<CallerStory>> {
    let start = |number| {
        let addresses = addresses.to_vec();
        let prompt = format!("{name} {number}");
        thread::spawn(move || call_until_whole(&addresses, &prompt, tokens, limit))
    };
    (0..callers).map(start).collect()
}

/// The addresses to use, asked of a node, with that node's own first.
pub fn addresses_from(node: SocketAddr) -> Vec<SocketAddr> {
    let mut addresses = ask_addresses(node);
    addresses.sort_by_key(|address| *address != node);
    addresses
}

/// The whole answer to a prompt, token by token.
fn expected_tokens(prompt: &str, tokens: u32) -> Vec<String> {
    (0..output_length(prompt, tokens)).map(|position| output_token(prompt, position)).collect()
}

fn assert_right(prompt: &str, tokens: u32, answer: &HttpAnswer) {
    assert_eq!(answer.events().0, expected_tokens(prompt, tokens), "answer to {prompt:?}");
}

/// What came before a stream broke must be right too.
fn assert_prefix(prompt: &str, answer: &HttpAnswer) {
    let came = answer.events().0;
    let count = u32::try_from(came.len()).unwrap();
    let expected: Vec<String> = (0..count).map(|at| output_token(prompt, at)).collect();
    assert_eq!(came, expected, "start of the answer to {prompt:?}");
}
