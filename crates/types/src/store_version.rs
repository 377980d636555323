//! Versions of the platform's store.

use serde::{Deserialize, Serialize};

/// A version of the platform's store. The store numbers its changes; after it is restored from an
/// older copy it gives out numbers again, under a new era.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
#[display("{era}.{number}")]
pub struct StoreVersion {
    /// Rises each time the store is restored. Invariant: declared before `number`, so that every
    /// version of an era is newer than all versions of earlier ones.
    pub era: u64,

    /// Position among the changes of the era.
    pub number: u64,
}

impl StoreVersion {
    /// A version of the first era.
    #[inline]
    pub const fn first_era(number: u64) -> Self {
        Self { era: 0, number }
    }
}
