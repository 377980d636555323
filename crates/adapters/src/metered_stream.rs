//! A TCP connection that counts its bytes.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use compio::net::TcpStream;
use cyper_core::HyperStream;
use futures_util::{AsyncRead, AsyncWrite};

use crate::ByteMeter;

/// Reads in a row after which other tasks and timers go on, however much has arrived.
const MAX_READS_IN_A_ROW: u32 = 16;

/// A TCP connection, counted by a [`ByteMeter`].
///
/// The system reports the failure of a connection once, to whichever of reading and writing meets it
/// first, and to the other one the connection then seems to have ended properly. So the end is
/// reported here only if writing has not failed.
#[derive(Debug)]
pub(crate) struct MeteredStream {
    stream: HyperStream<TcpStream>,
    meter: ByteMeter,

    /// How writing failed, if it has.
    write_error: Option<io::ErrorKind>,

    /// Reads since other tasks could last go on.
    reads_in_a_row: u32,
}

impl MeteredStream {
    /// Wraps a connection and disables Nagle's algorithm, so that small messages are sent
    /// immediately.
    pub(crate) fn new(stream: TcpStream, meter: ByteMeter) -> Self {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("adapters: cannot set TCP_NODELAY: {error}.");
        }
        let stream = HyperStream::new_plain(stream);
        Self { stream, meter, write_error: None, reads_in_a_row: 0 }
    }

    fn stream(self: Pin<&mut Self>) -> Pin<&mut HyperStream<TcpStream>> {
        Pin::new(&mut self.get_mut().stream)
    }

    fn record_write<T>(&mut self, written: &Poll<io::Result<T>>) {
        if let Poll::Ready(Err(error)) = written {
            self.write_error = Some(error.kind());
        }
    }

    /// Fails if writing has failed, also if nobody has asked for the outcome of a write since.
    fn check_writing(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> io::Result<()> {
        if self.write_error.is_none() {
            let flushed = AsyncWrite::poll_flush(self.as_mut().stream(), context);
            self.record_write(&flushed);
        }
        self.write_error.map_or(Ok(()), |kind| Err(kind.into()))
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.reads_in_a_row >= MAX_READS_IN_A_ROW {
            self.reads_in_a_row = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let read = AsyncRead::poll_read(self.as_mut().stream(), context, buffer);
        self.reads_in_a_row = if read.is_pending() { 0 } else { self.reads_in_a_row + 1 };
        let bytes = ready!(read)?;
        if bytes == 0 && !buffer.is_empty() {
            self.check_writing(context)?;
            return Poll::Ready(Ok(0));
        }
        self.meter.add_received(bytes);
        Poll::Ready(Ok(bytes))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = AsyncWrite::poll_write(self.as_mut().stream(), context, bytes);
        self.record_write(&written);
        if let Poll::Ready(Ok(bytes)) = &written {
            self.meter.add_sent(*bytes);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = AsyncWrite::poll_flush(self.as_mut().stream(), context);
        self.record_write(&flushed);
        flushed
    }

    fn poll_close(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        AsyncWrite::poll_close(self.stream(), context)
    }
}
