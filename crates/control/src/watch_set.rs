//! The backend servers that a node watches.

use std::{collections::BTreeSet, rc::Rc};

use comfreyturn_policy::watchers_of;
use comfreyturn_types::{NodeId, Roster, VmId};

/// The backend servers that a node watches. The set is recomputed only when the roster or the list
/// of backend servers has changed.
#[derive(Clone, Debug, Default)]
pub(crate) struct WatchSet {
    roster: Roster,
    listed: Vec<VmId>,

    /// Invariant: computed from `roster` and `listed`.
    watched: Rc<BTreeSet<VmId>>,
}

impl WatchSet {
    /// Returns the backend servers of `listed` that `node` watches.
    pub(crate) fn update(
        &mut self,
        node: &NodeId,
        roster: &Roster,
        listed: &[VmId],
    ) -> Rc<BTreeSet<VmId>> {
        if self.roster != *roster || self.listed != listed {
            let watched = listed.iter().filter(|vm| watchers_of(vm, roster).contains(&node));
            self.watched = Rc::new(watched.cloned().collect());
            self.roster = roster.clone();
            self.listed = listed.to_vec();
        }
        Rc::clone(&self.watched)
    }
}
