//! Checks that every step of the requests' protocols has cases in the fault matrix.

use std::{fs, path::Path};

use comfreyturn_ports::{Protocol, Step};
use strum::IntoEnumIterator;

#[test]
fn every_step_has_cases() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../tests/fault_matrix");
    let served = [Protocol::Request, Protocol::Claim, Protocol::Shutdown, Protocol::Suspect];
    for step in Step::iter().filter(|step| served.contains(&step.protocol())) {
        let path = root.join(format!("{step}.yaml"));
        let text = fs::read_to_string(&path).unwrap_or_default();
        let names_step = text.lines().any(|line| line == format!("step: {step}"));
        assert!(names_step, "{} has no cases of {step}", path.display());
    }
}
