//! Answers questions of other nodes.

use std::{
    io,
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_ports::{PeerHandler, PeerIdentity, PeerQuestion};
use comfreyturn_proto::peer::Envelope;
use compio::{
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};
use futures_util::{
    FutureExt, StreamExt, future::LocalBoxFuture, select_biased, stream::FuturesUnordered,
};

use crate::{
    ByteMeter, PeerSettings,
    peer_envelope::{PeerMessage, answer_body, make_envelope, read_message, sender},
    peer_frames::{EnvelopeReader, EnvelopeWriter, split_envelopes},
};

/// Pause after a failure to accept a connection, for example when the process is out of file
/// descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections of other nodes and passes their messages to a [`PeerHandler`].
pub struct PeerServer {
    identity: PeerIdentity,
    settings: PeerSettings,
    meter: ByteMeter,
    started_at: Instant,
    handler: Rc<dyn PeerHandler>,
}

impl PeerServer {
    /// Creates a server whose answers carry `identity`. `started_at` is when this node's process
    /// started.
    pub fn new(
        identity: PeerIdentity,
        started_at: Instant,
        settings: PeerSettings,
        meter: ByteMeter,
        handler: Rc<dyn PeerHandler>,
    ) -> Rc<Self> {
        Rc::new(Self { identity, settings, meter, started_at, handler })
    }

    /// Accepts connections forever and starts a task for each. Dropping the future closes the
    /// listener but no accepted connections.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    compio::runtime::spawn(Rc::clone(&self).serve_connection(stream)).detach();
                }
                Err(error) => self.pause(&error).await,
            }
        }
    }

    /// Time without messages after which a connection is closed. Longer than the idle timeout of
    /// the client, so that a live peer closes an unused connection first.
    fn receive_timeout(&self) -> Duration {
        self.settings.idle_timeout * 2
    }

    async fn pause(&self, error: &io::Error) {
        log::warn!("peers: cannot accept a connection: {error}.");
        sleep(ACCEPT_PAUSE).await;
    }

    async fn serve_connection(self: Rc<Self>, stream: TcpStream) {
        let (reader, writer) =
            split_envelopes(stream, self.settings.frame_limit, self.meter.clone());
        let mut connection =
            PeerConnection { server: self, writer, answers: FuturesUnordered::new() };
        connection.run(reader).await;
    }
}

struct PeerConnection {
    server: Rc<PeerServer>,
    writer: EnvelopeWriter,

    /// Questions being answered. Invariant: no more than the settings allow.
    answers: FuturesUnordered<LocalBoxFuture<'static, Option<Envelope>>>,
}

impl PeerConnection {
    async fn run(&mut self, reader: EnvelopeReader) {
        let messages = futures_util::stream::unfold(reader, next_message).fuse();
        futures_util::pin_mut!(messages);
        loop {
            if self.answers.len() >= self.server.settings.concurrent_answers {
                let answer = self.answers.next().await;
                if !self.write(answer.flatten()).await {
                    return;
                }
            }
            let mut timed_out = Box::pin(sleep(self.server.receive_timeout())).fuse();
            select_biased! {
                answer = self.answers.select_next_some() => {
                    if !self.write(answer).await {
                        return;
                    }
                }
                message = messages.next() => {
                    let Some(envelope) = message else { return };
                    if !self.handle_message(envelope) {
                        return;
                    }
                }
                () = timed_out => return,
            }
        }
    }

    /// Handles a message. Returns whether the connection can still be used.
    fn handle_message(&self, envelope: Envelope) -> bool {
        let from = sender(&envelope);
        if from.cell != self.server.identity.cell {
            log::warn!("peers: {} belongs to another cell.", from.node);
            return false;
        }
        let number = envelope.number;
        match read_message(envelope.body) {
            Ok(PeerMessage::Notice(notice)) => self.server.handler.notice(&from, notice),
            Ok(PeerMessage::Question(question)) => self.start_answer(from, number, question),
            Err(error) => {
                log::warn!("peers: malformed message from {}: {error}.", from.node);
                return false;
            }
        }
        true
    }

    fn start_answer(&self, from: PeerIdentity, number: u64, question: PeerQuestion) {
        let server = Rc::clone(&self.server);
        self.answers.push(Box::pin(async move {
            let answer = server.handler.answer(&from, question).await;
            let body = answer_body(&answer).ok()?;
            Some(make_envelope(&server.identity, server.started_at.elapsed(), number, body))
        }));
    }

    /// Writes an answer, if there is one. Returns whether the connection can still be used.
    async fn write(&mut self, answer: Option<Envelope>) -> bool {
        let Some(answer) = answer else { return true };
        if !self.writer.fits(&answer) {
            log::warn!("peers: answer {} is larger than a frame.", answer.number);
            return true;
        }
        let writing = timeout(self.server.settings.ask_timeout, self.writer.send(&answer));
        matches!(writing.await, Ok(Ok(())))
    }
}

async fn next_message(mut reader: EnvelopeReader) -> Option<(Envelope, EnvelopeReader)> {
    match reader.next().await {
        Ok(envelope) => Some((envelope?, reader)),
        Err(error) => {
            log::warn!("peers: connection ended: {error}.");
            None
        }
    }
}
