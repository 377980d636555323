//! Rates of requests.

use std::time::Duration;

/// A rate of requests, in thousandths of a request per second, so that rates can be compared and
/// sent without loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
#[display("{}", self.per_second())]
pub struct RequestRate {
    /// Thousandths of a request per second.
    pub milli: u32,
}

impl RequestRate {
    /// The rate of some requests per second; `None` if that is not a number, or negative. Rates that
    /// are too large are cut off.
    pub fn from_per_second(rate: f64) -> Option<Self> {
        if rate.is_nan() || rate.is_sign_negative() {
            return None;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "not negative, and a conversion that is out of range takes the largest value"
        )]
        let milli = (rate * 1000.0).round() as u32;
        Some(Self { milli })
    }

    /// Requests per second.
    #[inline]
    pub fn per_second(self) -> f64 {
        f64::from(self.milli) / 1000.0
    }

    /// The requests of this rate within `time`.
    #[inline]
    pub fn within(self, time: Duration) -> f64 {
        self.per_second() * time.as_secs_f64()
    }
}
