//! Flags that describe a service, model version, adapter or customer.

/// Kinds of items that operators create, set, delete and list.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum EntityKind {
    /// A service.
    Service,
    /// A model version.
    ModelVersion,
    /// An adapter.
    Adapter,
    /// A customer.
    Customer,
}

/// Kinds of machines and processes that operators drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum DrainKind {
    /// A node.
    Node,
    /// A VM.
    Vm,
}

/// An error in the command line.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum UsageError {
    /// A required flag is missing.
    #[display("{flag} is missing")]
    Missing {
        /// The flag.
        flag: &'static str,
    },

    /// A flag does not apply to this kind of item.
    #[display("{flag} does not belong to a {kind}")]
    OutOfPlace {
        /// The flag.
        flag: &'static str,
        /// The kind of item.
        kind: EntityKind,
    },

    /// Two flags exclude each other.
    #[display("{flag} clashes with {other}")]
    Clash {
        /// One of them.
        flag: &'static str,
        /// The other.
        other: &'static str,
    },

    /// A number is not above zero.
    #[display("{flag} must be above zero")]
    NotPositive {
        /// The flag.
        flag: &'static str,
    },
}

/// Result of checking flags.
pub type UsageResult<T, E = UsageError> = std::result::Result<T, E>;

/// The flags of `create` and `set`. `None` and empty lists stand for flags that were not given.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EntityFields {
    /// The version of a model version.
    pub version: Option<String>,

    /// Model of a service or an adapter.
    pub model: Option<String>,

    /// Model version of a service.
    pub model_version: Option<String>,

    /// Adapters of a service.
    pub adapters: Vec<String>,

    /// Declared groups of a service.
    pub groups: Option<u32>,

    /// Rank of a service: when VMs are scarce, services with a lower rank keep their groups first.
    pub rank: Option<u32>,

    /// Whether the service is plain.
    pub plain: bool,

    /// VMs that one group of a model version spans.
    pub vms_per_group: Option<u32>,

    /// Size of the weights that one VM loads, in bytes.
    pub weight_bytes: Option<u64>,

    /// Key of a customer.
    pub key: Option<String>,

    /// Weight of a customer: its share of a contended service, relative to other customers.
    pub weight: Option<u32>,

    /// Limit of a customer's requests per second, over all nodes.
    pub requests_per_second: Option<u32>,

    /// Limit of a customer's generated tokens per second, over all nodes.
    pub tokens_per_second: Option<u32>,

    /// Services of a customer.
    pub services: Vec<String>,

    /// Deadline of a customer's requests that state none, in milliseconds.
    pub deadline_ms: Option<u64>,
}

impl EntityFields {
    /// Checks that every given flag applies to `kind`.
    pub fn check_kind(&self, kind: EntityKind) -> UsageResult<()> {
        let misplaced = self.given_flags().into_iter().find(|(_, kinds)| !kinds.contains(&kind));
        if let Some((flag, _)) = misplaced {
            return Err(UsageError::OutOfPlace { flag, kind });
        }
        if kind == EntityKind::ModelVersion && self.version.is_none() {
            return Err(UsageError::Missing { flag: "VERSION" });
        }
        if self.plain {
            return self.check_plain();
        }
        self.check_numbers()
    }

    /// The flags that were given, each with the kinds that it applies to.
    fn given_flags(&self) -> Vec<(&'static str, &'static [EntityKind])> {
        use EntityKind::{Adapter, Customer, ModelVersion, Service};
        let flags: [(bool, &'static str, &'static [EntityKind]); 15] = [
            (self.version.is_some(), "VERSION", &[ModelVersion]),
            (self.model.is_some(), "--model", &[Service, Adapter]),
            (self.model_version.is_some(), "--model-version", &[Service]),
            (!self.adapters.is_empty(), "--adapter", &[Service]),
            (self.groups.is_some(), "--groups", &[Service]),
            (self.rank.is_some(), "--rank", &[Service]),
            (self.plain, "--plain", &[Service]),
            (self.vms_per_group.is_some(), "--vms-per-group", &[ModelVersion]),
            (self.weight_bytes.is_some(), "--weight-bytes", &[ModelVersion]),
            (self.key.is_some(), "--key", &[Customer]),
            (self.weight.is_some(), "--weight", &[Customer]),
            (self.requests_per_second.is_some(), "--requests-per-second", &[Customer]),
            (self.tokens_per_second.is_some(), "--tokens-per-second", &[Customer]),
            (!self.services.is_empty(), "--service", &[Customer]),
            (self.deadline_ms.is_some(), "--deadline-ms", &[Customer]),
        ];
        flags.into_iter().filter(|flag| flag.0).map(|(_, flag, kinds)| (flag, kinds)).collect()
    }

    fn check_plain(&self) -> UsageResult<()> {
        let clash = self.given_flags().into_iter().find(|(flag, _)| *flag != "--plain");
        match clash {
            Some((other, _)) => Err(UsageError::Clash { flag: "--plain", other }),
            None => Ok(()),
        }
    }

    fn check_numbers(&self) -> UsageResult<()> {
        let zeros = [
            (self.vms_per_group == Some(0), "--vms-per-group"),
            (self.weight == Some(0), "--weight"),
            (self.deadline_ms == Some(0), "--deadline-ms"),
        ];
        match zeros.into_iter().find(|(zero, _)| *zero) {
            Some((_, flag)) => Err(UsageError::NotPositive { flag }),
            None => Ok(()),
        }
    }
}

/// The value of a required flag.
pub(crate) fn required<T>(flag: &'static str, value: Option<T>) -> UsageResult<T> {
    value.ok_or(UsageError::Missing { flag })
}
