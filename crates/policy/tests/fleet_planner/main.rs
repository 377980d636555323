//! Forming, opening, repairing and dissolving groups of model servers.

mod evacuation;
mod forming;
mod late_fleet;
mod late_orders;
mod releases;
mod silences;
mod test_fleet;
mod weights;
