//! The rows of the table that store the configuration.

use std::collections::BTreeMap;

use comfreyturn_policy::{ConfigState, RosterState};
use comfreyturn_ports::{
    CommitOutcome, RowCheck, RowKey, RowWrite, Step, TableError, TableResult, TableRow,
    TableTransaction,
};
use comfreyturn_types::{
    AdapterIntent, ConfigChange, ConfigEntry, ConfigVersion, CustomerIntent, ModelVersion, NodeId,
    OperationId, PlannerWeights, RowVersion, ServiceIntent, VmId,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{RowKeys, timed_ports::TimedPorts};

/// The rows that a change depends on, read at one point in time.
#[derive(Clone, Debug)]
pub(crate) struct ConfigSnapshot {
    /// The newest version.
    pub(crate) head: ConfigVersion,

    /// The version of the newest confirmed roster change.
    pub(crate) confirmed: ConfigVersion,

    /// The version that the operation created, if it was applied before.
    pub(crate) applied: Option<ConfigVersion>,

    head_row: RowVersion,
    confirmed_row: RowVersion,
    expired: Option<ConfigEntry>,
}

/// The stored result of an operation.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct OperationResult {
    version: ConfigVersion,
}

/// One declared entity, stored in its own row. All rows together are the whole configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum ConfigEntity {
    Version(ConfigVersion),
    Service(ServiceIntent),
    ModelVersion(ModelVersion),
    Adapter(AdapterIntent),
    Customer(CustomerIntent),
    PlannerWeights(PlannerWeights),
    DrainedVm(VmId),
    DrainedNode(NodeId),
    Roster(RosterState),
}

/// Reads and writes the rows of the configuration.
pub(crate) struct ConfigStore {
    ports: TimedPorts,
    keys: RowKeys,
    kept_entries: u64,
}

impl ConfigStore {
    pub(crate) fn new(ports: TimedPorts, keys: RowKeys, kept_entries: u64) -> Self {
        Self { ports, keys, kept_entries }
    }

    /// Reads the newest version, and the version of the newest confirmed roster change.
    pub(crate) async fn read_head(&self) -> TableResult<(ConfigVersion, ConfigVersion)> {
        let keys = [self.keys.head(), self.keys.roster_confirmed()];
        let rows = self.ports.read(Step::ConfigReadHead, &keys).await?;
        Ok((version_row(&rows, 0)?.1, version_row(&rows, 1)?.1))
    }

    /// Reads the rows that a change by `operation` on top of version `known` depends on.
    pub(crate) async fn read_snapshot(
        &self,
        step: Step,
        operation: &OperationId,
        known: ConfigVersion,
    ) -> TableResult<ConfigSnapshot> {
        let expired = ConfigVersion((known.0 + 1).saturating_sub(self.kept_entries));
        let keys = [
            self.keys.head(),
            self.keys.roster_confirmed(),
            self.keys.operation(operation),
            self.keys.entry(expired),
        ];
        let rows = self.ports.read(step, &keys).await?;
        let (head_row, head) = version_row(&rows, 0)?;
        let (confirmed_row, confirmed) = version_row(&rows, 1)?;
        let applied: Option<OperationResult> = parse_row(&rows, 2)?;
        let applied = applied.map(|result| result.version);
        let expired = parse_row(&rows, 3)?;
        Ok(ConfigSnapshot { head, confirmed, applied, head_row, confirmed_row, expired })
    }

    /// Reads the whole configuration at one point in time. `None` if none was ever written.
    pub(crate) async fn load(&self) -> TableResult<Option<ConfigState>> {
        let rows = self.ports.scan(Step::ConfigReadEntries, &self.keys.entities()).await?;
        if rows.is_empty() {
            return Ok(None);
        }
        let mut state = ConfigState::default();
        for (_, row) in &rows {
            add_entity(&mut state, parse(&row.value)?);
        }
        if state.version == ConfigVersion::default() {
            return Err(TableError::Malformed);
        }
        Ok(Some(state))
    }

    /// Reads the entries after `known` up to `head`. Empty if some of them were already deleted.
    pub(crate) async fn read_entries(
        &self,
        known: ConfigVersion,
        head: ConfigVersion,
    ) -> TableResult<Vec<ConfigEntry>> {
        let versions: Vec<ConfigVersion> = (known.0 + 1..=head.0).map(ConfigVersion).collect();
        let keys: Vec<RowKey> = versions.iter().map(|version| self.keys.entry(*version)).collect();
        let rows = self.ports.read(Step::ConfigReadEntries, &keys).await?;
        let rows: Option<Vec<TableRow>> = rows.into_iter().collect();
        rows.unwrap_or_default().iter().map(|row| parse(&row.value)).collect()
    }

    /// Writes the entry that turns `before`, the newest version in `snapshot`, into `after`.
    /// Also deletes the entry that expires, and the result of its operation.
    pub(crate) async fn commit(
        &self,
        snapshot: &ConfigSnapshot,
        before: &ConfigState,
        after: &ConfigState,
        entry: &ConfigEntry,
    ) -> TableResult<CommitOutcome> {
        let mut checks = vec![
            RowCheck { key: self.keys.head(), version: snapshot.head_row },
            RowCheck { key: self.keys.operation(&entry.operation), version: RowVersion::default() },
        ];
        if entry.changes.iter().any(ConfigChange::changes_roster) {
            let key = self.keys.roster_confirmed();
            checks.push(RowCheck { key, version: snapshot.confirmed_row });
        }
        let result = OperationResult { version: entry.version };
        let mut writes = vec![
            row_write(self.keys.head(), &entry.version),
            row_write(self.keys.entry(entry.version), entry),
            row_write(self.keys.operation(&entry.operation), &result),
        ];
        writes.extend(self.entity_writes(before, after));
        if let Some(expired) = &snapshot.expired {
            writes.push(RowWrite { key: self.keys.entry(expired.version), value: None });
            writes.push(RowWrite { key: self.keys.operation(&expired.operation), value: None });
        }
        self.ports.commit(Step::ConfigCommit, TableTransaction { checks, writes }).await
    }

    /// Records that a roster change is confirmed.
    pub(crate) async fn confirm_roster(&self, version: ConfigVersion) -> TableResult<()> {
        let keys = [self.keys.roster_confirmed()];
        let rows = self.ports.read(Step::RosterConfirm, &keys).await?;
        let (row, confirmed) = version_row(&rows, 0)?;
        if confirmed >= version {
            return Ok(());
        }
        let [key] = keys;
        let checks = vec![RowCheck { key: key.clone(), version: row }];
        let writes = vec![row_write(key, &version)];
        match self.ports.commit(Step::RosterConfirm, TableTransaction { checks, writes }).await? {
            CommitOutcome::Committed => Ok(()),
            CommitOutcome::Conflict(_) => Err(TableError::NoAnswer),
        }
    }

    /// The writes that turn the rows of `before` into those of `after`.
    fn entity_writes(&self, before: &ConfigState, after: &ConfigState) -> Vec<RowWrite> {
        let before = entities_of(before);
        let after = entities_of(after);
        let removed = before.keys().filter(|path| !after.contains_key(*path));
        let removed = removed.map(|path| RowWrite { key: self.keys.entity(path), value: None });
        let changed = after.iter().filter(|(path, value)| before.get(*path) != Some(value));
        let changed = changed.map(|(path, value)| RowWrite {
            key: self.keys.entity(path),
            value: Some(value.clone()),
        });
        removed.chain(changed).collect()
    }
}

fn entities_of(state: &ConfigState) -> BTreeMap<String, String> {
    let mut entities = BTreeMap::new();
    let mut put = |path: String, entity: ConfigEntity| {
        entities.insert(path, json(&entity));
    };
    put("version".to_owned(), ConfigEntity::Version(state.version));
    put("roster".to_owned(), ConfigEntity::Roster(state.roster.clone()));
    put("weights".to_owned(), ConfigEntity::PlannerWeights(state.planner_weights));
    for (name, service) in &state.services {
        put(format!("service/{name}"), ConfigEntity::Service(service.clone()));
    }
    for ((model, version), value) in &state.model_versions {
        put(format!("model/{model}/{version}"), ConfigEntity::ModelVersion(value.clone()));
    }
    for (name, adapter) in &state.adapters {
        put(format!("adapter/{name}"), ConfigEntity::Adapter(adapter.clone()));
    }
    for (name, customer) in &state.customers {
        put(format!("customer/{name}"), ConfigEntity::Customer(customer.clone()));
    }
    for vm in &state.drained_vms {
        put(format!("drained-vm/{vm}"), ConfigEntity::DrainedVm(vm.clone()));
    }
    for node in &state.drained_nodes {
        put(format!("drained-node/{node}"), ConfigEntity::DrainedNode(node.clone()));
    }
    entities
}

fn add_entity(state: &mut ConfigState, entity: ConfigEntity) {
    match entity {
        ConfigEntity::Version(version) => state.version = version,
        ConfigEntity::Roster(roster) => state.roster = roster,
        ConfigEntity::PlannerWeights(weights) => state.planner_weights = weights,
        ConfigEntity::Service(service) => {
            state.services.insert(service.name.clone(), service);
        }
        ConfigEntity::ModelVersion(version) => {
            let key = (version.model.clone(), version.version.clone());
            state.model_versions.insert(key, version);
        }
        ConfigEntity::Adapter(adapter) => {
            state.adapters.insert(adapter.name.clone(), adapter);
        }
        ConfigEntity::Customer(customer) => {
            state.customers.insert(customer.name.clone(), customer);
        }
        ConfigEntity::DrainedVm(vm) => {
            state.drained_vms.insert(vm);
        }
        ConfigEntity::DrainedNode(node) => {
            state.drained_nodes.insert(node);
        }
    }
}

/// Parses a row that holds a configuration version. Returns it after the version of the row itself;
/// both are zero if the row is absent.
fn version_row(
    rows: &[Option<TableRow>],
    index: usize,
) -> TableResult<(RowVersion, ConfigVersion)> {
    let Some(row) = rows.get(index).and_then(Option::as_ref) else {
        return Ok((RowVersion::default(), ConfigVersion::default()));
    };
    Ok((row.version, parse(&row.value)?))
}

fn parse_row<T: DeserializeOwned>(
    rows: &[Option<TableRow>],
    index: usize,
) -> TableResult<Option<T>> {
    rows.get(index).and_then(Option::as_ref).map(|row| parse(&row.value)).transpose()
}

/// Parses the value of a row.
pub(crate) fn parse<T: DeserializeOwned>(value: &str) -> TableResult<T> {
    serde_json::from_str(value).map_err(|error| {
        log::error!("table: malformed row: {error}.");
        TableError::Malformed
    })
}

/// Serializes the value of a row.
pub(crate) fn json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("plain data with string keys is always valid JSON")
}

/// A write that sets a row to `value`.
pub(crate) fn row_write<T: Serialize>(key: RowKey, value: &T) -> RowWrite {
    RowWrite { key, value: Some(json(value)) }
}
