//! Reports of backend servers, and orders to model engines.

use async_trait::async_trait;
use comfreyturn_types::{FencingNumber, GroupAssignment, VmRecord, VmReport};
use serde::{Deserialize, Serialize};

use crate::Step;

/// An order to a model engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The fencing number of the lease under which the order is given.
    pub fencing: FencingNumber,

    /// The place in a group to take, or `None` to leave any group.
    pub assignment: Option<GroupAssignment>,
}

/// Error of a report or order.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum EngineError {
    /// The engine has seen a higher fencing number.
    #[display("order refused: fencing number is older than {seen}")]
    Fenced {
        /// The highest fencing number that the engine has seen.
        seen: FencingNumber,
    },

    /// No connection was made; nothing was sent.
    #[display("backend server not reached")]
    Unreachable,

    /// No response arrived; an order may or may not have taken effect.
    #[display("no response from the backend server")]
    NoAnswer,

    /// The response is malformed.
    #[display("malformed response from the backend server")]
    Malformed,
}

/// Result of a report or order.
pub type EngineResult<T, E = EngineError> = std::result::Result<T, E>;

/// Reports of backend servers, and orders to model engines.
#[async_trait(?Send)]
pub trait EngineControl {
    /// Requests the report of a backend server, which may be a model engine or plain.
    async fn report(&self, step: Step, record: &VmRecord) -> EngineResult<VmReport>;

    /// Sends an order to a model engine. Orders are self-contained and idempotent.
    async fn order(&self, step: Step, record: &VmRecord, order: &EngineOrder) -> EngineResult<()>;
}
