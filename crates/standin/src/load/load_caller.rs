//! One caller: sends a request and checks the answer.

use std::{cell::RefCell, net::SocketAddr, time::Instant};

use comfreyturn_types::{RefusalReason, RequestOutcome};
use http::{HeaderName, HeaderValue, Method};
use serde::Deserialize;
use serde_json::json;

use super::{LoadOutcome, LoadSettings, address_table::AddressTable, load_report::LoadTally};
use crate::{EventStream, ServerClient, StandinError, StandinResult, output_text};

/// Path of completions.
const COMPLETIONS_PATH: &str = "/v1/completions";

/// Data of the last event of a complete answer.
const DONE_DATA: &str = "[DONE]";

/// One event of a streamed answer.
#[derive(Deserialize)]
#[serde(untagged)]
enum AnswerEvent {
    Error { error: AnswerError },
    Choices { choices: Vec<AnswerChoice> },
}

#[derive(Deserialize)]
struct AnswerChoice {
    text: String,
}

#[derive(Deserialize)]
struct AnswerError {
    outcome: RequestOutcome,
    reason: Option<RefusalReason>,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: AnswerError,
}

impl AnswerError {
    fn outcome(&self) -> LoadOutcome {
        match (self.outcome, self.reason) {
            (
                RequestOutcome::NotRun,
                Some(RefusalReason::LimitReached | RefusalReason::Overloaded),
            ) => LoadOutcome::Refused,
            (RequestOutcome::NotRun, _) => LoadOutcome::NotRun,
            (RequestOutcome::Unknown, _) => LoadOutcome::Unknown,
            (RequestOutcome::Failed, _) => LoadOutcome::Failed,
        }
    }
}

/// State that all callers of a load share.
pub(crate) struct LoadCallers {
    pub(crate) settings: LoadSettings,
    pub(crate) headers: Vec<(HeaderName, HeaderValue)>,
    pub(crate) addresses: AddressTable,
    pub(crate) tally: RefCell<LoadTally>,
}

impl LoadCallers {
    /// Makes one request for a caller that arrived at `arrived`, and counts its outcome.
    pub(crate) async fn call(&self, request: u32, arrived: Instant) {
        let called = self.outcome(request, arrived);
        let called = compio::time::timeout(self.settings.timeout, called).await;
        let outcome = called.unwrap_or(LoadOutcome::Unknown);
        self.tally.borrow_mut().record_outcome(outcome);
    }

    async fn outcome(&self, request: u32, arrived: Instant) -> LoadOutcome {
        let prompt = self.settings.prompt(request);
        for address in self.addresses.addresses(Instant::now()).await {
            let answer = match self.send(address, &prompt).await {
                Ok(answer) => answer,
                Err(StandinError::NotReached { .. }) => continue,
                Err(_) => return LoadOutcome::Unknown,
            };
            if !answer.status().is_success() {
                return refusal(answer).await;
            }
            return self.read(answer, &prompt, arrived).await;
        }
        LoadOutcome::NotRun
    }

    async fn send(&self, address: SocketAddr, prompt: &str) -> StandinResult<EventStream> {
        let timeout = self.settings.timeout;
        let client = ServerClient { address, timeout, headers: self.headers.clone() };
        let body = json!({
            "model": self.settings.service,
            "prompt": prompt,
            "max_tokens": self.settings.output_tokens,
            "stream": true,
        });
        client.events(Method::POST, COMPLETIONS_PATH, &body).await
    }

    async fn read(&self, mut answer: EventStream, prompt: &str, arrived: Instant) -> LoadOutcome {
        let expected = output_text(prompt, self.settings.output_tokens);
        let mut text = String::new();
        let mut last = None;
        while let Ok(Some(data)) = answer.next().await {
            if data == DONE_DATA {
                let is_whole = text == expected;
                return if is_whole { LoadOutcome::Whole } else { LoadOutcome::Wrong };
            }
            let added = match serde_json::from_str(&data) {
                Ok(AnswerEvent::Choices { choices }) => {
                    choices.into_iter().map(|choice| choice.text).collect::<String>()
                }
                Ok(AnswerEvent::Error { error }) => return error.outcome(),
                Err(_) => return LoadOutcome::Wrong,
            };
            if added.is_empty() {
                continue;
            }
            text.push_str(&added);
            if !expected.starts_with(&text) {
                return LoadOutcome::Wrong;
            }
            last = Some(self.record_token(arrived, last));
        }
        LoadOutcome::Unknown
    }

    fn record_token(&self, arrived: Instant, last: Option<Instant>) -> Instant {
        let now = Instant::now();
        let mut tally = self.tally.borrow_mut();
        match last {
            None => tally.record_first_token(now - arrived),
            Some(last) => tally.record_next_token(now - last),
        }
        now
    }
}

async fn refusal(answer: EventStream) -> LoadOutcome {
    let Ok(body) = answer.rest().await else {
        return LoadOutcome::Unknown;
    };
    match serde_json::from_slice::<ErrorBody>(&body) {
        Ok(body) => body.error.outcome(),
        Err(_) => LoadOutcome::Unknown,
    }
}
