//! Converts changes requested by operators to and from messages.

use comfreyturn_types::{ConfigChange, NodeId, ServiceName};

use crate::{
    ConvertError, ConvertFault, ConvertResult,
    convert::require_name,
    operator::{self, change::Change},
};

pub use crate::operator::change::Precondition;

/// One change requested by an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestedChange {
    /// A change that is written to the configuration log unchanged.
    Config(ConfigChange),

    /// The operator confirms that a node is permanently gone. Its incarnation on the roster is
    /// looked up when the change is applied.
    ConfirmNodeGone(NodeId),

    /// A new number of declared groups; the rest of the service is unchanged.
    SetDeclaredGroups {
        /// The service, which must have a model backend.
        service: ServiceName,
        /// The number of groups.
        groups: u32,
    },
}

/// A change with a precondition on the object that is changed.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangeRequest {
    /// The precondition.
    pub precondition: Precondition,

    /// The change.
    pub change: RequestedChange,
}

impl ChangeRequest {
    /// A change without a precondition.
    pub fn unconditional(change: RequestedChange) -> Self {
        Self { precondition: Precondition::Any, change }
    }
}

impl TryFrom<operator::Change> for ChangeRequest {
    type Error = ConvertError;

    fn try_from(message: operator::Change) -> ConvertResult<Self> {
        let precondition = Precondition::try_from(message.precondition)
            .map_err(|_| ConvertError::new("change", ConvertFault::UnknownPrecondition))?;
        let Some(change) = message.change else {
            return Err(ConvertError::new("change", ConvertFault::MissingChange));
        };
        Ok(Self { precondition, change: change.try_into()? })
    }
}

impl TryFrom<Change> for RequestedChange {
    type Error = ConvertError;

    fn try_from(change: Change) -> ConvertResult<Self> {
        let change = match change {
            Change::PutService(service) => ConfigChange::PutService(service.try_into()?),
            Change::DeleteService(name) => ConfigChange::DeleteService(read_name("service", name)?),
            Change::PutModelVersion(version) => ConfigChange::PutModelVersion(version.try_into()?),
            Change::DeleteModelVersion(key) => ConfigChange::DeleteModelVersion {
                model: read_name("model version: model", key.model)?,
                version: read_name("model version: version", key.version)?,
            },
            Change::PutAdapter(adapter) => ConfigChange::PutAdapter(adapter.try_into()?),
            Change::DeleteAdapter(name) => ConfigChange::DeleteAdapter(read_name("adapter", name)?),
            Change::PutCustomer(customer) => ConfigChange::PutCustomer(customer.try_into()?),
            Change::DeleteCustomer(name) => {
                ConfigChange::DeleteCustomer(read_name("customer", name)?)
            }
            Change::SetPlannerWeights(weights) => {
                ConfigChange::SetPlannerWeights(weights.try_into()?)
            }
            Change::SetVmDrained(drain) => ConfigChange::SetVmDrained {
                vm: read_name("vm", drain.name)?,
                drained: drain.drained,
            },
            Change::SetNodeDrained(drain) => ConfigChange::SetNodeDrained {
                node: read_name("node", drain.name)?,
                drained: drain.drained,
            },
            Change::ConfirmNodeGone(node) => {
                return Ok(Self::ConfirmNodeGone(read_name("node", node)?));
            }
            Change::SetDeclaredGroups(declared) => {
                let service = read_name("service", declared.service)?;
                return Ok(Self::SetDeclaredGroups { service, groups: declared.groups });
            }
        };
        Ok(Self::Config(change))
    }
}

/// Fails for roster changes, which only nodes make.
impl TryFrom<&ChangeRequest> for operator::Change {
    type Error = ConvertError;

    fn try_from(request: &ChangeRequest) -> ConvertResult<Self> {
        let change = write_requested(&request.change)?;
        Ok(Self { precondition: request.precondition.into(), change: Some(change) })
    }
}

fn write_requested(change: &RequestedChange) -> ConvertResult<Change> {
    match change {
        RequestedChange::Config(change) => write_config(change),
        RequestedChange::ConfirmNodeGone(node) => Ok(Change::ConfirmNodeGone(node.to_string())),
        RequestedChange::SetDeclaredGroups { service, groups } => {
            let declared =
                operator::DeclaredGroups { service: service.to_string(), groups: *groups };
            Ok(Change::SetDeclaredGroups(declared))
        }
    }
}

fn write_config(change: &ConfigChange) -> ConvertResult<Change> {
    Ok(match change {
        ConfigChange::PutService(service) => Change::PutService(service.into()),
        ConfigChange::DeleteService(name) => Change::DeleteService(name.to_string()),
        ConfigChange::PutModelVersion(version) => Change::PutModelVersion(version.into()),
        ConfigChange::DeleteModelVersion { model, version } => {
            Change::DeleteModelVersion(operator::ModelVersionKey {
                model: model.to_string(),
                version: version.to_string(),
            })
        }
        ConfigChange::PutAdapter(adapter) => Change::PutAdapter(adapter.into()),
        ConfigChange::DeleteAdapter(name) => Change::DeleteAdapter(name.to_string()),
        ConfigChange::PutCustomer(customer) => Change::PutCustomer(customer.into()),
        ConfigChange::DeleteCustomer(name) => Change::DeleteCustomer(name.to_string()),
        ConfigChange::SetPlannerWeights(weights) => Change::SetPlannerWeights(weights.into()),
        ConfigChange::SetVmDrained { vm, drained } => {
            Change::SetVmDrained(operator::Drain { name: vm.to_string(), drained: *drained })
        }
        ConfigChange::SetNodeDrained { node, drained } => {
            Change::SetNodeDrained(operator::Drain { name: node.to_string(), drained: *drained })
        }
        ConfigChange::JoinRoster(_) | ConfigChange::LeaveRoster { .. } => {
            return Err(ConvertError::new("roster", ConvertFault::MissingChange));
        }
    })
}

fn read_name<T: From<String>>(subject: &str, name: String) -> ConvertResult<T> {
    require_name(subject, &name)?;
    Ok(name.into())
}
