//! Lets suspect requests run one at a time at a target, over all nodes.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_policy::rendezvous_order;
use comfreyturn_ports::{
    CommitOutcome, PeerIdentity, RowCheck, RowKey, RowWrite, Step, TableError, TableResult,
    TableTransaction,
};
use comfreyturn_types::{Incarnation, RowVersion};
use serde::{Deserialize, Serialize};

use crate::{ServingPorts, ServingView};

/// How long a slot that could not be acquired is not tried again.
const SLOT_RETRY: Duration = Duration::from_millis(250);

/// How often releasing a slot is tried.
const RELEASE_TRIES: u32 = 60;

/// Pause between two tries to release a slot.
const RELEASE_PAUSE: Duration = Duration::from_secs(1);

/// The row of a slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SlotRecord {
    /// The incarnation of the node that holds it.
    owner: Incarnation,

    /// Distinguishes the slots that one incarnation acquires.
    serial: u64,
}

/// Result of acquiring a slot's row.
enum SlotResult {
    Taken,
    Busy,
    TableUnreachable,
}

/// Slots for suspect requests, one for each target (a group or a plain backend server).
///
/// A slot is a row of the table, so that of two suspects at different nodes only one runs at a
/// target: if the target crashes again, that one is the cause. While the table is down, only the
/// node that comes first in the target's rendezvous order over the roster runs suspects there.
pub(crate) struct SuspectSlots {
    identity: PeerIdentity,
    ports: ServingPorts,
    view: Rc<dyn ServingView>,
    held: RefCell<BTreeSet<String>>,
    busy_until: RefCell<BTreeMap<String, Instant>>,
    next_serial: Cell<u64>,
}

impl SuspectSlots {
    pub(crate) fn new(
        identity: PeerIdentity,
        ports: ServingPorts,
        view: Rc<dyn ServingView>,
    ) -> Rc<Self> {
        Rc::new(Self {
            identity,
            ports,
            view,
            held: RefCell::default(),
            busy_until: RefCell::default(),
            next_serial: Cell::new(0),
        })
    }

    /// Whether to try to acquire a slot now: this node does not hold it, and the last failed try is
    /// at least [`SLOT_RETRY`] ago.
    pub(crate) fn may_acquire(&self, now: Instant, target: &str) -> bool {
        self.busy_until.borrow_mut().retain(|_, until| *until > now);
        !self.held.borrow().contains(target) && !self.busy_until.borrow().contains_key(target)
    }

    /// Acquires a target's slot if no other suspect runs there.
    pub(crate) async fn acquire(self: &Rc<Self>, target: &str) -> Option<SlotGuard> {
        if !self.held.borrow_mut().insert(target.to_owned()) {
            return None;
        }
        let guard = self.new_guard(target);
        match self.acquire_row(target, guard.serial).await {
            SlotResult::Taken => {}
            SlotResult::TableUnreachable if self.is_preferred_node(target) => {
                log::warn!("suspects: table unreachable, slot of {target} held without a row.");
            }
            result => {
                guard.may_have_row.set(matches!(result, SlotResult::TableUnreachable));
                let until = self.ports.now() + SLOT_RETRY;
                self.busy_until.borrow_mut().insert(target.to_owned(), until);
                return None;
            }
        }
        Some(guard)
    }

    fn new_guard(self: &Rc<Self>, target: &str) -> SlotGuard {
        let serial = self.next_serial.get();
        self.next_serial.set(serial + 1);
        SlotGuard {
            slots: self.clone(),
            target: target.to_owned(),
            serial,
            may_have_row: Cell::new(true),
        }
    }

    async fn acquire_row(&self, target: &str, serial: u64) -> SlotResult {
        let key = self.row_key(target);
        let row = match self.read(&key).await {
            Ok(row) => row,
            Err(_) => return SlotResult::TableUnreachable,
        };
        let version = match row {
            None => RowVersion(0),
            Some((version, record)) if self.is_free(&record) => version,
            Some(_) => return SlotResult::Busy,
        };
        let record = SlotRecord { owner: self.identity.incarnation, serial };
        match self.write(&key, version, Some(&record)).await {
            Ok(CommitOutcome::Committed) => SlotResult::Taken,
            Ok(CommitOutcome::Conflict(_)) => SlotResult::Busy,
            Err(TableError::Unavailable) => SlotResult::TableUnreachable,
            Err(_) => self.read_back(&key, &record).await,
        }
    }

    /// Whether this node comes first in the target's rendezvous order over the roster.
    fn is_preferred_node(&self, target: &str) -> bool {
        let config = self.view.config();
        let nodes = config.roster.current.members.keys();
        rendezvous_order(target, nodes).first() == Some(&&self.identity.node)
    }

    async fn read_back(&self, key: &RowKey, record: &SlotRecord) -> SlotResult {
        match self.read(key).await {
            Ok(Some((_, found))) if found == *record => SlotResult::Taken,
            Ok(_) => SlotResult::Busy,
            Err(_) => SlotResult::TableUnreachable,
        }
    }

    /// Whether a row is left over: of this incarnation, as no request here holds the slot, or of an
    /// incarnation that is gone.
    fn is_free(&self, record: &SlotRecord) -> bool {
        record.owner == self.identity.incarnation || self.view.incarnation_gone(&record.owner)
    }

    async fn release(&self, target: &str, serial: u64) {
        let key = self.row_key(target);
        let owned = SlotRecord { owner: self.identity.incarnation, serial };
        for _ in 0..RELEASE_TRIES {
            match self.read(&key).await {
                Ok(Some((version, record))) if record == owned => {
                    if let Ok(CommitOutcome::Committed) = self.write(&key, version, None).await {
                        return;
                    }
                }
                Ok(_) => return,
                Err(_) => {}
            }
            self.ports.clock.sleep(RELEASE_PAUSE).await;
        }
    }

    fn row_key(&self, target: &str) -> RowKey {
        RowKey::from(format!("{}/suspect/{target}", self.identity.cell))
    }

    async fn read(&self, key: &RowKey) -> TableResult<Option<(RowVersion, SlotRecord)>> {
        let rows = self.ports.table.read(Step::SuspectSlot, std::slice::from_ref(key)).await?;
        let Some(row) = rows.into_iter().next().flatten() else {
            return Ok(None);
        };
        let record = serde_json::from_str(&row.value).map_err(|_| TableError::Malformed)?;
        Ok(Some((row.version, record)))
    }

    async fn write(
        &self,
        key: &RowKey,
        version: RowVersion,
        record: Option<&SlotRecord>,
    ) -> TableResult<CommitOutcome> {
        let value = record
            .map(|record| serde_json::to_string(record).expect("a slot consists of two numbers"));
        let transaction = TableTransaction {
            checks: vec![RowCheck { key: key.clone(), version }],
            writes: vec![RowWrite { key: key.clone(), value }],
        };
        self.ports.table.commit(Step::SuspectSlot, transaction).await
    }
}

/// A slot held for one suspect request; released on drop.
pub(crate) struct SlotGuard {
    slots: Rc<SuspectSlots>,
    target: String,
    serial: u64,
    /// Whether a row of this slot may exist and must be deleted on drop.
    may_have_row: Cell<bool>,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.slots.held.borrow_mut().remove(&self.target);
        if !self.may_have_row.get() {
            return;
        }
        let (slots, target, serial) = (self.slots.clone(), self.target.clone(), self.serial);
        self.slots.ports.spawner.spawn(Box::pin(async move {
            slots.release(&target, serial).await;
        }));
    }
}
