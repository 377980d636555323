//! Callers that send requests, check answers and retry.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use comfreyturn_policy::PriorityClass;
use comfreyturn_ports::{Clock, CompletionEvent};
use comfreyturn_serving::{AnswerStream, CallScope, CompletionCall, PlainCall, Refusal};
use comfreyturn_standin::{PlainEcho, content_hash, finish_reason, output_length, output_token};
use comfreyturn_types::{RefusalReason, RequestOutcome};
use futures_util::{FutureExt, StreamExt, select_biased};

use super::{CUSTOMER, MODEL_SERVICE, PLAIN_SERVICE, World};

pub const MAX_TOKENS: u32 = 40;
const DEADLINE: Duration = Duration::from_secs(30);
const CALLER_TIMEOUT: Duration = Duration::from_secs(35);
const RESEND_PAUSE: Duration = Duration::from_millis(500);
const SUBMISSIONS: usize = 6;

/// A caller's request and how the caller sends it.
#[derive(Clone, Debug)]
pub struct TestJob {
    /// Prompt or body. Runs are counted by it, so different requests of a test must not share one.
    pub body: String,
    pub plain: bool,
    pub key: Option<String>,
    pub non_idempotent: bool,
    /// The caller disconnects after this many tokens.
    pub leaves_after: Option<u32>,
    /// Index of the node that receives the first submission.
    pub node: usize,
    pub starts_after: Duration,
}

impl TestJob {
    pub fn completion(body: &str) -> Self {
        Self {
            body: body.to_owned(),
            plain: false,
            key: None,
            non_idempotent: false,
            leaves_after: None,
            node: 0,
            starts_after: Duration::ZERO,
        }
    }

    pub fn plain(body: &str) -> Self {
        Self { plain: true, ..Self::completion(body) }
    }

    /// Makes the job run at most once over all submissions.
    pub fn keyed(self) -> Self {
        Self { key: Some(format!("key/{}", self.body)), non_idempotent: true, ..self }
    }

    /// Makes the job run at most once for each submission.
    pub fn once(self) -> Self {
        Self { non_idempotent: true, ..self }
    }

    pub fn at(self, node: usize) -> Self {
        Self { node, ..self }
    }
}

/// Result of one submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmissionEnd {
    Whole,
    Wrong(String),
    Refused(Refusal),
    /// Some tokens were received before the refusal.
    Broken(Refusal),
    CallerLeft,
    /// No final answer came within [`CALLER_TIMEOUT`].
    Silent,
}

impl SubmissionEnd {
    pub fn refusal(&self) -> Option<&Refusal> {
        match self {
            Self::Refused(refusal) | Self::Broken(refusal) => Some(refusal),
            _ => None,
        }
    }

    pub fn outcome(&self) -> Option<RequestOutcome> {
        self.refusal().map(|refusal| refusal.outcome)
    }

    pub fn reason(&self) -> Option<RefusalReason> {
        self.refusal().map(|refusal| refusal.reason)
    }
}

/// A request with all its submissions.
#[derive(Clone, Debug)]
pub struct JobReport {
    pub job: TestJob,
    pub ends: Vec<SubmissionEnd>,
}

impl JobReport {
    pub fn last(&self) -> &SubmissionEnd {
        self.ends.last().expect("each job is submitted")
    }
}

/// Submits a request until it has a final answer, each time to the next node.
pub async fn drive(world: Rc<World>, job: TestJob) -> JobReport {
    world.sleep(job.starts_after).await;
    let mut ends = Vec::new();
    while ends.len() < SUBMISSIONS {
        let end = submit(&world, &job, job.node + ends.len()).await;
        let pause = resend_delay(&job, &end);
        ends.push(end);
        let Some(pause) = pause else {
            break;
        };
        world.sleep(pause).await;
    }
    JobReport { job, ends }
}

/// Delay before the caller submits again; `None` if it does not.
fn resend_delay(job: &TestJob, end: &SubmissionEnd) -> Option<Duration> {
    let repeats = job.key.is_some() || !job.non_idempotent;
    match end {
        SubmissionEnd::Refused(refusal) if refusal.outcome == RequestOutcome::NotRun => {
            Some(refusal.retry_after.unwrap_or(RESEND_PAUSE).min(Duration::from_secs(5)))
        }
        SubmissionEnd::Silent if repeats => Some(RESEND_PAUSE),
        SubmissionEnd::Refused(_) | SubmissionEnd::Broken(_) if !job.non_idempotent => {
            Some(RESEND_PAUSE)
        }
        _ => None,
    }
}

/// Submits a request once.
pub async fn submit(world: &Rc<World>, job: &TestJob, node: usize) -> SubmissionEnd {
    let mut timeout = world.clock.sleep(CALLER_TIMEOUT).fuse();
    let work = async {
        if job.plain {
            submit_plain(world, job, node).await
        } else {
            submit_completion(world, job, node).await
        }
    };
    let mut work = std::pin::pin!(work.fuse());
    select_biased! {
        end = work => end,
        () = timeout => SubmissionEnd::Silent,
    }
}

async fn submit_completion(world: &Rc<World>, job: &TestJob, node: usize) -> SubmissionEnd {
    let node = world.node(node);
    let call = completion_call(world, job, &node.identity.node);
    match world.plan.on_node(&node.identity.node, node.service.complete(call)).await {
        Ok(stream) => read(job, stream).await,
        Err(refusal) => SubmissionEnd::Refused(refusal),
    }
}

async fn read(job: &TestJob, mut stream: AnswerStream) -> SubmissionEnd {
    let mut position = 0;
    while let Some(part) = stream.next().await {
        match part {
            Ok(CompletionEvent::Token(token)) => {
                let expected = output_token(&job.body, position);
                if token.position != position || token.text != expected {
                    return SubmissionEnd::Wrong(format!("{token:?} in place of {position}"));
                }
                position += 1;
            }
            Ok(CompletionEvent::Finished { reason }) => return check_end(job, position, &reason),
            Err(refusal) => return SubmissionEnd::Broken(refusal),
        }
        if job.leaves_after.is_some_and(|tokens| position >= tokens) {
            return SubmissionEnd::CallerLeft;
        }
    }
    SubmissionEnd::Wrong("the answer has no end".to_owned())
}

fn check_end(job: &TestJob, position: u32, reason: &str) -> SubmissionEnd {
    let length = output_length(&job.body, MAX_TOKENS);
    if position == length && reason == finish_reason(&job.body, MAX_TOKENS) {
        SubmissionEnd::Whole
    } else {
        SubmissionEnd::Wrong(format!("{position} tokens of {length}, {reason}"))
    }
}

async fn submit_plain(world: &Rc<World>, job: &TestJob, node: usize) -> SubmissionEnd {
    let node = world.node(node);
    let call = plain_call(world, job, &node.identity.node);
    match world.plan.on_node(&node.identity.node, node.service.call_plain(call)).await {
        Ok(response) => {
            let echo: PlainEcho = serde_json::from_slice(&response.body).expect("an echo");
            if echo.body_hash == content_hash(job.body.as_bytes()) {
                SubmissionEnd::Whole
            } else {
                SubmissionEnd::Wrong("the answer belongs to another body".to_owned())
            }
        }
        Err(refusal) => SubmissionEnd::Refused(refusal),
    }
}

fn scope(world: &World, job: &TestJob, node: &comfreyturn_types::NodeId) -> CallScope {
    let service = if job.plain { PLAIN_SERVICE } else { MODEL_SERVICE };
    CallScope {
        request_id: job.body.as_str().into(),
        customer: CUSTOMER.into(),
        service: service.into(),
        class: PriorityClass::Standard,
        deadline: world.plan.clock(node).now() + DEADLINE,
        idempotency_key: job.key.as_deref().map(Into::into),
        non_idempotent: job.non_idempotent,
    }
}

pub fn completion_call(
    world: &World,
    job: &TestJob,
    node: &comfreyturn_types::NodeId,
) -> CompletionCall {
    CompletionCall {
        scope: scope(world, job, node),
        prompt: job.body.clone(),
        max_tokens: MAX_TOKENS,
        parameters: serde_json::Map::new(),
        body_hash: content_hash(job.body.as_bytes()),
    }
}

pub fn plain_call(world: &World, job: &TestJob, node: &comfreyturn_types::NodeId) -> PlainCall {
    let request = http::Request::builder().method("POST").uri("/confirm");
    let request = match &job.key {
        Some(key) => request.header("idempotency-key", key),
        None => request,
    };
    let (head, ()) = request.body(()).expect("a request").into_parts();
    let body = Bytes::from(job.body.clone().into_bytes());
    PlainCall { scope: scope(world, job, node), head, body }
}
