//! Follows the configuration log and keeps track of whether the configuration is fresh.

use std::{collections::BTreeSet, rc::Rc};

use comfreyturn_policy::MemberRun;
use comfreyturn_ports::TableResult;
use comfreyturn_types::{ConfigEntry, ConfigVersion};

use crate::NodeControl;

impl NodeControl {
    /// Reads the head of the log, and the entries up to it, each period.
    pub(crate) async fn run_config(self: Rc<Self>) {
        loop {
            if let Err(error) = self.read_head().await {
                log::debug!("config: reading the head failed: {error}.");
            }
            self.confirm_roster(&BTreeSet::new()).await;
            self.ports.sleep(self.settings.head_period).await;
        }
    }

    /// Reads the head of the log, and the entries up to it.
    pub(crate) async fn read_head(&self) -> TableResult<()> {
        let asked_at = self.now();
        let (head, confirmed) = self.store.read_head().await?;
        self.log.set_confirmed(confirmed);
        self.freshness.borrow_mut().record_head(asked_at, head);
        self.catch_up(head).await
    }

    /// Updates the local configuration to `head` from the table: by the entries, or by the whole
    /// configuration if none is known yet or the entries were already deleted.
    pub(crate) async fn catch_up(&self, head: ConfigVersion) -> TableResult<()> {
        let known = self.log.version();
        if known >= head {
            return Ok(());
        }
        if known > ConfigVersion::default() && head.0 - known.0 <= self.settings.kept_entries {
            let entries = self.store.read_entries(known, head).await?;
            self.append_entries(&entries);
        }
        if self.log.version() < head
            && let Some(state) = self.store.load().await?
        {
            log::info!("config: loaded snapshot of version {}.", state.version);
            self.log.replace(state);
            self.update_membership();
        }
        Ok(())
    }

    /// Applies entries that came from the table or from a peer.
    pub(crate) fn append_entries(&self, entries: &[ConfigEntry]) {
        if let Err(gap) = self.log.append(entries) {
            log::debug!("config: {gap}.");
        }
        self.update_membership();
    }

    /// Records that a run knows a version.
    pub(crate) fn record_known(&self, run: MemberRun, version: ConfigVersion) {
        self.tally.borrow_mut().record(run, version);
    }

    /// Checks whether the roster contains this run, or a later run of this node. In the second case
    /// this run starts to leave.
    fn update_membership(&self) {
        let state = self.log.state();
        let roster = &state.roster.current;
        if roster.contains(&self.member.node, self.member.incarnation) {
            self.was_in_roster.set(true);
        }
        let successor = roster.members.get(&self.member.node);
        let replaced = successor.is_some_and(|run| run.incarnation != self.member.incarnation);
        if replaced && self.was_in_roster.get() && !self.superseded.replace(true) {
            log::error!("roster: this run of {} was replaced by another one.", self.member.node);
            self.leaving.set(true);
        }
    }
}
