//! Backend servers that answer requests according to a script.

use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use async_trait::async_trait;
use bytes::Bytes;
use comfreyturn_ports::{
    Clock, LinkError, LinkResult, ServerAnswer, ServerCall, ServerLink, ServerNotice, ServerReply,
};
use comfreyturn_types::VmId;
use http::{HeaderMap, HeaderValue, StatusCode};

/// How a scripted answer ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScriptEnd {
    /// The answer is complete.
    Whole,

    /// The connection breaks.
    Broken,

    /// The connection ends, and the answer has no length and no chunks that would tell whether it is
    /// complete.
    Unmarked,

    /// No further data arrives, and the connection stays open.
    Hang,
}

/// What a server does with one request.
#[derive(Clone, Debug)]
pub enum ServerScript {
    /// The request fails with this error.
    Fail(LinkError),

    /// The request is never answered.
    Hang,

    /// The head of the answer comes after a pause.
    Late {
        /// The pause.
        pause: Duration,
        /// What the server does then.
        answer: Box<ServerScript>,
    },

    /// An answer sent in pieces, each after a pause.
    Answer {
        /// The status.
        status: u16,
        /// Pauses and bytes.
        pieces: Vec<(Duration, &'static str)>,
        /// How the answer ends.
        end: ScriptEnd,
    },
}

impl ServerScript {
    /// A whole answer without pauses.
    pub fn whole(status: u16, body: &'static str) -> Self {
        Self::Answer { status, pieces: vec![(Duration::ZERO, body)], end: ScriptEnd::Whole }
    }
}

/// Backend servers that answer requests according to a script, and record the requests.
#[derive(Clone)]
pub struct ScriptedServers {
    clock: Rc<dyn Clock>,
    scripts: Rc<RefCell<HashMap<VmId, VecDeque<ServerScript>>>>,

    /// Scripts for requests to servers without a script of their own.
    common: Rc<RefCell<VecDeque<ServerScript>>>,
    calls: Rc<RefCell<Vec<ServerCall>>>,
}

impl ScriptedServers {
    /// Servers without a script: requests to them hang.
    pub fn new(clock: Rc<dyn Clock>) -> Self {
        Self { clock, scripts: Rc::default(), common: Rc::default(), calls: Rc::default() }
    }

    /// Adds a script for a later request to a server. Scripts are used in order.
    pub fn script(&self, vm: &str, script: ServerScript) {
        self.scripts.borrow_mut().entry(VmId::from(vm)).or_default().push_back(script);
    }

    /// Adds a script for the next request to any server without a script of its own.
    pub fn script_next(&self, script: ServerScript) {
        self.common.borrow_mut().push_back(script);
    }

    /// The requests that the servers received, in order.
    pub fn calls(&self) -> Vec<ServerCall> {
        self.calls.borrow().clone()
    }
}

#[async_trait(?Send)]
impl ServerLink for ScriptedServers {
    async fn send(&self, call: &ServerCall) -> ServerReply {
        self.calls.borrow_mut().push(call.clone());
        let answer = self.answer(call).await;
        ServerReply { notice: answer.is_ok().then(ServerNotice::default), answer }
    }
}

impl ScriptedServers {
    async fn answer(&self, call: &ServerCall) -> LinkResult<Box<dyn ServerAnswer>> {
        let next = self.scripts.borrow_mut().get_mut(&call.life.vm).and_then(VecDeque::pop_front);
        let next = next.or_else(|| self.common.borrow_mut().pop_front());
        let mut script = next.unwrap_or(ServerScript::Hang);
        while let ServerScript::Late { pause, answer } = script {
            self.clock.sleep(pause).await;
            script = *answer;
        }
        match script {
            ServerScript::Fail(error) => Err(error),
            ServerScript::Hang | ServerScript::Late { .. } => std::future::pending().await,
            ServerScript::Answer { status, pieces, end } => {
                let mut headers = HeaderMap::new();
                if let Ok(server) = HeaderValue::from_str(call.life.vm.as_str()) {
                    headers.insert("x-server", server);
                }
                Ok(Box::new(ScriptedAnswer {
                    clock: self.clock.clone(),
                    status: StatusCode::from_u16(status).unwrap_or_default(),
                    headers,
                    pieces: pieces.into(),
                    end,
                }))
            }
        }
    }
}

struct ScriptedAnswer {
    clock: Rc<dyn Clock>,
    status: StatusCode,
    headers: HeaderMap,
    pieces: VecDeque<(Duration, &'static str)>,
    end: ScriptEnd,
}

#[async_trait(?Send)]
impl ServerAnswer for ScriptedAnswer {
    fn status(&self) -> StatusCode {
        self.status
    }

    fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    fn is_delimited(&self) -> bool {
        self.end != ScriptEnd::Unmarked
    }

    async fn chunk(&mut self) -> LinkResult<Option<Bytes>> {
        if let Some((pause, bytes)) = self.pieces.front().cloned() {
            if !pause.is_zero() {
                self.clock.sleep(pause).await;
            }
            self.pieces.pop_front();
            return Ok(Some(Bytes::from_static(bytes.as_bytes())));
        }
        match self.end {
            ScriptEnd::Whole | ScriptEnd::Unmarked => Ok(None),
            ScriptEnd::Broken => Err(LinkError::Broken),
            ScriptEnd::Hang => std::future::pending().await,
        }
    }
}
