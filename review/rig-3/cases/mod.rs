pub mod body_memory;
pub mod crashing_part;
pub mod cut_node;
pub mod fleet_soak;
pub mod left_server;

/// The bounds of the settings, as on the users' sheets.
pub const BOUNDS: &str = "  seedLagS: 3\n  addrReuseS: 2\n  stableWindowMs: 3000\n  ackMs: 4000\n  \
    catchUpS: 4\n  drainMs: 2000\n  graceS: 8\n  lossSlackMs: 200\n  configApplyMs: 2000\n  backMs: \
    250\n  outerMs: 5000\n  failClosed: true\n  revokeMs: 5000\n  retryRatio: 0.2\n  retryWindowS: \
    10\n  retrySlack: 109\n  recoveryS: 12\n  passMs: 120\n  retryAfterS: 0\n  stallMs: 4000\n  \
    requireFencing: true\n  ceilingWindowS: 5\n  ceilingOver: 1.1\n  ttl_max_s: 5\n";

pub const STABLE_WINDOW_S: f64 = 3.0;
pub const DRAIN_S: f64 = 2.0;

/// How a case ended.
pub enum Verdict {
    Broken,
    Held,
    NotRun(String),
}
