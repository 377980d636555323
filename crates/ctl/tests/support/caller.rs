//! Callers that behave as clients should: they cache the addresses, try the next one after a
//! failure, and retry after a pause.

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
    site::{complete, request_addresses},
};

/// Pause before a caller retries.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The attempts of a caller until its whole answer.
#[derive(Debug, Default)]
pub struct CallerTrace {
    /// Attempts that were answered with `not-run`.
    pub not_run: u32,

    /// Attempts whose stream broke, or that could not connect.
    pub broken: u32,

    /// Attempts that were answered with another outcome.
    pub failed: Vec<HttpAnswer>,

    /// Every attempt, for the check of the system's guarantees.
    pub calls: Vec<CallRecord>,
}

impl CallerTrace {
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

/// Sends a request until its whole answer arrives, and checks the answer.
pub fn call_until_whole(
    addresses: &[SocketAddr],
    prompt: &str,
    tokens: u32,
    limit: Duration,
) -> CallerTrace {
    let deadline = Instant::now() + limit;
    let mut trace = CallerTrace::default();
    for address in addresses.iter().cycle() {
        let sent_ms = now_ms();
        let answer = complete(*address, prompt, tokens, &[]);
        let end = call_end(answer.as_ref());
        trace.record(*address, prompt, sent_ms, end);
        match (end, answer) {
            (CallEnd::Whole { .. }, Some(answer)) => {
                assert_whole(prompt, tokens, &answer);
                return trace;
            }
            (CallEnd::Outcome(RequestOutcome::NotRun), _) => trace.not_run += 1,
            (CallEnd::Cut, Some(answer)) => {
                assert_prefix(prompt, &answer);
                trace.broken += 1;
            }
            (CallEnd::Outcome(_), Some(answer)) => trace.failed.push(answer),
            _ => trace.broken += 1,
        }
        assert!(Instant::now() < deadline, "no whole answer within {limit:?}: {trace:?}");
        thread::sleep(RETRY_PAUSE);
    }
    unreachable!("addresses never end")
}

/// How an attempt ended for its caller. The content of whole answers is checked by
/// [`assert_whole`].
fn call_end(answer: Option<&HttpAnswer>) -> CallEnd {
    let Some(answer) = answer else { return CallEnd::Missing };
    if let Some(word) = answer.header("x-outcome") {
        return CallEnd::Outcome(word.parse().unwrap());
    }
    if answer.events().1 { CallEnd::Whole { answer_hash: 1 } } else { CallEnd::Cut }
}

/// Starts callers that all begin with the same node, each with its own prompt.
pub fn start_callers(
    addresses: &[SocketAddr],
    name: &str,
    callers: usize,
    tokens: u32,
    limit: Duration,
) -> Vec<JoinHandle<CallerTrace>> {
    let start = |number| {
        let addresses = addresses.to_vec();
        let prompt = format!("{name} {number}");
        thread::spawn(move || call_until_whole(&addresses, &prompt, tokens, limit))
    };
    (0..callers).map(start).collect()
}

/// The addresses to use according to a node, its own address first.
pub fn addresses_from(node: SocketAddr) -> Vec<SocketAddr> {
    let mut addresses = request_addresses(node);
    addresses.sort_by_key(|address| *address != node);
    addresses
}

/// The tokens of the whole answer to a prompt.
fn expected_tokens(prompt: &str, tokens: u32) -> Vec<String> {
    (0..output_length(prompt, tokens)).map(|position| output_token(prompt, position)).collect()
}

fn assert_whole(prompt: &str, tokens: u32, answer: &HttpAnswer) {
    assert_eq!(answer.events().0, expected_tokens(prompt, tokens), "answer to {prompt:?}");
}

/// Checks the tokens that arrived before a stream broke.
fn assert_prefix(prompt: &str, answer: &HttpAnswer) {
    let received = answer.events().0;
    let count = u32::try_from(received.len()).unwrap();
    let expected: Vec<String> = (0..count).map(|at| output_token(prompt, at)).collect();
    assert_eq!(received, expected, "start of the answer to {prompt:?}");
}
