//! Whether a node's configuration is recent enough to admit requests.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use comfreyturn_types::{ConfigVersion, Roster};

use crate::MemberRun;

/// How long a response about the configuration counts as evidence after its request was sent.
pub const CONFIG_EVIDENCE_LIFETIME: Duration = Duration::from_secs(5);

/// A version that the table or a member reported in response to a request.
#[derive(Clone, Copy, Debug)]
struct VersionEvidence {
    requested_at: Instant,
    version: ConfigVersion,
}

impl VersionEvidence {
    /// Whether it is recent evidence that `version` was the newest.
    fn supports(&self, now: Instant, version: ConfigVersion) -> bool {
        self.version <= version
            && now.saturating_duration_since(self.requested_at) <= CONFIG_EVIDENCE_LIFETIME
    }
}

/// Collects evidence that no newer configuration was accepted.
///
/// A node is fresh if, within [`CONFIG_EVIDENCE_LIFETIME`], it queried the table for the head of
/// the log or queried a strict majority of the roster, and knows every version that they reported.
#[derive(Clone, Debug, Default)]
pub struct FreshnessTracker {
    head: Option<VersionEvidence>,
    members: BTreeMap<MemberRun, VersionEvidence>,
}

impl FreshnessTracker {
    /// Records the head that the table returned to a request sent at `requested_at`.
    pub fn record_head(&mut self, requested_at: Instant, version: ConfigVersion) {
        let evidence = VersionEvidence { requested_at, version };
        if self.head.is_none_or(|head| head.requested_at <= requested_at) {
            self.head = Some(evidence);
        }
    }

    /// Records the version that a member returned to a request sent at `requested_at`.
    pub fn record_member(&mut self, run: MemberRun, requested_at: Instant, version: ConfigVersion) {
        let evidence = VersionEvidence { requested_at, version };
        let known = self.members.entry(run).or_insert(evidence);
        if known.requested_at <= requested_at {
            *known = evidence;
        }
    }

    /// Discards all evidence, for example after a jump of the clock.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Whether a node that knows `version` is fresh. `own` is the node's own run, which counts if
    /// it is on the roster.
    pub fn is_fresh(
        &self,
        now: Instant,
        version: ConfigVersion,
        roster: &Roster,
        own: &MemberRun,
    ) -> bool {
        if self.head.is_some_and(|head| head.supports(now, version)) {
            return true;
        }
        let supports = |run: &MemberRun| {
            run == own || self.members.get(run).is_some_and(|e| e.supports(now, version))
        };
        let supporting = roster
            .members
            .values()
            .filter(|member| supports(&(member.node.clone(), member.incarnation)))
            .count();
        supporting * 2 > roster.members.len()
    }
}
