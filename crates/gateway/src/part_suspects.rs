//! Which prompt parts may have crashed servers, from what this node sees and others tell.

use std::time::{Duration, Instant};

use comfreyturn_policy::{PartLedger, PartVerdict, SuspectStatus};
use comfreyturn_types::PromptPart;

use crate::PartReport;

/// Crashes and answers are told to other nodes for this time, so that lost datagrams don't matter.
const TELLING_TIME: Duration = Duration::from_secs(3);

/// Which prompt parts may have crashed servers.
#[derive(Debug, Default)]
pub(crate) struct PartSuspects {
    ledger: PartLedger,

    /// The crashes that this node saw, and the suspects that it saw answered.
    own: PartReport,
}

impl PartSuspects {
    /// Records that a server answered a prompt with these parts.
    pub(crate) fn record_answer(&mut self, now: Instant, parts: &[PromptPart]) {
        for part in parts {
            if self.ledger.record_answer(now, *part) {
                self.own.sound.insert(*part, now);
            }
        }
    }

    /// Records that a server crashed before it had answered a prompt with these parts.
    pub(crate) fn record_crash(&mut self, now: Instant, crash: u64, parts: &[PromptPart]) {
        if parts.is_empty() {
            return;
        }
        self.own.add_crash(now, crash, parts.iter().copied());
        for part in parts {
            let verdict = self.ledger.record_crash(now, crash, *part);
            self.take_verdict(*part, verdict);
        }
    }

    /// Applies what another node tells.
    pub(crate) fn apply(&mut self, report: &PartReport) {
        for (part, at) in &report.sound {
            self.ledger.record_answer(*at, *part);
        }
        for (crash, seen) in &report.crashes {
            for part in &seen.parts {
                let verdict = self.ledger.record_crash(seen.at, *crash, *part);
                self.take_verdict(*part, verdict);
            }
        }
        for (part, at) in &report.quarantined {
            let verdict = self.ledger.record_quarantine(*at, *part);
            self.take_verdict(*part, verdict);
        }
    }

    /// What this node tells others.
    pub(crate) fn report(&self, now: Instant) -> PartReport {
        PartReport { quarantined: self.ledger.quarantined(now).collect(), ..self.own.clone() }
    }

    /// Forgets what was told for long enough.
    pub(crate) fn forget_told(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < TELLING_TIME;
        self.own.crashes.retain(|_, seen| is_recent(seen.at));
        self.own.sound.retain(|_, at| is_recent(*at));
    }

    /// Whether one of these parts is quarantined.
    pub(crate) fn has_quarantined(&self, now: Instant, parts: &[PromptPart]) -> bool {
        let status = |part: &PromptPart| self.ledger.status(now, *part);
        parts.iter().any(|part| matches!(status(part), SuspectStatus::Quarantined { .. }))
    }

    /// The number of quarantined parts.
    pub(crate) fn quarantined(&self, now: Instant) -> usize {
        self.ledger.quarantined(now).count()
    }

    fn take_verdict(&mut self, part: PromptPart, verdict: PartVerdict) {
        match verdict {
            PartVerdict::Sound => {
                if let Some(at) = self.ledger.answered_at(part) {
                    self.own.sound.entry(part).or_insert(at);
                }
            }
            PartVerdict::Suspect => {}
            PartVerdict::Quarantined => {
                log::warn!(part:% = part; "suspects: prompt part crashes servers, quarantined.");
            }
        }
    }
}
