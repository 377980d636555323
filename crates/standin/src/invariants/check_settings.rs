//! How much time the promises leave.

/// How much time the promises leave, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CheckSettings {
    /// How long a group may go on after a member was lost, until the loss is seen.
    pub absence_ms: u64,

    /// How long a leaving backend server may still get new work.
    pub leaving_ms: u64,

    /// How long an accepted configuration may take to be in force everywhere.
    pub config_ms: u64,
}

impl Default for CheckSettings {
    fn default() -> Self {
        Self { absence_ms: 1_000, leaving_ms: 3_000, config_ms: 7_000 }
    }
}
