//! The times at which signals may have come.

use std::{rc::Rc, time::Duration};

use comfreyturn_adapters::SignalInbox;
use comfreyturn_ports::Clock;
use comfreyturn_standin::fakes::{FaultPlan, FaultSettings, LocalPool, ManualClock, run_until};
use comfreyturn_types::NodeId;

/// The most by which a process that runs dates a signal too early.
const RUNNING_ERROR: Duration = Duration::from_millis(200);

/// When the signal is sent, after the start of the process.
const SENT_AFTER: Duration = Duration::from_secs(10);

/// By how much a process dates a signal too early or, if negative, too late, in seconds. It is
/// frozen from `frozen_after` on, for `frozen_for`, and begins to read signals after `reads_after`.
fn dating_error(frozen_after: f64, frozen_for: f64, reads_after: f64) -> f64 {
    let (clock, mut pool) = (ManualClock::new(), LocalPool::new());
    let settings = FaultSettings { pauses_clock: false, ..FaultSettings::default() };
    let plan = FaultPlan::new(&clock, &pool, settings);
    let node = NodeId::from("node");
    let start = clock.now();
    let (sender, receiver) = flume::unbounded();
    let mut inbox = SignalInbox::new(receiver, plan.clock(&node));
    let reading = async {
        clock.sleep(Duration::from_secs_f64(reads_after)).await;
        inbox.next().await
    };
    let reading = plan.on_node(&node, reading);
    let freezing = async {
        clock.sleep(Duration::from_secs_f64(frozen_after)).await;
        plan.pause(&node, Duration::from_secs_f64(frozen_for));
    };
    let sending = async {
        clock.sleep(SENT_AFTER).await;
        sender.send(()).expect("the inbox exists");
    };
    let all = async { futures_util::join!(reading, freezing, sending).0 };
    let (signal, earliest_at) = run_until(&clock, &mut pool, all).expect("the signal is read");
    assert_eq!(signal, Some(()));
    SENT_AFTER.as_secs_f64() - (earliest_at - start).as_secs_f64()
}

/// Guards against a node that counts its time to stop from when it learns of the signal, and takes
/// requests that it cannot finish before it is killed (LOST).
#[test]
fn signal_is_never_dated_too_late() {
    let running = dating_error(20.0, 0.0, 0.0);
    assert!((0.0..=RUNNING_ERROR.as_secs_f64()).contains(&running), "{running} s");
    for frozen_for in [0.5, 3.0, 60.0] {
        for offset in [0.0, 0.01, 0.09, 0.3] {
            let error = dating_error(SENT_AFTER.as_secs_f64() - offset, frozen_for, 0.0);
            let most = RUNNING_ERROR.as_secs_f64() + offset;
            assert!((0.0..=most).contains(&error), "frozen for {frozen_for} s: {error} s");
        }
    }
}

/// Guards against a stop signal that comes before the node is ready and is dated by its start
/// (LOST).
#[test]
fn signal_that_waited_is_dated_by_the_start_of_the_process() {
    let error = dating_error(20.0, 0.0, SENT_AFTER.as_secs_f64() + 5.0);
    assert_eq!(error, SENT_AFTER.as_secs_f64());
}

#[test]
fn end_of_all_signals_is_reported() {
    let (clock, mut pool) = (ManualClock::new(), LocalPool::new());
    let (sender, receiver) = flume::unbounded::<()>();
    let mut inbox = SignalInbox::new(receiver, Rc::new(clock.clone()));
    drop(sender);
    let (signal, _) = run_until(&clock, &mut pool, inbox.next()).expect("it ends");
    assert_eq!(signal, None);
}
