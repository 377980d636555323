//! A node's in-memory copy of the configuration log.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
};

use comfreyturn_policy::{ConfigGap, ConfigState};
use comfreyturn_types::{ConfigEntry, ConfigVersion};

use crate::ConfigHook;

/// The newest known configuration, and the entries that led to it.
#[derive(Default)]
pub(crate) struct ConfigLog {
    /// Invariant: the version never decreases.
    state: RefCell<Rc<ConfigState>>,

    /// Invariant: the versions are consecutive, and the last entry produced `state`.
    entries: RefCell<BTreeMap<ConfigVersion, ConfigEntry>>,

    /// The version of the newest roster change that is known to be confirmed.
    confirmed: Cell<ConfigVersion>,

    kept_entries: u64,

    hook: RefCell<Option<ConfigHook>>,
}

impl ConfigLog {
    pub(crate) fn new(kept_entries: u64) -> Self {
        Self { kept_entries, ..Self::default() }
    }

    /// The configuration.
    pub(crate) fn state(&self) -> Rc<ConfigState> {
        Rc::clone(&self.state.borrow())
    }

    /// The version of the configuration.
    pub(crate) fn version(&self) -> ConfigVersion {
        self.state.borrow().version
    }

    /// Replaces the configuration by `state` and clears the entries, if `state` is newer.
    pub(crate) fn replace(&self, state: ConfigState) {
        if state.version <= self.version() {
            return;
        }
        self.entries.borrow_mut().clear();
        self.set_state(state);
    }

    /// Sets the hook that is called with each new version, in order.
    pub(crate) fn set_hook(&self, hook: ConfigHook) {
        *self.hook.borrow_mut() = Some(hook);
    }

    /// Applies entries in order, up to the first gap. Entries that are already applied are ignored.
    pub(crate) fn append(&self, entries: &[ConfigEntry]) -> Result<(), ConfigGap> {
        for entry in entries {
            let mut state = ConfigState::clone(&self.state());
            if state.apply(entry)? {
                self.keep(entry.clone());
                self.set_state(state);
            }
        }
        Ok(())
    }

    fn set_state(&self, state: ConfigState) {
        let state = Rc::new(state);
        *self.state.borrow_mut() = Rc::clone(&state);
        let hook = self.hook.borrow().clone();
        if let Some(hook) = hook {
            hook(&state);
        }
    }

    /// The entries after `version`; empty if some of them are no longer in memory.
    pub(crate) fn entries_after(&self, version: ConfigVersion) -> Vec<ConfigEntry> {
        let entries = self.entries.borrow();
        if !entries.contains_key(&version.next()) {
            return Vec::new();
        }
        entries.range(version.next()..).map(|(_, entry)| entry.clone()).collect()
    }

    /// The entry of a version, if it is still in memory.
    pub(crate) fn entry(&self, version: ConfigVersion) -> Option<ConfigEntry> {
        self.entries.borrow().get(&version).cloned()
    }

    /// The version of the newest roster change that is known to be confirmed.
    pub(crate) fn confirmed(&self) -> ConfigVersion {
        self.confirmed.get()
    }

    /// Records that a roster change is confirmed.
    pub(crate) fn set_confirmed(&self, version: ConfigVersion) {
        self.confirmed.set(self.confirmed.get().max(version));
    }

    fn keep(&self, entry: ConfigEntry) {
        let mut entries = self.entries.borrow_mut();
        let oldest = ConfigVersion(entry.version.0.saturating_sub(self.kept_entries));
        entries.insert(entry.version, entry);
        entries.retain(|version, _| *version > oldest);
    }
}
