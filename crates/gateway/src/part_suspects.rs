//! Which prompt parts may have crashed servers, from what this node sees and others tell.

use std::time::{Duration, Instant};

use comfreyturn_policy::{
    PartLedger, PartTrials, PartVerdict, PromptStatus, SenderRoster, rendezvous_order,
};
use comfreyturn_types::{NodeId, PromptPart};

use crate::PartReport;

/// Crashes and answers are told to other nodes for this time, so that lost datagrams don't matter.
const TELLING_TIME: Duration = Duration::from_secs(3);

/// Which prompt parts may have crashed servers.
#[derive(Debug)]
pub(crate) struct PartSuspects {
    node: NodeId,
    ledger: PartLedger,
    trials: PartTrials,

    /// The crashes that this node saw, and the suspects that it saw answered.
    own: PartReport,
}

impl PartSuspects {
    /// Nothing is suspected. `node` is this node.
    pub(crate) fn new(node: NodeId) -> Self {
        let (ledger, trials) = (PartLedger::default(), PartTrials::default());
        Self { node, ledger, trials, own: PartReport::default() }
    }

    /// Records that a server answered a prompt with these parts.
    pub(crate) fn record_answer(&mut self, now: Instant, parts: &[PromptPart]) {
        for part in parts {
            if self.ledger.record_answer(now, *part) {
                self.trials.forget(*part);
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
            if self.ledger.record_answer(*at, *part) {
                self.trials.forget(*part);
            }
        }
        for (crash, seen) in &report.crashes {
            for part in &seen.parts {
                let verdict = self.ledger.record_crash(seen.at, *crash, *part);
                self.take_verdict(*part, verdict);
            }
        }
        for (part, quarantine) in &report.quarantined {
            let verdict = self.ledger.record_quarantine(*part, *quarantine);
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

    /// What is known of a prompt with these parts.
    pub(crate) fn status(&self, now: Instant, parts: &[PromptPart]) -> PromptStatus {
        self.ledger.prompt_status(now, parts)
    }

    /// Whether this one of all nodes may find out now whether a prompt with a part crashes servers.
    pub(crate) fn try_begin_trial(
        &mut self,
        now: Instant,
        part: PromptPart,
        roster: &SenderRoster,
    ) -> bool {
        let key = part.to_string();
        let mut order = rendezvous_order(&key, roster.nodes()).into_iter();
        let rank = order.position(|node| *node == self.node).unwrap_or(roster.len());
        let may_begin = self.trials.try_begin(now, part, rank);
        if may_begin {
            log::info!(part:% = part, rank = rank; "suspects: prompt part is tried.");
        }
        may_begin
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
