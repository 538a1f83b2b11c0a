//! TCP stream that bounds what its peer can make this process do.
//!
//! An HTTP library goes on parsing while bytes are there, for example interim heads or
//! chunk lines without end, and all tasks of an instance share one thread. This stream
//! returns a few bytes at a time, lets other tasks run in between, and fails once the peer
//! has sent more than it may.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum number of bytes in one read.
const READ_BYTES: usize = 16 * 1024;

/// Number of bytes after which other tasks run.
const BURST_BYTES: usize = 64 * 1024;

/// Number of bytes that the peer may still send.
#[derive(Clone, Debug)]
pub struct Allowance(Rc<Cell<usize>>);

impl Allowance {
    /// Lets the peer send `bytes` from now on.
    pub fn set(&self, bytes: usize) {
        self.0.set(bytes);
    }

    /// Lets the peer send `bytes` more.
    pub fn extend(&self, bytes: usize) {
        self.0.set(self.0.get().saturating_add(bytes));
    }
}

/// TCP stream with bounded reads.
#[derive(Debug)]
pub struct BoundedStream {
    stream: TcpStream,
    allowance: Allowance,
    /// Number of bytes read since other tasks could last run.
    burst: usize,
}

impl BoundedStream {
    /// Wraps a stream whose peer may send any number of bytes.
    pub fn new(stream: TcpStream) -> BoundedStream {
        BoundedStream {
            stream,
            allowance: Allowance(Rc::new(Cell::new(usize::MAX))),
            burst: 0,
        }
    }

    /// Number of bytes that the peer may still send.
    pub fn allowance(&self) -> Allowance {
        self.allowance.clone()
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let stream = &mut *self;
        if stream.burst >= BURST_BYTES {
            stream.burst = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let left = stream.allowance.0.get();
        if left == 0 {
            let error = io::Error::new(io::ErrorKind::InvalidData, "too many bytes");
            return Poll::Ready(Err(error));
        }
        let length = READ_BYTES.min(left).min(buffer.remaining());
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(length));
        let polled = Pin::new(&mut stream.stream).poll_read(context, &mut part);
        if polled.is_pending() {
            stream.burst = 0;
        }
        ready!(polled)?;
        let read = part.filled().len();
        buffer.advance(read);
        stream.burst += read;
        stream.allowance.set(left - read);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
