//! Telling dead backend servers from those out of reach.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_policy::SuspectStatus;
use comfreyturn_ports::{PeerNotice, Step};
use comfreyturn_types::VmId;

use crate::{RequestService, VmRun};

/// Pause between two looks at a backend server that does not answer.
const POLL_PERIOD: Duration = Duration::from_millis(250);

/// A backend server that an attempt relies on, with the run of it known at dispatch.
#[derive(Clone, Debug)]
pub(crate) struct KnownVm {
    pub(crate) vm: VmId,
    pub(crate) run: Option<VmRun>,
}

/// Whether a backend server died between two looks at it. One that was leaving did not die of a
/// request.
pub(crate) fn has_crashed(before: Option<VmRun>, after: Option<VmRun>) -> bool {
    match (before, after) {
        (Some(before), _) if before.leaving => false,
        (Some(before), Some(after)) => before.incarnation != after.incarnation,
        (Some(_), None) => true,
        (None, _) => false,
    }
}

/// A death that may be no more than a broken network.
#[derive(Clone)]
pub(crate) struct CrashConfirmation {
    pub(crate) service: Rc<RequestService>,
    /// Those that did not answer, or that started again.
    pub(crate) missing: Vec<KnownVm>,
    /// When they were first found missing.
    pub(crate) since: Instant,
}

impl CrashConfirmation {
    /// Whether one of them started again, or was not heard of by anybody for the time of doubt.
    pub(crate) async fn is_confirmed(&self) -> bool {
        let until = self.since + self.service.settings.crash_confirmation;
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

    /// Takes a first death back if it was none.
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
        log::info!("suspects: backend server is alive, suspicion taken back.");
        self.service.record_cleared(fingerprint);
        let notice = PeerNotice::SuspectCleared { fingerprint };
        self.service.view.notify(Step::SuspectNotify, notice).await;
    }
}
