//! Validation of configuration changes.

use comfreyturn_types::{
    AdapterIntent, ConfigChange, CustomerIntent, ModelBackend, ModelName, ModelVersion,
    PlannerWeights, RosterMember, ServiceBackend, ServiceIntent,
};

use crate::ConfigState;

/// The longest name, in bytes. Names become parts of row keys.
pub const MAX_NAME_BYTES: usize = 128;

/// Why a change is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, derive_more::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ConfigFault {
    /// The name is empty, too long, or contains a forbidden character.
    #[display("bad name")]
    BadName,
    /// The object to change does not exist.
    #[display("not found")]
    NotFound,
    /// The service's model version does not exist.
    #[display("model version does not exist")]
    UnknownModelVersion,
    /// No version of the adapter's model exists.
    #[display("model does not exist")]
    UnknownModel,
    /// An adapter of the service does not exist or belongs to another model.
    #[display("adapter does not exist or belongs to another model")]
    UnknownAdapter,
    /// A service of the customer does not exist.
    #[display("service does not exist")]
    UnknownService,
    /// Another object refers to it.
    #[display("still in use")]
    InUse,
    /// Another customer has the same key.
    #[display("key belongs to another customer")]
    KeyTaken,
    /// The customer's key is empty.
    #[display("key is empty")]
    EmptyKey,
    /// A number that must be positive is zero, or a weight is negative or not finite.
    #[display("number out of range")]
    OutOfRange,
    /// The roster already contains this incarnation of the node.
    #[display("already on the roster")]
    AlreadyJoined,
    /// The last member cannot leave the roster.
    #[display("last member of the roster")]
    LastMember,
}

/// A refused change.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{subject}: {fault}")]
pub struct ConfigError {
    /// The object that the change affects, such as `service certificates`.
    pub subject: String,

    /// Why it is refused.
    pub fault: ConfigFault,
}

/// Result of checking a change.
pub type ConfigResult<T, E = ConfigError> = Result<T, E>;

impl ConfigState {
    /// Checks one change against the current state.
    pub fn validate(&self, change: &ConfigChange) -> ConfigResult<()> {
        self.check(change).map_err(|fault| ConfigError { subject: subject_of(change), fault })
    }

    /// Checks changes that take effect together, each against the state after those before it.
    pub fn validate_all<'a>(
        &self,
        changes: impl IntoIterator<Item = &'a ConfigChange>,
    ) -> ConfigResult<()> {
        let mut state = self.clone();
        for change in changes {
            state.validate(change)?;
            state.apply_change(change);
        }
        Ok(())
    }

    /// Whether the object that the change affects exists.
    pub fn contains_subject(&self, change: &ConfigChange) -> bool {
        match change {
            ConfigChange::PutService(service) => self.services.contains_key(&service.name),
            ConfigChange::DeleteService(name) => self.services.contains_key(name),
            ConfigChange::PutModelVersion(version) => {
                self.model_versions.contains_key(&(version.model.clone(), version.version.clone()))
            }
            ConfigChange::DeleteModelVersion { model, version } => {
                self.model_versions.contains_key(&(model.clone(), version.clone()))
            }
            ConfigChange::PutAdapter(adapter) => self.adapters.contains_key(&adapter.name),
            ConfigChange::DeleteAdapter(name) => self.adapters.contains_key(name),
            ConfigChange::PutCustomer(customer) => self.customers.contains_key(&customer.name),
            ConfigChange::DeleteCustomer(name) => self.customers.contains_key(name),
            ConfigChange::SetPlannerWeights(_) => true,
            ConfigChange::SetVmDrained { vm, .. } => self.drained_vms.contains(vm),
            ConfigChange::SetNodeDrained { node, .. } => self.drained_nodes.contains(node),
            ConfigChange::JoinRoster(member) => {
                self.roster.current.members.contains_key(&member.node)
            }
            ConfigChange::LeaveRoster { node, incarnation } => {
                self.roster.current.contains(node, *incarnation)
            }
        }
    }

    fn check(&self, change: &ConfigChange) -> Result<(), ConfigFault> {
        match change {
            ConfigChange::PutService(service) => self.check_service(service),
            ConfigChange::PutModelVersion(version) => check_model_version(version),
            ConfigChange::PutAdapter(adapter) => self.check_adapter(adapter),
            ConfigChange::PutCustomer(customer) => self.check_customer(customer),
            ConfigChange::DeleteService(name) => {
                let used = self.customers.values().any(|c| c.services.contains(name));
                self.check_deletion(change, used)
            }
            ConfigChange::DeleteModelVersion { model, version } => {
                let used = self
                    .model_backends()
                    .any(|backend| backend.model == *model && backend.version == *version);
                self.check_deletion(change, used || self.orphans_adapter(model))
            }
            ConfigChange::DeleteAdapter(name) => {
                let used = self.model_backends().any(|backend| backend.adapters.contains(name));
                self.check_deletion(change, used)
            }
            ConfigChange::DeleteCustomer(_) => self.check_deletion(change, false),
            ConfigChange::SetPlannerWeights(weights) => check_weights(weights),
            ConfigChange::SetVmDrained { vm, .. } => check_name(vm.as_str()),
            ConfigChange::SetNodeDrained { node, .. } => check_name(node.as_str()),
            ConfigChange::JoinRoster(member) => self.check_join(member),
            ConfigChange::LeaveRoster { .. } => {
                self.check_deletion(change, false)?;
                if self.roster.current.members.len() == 1 {
                    return Err(ConfigFault::LastMember);
                }
                Ok(())
            }
        }
    }

    fn check_deletion(&self, change: &ConfigChange, used: bool) -> Result<(), ConfigFault> {
        if !self.contains_subject(change) {
            return Err(ConfigFault::NotFound);
        }
        if used {
            return Err(ConfigFault::InUse);
        }
        Ok(())
    }

    fn check_service(&self, service: &ServiceIntent) -> Result<(), ConfigFault> {
        check_name(service.name.as_str())?;
        let ServiceBackend::Model(backend) = &service.backend else {
            return Ok(());
        };
        let key = (backend.model.clone(), backend.version.clone());
        if !self.model_versions.contains_key(&key) {
            return Err(ConfigFault::UnknownModelVersion);
        }
        let adapter_known = |name| {
            self.adapters
                .get(name)
                .is_some_and(|adapter: &AdapterIntent| adapter.model == backend.model)
        };
        if !backend.adapters.iter().all(adapter_known) {
            return Err(ConfigFault::UnknownAdapter);
        }
        Ok(())
    }

    fn check_adapter(&self, adapter: &AdapterIntent) -> Result<(), ConfigFault> {
        check_name(adapter.name.as_str())?;
        if !self.model_versions.keys().any(|(model, _)| *model == adapter.model) {
            return Err(ConfigFault::UnknownModel);
        }
        let moved = self.model_backends().any(|backend| {
            backend.adapters.contains(&adapter.name) && backend.model != adapter.model
        });
        if moved {
            return Err(ConfigFault::InUse);
        }
        Ok(())
    }

    fn check_customer(&self, customer: &CustomerIntent) -> Result<(), ConfigFault> {
        check_name(customer.name.as_str())?;
        if customer.key.is_empty() {
            return Err(ConfigFault::EmptyKey);
        }
        if customer.weight == 0 || customer.deadline.is_zero() {
            return Err(ConfigFault::OutOfRange);
        }
        if self.customer_by_key(&customer.key).is_some_and(|other| other.name != customer.name) {
            return Err(ConfigFault::KeyTaken);
        }
        if !customer.services.iter().all(|name| self.services.contains_key(name)) {
            return Err(ConfigFault::UnknownService);
        }
        Ok(())
    }

    fn check_join(&self, member: &RosterMember) -> Result<(), ConfigFault> {
        check_name(member.node.as_str())?;
        if self.roster.current.contains(&member.node, member.incarnation) {
            return Err(ConfigFault::AlreadyJoined);
        }
        Ok(())
    }

    /// Whether deleting a version of the model would leave adapters without any version of it.
    fn orphans_adapter(&self, model: &ModelName) -> bool {
        let versions = self.model_versions.keys().filter(|(name, _)| name == model).count();
        versions == 1 && self.adapters.values().any(|adapter| adapter.model == *model)
    }

    fn model_backends(&self) -> impl Iterator<Item = &ModelBackend> {
        self.services.values().filter_map(|service| match &service.backend {
            ServiceBackend::Model(backend) => Some(backend),
            ServiceBackend::Plain => None,
        })
    }
}

/// Describes the object that a change affects, for operators.
pub fn subject_of(change: &ConfigChange) -> String {
    match change {
        ConfigChange::PutService(service) => format!("service {}", service.name),
        ConfigChange::DeleteService(name) => format!("service {name}"),
        ConfigChange::PutModelVersion(version) => {
            format!("model version {}/{}", version.model, version.version)
        }
        ConfigChange::DeleteModelVersion { model, version } => {
            format!("model version {model}/{version}")
        }
        ConfigChange::PutAdapter(adapter) => format!("adapter {}", adapter.name),
        ConfigChange::DeleteAdapter(name) => format!("adapter {name}"),
        ConfigChange::PutCustomer(customer) => format!("customer {}", customer.name),
        ConfigChange::DeleteCustomer(name) => format!("customer {name}"),
        ConfigChange::SetPlannerWeights(_) => "planner weights".to_owned(),
        ConfigChange::SetVmDrained { vm, .. } => format!("vm {vm}"),
        ConfigChange::SetNodeDrained { node, .. } => format!("node {node}"),
        ConfigChange::JoinRoster(member) => format!("node {}", member.node),
        ConfigChange::LeaveRoster { node, .. } => format!("node {node}"),
    }
}

fn check_model_version(version: &ModelVersion) -> Result<(), ConfigFault> {
    check_name(version.model.as_str())?;
    check_name(version.version.as_str())?;
    if version.vms_per_group == 0 {
        return Err(ConfigFault::OutOfRange);
    }
    Ok(())
}

fn check_weights(weights: &PlannerWeights) -> Result<(), ConfigFault> {
    let in_range = |weight: f64| weight.is_finite() && weight >= 0.0;
    if !in_range(weights.group_downtime) || !in_range(weights.stranded_accelerator) {
        return Err(ConfigFault::OutOfRange);
    }
    Ok(())
}

fn check_name(name: &str) -> Result<(), ConfigFault> {
    let allowed = |c: char| !c.is_control() && !c.is_whitespace() && c != '/';
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(allowed) {
        return Err(ConfigFault::BadName);
    }
    Ok(())
}
