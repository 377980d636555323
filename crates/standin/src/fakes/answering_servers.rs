//! Backend servers that answer every request, for tests with several nodes.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use async_trait::async_trait;
use bytes::Bytes;
use comfreyturn_ports::{
    Clock, LinkResult, ServerAnswer, ServerCall, ServerLink, ServerNotice, ServerReply,
};
use comfreyturn_types::{NodeId, RequestRate, ServerLife, VmId};
use http::{HeaderMap, StatusCode};

/// Time from a request's arrival to its answer.
const ANSWER_DELAY: Duration = Duration::from_millis(50);

/// A request that arrived at a server.
#[derive(Clone, Debug)]
pub struct ServerArrival {
    /// The server.
    pub life: ServerLife,

    /// The node that sent it.
    pub node: NodeId,

    /// When it arrived, by the clock of that node.
    pub at: Instant,
}

/// Backend servers that answer every request with an empty body. Clones share them.
#[derive(Clone, Default)]
pub struct AnsweringServers {
    state: Rc<ServersState>,
}

#[derive(Default)]
struct ServersState {
    arrivals: RefCell<Vec<ServerArrival>>,
    rate_limits: RefCell<HashMap<VmId, RequestRate>>,
}

impl AnsweringServers {
    /// The servers as a node reaches them.
    pub fn for_node(&self, node: &NodeId, clock: Rc<dyn Clock>) -> Rc<dyn ServerLink> {
        Rc::new(AnsweringLink { state: self.state.clone(), node: node.clone(), clock })
    }

    /// Makes a server state a rate limit in its answers, or none any more.
    pub fn set_rate_limit(&self, vm: &str, limit: Option<RequestRate>) {
        let mut limits = self.state.rate_limits.borrow_mut();
        match limit {
            Some(limit) => limits.insert(VmId::from(vm), limit),
            None => limits.remove(&VmId::from(vm)),
        };
    }

    /// The requests that arrived, in order.
    pub fn arrivals(&self) -> Vec<ServerArrival> {
        self.state.arrivals.borrow().clone()
    }
}

struct AnsweringLink {
    state: Rc<ServersState>,
    node: NodeId,
    clock: Rc<dyn Clock>,
}

#[async_trait(?Send)]
impl ServerLink for AnsweringLink {
    async fn send(&self, call: &ServerCall) -> ServerReply {
        let at = self.clock.now();
        let arrival = ServerArrival { life: call.life.clone(), node: self.node.clone(), at };
        self.state.arrivals.borrow_mut().push(arrival);
        self.clock.sleep(ANSWER_DELAY).await;
        let rate_limit = self.state.rate_limits.borrow().get(&call.life.vm).copied();
        ServerReply {
            notice: Some(ServerNotice { rate_limit }),
            answer: Ok(Box::new(EmptyAnswer { headers: HeaderMap::new() })),
        }
    }
}

struct EmptyAnswer {
    headers: HeaderMap,
}

#[async_trait(?Send)]
impl ServerAnswer for EmptyAnswer {
    fn status(&self) -> StatusCode {
        StatusCode::OK
    }

    fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    async fn chunk(&mut self) -> LinkResult<Option<Bytes>> {
        Ok(None)
    }
}
