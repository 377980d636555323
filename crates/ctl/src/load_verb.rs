//! The load generator.

use std::net::SocketAddr;

use crate::{Result, command_line::Load};

/// When requests are sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum LoadShapeArgument {
    /// As many at once as the concurrency allows, from start to end.
    #[default]
    Steady,
    /// Nobody, then everyone.
    Doors,
}

/// Sends load and prints its report.
pub(crate) async fn run_load(_to: SocketAddr, _json: bool, _flags: Load) -> Result<()> {
    Ok(())
}
