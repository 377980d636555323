//! A TCP connection that counts its bytes.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use compio::net::TcpStream;
use cyper_core::HyperStream;
use futures_util::{AsyncRead, AsyncWrite};
use hyper::rt::{Read, ReadBufCursor, Write};

use crate::ByteMeter;

/// Size of the read buffer.
const CHUNK_BYTES: usize = 16 * 1024;

/// A TCP connection for hyper and for framing, counted by a [`ByteMeter`].
#[derive(Debug)]
pub(crate) struct MeteredStream {
    stream: HyperStream<TcpStream>,
    meter: ByteMeter,

    /// Read buffer. Bytes read directly into hyper's own buffer cannot be counted without unsafe
    /// code.
    chunk: Box<[u8]>,
}

impl MeteredStream {
    /// Wraps a connection and disables Nagle's algorithm, so that small messages are sent
    /// immediately.
    pub(crate) fn new(stream: TcpStream, meter: ByteMeter) -> Self {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("adapters: cannot set TCP_NODELAY: {error}.");
        }
        let chunk = vec![0; CHUNK_BYTES].into_boxed_slice();
        Self { stream: HyperStream::new_plain(stream), meter, chunk }
    }

    fn stream(self: Pin<&mut Self>) -> Pin<&mut HyperStream<TcpStream>> {
        Pin::new(&mut self.get_mut().stream)
    }

    fn count_sent(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = &written {
            self.meter.add_sent(*bytes);
        }
        written
    }
}

impl Read for MeteredStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let capacity = buffer.remaining().min(this.chunk.len());
        let chunk = &mut this.chunk[..capacity];
        let bytes = ready!(AsyncRead::poll_read(Pin::new(&mut this.stream), context, chunk))?;
        this.meter.add_received(bytes);
        buffer.put_slice(&chunk[..bytes]);
        Poll::Ready(Ok(()))
    }
}

impl Write for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = AsyncWrite::poll_write(self.as_mut().stream(), context, bytes);
        self.count_sent(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = AsyncWrite::poll_write_vectored(self.as_mut().stream(), context, bytes);
        self.count_sent(written)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        AsyncWrite::poll_flush(self.stream(), context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        AsyncWrite::poll_close(self.stream(), context)
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let bytes = ready!(AsyncRead::poll_read(self.as_mut().stream(), context, buffer))?;
        self.meter.add_received(bytes);
        Poll::Ready(Ok(bytes))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Write::poll_write(self, context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Write::poll_flush(self, context)
    }

    fn poll_close(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Write::poll_shutdown(self, context)
    }
}
