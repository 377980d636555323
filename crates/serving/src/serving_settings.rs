//! Settings of serving.

use std::time::Duration;

/// Settings of serving.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServingSettings {
    /// Attempts of one idempotent request. Invariant: at least one.
    pub max_attempts: u32,

    /// Resumptions in a row of an idempotent request's stream that bring no token.
    pub max_resumes: u32,

    /// The same for a request that cannot be run again.
    pub max_non_idempotent_resumes: u32,

    /// Pause before the second resumption in a row; doubles with each further one.
    pub resume_pause: Duration,

    /// A stream that brings nothing for this long is resumed over a new connection.
    pub stall_timeout: Duration,

    /// How long a request that already ran waits for a group that may take it.
    pub group_wait: Duration,

    /// How often a waiting request looks again.
    pub poll_period: Duration,

    /// Parts of an answer that wait for a slow caller.
    pub answer_buffer: usize,

    /// Requests that a plain backend server runs at once.
    pub plain_capacity: u32,

    /// Claims of this long go into one transaction.
    pub claim_batch_delay: Duration,

    /// Rows of one transaction at most.
    pub claim_batch_rows: usize,

    /// After a longer time between a claim and its dispatch, the claim is read again first.
    pub claim_recheck_age: Duration,

    /// First pause between two reads of a claim that another submission holds; doubles up to
    /// [`Self::claim_read_max_pause`].
    pub claim_read_pause: Duration,

    /// Longest pause between two such reads, and between two tries to write an outcome.
    pub claim_read_max_pause: Duration,

    /// How long an outcome is tried to be written.
    pub outcome_write_timeout: Duration,

    /// Larger answers are not stored beside their claim, in bytes.
    pub stored_answer_bytes: usize,

    /// How long a settled claim is kept. A request that is sent again later runs again.
    pub claim_retention: Duration,

    /// How long a death is doubted: a backend server that is heard of again within it was only
    /// out of reach.
    pub crash_confirmation: Duration,

    /// How long callers may use an address that they were told.
    pub address_validity: Duration,

    /// When to come back after a refusal that names no better time.
    pub retry_after: Duration,
}

impl Default for ServingSettings {
    fn default() -> Self {
        Self {
            max_attempts: 3,
            max_resumes: 2,
            max_non_idempotent_resumes: 8,
            resume_pause: Duration::from_millis(100),
            stall_timeout: Duration::from_secs(5),
            group_wait: Duration::from_secs(10),
            poll_period: Duration::from_millis(50),
            answer_buffer: 64,
            plain_capacity: 64,
            claim_batch_delay: Duration::from_millis(3),
            claim_batch_rows: 128,
            claim_recheck_age: Duration::from_secs(1),
            claim_read_pause: Duration::from_millis(50),
            claim_read_max_pause: Duration::from_secs(1),
            outcome_write_timeout: Duration::from_secs(120),
            stored_answer_bytes: 64 * 1024,
            claim_retention: Duration::from_secs(3600),
            crash_confirmation: Duration::from_secs(3),
            address_validity: Duration::from_secs(10),
            retry_after: Duration::from_secs(1),
        }
    }
}
