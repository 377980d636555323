//! The declared configuration as shown to operators. Customers' keys are omitted.

use comfreyturn_proto::{ConvertResult, operator::ListReply};
use comfreyturn_types::{
    AdapterIntent, CustomerIntent, ModelVersion, PlannerWeights, ServiceBackend, ServiceIntent,
};
use serde::Serialize;
use serde_with::{DurationMilliSeconds, serde_as};

use crate::{DeclaredConfig, EntityKind, TextTable};

/// The declared configuration as JSON. Lists of other kinds than the requested one are absent.
#[derive(Serialize)]
pub(crate) struct DeclaredView {
    version: u64,

    #[serde(skip_serializing_if = "Option::is_none")]
    services: Option<Vec<ServiceIntent>>,

    #[serde(skip_serializing_if = "Option::is_none")]
    model_versions: Option<Vec<ModelVersion>>,

    #[serde(skip_serializing_if = "Option::is_none")]
    adapters: Option<Vec<AdapterIntent>>,

    #[serde(skip_serializing_if = "Option::is_none")]
    customers: Option<Vec<CustomerView>>,

    #[serde(skip_serializing_if = "Option::is_none")]
    planner_weights: Option<PlannerWeights>,

    #[serde(skip_serializing_if = "Vec::is_empty")]
    drained_vms: Vec<String>,

    #[serde(skip_serializing_if = "Vec::is_empty")]
    drained_nodes: Vec<String>,
}

#[serde_as]
#[derive(Serialize)]
struct CustomerView {
    name: String,
    weight: u32,
    requests_per_second: u32,
    tokens_per_second: u32,
    services: Vec<String>,

    #[serde_as(as = "DurationMilliSeconds<u64>")]
    deadline: std::time::Duration,
}

/// Converts the reply of a node.
pub(crate) fn declared_config(reply: ListReply) -> ConvertResult<DeclaredConfig> {
    Ok(DeclaredConfig {
        version: reply.version,
        services: convert_all(reply.services)?,
        model_versions: convert_all(reply.model_versions)?,
        adapters: convert_all(reply.adapters)?,
        customers: convert_all(reply.customers)?,
    })
}

fn convert_all<M, T: TryFrom<M>>(messages: Vec<M>) -> Result<Vec<T>, T::Error> {
    messages.into_iter().map(T::try_from).collect()
}

impl DeclaredView {
    /// Creates a view of one kind of item, or of everything.
    pub(crate) fn new(reply: ListReply, kind: Option<EntityKind>) -> ConvertResult<Self> {
        let all_kinds = kind.is_none();
        let weights =
            reply.planner_weights.filter(|_| all_kinds).map(TryInto::try_into).transpose()?;
        let drained_vms = if all_kinds { reply.drained_vms.clone() } else { Vec::new() };
        let drained_nodes = if all_kinds { reply.drained_nodes.clone() } else { Vec::new() };
        let config = declared_config(reply)?;
        let includes = |shown: EntityKind| kind.is_none_or(|kind| kind == shown);
        let customers = config.customers.iter().map(CustomerView::from).collect();
        Ok(Self {
            version: config.version,
            services: includes(EntityKind::Service).then_some(config.services),
            model_versions: includes(EntityKind::ModelVersion).then_some(config.model_versions),
            adapters: includes(EntityKind::Adapter).then_some(config.adapters),
            customers: includes(EntityKind::Customer).then_some(customers),
            planner_weights: weights,
            drained_vms,
            drained_nodes,
        })
    }

    /// The view as text tables.
    pub(crate) fn text(&self) -> String {
        let tables = [
            self.services.as_deref().map(service_table),
            self.model_versions.as_deref().map(version_table),
            self.adapters.as_deref().map(adapter_table),
            self.customers.as_deref().map(customer_table),
        ];
        let mut text = format!("version {}\n", self.version);
        for table in tables.into_iter().flatten() {
            text.push_str(&format!("\n{table}"));
        }
        if let Some(weights) = &self.planner_weights {
            let (downtime, stranded) = (weights.group_downtime, weights.stranded_accelerator);
            text.push_str(&format!(
                "\nplanner weights: group downtime {downtime}, stranded accelerator {stranded}\n"
            ));
        }
        push_drained(&mut text, "VMs", &self.drained_vms);
        push_drained(&mut text, "nodes", &self.drained_nodes);
        text
    }
}

fn push_drained(text: &mut String, label: &str, names: &[String]) {
    if !names.is_empty() {
        text.push_str(&format!("drained {label}: {}\n", names.join(", ")));
    }
}

impl From<&CustomerIntent> for CustomerView {
    fn from(customer: &CustomerIntent) -> Self {
        Self {
            name: customer.name.to_string(),
            weight: customer.weight,
            requests_per_second: customer.requests_per_second,
            tokens_per_second: customer.tokens_per_second,
            services: customer.services.iter().map(ToString::to_string).collect(),
            deadline: customer.deadline,
        }
    }
}

fn service_table(services: &[ServiceIntent]) -> TextTable {
    let mut table = TextTable::new(["SERVICE", "BACKEND", "GROUPS", "RANK", "ADAPTERS"]);
    for service in services {
        let name = service.name.to_string();
        match &service.backend {
            ServiceBackend::Plain => table.push([name, "plain".to_owned()]),
            ServiceBackend::Model(model) => table.push([
                name,
                format!("{}/{}", model.model, model.version),
                model.groups.to_string(),
                model.rank.to_string(),
                joined(&model.adapters),
            ]),
        }
    }
    table
}

fn version_table(versions: &[ModelVersion]) -> TextTable {
    let mut table = TextTable::new(["MODEL", "VERSION", "VMS PER GROUP", "WEIGHT BYTES"]);
    for version in versions {
        table.push([
            version.model.to_string(),
            version.version.to_string(),
            version.vms_per_group.to_string(),
            version.weight_bytes.to_string(),
        ]);
    }
    table
}

fn adapter_table(adapters: &[AdapterIntent]) -> TextTable {
    let mut table = TextTable::new(["ADAPTER", "MODEL"]);
    for adapter in adapters {
        table.push([adapter.name.to_string(), adapter.model.to_string()]);
    }
    table
}

fn customer_table(customers: &[CustomerView]) -> TextTable {
    let mut table =
        TextTable::new(["CUSTOMER", "WEIGHT", "REQUESTS/S", "TOKENS/S", "DEADLINE MS", "SERVICES"]);
    for customer in customers {
        let services = match customer.services.is_empty() {
            true => "all".to_owned(),
            false => customer.services.join(","),
        };
        table.push([
            customer.name.clone(),
            customer.weight.to_string(),
            customer.requests_per_second.to_string(),
            customer.tokens_per_second.to_string(),
            customer.deadline.as_millis().to_string(),
            services,
        ]);
    }
    table
}

fn joined<T: ToString>(names: &[T]) -> String {
    names.iter().map(ToString::to_string).collect::<Vec<_>>().join(",")
}
