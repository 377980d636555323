//! Runs the verb of a command line.

use std::{fs, net::SocketAddr, process::ExitCode, time::Duration};

use comfreyturn_proto::{ChangeRequest, RequestedChange};
use comfreyturn_types::ConfigChange;
use compio::runtime::Runtime;
use flexi_logger::{Logger, LoggerHandle};
use serde::Serialize;

use crate::{
    CtlError, DrainKind, EntityFields, IntentFile, Result, UsageError,
    command_line::{Apply, Comfreyturnctl, ComfreyturnctlCmd, Create, Drain, Set},
    create_change, delete_change,
    explain::run_explain,
    lab::run_lab,
    load_verb::send_load,
    operator::{
        AcceptedView, ApplyOperation, DeclaredView, OperatorSession, RolloutView, StatusView,
        accepted_text, declared_config, follow, rollout_table, submit,
    },
    set_change,
    standin::run_standin,
};

/// Time for which the rollout of an accepted change is followed.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which `watch` follows a version.
const WATCH_TIMEOUT: Duration = Duration::from_secs(120);

/// Runs the command line of this process and returns its exit code.
pub fn run_command_line() -> ExitCode {
    let flags = Comfreyturnctl::from_env_or_exit();
    let _logger = start_log();
    let result = Runtime::new().map_err(CtlError::from).and_then(|runtime| {
        let verb = VerbContext { to: flags.to, json: flags.json };
        runtime.block_on(verb.run(flags.subcommand))
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("comfreyturnctl: {error}");
            error.exit_code()
        }
    }
}

/// Starts logging to standard error; `RUST_LOG` sets the level.
fn start_log() -> Option<LoggerHandle> {
    Logger::try_with_env_or_str("warn").and_then(|logger| logger.log_to_stderr().start()).ok()
}

/// The flags that all verbs share.
struct VerbContext {
    to: Option<SocketAddr>,
    json: bool,
}

impl VerbContext {
    async fn run(&self, verb: ComfreyturnctlCmd) -> Result<()> {
        match verb {
            ComfreyturnctlCmd::Apply(apply) => self.apply_file(apply).await,
            ComfreyturnctlCmd::Create(create) => self.create(create).await,
            ComfreyturnctlCmd::Set(set) => self.set(set).await,
            ComfreyturnctlCmd::Delete(delete) => {
                let change = delete_change(delete.kind, &delete.name, delete.version.as_deref())?;
                self.submit(ApplyOperation::new(vec![change])).await
            }
            ComfreyturnctlCmd::List(list) => self.list(list.kind).await,
            ComfreyturnctlCmd::Groups(groups) => {
                let service = groups.service.into();
                let change = RequestedChange::SetDeclaredGroups { service, groups: groups.count };
                self.submit_one(change).await
            }
            ComfreyturnctlCmd::Status(_) => self.status().await,
            ComfreyturnctlCmd::Drain(drain) => self.submit_one(drain_change(drain)).await,
            ComfreyturnctlCmd::Watch(watch) => self.watch(watch.version).await,
            ComfreyturnctlCmd::ConfirmGone(gone) => {
                self.submit_one(RequestedChange::ConfirmNodeGone(gone.node.into())).await
            }
            ComfreyturnctlCmd::Standin(standin) => run_standin(standin.subcommand).await,
            ComfreyturnctlCmd::Explain(explain) => run_explain(&explain),
            ComfreyturnctlCmd::Lab(lab) => run_lab(lab).await,
            ComfreyturnctlCmd::Load(load) => send_load(self.node_address()?, self.json, load).await,
        }
    }

    /// The node's address, from the flag `--to`.
    fn node_address(&self) -> Result<SocketAddr> {
        Ok(self.to.ok_or(UsageError::Missing { flag: "--to" })?)
    }

    async fn apply_file(&self, apply: Apply) -> Result<()> {
        let text = fs::read_to_string(&apply.file)
            .map_err(|source| CtlError::Unreadable { file: apply.file.clone(), source })?;
        let intent = IntentFile::parse(&apply.file.display().to_string(), &text)?;
        let mut operation = ApplyOperation::new(intent.changes());
        if let Some(operation_id) = apply.operation_id {
            operation.operation_id = operation_id;
        }
        self.submit(operation).await
    }

    async fn create(&self, create: Create) -> Result<()> {
        let (kind, name) = (create.kind, create.name.clone());
        let change = create_change(kind, &name, &create.into())?;
        self.submit(ApplyOperation::new(vec![change])).await
    }

    /// Reads the declared configuration and submits a change that applies to that version only.
    async fn set(&self, set: Set) -> Result<()> {
        let (kind, name) = (set.kind, set.name.clone());
        let fields = EntityFields::from(set);
        fields.check_kind(kind)?;
        let address = self.node_address()?;
        let reply = OperatorSession::connect(address).await?.list().await?;
        let declared = declared_config(reply).map_err(|error| CtlError::Refused {
            subject: error.subject,
            reason: error.fault.to_string(),
        })?;
        let Some(change) = set_change(kind, &name, &fields, &declared)? else {
            return Err(CtlError::NotFound { subject: format!("{kind} {name}") });
        };
        let mut operation = ApplyOperation::new(vec![change]);
        operation.expected_version = declared.version;
        self.submit(operation).await
    }

    async fn submit_one(&self, change: RequestedChange) -> Result<()> {
        self.submit(ApplyOperation::new(vec![ChangeRequest::unconditional(change)])).await
    }

    /// Submits changes and prints their rollout. Accepted changes come into force within seconds
    /// whether or not the rollout is watched, so failing to watch it is not an error.
    async fn submit(&self, operation: ApplyOperation) -> Result<()> {
        let address = self.node_address()?;
        let accepted = submit(address, &operation).await?;
        let rollout = follow(address, accepted.version, ROLLOUT_TIMEOUT).await.ok();
        self.print(&AcceptedView::new(&accepted, rollout.as_ref()), || {
            accepted_text(&accepted, rollout.as_ref())
        });
        Ok(())
    }

    async fn list(&self, kind: Option<crate::EntityKind>) -> Result<()> {
        let reply = OperatorSession::connect(self.node_address()?).await?.list().await?;
        let view = DeclaredView::new(reply, kind).map_err(|error| CtlError::Refused {
            subject: error.subject,
            reason: error.fault.to_string(),
        })?;
        self.print(&view, || view.text());
        Ok(())
    }

    async fn status(&self) -> Result<()> {
        let reply = OperatorSession::connect(self.node_address()?).await?.status().await?;
        let view = StatusView::from(reply);
        self.print(&view, || view.text());
        Ok(())
    }

    async fn watch(&self, version: u64) -> Result<()> {
        let rollout = follow(self.node_address()?, version, WATCH_TIMEOUT).await?;
        self.print(&RolloutView::from(&rollout), || rollout_table(&rollout).to_string());
        match rollout.in_force_everywhere {
            true => Ok(()),
            false => Err(CtlError::NotInForce { version }),
        }
    }

    fn print<T: Serialize>(&self, view: &T, text: impl FnOnce() -> String) {
        match self.json {
            true => print_json(view),
            false => print!("{}", text()),
        }
    }
}

/// Prints a value as one line of JSON.
pub(crate) fn print_json<T: Serialize>(view: &T) {
    match serde_json::to_string(view) {
        Ok(line) => println!("{line}"),
        Err(error) => log::error!("ctl: cannot write the output as JSON: {error}."),
    }
}

fn drain_change(drain: Drain) -> RequestedChange {
    let drained = !drain.undo;
    RequestedChange::Config(match drain.kind {
        DrainKind::Node => ConfigChange::SetNodeDrained { node: drain.name.into(), drained },
        DrainKind::Vm => ConfigChange::SetVmDrained { vm: drain.name.into(), drained },
    })
}

/// Converts the flags of `create` and `set`, which are the same, to [`EntityFields`].
macro_rules! entity_fields_from {
    ($verb:ident) => {
        impl From<$verb> for EntityFields {
            fn from(flags: $verb) -> Self {
                Self {
                    version: flags.version,
                    model: flags.model,
                    model_version: flags.model_version,
                    adapters: flags.adapter,
                    groups: flags.groups,
                    rank: flags.rank,
                    plain: flags.plain,
                    vms_per_group: flags.vms_per_group,
                    weight_bytes: flags.weight_bytes,
                    key: flags.key,
                    weight: flags.weight,
                    requests_per_second: flags.requests_per_second,
                    tokens_per_second: flags.tokens_per_second,
                    services: flags.service,
                    deadline_ms: flags.deadline_ms,
                }
            }
        }
    };
}

entity_fields_from!(Create);
entity_fields_from!(Set);
