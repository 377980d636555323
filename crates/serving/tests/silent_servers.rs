//! A server that falls silent for a while and goes on loses no answer.

mod support;

use std::{cell::Cell, rc::Rc, time::Duration};

use comfreyturn_standin::fakes::FaultSettings;
use strum::IntoEnumIterator;
use support::silent_backends::{LaterCalls, Silence, SilentBackends, SilentFrom};
use support::{SubmissionEnd, TestJob, identity, start_world, submit};

const WARM_UP: Duration = Duration::from_secs(1);
const SILENCES_MS: [u64; 5] = [500, 1000, 2000, 5000, 6000];

/// What allows an attempt elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter)]
enum Elsewhere {
    Allowed,
    BudgetUsedUp,
    NoServer,
}

/// Submits a request whose first server falls silent. Returns the answer, and how often it ran.
fn submit_silent(job: &TestJob, silence: Silence, elsewhere: Elsewhere) -> (SubmissionEnd, usize) {
    let (world, mut pool) = start_world(FaultSettings::default());
    let inner = world.backends.for_node(&identity(9).node);
    if elsewhere == Elsewhere::BudgetUsedUp {
        world.retry_floor.set(0);
    }
    let backends = SilentBackends { world: world.clone(), inner, silence, attempts: Cell::new(0) };
    world.start_node_with(9, Rc::new(backends));
    world.run(&mut pool, world.sleep(WARM_UP));
    let end = world.run(&mut pool, async {
        let change = async {
            world.sleep(Duration::from_millis(200)).await;
            if elsewhere == Elsewhere::NoServer {
                world.groups.borrow_mut().clear();
            }
        };
        futures_util::join!(submit(&world, job, 3), change).0
    });
    (end, world.backends.executions().len() + world.backends.plain_executions().len())
}

/// Submits a request with each silence and each outcome of later calls, and lists the answers that
/// were lost.
fn lost_answers(job: &TestJob, froms: &[SilentFrom], resumes: &[LaterCalls]) -> Vec<String> {
    let mut lost = Vec::new();
    for duration in SILENCES_MS.map(Duration::from_millis) {
        for from in froms.iter().copied() {
            for resumes in resumes.iter().copied() {
                for others in LaterCalls::iter() {
                    for elsewhere in Elsewhere::iter() {
                        let silence = Silence { from, duration, resumes, others };
                        let (end, runs) = submit_silent(job, silence, elsewhere);
                        if end != SubmissionEnd::Whole || (job.non_idempotent && runs != 1) {
                            lost.push(format!("{silence:?} {elsewhere:?}: {end:?}, {runs} runs"));
                        }
                    }
                }
            }
        }
    }
    lost
}

fn assert_none_lost(job: &TestJob, froms: &[SilentFrom], resumes: &[LaterCalls]) {
    let lost = lost_answers(job, froms, resumes);
    assert!(lost.is_empty(), "{} answers lost:\n{}", lost.len(), lost.join("\n"));
}

fn all<T: IntoEnumIterator>() -> Vec<T> {
    T::iter().collect()
}

/// The silent stream was dropped before its resumption or an attempt elsewhere had succeeded.
#[test]
fn silent_engine_keeps_its_stream_until_another_one_answers() {
    assert_none_lost(&TestJob::completion("silent"), &all::<SilentFrom>(), &all::<LaterCalls>());
}

/// The silent stream was dropped although the request must not run again.
#[test]
fn silent_engine_keeps_a_non_idempotent_request() {
    let job = TestJob::completion("silent once").once();
    assert_none_lost(&job, &all::<SilentFrom>(), &all::<LaterCalls>());
}

/// The same for a request with a claim.
#[test]
fn silent_engine_keeps_a_claimed_request() {
    let job = TestJob::completion("silent claim").keyed();
    assert_none_lost(&job, &all::<SilentFrom>(), &all::<LaterCalls>());
}

/// A silent plain server that missed a poll was given up before another one had answered.
#[test]
fn silent_plain_server_keeps_its_call_until_another_one_answers() {
    let resumes = [LaterCalls::Work, LaterCalls::Silent];
    assert_none_lost(&TestJob::plain("silent"), &[SilentFrom::Response], &resumes);
}

/// A silent plain server was given up although its call must not run again.
#[test]
fn silent_plain_server_keeps_a_non_idempotent_call() {
    let resumes = [LaterCalls::Work, LaterCalls::Silent];
    for job in [TestJob::plain("silent once").once(), TestJob::plain("silent claim").keyed()] {
        assert_none_lost(&job, &[SilentFrom::Response], &resumes);
    }
}
