//! The decisions that serving asks for.

use comfreyturn_policy::{AdmissionQueue, GroupRouter, RetryBudget, SuspectLedger};

/// The decisions that serving asks for.
pub struct ServingPolicies {
    /// Which group runs a request.
    pub router: Box<dyn GroupRouter>,

    /// Which requests run now.
    pub queue: Box<dyn AdmissionQueue>,

    /// How many repeated attempts are allowed.
    pub retries: Box<dyn RetryBudget>,

    /// Requests that ran when backend servers died.
    pub suspects: Box<dyn SuspectLedger>,
}
