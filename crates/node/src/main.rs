//! The node.
fn main() {}
