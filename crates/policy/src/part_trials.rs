//! Which node may send a prompt of which only a server can tell whether it crashes servers.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use comfreyturn_types::PromptPart;

/// Settings of [`PartTrials`].
#[derive(Clone, Copy, Debug)]
pub struct PartTrialSettings {
    /// Each time a node has had prompts with the part for this long, twice as many nodes may try.
    pub turn_time: Duration,

    /// A node tries again after this time, if nothing is known of the part by then.
    pub trial_time: Duration,

    /// Number of parts at which all turns are forgotten.
    pub max_parts: usize,
}

impl Default for PartTrialSettings {
    fn default() -> Self {
        Self {
            turn_time: Duration::from_millis(500),
            trial_time: Duration::from_secs(1),
            max_parts: 1000,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct TrialTurn {
    /// Number of times for which prompts with the part came.
    turns: u32,
    turn_at: Instant,
    begun_at: Option<Instant>,
}

/// Which node may send a prompt with a part that may crash servers.
///
/// Hundreds of nodes may get such prompts at the same moment, and each may crash a server. So the
/// first node of the part's rendezvous order tries at once, and the others after it, twice as many
/// each time: a node that gets no such prompts holds nobody up for long. Nodes need no messages for
/// that but the result, which ends all trials.
#[derive(Debug, Default)]
pub struct PartTrials {
    settings: PartTrialSettings,
    turns: HashMap<PromptPart, TrialTurn>,
}

impl PartTrials {
    /// Whether this node, which has this rank in the rendezvous order of the part, may send a prompt
    /// with the part now.
    pub fn try_begin(&mut self, now: Instant, part: PromptPart, rank: usize) -> bool {
        if self.turns.len() >= self.settings.max_parts && !self.turns.contains_key(&part) {
            self.turns.clear();
        }
        let first = TrialTurn { turns: 0, turn_at: now, begun_at: None };
        let turn = self.turns.entry(part).or_insert(first);
        if now.saturating_duration_since(turn.turn_at) >= self.settings.turn_time {
            turn.turns += 1;
            turn.turn_at = now;
        }
        let trial_time = self.settings.trial_time;
        let is_trying =
            turn.begun_at.is_some_and(|at| now.saturating_duration_since(at) < trial_time);
        let is_in_turn = 1_usize.checked_shl(turn.turns).is_none_or(|nodes| rank < nodes);
        let may_begin = is_in_turn && !is_trying;
        if may_begin {
            turn.begun_at = Some(now);
        }
        may_begin
    }

    /// Forgets a part that a server answered.
    pub fn forget(&mut self, part: PromptPart) {
        self.turns.remove(&part);
    }
}
