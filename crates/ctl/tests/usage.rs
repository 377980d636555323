//! Exit codes and messages of invalid command lines, and the changes that flags make.

mod support;

use comfreyturn_ctl::{
    DeclaredConfig, EntityFields, EntityKind, UsageError, create_change, delete_change, set_change,
};
use comfreyturn_proto::{Precondition, RequestedChange};
use comfreyturn_types::{ConfigChange, ModelBackend, ServiceBackend, ServiceIntent};
use support::process::{free_address, run_ctl, scratch_directory};

fn failure(arguments: &[&str]) -> (Option<i32>, String) {
    let output = run_ctl(arguments);
    assert!(output.stdout.is_empty(), "{arguments:?}");
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(text.lines().count(), 1, "{text}");
    (output.status.code(), text)
}

#[test]
fn usage_errors_exit_with_two() {
    let cases: [(&[&str], &str); 7] = [
        (&["frobnicate"], "frobnicate"),
        (&["list"], "--to is missing"),
        (&["list", "--to", "nowhere"], "--to"),
        (&["create", "customer", "c", "--groups", "2"], "--groups does not belong to a customer"),
        (&["create", "adapter", "a"], "--model is missing"),
        (&["delete", "model-version", "m"], "VERSION is missing"),
        (&["lab", "--nodes", "0"], "--nodes must be above zero"),
    ];
    for (arguments, expected) in cases {
        let (code, text) = failure(arguments);
        assert_eq!(code, Some(2), "{arguments:?}: {text}");
        assert!(text.contains(expected), "{text}");
    }
}

#[test]
fn bad_files_exit_with_two_before_connecting() {
    let directory = scratch_directory("usage");
    let file = directory.join("intent.yaml");
    let path = file.to_str().unwrap();
    let unused = free_address().to_string();
    let (code, text) = failure(&["apply", "-f", path, "--to", &unused]);
    assert!(code == Some(2) && text.contains("cannot be read"), "{text}");
    std::fs::write(&file, "customers:\n  - nom: x\n").unwrap();
    let (code, text) = failure(&["apply", "-f", path, "--to", &unused]);
    assert!(code == Some(2) && text.contains(":2: ") && text.contains("nom"), "{text}");
}

#[test]
fn explain_accepts_a_time_span() {
    let file = scratch_directory("explain").join("node.log");
    let line = r#"{"level":"INFO","timestamp":"2026-06-14 17:23:23.043879 +00:00","#.to_owned()
        + r#""kv":{"node":"node-1"},"text":"node: runs."}"#;
    std::fs::write(&file, line).unwrap();
    let path = file.to_str().unwrap();
    let output = run_ctl(&["explain", "--since", "0", "--until", "1", path]);
    assert!(output.status.success(), "{output:?}");
    assert!(String::from_utf8(output.stdout).unwrap().contains("node: runs."));
}

#[test]
fn unreachable_node_exits_with_three() {
    let unused = free_address().to_string();
    for verb in [&["status"][..], &["list"], &["groups", "s", "1"], &["watch", "1"]] {
        let (code, text) = failure(&[verb, &["--to", &unused]].concat());
        assert_eq!((code, text.contains("no connection")), (Some(3), true), "{text}");
    }
}

fn service_fields() -> EntityFields {
    EntityFields {
        model: Some("m".into()),
        model_version: Some("1".into()),
        groups: Some(2),
        ..EntityFields::default()
    }
}

fn declared() -> DeclaredConfig {
    let backend = ModelBackend {
        model: "m".into(),
        version: "1".into(),
        adapters: vec!["a".into()],
        groups: 2,
        rank: 4,
    };
    let service = ServiceIntent { name: "s".into(), backend: ServiceBackend::Model(backend) };
    DeclaredConfig { version: 7, services: vec![service], ..DeclaredConfig::default() }
}

#[test]
fn create_requires_all_fields_without_default() {
    let request = create_change(EntityKind::Service, "s", &service_fields()).unwrap();
    assert_eq!(request.precondition, Precondition::Absent);
    let without = EntityFields { groups: None, ..service_fields() };
    let missing = create_change(EntityKind::Service, "s", &without).unwrap_err();
    assert_eq!(missing, UsageError::Missing { flag: "--groups" });
    let plain = EntityFields { plain: true, ..service_fields() };
    let clash = create_change(EntityKind::Service, "s", &plain).unwrap_err();
    assert_eq!(clash, UsageError::Clash { flag: "--plain", other: "--model" });
}

#[test]
fn set_changes_only_what_is_given() {
    let fields = EntityFields { groups: Some(5), ..EntityFields::default() };
    let request = set_change(EntityKind::Service, "s", &fields, &declared()).unwrap().unwrap();
    let mut expected = declared().services.remove(0);
    if let ServiceBackend::Model(backend) = &mut expected.backend {
        backend.groups = 5;
    }
    assert_eq!(request.precondition, Precondition::Present);
    assert_eq!(request.change, RequestedChange::Config(ConfigChange::PutService(expected)));
    let absent = set_change(EntityKind::Service, "t", &fields, &declared()).unwrap();
    assert_eq!(absent, None);
}

#[test]
fn delete_of_a_model_version_includes_its_version() {
    let request = delete_change(EntityKind::ModelVersion, "m", Some("1")).unwrap();
    let expected = ConfigChange::DeleteModelVersion { model: "m".into(), version: "1".into() };
    assert_eq!(request.change, RequestedChange::Config(expected));
    let misplaced = delete_change(EntityKind::Service, "s", Some("1")).unwrap_err();
    assert_eq!(misplaced, UsageError::OutOfPlace { flag: "VERSION", kind: EntityKind::Service });
}
