//! What tests of gateways share.

mod test_nodes;

pub use test_nodes::*;
