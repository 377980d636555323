//! Signals that stop a process.

use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};

use crate::Result;

/// Receives a message for each SIGTERM or SIGINT.
pub(crate) fn stop_signals() -> Result<flume::Receiver<()>> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let (sender, receiver) = flume::unbounded();
    std::thread::spawn(move || {
        for _ in signals.forever() {
            if sender.send(()).is_err() {
                return;
            }
        }
    });
    Ok(receiver)
}
