//! A TCP relay whose connections can be held up and cut.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    task::{Poll, Waker},
};

use compio::{
    BufResult,
    io::{AsyncRead, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use futures_util::FutureExt;

use crate::{ServerEnd, StandinResult, http_server::listen, task_set::TaskSet};

/// Bytes that are read at once.
const READ_BYTES: usize = 16 * 1024;

/// What a relay lets pass. What it holds up passes once it is let through again, as after a
/// partition of the network.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum RelayMode {
    /// Everything.
    #[default]
    Open,
    /// Nothing from the caller to the target.
    HoldForth,
    /// Nothing from the target to the caller.
    HoldBack,
    /// Nothing either way.
    HoldBoth,
    /// No connections: those that stand are cut, and new ones are closed at once.
    Refuse,
}

impl RelayMode {
    fn passes(self, direction: RelayDirection) -> bool {
        match self {
            Self::Open => true,
            Self::HoldForth => direction == RelayDirection::Back,
            Self::HoldBack => direction == RelayDirection::Forth,
            Self::HoldBoth | Self::Refuse => false,
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum RelayDirection {
    Forth,
    Back,
}

/// A change of mode, and where to say that it is in force.
struct RelayCommand {
    mode: RelayMode,
    done: flume::Sender<()>,
}

/// Controls a relay, also from another thread.
#[derive(Clone)]
pub struct RelayControl {
    commands: flume::Sender<RelayCommand>,
}

impl RelayControl {
    /// Sets what passes, and returns once that is in force, or the relay has ended.
    pub async fn set_mode(&self, mode: RelayMode) {
        let (done, is_done) = flume::bounded(1);
        if self.commands.send(RelayCommand { mode, done }).is_ok() {
            // An error means that the relay has ended.
            let _ = is_done.recv_async().await;
        }
    }
}

/// A TCP relay whose connections can be held up and cut.
pub struct RelayServer {
    listener: TcpListener,
    address: SocketAddr,
    target: SocketAddr,
    control: RelayControl,
    commands: flume::Receiver<RelayCommand>,
}

impl RelayServer {
    /// Listens in front of `target`, without relaying yet.
    pub async fn bind(address: SocketAddr, target: SocketAddr) -> StandinResult<Self> {
        let listener = listen(address).await?;
        let address = listener.local_addr().unwrap_or(address);
        let (sender, commands) = flume::unbounded();
        let control = RelayControl { commands: sender };
        Ok(Self { listener, address, target, control, commands })
    }

    /// Where it listens.
    pub fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// Its control.
    pub fn control(&self) -> RelayControl {
        self.control.clone()
    }

    /// Relays until `stop` gets a message or is closed.
    pub async fn serve(self, stop: flume::Receiver<()>) -> ServerEnd {
        let gate = Rc::new(RelayGate::default());
        let mut connections = TaskSet::default();
        loop {
            // Without `fuse`, the macro skips a channel that is closed.
            futures_util::select_biased! {
                _ = stop.recv_async().fuse() => return ServerEnd::Stopped,
                command = self.commands.recv_async().fuse() => {
                    if let Ok(command) = command {
                        gate.set_mode(command.mode);
                        if command.mode == RelayMode::Refuse {
                            connections = TaskSet::default();
                        }
                        // The controller may have gone.
                        let _ = command.done.send(());
                    }
                }
                accepted = self.listener.accept().fuse() => {
                    if let Ok((caller, _)) = accepted && gate.mode.get() != RelayMode::Refuse {
                        connections.spawn(relay(caller, self.target, gate.clone()));
                    }
                }
            }
        }
    }
}

/// Lets directions pass or wait.
#[derive(Default)]
struct RelayGate {
    mode: Cell<RelayMode>,
    waiting: RefCell<Vec<Waker>>,
}

impl RelayGate {
    fn set_mode(&self, mode: RelayMode) {
        self.mode.set(mode);
        self.waiting.take().into_iter().for_each(Waker::wake);
    }

    /// Completes once the direction passes.
    async fn passage(&self, direction: RelayDirection) {
        std::future::poll_fn(|context| {
            if self.mode.get().passes(direction) {
                return Poll::Ready(());
            }
            self.waiting.borrow_mut().push(context.waker().clone());
            Poll::Pending
        })
        .await;
    }
}

async fn relay(caller: TcpStream, target: SocketAddr, gate: Rc<RelayGate>) {
    gate.passage(RelayDirection::Forth).await;
    let Ok(callee) = TcpStream::connect(target).await else {
        return;
    };
    let (from_caller, to_caller) = caller.into_split();
    let (from_callee, to_callee) = callee.into_split();
    let forth = copy(from_caller, to_callee, &gate, RelayDirection::Forth);
    let back = copy(from_callee, to_caller, &gate, RelayDirection::Back);
    futures_util::join!(forth, back);
}

/// Copies one direction, up to and with its end.
async fn copy(mut from: TcpStream, mut to: TcpStream, gate: &RelayGate, direction: RelayDirection) {
    let mut buffer = Vec::with_capacity(READ_BYTES);
    loop {
        buffer.clear();
        let BufResult(read, filled) = from.read(buffer).await;
        gate.passage(direction).await;
        if !matches!(read, Ok(count) if count > 0) {
            break;
        }
        let BufResult(written, written_buffer) = to.write_all(filled).await;
        if written.is_err() {
            break;
        }
        buffer = written_buffer;
    }
    // The other side may have closed already.
    let _ = to.shutdown().await;
}
