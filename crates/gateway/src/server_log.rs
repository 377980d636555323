//! The log of changes of the list of servers, from which a node sends its members what they lack.

use std::{
    collections::{BTreeMap, HashMap},
    ops::Bound,
};

use comfreyturn_types::{FleetServer, StoreVersion, VmId};

/// The newest change of one server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoggedChange {
    /// The VM.
    pub vm: VmId,

    /// The version at which some node saw the change. Invariant: not older than the change.
    pub version: StoreVersion,

    /// The server; `None` if it is no longer in the list.
    pub server: Option<FleetServer>,
}

/// Where a reader of a log is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogPosition {
    /// The version up to which the reader has the whole list; zero if it has nothing.
    pub complete: StoreVersion,

    /// The last change of this log that the reader has; zero if it has read none.
    pub position: u64,
}

/// A part of a log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogSlice {
    /// The changes, in the order of the log.
    pub changes: Vec<LoggedChange>,

    /// The position of the last of them.
    pub position: u64,

    /// The version up to which the reader then has the whole list; `None` if more changes follow.
    pub complete: Option<StoreVersion>,

    /// Whether the log no longer has all changes that the reader lacks.
    pub has_hole: bool,
}

/// Removals of servers that a log keeps.
const REMOVALS_KEPT: usize = 2000;

/// The newest change of each server, in the order in which this node learned of them.
///
/// Nodes learn of changes at different versions of the store, and from each other. A change is
/// therefore found by its place in this log, as long as the reader reads the same log; a reader
/// that comes from another one gets all changes newer than the version up to which it has the list.
#[derive(Debug, Default)]
pub struct ServerLog {
    changes: BTreeMap<u64, LoggedChange>,

    /// The position of each VM's change in `changes`.
    positions: HashMap<VmId, u64>,
    last_position: u64,

    /// The version up to which this node has the whole list.
    complete: StoreVersion,

    /// The newest version, and the last position, of the removals that were dropped from the log.
    floor: LogPosition,
}

impl ServerLog {
    /// Adds a change.
    pub fn push(&mut self, change: LoggedChange) {
        if let Some(position) = self.positions.remove(&change.vm) {
            self.changes.remove(&position);
        }
        self.last_position += 1;
        self.positions.insert(change.vm.clone(), self.last_position);
        let is_removal = change.server.is_none();
        self.changes.insert(self.last_position, change);
        if is_removal {
            self.drop_old_removals();
        }
    }

    /// Records that this node has the whole list of a version.
    pub fn complete_at(&mut self, version: StoreVersion) {
        self.complete = self.complete.max(version);
    }

    /// The version up to which this node has the whole list; zero if it has none.
    pub fn complete(&self) -> StoreVersion {
        self.complete
    }

    /// The version of the newest known change of a VM; zero if none is known.
    pub fn version_of(&self, vm: &VmId) -> StoreVersion {
        let change = self.positions.get(vm).and_then(|position| self.changes.get(position));
        change.map(|change| change.version).unwrap_or_default()
    }

    /// The next changes for a reader, at most `limit`.
    pub fn changes_after(&self, reader: LogPosition, limit: usize) -> LogSlice {
        let has_missed = match reader.position {
            0 => {
                reader.complete != StoreVersion::default() && reader.complete < self.floor.complete
            }
            position => position < self.floor.position,
        };
        if has_missed {
            return LogSlice { has_hole: true, ..LogSlice::default() };
        }
        let mut slice = LogSlice { position: reader.position, ..LogSlice::default() };
        let after = (Bound::Excluded(reader.position), Bound::Unbounded);
        for (position, change) in self.changes.range(after) {
            if slice.changes.len() >= limit {
                return slice;
            }
            slice.position = *position;
            if change.version > reader.complete {
                slice.changes.push(change.clone());
            }
        }
        slice.complete = Some(self.complete);
        slice
    }

    fn drop_old_removals(&mut self) {
        let removals = self.changes.iter().filter(|(_, change)| change.server.is_none());
        let excess = removals.clone().count().saturating_sub(REMOVALS_KEPT);
        let dropped: Vec<u64> = removals.take(excess).map(|(position, _)| *position).collect();
        for position in dropped {
            if let Some(change) = self.changes.remove(&position) {
                self.positions.remove(&change.vm);
                self.floor.complete = self.floor.complete.max(change.version);
                self.floor.position = self.floor.position.max(position);
            }
        }
    }
}
