//! A model engine's place in a group.

use comfreyturn_types::{
    AdapterName, FencingNumber, GroupAssignment, ModelName, ModelVersionName, VmPhase,
};

/// The weights in the accelerators' memory.
pub(super) type LoadedWeights = (ModelName, ModelVersionName, Vec<AdapterName>);

/// A model engine's place in a group.
#[derive(Default)]
pub(super) struct EnginePlace {
    pub(super) fencing: FencingNumber,
    pub(super) assignment: Option<GroupAssignment>,
    pub(super) loaded: Option<LoadedWeights>,

    /// Whether all members were ready at the last check.
    pub(super) is_whole: bool,
}

impl EnginePlace {
    pub(super) fn phase(&self) -> VmPhase {
        match &self.assignment {
            None => VmPhase::Idle,
            Some(assignment) if self.loaded == Some(weights_of(assignment)) => VmPhase::Ready,
            Some(_) => VmPhase::Loading,
        }
    }
}

/// The weights that a place needs.
pub(super) fn weights_of(assignment: &GroupAssignment) -> LoadedWeights {
    (assignment.model.clone(), assignment.version.clone(), assignment.adapters.clone())
}
