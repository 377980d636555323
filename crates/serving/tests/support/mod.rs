//! A small cell built from fakes: three nodes, three groups of two VMs, two plain backend servers.

#![expect(dead_code, reason = "each test file uses only some of the helpers")]

mod caller;
mod fake_view;
pub mod mangled_backends;
pub mod matrix;
pub mod silent_backends;
mod world;

pub use caller::*;
pub use fake_view::*;
pub use world::*;
