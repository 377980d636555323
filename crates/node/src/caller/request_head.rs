//! Headers of callers' requests.

use std::time::Duration;

use comfreyturn_policy::PriorityClass;
use comfreyturn_types::{IdempotencyKey, RefusalReason};
use http::{HeaderMap, header};

use super::error_answer::ErrorAnswer;

/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Longest deadline, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// The values of the headers that the node reads.
#[derive(Clone, Debug, Default)]
pub struct RequestHead {
    /// The customer's key, from the bearer token.
    pub bearer: Option<String>,

    /// The priority class.
    pub class: PriorityClass,

    /// Time from the arrival of the request until its deadline.
    pub deadline: Option<Duration>,

    /// The idempotency key, with which the request runs at most once.
    pub key: Option<IdempotencyKey>,

    /// Whether the caller declares the request idempotent; `None` if it states nothing.
    pub idempotent: Option<bool>,
}

impl RequestHead {
    /// Parses the headers.
    ///
    /// # Errors
    /// Names the malformed header.
    pub fn parse(headers: &HeaderMap) -> Result<Self, ErrorAnswer> {
        let bearer = text(headers, header::AUTHORIZATION.as_str())?
            .and_then(|value| value.strip_prefix("Bearer ").map(str::to_owned));
        let class = match text(headers, "x-priority")? {
            None => PriorityClass::default(),
            Some(name) => name
                .parse()
                .map_err(|_| bad_header("x-priority", "must be interactive, standard or batch"))?,
        };
        Ok(Self {
            bearer,
            class,
            deadline: deadline(headers)?,
            key: key(headers)?,
            idempotent: idempotent(headers)?,
        })
    }
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, ErrorAnswer> {
    let Some(value) = text(headers, "x-deadline-ms")? else { return Ok(None) };
    match value.parse() {
        Ok(ms @ 1..=MAX_DEADLINE_MS) => Ok(Some(Duration::from_millis(ms))),
        _ => Err(bad_header("x-deadline-ms", "must be from 1 to 3600000")),
    }
}

fn key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, ErrorAnswer> {
    let Some(value) = text(headers, "idempotency-key")? else { return Ok(None) };
    if !(1..=MAX_KEY_BYTES).contains(&value.len()) {
        return Err(bad_header("idempotency-key", "must have 1 to 255 characters"));
    }
    Ok(Some(value.into()))
}

fn idempotent(headers: &HeaderMap) -> Result<Option<bool>, ErrorAnswer> {
    match text(headers, "x-idempotent")? {
        None => Ok(None),
        Some("true") => Ok(Some(true)),
        Some("false") => Ok(Some(false)),
        Some(_) => Err(bad_header("x-idempotent", "must be true or false")),
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, ErrorAnswer> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(bad_header(name, "stands twice"));
    }
    value.to_str().map(Some).map_err(|_| bad_header(name, "is not plain text"))
}

fn bad_header(name: &str, problem: &str) -> ErrorAnswer {
    ErrorAnswer::not_run(RefusalReason::BadRequest, format!("Header {name} {problem}."))
}
