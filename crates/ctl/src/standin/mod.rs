//! Stand-ins as processes of their own.

mod standin_process;
mod standin_settings;

pub(crate) use standin_process::*;
