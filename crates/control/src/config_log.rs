//! The configuration log as a node remembers it.

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
    /// Invariant: its version never falls.
    state: RefCell<Rc<ConfigState>>,

    /// Invariant: consecutive, and the last one made `state`.
    entries: RefCell<BTreeMap<ConfigVersion, ConfigEntry>>,

    /// The newest change of the roster that is known to be confirmed.
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

    /// Takes over a configuration as a whole, unless it is no newer.
    pub(crate) fn replace(&self, state: ConfigState) {
        if state.version <= self.version() {
            return;
        }
        self.entries.borrow_mut().clear();
        self.set_state(state);
    }

    /// Sets what is called with each version, in order.
    pub(crate) fn set_hook(&self, hook: ConfigHook) {
        *self.hook.borrow_mut() = Some(hook);
    }

    /// Applies entries in order, up to the first gap. Older ones are ignored.
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

    /// The entries after `version`; empty if they are not all remembered.
    pub(crate) fn entries_after(&self, version: ConfigVersion) -> Vec<ConfigEntry> {
        let entries = self.entries.borrow();
        if !entries.contains_key(&version.next()) {
            return Vec::new();
        }
        entries.range(version.next()..).map(|(_, entry)| entry.clone()).collect()
    }

    /// An entry, if it is remembered.
    pub(crate) fn entry(&self, version: ConfigVersion) -> Option<ConfigEntry> {
        self.entries.borrow().get(&version).cloned()
    }

    /// The newest change of the roster that is known to be confirmed.
    pub(crate) fn confirmed(&self) -> ConfigVersion {
        self.confirmed.get()
    }

    /// A change of the roster is confirmed.
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
