//! A caller's connection that tells when the caller has closed it.
//!
//! The HTTP library reads a pipelined request only after the answer before it,
//! so it does not see a close behind one. While a request is served, bytes are
//! read ahead of the library until the close comes into sight.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that are read ahead at most. Pipelined requests are small.
const AHEAD: usize = 64 * 1024;

/// Bytes of one read.
const CHUNK: usize = 4 * 1024;

#[derive(Debug)]
struct Inner {
    stream: TcpStream,
    ahead: BytesMut,
    closed: bool,
}

/// Shared handle of one connection.
#[derive(Clone, Debug)]
pub struct ReadAheadStream(Rc<RefCell<Inner>>);

impl ReadAheadStream {
    /// Handle of an accepted connection.
    pub fn new(stream: TcpStream) -> ReadAheadStream {
        ReadAheadStream(Rc::new(RefCell::new(Inner {
            stream,
            ahead: BytesMut::new(),
            closed: false,
        })))
    }

    /// Waits until the caller has closed its end or the connection is broken.
    pub async fn closed(&self) {
        std::future::poll_fn(|context| self.0.borrow_mut().poll_closed(context)).await;
    }

    /// Whether the caller has been seen to close its end.
    pub fn is_closed(&self) -> bool {
        self.0.borrow().closed
    }
}

impl Inner {
    fn poll_closed(&mut self, context: &mut Context<'_>) -> Poll<()> {
        while !self.closed {
            if self.ahead.len() >= AHEAD {
                return Poll::Pending;
            }
            let mut chunk = [0; CHUNK];
            let mut buffer = ReadBuf::new(&mut chunk);
            let read = ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer));
            self.closed = read.is_err() || buffer.filled().is_empty();
            self.ahead.extend_from_slice(buffer.filled());
            // The library may wait for these bytes in the same task.
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
        if inner.ahead.is_empty() {
            if inner.closed {
                return Poll::Ready(Ok(()));
            }
            return Pin::new(&mut inner.stream).poll_read(context, buffer);
        }
        let length = inner.ahead.len().min(buffer.remaining());
        buffer.put_slice(&inner.ahead[..length]);
        inner.ahead.advance(length);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ReadAheadStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_shutdown(context)
    }
}
