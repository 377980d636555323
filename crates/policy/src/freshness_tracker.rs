//! Whether a node's configuration is recent enough to admit requests.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use comfreyturn_types::{ConfigVersion, Roster};

use crate::MemberRun;

/// How long an answer about the configuration counts, from when its question was sent.
pub const CONFIG_EVIDENCE_LIFETIME: Duration = Duration::from_secs(5);

/// A version that somebody stated in answer to a question.
#[derive(Clone, Copy, Debug)]
struct VersionEvidence {
    requested_at: Instant,
    version: ConfigVersion,
}

impl VersionEvidence {
    /// Whether it shows that `version` was the newest a moment ago.
    fn supports(&self, now: Instant, version: ConfigVersion) -> bool {
        self.version <= version
            && now.saturating_duration_since(self.requested_at) <= CONFIG_EVIDENCE_LIFETIME
    }
}

/// Collects evidence that no newer configuration was accepted.
///
/// A node is fresh if, within [`CONFIG_EVIDENCE_LIFETIME`], it asked the table for the head of the
/// log or asked a strict majority of the roster, and knows all that they stated.
#[derive(Clone, Debug, Default)]
pub struct FreshnessTracker {
    head: Option<VersionEvidence>,
    members: BTreeMap<MemberRun, VersionEvidence>,
}

impl FreshnessTracker {
    /// The table answered a question sent at `requested_at` with this head.
    pub fn record_head(&mut self, requested_at: Instant, version: ConfigVersion) {
        let evidence = VersionEvidence { requested_at, version };
        if self.head.is_none_or(|head| head.requested_at <= requested_at) {
            self.head = Some(evidence);
        }
    }

    /// A member answered a question sent at `requested_at` with the version that it knows.
    pub fn record_member(&mut self, run: MemberRun, requested_at: Instant, version: ConfigVersion) {
        let evidence = VersionEvidence { requested_at, version };
        let known = self.members.entry(run).or_insert(evidence);
        if known.requested_at <= requested_at {
            *known = evidence;
        }
    }

    /// Forgets everything, as after a jump of the clock.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Whether a node that knows `version` is fresh. `own` is the node's own run, which counts if
    /// the roster names it.
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
        let heard = roster
            .members
            .values()
            .filter(|member| supports(&(member.node.clone(), member.incarnation)))
            .count();
        heard * 2 > roster.members.len()
    }
}
