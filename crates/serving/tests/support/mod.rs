//! A small cell on the fakes: three nodes, three groups of two VMs, two plain backend servers.

#![expect(dead_code, reason = "each test file uses a part")]

mod caller;
mod fake_view;
pub mod mangled_backends;
pub mod matrix;
mod world;

pub use caller::*;
pub use fake_view::*;
pub use world::*;
