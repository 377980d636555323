//! Quarantine of requests that crash backend servers, but not of requests that were only running
//! beside them.

use std::time::{Duration, Instant};

use comfreyturn_policy::{CrashLedger, CrashLedgerSettings, SuspectLedger, SuspectStatus};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn second_crash_quarantines_suspect() {
    let now = Instant::now();
    let mut ledger = CrashLedger::default();
    ledger.record_crash(now, 1, 100);
    assert_eq!(ledger.status(now, 1), SuspectStatus::Suspect);
    ledger.record_crash(now + SECOND, 1, 101);
    let status = ledger.status(now + 2 * SECOND, 1);
    assert_eq!(status, SuspectStatus::Quarantined { retry_after: Duration::from_secs(599) });
    assert_eq!(ledger.status(now + 700 * SECOND, 1), SuspectStatus::Clear);
}

#[test]
fn crash_reported_by_all_nodes_counts_once() {
    let now = Instant::now();
    let mut ledger = CrashLedger::default();
    for _ in 0..9 {
        ledger.record_crash(now, 1, 100);
    }
    assert_eq!(ledger.status(now, 1), SuspectStatus::Suspect);
}

#[test]
fn completed_request_is_cleared() {
    let now = Instant::now();
    let mut ledger = CrashLedger::default();
    ledger.record_crash(now, 1, 100);
    ledger.clear(now, 1);
    ledger.record_crash(now + SECOND, 1, 101);
    assert_eq!(ledger.status(now + SECOND, 1), SuspectStatus::Suspect);
}

#[test]
fn two_crashes_in_lost_fabric_domain_do_not_quarantine() {
    let now = Instant::now();
    let mut ledger = CrashLedger::default();
    for crash in 0..8 {
        for fingerprint in 0..20 {
            ledger.record_crash(now, 1000 * crash + fingerprint, crash);
        }
    }
    // The request is retried at once in a group of the same fabric domain.
    ledger.record_crash(now + SECOND, 3, 5);
    assert_eq!(ledger.status(now + SECOND, 3), SuspectStatus::Suspect);
    // A third crash is not a coincidence.
    ledger.record_crash(now + 2 * SECOND, 3, 6);
    assert!(matches!(ledger.status(now + 2 * SECOND, 3), SuspectStatus::Quarantined { .. }));
}

#[test]
fn suspects_are_evicted_before_quarantined_requests() {
    let now = Instant::now();
    let settings = CrashLedgerSettings {
        max_fingerprints: 100,
        hard_max_fingerprints: 200,
        ..Default::default()
    };
    let mut ledger = CrashLedger::new(settings);
    ledger.record_crash(now, 0, 1);
    ledger.record_crash(now + 10 * SECOND, 0, 2);
    for fingerprint in 1..10_000 {
        let at = now + 20 * SECOND + Duration::from_millis(fingerprint);
        ledger.record_crash(at, fingerprint, 3);
        assert!(ledger.len() <= 100);
    }
    let later = now + 31 * SECOND;
    assert!(matches!(ledger.status(later, 0), SuspectStatus::Quarantined { .. }));
    assert_eq!(ledger.status(later, 9_999), SuspectStatus::Suspect);
    assert_eq!(ledger.status(later, 1), SuspectStatus::Clear);
}

#[test]
fn quarantined_requests_are_evicted_only_at_hard_bound() {
    let now = Instant::now();
    let settings = CrashLedgerSettings {
        max_fingerprints: 10,
        hard_max_fingerprints: 20,
        ..Default::default()
    };
    let mut ledger = CrashLedger::new(settings);
    for fingerprint in 0..30_u32 {
        let at = now + fingerprint * 10 * SECOND;
        ledger.record_crash(at, fingerprint.into(), 1_000 + u64::from(fingerprint));
        ledger.record_crash(at, fingerprint.into(), 2_000 + u64::from(fingerprint));
        assert!(ledger.len() <= 20);
    }
    let later = now + 295 * SECOND;
    assert_eq!(ledger.status(later, 0), SuspectStatus::Clear);
    assert!(matches!(ledger.status(later, 15), SuspectStatus::Quarantined { .. }));
    assert!(matches!(ledger.status(later, 29), SuspectStatus::Quarantined { .. }));
}
