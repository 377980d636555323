//! A connection over which HTTP requests are sent.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, Waker, ready},
};

use futures_util::{AsyncRead, AsyncWrite};
use hyper::rt::{Read, ReadBufCursor, Write};

use crate::metered_stream::MeteredStream;

/// Size of the read buffer.
const CHUNK_BYTES: usize = 16 * 1024;

/// The most bytes that a server may send until the head of its answer is complete, with all interim
/// responses before it, and from then on until the next bytes of the body. hyper reads two chunks of
/// the body ahead at most, which count as well, so there is room for a head of 64 KiB.
const MAX_BYTES_BETWEEN_PARTS: usize = 64 * 1024 + 2 * CHUNK_BYTES;

/// How writing fails if the server has closed the connection. Reading ends then as well.
const CLOSED: [io::ErrorKind; 2] = [io::ErrorKind::BrokenPipe, io::ErrorKind::ConnectionReset];

/// How much a server may still send until the next part of its answer is complete. It bounds how
/// much is read of bytes that are no answer.
#[derive(Clone, Debug)]
pub(crate) struct ReadAllowance {
    left: Rc<Cell<usize>>,
}

impl Default for ReadAllowance {
    fn default() -> Self {
        Self { left: Rc::new(Cell::new(MAX_BYTES_BETWEEN_PARTS)) }
    }
}

impl ReadAllowance {
    /// A request is sent, or a part of its answer is complete.
    pub(crate) fn refill(&self) {
        self.left.set(MAX_BYTES_BETWEEN_PARTS);
    }

    fn take(&self, bytes: usize) -> io::Result<()> {
        let left = self.left.get().checked_sub(bytes).ok_or(io::ErrorKind::InvalidData)?;
        self.left.set(left);
        Ok(())
    }
}

/// A connection for hyper, as the client.
///
/// Its end may be the end of an answer. A server that ends the connection before it has read the
/// request has not answered properly, so the end is reported only once everything is written.
#[derive(Debug)]
pub(crate) struct RequestStream {
    stream: MeteredStream,

    /// Read buffer. Reading directly into hyper's own buffer needs unsafe code.
    chunk: Box<[u8]>,

    /// Whether all that hyper has handed over is written. It hands over a whole request before it
    /// flushes.
    is_flushed: bool,

    /// The task to which the end of the connection was not reported yet.
    end_waker: Option<Waker>,
    allowance: ReadAllowance,
}

impl RequestStream {
    /// Wraps a connection on which nothing was sent yet.
    pub(crate) fn new(stream: MeteredStream, allowance: ReadAllowance) -> Self {
        let chunk = vec![0; CHUNK_BYTES].into_boxed_slice();
        Self { stream, chunk, is_flushed: true, end_waker: None, allowance }
    }

    fn stream(self: Pin<&mut Self>) -> Pin<&mut MeteredStream> {
        Pin::new(&mut self.get_mut().stream)
    }
}

/// The outcome of a write. A server that takes no more of a request may have answered it, so only
/// reading tells that the connection has ended, after what has arrived.
fn unless_closed<T>(written: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
    match written {
        Poll::Ready(Err(error)) if CLOSED.contains(&error.kind()) => Poll::Pending,
        written => written,
    }
}

impl Read for RequestStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let capacity = buffer.remaining().min(this.chunk.len());
        let chunk = &mut this.chunk[..capacity];
        let bytes = ready!(Pin::new(&mut this.stream).poll_read(context, chunk))?;
        if bytes == 0 && capacity > 0 && !this.is_flushed {
            this.end_waker = Some(context.waker().clone());
            return Poll::Pending;
        }
        this.allowance.take(bytes)?;
        buffer.put_slice(&chunk[..bytes]);
        Poll::Ready(Ok(()))
    }
}

impl Write for RequestStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.is_flushed = false;
        unless_closed(self.stream().poll_write(context, bytes))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.is_flushed = false;
        unless_closed(self.stream().poll_write_vectored(context, bytes))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(unless_closed(self.as_mut().stream().poll_flush(context)))?;
        self.is_flushed = true;
        if let Some(waker) = self.end_waker.take() {
            waker.wake();
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().poll_close(context)
    }
}
