//! Monotonically increasing numbers, and random incarnation numbers.

use serde::{Deserialize, Serialize};

/// Declares a number: a newtype over `u64` that is ordered and printed like it.
macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
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
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The number that follows this one.
            #[inline]
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    };
}

number_type! {
    /// Position in a cell's configuration log. Zero means nothing was ever configured.
    ConfigVersion
}
number_type! {
    /// Increases with each new holder of a lease; orders with a lower number are stale.
    FencingNumber
}
number_type! {
    /// Increases with each change of a group's members.
    GroupGeneration
}
number_type! {
    /// Counts the changes of one table row. Zero means that the row is absent.
    RowVersion
}

/// Identifies one run of a process.
///
/// Chosen at random when the process starts. A restarted process has lost the state that it
/// acknowledged, and must not be mistaken for its predecessor.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
#[serde(transparent)]
#[display("{_0:016x}")]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Creates a new random incarnation.
    pub fn random() -> Self {
        Self(rand::random())
    }
}
