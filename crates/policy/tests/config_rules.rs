//! Refused configuration changes, and the order in which entries apply.

use std::time::Duration;

use comfreyturn_policy::{ConfigFault, ConfigState};
use comfreyturn_types::*;

fn version(name: &str) -> ConfigChange {
    ConfigChange::PutModelVersion(ModelVersion {
        model: "drafts".into(),
        version: name.into(),
        vms_per_group: 2,
        weight_bytes: 1,
    })
}

fn service(version: &str, adapters: &[&str]) -> ConfigChange {
    ConfigChange::PutService(ServiceIntent {
        name: "assistant".into(),
        backend: ServiceBackend::Model(ModelBackend {
            model: "drafts".into(),
            version: version.into(),
            adapters: adapters.iter().map(|name| AdapterName::from(*name)).collect(),
            groups: 1,
            rank: 0,
        }),
    })
}

fn customer(name: &str, key: &str, weight: u32) -> ConfigChange {
    ConfigChange::PutCustomer(CustomerIntent {
        name: name.into(),
        key: key.to_owned(),
        weight,
        requests_per_second: 1,
        tokens_per_second: 1,
        services: Vec::new(),
        deadline: Duration::from_secs(1),
    })
}

fn state_of(changes: Vec<ConfigChange>) -> ConfigState {
    let mut state = ConfigState::default();
    state.validate_all(&changes).unwrap();
    let operation = OperationId::from("first");
    state.apply(&ConfigEntry { version: ConfigVersion(1), operation, changes }).unwrap();
    state
}

#[test]
fn invalid_changes_are_refused() {
    let adapter = |name: &str, model: &str| {
        ConfigChange::PutAdapter(AdapterIntent { name: name.into(), model: model.into() })
    };
    let state = state_of(vec![
        version("v1"),
        adapter("tone", "drafts"),
        service("v1", &["tone"]),
        customer("installers", "k1", 1),
    ]);
    let delete_version =
        ConfigChange::DeleteModelVersion { model: "drafts".into(), version: "v1".into() };
    let cases = [
        (service("v2", &[]), ConfigFault::UnknownModelVersion),
        (service("v1", &["other"]), ConfigFault::UnknownAdapter),
        (adapter("a/b", "drafts"), ConfigFault::BadName),
        (adapter("new", "other"), ConfigFault::UnknownModel),
        (adapter("tone", "other"), ConfigFault::UnknownModel),
        (customer("other", "k1", 1), ConfigFault::KeyTaken),
        (customer("other", "", 1), ConfigFault::EmptyKey),
        (customer("other", "k2", 0), ConfigFault::OutOfRange),
        (delete_version, ConfigFault::InUse),
        (ConfigChange::DeleteAdapter("tone".into()), ConfigFault::InUse),
        (ConfigChange::DeleteService("other".into()), ConfigFault::NotFound),
    ];
    for (change, fault) in cases {
        let error = state.validate(&change).expect_err("the change is refused");
        assert_eq!(error.fault, fault, "{}", error.subject);
    }
}

#[test]
fn entries_apply_once_and_in_order() {
    let mut state = state_of(vec![version("v1")]);
    let entry = |number: u64| ConfigEntry {
        version: ConfigVersion(number),
        operation: OperationId::from("next"),
        changes: vec![customer("installers", "k1", 1)],
    };
    assert_eq!(state.apply(&entry(1)), Ok(false));
    assert!(state.apply(&entry(3)).is_err());
    assert_eq!(state.apply(&entry(2)), Ok(true));
    assert_eq!(state.customer_by_key("k1").unwrap().name, "installers".into());
}
