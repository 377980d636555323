//! The file that `apply` reads.

use std::{collections::BTreeSet, time::Duration};

use comfreyturn_proto::{ChangeRequest, RequestedChange};
use comfreyturn_types::{
    AdapterIntent, ConfigChange, CustomerIntent, ModelVersion, PlannerWeights, ServiceIntent,
};
use serde::Deserialize;
use serde_saphyr::Spanned;

/// An error in an intent file. Displayed as one line with file, line and key.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum IntentError {
    /// The text is not YAML, has an unknown key, lacks a required key, or has a value of the wrong
    /// type.
    #[display("{file}:{line}: {reason}")]
    Malformed {
        /// The file.
        file: String,
        /// The line, from one; zero if it is not known.
        line: u64,
        /// What is wrong, naming the key.
        reason: String,
    },

    /// A value is out of range or conflicts with another.
    #[display("{file}:{line}: {key}: {fault}")]
    Invalid {
        /// The file.
        file: String,
        /// The line of the item that the key belongs to, from one.
        line: u64,
        /// The key.
        key: &'static str,
        /// What is wrong.
        fault: IntentFault,
    },
}

/// Why a value of an intent file is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum IntentFault {
    /// Another item of the list has the same name.
    #[display("stands twice")]
    Twice,

    /// The value is empty.
    #[display("must not be empty")]
    Empty,

    /// The number is zero.
    #[display("must be above zero")]
    NotPositive,

    /// The weight is negative or not a finite number.
    #[display("must be a number of at least zero")]
    BadWeight,
}

/// Result of reading an intent file.
pub type IntentResult<T, E = IntentError> = std::result::Result<T, E>;

/// What operators declare in one file. Lists that are absent are empty.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct IntentFile {
    /// Services.
    pub services: Vec<Spanned<ServiceIntent>>,

    /// Model versions.
    pub model_versions: Vec<Spanned<ModelVersion>>,

    /// Adapters.
    pub adapters: Vec<Spanned<AdapterIntent>>,

    /// Customers.
    pub customers: Vec<Spanned<CustomerIntent>>,

    /// The planner's weights.
    pub planner_weights: Option<Spanned<PlannerWeights>>,
}

/// A check of one key: whether the value is invalid, the key, and the error to report.
type KeyCheck = (bool, &'static str, IntentFault);

impl IntentFile {
    /// Reads and checks `text`; errors name `file`.
    pub fn parse(file: &str, text: &str) -> IntentResult<Self> {
        let intent: Self = serde_saphyr::from_str(text).map_err(|error| malformed(file, &error))?;
        intent.check(file)?;
        Ok(intent)
    }

    /// The changes that declare the items, each item after those that it refers to.
    pub fn changes(&self) -> Vec<ChangeRequest> {
        let versions = self.model_versions.iter().map(|item| &item.value).cloned();
        let adapters = self.adapters.iter().map(|item| &item.value).cloned();
        let services = self.services.iter().map(|item| &item.value).cloned();
        let customers = self.customers.iter().map(|item| &item.value).cloned();
        let weights = self.planner_weights.iter().map(|item| item.value);
        let changes = versions
            .map(ConfigChange::PutModelVersion)
            .chain(adapters.map(ConfigChange::PutAdapter))
            .chain(services.map(ConfigChange::PutService))
            .chain(customers.map(ConfigChange::PutCustomer))
            .chain(weights.map(ConfigChange::SetPlannerWeights));
        changes.map(RequestedChange::Config).map(ChangeRequest::unconditional).collect()
    }

    fn check(&self, file: &str) -> IntentResult<()> {
        check_items(file, &self.model_versions, version_key, version_checks)?;
        check_items(file, &self.adapters, |adapter| adapter.name.clone(), adapter_checks)?;
        check_items(file, &self.services, |service| service.name.clone(), service_checks)?;
        check_items(file, &self.customers, |customer| customer.name.clone(), customer_checks)?;
        let weights: Vec<_> = self.planner_weights.iter().cloned().collect();
        check_items(file, &weights, |_| (), weight_checks)
    }
}

fn check_items<T, K: Ord>(
    file: &str,
    items: &[Spanned<T>],
    key: impl Fn(&T) -> K,
    checks: impl Fn(&T) -> Vec<KeyCheck>,
) -> IntentResult<()> {
    let mut seen = BTreeSet::new();
    for item in items {
        let duplicate = (!seen.insert(key(&item.value)), "name", IntentFault::Twice);
        let mut checks = checks(&item.value);
        checks.push(duplicate);
        if let Some((_, key, fault)) = checks.into_iter().find(|(invalid, _, _)| *invalid) {
            let line = item.referenced.line();
            return Err(IntentError::Invalid { file: file.to_owned(), line, key, fault });
        }
    }
    Ok(())
}

fn version_key(version: &ModelVersion) -> (String, String) {
    (version.model.to_string(), version.version.to_string())
}

fn version_checks(version: &ModelVersion) -> Vec<KeyCheck> {
    vec![
        (version.model.as_str().is_empty(), "model", IntentFault::Empty),
        (version.version.as_str().is_empty(), "version", IntentFault::Empty),
        (version.vms_per_group == 0, "vms_per_group", IntentFault::NotPositive),
    ]
}

fn adapter_checks(adapter: &AdapterIntent) -> Vec<KeyCheck> {
    vec![
        (adapter.name.as_str().is_empty(), "name", IntentFault::Empty),
        (adapter.model.as_str().is_empty(), "model", IntentFault::Empty),
    ]
}

fn service_checks(service: &ServiceIntent) -> Vec<KeyCheck> {
    vec![(service.name.as_str().is_empty(), "name", IntentFault::Empty)]
}

fn customer_checks(customer: &CustomerIntent) -> Vec<KeyCheck> {
    vec![
        (customer.name.as_str().is_empty(), "name", IntentFault::Empty),
        (customer.key.is_empty(), "key", IntentFault::Empty),
        (customer.weight == 0, "weight", IntentFault::NotPositive),
        (customer.deadline == Duration::ZERO, "deadline", IntentFault::NotPositive),
    ]
}

fn weight_checks(weights: &PlannerWeights) -> Vec<KeyCheck> {
    let bad = |weight: f64| !weight.is_finite() || weight < 0.0;
    vec![
        (bad(weights.group_downtime), "group_downtime", IntentFault::BadWeight),
        (bad(weights.stranded_accelerator), "stranded_accelerator", IntentFault::BadWeight),
    ]
}

fn malformed(file: &str, error: &serde_saphyr::Error) -> IntentError {
    let line = error.location().map_or(0, |location| location.line());
    let text = error.to_string();
    let reason = text.lines().next().unwrap_or_default().to_owned();
    IntentError::Malformed { file: file.to_owned(), line, reason }
}
