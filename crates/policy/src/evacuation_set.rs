//! The failure domains that operators evacuate.

use std::collections::BTreeSet;

use comfreyturn_types::{FailureDomain, StoreVersion};

/// Most domains in a set, which bounds the messages that contain it. The first ones by name are
/// used, so that all nodes use the same.
pub const MAX_EVACUATED_DOMAINS: usize = 64;

/// What a newer version of an [`EvacuationSet`] changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Domains that are evacuated from now on.
    pub begun: Vec<FailureDomain>,

    /// Domains that no longer are.
    pub ended: Vec<FailureDomain>,
}

/// The failure domains that operators evacuate, as of a version of the store. Nothing new is sent
/// to their servers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationSet {
    /// The version of the store at which the domains were read; `None` before the first reading.
    /// Invariant: never decreases. It rises with each reading, also if the domains stay the same.
    version: Option<StoreVersion>,

    /// Invariant: at most [`MAX_EVACUATED_DOMAINS`].
    domains: BTreeSet<FailureDomain>,

    /// Whether any node is known to have had an evacuated domain, so that others may have one that
    /// is out of date.
    was_used: bool,
}

impl EvacuationSet {
    /// Applies the domains that this node read from the store.
    pub fn apply_reading(
        &mut self,
        version: StoreVersion,
        domains: BTreeSet<FailureDomain>,
    ) -> EvacuationChange {
        self.was_used |= !domains.is_empty();
        self.apply(version, domains)
    }

    /// Applies the domains that another node knows. That it tells them, even none, shows that there
    /// was an evacuation.
    pub fn apply_told(
        &mut self,
        version: StoreVersion,
        domains: BTreeSet<FailureDomain>,
    ) -> EvacuationChange {
        self.was_used = true;
        self.apply(version, domains)
    }

    /// What other nodes should be told; `None` if there never was an evacuation.
    pub fn told(&self) -> Option<(StoreVersion, &BTreeSet<FailureDomain>)> {
        let version = self.version.filter(|_| self.was_used)?;
        Some((version, &self.domains))
    }

    /// Whether a domain is evacuated.
    pub fn contains(&self, domain: &FailureDomain) -> bool {
        self.domains.contains(domain)
    }

    /// Whether no domain is evacuated.
    pub fn is_empty(&self) -> bool {
        self.domains.is_empty()
    }

    /// Number of evacuated domains.
    pub fn len(&self) -> usize {
        self.domains.len()
    }

    /// Replaces the domains if the version is newer.
    fn apply(
        &mut self,
        version: StoreVersion,
        domains: BTreeSet<FailureDomain>,
    ) -> EvacuationChange {
        if self.version.is_some_and(|known| version <= known) {
            return EvacuationChange::default();
        }
        self.version = Some(version);
        let domains: BTreeSet<_> = domains.into_iter().take(MAX_EVACUATED_DOMAINS).collect();
        let old = std::mem::replace(&mut self.domains, domains);
        EvacuationChange {
            begun: self.domains.difference(&old).cloned().collect(),
            ended: old.difference(&self.domains).cloned().collect(),
        }
    }
}
