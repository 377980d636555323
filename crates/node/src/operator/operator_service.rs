//! The remote procedure calls of operators.

use std::{collections::BTreeSet, pin::Pin, rc::Rc, time::Duration};

use comfreyturn_control::{ApplyCommand, ApplyError, ChangePrecondition, NodeControl};
use comfreyturn_ports::Clock;
use comfreyturn_proto::{
    ChangeRequest, Precondition, RequestedChange,
    operator::{
        Accepted, ApplyReply, ApplyRequest, Conflict, Invalid, ListReply, ListRequest, Pending,
        Rollout, StatusReply, StatusRequest, Unavailable, WatchRequest,
        apply_reply::Result as ApplyOutcome, operator_server::Operator,
    },
};
use comfreyturn_types::{
    ConfigChange, ConfigVersion, NodeId, OperationId, ServiceBackend, ServiceName,
};
use futures_util::{Stream, stream};
use send_wrapper::SendWrapper;
use tonic::{Request, Response, Status};

use super::operator_lists::{list_reply, rollout, status_reply};

/// Interval between two rollout updates of a watch.
const ROLLOUT_PERIOD: Duration = Duration::from_millis(200);

type RolloutStream = Pin<Box<dyn Stream<Item = Result<Rollout, Status>> + Send>>;

/// Answers calls of operators. `SendWrapper` panics if it is used on another thread; all
/// connections of a node stay on one thread.
#[derive(Clone)]
pub struct OperatorService {
    inner: SendWrapper<Rc<OperatorParts>>,
}

struct OperatorParts {
    control: Rc<NodeControl>,
    clock: Rc<dyn Clock>,
}

impl OperatorService {
    /// Creates a service for a node's control state.
    pub fn new(control: Rc<NodeControl>, clock: Rc<dyn Clock>) -> Self {
        Self { inner: SendWrapper::new(Rc::new(OperatorParts { control, clock })) }
    }
}

#[tonic::async_trait]
impl Operator for OperatorService {
    type WatchStream = RolloutStream;

    async fn apply(&self, request: Request<ApplyRequest>) -> Result<Response<ApplyReply>, Status> {
        let parts = (*self.inner).clone();
        let outcome = SendWrapper::new(async move { parts.apply(request.into_inner()).await });
        Ok(Response::new(ApplyReply { result: Some(outcome.await) }))
    }

    async fn watch(
        &self,
        request: Request<WatchRequest>,
    ) -> Result<Response<RolloutStream>, Status> {
        let parts = (*self.inner).clone();
        let version = ConfigVersion(request.into_inner().version);
        let rollouts = stream::unfold(Some((parts, true)), move |state| async move {
            let (parts, first) = state?;
            if !first {
                parts.clock.sleep(ROLLOUT_PERIOD).await;
            }
            let rollout = rollout(&parts.control, parts.clock.now(), version);
            let next_state = (!rollout.in_force_everywhere).then_some((parts, false));
            Some((Ok(rollout), next_state))
        });
        Ok(Response::new(Box::pin(SendWrapper::new(Box::pin(rollouts)))))
    }

    async fn list(&self, _request: Request<ListRequest>) -> Result<Response<ListReply>, Status> {
        Ok(Response::new(list_reply(&self.inner.control.config())))
    }

    async fn status(
        &self,
        _request: Request<StatusRequest>,
    ) -> Result<Response<StatusReply>, Status> {
        let now = self.inner.clock.now();
        Ok(Response::new(status_reply(&self.inner.control, now)))
    }
}

impl OperatorParts {
    async fn apply(&self, request: ApplyRequest) -> ApplyOutcome {
        let operation = match request.operation_id.as_str() {
            "" => OperationId::from(format!("{:016x}", rand::random::<u64>())),
            id => OperationId::from(id),
        };
        let command = match self.command(operation.clone(), request) {
            Ok(command) => command,
            Err(invalid) => return ApplyOutcome::Invalid(invalid),
        };
        match self.control.apply(command).await {
            Ok(version) => ApplyOutcome::Accepted(Accepted {
                version: version.0,
                operation_id: operation.to_string(),
            }),
            Err(error) => error_outcome(error),
        }
    }

    fn command(
        &self,
        operation: OperationId,
        request: ApplyRequest,
    ) -> Result<ApplyCommand, Invalid> {
        let mut changes = Vec::new();
        let mut gone_nodes = BTreeSet::new();
        for change in request.changes {
            let change = ChangeRequest::try_from(change).map_err(|error| Invalid {
                subject: error.subject,
                reason: error.fault.to_string(),
            })?;
            let precondition = precondition(change.precondition);
            match change.change {
                RequestedChange::Config(change) => changes.push((precondition, change)),
                RequestedChange::ConfirmNodeGone(node) => {
                    changes.push((precondition, self.leave_roster(&node)?));
                    gone_nodes.insert(node);
                }
                RequestedChange::SetDeclaredGroups { service, groups } => {
                    changes.push((precondition, self.declared_groups(&service, groups)?));
                }
            }
        }
        let expected = (request.expected_version > 0).then_some(request.expected_version);
        let expected = expected.map(ConfigVersion);
        Ok(ApplyCommand { operation, expected, changes, gone_nodes })
    }

    fn leave_roster(&self, node: &NodeId) -> Result<ConfigChange, Invalid> {
        let config = self.control.config();
        let member = config.roster.current.members.get(node).ok_or_else(|| Invalid {
            subject: format!("node {node}"),
            reason: "is not on the roster".to_owned(),
        })?;
        let incarnation = member.incarnation;
        Ok(ConfigChange::LeaveRoster { node: node.clone(), incarnation })
    }

    fn declared_groups(&self, name: &ServiceName, groups: u32) -> Result<ConfigChange, Invalid> {
        let config = self.control.config();
        let invalid = |reason: &str| Invalid {
            subject: format!("service {name}"),
            reason: reason.to_owned(),
        };
        let mut service =
            config.services.get(name).cloned().ok_or_else(|| invalid("does not exist"))?;
        let ServiceBackend::Model(backend) = &mut service.backend else {
            return Err(invalid("is a plain service and has no groups"));
        };
        backend.groups = groups;
        Ok(ConfigChange::PutService(service))
    }
}

fn precondition(precondition: Precondition) -> ChangePrecondition {
    match precondition {
        Precondition::Any => ChangePrecondition::Any,
        Precondition::Absent => ChangePrecondition::Absent,
        Precondition::Present => ChangePrecondition::Present,
    }
}

fn error_outcome(error: ApplyError) -> ApplyOutcome {
    match error {
        ApplyError::Conflict { current, subject } => {
            ApplyOutcome::Conflict(Conflict { current_version: current.0, subject })
        }
        ApplyError::Invalid { subject, reason } => {
            ApplyOutcome::Invalid(Invalid { subject, reason: reason.to_string() })
        }
        ApplyError::Unavailable { reason, retry_after } => ApplyOutcome::Unavailable(Unavailable {
            reason: reason.to_string(),
            retry_after_ms: whole_millis(retry_after),
        }),
        ApplyError::Pending { version, operation, retry_after } => ApplyOutcome::Pending(Pending {
            version: version.0,
            operation_id: operation.to_string(),
            retry_after_ms: whole_millis(retry_after),
        }),
    }
}

fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
