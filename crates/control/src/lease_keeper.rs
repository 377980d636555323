//! Acquires, renews and releases one lease.

use std::{
    cell::{Cell, RefCell},
    time::Instant,
};

use comfreyturn_policy::{HeldLease, LeaseObservation, LeaseTerm};
use comfreyturn_ports::{CommitOutcome, RowCheck, RowKey, Step, TableResult, TableTransaction};
use comfreyturn_types::{FencingNumber, Incarnation, LeaseScope, NodeId, RowVersion};
use serde::{Deserialize, Serialize};

use crate::{
    RowKeys, TimedTable,
    config_store::{parse, row_write},
};

/// The row of a lease. It is written only when the holder changes; renewals have their own row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct LeaseRow {
    /// The run that holds the lease.
    holder: Option<(NodeId, Incarnation)>,

    /// Invariant: increases with each new holder.
    fencing: FencingNumber,
}

/// The row of a lease's renewals.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct LeaseRenewal {
    fencing: FencingNumber,
}

/// The lease's row, and the versions of its row and its renewal row.
struct LeaseView {
    row: LeaseRow,
    versions: (RowVersion, RowVersion),
}

/// The number of fencing numbers of each era of the table. The first one of an era is higher than
/// all of the eras before, whose numbers may no longer be in the lease's row.
const FENCING_NUMBERS_PER_ERA: u64 = 10_000;

/// Acquires, renews and releases one lease.
pub struct LeaseKeeper {
    table: TimedTable,
    term: LeaseTerm,
    lease_key: RowKey,
    renewal_key: RowKey,
    run: (NodeId, Incarnation),
    held: Cell<Option<HeldLease>>,
    observation: Cell<Option<LeaseObservation>>,
    holder: RefCell<Option<(NodeId, Incarnation)>>,
    fencing_floor: Cell<FencingNumber>,

    /// The era of the table when its rows were last read.
    era: Cell<Option<u64>>,

    /// When this run noticed that the table had been restored from an older copy.
    restored_at: Cell<Option<Instant>>,
}

impl LeaseKeeper {
    /// Creates a keeper of the lease of `scope` for one run of a node.
    pub fn new(
        table: TimedTable,
        term: LeaseTerm,
        keys: &RowKeys,
        scope: &LeaseScope,
        run: (NodeId, Incarnation),
    ) -> Self {
        Self {
            table,
            term,
            lease_key: keys.lease(scope),
            renewal_key: keys.lease_renewal(scope),
            run,
            held: Cell::new(None),
            observation: Cell::new(None),
            holder: RefCell::new(None),
            fencing_floor: Cell::new(FencingNumber::default()),
            era: Cell::new(None),
            restored_at: Cell::new(None),
        }
    }

    /// The lease, if this run may currently act under it.
    pub fn held(&self, now: Instant) -> Option<HeldLease> {
        self.held.get().filter(|lease| self.term.is_held(now, lease))
    }

    /// The holder of the lease when its row was last read.
    pub fn holder(&self) -> Option<(NodeId, Incarnation)> {
        self.holder.borrow().clone()
    }

    /// Clears the local state: whether the lease is held, and since when its rows are unchanged.
    pub fn forget(&self) {
        self.held.set(None);
        self.observation.set(None);
    }

    /// Records that an engine has seen a higher fencing number. This run no longer holds the lease,
    /// or has to acquire it again with a number above `seen`.
    pub fn record_fenced(&self, seen: FencingNumber) {
        self.fencing_floor.set(self.fencing_floor.get().max(seen));
        self.held.set(None);
    }

    /// The row check that every write under the lease must include.
    pub fn check(&self, lease: &HeldLease) -> RowCheck {
        RowCheck { key: self.lease_key.clone(), version: lease.row }
    }

    /// Renews the lease, or acquires it if it is free or has lapsed.
    ///
    /// # Errors
    ///
    /// If the table service does not answer. The lease may or may not have changed in that case.
    pub async fn keep(&self) -> TableResult<()> {
        match self.held.get() {
            Some(lease) => self.renew(lease).await,
            None => self.try_acquire(None).await,
        }
    }

    /// Acquires the lease before it lapses, if it is still held by the run `dead`. Only safe for
    /// leases whose fencing number is checked by every receiver of orders: if the previous holder
    /// is alive after all, its orders are then refused.
    ///
    /// # Errors
    ///
    /// As [`LeaseKeeper::keep`].
    pub async fn take_over(&self, dead: &(NodeId, Incarnation)) -> TableResult<()> {
        match self.held.get() {
            Some(lease) => self.renew(lease).await,
            None => self.try_acquire(Some(dead)).await,
        }
    }

    /// Releases the lease.
    ///
    /// # Errors
    ///
    /// If the table service does not answer; the lease then expires at the end of its term.
    pub async fn release(&self) -> TableResult<()> {
        let Some(lease) = self.held.take() else { return Ok(()) };
        let row = LeaseRow { holder: None, fencing: lease.fencing };
        let transaction = TableTransaction {
            checks: vec![self.check(&lease)],
            writes: vec![row_write(self.lease_key.clone(), &row)],
        };
        self.table.commit(Step::LeaseRelease, transaction).await?;
        log::info!("lease: {} released.", self.lease_key);
        Ok(())
    }

    /// Renews the lease. A renewal without an answer does not extend the local term; the next
    /// renewal shows whether the lease is still held.
    async fn renew(&self, lease: HeldLease) -> TableResult<()> {
        let sent_at = self.table.clock().now();
        let renewal = LeaseRenewal { fencing: lease.fencing };
        let transaction = TableTransaction {
            checks: vec![self.check(&lease)],
            writes: vec![row_write(self.renewal_key.clone(), &renewal)],
        };
        match self.table.commit(Step::LeaseRenew, transaction).await? {
            CommitOutcome::Committed if self.held.get() == Some(lease) => {
                self.held.set(Some(HeldLease { renewed_at: sent_at, ..lease }));
            }
            CommitOutcome::Committed => {}
            CommitOutcome::Conflict(_) => {
                log::warn!("lease: {} was acquired by another run.", self.lease_key);
                self.forget();
            }
        }
        Ok(())
    }

    /// Reads the lease, and acquires it if it is free, has lapsed, or is held by the run `dead`. If
    /// the row already names this run as the holder, the lease is resumed; it is acquired again
    /// only if an engine has seen a fencing number that is as high or higher.
    async fn try_acquire(&self, dead: Option<&(NodeId, Incarnation)>) -> TableResult<()> {
        let view = self.read().await?;
        let now = self.table.clock().now();
        let observation = LeaseObservation::update(self.observation.get(), now, view.versions);
        self.observation.set(Some(observation));
        self.observe_era(now);
        // In a restored table the row may be free or name an earlier holder, while a later one
        // still acts until the end of its term.
        let is_settled = self
            .restored_at
            .get()
            .is_none_or(|at| now.saturating_duration_since(at) >= self.term.term);
        let own = view.row.holder.as_ref() == Some(&self.run);
        let free = view.row.holder.is_none() && is_settled;
        if own && view.row.fencing > self.fencing_floor.get() {
            return self.resume(&view).await;
        }
        let holder_is_dead = dead.is_some() && view.row.holder.as_ref() == dead;
        if own || free || holder_is_dead || self.term.has_lapsed(now, &observation) {
            return self.acquire(&view).await;
        }
        Ok(())
    }

    /// Notices that the table was restored from an older copy, and raises the floor of fencing
    /// numbers above those of earlier eras.
    fn observe_era(&self, now: Instant) {
        let era = self.table.era();
        if self.era.replace(Some(era)).is_some_and(|known| known != era) {
            self.restored_at.set(Some(now));
        }
        let first = FencingNumber(era * FENCING_NUMBERS_PER_ERA);
        self.fencing_floor.set(self.fencing_floor.get().max(first));
    }

    async fn read(&self) -> TableResult<LeaseView> {
        let keys = [self.lease_key.clone(), self.renewal_key.clone()];
        let rows = self.table.read(Step::LeaseRead, &keys).await?;
        let version = |index: usize| {
            rows.get(index).and_then(Option::as_ref).map(|row| row.version).unwrap_or_default()
        };
        let row = match rows.first() {
            Some(Some(row)) => parse(&row.value)?,
            _ => LeaseRow::default(),
        };
        *self.holder.borrow_mut() = row.holder.clone();
        Ok(LeaseView { row, versions: (version(0), version(1)) })
    }

    /// Acquires the lease. If the answer is lost, the next call of [`Self::try_acquire`] finds this
    /// run in the row as the holder.
    async fn acquire(&self, view: &LeaseView) -> TableResult<()> {
        let fencing = view.row.fencing.max(self.fencing_floor.get()).next();
        let row = LeaseRow { holder: Some(self.run.clone()), fencing };
        let (lease_version, renewal_version) = view.versions;
        let transaction = TableTransaction {
            checks: vec![
                RowCheck { key: self.lease_key.clone(), version: lease_version },
                RowCheck { key: self.renewal_key.clone(), version: renewal_version },
            ],
            writes: vec![
                row_write(self.lease_key.clone(), &row),
                row_write(self.renewal_key.clone(), &LeaseRenewal { fencing }),
            ],
        };
        match self.table.commit(Step::LeaseAcquire, transaction).await? {
            CommitOutcome::Committed => {
                let view = self.read().await?;
                if view.row != row {
                    return Ok(());
                }
                self.resume(&view).await
            }
            CommitOutcome::Conflict(_) => Ok(()),
        }
    }

    /// Starts to act under a lease whose row names this run as the holder. The renewal proves that
    /// the row is unchanged, and starts the term.
    async fn resume(&self, view: &LeaseView) -> TableResult<()> {
        let fencing = view.row.fencing;
        let row = view.versions.0;
        let sent_at = self.table.clock().now();
        let lease = HeldLease { fencing, row, renewed_at: sent_at };
        let transaction = TableTransaction {
            checks: vec![self.check(&lease)],
            writes: vec![row_write(self.renewal_key.clone(), &LeaseRenewal { fencing })],
        };
        match self.table.commit(Step::LeaseRenew, transaction).await {
            Ok(CommitOutcome::Committed) => {
                log::info!("lease: {} acquired with fencing number {fencing}.", self.lease_key);
                self.held.set(Some(lease));
                Ok(())
            }
            Ok(CommitOutcome::Conflict(_)) => Ok(()),
            Err(error) => Err(error),
        }
    }
}
