//! Changes that `create`, `set` and `delete` submit.

use std::time::Duration;

use comfreyturn_proto::{ChangeRequest, Precondition, RequestedChange};
use comfreyturn_types::{
    AdapterIntent, ConfigChange, CustomerIntent, ModelBackend, ModelVersion, ServiceBackend,
    ServiceIntent,
};

use crate::{EntityFields, EntityKind, UsageResult, entity_fields::required};

/// The parts of the declared configuration that `set` needs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DeclaredConfig {
    /// Version of the configuration.
    pub version: u64,

    /// Services.
    pub services: Vec<ServiceIntent>,

    /// Model versions.
    pub model_versions: Vec<ModelVersion>,

    /// Adapters.
    pub adapters: Vec<AdapterIntent>,

    /// Customers.
    pub customers: Vec<CustomerIntent>,
}

/// The change that creates an item, which must not exist yet.
pub fn create_change(
    kind: EntityKind,
    name: &str,
    fields: &EntityFields,
) -> UsageResult<ChangeRequest> {
    fields.check_kind(kind)?;
    let change = match kind {
        EntityKind::Service => ConfigChange::PutService(new_service(name, fields)?),
        EntityKind::ModelVersion => ConfigChange::PutModelVersion(new_version(name, fields)?),
        EntityKind::Adapter => ConfigChange::PutAdapter(AdapterIntent {
            name: name.into(),
            model: required("--model", fields.model.as_deref())?.into(),
        }),
        EntityKind::Customer => ConfigChange::PutCustomer(new_customer(name, fields)?),
    };
    Ok(conditional(Precondition::Absent, change))
}

/// The change that sets the given fields of an existing item; `None` if there is no such item.
pub fn set_change(
    kind: EntityKind,
    name: &str,
    fields: &EntityFields,
    declared: &DeclaredConfig,
) -> UsageResult<Option<ChangeRequest>> {
    fields.check_kind(kind)?;
    let change = match kind {
        EntityKind::Service => {
            let service = declared.services.iter().find(|service| service.name.as_str() == name);
            service
                .map(|service| set_service(service, fields).map(ConfigChange::PutService))
                .transpose()?
        }
        EntityKind::ModelVersion => {
            let wanted = fields.version.as_deref();
            let mut versions = declared.model_versions.iter();
            let found = versions.find(|version| {
                version.model.as_str() == name && Some(version.version.as_str()) == wanted
            });
            found.map(|version| ConfigChange::PutModelVersion(set_version(version, fields)))
        }
        EntityKind::Adapter => {
            let adapter = declared.adapters.iter().find(|adapter| adapter.name.as_str() == name);
            adapter.map(|adapter| ConfigChange::PutAdapter(set_adapter(adapter, fields)))
        }
        EntityKind::Customer => {
            let mut customers = declared.customers.iter();
            let customer = customers.find(|customer| customer.name.as_str() == name);
            customer.map(|customer| ConfigChange::PutCustomer(set_customer(customer, fields)))
        }
    };
    Ok(change.map(|change| conditional(Precondition::Present, change)))
}

/// The change that deletes an existing item.
pub fn delete_change(
    kind: EntityKind,
    name: &str,
    version: Option<&str>,
) -> UsageResult<ChangeRequest> {
    let fields = EntityFields { version: version.map(str::to_owned), ..EntityFields::default() };
    fields.check_kind(kind)?;
    let change = match kind {
        EntityKind::Service => ConfigChange::DeleteService(name.into()),
        EntityKind::ModelVersion => ConfigChange::DeleteModelVersion {
            model: name.into(),
            version: required("VERSION", version)?.into(),
        },
        EntityKind::Adapter => ConfigChange::DeleteAdapter(name.into()),
        EntityKind::Customer => ConfigChange::DeleteCustomer(name.into()),
    };
    Ok(conditional(Precondition::Present, change))
}

fn conditional(precondition: Precondition, change: ConfigChange) -> ChangeRequest {
    ChangeRequest { precondition, change: RequestedChange::Config(change) }
}

fn new_service(name: &str, fields: &EntityFields) -> UsageResult<ServiceIntent> {
    let backend = match fields.plain {
        true => ServiceBackend::Plain,
        false => ServiceBackend::Model(new_backend(fields)?),
    };
    Ok(ServiceIntent { name: name.into(), backend })
}

fn new_backend(fields: &EntityFields) -> UsageResult<ModelBackend> {
    Ok(ModelBackend {
        model: required("--model", fields.model.as_deref())?.into(),
        version: required("--model-version", fields.model_version.as_deref())?.into(),
        adapters: fields.adapters.iter().map(|adapter| adapter.as_str().into()).collect(),
        groups: required("--groups", fields.groups)?,
        rank: fields.rank.unwrap_or_default(),
    })
}

fn set_service(service: &ServiceIntent, fields: &EntityFields) -> UsageResult<ServiceIntent> {
    let ServiceBackend::Model(backend) = &service.backend else {
        return new_service(service.name.as_str(), fields);
    };
    if fields.plain {
        return new_service(service.name.as_str(), fields);
    }
    let mut backend = backend.clone();
    replace(&mut backend.model, fields.model.as_deref());
    replace(&mut backend.version, fields.model_version.as_deref());
    replace(&mut backend.groups, fields.groups);
    replace(&mut backend.rank, fields.rank);
    replace_list(&mut backend.adapters, &fields.adapters);
    Ok(ServiceIntent { name: service.name.clone(), backend: ServiceBackend::Model(backend) })
}

fn new_version(model: &str, fields: &EntityFields) -> UsageResult<ModelVersion> {
    Ok(ModelVersion {
        model: model.into(),
        version: required("VERSION", fields.version.as_deref())?.into(),
        vms_per_group: required("--vms-per-group", fields.vms_per_group)?,
        weight_bytes: required("--weight-bytes", fields.weight_bytes)?,
    })
}

fn set_version(version: &ModelVersion, fields: &EntityFields) -> ModelVersion {
    let mut version = version.clone();
    replace(&mut version.vms_per_group, fields.vms_per_group);
    replace(&mut version.weight_bytes, fields.weight_bytes);
    version
}

fn set_adapter(adapter: &AdapterIntent, fields: &EntityFields) -> AdapterIntent {
    let mut adapter = adapter.clone();
    replace(&mut adapter.model, fields.model.as_deref());
    adapter
}

fn new_customer(name: &str, fields: &EntityFields) -> UsageResult<CustomerIntent> {
    let deadline = fields.deadline_ms.map(Duration::from_millis);
    Ok(CustomerIntent {
        name: name.into(),
        key: required("--key", fields.key.clone())?,
        weight: fields.weight.unwrap_or(CustomerIntent::DEFAULT_WEIGHT),
        requests_per_second: required("--requests-per-second", fields.requests_per_second)?,
        tokens_per_second: required("--tokens-per-second", fields.tokens_per_second)?,
        services: fields.services.iter().map(|service| service.as_str().into()).collect(),
        deadline: deadline.unwrap_or(CustomerIntent::DEFAULT_DEADLINE),
    })
}

fn set_customer(customer: &CustomerIntent, fields: &EntityFields) -> CustomerIntent {
    let mut customer = customer.clone();
    replace(&mut customer.key, fields.key.clone());
    replace(&mut customer.weight, fields.weight);
    replace(&mut customer.requests_per_second, fields.requests_per_second);
    replace(&mut customer.tokens_per_second, fields.tokens_per_second);
    replace(&mut customer.deadline, fields.deadline_ms.map(Duration::from_millis));
    replace_list(&mut customer.services, &fields.services);
    customer
}

/// Replaces a value if a new one is given.
fn replace<T, N: Into<T>>(value: &mut T, given: Option<N>) {
    if let Some(given) = given {
        *value = given.into();
    }
}

/// Replaces a list if a new one is given.
fn replace_list<T: for<'a> From<&'a str>>(list: &mut Vec<T>, given: &[String]) {
    if !given.is_empty() {
        *list = given.iter().map(|name| name.as_str().into()).collect();
    }
}
