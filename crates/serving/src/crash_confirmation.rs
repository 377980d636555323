//! Distinguishes crashed backend servers from unreachable ones.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_policy::SuspectStatus;
use comfreyturn_ports::{PeerNotice, Step};
use comfreyturn_types::VmId;
use xxhash_rust::xxh3::Xxh3;

use crate::{RequestService, VmRun};

/// Pause between two polls of an unresponsive backend server.
const POLL_PERIOD: Duration = Duration::from_millis(250);

/// A backend server that an attempt relies on, with its run known at dispatch.
#[derive(Clone, Debug)]
pub(crate) struct KnownVm {
    pub(crate) vm: VmId,
    pub(crate) run: Option<VmRun>,
}

/// Whether a backend server crashed between two observations. One that was leaving did not crash
/// because of a request.
pub(crate) fn has_crashed(before: Option<VmRun>, after: Option<VmRun>) -> bool {
    match (before, after) {
        (Some(before), _) if before.leaving => false,
        (Some(before), Some(after)) => before.incarnation != after.incarnation,
        (Some(_), None) => true,
        (None, _) => false,
    }
}

/// Identifies a crash by the target and the incarnations of its backend servers: the same at all
/// nodes, and different after any of these servers has restarted.
pub(crate) fn crash_id(target: &str, known: &[KnownVm]) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(target.as_bytes());
    for member in known {
        hasher.update(member.vm.as_str().as_bytes());
        hasher.update(&member.run.map_or(0, |run| run.incarnation.0).to_be_bytes());
    }
    hasher.digest()
}

/// A presumed crash that may be only a network failure.
#[derive(Clone)]
pub(crate) struct CrashConfirmation {
    pub(crate) service: Rc<RequestService>,
    /// Backend servers that did not answer, or that restarted.
    pub(crate) missing: Vec<KnownVm>,
    /// When the check that found them missing began.
    pub(crate) since: Instant,
}

impl CrashConfirmation {
    /// Waits until the crash is confirmed or refuted. It is confirmed if a backend server
    /// restarted, or if no node received a response from one during `crash_confirm_time`.
    pub(crate) async fn is_confirmed(&self) -> bool {
        let until = self.since + self.service.settings.crash_confirm_time;
        loop {
            let mut unresponsive = 0;
            for member in &self.missing {
                match self.poll(member).await {
                    None => unresponsive += 1,
                    found if has_crashed(member.run, found) => return true,
                    Some(_) => {}
                }
            }
            if unresponsive == 0 {
                return false;
            }
            if self.service.ports.now() >= until {
                return true;
            }
            self.service.ports.clock.sleep(POLL_PERIOD).await;
        }
    }

    async fn poll(&self, member: &KnownVm) -> Option<VmRun> {
        match self.service.view.seen_since(&member.vm, self.since) {
            Some(run) => Some(run),
            None => self.service.view.probe(&member.vm).await,
        }
    }

    /// Clears the suspicion if the crash is not confirmed. Does not wait for that.
    pub(crate) fn retract_unless_confirmed(&self, fingerprint: u64) {
        let confirmation = self.clone();
        self.service.ports.spawner.spawn(Box::pin(async move {
            if !confirmation.is_confirmed().await {
                confirmation.retract(fingerprint).await;
            }
        }));
    }

    async fn retract(&self, fingerprint: u64) {
        let now = self.service.ports.now();
        let status = self.service.policies.borrow().suspects.status(now, fingerprint);
        if status != SuspectStatus::Suspect {
            return;
        }
        log::info!("suspects: backend server is alive, suspicion retracted.");
        self.service.record_cleared(fingerprint);
        let notice = PeerNotice::SuspectCleared { fingerprint };
        self.service.view.notify(Step::SuspectNotify, notice).await;
    }
}
