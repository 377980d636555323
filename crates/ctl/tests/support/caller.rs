//! Callers that do what the system asks of them: keep the addresses, try the next one, come back.

use std::{
    net::SocketAddr,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use comfreyturn_standin::{output_length, output_token};

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
}

/// Sends a request until it has its whole answer, which must be right.
pub fn call_until_whole(
    addresses: &[SocketAddr],
    prompt: &str,
    tokens: u32,
    limit: Duration,
) -> CallerStory {
    let end = Instant::now() + limit;
    let mut story = CallerStory::default();
    for address in addresses.iter().cycle() {
        match complete(*address, prompt, tokens, &[]) {
            Some(answer) if answer.status == 200 && answer.events().1 => {
                assert_right(prompt, tokens, &answer);
                return story;
            }
            Some(answer) if answer.header("x-outcome") == Some("not-run") => story.not_run += 1,
            Some(answer) if answer.status == 200 => {
                assert_prefix(prompt, &answer);
                story.broken += 1;
            }
            Some(answer) => story.failed.push(answer),
            None => story.broken += 1,
        }
        assert!(Instant::now() < end, "no whole answer within {limit:?}: {story:?}");
        thread::sleep(COMEBACK_PAUSE);
    }
    unreachable!("addresses never end")
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
