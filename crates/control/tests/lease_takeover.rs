//! Acquiring the lease of a run that is believed to be dead, before the lease lapses.

use std::{rc::Rc, time::Duration};

use comfreyturn_control::{LeaseKeeper, RowKeys, TimedTable};
use comfreyturn_policy::LeaseTerm;
use comfreyturn_ports::Clock;
use comfreyturn_standin::fakes::{
    FaultPlan, FaultSettings, LocalPool, ManualClock, MemoryTable, run_until,
};
use comfreyturn_types::{CellName, Incarnation, LeaseScope, NodeId};

type LeaseRun = (NodeId, Incarnation);

/// A table and a clock that the lease keepers of several runs share.
struct LeaseFixture {
    clock: ManualClock,
    pool: LocalPool,
    table: MemoryTable,
}

impl LeaseFixture {
    fn new() -> Self {
        let clock = ManualClock::new();
        let pool = LocalPool::new();
        let plan = FaultPlan::new(&clock, &pool, FaultSettings::default());
        Self { table: MemoryTable::new(&plan), clock, pool }
    }

    fn keeper(&self, run: &LeaseRun) -> LeaseKeeper {
        let clock: Rc<dyn Clock> = Rc::new(self.clock.clone());
        let table = TimedTable::new(self.table.for_node(&run.0), clock, Duration::from_secs(1));
        let keys = RowKeys::new(CellName::from("cell"));
        let scope = LeaseScope::from("fleet");
        LeaseKeeper::new(table, LeaseTerm::default(), &keys, &scope, run.clone())
    }

    fn keep(&mut self, keeper: &LeaseKeeper) {
        run_until(&self.clock, &mut self.pool, keeper.keep()).unwrap().unwrap();
    }

    fn take_over(&mut self, keeper: &LeaseKeeper, dead: &LeaseRun) {
        run_until(&self.clock, &mut self.pool, keeper.take_over(dead)).unwrap().unwrap();
    }

    fn fencing(&self, keeper: &LeaseKeeper) -> Option<u64> {
        keeper.held(self.clock.now()).map(|lease| lease.fencing.0)
    }
}

fn run(node: &str, incarnation: u64) -> LeaseRun {
    (NodeId::from(node), Incarnation(incarnation))
}

#[test]
fn lease_of_dead_run_is_acquired_before_it_lapses() {
    let mut fixture = LeaseFixture::new();
    let (first, second) = (run("a", 1), run("b", 1));
    let (old, new) = (fixture.keeper(&first), fixture.keeper(&second));
    fixture.keep(&old);
    fixture.keep(&new);
    assert_eq!(fixture.fencing(&new), None, "the holder's term has not ended");
    fixture.take_over(&new, &first);
    assert_eq!(fixture.fencing(&new), Some(2));
    fixture.keep(&old);
    assert_eq!(fixture.fencing(&old), None, "the next renewal of the old holder fails");
}

#[test]
fn lease_is_not_acquired_from_later_run_of_dead_node() {
    let mut fixture = LeaseFixture::new();
    let (dead, restarted, other) = (run("a", 1), run("a", 2), run("b", 1));
    let (first, second, third) =
        (fixture.keeper(&dead), fixture.keeper(&restarted), fixture.keeper(&other));
    fixture.keep(&first);
    // The third run reads the dead run as the holder. Then the dead run's node restarts and
    // acquires the lease, so that the third run's information is outdated.
    fixture.keep(&third);
    assert_eq!(third.holder(), Some(dead.clone()));
    fixture.take_over(&second, &dead);
    assert_eq!(fixture.fencing(&second), Some(2));
    fixture.take_over(&third, &dead);
    assert_eq!(fixture.fencing(&third), None);
    fixture.keep(&second);
    assert_eq!(fixture.fencing(&second), Some(2), "the living holder keeps the lease");
}
