//! Checks of run records that keep, or break, each promise.

use std::collections::BTreeSet;

use comfreyturn_standin::{
    EngineRecords, ExecutionEnd, ExecutionRecord, PlaceRecord, PlainExecution,
    invariants::{
        CallEnd, CallRecord, CheckSettings, ConfigAcceptance, ConfigReport, DeathRecord,
        DispatchRecord, LeavingRecord, PlaceReport, PromiseViolation, RunRecords, ShutdownRecord,
        SystemPromise, check_promises,
    },
};
use comfreyturn_types::{
    ConfigVersion, FencingNumber, GroupAssignment, GroupGeneration, Incarnation, RequestOutcome,
    VmId,
};
use strum::IntoEnumIterator;

const PROMPT: u64 = 7;
const ANSWER: u64 = 70;

fn place(vm: &str, at_ms: u64, group: Option<(&str, &[&str])>) -> PlaceReport {
    let assignment = group.map(|(group, members)| GroupAssignment {
        group: group.into(),
        generation: GroupGeneration(1),
        service: "s".into(),
        model: "m".into(),
        version: "v".into(),
        adapters: Vec::new(),
        members: members.iter().map(|member| VmId::from(*member)).collect(),
    });
    PlaceReport { vm: vm.into(), at_ms, assignment }
}

fn execution(vm: &str, group: &str, started_ms: u64, ended_ms: u64) -> ExecutionRecord {
    ExecutionRecord {
        vm: vm.into(),
        incarnation: Incarnation(1),
        stream: "s1".into(),
        prompt_hash: PROMPT,
        group: group.into(),
        generation: GroupGeneration(1),
        accepted_ms: started_ms,
        started_ms: Some(started_ms),
        ended_ms: Some(ended_ms),
        first_position: 0,
        tokens: 10,
        end: ExecutionEnd::Finished,
    }
}

fn plain(key: Option<&str>, started_ms: u64) -> PlainExecution {
    PlainExecution {
        vm: "p1".into(),
        execution: 1,
        key: key.map(str::to_owned),
        method: "POST".to_owned(),
        path: "/book".to_owned(),
        body_hash: PROMPT,
        started_ms,
        ended_ms: None,
        end: ExecutionEnd::Running,
    }
}

fn call(request: &str, end: CallEnd) -> CallRecord {
    CallRecord {
        request: request.into(),
        content_hash: PROMPT,
        expected_hash: Some(ANSWER),
        key: None,
        non_idempotent: false,
        node: "n1".into(),
        sent_ms: 1_900,
        ended_ms: 4_000,
        end,
    }
}

fn config(at_ms: u64, version: u64) -> ConfigReport {
    ConfigReport {
        node: "n1".into(),
        incarnation: Incarnation(1),
        at_ms,
        version: ConfigVersion(version),
        admits: true,
    }
}

const WHOLE: CallEnd = CallEnd::Whole { answer_hash: ANSWER };
const PAIR: (&str, &[&str]) = ("g1", &["a", "b"]);

/// A run in which all promises are kept, each just within its limit.
fn good_run() -> RunRecords {
    RunRecords {
        executions: vec![execution("a", "g1", 2_000, 3_900)],
        plain_executions: vec![PlainExecution { body_hash: 8, ..plain(Some("k"), 2_000) }],
        places: vec![
            place("a", 1_000, Some(PAIR)),
            place("b", 2_500, Some(PAIR)),
            place("b", 1_000, Some(PAIR)),
            place("b", 3_000, None),
        ],
        calls: vec![
            call("r1", WHOLE),
            CallRecord {
                content_hash: 8,
                expected_hash: None,
                key: Some("k".into()),
                non_idempotent: true,
                ..call("r2", CallEnd::Outcome(RequestOutcome::Unknown))
            },
            CallRecord {
                content_hash: 9,
                ended_ms: 1_950,
                ..call("r3", CallEnd::Outcome(RequestOutcome::NotRun))
            },
        ],
        acceptances: vec![ConfigAcceptance { version: ConfigVersion(2), at_ms: 1_000 }],
        configs: vec![
            config(8_000, 1),
            config(8_001, 2),
            ConfigReport { admits: false, node: "n2".into(), ..config(9_000, 1) },
        ],
        leavings: vec![LeavingRecord { vm: "a".into(), at_ms: 2_000, until_ms: Some(9_000) }],
        dispatches: vec![
            DispatchRecord { vm: "a".into(), at_ms: 5_000 },
            DispatchRecord { vm: "a".into(), at_ms: 9_000 },
            DispatchRecord { vm: "b".into(), at_ms: 8_000 },
        ],
        shutdowns: vec![ShutdownRecord { node: "n9".into(), began_ms: 2_000, ended_ms: 5_000 }],
        deaths: Vec::new(),
    }
}

fn check(records: &RunRecords) -> Vec<PromiseViolation> {
    check_promises(records, &CheckSettings::default())
}

#[test]
fn kept_promises_give_no_violation() {
    assert_eq!(check(&good_run()), Vec::new());
    assert_eq!(check(&RunRecords::default()), Vec::new());
}

/// Each way to break a promise: the good run with one change, and the resulting violation.
fn broken_runs() -> Vec<(RunRecords, PromiseViolation)> {
    let mut runs = Vec::new();
    let mut add = |violation: PromiseViolation, change: &dyn Fn(&mut RunRecords)| {
        let mut run = good_run();
        change(&mut run);
        runs.push((run, violation));
    };
    let absent = |vm: &str, at_ms| PromiseViolation::AbsentMember {
        group: "g1".into(),
        generation: GroupGeneration(1),
        vm: vm.into(),
        at_ms,
    };
    add(absent("b", 3_850), &|run| run.places[3].at_ms = 2_850);
    add(absent("b", 2_000), &|run| run.places.retain(|place| place.vm == "a".into()));
    add(absent("a", 2_000), &|run| run.places[0].assignment = None);
    let shared = PromiseViolation::SharedVm {
        vm: "b".into(),
        first: "g1".into(),
        second: "g2".into(),
        at_ms: 3_100,
    };
    add(shared, &|run| {
        run.executions
            .push(ExecutionRecord { prompt_hash: 10, ..execution("c", "g2", 2_100, 3_500) });
        run.places.push(place("c", 0, Some(("g2", &["c", "b"]))));
        run.places.push(place("b", 2_090, Some(("g2", &["c", "b"]))));
    });
    let r1 = || "r1".into();
    add(PromiseViolation::WrongAnswer { request: r1() }, &|run| {
        run.calls[0].end = CallEnd::Whole { answer_hash: 71 };
    });
    add(PromiseViolation::CutAnswer { request: r1() }, &|run| run.calls[0].end = CallEnd::Cut);
    add(PromiseViolation::MissingAnswer { request: r1() }, &|run| {
        run.calls[0].end = CallEnd::Missing;
    });
    add(PromiseViolation::FalseNotRun { request: r1(), at_ms: 2_000 }, &|run| {
        run.calls[0].end = CallEnd::Outcome(RequestOutcome::NotRun);
    });
    add(PromiseViolation::FalseNotRun { request: "r2".into(), at_ms: 2_000 }, &|run| {
        run.calls[1].end = CallEnd::Outcome(RequestOutcome::NotRun);
    });
    add(PromiseViolation::RepeatedRun { request: "r2".into(), runs: 2 }, &|run| {
        run.plain_executions.push(plain(Some("k"), 2_500));
    });
    add(PromiseViolation::RepeatedRun { request: r1(), runs: 2 }, &|run| {
        run.calls[0].non_idempotent = true;
        run.executions.push(execution("a", "g1", 3_000, 3_100));
    });
    add(PromiseViolation::WorkAfterLeaving { vm: "a".into(), after_ms: 3_001 }, &|run| {
        run.dispatches[0].at_ms = 5_001;
    });
    let interrupted = PromiseViolation::InterruptedCall { node: "n1".into(), request: "r2".into() };
    add(interrupted, &|run| run.shutdowns[0].node = "n1".into());
    let late = PromiseViolation::LateConfig {
        node: "n1".into(),
        version: ConfigVersion(1),
        accepted: ConfigVersion(2),
        at_ms: 8_001,
    };
    add(late, &|run| run.configs[0].at_ms = 8_001);
    let reverted = PromiseViolation::RevertedConfig {
        node: "n1".into(),
        from: ConfigVersion(3),
        to: ConfigVersion(2),
    };
    add(reverted, &|run| run.configs[0].version = ConfigVersion(3));
    runs
}

#[test]
fn each_broken_promise_is_found() {
    let mut promises = BTreeSet::new();
    for (run, violation) in broken_runs() {
        let found = check(&run);
        assert!(found.contains(&violation), "{violation}: found {found:?}");
        assert!(found.iter().all(|found| found.promise() == violation.promise()), "{found:?}");
        promises.insert(violation.promise());
    }
    assert_eq!(promises, SystemPromise::iter().collect());
}

#[test]
fn cut_answer_is_no_violation_if_the_node_was_killed() {
    let mut run = good_run();
    run.calls[0].end = CallEnd::Cut;
    run.deaths.push(DeathRecord { node: "n1".into(), at_ms: 3_000 });
    assert_eq!(check(&run), Vec::new());
    run.deaths[0].at_ms = 1_000;
    assert_eq!(check(&run).len(), 1);
}

#[test]
fn engine_records_are_added() {
    let mut run = RunRecords::default();
    let given = place("a", 1_000, Some(("g1", &["a"])));
    let records = EngineRecords {
        executions: vec![execution("a", "g1", 2_000, 2_500)],
        places: vec![PlaceRecord {
            vm: given.vm.clone(),
            at_ms: given.at_ms,
            fencing: FencingNumber(1),
            assignment: given.assignment.clone(),
        }],
        leaving_ms: Some(2_100),
        not_started_ms: vec![9_000],
        ..EngineRecords::default()
    };
    run.add_engine(&"a".into(), records);
    assert_eq!(run.places, vec![given]);
    let late = PromiseViolation::WorkAfterLeaving { vm: "a".into(), after_ms: 6_900 };
    assert_eq!(check(&run), vec![late]);
}
