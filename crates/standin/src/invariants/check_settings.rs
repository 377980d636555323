//! Time limits of the promises.

/// Time limits of the promises, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CheckSettings {
    /// How long a group may keep serving after the loss of a member, until the loss is detected.
    pub absence_ms: u64,

    /// How long a leaving backend server may still receive new work.
    pub leaving_ms: u64,

    /// Time within which an accepted configuration must be in force everywhere.
    pub config_ms: u64,
}

impl Default for CheckSettings {
    fn default() -> Self {
        Self { absence_ms: 1_000, leaving_ms: 3_000, config_ms: 7_000 }
    }
}
