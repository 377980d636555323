//! Reports and orders of backend servers.

use async_trait::async_trait;
use comfreyturn_types::{FencingNumber, GroupAssignment, VmRecord, VmReport};
use serde::{Deserialize, Serialize};

use crate::Step;

/// What a model engine is told to be.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The fencing number of the lease under which the order is given.
    pub fencing: FencingNumber,

    /// The place to take, or `None` to hold no place in any group.
    pub assignment: Option<GroupAssignment>,
}

/// What went wrong in a report or order.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum EngineError {
    /// The engine has seen a higher fencing number.
    #[display("order refused: fencing number is older than {seen}")]
    Fenced {
        /// The highest number that the engine has seen.
        seen: FencingNumber,
    },

    /// No connection was made; nothing was sent.
    #[display("backend server not reached")]
    Unreachable,

    /// No answer came; an order may or may not have taken effect.
    #[display("no answer from the backend server")]
    NoAnswer,

    /// The answer makes no sense.
    #[display("malformed answer from the backend server")]
    Malformed,
}

/// Result of a report or order.
pub type EngineResult<T, E = EngineError> = std::result::Result<T, E>;

/// Reports of backend servers, and orders to model engines.
#[async_trait(?Send)]
pub trait EngineControl {
    /// Asks a backend server, model engine or plain, for its report.
    async fn report(&self, step: Step, record: &VmRecord) -> EngineResult<VmReport>;

    /// Orders a model engine. An order is complete in itself: the same order again changes
    /// nothing.
    async fn order(&self, step: Step, record: &VmRecord, order: &EngineOrder) -> EngineResult<()>;
}
