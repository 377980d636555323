//! A TCP relay whose traffic can be held back and cut.

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

/// Capacity of the buffer of one direction.
const BUFFER_BYTES: usize = 16 * 1024;

/// Which directions a relay forwards. Data that it holds back is forwarded once the direction is
/// open again, as after a network partition.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum RelayMode {
    /// Forwards both directions.
    #[default]
    Open,
    /// Holds back data from the caller to the target.
    HoldForth,
    /// Holds back data from the target to the caller.
    HoldBack,
    /// Holds back both directions.
    HoldBoth,
    /// Cuts open connections, and closes new ones at once.
    Refuse,
}

impl RelayMode {
    fn forwards(self, direction: RelayDirection) -> bool {
        match self {
            Self::Open => true,
            Self::HoldForth => direction == RelayDirection::Downstream,
            Self::HoldBack => direction == RelayDirection::Upstream,
            Self::HoldBoth | Self::Refuse => false,
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum RelayDirection {
    /// From the caller to the target.
    Upstream,
    /// From the target to the caller.
    Downstream,
}

/// A change of mode, and a channel that confirms it.
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
    /// Sets the mode. Returns once it is in effect or the relay has ended.
    pub async fn set_mode(&self, mode: RelayMode) {
        let (done, confirmed) = flume::bounded(1);
        if self.commands.send(RelayCommand { mode, done }).is_ok() {
            // An error means that the relay has ended.
            let _ = confirmed.recv_async().await;
        }
    }
}

/// A TCP relay whose traffic can be held back and cut.
pub struct RelayServer {
    listener: TcpListener,
    address: SocketAddr,
    target: SocketAddr,
    control: RelayControl,
    commands: flume::Receiver<RelayCommand>,
}

impl RelayServer {
    /// Opens the listener in front of `target`; [`serve`](Self::serve) relays connections.
    pub async fn bind(address: SocketAddr, target: SocketAddr) -> StandinResult<Self> {
        let listener = listen(address).await?;
        let address = listener.local_addr().unwrap_or(address);
        let (sender, commands) = flume::unbounded();
        let control = RelayControl { commands: sender };
        Ok(Self { listener, address, target, control, commands })
    }

    /// The address that it listens on.
    pub fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// A control of this relay.
    pub fn control(&self) -> RelayControl {
        self.control.clone()
    }

    /// Relays until `stop` receives a message or is closed.
    pub async fn serve(self, stop: flume::Receiver<()>) -> ServerEnd {
        let gate = Rc::new(RelayGate::default());
        let mut connections = TaskSet::default();
        loop {
            // Without `fuse`, the macro skips the future of a closed channel.
            futures_util::select_biased! {
                _ = stop.recv_async().fuse() => return ServerEnd::Stopped,
                command = self.commands.recv_async().fuse() => {
                    if let Ok(command) = command {
                        gate.set_mode(command.mode);
                        if command.mode == RelayMode::Refuse {
                            connections = TaskSet::default();
                        }
                        // Fails if the caller of `set_mode` has stopped waiting.
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

/// Makes a direction wait while the mode holds it back.
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

    /// Completes once the mode forwards `direction`.
    async fn opened(&self, direction: RelayDirection) {
        std::future::poll_fn(|context| {
            if self.mode.get().forwards(direction) {
                return Poll::Ready(());
            }
            self.waiting.borrow_mut().push(context.waker().clone());
            Poll::Pending
        })
        .await;
    }
}

async fn relay(caller: TcpStream, target: SocketAddr, gate: Rc<RelayGate>) {
    gate.opened(RelayDirection::Upstream).await;
    let Ok(callee) = TcpStream::connect(target).await else {
        return;
    };
    let (from_caller, to_caller) = caller.into_split();
    let (from_callee, to_callee) = callee.into_split();
    let upstream = copy(from_caller, to_callee, &gate, RelayDirection::Upstream);
    let downstream = copy(from_callee, to_caller, &gate, RelayDirection::Downstream);
    futures_util::join!(upstream, downstream);
}

/// Copies the bytes of one direction, and closes the writing side at the end.
async fn copy(mut from: TcpStream, mut to: TcpStream, gate: &RelayGate, direction: RelayDirection) {
    let mut buffer = Vec::with_capacity(BUFFER_BYTES);
    loop {
        buffer.clear();
        let BufResult(read, filled) = from.read(buffer).await;
        gate.opened(direction).await;
        if !matches!(read, Ok(count) if count > 0) {
            break;
        }
        let BufResult(written, written_buffer) = to.write_all(filled).await;
        if written.is_err() {
            break;
        }
        buffer = written_buffer;
    }
    // Fails if the other side has already closed.
    let _ = to.shutdown().await;
}
