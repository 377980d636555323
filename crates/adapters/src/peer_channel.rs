//! The connection to one peer, and the task that maintains it.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_ports::{PeerError, PeerResult};
use comfreyturn_proto::peer::Envelope;
use compio::{net::TcpStream, time::timeout};
use futures_util::{FutureExt, StreamExt, select_biased};

use crate::{
    ByteMeter, PeerSettings,
    peer_frames::{EnvelopeReader, EnvelopeWriter, split_envelopes},
};

/// A command to the task of a connection.
enum PeerCommand {
    /// Send an envelope and report when it was written.
    Send { envelope: Envelope, written: flume::Sender<()> },

    /// The question sent at this time timed out.
    Expired { asked_at: Instant },
}

/// Questions without an answer yet, by number.
#[derive(Default)]
struct PendingAnswers {
    waiting: HashMap<u64, flume::Sender<PeerResult<Envelope>>>,

    /// The number of the last question.
    last_number: u64,
}

/// Sends messages to one peer. Its task opens a connection when there is something to send, and
/// ends when the channel is dropped.
pub(crate) struct PeerChannel {
    commands: flume::Sender<PeerCommand>,
    pending: Rc<RefCell<PendingAnswers>>,
}

impl PeerChannel {
    /// Starts the task for the peer at `address`.
    pub(crate) fn start(address: SocketAddr, settings: PeerSettings, meter: ByteMeter) -> Self {
        let (commands, receiver) = flume::bounded(settings.queue_length);
        let pending = Rc::new(RefCell::new(PendingAnswers::default()));
        let task =
            PeerTask { address, settings, meter, commands: receiver, pending: Rc::clone(&pending) };
        compio::runtime::spawn(task.run()).detach();
        Self { commands, pending }
    }

    /// Sends the question that `make_envelope` creates for a number, and awaits the answer.
    pub(crate) async fn ask(
        &self,
        limit: Duration,
        make_envelope: impl FnOnce(u64) -> Envelope,
    ) -> PeerResult<Envelope> {
        let asked_at = Instant::now();
        let (number, answer) = self.expect_answer();
        let _guard = PendingGuard { pending: Rc::clone(&self.pending), number };
        let (written, _) = flume::bounded(1);
        self.command(PeerCommand::Send { envelope: make_envelope(number), written })?;
        match timeout(limit, answer.recv_async()).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) => Err(PeerError::Unreachable),
            Err(_) => {
                let _ = self.command(PeerCommand::Expired { asked_at });
                Err(PeerError::Unreachable)
            }
        }
    }

    /// Sends a notice; returns once it is written.
    pub(crate) async fn notify(&self, limit: Duration, envelope: Envelope) -> PeerResult<()> {
        let (written, done) = flume::bounded(1);
        self.command(PeerCommand::Send { envelope, written })?;
        match timeout(limit, done.recv_async()).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(PeerError::Unreachable),
        }
    }

    fn expect_answer(&self) -> (u64, flume::Receiver<PeerResult<Envelope>>) {
        let (sender, receiver) = flume::bounded(1);
        let mut pending = self.pending.borrow_mut();
        pending.last_number += 1;
        let number = pending.last_number;
        pending.waiting.insert(number, sender);
        (number, receiver)
    }

    fn command(&self, command: PeerCommand) -> PeerResult<()> {
        self.commands.try_send(command).map_err(|_| PeerError::Unreachable)
    }
}

/// Removes a question from the pending ones when its asker stops waiting.
struct PendingGuard {
    pending: Rc<RefCell<PendingAnswers>>,
    number: u64,
}

impl Drop for PendingGuard {
    fn drop(&mut self) {
        self.pending.borrow_mut().waiting.remove(&self.number);
    }
}

struct PeerTask {
    address: SocketAddr,
    settings: PeerSettings,
    meter: ByteMeter,
    commands: flume::Receiver<PeerCommand>,
    pending: Rc<RefCell<PendingAnswers>>,
}

/// Why a connection is closed.
enum ConnectionEnd {
    /// The channel was dropped.
    ChannelDropped,

    /// Nothing was sent or received for the idle timeout.
    Idle,

    /// The connection broke, or a question timed out and nothing was received since it was sent.
    Broken,

    /// The peer violated the protocol.
    Violation,
}

impl PeerTask {
    async fn run(mut self) {
        while let Ok(command) = self.commands.recv_async().await {
            let PeerCommand::Send { envelope, written } = command else { continue };
            let Some((reader, writer)) = self.connect().await else {
                drop(written);
                self.fail_pending(&PeerError::Unreachable);
                continue;
            };
            match self.exchange(reader, writer, envelope, written).await {
                ConnectionEnd::ChannelDropped => return,
                ConnectionEnd::Idle => {}
                ConnectionEnd::Broken => self.fail_pending(&PeerError::Unreachable),
                ConnectionEnd::Violation => self.fail_pending(&PeerError::Malformed),
            }
        }
    }

    async fn connect(&self) -> Option<(EnvelopeReader, EnvelopeWriter)> {
        let connecting = TcpStream::connect(self.address);
        let stream = timeout(self.settings.connect_timeout, connecting).await.ok()?.ok()?;
        Some(split_envelopes(stream, self.settings.frame_limit, self.meter.clone()))
    }

    /// Sends envelopes and delivers answers until the connection is closed.
    async fn exchange(
        &mut self,
        reader: EnvelopeReader,
        mut writer: EnvelopeWriter,
        first: Envelope,
        written: flume::Sender<()>,
    ) -> ConnectionEnd {
        if !self.write(&mut writer, first, written).await {
            return ConnectionEnd::Broken;
        }
        let mut last_received_at = Instant::now();
        let answers = futures_util::stream::unfold(reader, next_envelope).fuse();
        futures_util::pin_mut!(answers);
        loop {
            let mut idle = Box::pin(compio::time::sleep(self.settings.idle_timeout)).fuse();
            select_biased! {
                answer = answers.next() => {
                    let Some(Some(envelope)) = answer else { return ConnectionEnd::Broken };
                    last_received_at = Instant::now();
                    if !self.deliver_answer(envelope) {
                        return ConnectionEnd::Violation;
                    }
                }
                // The receive future of a closed channel counts as terminated, so the macro would
                // skip it. `fuse` lets it return the error.
                command = self.commands.recv_async().fuse() => match command {
                    Err(_) => return ConnectionEnd::ChannelDropped,
                    Ok(PeerCommand::Send { envelope, written }) => {
                        if !self.write(&mut writer, envelope, written).await {
                            return ConnectionEnd::Broken;
                        }
                    }
                    Ok(PeerCommand::Expired { asked_at }) if last_received_at < asked_at => {
                        log::info!("peers: nothing received from {}, reconnecting.", self.address);
                        return ConnectionEnd::Broken;
                    }
                    Ok(PeerCommand::Expired { .. }) => {}
                },
                () = idle => return ConnectionEnd::Idle,
            }
        }
    }

    /// Writes an envelope. Returns whether the connection can still be used.
    async fn write(
        &self,
        writer: &mut EnvelopeWriter,
        envelope: Envelope,
        written: flume::Sender<()>,
    ) -> bool {
        if !writer.fits(&envelope) {
            log::warn!("peers: message {} is larger than a frame.", envelope.number);
            self.fail(envelope.number, PeerError::Malformed);
            return true;
        }
        match timeout(self.settings.ask_timeout, writer.send(&envelope)).await {
            Ok(Ok(())) => {
                let _ = written.send(());
                true
            }
            Ok(Err(_)) | Err(_) => false,
        }
    }

    /// Delivers an answer to its asker. Returns false if no question with its number was sent.
    fn deliver_answer(&self, envelope: Envelope) -> bool {
        let mut pending = self.pending.borrow_mut();
        if envelope.number == 0 || envelope.number > pending.last_number {
            log::warn!("peers: {} answered a question that was not asked.", self.address);
            return false;
        }
        if let Some(asker) = pending.waiting.remove(&envelope.number) {
            let _ = asker.send(Ok(envelope));
        }
        true
    }

    fn fail(&self, number: u64, error: PeerError) {
        if let Some(asker) = self.pending.borrow_mut().waiting.remove(&number) {
            let _ = asker.send(Err(error));
        }
    }

    /// Fails all pending questions, whether written or still queued.
    fn fail_pending(&mut self, error: &PeerError) {
        while let Ok(command) = self.commands.try_recv() {
            drop(command);
        }
        for (_, asker) in self.pending.borrow_mut().waiting.drain() {
            let _ = asker.send(Err(error.clone()));
        }
    }
}

async fn next_envelope(mut reader: EnvelopeReader) -> Option<(Option<Envelope>, EnvelopeReader)> {
    match reader.next().await {
        Ok(Some(envelope)) => Some((Some(envelope), reader)),
        Ok(None) => None,
        Err(error) => {
            log::debug!("peers: connection ended: {error}.");
            Some((None, reader))
        }
    }
}
