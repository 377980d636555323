//! Tests of the in-memory fakes of the ports.

mod backends;
mod bench;
mod nodes;
mod platform;
