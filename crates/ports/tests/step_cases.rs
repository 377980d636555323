//! Every step of the protocols has cases in the fault matrix.

use std::{collections::BTreeSet, fs, path::Path};

use comfreyturn_ports::Step;
use serde::Deserialize;
use strum::IntoEnumIterator;

/// The part of a matrix file that this test reads; files of fault pairs have no step.
#[derive(Deserialize)]
struct StepFile {
    step: Option<String>,
}

fn steps_with_cases() -> BTreeSet<String> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../tests/fault_matrix");
    let files = fs::read_dir(directory).unwrap().map(|entry| entry.unwrap().path());
    let texts = files.map(|file| fs::read_to_string(file).unwrap());
    texts.filter_map(|text| serde_saphyr::from_str::<StepFile>(&text).ok()?.step).collect()
}

#[test]
fn every_step_has_cases() {
    let covered = steps_with_cases();
    let steps = Step::iter().map(|step| step.to_string());
    let missing: Vec<String> = steps.filter(|step| !covered.contains(step)).collect();
    assert!(missing.is_empty(), "steps without cases: {missing:?}");
}
