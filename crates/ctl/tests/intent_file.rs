//! Errors of `apply` for invalid files, and the changes from valid ones.

use comfreyturn_ctl::IntentFile;
use comfreyturn_proto::RequestedChange;
use comfreyturn_types::ConfigChange;

const EXAMPLE: &str = include_str!("../../../examples/intent.yaml");

fn error_line(text: &str) -> String {
    IntentFile::parse("intent.yaml", text).unwrap_err().to_string()
}

/// The example with one line replaced.
fn changed(line: &str, replacement: &str) -> String {
    assert!(EXAMPLE.contains(line), "{line}");
    EXAMPLE.replacen(line, replacement, 1)
}

/// The line of the example that holds `text`, from one.
fn line_of(text: &str) -> usize {
    1 + EXAMPLE.lines().position(|line| line.contains(text)).unwrap()
}

#[test]
fn example_declares_each_item_after_those_it_refers_to() {
    let intent = IntentFile::parse("intent.yaml", EXAMPLE).unwrap();
    let names = intent.changes().into_iter().map(|request| match request.change {
        RequestedChange::Config(change) => <&str>::from(&change),
        change => panic!("{change:?}"),
    });
    let expected = [
        "put-model-version",
        "put-adapter",
        "put-service",
        "put-service",
        "put-customer",
        "put-customer",
        "set-planner-weights",
    ];
    assert_eq!(names.collect::<Vec<_>>(), expected);
    let customers = intent.changes().into_iter().filter_map(|request| match request.change {
        RequestedChange::Config(ConfigChange::PutCustomer(customer)) => Some(customer),
        _ => None,
    });
    let weights: Vec<_> = customers.map(|customer| customer.weight).collect();
    assert_eq!(weights, [2, 1], "an absent weight is one");
}

#[test]
fn unknown_key_is_refused_with_its_line() {
    let text = changed("    key: sample-key-norte", "    secret: sample-key-norte");
    let line = line_of("sample-key-norte");
    let message = error_line(&text);
    assert!(message.starts_with(&format!("intent.yaml:{line}: ")), "{message}");
    assert!(message.contains("secret"), "{message}");
    assert_eq!(message.lines().count(), 1);
}

#[test]
fn unknown_section_is_refused_with_its_line() {
    let text = changed("adapters:", "adaptors:");
    let message = error_line(&text);
    let line = line_of("adapters:");
    assert!(message.starts_with(&format!("intent.yaml:{line}: ")), "{message}");
    assert!(message.contains("adaptors"), "{message}");
}

#[test]
fn missing_key_and_wrong_kind_are_refused_by_name() {
    let missing = error_line(&changed("    vms_per_group: 2\n", ""));
    assert!(missing.contains("vms_per_group"), "{missing}");
    let line = line_of("vms_per_group");
    let wrong = error_line(&changed("vms_per_group: 2", "vms_per_group: two"));
    assert!(wrong.starts_with(&format!("intent.yaml:{line}: ")), "{wrong}");
}

#[test]
fn values_out_of_range_are_refused_with_key_and_line() {
    let cases = [
        ("vms_per_group: 2", "vms_per_group: 0", "vms_per_group: must be above zero"),
        ("    weight: 2", "    weight: 0", "weight: must be above zero"),
        ("deadline: 60000", "deadline: 0", "deadline: must be above zero"),
        ("key: sample-key-norte", "key: ''", "key: must not be empty"),
        ("name: assistant", "name: ''", "name: must not be empty"),
        (
            "group_downtime: 10.0",
            "group_downtime: -1.0",
            "group_downtime: must be a number of at least zero",
        ),
    ];
    for (line, replacement, expected) in cases {
        let message = error_line(&changed(line, replacement));
        assert!(message.ends_with(expected), "{message}");
        let position = message.strip_prefix("intent.yaml:").unwrap();
        let position: usize = position.split_once(':').unwrap().0.parse().unwrap();
        assert!((1..=line_of(line)).contains(&position), "{message}");
    }
}

#[test]
fn duplicate_name_is_refused() {
    let text = changed("name: instaladores-sur", "name: instaladores-norte");
    let line = line_of("name: instaladores-sur");
    assert_eq!(error_line(&text), format!("intent.yaml:{line}: name: stands twice"));
}

#[test]
fn text_that_is_not_yaml_is_refused() {
    assert!(error_line("services: [").starts_with("intent.yaml:"));
    assert!(error_line("- a\n- b\n").starts_with("intent.yaml:1: "));
}
