//! Injects every fault at every step of the requests' protocols, and pairs of faults drawn by seed.

mod support;

use std::{collections::BTreeMap, path::Path, str::FromStr, sync::Mutex};

use comfreyturn_ports::Step;
use comfreyturn_standin::fakes::{Fault, FaultRule};
use rand::{RngExt, SeedableRng, rngs::Xoshiro256PlusPlus};
use serde::Deserialize;
use strum::IntoEnumIterator;
use support::matrix::{
    CaseCounts, CasePlan, CaseReport, FaultTotals, is_serving_step, line, run_case,
};

type TestResult = datatest_stable::Result<()>;

static TOTALS: Mutex<FaultTotals> = Mutex::new(BTreeMap::new());

/// The cases of one step.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct StepCases {
    step: String,

    /// Which of the calls at the step gets the fault, counted from one.
    occurrence: u32,

    /// Faults injected first, so that the step is reached.
    #[serde(default)]
    before: Vec<FaultCase>,

    #[serde(default)]
    crash: bool,

    #[serde(default)]
    drain: bool,

    /// Cases of this step by fault. Invariant: has an entry for each fault.
    cells: BTreeMap<Fault, CellCase>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FaultCase {
    step: String,
    occurrence: u32,
    fault: Fault,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct CellCase {
    /// Maximum number of requests answered `unknown`.
    #[serde(default)]
    unknown: u32,

    /// Maximum number of crashes caused by the crashing request.
    #[serde(default = "two_deaths")]
    deaths: usize,

    /// Why the maximum cannot be lower. Invariant: set if `unknown` or `deaths` is above its
    /// default.
    #[serde(default)]
    why: Option<String>,

    /// Why the fault does not apply at this step.
    #[serde(default)]
    not_applicable: Option<String>,
}

fn two_deaths() -> usize {
    2
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PairCases {
    seed: u64,
    pairs: u32,
}

fn run_file(path: &Path, text: String) -> TestResult {
    if path.to_string_lossy().ends_with("pairs.yaml") {
        return run_pairs(&serde_saphyr::from_str(&text)?);
    }
    let cases: StepCases = serde_saphyr::from_str(&text)?;
    let step = Step::from_str(&cases.step)?;
    let mut failures = Vec::new();
    for fault in Fault::iter() {
        let cell = cases.cells.get(&fault).ok_or(format!("{step}: no cell for {fault}"))?;
        if let Some(reason) = &cell.not_applicable {
            println!("{:18} {:16} does not apply: {reason}", step.to_string(), fault.to_string());
            continue;
        }
        if let Err(failure) = run_cell(&cases, step, fault, cell) {
            failures.push(failure);
        }
    }
    print_totals();
    if failures.is_empty() { Ok(()) } else { Err(failures.join("\n").into()) }
}

fn run_cell(cases: &StepCases, step: Step, fault: Fault, cell: &CellCase) -> Result<(), String> {
    let mut rules = Vec::new();
    for before in &cases.before {
        let step = Step::from_str(&before.step).map_err(|_| before.step.clone())?;
        let occurrence = before.occurrence;
        rules.push(FaultRule { step, occurrence, node: None, fault: before.fault });
    }
    rules.push(FaultRule { step, occurrence: cases.occurrence, node: None, fault });
    let report = run_case(&CasePlan { rules, crash: cases.crash, drain: cases.drain });
    record_case(step, fault, &report);
    let fired = report.fired.iter().any(|fired| fired.step == step && fired.fault == fault);
    let mut violations = report.violations;
    if !fired {
        violations.push("the fault was not injected".to_owned());
    }
    if report.counts.unknown > cell.unknown {
        violations.push(format!("{} answers unknown", report.counts.unknown));
    }
    if cell.why.is_none() && (cell.unknown > 0 || cell.deaths > two_deaths()) {
        violations.push("the cell raises a maximum without giving a reason".to_owned());
    }
    if report.crashes > cell.deaths {
        violations.push(format!("{} crashes by one request", report.crashes));
    }
    if violations.is_empty() {
        return Ok(());
    }
    Err(format!("{step} x {fault}: {}", violations.join("\n  ")))
}

fn record_case(step: Step, fault: Fault, report: &CaseReport) {
    println!("{}", line(&step.to_string(), &fault.to_string(), 1, report.counts));
    let mut totals = TOTALS.lock().expect("no test panics here");
    let total = totals.entry(fault).or_default();
    total.0 += 1;
    total.1 += report.counts;
}

/// Prints the callers' answers by fault, over all steps that ran so far.
fn print_totals() {
    let totals = TOTALS.lock().expect("no test panics here");
    let lines = totals.iter().map(|(fault, (cases, counts))| {
        line("all steps so far", &fault.to_string(), *cases, *counts) + "\n"
    });
    println!("{}", lines.collect::<String>());
}

fn run_pairs(cases: &PairCases) -> TestResult {
    println!("pairs by seed {}", cases.seed);
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(cases.seed);
    let mut counts = CaseCounts::default();
    let mut failures = Vec::new();
    let mut both_fired = 0;
    for number in 0..cases.pairs {
        let rules = vec![random_rule(&mut rng), random_rule(&mut rng)];
        let name: Vec<_> = rules
            .iter()
            .map(|rule| format!("{}#{} x {}", rule.step, rule.occurrence, rule.fault))
            .collect();
        let plan = CasePlan { rules, crash: number % 2 == 0, drain: number % 3 == 0 };
        let report = run_case(&plan);
        counts += report.counts;
        both_fired += u32::from(report.fired.len() == 2);
        if report.crashes > max_crashes(&plan) {
            failures.push(format!(
                "{}: {} crashes by one request",
                name.join(" + "),
                report.crashes
            ));
        }
        if !report.violations.is_empty() {
            failures.push(format!("{}: {}", name.join(" + "), report.violations.join("\n  ")));
        }
    }
    println!("{}", line("pairs", &format!("{both_fired} fired both"), cases.pairs, counts));
    if failures.is_empty() { Ok(()) } else { Err(failures.join("\n").into()) }
}

/// Maximum crashes by one request. One more than usual is allowed if a node is killed or paused, as
/// its record of a first crash may be lost with it.
fn max_crashes(plan: &CasePlan) -> usize {
    let stops = |fault| matches!(fault, Fault::Kill | Fault::FreezeAndWake | Fault::LeaseLapse);
    if plan.rules.iter().any(|rule| stops(rule.fault)) { 3 } else { two_deaths() }
}

fn random_rule(rng: &mut Xoshiro256PlusPlus) -> FaultRule {
    let steps: Vec<_> = Step::iter().filter(|step| is_serving_step(*step)).collect();
    let faults: Vec<_> = Fault::iter().collect();
    FaultRule {
        step: steps[rng.random_range(0..steps.len())],
        occurrence: rng.random_range(1..4),
        node: None,
        fault: faults[rng.random_range(0..faults.len())],
    }
}

datatest_stable::harness! {
    {
        test = run_file,
        root = "../../tests/fault_matrix",
        pattern = r"^(request|claim|suspect|shutdown)[^/]*\.yaml$",
    },
}
