//! Signals to the process, with the times at which they may have come.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_ports::Clock;
use futures_util::future::{Either, select};

/// Interval at which a process notes that it runs. A signal may be as old as that, or as a freeze
/// of the process that ended since.
const ALIVE_PERIOD: Duration = Duration::from_millis(100);

/// Receives signals and dates them. A process that was frozen learns of a signal only when it
/// wakes, while whoever sent it counts from the signal on.
pub struct SignalInbox<S> {
    signals: flume::Receiver<S>,
    clock: Rc<dyn Clock>,

    /// When the process last noted that it runs.
    alive_at: Instant,

    /// The time noted before. A signal may be handled only after the timer that ended a freeze.
    previous_at: Instant,
}

impl<S> SignalInbox<S> {
    /// Dates signals from now on.
    pub fn new(signals: flume::Receiver<S>, clock: Rc<dyn Clock>) -> Self {
        let now = clock.now();
        Self { signals, clock, alive_at: now, previous_at: now }
    }

    /// The next signal and when it may have come at the earliest; `None` once no more can come.
    pub async fn next(&mut self) -> (Option<S>, Instant) {
        loop {
            let pause = self.clock.sleep(ALIVE_PERIOD);
            let received = select(self.signals.recv_async(), pause).await;
            let earliest_at = self.previous_at;
            (self.previous_at, self.alive_at) = (self.alive_at, self.clock.now());
            if let Either::Left((signal, _)) = received {
                return (signal.ok(), earliest_at);
            }
        }
    }
}
