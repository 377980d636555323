//! Forming, opening, repairing and dissolving groups of model servers.

mod evacuation;
mod forming;
mod releases;
mod silences;
mod test_fleet;
mod weights;
