//! Chooses the group that runs a completion.

use std::time::Duration;

use comfreyturn_policy::{RouteQuery, WholeGroup};
use comfreyturn_types::{RefusalReason, StreamId};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    Refusal,
    completion_run::CompletionRun,
    crash_confirmation::KnownVm,
    run_scope::{RunResult, RunStop},
    suspect_slots::SlotGuard,
};

/// Length of the prompt prefix that is hashed for prefix affinity, in bytes.
const PREFIX_BYTES: usize = 1024;

/// Estimated length of a token, in bytes.
const TOKEN_BYTES: usize = 4;

/// Destination of an attempt.
pub(crate) struct Placement {
    pub(crate) group: WholeGroup,
    pub(crate) stream: StreamId,
    pub(crate) known: Vec<KnownVm>,
    /// Held by a suspect until it has ended.
    pub(crate) slot: Option<SlotGuard>,
}

/// Result of acquiring the slot that a suspect needs.
enum Slot {
    NotNeeded,
    Held(SlotGuard),
    Busy,
}

impl CompletionRun {
    /// Chooses a group, waiting up to `group_wait`, or until the deadline for a suspect. A request
    /// that cannot have run yet waits only while there are groups that are busy.
    pub(crate) async fn place(&mut self) -> RunResult<Placement> {
        let give_up_at = self.run.now() + self.run.service.settings.group_wait;
        loop {
            self.run.check_quarantined()?;
            if let Some(placement) = self.try_place().await? {
                return Ok(placement);
            }
            let busy = !self.open_groups().is_empty();
            let late = self.run.now() >= give_up_at && !self.run.is_suspect();
            if late || !(busy || self.run.sent) {
                return Err(self.no_group(busy));
            }
            self.run.pause_before_attempt().await?;
            if self.run.sent {
                self.excluded.clear();
            }
        }
    }

    fn no_group(&self, busy: bool) -> RunStop {
        let overloaded = busy || !self.excluded.is_empty();
        let reason = if overloaded { RefusalReason::Overloaded } else { RefusalReason::NoCapacity };
        RunStop::Refused(Refusal { retry_after: self.retry_after, ..self.run.refusal(reason) })
    }

    async fn try_place(&mut self) -> RunResult<Option<Placement>> {
        let suspect = self.run.is_suspect();
        let mut groups = self.open_groups();
        while !groups.is_empty() {
            let Some(group) = self.choose(&groups) else {
                return Ok(None);
            };
            groups.retain(|other| other.assignment.group != group.assignment.group);
            let slot = match self.acquire_slot(&group, suspect).await? {
                Slot::NotNeeded => None,
                Slot::Held(guard) => Some(guard),
                Slot::Busy => continue,
            };
            if self.recheck(&group, suspect).await? {
                return Ok(Some(self.placement(group, slot)));
            }
        }
        Ok(None)
    }

    fn open_groups(&self) -> Vec<WholeGroup> {
        let view = &self.run.service.view;
        let mut groups = view.whole_groups(self.run.now(), &self.run.scope.service);
        groups.retain(|group| !self.excluded.contains(&group.assignment.group));
        groups
    }

    fn choose(&self, groups: &[WholeGroup]) -> Option<WholeGroup> {
        let query = self.route_query();
        let now = self.run.now();
        let mut policies = self.run.service.policies.borrow_mut();
        let chosen = policies.router.choose(now, &query, groups)?;
        groups.iter().find(|group| group.assignment.group == chosen).cloned()
    }

    pub(crate) fn route_query(&self) -> RouteQuery {
        let prompt = self.call.prompt.as_bytes();
        let prefix = &prompt[..prompt.len().min(PREFIX_BYTES)];
        RouteQuery {
            customer: self.run.scope.customer.clone(),
            prefix: xxh3_64(prefix),
            prompt_tokens: u32::try_from(prompt.len() / TOKEN_BYTES).unwrap_or(u32::MAX),
            avoid: self.avoid.clone(),
        }
    }

    async fn acquire_slot(&self, group: &WholeGroup, suspect: bool) -> RunResult<Slot> {
        if !suspect {
            return Ok(Slot::NotNeeded);
        }
        let target = group.assignment.group.as_str();
        let slots = self.run.service.slots.clone();
        if !slots.may_acquire(self.run.now(), target) {
            return Ok(Slot::Busy);
        }
        let guard = self.run.before_attempt(slots.acquire(target)).await?;
        Ok(guard.map_or(Slot::Busy, Slot::Held))
    }

    /// Whether a group can still run the request. Polls its members first if the evidence is old,
    /// and always for a suspect, so that a crash found after the dispatch cannot have happened
    /// before it.
    async fn recheck(&self, group: &WholeGroup, suspect: bool) -> RunResult<bool> {
        if !suspect && self.is_whole(group) {
            return Ok(true);
        }
        for vm in &group.assignment.members {
            self.run.before_attempt(self.run.service.view.probe(vm)).await?;
        }
        Ok(self.is_whole(group))
    }

    pub(crate) fn is_whole(&self, group: &WholeGroup) -> bool {
        let assignment = &group.assignment;
        let view = &self.run.service.view;
        view.is_group_whole(self.run.now(), &assignment.group, assignment.generation)
    }

    fn placement(&self, group: WholeGroup, slot: Option<SlotGuard>) -> Placement {
        Placement {
            known: self.run.known_vms(&group.assignment.members),
            stream: self.run.service.next_stream(),
            group,
            slot,
        }
    }

    /// Excludes a group that did not start the request from further attempts.
    pub(crate) fn exclude(&mut self, placement: &Placement, retry_after: Option<Duration>) {
        self.excluded.push(placement.group.assignment.group.clone());
        self.retry_after = match (self.retry_after, retry_after) {
            (Some(earlier), Some(later)) => Some(earlier.min(later)),
            (earlier, later) => earlier.or(later),
        };
    }
}
