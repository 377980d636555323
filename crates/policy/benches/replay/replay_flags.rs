//! The command line of the replay.

use std::path::PathBuf;

xflags::xflags! {
    /// Replays losses through planners.
    cmd replay-flags {
        /// The first seed.
        optional --seed seed: u64
        /// How many seeds to run.
        optional --seeds seeds: u64
        /// Hours of the fleet to replay.
        optional --fleet-hours hours: u32
        /// Hours of the fleet to replay around the loss of a failure domain.
        optional --dark-hours hours: u32
        /// Days of the site to replay.
        optional --site-days days: u32
        /// Where to write the plots.
        optional --plots plots: PathBuf
        /// Passed by cargo.
        optional --bench
    }
}
