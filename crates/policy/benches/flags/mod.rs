//! The command line of the benchmarks.

use std::ops::Range;

xflags::xflags! {
    /// Runs a measurement on the queueing model.
    cmd bench-flags {
        /// The first seed.
        optional --seed seed: u64
        /// How many seeds to run.
        optional --seeds seeds: u64
        /// Passed by cargo.
        optional --bench
    }
}

/// The seeds given on the command line.
pub fn seeds() -> Range<u64> {
    let flags = BenchFlags::from_env_or_exit();
    let first = flags.seed.unwrap_or(1);
    first..first + flags.seeds.unwrap_or(3)
}
