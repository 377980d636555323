//! The output of the model engine stand-in, as a pure function of the prompt.

use xxhash_rust::xxh3::xxh3_64;

/// Length of the shortest answer that the token limit does not cut, in tokens.
const SHORTEST_ANSWER: u64 = 16;

/// Number of possible lengths of an answer that the token limit does not cut.
const ANSWER_LENGTHS: u64 = 4096;

/// The token at a position of the answer to a prompt, with a leading space.
pub fn output_token(prompt: &str, position: u32) -> String {
    let hash = xxh3_64(format!("{prompt}\u{0}{position}").as_bytes());
    format!(" {:06x}", hash & 0xff_ffff)
}

/// Number of tokens in the answer to a prompt.
pub fn output_length(prompt: &str, max_tokens: u32) -> u32 {
    natural_length(prompt).min(max_tokens)
}

/// The finish reason of the answer to a prompt: `length` at the token limit, `stop` before it.
pub fn finish_reason(prompt: &str, max_tokens: u32) -> &'static str {
    if natural_length(prompt) < max_tokens { "stop" } else { "length" }
}

/// The complete answer to a prompt.
pub fn output_text(prompt: &str, max_tokens: u32) -> String {
    (0..output_length(prompt, max_tokens)).map(|position| output_token(prompt, position)).collect()
}

/// The hash that identifies a prompt or a body in records.
pub fn content_hash(content: &[u8]) -> u64 {
    xxh3_64(content)
}

fn natural_length(prompt: &str) -> u32 {
    let length = SHORTEST_ANSWER + xxh3_64(prompt.as_bytes()) % ANSWER_LENGTHS;
    u32::try_from(length).expect("the length is bounded by constants")
}
