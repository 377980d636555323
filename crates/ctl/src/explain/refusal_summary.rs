//! Requests that were not served, by cause and time.

use std::collections::BTreeMap;

use super::LogEntry;

/// Texts of the log lines that end a request that was not served, each with the outcome.
const FAILURE_LINES: [(&str, &str); 5] = [
    ("forward: request not run.", "not-run"),
    ("forward: request denied.", "denied"),
    ("forward: outcome unknown.", "unknown"),
    ("forward: stream broken.", "broken"),
    ("forward: caller left.", "caller-left"),
];

/// Outcome and reason of a request that was not served.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
#[display("{outcome} {reason}")]
pub struct RefusalCause {
    /// The outcome for the caller.
    pub outcome: &'static str,

    /// The reason.
    pub reason: String,
}

/// Requests that were not served, by cause and time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RefusalSummary {
    /// Length of a time slot, in seconds.
    pub slot_s: f64,

    /// Counts by cause, one for each time slot. Invariant: all of one length.
    pub counts: BTreeMap<RefusalCause, Vec<u64>>,
}

impl RefusalSummary {
    /// Counts entries, which must be in order of time, in slots of `slot_s` seconds.
    pub fn new(entries: &[LogEntry], slot_s: f64) -> Self {
        let mut counts: BTreeMap<RefusalCause, Vec<u64>> = BTreeMap::new();
        let (Some(first), Some(last)) = (entries.first(), entries.last()) else {
            return Self { slot_s, counts };
        };
        let slot_of = |at: f64| slot_number(at - first.at, slot_s);
        let slots = slot_of(last.at) + 1;
        for entry in entries {
            if let Some(cause) = cause_of(entry) {
                let counts = counts.entry(cause).or_insert_with(|| vec![0; slots]);
                counts[slot_of(entry.at)] += 1;
            }
        }
        Self { slot_s, counts }
    }

    /// The sum for each cause, then a table with a line for each time slot that has failures and a
    /// column for each cause.
    pub fn table(&self) -> String {
        let mut table = String::new();
        for (cause, counts) in &self.counts {
            table += &format!("{:6} {cause}\n", counts.iter().sum::<u64>());
        }
        if table.is_empty() {
            return "All requests were served.\n".to_owned();
        }
        let slots = self.counts.values().next().map_or(0, Vec::len);
        table += "\n    from";
        for cause in self.counts.keys() {
            table += &format!("  {cause}");
        }
        for slot in 0..slots {
            if self.counts.values().all(|counts| counts[slot] == 0) {
                continue;
            }
            table += &format!("\n{:8.1}", slot_start(slot, self.slot_s));
            for (cause, counts) in &self.counts {
                table += &format!("  {:width$}", counts[slot], width = cause.to_string().len());
            }
        }
        table + "\n"
    }
}

fn cause_of(entry: &LogEntry) -> Option<RefusalCause> {
    let (_, outcome) = FAILURE_LINES.iter().find(|(text, _)| *text == entry.text)?;
    let reason = entry.field("reason").or_else(|| entry.field("cause")).unwrap_or_default();
    Some(RefusalCause { outcome, reason })
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "times are not below the first one, and slots are few"
)]
fn slot_number(elapsed_s: f64, slot_s: f64) -> usize {
    (elapsed_s / slot_s).max(0.0) as usize
}

/// Start of a slot, in seconds since the first entry.
#[expect(clippy::cast_precision_loss, reason = "slots are few")]
pub(super) fn slot_start(slot: usize, slot_s: f64) -> f64 {
    slot as f64 * slot_s
}
