//! Frames of the protocol between nodes.

use std::io;

use bytes::Bytes;
use comfreyturn_proto::peer::Envelope;
use compio::net::TcpStream;
use futures_util::{
    SinkExt, StreamExt,
    stream::{SplitSink, SplitStream},
};
use prost::Message;
use tokio_util::{
    codec::{Framed, LengthDelimitedCodec},
    compat::{Compat, FuturesAsyncReadCompatExt},
};

use crate::{ByteMeter, metered_stream::MeteredStream};

/// Why a connection between nodes ended.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub(crate) enum FrameError {
    /// The connection broke, or a frame was larger than the limit.
    #[display("{_0}")]
    Connection(io::Error),

    /// A frame does not contain a valid envelope.
    #[display("{_0}")]
    Envelope(prost::DecodeError),
}

/// Result of reading or writing a frame.
pub(crate) type FrameResult<T, E = FrameError> = std::result::Result<T, E>;

type Frames = Framed<Compat<MeteredStream>, LengthDelimitedCodec>;

/// The receiving half of a connection.
pub(crate) struct EnvelopeReader {
    frames: SplitStream<Frames>,
}

/// The sending half of a connection.
pub(crate) struct EnvelopeWriter {
    frames: SplitSink<Frames, Bytes>,
    frame_limit: usize,
}

/// Splits a connection into a receiving and a sending half.
pub(crate) fn split_envelopes(
    stream: TcpStream,
    frame_limit: usize,
    meter: ByteMeter,
) -> (EnvelopeReader, EnvelopeWriter) {
    let codec = LengthDelimitedCodec::builder().max_frame_length(frame_limit).new_codec();
    let stream = MeteredStream::new(stream, meter).compat();
    let (sink, source) = Framed::new(stream, codec).split();
    (EnvelopeReader { frames: source }, EnvelopeWriter { frames: sink, frame_limit })
}

impl EnvelopeReader {
    /// Awaits the next envelope; `None` if the peer closed the connection.
    pub(crate) async fn next(&mut self) -> FrameResult<Option<Envelope>> {
        let Some(frame) = self.frames.next().await else { return Ok(None) };
        Ok(Some(Envelope::decode(frame?)?))
    }
}

impl EnvelopeWriter {
    /// Whether an envelope fits into a frame.
    pub(crate) fn fits(&self, envelope: &Envelope) -> bool {
        envelope.encoded_len() <= self.frame_limit
    }

    /// Writes an envelope.
    pub(crate) async fn send(&mut self, envelope: &Envelope) -> FrameResult<()> {
        let frame = Bytes::from(envelope.encode_to_vec());
        Ok(self.frames.send(frame).await?)
    }
}
