//! The fakes of the ports on virtual time.

mod backends;
mod bench;
mod nodes;
mod platform;
