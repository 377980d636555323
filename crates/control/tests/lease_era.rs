//! Leases while the table is restored from an older copy.

use std::{rc::Rc, time::Duration};

use comfreyturn_control::{LeaseKeeper, RowKeys, TimedTable};
use comfreyturn_policy::LeaseTerm;
use comfreyturn_ports::Clock;
use comfreyturn_standin::fakes::{
    FaultPlan, FaultSettings, LocalPool, ManualClock, MemoryTable, run_for, run_until,
};
use comfreyturn_types::{CellName, Incarnation, LeaseScope, NodeId};

/// Two runs that keep a lease in one table.
struct EraFixture {
    clock: ManualClock,
    pool: LocalPool,
    table: MemoryTable,
    keepers: Vec<LeaseKeeper>,
}

impl EraFixture {
    fn new() -> Self {
        let clock = ManualClock::new();
        let pool = LocalPool::new();
        let plan = FaultPlan::new(&clock, &pool, FaultSettings::default());
        let table = MemoryTable::new(&plan);
        let keeper = |name: &str| {
            let run = (NodeId::from(name), Incarnation(1));
            let shared: Rc<dyn Clock> = Rc::new(clock.clone());
            let timed = TimedTable::new(table.for_node(&run.0), shared, Duration::from_secs(1));
            let keys = RowKeys::new(CellName::from("cell"));
            let scope = LeaseScope::from("fleet");
            LeaseKeeper::new(timed, LeaseTerm::default(), &keys, &scope, run)
        };
        let keepers = vec![keeper("a"), keeper("b")];
        Self { clock, pool, table, keepers }
    }

    fn keep(&mut self, number: usize) {
        run_until(&self.clock, &mut self.pool, self.keepers[number].keep()).unwrap().unwrap();
    }

    fn wait(&mut self, time: Duration) {
        run_for(&self.clock, &mut self.pool, time);
    }

    fn fencing(&self, number: usize) -> Option<u64> {
        self.keepers[number].held(self.clock.now()).map(|lease| lease.fencing.0)
    }

    /// Keeps both, for a time; returns the fencing numbers under which each could act.
    fn keep_both(&mut self, time: Duration) -> Vec<(Option<u64>, Option<u64>)> {
        let step = Duration::from_millis(500);
        let mut seen = Vec::new();
        for _ in 0..time.as_millis() / step.as_millis() {
            self.keep(1);
            self.keep(0);
            seen.push((self.fencing(0), self.fencing(1)));
            self.wait(step);
        }
        seen
    }
}

#[test]
fn lost_lease_is_not_given_to_another_while_its_holder_may_act() {
    let mut fixture = EraFixture::new();
    let before = fixture.table.copy();
    fixture.keep(0);
    fixture.keep(1);
    let old = fixture.fencing(0).unwrap();
    fixture.table.restore(before);
    // The holder does not reach the table again; it acts until the end of its term.
    let mut holders = Vec::new();
    while fixture.fencing(1).is_none() {
        fixture.keep(1);
        holders.push((fixture.fencing(0), fixture.fencing(1)));
        fixture.wait(Duration::from_millis(500));
        assert!(holders.len() < 100, "the lease is acquired again");
    }
    assert!(holders.iter().all(|(first, second)| first.is_none() || second.is_none()));
    assert!(fixture.fencing(1).unwrap() > old);
}

#[test]
fn holder_of_an_older_copy_does_not_act_under_its_old_number() {
    let mut fixture = EraFixture::new();
    fixture.keep(0);
    let copy = fixture.table.copy();
    let first = fixture.fencing(0).unwrap();
    // The first holder stands still, the second one acquires the lease after it lapsed.
    fixture.keep(1);
    fixture.wait(LeaseTerm::default().term);
    fixture.keep(1);
    let second = fixture.fencing(1).unwrap();
    assert!(second > first);
    fixture.table.restore(copy);
    let numbers = fixture.keep_both(Duration::from_secs(30));
    for (holder, other) in &numbers {
        assert!(holder.is_none() || other.is_none(), "two holders: {numbers:?}");
    }
    let acted = numbers.iter().filter_map(|(holder, other)| holder.or(*other));
    let later: Vec<u64> = acted.filter(|number| *number != second).collect();
    assert!(!later.is_empty(), "somebody holds the lease");
    assert!(later.iter().all(|number| *number > second), "{later:?} after {second}");
}
