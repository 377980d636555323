//! The failure domains that operators evacuate.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use comfreyturn_types::{FailureDomain, StoreVersion};

/// Most domains in a set, which bounds the messages that contain it. The first ones by name are
/// used, so that all nodes use the same.
pub const MAX_EVACUATED_DOMAINS: usize = 64;

/// Time for which an evacuation that a restored store lacks goes on unless operators write it again.
/// Bounded, because one that they take back in this time can't be told from one that was lost.
pub const RESTORE_KEEP_TIME: Duration = Duration::from_secs(30);

/// What a newer version, or the passing of time, changed in an [`EvacuationSet`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Domains that are evacuated from now on.
    pub begun: Vec<FailureDomain>,

    /// Domains that stay evacuated for [`RESTORE_KEEP_TIME`] although the restored store lacks them.
    pub kept: Vec<FailureDomain>,

    /// Domains that no longer are evacuated.
    pub ended: Vec<FailureDomain>,
}

/// What a node tells others of its [`EvacuationSet`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ToldEvacuation {
    /// The version of the store at which `domains` were read.
    pub version: StoreVersion,

    /// The domains that the store listed.
    pub domains: BTreeSet<FailureDomain>,

    /// Domains that the restored store lacks and that the sender keeps.
    pub kept: BTreeSet<FailureDomain>,

    /// How much longer the sender keeps them.
    pub kept_for: Duration,
}

/// The failure domains that operators evacuate, as of a version of the store. Nothing new is sent
/// to their servers.
///
/// A store that was restored from an older copy may lack an evacuation until operators write it
/// again. A missing row isn't a statement that the evacuation ended, so domains known before the
/// restore are kept for some time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationSet {
    /// The version of the store at which the domains were read; `None` before the first reading.
    /// Invariant: never decreases. It rises with each reading, also if the domains stay the same.
    version: Option<StoreVersion>,

    /// Invariant: at most [`MAX_EVACUATED_DOMAINS`].
    domains: BTreeSet<FailureDomain>,

    /// Domains evacuated in an earlier era that the store hasn't listed in the present one.
    /// Invariant: disjoint from `domains`, and at most [`MAX_EVACUATED_DOMAINS`].
    kept: BTreeSet<FailureDomain>,

    /// When `kept` ends; `None` if it is empty.
    kept_until: Option<Instant>,

    /// Whether this node knew an earlier era. It then knows itself which domains to keep.
    saw_restore: bool,

    /// Whether any node is known to have had an evacuated domain, so that others may have one that
    /// is out of date.
    was_used: bool,
}

impl EvacuationSet {
    /// Applies the domains that this node read from the store.
    pub fn apply_reading(
        &mut self,
        now: Instant,
        version: StoreVersion,
        domains: BTreeSet<FailureDomain>,
    ) -> EvacuationChange {
        self.was_used |= !domains.is_empty();
        self.apply(now, version, domains)
    }

    /// Applies what another node knows. That it tells a set, even an empty one, shows that there was
    /// an evacuation.
    pub fn apply_told(&mut self, now: Instant, told: ToldEvacuation) -> EvacuationChange {
        self.was_used = true;
        let ToldEvacuation { version, domains, kept, kept_for } = told;
        let mut change = self.apply(now, version, domains);
        // A sender with an older version may not have read yet that operators ended it.
        if !self.saw_restore && self.version == Some(version) {
            change.kept = self.keep_told(now, kept, kept_for);
        }
        change
    }

    /// Keeps domains that another node keeps; returns those that were not evacuated here.
    fn keep_told(
        &mut self,
        now: Instant,
        mut domains: BTreeSet<FailureDomain>,
        time: Duration,
    ) -> Vec<FailureDomain> {
        domains.retain(|domain| !self.domains.contains(domain));
        if domains.is_empty() {
            return Vec::new();
        }
        let until = now + time.min(RESTORE_KEEP_TIME);
        self.kept_until = self.kept_until.max(Some(until));
        let known = self.kept.clone();
        self.kept.extend(domains);
        while self.kept.len() > MAX_EVACUATED_DOMAINS {
            self.kept.pop_last();
        }
        self.kept.difference(&known).cloned().collect()
    }

    /// What other nodes should be told; `None` if there never was an evacuation. Kept domains are
    /// told only by nodes that knew them before the restore, so that none is passed on forever.
    pub fn told(&self, now: Instant) -> Option<ToldEvacuation> {
        let version = self.version.filter(|_| self.was_used)?;
        let mut told =
            ToldEvacuation { version, domains: self.domains.clone(), ..Default::default() };
        if let Some(until) = self.kept_until.filter(|_| self.saw_restore) {
            told.kept = self.kept.clone();
            told.kept_for = until.saturating_duration_since(now);
        }
        Some(told)
    }

    /// Ends the evacuation of domains that were kept long enough.
    pub fn end_kept(&mut self, now: Instant) -> EvacuationChange {
        if self.kept_until.is_none_or(|until| now < until) {
            return EvacuationChange::default();
        }
        self.kept_until = None;
        let ended = std::mem::take(&mut self.kept).into_iter().collect();
        EvacuationChange { ended, ..Default::default() }
    }

    /// Whether a domain is evacuated.
    pub fn contains(&self, domain: &FailureDomain) -> bool {
        self.domains.contains(domain) || self.kept.contains(domain)
    }

    /// Whether no domain is evacuated.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of evacuated domains.
    pub fn len(&self) -> usize {
        self.domains.len() + self.kept.len()
    }

    /// Replaces the domains if the version is newer.
    fn apply(
        &mut self,
        now: Instant,
        version: StoreVersion,
        domains: BTreeSet<FailureDomain>,
    ) -> EvacuationChange {
        if self.version.is_some_and(|known| version <= known) {
            return EvacuationChange::default();
        }
        let is_restored = self.version.is_some_and(|known| known.era != version.era);
        let before = self.all();
        self.version = Some(version);
        self.domains = domains.into_iter().take(MAX_EVACUATED_DOMAINS).collect();
        let mut change = EvacuationChange::default();
        if is_restored {
            self.saw_restore = true;
            self.kept =
                before.difference(&self.domains).take(MAX_EVACUATED_DOMAINS).cloned().collect();
            self.kept_until = Some(now + RESTORE_KEEP_TIME);
            change.kept = self.kept.iter().cloned().collect();
        } else {
            self.kept.retain(|domain| !self.domains.contains(domain));
        }
        if self.kept.is_empty() {
            self.kept_until = None;
        }
        let after = self.all();
        change.begun = after.difference(&before).cloned().collect();
        change.ended = before.difference(&after).cloned().collect();
        change
    }

    fn all(&self) -> BTreeSet<FailureDomain> {
        self.domains.union(&self.kept).cloned().collect()
    }
}
