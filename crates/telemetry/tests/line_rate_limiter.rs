//! Rate limit of the lines of one call site.

use std::time::{Duration, Instant};

use comfreyturn_telemetry::{CallSite, LineRateLimiter, LineRateSettings, LineVerdict};

const PERIOD: Duration = Duration::from_secs(1);

fn new_limiter(lines: u32) -> LineRateLimiter {
    LineRateLimiter::new(LineRateSettings { lines, period: PERIOD })
}

fn site(line: u32) -> CallSite {
    CallSite { module: "forward".to_owned(), line }
}

#[test]
fn lines_over_the_rate_are_suppressed_and_counted() {
    let mut limiter = new_limiter(2);
    let start = Instant::now();
    for _ in 0..2 {
        assert_eq!(limiter.check(start, site(1)), LineVerdict::Write { left_out: 0 });
    }
    for _ in 0..5 {
        assert_eq!(limiter.check(start, site(1)), LineVerdict::Suppress);
    }
    let later = start + PERIOD;
    assert_eq!(limiter.check(later, site(1)), LineVerdict::Write { left_out: 5 });
    assert_eq!(limiter.check(later, site(1)), LineVerdict::Write { left_out: 0 });
}

#[test]
fn call_sites_are_limited_independently() {
    let mut limiter = new_limiter(1);
    let start = Instant::now();
    assert_eq!(limiter.check(start, site(1)), LineVerdict::Write { left_out: 0 });
    assert_eq!(limiter.check(start, site(1)), LineVerdict::Suppress);
    assert_eq!(limiter.check(start, site(2)), LineVerdict::Write { left_out: 0 });
}
