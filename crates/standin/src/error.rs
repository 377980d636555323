//! What can go wrong in a stand-in.

use std::net::SocketAddr;

/// What can go wrong in a stand-in.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum StandinError {
    /// The address cannot be listened on.
    #[display("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },

    /// A server did not take the connection; nothing was sent.
    #[display("{address} not reached")]
    NotReached {
        /// The server.
        address: SocketAddr,
    },

    /// A call to another server was not answered.
    #[display("no answer from {address}")]
    NoAnswer {
        /// The server.
        address: SocketAddr,
    },

    /// A server answered with a status that does not fit the call.
    #[display("{address} answered with status {status}")]
    Status {
        /// The server.
        address: SocketAddr,
        /// The HTTP status.
        status: u16,
    },

    /// A server's answer makes no sense.
    #[display("malformed answer from {address}")]
    Malformed {
        /// The server.
        address: SocketAddr,
    },
}

/// Result of starting or calling a stand-in.
pub type StandinResult<T, E = StandinError> = std::result::Result<T, E>;

/// Why a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ServerEnd {
    /// It was told to stop.
    Stopped,
    /// A request crashed it. A process that runs only this server exits now.
    Crashed,
}
