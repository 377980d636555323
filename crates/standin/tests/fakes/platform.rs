//! The in-memory table, VM list and engines, under faults.

use std::{cell::Cell, rc::Rc, time::Duration};

use comfreyturn_ports::{
    CommitOutcome, EngineError, EngineOrder, RowCheck, RowWrite, Step, TableError, TableTransaction,
};
use comfreyturn_standin::fakes::{
    Fault, MemoryDirectory, MemoryEngineSettings, MemoryEngines, MemoryTable, RunError,
};
use comfreyturn_types::{
    FencingNumber, GroupAssignment, GroupGeneration, RowVersion, VmId, VmPhase, VmRecord, VmRole,
};
use strum::IntoEnumIterator;

use crate::bench::TestBench;

fn put(key: &str, version: u64) -> TableTransaction {
    TableTransaction {
        checks: vec![RowCheck { key: key.into(), version: RowVersion(version) }],
        writes: vec![RowWrite { key: key.into(), value: Some("v".to_owned()) }],
    }
}

fn record(vm: &str) -> VmRecord {
    VmRecord {
        vm: vm.into(),
        role: VmRole::Engine { accelerators: 8 },
        address: "127.0.0.1:1".parse().unwrap(),
        failure_domain: "a".into(),
        fabric_domain: "f".into(),
        leaving: false,
    }
}

fn order(fencing: u64) -> EngineOrder {
    let assignment = GroupAssignment {
        group: "g".into(),
        generation: GroupGeneration(1),
        service: "s".into(),
        model: "m".into(),
        version: "v".into(),
        adapters: Vec::new(),
        members: vec!["vm-1".into()],
    };
    EngineOrder { fencing: FencingNumber(fencing), assignment: Some(assignment) }
}

#[test]
fn commit_checks_row_versions() {
    let mut bench = TestBench::new();
    let table = MemoryTable::new(&bench.plan).for_node(&bench.node);
    let outcomes = bench.run(async move {
        let first = table.commit(Step::ConfigCommit, put("k", 0)).await;
        let second = table.commit(Step::ConfigCommit, put("k", 0)).await;
        (first, second)
    });
    let conflict = CommitOutcome::Conflict(vec!["k".into()]);
    assert_eq!(outcomes, Ok((Ok(CommitOutcome::Committed), Ok(conflict))));
    assert_eq!(bench.plan.call_count(Step::ConfigCommit), 2);
}

/// The result of a commit under each fault, and whether its rows were written.
#[test]
fn commit_under_each_fault() {
    let committed = Ok(Ok(CommitOutcome::Committed));
    for fault in Fault::iter() {
        let mut bench = TestBench::with_fault(Step::ConfigCommit, fault);
        let tables = MemoryTable::new(&bench.plan);
        let table = tables.for_node(&bench.node);
        let outcome = bench.run(async { table.commit(Step::ConfigCommit, put("k", 0)).await });
        let is_written = tables.row("k").is_some();
        let expected = match fault {
            Fault::Kill => (Err(RunError::Stalled), false),
            Fault::LostAnswer => (Ok(Err(TableError::NoAnswer)), true),
            Fault::CutOneWay => (Ok(Err(TableError::NoAnswer)), false),
            Fault::TableDown | Fault::CutBothWays => (Ok(Err(TableError::Unavailable)), false),
            _ => (committed.clone(), true),
        };
        assert_eq!((outcome, is_written), expected, "at {fault}");
        let fired = bench.plan.fired();
        assert_eq!(fired.len(), 1, "at {fault}");
        assert_eq!((fired[0].step, fired[0].fault), (Step::ConfigCommit, fault));
        assert_eq!(fired[0].node, bench.node);
    }
}

#[test]
fn outage_ends_and_slow_table_delays() {
    let mut bench = TestBench::with_fault(Step::ConfigReadHead, Fault::TableDown);
    let table = MemoryTable::new(&bench.plan).for_node(&bench.node);
    let clock = bench.node_clock();
    let reads = bench.run(async {
        let during = table.read(Step::ConfigReadHead, &[]).await;
        clock.sleep(Duration::from_secs(30)).await;
        (during, table.read(Step::ConfigReadHead, &[]).await)
    });
    assert_eq!(reads, Ok((Err(TableError::Unavailable), Ok(Vec::new()))));

    let mut bench = TestBench::with_fault(Step::ConfigReadHead, Fault::TableSlow);
    let table = MemoryTable::new(&bench.plan).for_node(&bench.node);
    bench.run(async { table.read(Step::ConfigReadHead, &[]).await }).unwrap().unwrap();
    assert!(bench.clock.elapsed() >= bench.plan.settings().slow_delay);
}

#[test]
fn duplicate_commit_is_applied_again_later() {
    let mut bench = TestBench::with_fault(Step::ConfigCommit, Fault::DuplicateLate);
    let tables = MemoryTable::new(&bench.plan);
    let table = tables.for_node(&bench.node);
    let clock = bench.node_clock();
    let unchecked = TableTransaction { checks: Vec::new(), ..put("k", 0) };
    bench
        .run(async {
            table.commit(Step::ConfigCommit, unchecked).await.unwrap();
            clock.sleep(Duration::from_secs(10)).await;
        })
        .unwrap();
    assert_eq!(tables.row("k").unwrap().version, RowVersion(2));
}

#[test]
fn racing_operator_commits_first() {
    let mut bench = TestBench::with_fault(Step::ConfigCommit, Fault::RacingOperator);
    let tables = MemoryTable::new(&bench.plan);
    let racing = tables.clone();
    let races = Rc::new(Cell::new(0));
    let counted = races.clone();
    bench.plan.set_race_hook(move || {
        counted.set(counted.get() + 1);
        let racing = racing.clone();
        Box::pin(async move { drop(racing.commit(&put("k", 0))) })
    });
    let table = tables.for_node(&bench.node);
    let outcome = bench.run(async { table.commit(Step::ConfigCommit, put("k", 0)).await });
    assert_eq!(outcome, Ok(Ok(CommitOutcome::Conflict(vec!["k".into()]))));
    assert_eq!(races.get(), 1);
}

#[test]
fn engine_loads_and_checks_fencing_as_set() {
    for checks_fencing in [true, false] {
        let mut bench = TestBench::new();
        let engines = MemoryEngines::new(&bench.plan);
        let vm = VmId::from("vm-1");
        engines.start(&vm, MemoryEngineSettings { checks_fencing, ..Default::default() });
        let control = engines.for_node(&bench.node);
        let clock = bench.node_clock();
        let stale = bench
            .run(async {
                control.order(Step::GroupOrder, &record("vm-1"), &order(5)).await.unwrap();
                let report = control.report(Step::WatchPoll, &record("vm-1")).await.unwrap();
                assert_eq!(report.phase, VmPhase::Loading);
                clock.sleep(Duration::from_secs(10)).await;
                control.order(Step::GroupOrder, &record("vm-1"), &order(4)).await
            })
            .unwrap();
        let fenced = Err(EngineError::Fenced { seen: FencingNumber(5) });
        assert_eq!(stale, if checks_fencing { fenced } else { Ok(()) });
        assert_eq!(engines.report(&vm).unwrap().phase, VmPhase::Ready);
        assert_eq!((engines.orders().len(), engines.places().len()), (2, 1));
    }
}

#[test]
fn order_takes_effect_if_its_answer_is_lost() {
    let mut bench = TestBench::with_fault(Step::GroupOrder, Fault::LostAnswer);
    let engines = MemoryEngines::new(&bench.plan);
    engines.start(&"vm-1".into(), MemoryEngineSettings::default());
    let control = engines.for_node(&bench.node);
    let lost =
        bench.run(async { control.order(Step::GroupOrder, &record("vm-1"), &order(1)).await });
    assert_eq!(lost, Ok(Err(EngineError::NoAnswer)));
    assert!(engines.report(&"vm-1".into()).unwrap().assignment.is_some());
}

#[test]
fn directory_lists_vms_and_fails_if_cut_off() {
    let mut bench = TestBench::new();
    let directory = MemoryDirectory::new(&bench.plan, [record("vm-1")]);
    let list = directory.for_node(&bench.node);
    let listed = bench.run(async { list.list(Step::WatchDirectory).await });
    assert_eq!(listed, Ok(Ok(vec![record("vm-1")])));

    let mut bench = TestBench::with_fault(Step::WatchDirectory, Fault::CutOneWay);
    let list = MemoryDirectory::new(&bench.plan, []).for_node(&bench.node);
    assert!(bench.run(async { list.list(Step::WatchDirectory).await }).unwrap().is_err());
}
