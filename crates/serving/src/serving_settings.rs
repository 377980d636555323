//! Settings of the request service.

use std::time::Duration;

use comfreyturn_policy::RunTimeSettings;

/// Settings of the request service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServingSettings {
    /// Maximum attempts of one idempotent request. Invariant: at least one.
    pub max_attempts: u32,

    /// Maximum consecutive resumptions of an idempotent request's stream without a new token.
    pub max_resumes: u32,

    /// Like [`Self::max_resumes`] for a non-idempotent request, which cannot be run again instead.
    pub max_non_idempotent_resumes: u32,

    /// Pause before the second consecutive resumption; doubles with each further one.
    pub resume_pause: Duration,

    /// A stream without a new part for this long is resumed over a new connection.
    pub stall_timeout: Duration,

    /// How long a request waits for a group or a plain backend server that can run it. A suspect
    /// waits until its deadline.
    pub group_wait: Duration,

    /// Interval at which waiting requests check again.
    pub poll_period: Duration,

    /// Maximum parts of an answer that are buffered for a slow caller.
    pub answer_buffer: usize,

    /// Requests that a plain backend server runs at once.
    pub plain_capacity: u32,

    /// How long claims are collected for one transaction.
    pub claim_batch_delay: Duration,

    /// Maximum rows of one transaction.
    pub claim_batch_rows: usize,

    /// A claim that was confirmed longer ago than this is read again before the dispatch.
    pub claim_recheck_age: Duration,

    /// First pause between two reads of a claim that another submission holds; doubles up to
    /// [`Self::claim_read_max_pause`].
    pub claim_read_pause: Duration,

    /// Longest pause between two reads of a claim, and between two tries to write an outcome.
    pub claim_read_max_pause: Duration,

    /// How long writing an outcome or deleting a claim is retried.
    pub outcome_write_timeout: Duration,

    /// Largest answer that is stored in its claim, in bytes.
    pub stored_answer_bytes: usize,

    /// How long a settled claim is kept. A request that is sent again later runs again.
    pub claim_retention: Duration,

    /// How long a backend server must stay unresponsive before it counts as crashed. One that is
    /// seen again earlier was only unreachable.
    pub crash_confirm_time: Duration,

    /// How long callers may keep using an address that they were given.
    pub address_validity: Duration,

    /// How long requests take, by which a node that stops decides whether to take one.
    pub run_times: RunTimeSettings,

    /// When to retry after a temporary refusal that has no time of its own.
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
            crash_confirm_time: Duration::from_secs(3),
            address_validity: Duration::from_secs(10),
            run_times: RunTimeSettings::default(),
            retry_after: Duration::from_secs(1),
        }
    }
}
