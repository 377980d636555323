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
const LOOK_PERIOD: Duration = Duration::from_millis(250);

/// A backend server that an attempt relies on, with the run of it known at dispatch.
#[derive(Clone, Debug)]
pub(crate) struct KnownVm {
    pub(crate) vm: VmId,
    pub(crate) run: Option<VmRun>,
}

/// Whether a backend server died between two looks at it. One that was leaving did not die of a
/// request.
pub(crate) fn is_death(before: Option<VmRun>, after: Option<VmRun>) -> bool {
    match (before, after) {
        (Some(before), _) if before.leaving => false,
        (Some(before), Some(after)) => before.incarnation != after.incarnation,
        (Some(_), None) => true,
        (None, _) => false,
    }
}

/// A death that may be no more than a broken network.
#[derive(Clone)]
pub(crate) struct DeathDoubt {
    pub(crate) service: Rc<RequestService>,
    /// Those that did not answer, or that started again.
    pub(crate) missing: Vec<KnownVm>,
    /// When they were first found missing.
    pub(crate) since: Instant,
}

impl DeathDoubt {
    /// Whether one of them started again, or was not heard of by anybody for the time of doubt.
    pub(crate) async fn is_confirmed(&self) -> bool {
        let until = self.since + self.service.settings.death_doubt;
        loop {
            let mut silent = 0;
            for member in &self.missing {
                match self.look(member).await {
                    None => silent += 1,
                    found if is_death(member.run, found) => return true,
                    Some(_) => {}
                }
            }
            if silent == 0 {
                return false;
            }
            if self.service.ports.now() >= until {
                return true;
            }
            self.service.ports.clock.sleep(LOOK_PERIOD).await;
        }
    }

    async fn look(&self, member: &KnownVm) -> Option<VmRun> {
        match self.service.view.seen_since(&member.vm, self.since) {
            Some(run) => Some(run),
            None => self.service.view.probe(&member.vm).await,
        }
    }

    /// Takes a first death back if it was none.
    pub(crate) fn follow(&self, fingerprint: u64) {
        let doubt = self.clone();
        self.service.ports.spawner.spawn(Box::pin(async move {
            if !doubt.is_confirmed().await {
                doubt.take_back(fingerprint).await;
            }
        }));
    }

    async fn take_back(&self, fingerprint: u64) {
        let now = self.service.ports.now();
        let status = self.service.policies.borrow().suspects.status(now, fingerprint);
        if status != SuspectStatus::Suspect {
            return;
        }
        log::info!("suspects: backend server is alive, suspicion taken back.");
        self.service.note_cleared(fingerprint);
        let notice = PeerNotice::SuspectCleared { fingerprint };
        self.service.view.notify(Step::SuspectNotify, notice).await;
    }
}
