//! What the attempts of a request have done so far.

use std::cell::{Cell, RefCell};

use comfreyturn_ports::LinkError;
use comfreyturn_types::ServerLife;

/// What the attempts of a request have done so far. Several may run at the same time.
#[derive(Debug, Default)]
pub(crate) struct RunProgress {
    /// Servers that were tried, in order.
    pub(crate) tried: RefCell<Vec<ServerLife>>,

    /// Attempts that were sent, except those whose server was not reached. Invariant: at most the
    /// route's `max_attempts`.
    pub(crate) sent: Cell<u32>,

    /// Attempts by which a server may have run the request.
    ran: Cell<u32>,

    /// Whether the request may be sent to find out whether a part of its prompt crashes servers.
    pub(crate) is_trial: Cell<bool>,

    /// Whether the request waited so long that it can't meet its objective any more.
    pub(crate) is_late: Cell<bool>,
}

impl RunProgress {
    pub(crate) fn record_sent(&self, life: &ServerLife) {
        self.tried.borrow_mut().push(life.clone());
        self.sent.set(self.sent.get() + 1);
        self.ran.set(self.ran.get() + 1);
    }

    /// An attempt that was sent did not run, or didn't even reach its server.
    pub(crate) fn record_not_run(&self, error: LinkError) {
        if error == LinkError::NotSent {
            self.sent.set(self.sent.get() - 1);
        }
        if matches!(error, LinkError::NotSent | LinkError::NotRun) {
            self.ran.set(self.ran.get() - 1);
        }
    }

    /// Whether a server may have run the request.
    pub(crate) fn may_have_run(&self) -> bool {
        self.ran.get() > 0
    }
}
