//! Limits on callers' connections and requests.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// Limits on callers' connections and requests.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerSettings {
    /// Largest head of a request, in bytes. At least 8192.
    pub max_head_bytes: usize,

    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,

    /// Maximum number of open connections of callers.
    pub max_connections: usize,

    /// Timeout for receiving a request's head, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "head_timeout_ms")]
    pub head_timeout: Duration,

    /// Timeout for receiving a request's body, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "body_timeout_ms")]
    pub body_timeout: Duration,

    /// How long callers may cache the answer to an address query, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "address_validity_ms")]
    pub address_validity: Duration,

    /// Token limit of a request that states none.
    pub default_max_tokens: u32,

    /// Highest token limit that a request may state.
    pub max_tokens: u32,
}

impl Default for CallerSettings {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            max_connections: 10_000,
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
            address_validity: Duration::from_secs(30),
            default_max_tokens: 256,
            max_tokens: 32_768,
        }
    }
}
