//! Policies that the request service applies.

use comfreyturn_policy::{AdmissionQueue, GroupRouter, RetryBudget, SuspectLedger};

/// Policies that the request service applies.
pub struct ServingPolicies {
    /// Decides which group runs a request.
    pub router: Box<dyn GroupRouter>,

    /// Decides which requests run now.
    pub queue: Box<dyn AdmissionQueue>,

    /// Limits retries.
    pub retries: Box<dyn RetryBudget>,

    /// Tracks requests that were running when backend servers crashed.
    pub suspects: Box<dyn SuspectLedger>,
}
