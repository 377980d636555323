//! Claims as stored in rows of the table.

use std::net::SocketAddr;

use bytes::Bytes;
use comfreyturn_ports::PlainResponse;
use comfreyturn_types::{Incarnation, NodeId, RefusalReason, RequestOutcome, StreamId};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use serde::{Deserialize, Serialize};

/// The row of a claim: which node runs a request that must run at most once, and its final answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The node that runs it.
    pub node: NodeId,

    /// The incarnation of that node. Invariant: never changes. No node takes over a claim, because
    /// its owner may be paused right before it dispatches.
    pub owner: Incarnation,

    /// Distinguishes submissions of one node. Invariant: unique within `owner`.
    pub serial: u64,

    /// Hash of the body; another body under the same key is refused.
    pub body_hash: u64,

    /// How far the request has come.
    pub phase: ClaimPhase,
}

/// Phase of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimPhase {
    /// The request is about to be sent to a backend server, or runs there.
    Dispatching {
        /// The backend server.
        address: SocketAddr,
        /// The stream at a model engine.
        stream: Option<StreamId>,
    },

    /// The request ended with this answer.
    Settled(StoredAnswer),
}

/// The final answer of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoredAnswer {
    /// A complete completion.
    Completion {
        /// The tokens in order.
        tokens: Vec<String>,
        /// Why generation ended.
        reason: String,
    },

    /// A complete response of a plain service.
    Plain {
        /// The HTTP status.
        status: u16,
        /// The headers.
        headers: Vec<(String, String)>,
        /// The body, one character for each byte.
        body: String,
    },

    /// The request ran to its end; the answer was too large to store.
    TooLarge,

    /// The request ended without success.
    Refused {
        /// Whether it ran.
        outcome: RequestOutcome,
        /// Why.
        reason: RefusalReason,
    },
}

impl StoredAnswer {
    /// The final answer when it is not known whether the request ran.
    pub(crate) fn unknown(reason: RefusalReason) -> Self {
        Self::Refused { outcome: RequestOutcome::Unknown, reason }
    }

    /// Converts a response of a plain service; [`Self::TooLarge`] if its body exceeds `limit`
    /// bytes.
    pub(crate) fn from_plain(response: &PlainResponse, limit: usize) -> Self {
        if response.body.len() > limit {
            return Self::TooLarge;
        }
        Self::Plain {
            status: response.status.as_u16(),
            headers: response.headers.iter().filter_map(header_text).collect(),
            body: response.body.iter().copied().map(char::from).collect(),
        }
    }

    /// Converts a completion; [`Self::TooLarge`] if its text exceeds `limit` bytes.
    pub(crate) fn from_completion(tokens: &[String], reason: &str, limit: usize) -> Self {
        let size: usize = tokens.iter().map(String::len).sum();
        if size > limit {
            return Self::TooLarge;
        }
        Self::Completion { tokens: tokens.to_vec(), reason: reason.to_owned() }
    }

    /// The stored response of a plain service; `None` if this is another kind of answer.
    pub(crate) fn to_plain(&self) -> Option<PlainResponse> {
        let Self::Plain { status, headers, body } = self else {
            return None;
        };
        Some(PlainResponse {
            status: StatusCode::from_u16(*status).ok()?,
            headers: headers.iter().filter_map(parse_header).collect::<HeaderMap>(),
            body: body.chars().map(u8::try_from).collect::<Result<Bytes, _>>().ok()?,
        })
    }
}

fn header_text((name, value): (&HeaderName, &HeaderValue)) -> Option<(String, String)> {
    Some((name.to_string(), value.to_str().ok()?.to_owned()))
}

fn parse_header((name, value): &(String, String)) -> Option<(HeaderName, HeaderValue)> {
    Some((name.parse().ok()?, value.parse().ok()?))
}
