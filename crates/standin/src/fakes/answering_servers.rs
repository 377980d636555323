//! Backend servers that answer every request, for tests with several nodes.

use std::{
    any::Any,
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use async_trait::async_trait;
use bytes::Bytes;
use comfreyturn_ports::{
    Clock, LinkError, LinkResult, ServerAnswer, ServerCall, ServerLink, ServerNotice, ServerReply,
};
use comfreyturn_types::{NodeId, RequestId, RequestRate, ServerLife, VmId};
use http::{HeaderMap, HeaderName, StatusCode};

use super::{
    ServerPlaces, WaitAsked,
    waiting_rules::{PlaceGuard, WaitingRules},
};

/// A request with this header crashes the server that begins to answer it.
pub const CRASH_HEADER: HeaderName = HeaderName::from_static("x-crash");

/// The number of events of the answer to a request, if it differs from that of the others.
pub const EVENTS_HEADER: HeaderName = HeaderName::from_static("x-events");

/// Time from a request's arrival until the server begins to answer.
const START_DELAY: Duration = Duration::from_millis(50);

/// Time between two events of an answer.
pub const EVENT_PAUSE: Duration = Duration::from_millis(40);

/// Time from the beginning of an answer until the server crashes.
const CRASH_DELAY: Duration = Duration::from_millis(50);

/// Time after which a crashed server's address refuses a connection.
const REFUSAL_DELAY: Duration = Duration::from_millis(2);

/// Time from a request's arrival until a server turns it away.
const TURN_AWAY_DELAY: Duration = Duration::from_millis(5);

/// Time after which a node without a path to the servers gives up opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// A request that arrived at a server.
#[derive(Clone, Debug)]
pub struct ServerArrival {
    /// The request.
    pub request: RequestId,

    /// The server.
    pub life: ServerLife,

    /// The node that sent it.
    pub node: NodeId,

    /// The node whose connection the server saw: the sender, or the one that helped it.
    pub seen: NodeId,

    /// When it arrived, by the clock of that node.
    pub at: Instant,

    /// Whether it crashes the server.
    pub crashes: bool,
}

/// How a node opens connections to servers for other nodes.
pub trait TunnelHelper {
    /// Whether it opens one now. The connection lasts until the permit is dropped.
    fn admit(&self, server: SocketAddr) -> Option<Box<dyn Any>>;

    /// A server answers over such a connection, and asks this of the node.
    fn answered(&self, server: SocketAddr, notice: ServerNotice);
}

/// A node through which others may reach the servers.
#[derive(Clone)]
struct HelperNode {
    node: NodeId,
    tunnels: Rc<dyn TunnelHelper>,
}

/// Backend servers that answer every request with the same number of events. Clones share them.
#[derive(Clone, Default)]
pub struct AnsweringServers {
    state: Rc<ServersState>,
}

#[derive(Default)]
struct ServersState {
    arrivals: RefCell<Vec<ServerArrival>>,
    rate_limits: RefCell<HashMap<VmId, RequestRate>>,

    /// Until when servers say that they are cold.
    cold: RefCell<HashMap<ServerLife, Instant>>,

    /// Until when servers answer nothing.
    frozen: RefCell<HashMap<ServerLife, Instant>>,

    /// Servers that say that they are leaving.
    leaving: RefCell<HashSet<ServerLife>>,
    events: Cell<u32>,

    /// When servers crashed, in order.
    crashes: RefCell<Vec<(ServerLife, Instant)>>,
    crashed: RefCell<HashSet<ServerLife>>,

    /// Nodes that have no path to any server, with their addresses for other nodes.
    cut: RefCell<HashMap<NodeId, SocketAddr>>,

    /// Nodes that help others, by their addresses for other nodes.
    helpers: RefCell<HashMap<SocketAddr, HelperNode>>,
    waiting: WaitingRules,
}

impl ServersState {
    fn crash(&self, now: Instant, life: &ServerLife) {
        if self.crashed.borrow_mut().insert(life.clone()) {
            self.crashes.borrow_mut().push((life.clone(), now));
        }
    }

    fn is_crashed(&self, life: &ServerLife) -> bool {
        self.crashed.borrow().contains(life)
    }

    /// What a server asks for in each of its answers.
    fn notice(&self, now: Instant, life: &ServerLife) -> ServerNotice {
        let cold_until = self.cold.borrow().get(life).copied();
        ServerNotice {
            cold_left: cold_until.map(|until| until.saturating_duration_since(now)),
            rate_limit: self.rate_limits.borrow().get(&life.vm).copied(),
            is_leaving: self.leaving.borrow().contains(life),
            ..ServerNotice::default()
        }
    }
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

    /// Makes a server answer nothing until some time.
    pub fn freeze(&self, life: &ServerLife, until: Instant) {
        self.state.frozen.borrow_mut().insert(life.clone(), until);
    }

    /// Makes a server say in its answers that it is cold until some time.
    pub fn set_cold(&self, life: &ServerLife, until: Instant) {
        self.state.cold.borrow_mut().insert(life.clone(), until);
    }

    /// Makes a server say in its answers that it is leaving, or no more.
    pub fn set_leaving(&self, life: &ServerLife, is_leaving: bool) {
        let mut leaving = self.state.leaving.borrow_mut();
        if is_leaving {
            leaving.insert(life.clone());
        } else {
            leaving.remove(life);
        }
    }

    /// Cuts a node's paths to all servers, or mends them.
    pub fn set_cut(&self, node: &NodeId, address: SocketAddr, is_cut: bool) {
        let mut cut = self.state.cut.borrow_mut();
        if is_cut {
            cut.insert(node.clone(), address);
        } else {
            cut.remove(node);
        }
    }

    /// Makes a node open connections for others.
    pub fn add_helper(&self, node: &NodeId, address: SocketAddr, tunnels: Rc<dyn TunnelHelper>) {
        let helper = HelperNode { node: node.clone(), tunnels };
        self.state.helpers.borrow_mut().insert(address, helper);
    }

    /// Makes a server turn all requests away until some time, and ask each node to wait.
    pub fn turn_away(&self, life: &ServerLife, wait: Duration, until: Instant) {
        self.state.waiting.turn_away(life, wait, until);
    }

    /// Makes a server turn requests away while its places are taken.
    pub fn set_places(&self, vm: &str, places: ServerPlaces) {
        self.state.waiting.set_places(VmId::from(vm), places);
    }

    /// The answers by which servers asked a node to wait, in order.
    pub fn asked(&self) -> Vec<WaitAsked> {
        self.state.waiting.asked()
    }

    /// Crashes a server.
    pub fn crash(&self, now: Instant, life: &ServerLife) {
        self.state.crash(now, life);
    }

    /// Sets the number of events of each answer; answers are empty at first.
    pub fn set_events(&self, events: u32) {
        self.state.events.set(events);
    }

    /// The requests that arrived, in order.
    pub fn arrivals(&self) -> Vec<ServerArrival> {
        self.state.arrivals.borrow().clone()
    }

    /// The servers that crashed, and when, in order.
    pub fn crashes(&self) -> Vec<(ServerLife, Instant)> {
        self.state.crashes.borrow().clone()
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
        let Self { state, node, clock } = self;
        let is_cut = match call.helper {
            Some(helper) => state.cut.borrow().values().any(|cut| *cut == helper),
            None => state.cut.borrow().contains_key(node),
        };
        if is_cut {
            let is_direct = call.helper.is_none();
            clock.sleep(if is_direct { CONNECT_TIMEOUT } else { REFUSAL_DELAY }).await;
            return LinkError::NotSent.into();
        }
        if state.is_crashed(&call.life) {
            clock.sleep(REFUSAL_DELAY).await;
            return LinkError::NotSent.into();
        }
        let helper = call.helper.and_then(|helper| state.helpers.borrow().get(&helper).cloned());
        let seen = helper.as_ref().map_or(node, |helper| &helper.node).clone();
        let tunnels = helper.map(|helper| helper.tunnels);
        let mut permit = None;
        if let Some(tunnels) = &tunnels {
            permit = tunnels.admit(call.address);
            if permit.is_none() {
                clock.sleep(REFUSAL_DELAY).await;
                return LinkError::NotSent.into();
            }
        }
        let answered = |reply: ServerReply| {
            if let (Some(tunnels), Some(notice)) = (&tunnels, reply.notice) {
                tunnels.answered(call.address, notice);
            }
            reply
        };
        let crashes = call.headers.contains_key(&CRASH_HEADER);
        let (life, at) = (call.life.clone(), clock.now());
        state.arrivals.borrow_mut().push(ServerArrival {
            request: call.request.clone(),
            life: life.clone(),
            node: node.clone(),
            seen: seen.clone(),
            at,
            crashes,
        });
        let place = match state.waiting.take_place(at, &life) {
            Ok(place) => place,
            Err(wait) => {
                return answered(self.turned_away(life, seen, wait).await);
            }
        };
        let frozen_until = state.frozen.borrow().get(&life).copied();
        if let Some(until) = frozen_until.filter(|until| *until > at) {
            clock.sleep(until.saturating_duration_since(at)).await;
        }
        clock.sleep(START_DELAY).await;
        if state.is_crashed(&life) {
            return LinkError::Broken.into();
        }
        let notice = state.notice(clock.now(), &life);
        let answer = EventAnswer {
            state: state.clone(),
            clock: clock.clone(),
            life,
            headers: HeaderMap::new(),
            events: stated_events(&call.headers).unwrap_or(state.events.get()),
            sent: call.resume_after.as_deref().and_then(|id| id.parse().ok()).unwrap_or_default(),
            crashes_at: crashes.then(|| clock.now() + CRASH_DELAY),
            _place: place,
            _tunnel: permit,
        };
        answered(ServerReply { notice: Some(notice), answer: Ok(Box::new(answer)) })
    }
}

impl AnsweringLink {
    /// The answer of a server that turns a request away.
    async fn turned_away(&self, life: ServerLife, seen: NodeId, wait: Duration) -> ServerReply {
        let Self { state, clock, .. } = self;
        clock.sleep(TURN_AWAY_DELAY).await;
        if state.is_crashed(&life) {
            return LinkError::Broken.into();
        }
        let notice =
            ServerNotice { wait: Some(wait), is_refusal: true, ..state.notice(clock.now(), &life) };
        state.waiting.record_asked(WaitAsked { life, seen, at: clock.now(), wait });
        ServerReply { notice: Some(notice), answer: Err(LinkError::NotRun) }
    }
}

fn stated_events(headers: &HeaderMap) -> Option<u32> {
    headers.get(EVENTS_HEADER)?.to_str().ok()?.parse().ok()
}

struct EventAnswer {
    state: Rc<ServersState>,
    clock: Rc<dyn Clock>,
    life: ServerLife,
    headers: HeaderMap,

    /// Events of the whole answer.
    events: u32,

    /// Events sent so far, here or at the server where the stream began.
    sent: u32,
    crashes_at: Option<Instant>,
    _place: PlaceGuard,

    /// The permit of the node that helps.
    _tunnel: Option<Box<dyn Any>>,
}

#[async_trait(?Send)]
impl ServerAnswer for EventAnswer {
    fn status(&self) -> StatusCode {
        StatusCode::OK
    }

    fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    fn is_delimited(&self) -> bool {
        true
    }

    async fn chunk(&mut self) -> LinkResult<Option<Bytes>> {
        if self.sent >= self.events {
            return Ok(None);
        }
        let frozen_until = self.state.frozen.borrow().get(&self.life).copied();
        if let Some(until) = frozen_until {
            self.clock.sleep(until.saturating_duration_since(self.clock.now())).await;
        }
        let next_at = self.clock.now() + EVENT_PAUSE;
        if let Some(crashes_at) = self.crashes_at.filter(|at| *at <= next_at) {
            let left = crashes_at.saturating_duration_since(self.clock.now());
            self.clock.sleep(left).await;
            self.state.crash(self.clock.now(), &self.life);
        } else {
            self.clock.sleep(EVENT_PAUSE).await;
        }
        if self.state.is_crashed(&self.life) {
            return Err(LinkError::Broken);
        }
        self.sent += 1;
        Ok(Some(Bytes::from(format!("id: {}\ndata: x\n\n", self.sent))))
    }
}
