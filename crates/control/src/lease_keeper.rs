//! Taking, renewing and giving back one lease.

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
    config_store::{parse, write},
};

/// The row of a lease. Changes hands only; renewals have a row of their own.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct LeaseRow {
    /// The run that holds the lease.
    holder: Option<(NodeId, Incarnation)>,

    /// Invariant: rises with each holder.
    fencing: FencingNumber,
}

/// The row of a lease's renewals.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct LeaseBeat {
    fencing: FencingNumber,
}

/// Both rows with their versions.
struct LeaseView {
    row: LeaseRow,
    versions: (RowVersion, RowVersion),
}

/// Takes, renews and gives back one lease.
pub struct LeaseKeeper {
    table: TimedTable,
    term: LeaseTerm,
    lease_key: RowKey,
    beat_key: RowKey,
    run: (NodeId, Incarnation),
    hold: Cell<Option<HeldLease>>,
    sight: Cell<Option<LeaseObservation>>,
    holder: RefCell<Option<(NodeId, Incarnation)>>,
    fencing_floor: Cell<FencingNumber>,
}

impl LeaseKeeper {
    /// Keeps the lease of `scope` for one run of a node.
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
            beat_key: keys.lease_beat(scope),
            run,
            hold: Cell::new(None),
            sight: Cell::new(None),
            holder: RefCell::new(None),
            fencing_floor: Cell::new(FencingNumber::default()),
        }
    }

    /// The lease, while this node may act under it.
    pub fn held(&self, now: Instant) -> Option<HeldLease> {
        self.hold.get().filter(|hold| self.term.is_held(now, hold))
    }

    /// Who held the lease when it was last looked at.
    pub fn holder(&self) -> Option<(NodeId, Incarnation)> {
        self.holder.borrow().clone()
    }

    /// Forgets that the lease is held, and how long others were seen to hold it.
    pub fn forget(&self) {
        self.hold.set(None);
        self.sight.set(None);
    }

    /// An engine saw a higher fencing number: the lease is lost, or must be taken anew above it.
    pub fn note_fenced(&self, seen: FencingNumber) {
        self.fencing_floor.set(self.fencing_floor.get().max(seen));
        self.hold.set(None);
    }

    /// The check that every write under the lease carries.
    pub fn check(&self, hold: &HeldLease) -> RowCheck {
        RowCheck { key: self.lease_key.clone(), version: hold.row }
    }

    /// Renews the lease, or takes it if it is free or has lapsed.
    ///
    /// # Errors
    ///
    /// If the table service does not answer; then nothing is known to have changed.
    pub async fn keep(&self) -> TableResult<()> {
        match self.hold.get() {
            Some(hold) => self.renew(hold).await,
            None => self.look(None).await,
        }
    }

    /// Takes the lease although it has not lapsed, if it is still held by a run that seems to be
    /// dead. Only for leases whose fencing number is checked by everybody who takes orders: a
    /// holder that lives after all then finds itself refused.
    ///
    /// # Errors
    ///
    /// As [`LeaseKeeper::keep`].
    pub async fn take_over(&self, dead: &(NodeId, Incarnation)) -> TableResult<()> {
        match self.hold.get() {
            Some(hold) => self.renew(hold).await,
            None => self.look(Some(dead)).await,
        }
    }

    /// Gives the lease back.
    ///
    /// # Errors
    ///
    /// If the table service does not answer; the lease then lapses.
    pub async fn release(&self) -> TableResult<()> {
        let Some(hold) = self.hold.take() else { return Ok(()) };
        let row = LeaseRow { holder: None, fencing: hold.fencing };
        let transaction = TableTransaction {
            checks: vec![self.check(&hold)],
            writes: vec![write(self.lease_key.clone(), &row)],
        };
        self.table.commit(Step::LeaseRelease, transaction).await?;
        log::info!("lease: {} given back.", self.lease_key);
        Ok(())
    }

    /// Renews. A renewal whose answer is lost extends nothing; the next one tells who holds.
    async fn renew(&self, hold: HeldLease) -> TableResult<()> {
        let sent_at = self.table.clock().now();
        let beat = LeaseBeat { fencing: hold.fencing };
        let transaction = TableTransaction {
            checks: vec![self.check(&hold)],
            writes: vec![write(self.beat_key.clone(), &beat)],
        };
        match self.table.commit(Step::LeaseRenew, transaction).await? {
            CommitOutcome::Committed if self.hold.get() == Some(hold) => {
                self.hold.set(Some(HeldLease { renewed_at: sent_at, ..hold }));
            }
            CommitOutcome::Committed => {}
            CommitOutcome::Conflict(_) => {
                log::warn!("lease: {} was taken over.", self.lease_key);
                self.forget();
            }
        }
        Ok(())
    }

    async fn look(&self, dead: Option<&(NodeId, Incarnation)>) -> TableResult<()> {
        let view = self.read().await?;
        let now = self.table.clock().now();
        let sight = LeaseObservation::update(self.sight.get(), now, view.versions);
        self.sight.set(Some(sight));
        let own = view.row.holder.as_ref() == Some(&self.run);
        let free = view.row.holder.is_none();
        if own && view.row.fencing > self.fencing_floor.get() {
            return self.resume(&view).await;
        }
        let holder_is_dead = dead.is_some() && view.row.holder.as_ref() == dead;
        if own || free || holder_is_dead || self.term.has_lapsed(now, &sight) {
            return self.acquire(&view).await;
        }
        Ok(())
    }

    async fn read(&self) -> TableResult<LeaseView> {
        let keys = [self.lease_key.clone(), self.beat_key.clone()];
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

    /// Takes the lease. An answer that is lost is made good by the next look, which finds this
    /// run named as the holder.
    async fn acquire(&self, view: &LeaseView) -> TableResult<()> {
        let fencing = view.row.fencing.max(self.fencing_floor.get()).next();
        let row = LeaseRow { holder: Some(self.run.clone()), fencing };
        let (lease_version, beat_version) = view.versions;
        let transaction = TableTransaction {
            checks: vec![
                RowCheck { key: self.lease_key.clone(), version: lease_version },
                RowCheck { key: self.beat_key.clone(), version: beat_version },
            ],
            writes: vec![
                write(self.lease_key.clone(), &row),
                write(self.beat_key.clone(), &LeaseBeat { fencing }),
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

    /// Starts to act under a lease that the row gives to this run. The renewal proves that it
    /// still does, and begins the term.
    async fn resume(&self, view: &LeaseView) -> TableResult<()> {
        let fencing = view.row.fencing;
        let row = view.versions.0;
        let sent_at = self.table.clock().now();
        let hold = HeldLease { fencing, row, renewed_at: sent_at };
        let transaction = TableTransaction {
            checks: vec![self.check(&hold)],
            writes: vec![write(self.beat_key.clone(), &LeaseBeat { fencing })],
        };
        match self.table.commit(Step::LeaseRenew, transaction).await {
            Ok(CommitOutcome::Committed) => {
                log::info!("lease: {} taken with fencing number {fencing}.", self.lease_key);
                self.hold.set(Some(hold));
                Ok(())
            }
            Ok(CommitOutcome::Conflict(_)) => Ok(()),
            Err(error) => Err(error),
        }
    }
}
