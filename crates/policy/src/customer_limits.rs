//! The limits of one customer at one node.

use std::time::{Duration, Instant};

use crate::{CustomerShare, retry_after_schedule::RetryAfterSchedule, token_bucket::TokenBucket};

/// Token buckets for the requests and the tokens of a customer.
#[derive(Clone, Debug)]
pub(crate) struct CustomerLimits {
    share: CustomerShare,
    requests: TokenBucket,
    tokens: TokenBucket,

    /// The retry times of the customer's refused requests.
    pub retry_schedule: RetryAfterSchedule,
}

impl CustomerLimits {
    pub(crate) fn new(now: Instant, share: CustomerShare, burst: Duration) -> Self {
        let (request_burst, token_burst) = bursts(share, burst);
        Self {
            share,
            requests: TokenBucket::new(now, share.requests_per_second, request_burst),
            tokens: TokenBucket::new(now, share.tokens_per_second, token_burst),
            retry_schedule: RetryAfterSchedule::default(),
        }
    }

    pub(crate) fn set_share(&mut self, now: Instant, share: CustomerShare, burst: Duration) {
        let (request_burst, token_burst) = bursts(share, burst);
        self.share = share;
        self.requests.set_rate(now, share.requests_per_second, request_burst);
        self.tokens.set_rate(now, share.tokens_per_second, token_burst);
    }

    /// Whether the share admits any requests.
    #[inline]
    pub(crate) fn allows_requests(&self) -> bool {
        self.share.requests_per_second > 0.0 && self.share.tokens_per_second > 0.0
    }

    /// How long until a request of this cost is within the limits; zero if it is now.
    pub(crate) fn wait_for(&mut self, now: Instant, tokens: f64) -> Duration {
        self.requests.wait_for(now, 1.0).max(self.tokens.wait_for(now, tokens))
    }

    /// The shortest interval between requests of this cost that stays within the limits.
    pub(crate) fn interval(&self, tokens: f64) -> Duration {
        let by_requests = 1.0 / self.share.requests_per_second;
        let by_tokens = tokens / self.share.tokens_per_second;
        Duration::try_from_secs_f64(by_requests.max(by_tokens)).unwrap_or(Duration::MAX)
    }

    /// Charges one request and its tokens.
    pub(crate) fn charge(&mut self, now: Instant, tokens: f64) {
        self.requests.charge(now, 1.0);
        self.tokens.charge(now, tokens);
    }

    /// Refunds the charge of a request that did not run.
    pub(crate) fn refund(&mut self, now: Instant, tokens: f64) {
        self.requests.charge(now, -1.0);
        self.tokens.charge(now, -tokens);
    }

    /// Corrects the charge of a request that cost `tokens` more than was charged.
    pub(crate) fn correct(&mut self, now: Instant, tokens: f64) {
        self.tokens.charge(now, tokens);
    }
}

fn bursts(share: CustomerShare, burst: Duration) -> (f64, f64) {
    let seconds = burst.as_secs_f64();
    ((share.requests_per_second * seconds).max(1.0), share.tokens_per_second * seconds)
}
