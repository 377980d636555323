//! Numbers that only rise, and numbers that are drawn once.

use serde::{Deserialize, Serialize};

/// Declares a number that is compared and printed as itself.
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
    /// Rises with each holder of a lease; an order with a lower one is stale.
    FencingNumber
}
number_type! {
    /// Rises with each change of a group's members.
    GroupGeneration
}
number_type! {
    /// Counts the changes of one table row. Zero means that the row is absent.
    RowVersion
}

/// Tells one run of a process from the runs before it.
///
/// Drawn at random at start, so that a restarted process, which has forgotten what it
/// acknowledged, is never taken for its predecessor.
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
    /// Draws a new incarnation.
    pub fn random() -> Self {
        Self(rand::random())
    }
}
