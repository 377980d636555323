//! Connections to backend servers through another node.
//!
//! A node that has no path to the servers opens a connection to another node and names the server.
//! The other node connects to the server and passes bytes on, both ways and unchanged, until either
//! side closes. It opens connections to servers only, so a request takes one hop at most.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use compio::{
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};
use futures_util::{
    AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, SinkExt, StreamExt,
    future::{pending, select},
};
use prost::Message;
use tokio_util::{
    codec::{Framed, LengthDelimitedCodec},
    compat::{Compat, FuturesAsyncReadCompatExt},
};

use crate::{ByteMeter, ResponseHead, metered_stream::MeteredStream, response_head::HeadReader};

/// Pause after a failure to accept a connection, for example when the process is out of file
/// descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Size limit of a frame that opens a tunnel, in bytes.
const MAX_FRAME_BYTES: usize = 256;

/// Size of the buffer of each direction, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;

/// Asks another node for a tunnel.
#[derive(Clone, PartialEq, Message)]
struct TunnelRequest {
    /// The address of the server.
    #[prost(string, tag = "1")]
    server: String,
}

/// The answer: whether the tunnel is open.
#[derive(Clone, PartialEq, Message)]
struct TunnelAnswer {
    #[prost(bool, tag = "1")]
    is_open: bool,
}

type Frames = Framed<Compat<MeteredStream>, LengthDelimitedCodec>;

fn frames(stream: TcpStream, meter: ByteMeter) -> Frames {
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
    Framed::new(MeteredStream::new(stream, meter).compat(), codec)
}

async fn send<M: Message>(frames: &mut Frames, message: &M) -> io::Result<()> {
    frames.send(Bytes::from(message.encode_to_vec())).await
}

async fn receive<M: Message + Default>(frames: &mut Frames) -> io::Result<M> {
    let frame = frames.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
    M::decode(frame).map_err(io::Error::other)
}

/// The connection, once both sides know that the tunnel is open. Neither has sent anything beyond
/// its frame by then.
fn into_stream(frames: Frames) -> io::Result<MeteredStream> {
    let parts = frames.into_parts();
    if parts.read_buf.is_empty() { Ok(parts.io.into_inner()) } else { Err(unexpected_bytes()) }
}

fn unexpected_bytes() -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, "bytes before the tunnel was open")
}

/// Opens a connection to a server through another node.
///
/// # Errors
///
/// If the other node isn't reached, opens no tunnel, or doesn't reach the server itself.
pub(crate) async fn open_tunnel(
    helper: SocketAddr,
    server: SocketAddr,
    meter: ByteMeter,
) -> io::Result<MeteredStream> {
    let mut frames = frames(TcpStream::connect(helper).await?, meter);
    send(&mut frames, &TunnelRequest { server: server.to_string() }).await?;
    let answer: TunnelAnswer = receive(&mut frames).await?;
    if answer.is_open { into_stream(frames) } else { Err(io::ErrorKind::ConnectionRefused.into()) }
}

/// What a node does for an open tunnel. It is dropped when the tunnel closes.
pub trait TunnelWatch {
    /// The server begins its first response.
    fn response_begins(&self, _head: &ResponseHead) {}
}

/// Opens connections to servers for other nodes.
#[derive(Clone)]
pub struct TunnelServer {
    /// Timeout for opening a connection to a server.
    pub connect_timeout: Duration,

    /// Counts the bytes of the connections.
    pub meter: ByteMeter,
}

impl TunnelServer {
    /// Accepts connections of other nodes; never returns. `admit` returns a watch if this node opens
    /// a connection to a server now; the watch is held as long as the connection is open.
    pub async fn serve<F, W>(self, listener: TcpListener, admit: F)
    where
        F: Fn(SocketAddr) -> Option<W> + Clone + 'static,
        W: TunnelWatch + 'static,
    {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let serving = self.clone().serve_connection(stream, admit.clone());
                    compio::runtime::spawn(serving).detach();
                }
                Err(error) => {
                    log::warn!(cause:% = error; "tunnels: accept failed.");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn serve_connection<W: TunnelWatch>(
        self,
        stream: TcpStream,
        admit: impl Fn(SocketAddr) -> Option<W>,
    ) {
        if let Err(error) = self.pass_on(stream, admit).await {
            log::debug!("tunnels: connection ended: {error}.");
        }
    }

    async fn pass_on<W: TunnelWatch>(
        self,
        stream: TcpStream,
        admit: impl Fn(SocketAddr) -> Option<W>,
    ) -> io::Result<()> {
        let mut frames = frames(stream, self.meter.clone());
        let asked = timeout(self.connect_timeout, receive::<TunnelRequest>(&mut frames)).await;
        let request = asked.map_err(|_| io::ErrorKind::TimedOut)??;
        let server: SocketAddr = request.server.parse().map_err(io::Error::other)?;
        let connecting = async {
            let watch = admit(server)?;
            let connecting = timeout(self.connect_timeout, TcpStream::connect(server));
            Some((connecting.await.ok()?.ok()?, watch))
        };
        let Some((connection, watch)) = connecting.await else {
            return send(&mut frames, &TunnelAnswer { is_open: false }).await;
        };
        send(&mut frames, &TunnelAnswer { is_open: true }).await?;
        let server = MeteredStream::new(connection, self.meter);
        exchange(into_stream(frames)?, server, &watch).await
    }
}

/// Why no more bytes are passed on in one direction.
#[derive(Debug, derive_more::Display, derive_more::Error)]
enum CopyError {
    /// The sender's connection broke.
    Read(io::Error),

    /// The receiver takes no more.
    Write(io::Error),
}

impl From<CopyError> for io::Error {
    fn from(error: CopyError) -> Self {
        match error {
            CopyError::Read(error) | CopyError::Write(error) => error,
        }
    }
}

/// Passes bytes on in both directions until one of them ends. A server that takes no more of a
/// request may have answered it, so what it sends is passed on to the end.
async fn exchange(
    node: MeteredStream,
    server: MeteredStream,
    watch: &impl TunnelWatch,
) -> io::Result<()> {
    let (from_node, mut to_node) = node.split();
    let (from_server, to_server) = server.split();
    let mut reader = HeadReader::default();
    let forth = async {
        match copy(from_node, to_server, |_| {}).await {
            Err(CopyError::Write(error)) => {
                log::debug!("tunnels: a server takes no more of a request: {error}.");
                pending().await
            }
            end => end,
        }
    };
    let back = copy(from_server, &mut to_node, |bytes| {
        if let Some(head) = reader.push(bytes) {
            watch.response_begins(&head);
        }
    });
    let end = select(std::pin::pin!(forth), std::pin::pin!(back)).await.factor_first().0;
    Ok(end?)
}

/// Passes bytes on as they arrive, each piece before the next one is read, and shows them to `see`.
async fn copy(
    mut reader: impl AsyncRead + Unpin,
    mut writer: impl AsyncWrite + Unpin,
    mut see: impl FnMut(&[u8]),
) -> Result<(), CopyError> {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let count = reader.read(&mut chunk).await.map_err(CopyError::Read)?;
        if count == 0 {
            return Ok(());
        }
        see(&chunk[..count]);
        writer.write_all(&chunk[..count]).await.map_err(CopyError::Write)?;
        writer.flush().await.map_err(CopyError::Write)?;
    }
}
