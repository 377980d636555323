//! Converts declared configuration to and from messages of operators.

use std::time::Duration;

use comfreyturn_types::{
    AdapterIntent, CustomerIntent, ModelBackend, ModelVersion, PlannerWeights, ServiceBackend,
    ServiceIntent,
};

use crate::{ConvertError, ConvertFault, ConvertResult, operator, operator::service::Backend};

impl From<&ServiceIntent> for operator::Service {
    fn from(service: &ServiceIntent) -> Self {
        let backend = match &service.backend {
            ServiceBackend::Model(model) => Backend::Model(model.into()),
            ServiceBackend::Plain => Backend::Plain(operator::PlainBackend {}),
        };
        Self { name: service.name.to_string(), backend: Some(backend) }
    }
}

impl TryFrom<operator::Service> for ServiceIntent {
    type Error = ConvertError;

    fn try_from(service: operator::Service) -> ConvertResult<Self> {
        require_name("service", &service.name)?;
        let subject = format!("service {}", service.name);
        let backend = match service.backend {
            Some(Backend::Model(model)) => ServiceBackend::Model(read_backend(&subject, model)?),
            Some(Backend::Plain(_)) => ServiceBackend::Plain,
            None => return Err(ConvertError::new(subject, ConvertFault::MissingBackend)),
        };
        Ok(Self { name: service.name.into(), backend })
    }
}

impl From<&ModelBackend> for operator::ModelBackend {
    fn from(backend: &ModelBackend) -> Self {
        Self {
            model: backend.model.to_string(),
            version: backend.version.to_string(),
            adapters: backend.adapters.iter().map(ToString::to_string).collect(),
            groups: backend.groups,
            rank: backend.rank,
        }
    }
}

fn read_backend(subject: &str, backend: operator::ModelBackend) -> ConvertResult<ModelBackend> {
    require_name(&format!("{subject}: model"), &backend.model)?;
    require_name(&format!("{subject}: version"), &backend.version)?;
    for adapter in &backend.adapters {
        require_name(&format!("{subject}: adapter"), adapter)?;
    }
    Ok(ModelBackend {
        model: backend.model.into(),
        version: backend.version.into(),
        adapters: backend.adapters.into_iter().map(Into::into).collect(),
        groups: backend.groups,
        rank: backend.rank,
    })
}

impl From<&ModelVersion> for operator::ModelVersion {
    fn from(version: &ModelVersion) -> Self {
        Self {
            model: version.model.to_string(),
            version: version.version.to_string(),
            vms_per_group: version.vms_per_group,
            weight_bytes: version.weight_bytes,
        }
    }
}

impl TryFrom<operator::ModelVersion> for ModelVersion {
    type Error = ConvertError;

    fn try_from(version: operator::ModelVersion) -> ConvertResult<Self> {
        require_name("model version: model", &version.model)?;
        require_name("model version: version", &version.version)?;
        if version.vms_per_group == 0 {
            let subject =
                format!("model version {}/{}: vms_per_group", version.model, version.version);
            return Err(ConvertError::new(subject, ConvertFault::NotPositive));
        }
        Ok(Self {
            model: version.model.into(),
            version: version.version.into(),
            vms_per_group: version.vms_per_group,
            weight_bytes: version.weight_bytes,
        })
    }
}

impl From<&AdapterIntent> for operator::Adapter {
    fn from(adapter: &AdapterIntent) -> Self {
        Self { name: adapter.name.to_string(), model: adapter.model.to_string() }
    }
}

impl TryFrom<operator::Adapter> for AdapterIntent {
    type Error = ConvertError;

    fn try_from(adapter: operator::Adapter) -> ConvertResult<Self> {
        require_name("adapter", &adapter.name)?;
        require_name(&format!("adapter {}: model", adapter.name), &adapter.model)?;
        Ok(Self { name: adapter.name.into(), model: adapter.model.into() })
    }
}

impl From<&CustomerIntent> for operator::Customer {
    fn from(customer: &CustomerIntent) -> Self {
        Self {
            name: customer.name.to_string(),
            key: customer.key.clone(),
            weight: customer.weight,
            requests_per_second: customer.requests_per_second,
            tokens_per_second: customer.tokens_per_second,
            services: customer.services.iter().map(ToString::to_string).collect(),
            deadline_ms: u64::try_from(customer.deadline.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

/// A weight or deadline of zero means the default, because absent fields decode as zero.
impl TryFrom<operator::Customer> for CustomerIntent {
    type Error = ConvertError;

    fn try_from(customer: operator::Customer) -> ConvertResult<Self> {
        require_name("customer", &customer.name)?;
        let subject = format!("customer {}", customer.name);
        require_name(&format!("{subject}: key"), &customer.key)?;
        for service in &customer.services {
            require_name(&format!("{subject}: service"), service)?;
        }
        let weight = match customer.weight {
            0 => Self::DEFAULT_WEIGHT,
            weight => weight,
        };
        let deadline = match customer.deadline_ms {
            0 => Self::DEFAULT_DEADLINE,
            millis => Duration::from_millis(millis),
        };
        Ok(Self {
            name: customer.name.into(),
            key: customer.key,
            weight,
            requests_per_second: customer.requests_per_second,
            tokens_per_second: customer.tokens_per_second,
            services: customer.services.into_iter().map(Into::into).collect(),
            deadline,
        })
    }
}

impl From<&PlannerWeights> for operator::PlannerWeights {
    fn from(weights: &PlannerWeights) -> Self {
        Self {
            group_downtime: weights.group_downtime,
            stranded_accelerator: weights.stranded_accelerator,
        }
    }
}

impl TryFrom<operator::PlannerWeights> for PlannerWeights {
    type Error = ConvertError;

    fn try_from(weights: operator::PlannerWeights) -> ConvertResult<Self> {
        Ok(Self {
            group_downtime: read_weight("group_downtime", weights.group_downtime)?,
            stranded_accelerator: read_weight(
                "stranded_accelerator",
                weights.stranded_accelerator,
            )?,
        })
    }
}

fn read_weight(name: &str, weight: f64) -> ConvertResult<f64> {
    if weight.is_finite() && weight >= 0.0 {
        return Ok(weight);
    }
    Err(ConvertError::new(format!("planner weights: {name}"), ConvertFault::BadWeight))
}

pub(crate) fn require_name(subject: &str, name: &str) -> ConvertResult<()> {
    if name.is_empty() {
        return Err(ConvertError::new(subject, ConvertFault::MissingName));
    }
    Ok(())
}
