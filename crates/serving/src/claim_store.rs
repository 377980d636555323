//! Table rows that let a request run at most once.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_ports::{PeerIdentity, RowCheck, RowKey, RowWrite, Step, TableResult, TableRow};
use comfreyturn_types::{CustomerName, IdempotencyKey, RowVersion, StreamId};

use crate::{
    ClaimPhase, ClaimRecord, ServingPorts, ServingSettings, ServingView, StoredAnswer,
    claim_expiry::ClaimExpiry,
    claim_guard::ClaimGuard,
    row_batcher::{RowBatcher, RowOutcome},
};

/// How often an insert is tried when the table's response is lost.
const INSERT_TRIES: u32 = 3;

/// Reads that must find no row before an abandoned claim counts as deleted, as its write may still
/// be in flight.
const MAX_ABSENT_READS: u32 = 6;

/// Result of inserting a claim.
pub(crate) enum ClaimInsert {
    /// This submission holds the claim.
    Held(ClaimGuard),
    /// Another submission holds it.
    Taken,
    /// The table could not be reached. A claim that was written nevertheless is deleted later.
    Unavailable,
}

/// Result of reading the claim under a submission's key.
pub(crate) enum ClaimJoin {
    /// There is no claim.
    Vacant,
    /// The final answer of an earlier submission.
    Settled(StoredAnswer),
    /// An earlier submission that its owner no longer runs.
    Orphaned {
        /// The claim.
        record: ClaimRecord,
        /// The backend server where it ran, if it ran.
        address: SocketAddr,
        /// The stream at a model engine.
        stream: Option<StreamId>,
    },
    /// An earlier submission with another body.
    OtherBody,
    /// The table could not be reached.
    Unavailable,
}

/// Reads and writes the claims of a cell for one node.
pub(crate) struct ClaimStore {
    identity: PeerIdentity,
    ports: ServingPorts,
    view: Rc<dyn ServingView>,
    settings: ServingSettings,
    inserts: Rc<RowBatcher>,
    outcomes: Rc<RowBatcher>,
    next_serial: Cell<u64>,
    /// Serials of this node's claims that may still be dispatched or settled.
    live: RefCell<BTreeSet<u64>>,
    expiry: ClaimExpiry,
}

impl ClaimStore {
    pub(crate) fn new(
        identity: PeerIdentity,
        ports: ServingPorts,
        view: Rc<dyn ServingView>,
        settings: ServingSettings,
    ) -> Rc<Self> {
        let batcher = |step| {
            let delay = settings.claim_batch_delay;
            RowBatcher::new(ports.clone(), step, delay, settings.claim_batch_rows)
        };
        Rc::new(Self {
            inserts: batcher(Step::ClaimInsert),
            outcomes: batcher(Step::ClaimOutcome),
            identity,
            ports,
            view,
            settings,
            next_serial: Cell::new(0),
            live: RefCell::default(),
            expiry: ClaimExpiry::default(),
        })
    }

    /// The row key of an idempotency key. Slashes in the customer's name are escaped, so that no
    /// customer can address another one's claims.
    pub(crate) fn row_key(&self, customer: &CustomerName, key: &IdempotencyKey) -> RowKey {
        let customer = customer.as_str().replace('%', "%25").replace('/', "%2F");
        RowKey::from(format!("{}/claim/{customer}/{key}", self.identity.cell))
    }

    // ------------------------------------------------------------------------------------------
    // Inserting

    /// Inserts a claim right before its dispatch.
    pub(crate) async fn insert(
        self: &Rc<Self>,
        key: RowKey,
        body_hash: u64,
        phase: ClaimPhase,
    ) -> ClaimInsert {
        let record = self.new_record(body_hash, phase);
        let mut guard = ClaimGuard::new(self.clone(), key, record, self.ports.now());
        for attempt in 0..INSERT_TRIES {
            guard.confirmed_at = self.ports.now();
            match self.write_claim(&guard).await {
                RowOutcome::Written => return ClaimInsert::Held(guard),
                RowOutcome::Conflict if attempt == 0 => {
                    guard.mark_absent();
                    return ClaimInsert::Taken;
                }
                RowOutcome::Unavailable if attempt == 0 => {
                    guard.mark_absent();
                    return ClaimInsert::Unavailable;
                }
                RowOutcome::Conflict | RowOutcome::NoAnswer | RowOutcome::Unavailable => {}
            }
            guard.confirmed_at = self.ports.now();
            match self.read(Step::ClaimReadBack, &guard.key).await {
                Ok(None) => {}
                Ok(Some((_, record))) if guard.owns(&record) => return ClaimInsert::Held(guard),
                Ok(Some(_)) => {
                    guard.mark_absent();
                    return ClaimInsert::Taken;
                }
                Err(_) => return ClaimInsert::Unavailable,
            }
        }
        ClaimInsert::Unavailable
    }

    async fn write_claim(&self, guard: &ClaimGuard) -> RowOutcome {
        let check = RowCheck { key: guard.key.clone(), version: RowVersion(0) };
        let write = RowWrite { key: guard.key.clone(), value: Some(to_text(&guard.record)) };
        self.inserts.write(check, write).await
    }

    fn new_record(&self, body_hash: u64, phase: ClaimPhase) -> ClaimRecord {
        let serial = self.next_serial.get();
        self.next_serial.set(serial + 1);
        self.live.borrow_mut().insert(serial);
        ClaimRecord {
            node: self.identity.node.clone(),
            owner: self.identity.incarnation,
            serial,
            body_hash,
            phase,
        }
    }

    // ------------------------------------------------------------------------------------------
    // Joining

    /// Reads the claim of an earlier submission and waits until it ends. `claimed` is set once a
    /// claim is found; from then on reads that fail are repeated.
    pub(crate) async fn join(
        &self,
        key: &RowKey,
        body_hash: u64,
        claimed: &Cell<bool>,
    ) -> ClaimJoin {
        let mut pause = self.settings.claim_read_pause;
        loop {
            match self.read(Step::ClaimJoin, key).await {
                Ok(None) => return ClaimJoin::Vacant,
                Ok(Some((_, record))) => {
                    claimed.set(true);
                    if let Some(end) = self.classify(record, body_hash) {
                        return end;
                    }
                }
                Err(_) if claimed.get() => {}
                Err(_) => return ClaimJoin::Unavailable,
            }
            self.ports.clock.sleep(pause).await;
            pause = self.next_pause(pause);
        }
    }

    /// The result for a submission that finds this claim; `None` while its owner runs it.
    fn classify(&self, record: ClaimRecord, body_hash: u64) -> Option<ClaimJoin> {
        if record.body_hash != body_hash {
            return Some(ClaimJoin::OtherBody);
        }
        match record.phase.clone() {
            ClaimPhase::Settled(answer) => Some(ClaimJoin::Settled(answer)),
            ClaimPhase::Dispatching { address, stream } if self.is_orphaned(&record) => {
                Some(ClaimJoin::Orphaned { record, address, stream })
            }
            ClaimPhase::Dispatching { .. } => None,
        }
    }

    fn is_orphaned(&self, record: &ClaimRecord) -> bool {
        if record.owner == self.identity.incarnation {
            return !self.live.borrow().contains(&record.serial);
        }
        self.view.incarnation_gone(&record.owner)
    }

    // ------------------------------------------------------------------------------------------
    // Claims held by this node

    /// Whether the row of a claim is still as this node wrote it.
    pub(crate) async fn is_unchanged(&self, guard: &ClaimGuard) -> TableResult<bool> {
        let row = self.read(Step::ClaimReadBack, &guard.key).await?;
        Ok(row.is_some_and(|(_, record)| record == guard.record))
    }

    /// Writes where a claimed request runs now. Best effort: only submissions that join need it.
    pub(crate) async fn write_destination(self: &Rc<Self>, guard: &ClaimGuard) {
        let Ok(Some((version, record))) = self.read(Step::ClaimReadBack, &guard.key).await else {
            return;
        };
        if guard.owns(&record) {
            self.replace(&guard.key, version, &guard.record).await;
        }
    }

    /// Records the final answer of a claimed request; retries while the table is down.
    pub(crate) async fn settle(
        self: &Rc<Self>,
        key: &RowKey,
        owned: &ClaimRecord,
        answer: StoredAnswer,
    ) {
        let phase = ClaimPhase::Settled(answer);
        let settled = ClaimRecord { phase, ..owned.clone() };
        let give_up_at = self.ports.now() + self.settings.outcome_write_timeout;
        let mut pause = self.settings.claim_read_pause;
        while self.ports.now() < give_up_at {
            match self.read(Step::ClaimOutcome, key).await {
                Ok(Some((_, record))) if record == settled => return self.expire_later(key, owned),
                Ok(Some((version, record))) if is_same_submission(&record, owned) => {
                    if self.replace(key, version, &settled).await == RowOutcome::Written {
                        return self.expire_later(key, owned);
                    }
                }
                Ok(_) => return,
                Err(_) => {}
            }
            self.ports.clock.sleep(pause).await;
            pause = self.next_pause(pause);
        }
        log::warn!("claims: gave up recording the outcome of {key}.");
    }

    /// Schedules the deletion of a settled claim at the end of its retention time.
    fn expire_later(self: &Rc<Self>, key: &RowKey, owned: &ClaimRecord) {
        let expires_at = self.ports.now() + self.settings.claim_retention;
        self.expiry.push(expires_at, key.clone(), owned.clone());
        if !self.expiry.sweeping.replace(true) {
            let store = self.clone();
            self.spawn(async move { store.sweep().await });
        }
    }

    async fn sweep(self: &Rc<Self>) {
        while let Some(expires_at) = self.expiry.next_at() {
            let left = expires_at.saturating_duration_since(self.ports.now());
            self.ports.clock.sleep(left).await;
            if let Some((key, owned)) = self.expiry.pop() {
                self.delete_claim(&key, &owned).await;
            }
        }
        self.expiry.sweeping.set(false);
    }

    /// Deletes a claim that was never dispatched, so that the request can be sent again.
    pub(crate) async fn abandon(self: &Rc<Self>, key: RowKey, owned: ClaimRecord) {
        self.delete_claim(&key, &owned).await;
        self.release(&owned);
    }

    async fn delete_claim(self: &Rc<Self>, key: &RowKey, owned: &ClaimRecord) {
        let mut pause = self.settings.claim_read_pause;
        let mut absent = 0;
        let give_up_at = self.ports.now() + self.settings.outcome_write_timeout;
        while absent < MAX_ABSENT_READS && self.ports.now() < give_up_at {
            match self.read(Step::ClaimOutcome, key).await {
                Ok(Some((version, record))) if is_same_submission(&record, owned) => {
                    if self.delete(key, version).await == RowOutcome::Written {
                        return;
                    }
                }
                Ok(Some(_)) => return,
                Ok(None) => absent += 1,
                Err(_) => {}
            }
            self.ports.clock.sleep(pause).await;
            pause = self.next_pause(pause);
        }
    }

    /// Marks a claim as neither to be dispatched nor settled by this node any more.
    pub(crate) fn release(&self, owned: &ClaimRecord) {
        self.live.borrow_mut().remove(&owned.serial);
    }

    /// Spawns a task.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.ports.spawner.spawn(Box::pin(task));
    }

    /// Whether a claim was confirmed too long ago and must be read again.
    pub(crate) fn needs_recheck(&self, confirmed_at: Instant) -> bool {
        let age = self.ports.now().saturating_duration_since(confirmed_at);
        age > self.settings.claim_recheck_age
    }

    // ------------------------------------------------------------------------------------------
    // Rows

    async fn replace(
        self: &Rc<Self>,
        key: &RowKey,
        version: RowVersion,
        record: &ClaimRecord,
    ) -> RowOutcome {
        let check = RowCheck { key: key.clone(), version };
        let write = RowWrite { key: key.clone(), value: Some(to_text(record)) };
        self.outcomes.write(check, write).await
    }

    async fn delete(self: &Rc<Self>, key: &RowKey, version: RowVersion) -> RowOutcome {
        let check = RowCheck { key: key.clone(), version };
        let write = RowWrite { key: key.clone(), value: None };
        self.outcomes.write(check, write).await
    }

    async fn read(
        &self,
        step: Step,
        key: &RowKey,
    ) -> TableResult<Option<(RowVersion, ClaimRecord)>> {
        let rows = self.ports.table.read(step, std::slice::from_ref(key)).await?;
        let row = rows.into_iter().next().flatten();
        row.map(parse_row).transpose()
    }

    fn next_pause(&self, pause: Duration) -> Duration {
        (pause * 2).min(self.settings.claim_read_max_pause)
    }
}

/// Whether two records belong to the same submission.
pub(crate) fn is_same_submission(record: &ClaimRecord, owned: &ClaimRecord) -> bool {
    record.owner == owned.owner && record.serial == owned.serial
}

fn parse_row(row: TableRow) -> TableResult<(RowVersion, ClaimRecord)> {
    let record =
        serde_json::from_str(&row.value).map_err(|_| comfreyturn_ports::TableError::Malformed)?;
    Ok((row.version, record))
}

fn to_text(record: &ClaimRecord) -> String {
    serde_json::to_string(record).expect("claims consist of text and numbers")
}
