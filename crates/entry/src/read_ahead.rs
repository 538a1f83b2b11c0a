//! TCP stream that detects when the caller closes it, even behind pipelined requests.
//!
//! hyper reads a pipelined request only after the response to the one before, so it
//! does not notice a close that follows pipelined requests. While a request is served,
//! this stream reads ahead into a buffer until it sees the close; hyper then reads from
//! that buffer.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::bounded_stream::BoundedStream;
use crate::callers::OpenConnection;

/// Number of buffered bytes at which reading ahead stops. A close behind them is not
/// noticed, but pipelined requests are small.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;

/// Maximum number of bytes in one read.
const READ_CHUNK_BYTES: usize = 4 * 1024;

#[derive(Debug)]
struct Inner {
    stream: BoundedStream,
    buffered: BytesMut,
    closed: bool,
    connection: Rc<OpenConnection>,
    /// Memory that the head of a request may take at most, in bytes.
    max_head_bytes: usize,
}

/// Shared handle of a caller's connection.
#[derive(Clone, Debug)]
pub struct ReadAheadStream(Rc<RefCell<Inner>>);

impl ReadAheadStream {
    /// Wraps an accepted connection, whose request heads may take `max_head_bytes`.
    pub fn new(
        stream: TcpStream,
        connection: Rc<OpenConnection>,
        max_head_bytes: usize,
    ) -> ReadAheadStream {
        ReadAheadStream(Rc::new(RefCell::new(Inner {
            stream: BoundedStream::new(stream),
            buffered: BytesMut::new(),
            closed: false,
            connection,
            max_head_bytes,
        })))
    }

    /// Waits until the caller has closed its end or the connection has failed.
    pub async fn wait_closed(&self) {
        std::future::poll_fn(|context| self.0.borrow_mut().poll_closed(context)).await;
    }

    /// Whether reading ahead has found that the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.0.borrow().closed
    }
}

impl Inner {
    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        match written {
            Poll::Ready(Ok(bytes)) => self.connection.record_write(Some(*bytes)),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.connection.record_write(None),
        }
    }

    fn poll_closed(&mut self, context: &mut Context<'_>) -> Poll<()> {
        while !self.closed {
            if self.buffered.len() >= MAX_READ_AHEAD_BYTES {
                return Poll::Pending;
            }
            let mut chunk = [0; READ_CHUNK_BYTES];
            let mut buffer = ReadBuf::new(&mut chunk);
            let read = ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer));
            self.closed = read.is_err() || buffer.filled().is_empty();
            self.buffered.extend_from_slice(buffer.filled());
            // hyper may be waiting for these bytes in the same task.
            context.waker().wake_by_ref();
        }
        Poll::Ready(())
    }
}

impl AsyncRead for ReadAheadStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut inner = self.0.borrow_mut();
        if inner.buffered.is_empty() {
            if inner.closed {
                return Poll::Ready(Ok(()));
            }
            let before = buffer.filled().len();
            ready!(Pin::new(&mut inner.stream).poll_read(context, buffer))?;
            let read = buffer.filled().len() - before;
            if read > 0 {
                inner.connection.record_head(read, inner.max_head_bytes);
            }
            return Poll::Ready(Ok(()));
        }
        let length = inner.buffered.len().min(buffer.remaining());
        buffer.put_slice(&inner.buffered[..length]);
        inner.buffered.advance(length);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ReadAheadStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut inner = self.0.borrow_mut();
        let written = Pin::new(&mut inner.stream).poll_write(context, bytes);
        inner.record_write(&written);
        written
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let mut inner = self.0.borrow_mut();
        let written = Pin::new(&mut inner.stream).poll_write_vectored(context, parts);
        inner.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut inner = self.0.borrow_mut();
        ready!(Pin::new(&mut inner.stream).poll_flush(context))?;
        inner.connection.record_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_shutdown(context)
    }
}
