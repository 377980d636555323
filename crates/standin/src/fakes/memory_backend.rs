//! One in-memory backend server.

use std::time::Duration;

use comfreyturn_ports::{BackendError, BackendResult, CompletionAttempt, PlainRequest};
use comfreyturn_types::{GroupGeneration, GroupId, Incarnation, StreamId, VmId};
use http::StatusCode;

use super::memory_runs::{CompletionRun, PlainRun, milliseconds};
use crate::{ExecutionEnd, PlainEcho, PlainExecution, content_hash, output_token};

/// Header of a request that must run at most once.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Retry delay that is reported when the batch is full.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Behaviour of an in-memory backend server.
#[derive(Clone, Debug)]
pub struct MemoryBackendSettings {
    /// The VM that it runs on.
    pub vm: VmId,

    /// The group and generation that it serves as the first VM. `None` accepts any.
    pub place: Option<(GroupId, GroupGeneration)>,

    /// Maximum number of concurrent completions.
    pub capacity: u32,

    /// Time from a dispatch to the first token.
    pub first_token_delay: Duration,

    /// Time between tokens.
    pub token_interval: Duration,

    /// Time that a plain request takes.
    pub plain_delay: Duration,

    /// The backend server crashes on a prompt or body that contains this text.
    pub crash_marker: Option<String>,
}

impl Default for MemoryBackendSettings {
    fn default() -> Self {
        Self {
            vm: VmId::from("vm-1"),
            place: None,
            capacity: 32,
            first_token_delay: Duration::from_millis(20),
            token_interval: Duration::from_millis(10),
            plain_delay: Duration::from_millis(20),
            crash_marker: None,
        }
    }
}

/// An in-memory backend server, with the runs of its requests.
pub(super) struct MemoryBackend {
    pub(super) settings: MemoryBackendSettings,
    pub(super) incarnation: Incarnation,
    pub(super) is_alive: bool,
    pub(super) leaving: bool,
    pub(super) rejects_with: Option<u16>,
    pub(super) completions: Vec<CompletionRun>,
    pub(super) plains: Vec<PlainRun>,
}

impl MemoryBackend {
    /// A backend server without runs.
    pub(super) fn new(settings: MemoryBackendSettings, incarnation: Incarnation) -> Self {
        Self {
            settings,
            incarnation,
            is_alive: true,
            leaving: false,
            rejects_with: None,
            completions: Vec::new(),
            plains: Vec::new(),
        }
    }

    /// Whether the server crashes on this content.
    pub(super) fn is_marked(&self, content: &str) -> bool {
        self.settings.crash_marker.as_ref().is_some_and(|marker| content.contains(marker))
    }

    /// Ends all unfinished runs.
    pub(super) fn end_runs(&mut self, now: Duration, end: ExecutionEnd) {
        for run in &mut self.completions {
            run.cut_short(now, end);
        }
        for run in &mut self.plains {
            run.cut_short(now, end);
        }
    }

    /// The run of a stream.
    pub(super) fn run_mut(&mut self, stream: &StreamId) -> Option<&mut CompletionRun> {
        self.completions.iter_mut().find(|run| run.attempt.stream == *stream)
    }

    /// Returns an error if an attempt may not start.
    fn check(&self, now: Duration, attempt: &CompletionAttempt) -> BackendResult<()> {
        let is_known = self.completions.iter().any(|run| run.attempt.stream == attempt.stream);
        let place = (attempt.group.clone(), attempt.generation);
        let is_placed = self.settings.place.as_ref().is_none_or(|held| *held == place);
        if self.leaving || !is_placed {
            return Err(BackendError::NotStarted { retry_after: None });
        }
        if let Some(status) = self.rejects_with {
            return Err(BackendError::Rejected { status });
        }
        if is_known {
            return Err(BackendError::Rejected { status: StatusCode::BAD_REQUEST.as_u16() });
        }
        let mut delivered = (0..).zip(&attempt.delivered);
        if delivered.any(|(position, text)| *text != output_token(&attempt.prompt, position)) {
            let status = StatusCode::UNPROCESSABLE_ENTITY.as_u16();
            return Err(BackendError::Rejected { status });
        }
        let running = self.completions.iter().filter(|run| run.is_running(now)).count();
        if running >= usize::try_from(self.settings.capacity).unwrap_or(usize::MAX) {
            return Err(BackendError::NotStarted { retry_after: Some(FULL_RETRY_AFTER) });
        }
        Ok(())
    }

    /// Starts a completion.
    pub(super) fn start(
        &mut self,
        now: Duration,
        attempt: &CompletionAttempt,
    ) -> BackendResult<()> {
        self.check(now, attempt)?;
        self.completions.push(CompletionRun {
            vm: self.settings.vm.clone(),
            incarnation: self.incarnation,
            attempt: attempt.clone(),
            started: now,
            first_token_delay: self.settings.first_token_delay,
            token_interval: self.settings.token_interval,
            stop: None,
        });
        Ok(())
    }

    /// Starts a plain request.
    pub(super) fn start_plain(
        &mut self,
        now: Duration,
        request: &PlainRequest,
    ) -> BackendResult<PlainEcho> {
        if self.leaving {
            return Err(BackendError::NotStarted { retry_after: None });
        }
        let head = &request.head;
        let key = head.headers.get(IDEMPOTENCY_KEY).and_then(|key| key.to_str().ok());
        let path = head.uri.path_and_query().map_or_else(String::new, ToString::to_string);
        let echo = PlainEcho {
            method: head.method.to_string(),
            path,
            body_hash: content_hash(&request.body),
            execution: u64::try_from(self.plains.len()).unwrap_or(u64::MAX) + 1,
        };
        let record = PlainExecution {
            vm: self.settings.vm.clone(),
            execution: echo.execution,
            key: key.map(str::to_owned),
            method: echo.method.clone(),
            path: echo.path.clone(),
            body_hash: echo.body_hash,
            started_ms: milliseconds(now),
            ended_ms: None,
            end: ExecutionEnd::Running,
        };
        let finishes_at = now + self.settings.plain_delay;
        self.plains.push(PlainRun { record, finishes_at, stop: None });
        Ok(echo)
    }
}
