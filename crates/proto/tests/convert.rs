//! Changes survive conversion to a message and back, and invalid messages are refused with their
//! subject.

use std::time::Duration;

use comfreyturn_proto::{
    ChangeRequest, ConvertFault, Precondition, RequestedChange,
    operator::{self, change::Change},
};
use comfreyturn_types::{
    AdapterIntent, ConfigChange, CustomerIntent, Incarnation, ModelBackend, ModelVersion,
    PlannerWeights, ServiceBackend, ServiceIntent,
};

fn changes() -> Vec<RequestedChange> {
    let backend = ModelBackend {
        model: "m".into(),
        version: "1".into(),
        adapters: vec!["a".into(), "b".into()],
        groups: 3,
        rank: 2,
    };
    let customer = CustomerIntent {
        name: "north".into(),
        key: "secret".into(),
        weight: 4,
        requests_per_second: 5,
        tokens_per_second: 6,
        services: vec!["s".into()],
        deadline: Duration::from_millis(7500),
    };
    let version = ModelVersion {
        model: "m".into(),
        version: "1".into(),
        vms_per_group: 2,
        weight_bytes: u64::MAX,
    };
    let weights = PlannerWeights { group_downtime: 0.0, stranded_accelerator: 2.5 };
    let put = |name: &str, backend| {
        ConfigChange::PutService(ServiceIntent { name: name.into(), backend })
    };
    let config = [
        put("s", ServiceBackend::Model(backend)),
        put("p", ServiceBackend::Plain),
        ConfigChange::DeleteService("s".into()),
        ConfigChange::PutModelVersion(version),
        ConfigChange::DeleteModelVersion { model: "m".into(), version: "1".into() },
        ConfigChange::PutAdapter(AdapterIntent { name: "a".into(), model: "m".into() }),
        ConfigChange::DeleteAdapter("a".into()),
        ConfigChange::PutCustomer(customer),
        ConfigChange::DeleteCustomer("north".into()),
        ConfigChange::SetPlannerWeights(weights),
        ConfigChange::SetVmDrained { vm: "v".into(), drained: true },
        ConfigChange::SetNodeDrained { node: "n".into(), drained: false },
    ];
    let mut changes: Vec<_> = config.into_iter().map(RequestedChange::Config).collect();
    changes.push(RequestedChange::ConfirmNodeGone("n".into()));
    changes.push(RequestedChange::SetDeclaredGroups { service: "s".into(), groups: 0 });
    changes
}

#[test]
fn every_change_survives_a_round_trip() {
    for precondition in [Precondition::Any, Precondition::Absent, Precondition::Present] {
        for change in changes() {
            let request = ChangeRequest { precondition, change };
            let message = operator::Change::try_from(&request).unwrap();
            assert_eq!(ChangeRequest::try_from(message), Ok(request));
        }
    }
}

#[test]
fn roster_changes_have_no_message() {
    let leave = ConfigChange::LeaveRoster { node: "n".into(), incarnation: Incarnation(1) };
    let request = ChangeRequest::unconditional(RequestedChange::Config(leave));
    let error = operator::Change::try_from(&request).unwrap_err();
    assert_eq!(error.fault, ConvertFault::MissingChange);
}

fn refusal(change: Option<Change>) -> (String, ConvertFault) {
    let error = ChangeRequest::try_from(operator::Change { precondition: 0, change }).unwrap_err();
    (error.subject, error.fault)
}

#[test]
fn invalid_messages_are_refused() {
    let expect = |change, subject: &str, fault| {
        assert_eq!(refusal(change), (subject.to_owned(), fault));
    };
    expect(None, "change", ConvertFault::MissingChange);
    let service = operator::Service { name: "s".into(), backend: None };
    let put = Some(Change::PutService(service));
    expect(put, "service s", ConvertFault::MissingBackend);
    let put = Some(Change::PutService(operator::Service::default()));
    expect(put, "service", ConvertFault::MissingName);
    let put = Some(Change::PutModelVersion(operator::ModelVersion {
        model: "m".into(),
        version: "1".into(),
        ..Default::default()
    }));
    expect(put, "model version m/1: vms_per_group", ConvertFault::NotPositive);
    let put =
        Some(Change::PutCustomer(operator::Customer { name: "c".into(), ..Default::default() }));
    expect(put, "customer c: key", ConvertFault::MissingName);
    let weights = operator::PlannerWeights { group_downtime: f64::NAN, stranded_accelerator: 1.0 };
    let set = Some(Change::SetPlannerWeights(weights));
    expect(set, "planner weights: group_downtime", ConvertFault::BadWeight);
    expect(Some(Change::ConfirmNodeGone(String::new())), "node", ConvertFault::MissingName);
    let odd = operator::Change { precondition: 9, change: None };
    let error = ChangeRequest::try_from(odd).unwrap_err();
    assert_eq!(error.fault, ConvertFault::UnknownPrecondition);
    assert_eq!(error.to_string(), "change: unknown precondition");
}

#[test]
fn absent_numbers_of_a_customer_use_defaults() {
    let message = operator::Customer { name: "c".into(), key: "k".into(), ..Default::default() };
    let customer = CustomerIntent::try_from(message).unwrap();
    assert_eq!(customer.weight, CustomerIntent::DEFAULT_WEIGHT);
    assert_eq!(customer.deadline, CustomerIntent::DEFAULT_DEADLINE);
}
