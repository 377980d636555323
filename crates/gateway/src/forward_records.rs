//! What the attempts of a request tell about servers, prompts and this node's paths.

use std::time::{Duration, Instant};

use comfreyturn_policy::SuspectLedger;
use comfreyturn_ports::{LinkError, LinkResult, ServerAnswer};
use comfreyturn_types::ServerLife;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    forward_attempt::{Attempt, AttemptError},
    forward_run::ForwardRun,
};

/// A connection that breaks less than this before the caller's deadline was closed by the server
/// because the time given to it had passed.
const SERVER_DEADLINE_MARGIN: Duration = Duration::from_millis(30);

impl ForwardRun {
    /// Records what an attempt over this node's own path tells about that path.
    pub(crate) fn record_path(&self, life: &ServerLife, reply: &LinkResult<Box<dyn ServerAnswer>>) {
        match reply {
            Ok(_) | Err(LinkError::NotRun | LinkError::Foreign) => self.state.record_reached(),
            Err(LinkError::NotSent | LinkError::Broken) => {
                self.state.record_unreached(self.now(), life);
            }
        }
    }

    /// Records that a server answers the request, so that no part of its prompt crashes servers.
    pub(crate) fn record_answer(&self) {
        self.state.parts.borrow_mut().record_answer(self.now(), &self.request.shared_parts);
    }

    /// Records a failed attempt at a server whose answer proved nothing yet. A connection that broke
    /// counts as a possible crash caused by a part of the prompt.
    pub(crate) fn record_part_crash(&self, life: &ServerLife, error: LinkError) {
        if error == LinkError::Broken && !self.state.paths.borrow().is_lost() {
            let parts = &self.request.shared_parts;
            self.progress.is_trial.set(false);
            self.state.parts.borrow_mut().record_crash(self.now(), crash_id(life), parts);
        }
    }

    /// Records that a server sent a part of an answer, and whether that came after a silence.
    pub(crate) fn record_heard(&self, now: Instant, attempt: &Attempt, is_late: bool) {
        let mut stalls = self.state.stalls.borrow_mut();
        if is_late {
            stalls.record_seen_late(now, &attempt.life);
        } else {
            stalls.record_seen(now, &attempt.life);
        }
        if attempt.is_direct {
            self.state.record_heard(&attempt.life);
        }
    }

    /// Records that a server was silent, unless this node's own path is at fault.
    pub(crate) fn record_stall(&self, life: &ServerLife) {
        if self.state.paths.borrow().is_lost() {
            return;
        }
        self.state.stalls.borrow_mut().record_stall(self.now(), life);
    }

    /// Records a failed attempt. A connection that broke while the request may have run counts as a
    /// possible crash caused by the request.
    pub(crate) fn record_failure(&self, life: &ServerLife, error: LinkError) {
        self.trace.failed(life, AttemptError::Link(error));
        if error != LinkError::Broken || self.state.paths.borrow().is_lost() {
            return;
        }
        let now = self.now();
        let fingerprint = self.request.fingerprint();
        let crash = crash_id(life);
        self.state.suspects.borrow_mut().record_crash(now, fingerprint, crash);
        self.state.crashes.borrow_mut().push((now, fingerprint, crash));
    }

    /// Classifies an error of a connection. A server closes the connection when the time given to
    /// it has passed; that isn't a failure of the server.
    pub(crate) fn attempt_error(&self, error: LinkError) -> AttemptError {
        let left = self.ends_at().saturating_duration_since(self.now());
        if error == LinkError::Broken && left <= SERVER_DEADLINE_MARGIN {
            return AttemptError::OutOfTime;
        }
        AttemptError::Link(error)
    }
}

/// Identifies the crash of a server.
fn crash_id(life: &ServerLife) -> u64 {
    xxh3_64(life.to_string().as_bytes())
}
