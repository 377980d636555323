//! A surge that refuses many callers at once: when they come back.

use std::time::Duration;

use comfreyturn_policy::{RefusalCause, ReturnSettings, return_delay};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

/// Callers that are refused at one moment.
const REFUSED: u64 = 1000;

fn left(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn caller_is_never_told_to_come_back_too_late() {
    let settings = ReturnSettings::default();
    for ms in [1500, 3000, 6000, 8000] {
        let latest = return_delay(RefusalCause::Capacity, left(ms), &settings, 1.0);
        assert!(latest <= left(ms) / 3, "{latest:?} of {ms} ms");
    }
}

#[test]
fn callers_that_were_refused_together_do_not_come_back_together() {
    let mut rng = SmallRng::seed_from_u64(1);
    let settings = ReturnSettings::default();
    let mut seconds = [0; 30];
    for _ in 0..REFUSED {
        let delay = return_delay(RefusalCause::Capacity, left(8000), &settings, rng.random());
        seconds[usize::try_from(delay.as_millis() / 100).unwrap()] += 1;
    }
    assert!(seconds.iter().all(|count| *count <= 100), "{seconds:?}");
}

#[test]
fn another_node_is_tried_soon() {
    let settings = ReturnSettings::default();
    let delay = return_delay(RefusalCause::Node, left(8000), &settings, 0.9);
    assert!(delay <= left(250));
}
