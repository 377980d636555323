//! What the platform's weight store can carry.

use serde::{Deserialize, Serialize};

/// Rates of the platform's weight store, by which the planner orders loads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreSettings {
    /// Bytes a second that the store serves to all VMs together. Invariant: above zero.
    pub store_bytes_per_second: u64,

    /// Bytes a second that one VM loads at most. Invariant: above zero.
    pub vm_bytes_per_second: u64,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self { store_bytes_per_second: 32_000_000_000, vm_bytes_per_second: 1_000_000_000 }
    }
}
