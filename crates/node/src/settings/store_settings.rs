//! Throughput of the platform's weight store.

use serde::{Deserialize, Serialize};

/// Throughput of the platform's weight store, by which the planner schedules loads of weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreSettings {
    /// Bytes per second that the store serves to all VMs together. Invariant: above zero.
    pub store_bytes_per_second: u64,

    /// Maximum bytes per second that one VM loads. Invariant: above zero.
    pub vm_bytes_per_second: u64,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self { store_bytes_per_second: 32_000_000_000, vm_bytes_per_second: 1_000_000_000 }
    }
}
