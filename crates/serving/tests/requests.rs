//! Guarantees for requests, each tested under the failure that would break it.

mod support;

use std::{cell::Cell, rc::Rc, time::Duration};

use comfreyturn_ports::{PeerNotice, Step};
use comfreyturn_serving::{ServingSettings, request_fingerprint};
use comfreyturn_standin::{
    ExecutionEnd, content_hash,
    fakes::{Fault, FaultEndpoint, FaultRule, FaultSettings, LocalPool},
};
use comfreyturn_types::{GroupGeneration, RefusalReason, RequestOutcome};
use futures_util::{StreamExt, future::join_all};
use support::mangled_backends::{Mangle, MangledBackends};
use support::{
    CUSTOMER, SubmissionEnd, TestJob, World, address_of, completion_call, drive, identity,
    start_world, submit,
};

const WARM_UP: Duration = Duration::from_secs(1);

fn warmed_up_world() -> (Rc<World>, LocalPool) {
    let (world, mut pool) = start_world(FaultSettings::default());
    world.run(&mut pool, world.sleep(WARM_UP));
    (world, pool)
}

/// Moves all groups to a generation that the nodes do not know, so that they start no request.
fn refuse_all(world: &World) {
    for (number, group) in [1, 3, 5].into_iter().zip(world.groups.borrow().iter()) {
        let place = Some((group.group.clone(), GroupGeneration(99)));
        world.backends.set_place(address_of(number), place);
    }
}

fn accept_all(world: &World) {
    for (number, group) in [1, 3, 5].into_iter().zip(world.groups.borrow().iter()) {
        let place = Some((group.group.clone(), group.generation));
        world.backends.set_place(address_of(number), place);
    }
}

#[test]
fn faulty_streams_are_resumed_to_whole_answers() {
    let mangles = [Mangle::Repeat, Mangle::LeaveOut(3), Mangle::EndEarly(7), Mangle::Stall(5)];
    for mangle in mangles {
        let (world, mut pool) = start_world(FaultSettings::default());
        let inner = world.backends.for_node(&identity(9).node);
        let backends = MangledBackends { inner, mangle: Cell::new(Some(mangle)) };
        world.start_node_with(9, Rc::new(backends));
        world.run(&mut pool, world.sleep(WARM_UP));
        let end = world.run(&mut pool, submit(&world, &TestJob::completion("spoilt"), 3));
        assert_eq!(end, SubmissionEnd::Whole, "{mangle:?}");
        assert_eq!(world.backends.executions().len(), 1, "{mangle:?} is resumed, not run again");
    }
}

#[test]
fn a_group_that_does_not_start_requests_is_excluded() {
    let (world, mut pool) = warmed_up_world();
    refuse_all(&world);
    world.backends.set_place(address_of(5), None);
    for number in 0..8 {
        let job = TestJob::completion(&format!("passed on {number}")).once();
        assert_eq!(world.run(&mut pool, submit(&world, &job, 0)), SubmissionEnd::Whole);
    }
}

#[test]
fn an_undispatched_claim_is_deleted() {
    let (world, mut pool) = warmed_up_world();
    refuse_all(&world);
    let job = TestJob::completion("no room").keyed();
    let end = world.run(&mut pool, submit(&world, &job, 0));
    assert_eq!(end.outcome(), Some(RequestOutcome::NotRun));
    assert!(end.refusal().is_some_and(|refusal| refusal.retry_after.is_some()));
    assert!(world.backends.executions().is_empty());
    accept_all(&world);
    world.run(&mut pool, world.sleep(WARM_UP));
    assert!(world.table.rows("cell/claim/").is_empty());
    assert_eq!(world.run(&mut pool, submit(&world, &job, 1)), SubmissionEnd::Whole);
}

#[test]
fn concurrent_submissions_of_a_key_run_once() {
    let (world, mut pool) = warmed_up_world();
    let job = TestJob::completion("warranty").keyed();
    let plain = TestJob::plain("certificate").keyed();
    let jobs = [(&job, 0), (&job, 0), (&job, 1), (&plain, 1), (&plain, 1), (&plain, 2)];
    let ends = jobs.map(|(job, node)| submit(&world, job, node));
    let ends = world.run(&mut pool, join_all(ends));
    assert!(ends.iter().all(|end| *end == SubmissionEnd::Whole), "{ends:?}");
    world.run(&mut pool, world.sleep(WARM_UP));
    assert_eq!(world.run(&mut pool, submit(&world, &job, 2)), SubmissionEnd::Whole);
    assert_eq!(world.backends.executions().len(), 1);
    assert_eq!(world.backends.plain_executions().len(), 1);
}

#[test]
fn a_settled_claim_is_deleted_after_its_retention() {
    let (world, mut pool) = warmed_up_world();
    let job = TestJob::completion("kept").keyed();
    assert_eq!(world.run(&mut pool, submit(&world, &job, 0)), SubmissionEnd::Whole);
    let retention = ServingSettings::default().claim_retention;
    world.run(&mut pool, world.sleep(retention - WARM_UP));
    assert_eq!(world.table.rows("cell/claim/").len(), 1);
    world.run(&mut pool, world.sleep(2 * WARM_UP));
    assert!(world.table.rows("cell/claim/").is_empty());
}

#[test]
fn a_key_with_another_body_is_refused() {
    let (world, mut pool) = warmed_up_world();
    let job = TestJob::completion("first body").keyed();
    assert_eq!(world.run(&mut pool, submit(&world, &job, 0)), SubmissionEnd::Whole);
    let other = TestJob { body: "second body".to_owned(), ..job };
    let end = world.run(&mut pool, submit(&world, &other, 1));
    assert_eq!(end.reason(), Some(RefusalReason::DuplicateKey));
    assert_eq!(end.outcome(), Some(RequestOutcome::NotRun));
    assert_eq!(world.backends.executions().len(), 1);
}

#[test]
fn a_conflicting_row_does_not_fail_its_batch() {
    let (world, mut pool) = warmed_up_world();
    let taken = TestJob::completion("taken").keyed();
    let jobs: Vec<_> =
        (0..20).map(|n| TestJob::completion(&format!("claim {n}")).keyed()).collect();
    let all = jobs.iter().chain([&taken, &taken]).map(|job| submit(&world, job, 0));
    let ends = world.run(&mut pool, join_all(all));
    assert!(ends.iter().all(|end| *end == SubmissionEnd::Whole), "{ends:?}");
    assert_eq!(world.backends.executions().len(), 21);
    assert!(world.plan.call_count(Step::ClaimInsert) <= 3, "claims are written in batches");
}

#[test]
fn claimed_requests_are_refused_at_once_while_the_table_is_down() {
    let (world, mut pool) = warmed_up_world();
    world.plan.take_table_down(Duration::from_secs(60));
    let job = TestJob::completion("no table").keyed();
    let before = world.clock.elapsed();
    let end = world.run(&mut pool, submit(&world, &job, 0));
    assert_eq!(end.outcome(), Some(RequestOutcome::NotRun));
    assert_eq!(end.reason(), Some(RefusalReason::TableUnavailable));
    assert!(world.clock.elapsed() - before < Duration::from_millis(100));
    let job = TestJob::completion("needs no table");
    assert_eq!(world.run(&mut pool, submit(&world, &job, 0)), SubmissionEnd::Whole);
}

#[test]
fn a_caller_disconnect_cancels_only_unclaimed_requests() {
    let (world, mut pool) = warmed_up_world();
    let leaver = TestJob { leaves_after: Some(3), ..TestJob::completion("leaves") };
    let claimed = TestJob { leaves_after: Some(3), ..TestJob::completion("claimed").keyed() };
    world.run(&mut pool, submit(&world, &leaver, 0));
    world.run(&mut pool, submit(&world, &claimed, 0));
    world.run(&mut pool, world.sleep(WARM_UP));
    let ends: Vec<_> = world.backends.executions().iter().map(|run| run.end).collect();
    assert!(ends.contains(&ExecutionEnd::Cancelled) && ends.contains(&ExecutionEnd::Finished));
    let again = TestJob { leaves_after: None, ..claimed };
    assert_eq!(world.run(&mut pool, submit(&world, &again, 1)), SubmissionEnd::Whole);
    assert_eq!(world.backends.executions().len(), 2);
}

#[test]
fn a_caller_that_stops_reading_is_bounded_by_its_deadline() {
    let (world, mut pool) = warmed_up_world();
    let node = world.node(0);
    let mut call = completion_call(&world, &TestJob::completion("slow"), &node.identity.node);
    call.max_tokens = 1000;
    let answer = world.run(&mut pool, node.service.complete(call)).expect("it starts");
    world.run(&mut pool, world.sleep(Duration::from_secs(29)));
    assert_eq!(node.service.in_flight(), 1);
    world.run(&mut pool, world.sleep(Duration::from_secs(5)));
    let (last, parts) = world.run(&mut pool, async {
        let parts: Vec<_> = answer.collect().await;
        (parts.last().cloned(), parts.len())
    });
    let refusal = last.expect("an end").expect_err("the deadline passed");
    assert_eq!(refusal.reason, RefusalReason::DeadlineExceeded);
    assert!(parts < 100, "the buffer is bounded: {parts}");
    world.run(&mut pool, world.sleep(WARM_UP));
    assert_eq!(node.service.in_flight(), 0);
}

#[test]
fn a_caller_that_never_reads_does_not_block_shutdown() {
    let (world, mut pool) = warmed_up_world();
    let node = world.node(0);
    let mut call = completion_call(&world, &TestJob::completion("stuck"), &node.identity.node);
    call.max_tokens = 1000;
    let _answer = world.run(&mut pool, node.service.complete(call)).expect("it starts");
    world.run(&mut pool, node.service.drain());
    assert!(world.clock.elapsed() < Duration::from_secs(60));
    let ends: Vec<_> = world.backends.executions().iter().map(|run| run.end).collect();
    assert_eq!(ends, [ExecutionEnd::Finished], "the engine finished long before the shutdown");
}

#[test]
fn refusals_list_other_addresses() {
    let (world, mut pool) = warmed_up_world();
    let job = TestJob::completion("refused");
    world.node(0).view.fresh.set(false);
    let end = world.run(&mut pool, submit(&world, &job, 0));
    let refusal = end.refusal().expect("a refusal");
    assert_eq!(
        (refusal.outcome, refusal.reason),
        (RequestOutcome::NotRun, RefusalReason::StaleConfig)
    );
    assert_eq!(refusal.other_addresses.len(), 2);
    assert!(refusal.retry_after.is_some());
    assert!(world.backends.executions().is_empty());
}

#[test]
fn a_shutdown_waits_for_the_last_request() {
    let (world, mut pool) = warmed_up_world();
    let node = world.node(0);
    let drained_at = Cell::new(Duration::ZERO);
    let starts_after = Duration::from_millis(9_900);
    let long = TestJob { starts_after, ..TestJob::completion("long") };
    let late = TestJob { starts_after: Duration::from_secs(11), ..TestJob::completion("late") };
    let ends = world.run(&mut pool, async {
        let drain = async {
            node.service.drain().await;
            drained_at.set(world.clock.elapsed());
        };
        let work = join_all([drive(world.clone(), long), drive(world.clone(), late)]);
        futures_util::join!(drain, work).1
    });
    assert_eq!(ends[0].ends, [SubmissionEnd::Whole], "the address was still valid");
    assert_eq!(ends[1].ends[0].reason(), Some(RefusalReason::NodeLeaving));
    assert_eq!(ends[1].ends[1], SubmissionEnd::Whole);
    let ended = world.backends.executions().iter().filter_map(|run| run.ended_ms).min();
    let drained_ms = u64::try_from(drained_at.get().as_millis()).expect("a short test");
    assert!(ended.expect("the long one ran") > 11_000, "it ran longer than the address was valid");
    assert!(drained_ms >= ended.expect("the long one ran"));
}

#[test]
fn loss_of_a_fabric_domain_quarantines_no_request() {
    let (world, mut pool) = warmed_up_world();
    let jobs = (0..12).map(|n| TestJob::completion(&format!("in the dark {n}")).at(n % 3));
    let work = join_all(jobs.map(|job| drive(world.clone(), job)));
    let reports = world.run(&mut pool, async {
        let outage = async {
            world.sleep(Duration::from_millis(200)).await;
            (1..=4).for_each(|number| world.kill_vm(number));
        };
        futures_util::join!(work, outage).0
    });
    for report in reports {
        assert_eq!(report.ends, [SubmissionEnd::Whole], "{:?}", report.job.body);
    }
}

/// A node that is cut off from a backend server presumes a crash. Without the retraction, a request
/// that did not succeed afterwards would stay suspect.
#[test]
fn a_network_cut_leaves_no_suspicion() {
    let (world, mut pool) = warmed_up_world();
    let node = FaultEndpoint::Node(world.node(0).identity.node.clone());
    let jobs: Vec<_> = (0..9).map(|n| TestJob::completion(&format!("cut off {n}"))).collect();
    let cut = Duration::from_secs(40);
    let ends = world.run(&mut pool, async {
        let work = join_all(jobs.iter().map(|job| {
            let job = job.clone().once();
            let world = world.clone();
            async move { submit(&world, &job, 0).await }
        }));
        let cut = async {
            world.sleep(Duration::from_millis(100)).await;
            world.plan.cut(node, FaultEndpoint::Address(address_of(1)), true, cut);
        };
        futures_util::join!(work, cut).0
    });
    let lost = ends.iter().filter(|end| end.reason() == Some(RefusalReason::BackendLost));
    assert!(lost.count() > 0, "{ends:?}");
    assert!(world.plan.call_count(Step::SuspectNotify) > 0, "some losses looked like crashes");
    world.run(&mut pool, world.sleep(cut));
    for job in &jobs {
        assert_eq!(world.run(&mut pool, submit(&world, job, 0)), SubmissionEnd::Whole);
        assert_eq!(world.run(&mut pool, submit(&world, job, 1)), SubmissionEnd::Whole);
    }
    assert_eq!(world.plan.call_count(Step::SuspectSlot), 0, "no suspicion is left");
}

/// Submits a keyed request whose claim insert takes a second, and calls `meanwhile` during it.
fn submit_with_slow_claim(
    settings: FaultSettings,
    meanwhile: impl Fn(&World),
) -> (Rc<World>, LocalPool, SubmissionEnd) {
    let (world, mut pool) = start_world(settings);
    world.run(&mut pool, world.sleep(WARM_UP));
    let (step, fault) = (Step::ClaimInsert, Fault::TableSlow);
    world.plan.inject(FaultRule { step, occurrence: 1, node: None, fault });
    let job = TestJob::completion("slow claim").keyed();
    let end = world.run(&mut pool, async {
        let change = async {
            world.sleep(Duration::from_millis(200)).await;
            meanwhile(&world);
        };
        futures_util::join!(submit(&world, &job, 0), change).0
    });
    (world, pool, end)
}

#[test]
fn a_group_that_broke_after_it_was_chosen_receives_no_request() {
    let (world, _, end) = submit_with_slow_claim(FaultSettings::default(), |world| {
        world.restart_crashed.set(false);
        [2, 4, 6].into_iter().for_each(|number| world.kill_vm(number));
    });
    assert_eq!(end.outcome(), Some(RequestOutcome::NotRun));
    assert!(world.backends.executions().is_empty());
}

#[test]
fn a_request_that_becomes_suspect_after_placement_runs_alone() {
    let fingerprint = request_fingerprint(&CUSTOMER.into(), content_hash(b"slow claim"));
    let (world, _, end) = submit_with_slow_claim(FaultSettings::default(), |world| {
        world.node(0).service.apply_notice(&PeerNotice::Suspect { fingerprint, death: 7 });
    });
    assert_eq!(end, SubmissionEnd::Whole);
    assert!(world.plan.call_count(Step::SuspectSlot) > 0);
}

#[test]
fn a_node_paused_beyond_the_deadline_sends_nothing() {
    let settings = FaultSettings { pauses_clock: false, ..FaultSettings::default() };
    let (world, mut pool, _) = submit_with_slow_claim(settings, |world| {
        world.plan.pause(&world.node(0).identity.node, Duration::from_secs(40));
    });
    world.run(&mut pool, world.sleep(Duration::from_secs(40)));
    assert!(world.backends.executions().is_empty());
    assert!(world.table.rows("cell/claim/").is_empty(), "a resend may run");
}

/// The owner is paused between its claim and its dispatch, and is removed from the roster. The
/// submission that joins answers `unknown`, so the owner must not dispatch after it resumes.
#[test]
fn a_resumed_owner_does_not_run_an_orphaned_claim() {
    let (world, mut pool) =
        start_world(FaultSettings { pauses_clock: false, ..FaultSettings::default() });
    world.run(&mut pool, world.sleep(WARM_UP));
    let owner = world.node(0).identity.node.clone();
    let (step, fault) = (Step::ClaimInsert, Fault::TableSlow);
    world.plan.inject(FaultRule { step, occurrence: 1, node: None, fault });
    let job = TestJob::completion("given up").keyed();
    let ends = world.run(&mut pool, async {
        let first = submit(&world, &job, 0);
        let second = async {
            world.sleep(Duration::from_millis(500)).await;
            world.plan.pause(&owner, Duration::from_secs(20));
            world.expelled.borrow_mut().insert(owner.clone());
            world.sleep(Duration::from_secs(2)).await;
            submit(&world, &job, 1).await
        };
        futures_util::join!(first, second)
    });
    assert_eq!(ends.1.outcome(), Some(RequestOutcome::Unknown));
    assert_eq!(ends.0.outcome(), Some(RequestOutcome::NotRun));
    assert!(world.backends.executions().is_empty());
}

#[test]
fn late_and_repeated_notices_do_not_restore_suspicion() {
    let (world, mut pool) = warmed_up_world();
    let body = "once suspect";
    let fingerprint = request_fingerprint(&CUSTOMER.into(), content_hash(body.as_bytes()));
    let suspect = PeerNotice::Suspect { fingerprint, death: 7 };
    let service = world.node(0).service.clone();
    service.apply_notice(&suspect);
    service.apply_notice(&suspect);
    service.apply_notice(&PeerNotice::SuspectCleared { fingerprint });
    service.apply_notice(&suspect);
    world.run(&mut pool, world.sleep(WARM_UP));
    let end = world.run(&mut pool, submit(&world, &TestJob::completion(body), 0));
    assert_eq!(end, SubmissionEnd::Whole);
    assert_eq!(world.plan.call_count(Step::SuspectSlot), 0, "it ran like any other request");
    let relayed_notices = 2 * 3 * 2;
    assert_eq!(
        world.plan.call_count(Step::SuspectNotify),
        relayed_notices,
        "two notices, each relayed once by each node"
    );
}
