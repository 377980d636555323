//! Errors of the stand-ins.

use std::net::SocketAddr;

/// An error of a stand-in.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum StandinError {
    /// The address cannot be listened on.
    #[display("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },

    /// The connection could not be opened; nothing was sent.
    #[display("{address} not reached")]
    NotReached {
        /// The server.
        address: SocketAddr,
    },

    /// A server did not answer a call completely, or not in time.
    #[display("no answer from {address}")]
    NoAnswer {
        /// The server.
        address: SocketAddr,
    },

    /// A server answered with a status other than success.
    #[display("{address} answered with status {status}")]
    Status {
        /// The server.
        address: SocketAddr,
        /// The HTTP status.
        status: u16,
    },

    /// A server's answer cannot be decoded.
    #[display("malformed answer from {address}")]
    Malformed {
        /// The server.
        address: SocketAddr,
    },
}

/// The result of starting or calling a stand-in.
pub type StandinResult<T, E = StandinError> = std::result::Result<T, E>;

/// Why a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ServerEnd {
    /// Its stop channel received a message or was closed.
    Stopped,
    /// A request crashed it. A process that runs only this server then exits.
    Crashed,
}
