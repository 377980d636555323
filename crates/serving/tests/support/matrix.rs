//! Runs the standard requests of a case under its faults, and checks the guarantees.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use comfreyturn_ports::Step;
use comfreyturn_standin::{
    ExecutionEnd, content_hash,
    fakes::{Fault, FaultRule, FaultSettings, FiredFault, LocalPool},
};
use comfreyturn_types::{RefusalReason, RequestOutcome};
use futures_util::{FutureExt, future::join_all};

use super::{CRASH_MARKER, JobReport, SubmissionEnd, TestJob, World, drive, start_world, submit};

const WARM_UP: Duration = Duration::from_secs(1);
const RECOVERY_TIME: Duration = Duration::from_secs(200);
const DRAIN_AFTER: Duration = Duration::from_millis(100);
const LATE_START: Duration = Duration::from_secs(12);

/// Faults and extra work of a case.
#[derive(Clone, Debug, Default)]
pub struct CasePlan {
    pub rules: Vec<FaultRule>,
    /// Whether a request that crashes backend servers is sent repeatedly.
    pub crash: bool,
    /// Whether the first node is shut down.
    pub drain: bool,
}

/// How the requests of a case ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct CaseCounts {
    pub whole_at_once: u32,
    pub whole_later: u32,
    pub not_run: u32,
    pub unknown: u32,
    pub failed: u32,
    pub silent: u32,
}

impl std::ops::AddAssign for CaseCounts {
    fn add_assign(&mut self, other: Self) {
        self.whole_at_once += other.whole_at_once;
        self.whole_later += other.whole_later;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.failed += other.failed;
        self.silent += other.silent;
    }
}

/// Result of a case.
pub struct CaseReport {
    pub counts: CaseCounts,
    /// Crashes caused by the crashing request.
    pub crashes: usize,
    pub fired: Vec<FiredFault>,
    pub violations: Vec<String>,
}

/// Runs a case.
pub fn run_case(plan: &CasePlan) -> CaseReport {
    let lapses = plan.rules.iter().any(|rule| rule.fault == Fault::LeaseLapse);
    let settings = FaultSettings { pauses_clock: !lapses, ..FaultSettings::default() };
    let (world, mut pool) = start_world(settings);
    let mut violations = Vec::new();
    let (reports, drained) = run_work(&world, &mut pool, plan);
    if plan.drain && !drained && world.plan.is_alive(&world.node(0).identity.node) {
        violations.push("the shutdown did not complete".to_owned());
    }
    let counts = count(&reports);
    let crashing = reports.iter().filter(|report| report.job.body.contains(CRASH_MARKER));
    let crashes = crashing.map(|report| crashes_of(&world, report)).sum();
    for report in &reports {
        check_report(&world, report, &mut violations);
    }
    check_recovery(&world, &mut pool, plan, &mut violations);
    CaseReport { counts, crashes, fired: world.plan.fired(), violations }
}

fn run_work(world: &Rc<World>, pool: &mut LocalPool, plan: &CasePlan) -> (Vec<JobReport>, bool) {
    let first = world.node(0);
    let drain = async {
        if plan.drain {
            world.sleep(DRAIN_AFTER).await;
            first.view.leaving.set(true);
            world.plan.on_node(&first.identity.node, first.service.drain()).await;
        }
    };
    let mut drain = Box::pin(drain.fuse());
    let work = async {
        world.sleep(WARM_UP).await;
        plan.rules.iter().for_each(|rule| world.plan.inject(rule.clone()));
        let jobs = standard_jobs(plan).into_iter().map(|job| drive(world.clone(), job));
        let work = join_all(jobs);
        let (reports, _) = futures_util::join!(work, async {
            let timeout = world.sleep(RECOVERY_TIME);
            futures_util::future::select(&mut drain, Box::pin(timeout)).await;
        });
        world.plan.heal();
        world.plan.clear_rules();
        world.sleep(RECOVERY_TIME).await;
        reports
    };
    let reports = world.run(pool, work);
    (reports, futures_util::future::FusedFuture::is_terminated(&drain))
}

fn standard_jobs(plan: &CasePlan) -> Vec<TestJob> {
    let twin = TestJob::completion("twin").keyed().at(1);
    let leaver = TestJob { leaves_after: Some(5), ..TestJob::completion("leaver").at(2) };
    let mut jobs = vec![
        TestJob::completion("again 0"),
        TestJob::completion("keyed 0").keyed(),
        twin.clone(),
        twin.at(2),
        TestJob::plain("certificate").at(1),
        TestJob::plain("appointment").keyed().at(2),
        TestJob::plain("interview").once(),
        TestJob::completion("claim").once().at(1),
        leaver,
        TestJob::completion("again 1").at(1),
        TestJob::completion("again 2").at(2),
        TestJob::completion("keyed 1").keyed().at(1),
    ];
    if plan.crash {
        jobs.push(TestJob::completion(&format!("{CRASH_MARKER} survey")));
        let again = (3..6).map(|number| TestJob::completion(&format!("again {number}")).at(number));
        jobs.extend(again);
    }
    if plan.drain {
        let late = TestJob { starts_after: LATE_START, ..TestJob::completion("late") };
        jobs.push(late);
    }
    jobs
}

fn count(reports: &[JobReport]) -> CaseCounts {
    let mut counts = CaseCounts::default();
    for report in reports.iter().filter(|report| !report.job.body.contains(CRASH_MARKER)) {
        let column = match (report.last(), report.last().outcome()) {
            (SubmissionEnd::Whole | SubmissionEnd::CallerLeft, _) if report.ends.len() == 1 => {
                &mut counts.whole_at_once
            }
            (SubmissionEnd::Whole | SubmissionEnd::CallerLeft, _) => &mut counts.whole_later,
            (_, Some(RequestOutcome::NotRun)) => &mut counts.not_run,
            (_, Some(RequestOutcome::Unknown)) => &mut counts.unknown,
            (_, Some(RequestOutcome::Failed)) => &mut counts.failed,
            _ => &mut counts.silent,
        };
        *column += 1;
    }
    counts
}

// ----------------------------------------------------------------------------------------------
// Guarantees

fn check_report(world: &World, report: &JobReport, violations: &mut Vec<String>) {
    let mut violation = |text: &str| {
        violations.push(format!("{text}: {:?} {:?}", report.job.body, report.ends));
    };
    let runs = runs_of(world, report);
    if report.ends.iter().any(|end| matches!(end, SubmissionEnd::Wrong(_))) {
        violation("a wrong answer");
    }
    if report.job.non_idempotent && runs > 1 {
        violation("more than one run of a non-idempotent request");
    }
    let all_not_run = report.ends.iter().all(|end| end.outcome() == Some(RequestOutcome::NotRun));
    if all_not_run && runs > 0 && report.job.body != "twin" {
        violation("answered not-run, but was run");
    }
    if report.job.body.contains(CRASH_MARKER) {
        if !report.ends.iter().any(is_quarantined) {
            violation("a crashing request was not quarantined");
        }
        return;
    }
    if report.ends.iter().any(is_quarantined) {
        violation("a harmless request was quarantined");
    }
    let whole = matches!(report.last(), SubmissionEnd::Whole | SubmissionEnd::CallerLeft);
    if !report.job.non_idempotent && !whole {
        violation("an idempotent request was not answered");
    }
}

fn is_quarantined(end: &SubmissionEnd) -> bool {
    end.reason() == Some(RefusalReason::CrashedBackends)
}

fn runs_of(world: &World, report: &JobReport) -> usize {
    let hash = content_hash(report.job.body.as_bytes());
    let completions = world.backends.executions();
    let plains = world.backends.plain_executions();
    completions.iter().filter(|run| run.prompt_hash == hash).count()
        + plains.iter().filter(|run| run.body_hash == hash).count()
}

fn crashes_of(world: &World, report: &JobReport) -> usize {
    let hash = content_hash(report.job.body.as_bytes());
    let runs = world.backends.executions();
    runs.iter().filter(|run| run.prompt_hash == hash && run.end == ExecutionEnd::Crashed).count()
}

/// Checks that all nodes that still run serve as before, and that no harmless request is restricted
/// as a suspect.
fn check_recovery(
    world: &Rc<World>,
    pool: &mut LocalPool,
    plan: &CasePlan,
    violations: &mut Vec<String>,
) {
    for index in 0..3 {
        let node = world.node(index);
        let drained = plan.drain && index == 0;
        if drained || !world.plan.is_alive(&node.identity.node) {
            continue;
        }
        for job in recovery_jobs(index) {
            let end = world.run(pool, submit(world, &job, index));
            if end != SubmissionEnd::Whole {
                violations.push(format!("afterwards {:?} at node {index}: {end:?}", job.body));
            }
        }
        if node.service.in_flight() > 0 {
            world.run(pool, world.sleep(RECOVERY_TIME));
        }
        if node.service.in_flight() > 0 {
            violations.push(format!("{} left in flight", node.service.in_flight()));
        }
    }
}

fn recovery_jobs(node: usize) -> Vec<TestJob> {
    vec![
        TestJob::completion(&format!("afterwards {node}")),
        TestJob::completion(&format!("afterwards keyed {node}")).keyed(),
        TestJob::plain(&format!("afterwards plain {node}")).keyed(),
        TestJob::completion("again 0"),
        TestJob::completion("again 1"),
        TestJob::completion("again 2"),
    ]
}

// ----------------------------------------------------------------------------------------------
// Output

/// Number of cases and sums of the callers' answers, by fault.
pub type FaultTotals = BTreeMap<Fault, (u32, CaseCounts)>;

/// Formats a line of the table of results.
pub fn line(step: &str, fault: &str, cases: u32, counts: CaseCounts) -> String {
    let CaseCounts { whole_at_once, whole_later, not_run, unknown, failed, silent } = counts;
    format!(
        "{step:18} {fault:16} cases {cases:3}  whole {whole_at_once:4}  whole later \
         {whole_later:3}  not-run {not_run:3}  unknown {unknown:3}  failed {failed:3}  silent \
         {silent:3}"
    )
}

/// Whether a step belongs to the protocols of this crate.
pub fn is_serving_step(step: Step) -> bool {
    use comfreyturn_ports::Protocol::{Claim, Request, Shutdown, Suspect};
    matches!(step.protocol(), Request | Claim | Shutdown | Suspect)
}
