//! Settings of the router that considers load, prefix caches and stragglers.

use std::time::Duration;

use crate::StragglerSettings;

/// Settings of a [`LoadRouter`](crate::LoadRouter).
#[derive(Clone, Debug)]
pub struct LoadRouterSettings {
    /// Number of groups drawn at random, the least loaded of which is chosen. Invariant: at least
    /// one.
    pub choices: usize,

    /// The age at which a reported load has the weight 1/e. The mean load of all groups has the
    /// remaining weight.
    pub report_decay: Duration,

    /// Number of preferred groups of a prefix, the first ones in its rendezvous order. Zero turns
    /// prefix affinity off.
    pub affinity_groups: usize,

    /// A preferred group is chosen only while its load is below this many times the mean.
    pub affinity_bound: f64,

    /// A preferred group is always chosen while its load is below this share of its capacity.
    pub affinity_slack: f64,

    /// A preferred group is never chosen above this share of its capacity: a request that has to
    /// wait there loses more time than a cached prefix saves.
    pub affinity_cap: f64,

    /// Concurrent requests of a group that reports no capacity.
    pub default_capacity: u32,

    /// Requests that may queue at a group, as a share of its capacity.
    pub queue_share: f64,

    /// How stragglers are detected and excluded.
    pub stragglers: StragglerSettings,

    /// How long the state of a group is kept after it was last offered.
    pub group_retention: Duration,
}

impl Default for LoadRouterSettings {
    fn default() -> Self {
        Self {
            choices: 4,
            report_decay: Duration::from_secs(1),
            affinity_groups: 3,
            affinity_bound: 1.25,
            affinity_slack: 0.25,
            affinity_cap: 0.75,
            default_capacity: 16,
            queue_share: 0.25,
            stragglers: StragglerSettings::default(),
            group_retention: Duration::from_secs(60),
        }
    }
}
