//! Shared helpers of the gateway tests.

mod test_nodes;

pub use test_nodes::*;
