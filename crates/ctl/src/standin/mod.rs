//! Runs stand-ins as separate processes.

mod standin_process;
mod standin_settings;

pub(crate) use standin_process::*;
