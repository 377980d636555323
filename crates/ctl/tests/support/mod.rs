//! Processes and raw HTTP for end-to-end tests.
#![allow(dead_code, clippy::allow_attributes, reason = "each test uses a part of it")]

pub mod caller;
pub mod http;
pub mod process;
pub mod relay;
pub mod site;
