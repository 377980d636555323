//! Errors of running a node.

use std::{io, net::SocketAddr};

/// Why a node could not run.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum NodeError {
    /// An address of the settings cannot be listened on.
    #[display("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
}

/// Result of running a node.
pub type Result<T, E = NodeError> = std::result::Result<T, E>;
