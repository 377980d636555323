//! How a model engine runs, resumes and cancels streams.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_ports::CompletionAttempt;
use comfreyturn_types::{StreamId, VmPhase};
use http::{HeaderValue, StatusCode, header};

use super::{
    batch_queue::BatchSlot,
    engine_service::EngineService,
    stream_log::{StreamEnd, StreamLog},
};
use crate::{
    EngineRecords, ExecutionEnd, ExecutionRecord, content_hash, finish_reason,
    http_server::{
        HttpAnswer, empty_answer, error_answer, event_answer, json_body, malformed_answer,
    },
    output_length, output_token,
    run_records::run_time_ms,
};

/// Value of `Retry-After` when the queue is full, in seconds.
const QUEUE_RETRY_AFTER: &str = "1";

impl EngineService {
    pub(super) async fn complete(self: &Rc<Self>, body: &[u8]) -> HttpAnswer {
        let Some(attempt) = json_body::<CompletionAttempt>(body) else {
            return malformed_answer();
        };
        if !self.serves(&attempt).await {
            self.journal.write(|records| records.not_started_ms.push(run_time_ms()));
            return error_answer(StatusCode::CONFLICT, "not-started");
        }
        if self.streams.borrow().contains_key(&attempt.stream) {
            return error_answer(StatusCode::BAD_REQUEST, "duplicate-stream");
        }
        if !delivered_matches(&attempt) {
            self.journal.write(|records| records.foreign_output += 1);
            return error_answer(StatusCode::UNPROCESSABLE_ENTITY, "foreign-output");
        }
        let Some(slot) = self.queue.enter(attempt.priority) else {
            self.journal.write(|records| records.not_started_ms.push(run_time_ms()));
            return queue_full_answer();
        };
        event_answer(self.start_stream(attempt, slot).events(0))
    }

    /// Whether the attempt names this VM's group and generation, this VM is the group's first
    /// member, and the group is whole.
    async fn serves(&self, attempt: &CompletionAttempt) -> bool {
        if self.leaving.get() || self.place.borrow().phase() != VmPhase::Ready {
            return false;
        }
        let Some(assignment) = self.place.borrow().assignment.clone() else {
            return false;
        };
        assignment.group == attempt.group
            && assignment.generation == attempt.generation
            && assignment.members.first() == Some(&self.settings.vm)
            && (self.place.borrow().is_whole || self.check_members(&assignment).await)
    }

    fn start_stream(self: &Rc<Self>, attempt: CompletionAttempt, slot: BatchSlot) -> Rc<StreamLog> {
        let first = u32::try_from(attempt.delivered.len()).unwrap_or(u32::MAX);
        let log = Rc::new(StreamLog::new(Instant::now(), first));
        self.streams.borrow_mut().insert(attempt.stream.clone(), log.clone());
        let index = self.record_execution(&attempt, first);
        let engine = self.clone();
        let stream_log = log.clone();
        self.stream_tasks.borrow_mut().spawn(async move {
            let end = engine.generate(&attempt, &stream_log, &slot, index).await;
            drop(slot);
            stream_log.finish(end);
            engine.record_end(index, end);
            compio::time::sleep(engine.settings.retention).await;
            engine.streams.borrow_mut().remove(&attempt.stream);
        });
        log
    }

    async fn generate(
        &self,
        attempt: &CompletionAttempt,
        log: &StreamLog,
        slot: &BatchSlot,
        index: usize,
    ) -> StreamEnd {
        slot.admitted().await;
        self.journal.write(|records| records.executions[index].started_ms = Some(run_time_ms()));
        compio::time::sleep(self.settings.first_token_delay).await;
        self.crash_if_marked(&attempt.prompt).await;
        let length = output_length(&attempt.prompt, attempt.max_tokens);
        for position in log.first()..length {
            if let Some(end) = log.end() {
                return end;
            }
            if log.unread_for(Instant::now(), self.settings.retention) {
                return StreamEnd::Cancelled;
            }
            log.push(output_token(&attempt.prompt, position));
            self.journal.write(|records| records.executions[index].tokens += 1);
            compio::time::sleep(self.token_interval()).await;
        }
        StreamEnd::Finished(finish_reason(&attempt.prompt, attempt.max_tokens))
    }

    fn token_interval(&self) -> Duration {
        Duration::from_secs_f64(1.0 / self.settings.tokens_per_second)
    }

    async fn crash_if_marked(&self, prompt: &str) {
        let Some(marker) = &self.settings.crash_marker else {
            return;
        };
        if !prompt.contains(marker) {
            return;
        }
        log::info!("engine: {} crashes: prompt contains the crash marker.", self.settings.vm);
        self.journal.write(crash_executions);
        // Fails if another stream has already crashed the server.
        let _ = self.crash.try_send(());
        std::future::pending().await
    }

    pub(super) fn resume(&self, stream: &str, query: Option<&str>) -> HttpAnswer {
        let position = query
            .and_then(|query| query.strip_prefix("position="))
            .and_then(|position| position.parse().ok())
            .unwrap_or(0);
        let log = self.streams.borrow().get(&StreamId::from(stream)).cloned();
        match log {
            Some(log) if position >= log.first() => event_answer(log.events(position)),
            _ => error_answer(StatusCode::NOT_FOUND, "unknown-stream"),
        }
    }

    pub(super) fn cancel(&self, stream: &str) -> HttpAnswer {
        let log = self.streams.borrow_mut().remove(&StreamId::from(stream));
        let Some(log) = log else {
            return error_answer(StatusCode::NOT_FOUND, "unknown-stream");
        };
        log.finish(StreamEnd::Cancelled);
        empty_answer(StatusCode::NO_CONTENT)
    }

    pub(super) fn break_streams(&self) {
        let streams = self.streams.take();
        drop(self.stream_tasks.take());
        for log in streams.values() {
            log.finish(StreamEnd::Broken);
        }
        self.journal.write(break_executions);
    }

    fn record_execution(&self, attempt: &CompletionAttempt, first: u32) -> usize {
        let record = ExecutionRecord {
            vm: self.settings.vm.clone(),
            incarnation: self.incarnation,
            stream: attempt.stream.clone(),
            prompt_hash: content_hash(attempt.prompt.as_bytes()),
            group: attempt.group.clone(),
            generation: attempt.generation,
            accepted_ms: run_time_ms(),
            started_ms: None,
            ended_ms: None,
            first_position: first,
            tokens: 0,
            end: ExecutionEnd::Running,
        };
        self.journal.write(|records| {
            records.executions.push(record);
            records.executions.len() - 1
        })
    }

    fn record_end(&self, index: usize, end: StreamEnd) {
        let end = match end {
            StreamEnd::Finished(_) => ExecutionEnd::Finished,
            StreamEnd::Broken => ExecutionEnd::Broken,
            StreamEnd::Cancelled => ExecutionEnd::Cancelled,
        };
        self.journal.write(|records| end_execution(&mut records.executions[index], end));
    }
}

fn delivered_matches(attempt: &CompletionAttempt) -> bool {
    (0..)
        .zip(&attempt.delivered)
        .all(|(position, text)| *text == output_token(&attempt.prompt, position))
}

fn queue_full_answer() -> HttpAnswer {
    let mut response = error_answer(StatusCode::SERVICE_UNAVAILABLE, "not-started")?;
    response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from_static(QUEUE_RETRY_AFTER));
    Ok(response)
}

fn crash_executions(records: &mut EngineRecords) {
    end_running(records, ExecutionEnd::Crashed);
}

fn break_executions(records: &mut EngineRecords) {
    end_running(records, ExecutionEnd::Broken);
}

fn end_running(records: &mut EngineRecords, end: ExecutionEnd) {
    let running = |execution: &&mut ExecutionRecord| execution.end == ExecutionEnd::Running;
    for execution in records.executions.iter_mut().filter(running) {
        end_execution(execution, end);
    }
}

fn end_execution(execution: &mut ExecutionRecord, end: ExecutionEnd) {
    if execution.end == ExecutionEnd::Running {
        execution.end = end;
        execution.ended_ms = Some(run_time_ms());
    }
}
