//! Bodies of requests and responses, held in parts of bounded size.
//!
//! Parts of equal size leave no gaps behind when they are freed, and a body is passed on
//! part by part, so it is never copied as a whole.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use medlarreel_core::entry::link::PIECE_BYTES;
use medlarreel_core::entry::memory::SMALL_BODY_BYTES;

use crate::link::Transfer;
use crate::memory::Lease;

/// Size of all parts but the last, in bytes.
const PART_BYTES: usize = SMALL_BODY_BYTES;

/// Size of the buffer in which a body of unknown length begins, in bytes.
const FIRST_PART_BYTES: usize = 4 * 1024;

/// A complete body that is written as the link permits.
#[derive(Debug, Default)]
pub struct Response {
    payload: Payload,
    /// Transfer of a large response; `None` for a small one.
    transfer: Option<Transfer>,
}

impl Response {
    /// Creates the body of a response that is written in pieces, as `transfer` permits.
    pub fn paced(payload: Payload, transfer: Transfer) -> Response {
        Response {
            payload,
            transfer: Some(transfer),
        }
    }

    /// Number of bytes.
    pub fn len(&self) -> usize {
        self.payload.len()
    }

    /// Whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.payload.is_empty()
    }

    /// Memory that the body is counted in.
    pub fn lease(&self) -> Option<&Arc<Lease>> {
        self.payload.lease()
    }
}

impl From<Payload> for Response {
    fn from(payload: Payload) -> Response {
        Response {
            payload,
            transfer: None,
        }
    }
}

impl Body for Response {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let body = &mut *self;
        let Some(transfer) = &mut body.transfer else {
            return Pin::new(&mut body.payload).poll_frame(context);
        };
        let next = body.payload.parts.front().map_or(0, Bytes::len);
        let length = next.min(PIECE_BYTES);
        if length > 0 {
            ready!(transfer.poll_permit(context, length));
        }
        Poll::Ready(
            body.payload
                .take(length)
                .map(|piece| Ok(Frame::data(piece))),
        )
    }

    fn is_end_stream(&self) -> bool {
        self.payload.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.payload.size_hint()
    }
}

/// A complete body.
#[derive(Clone, Debug, Default)]
pub struct Payload {
    parts: VecDeque<Bytes>,
    length: usize,
    /// Memory that the parts are counted in; `None` if they aren't counted.
    lease: Option<Arc<Lease>>,
}

impl Payload {
    /// Number of bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Parts in order. How a body is divided depends on nothing but its bytes.
    pub fn parts(&self) -> impl Iterator<Item = &[u8]> {
        self.parts.iter().map(AsRef::as_ref)
    }

    /// Memory that the body is counted in.
    pub fn lease(&self) -> Option<&Arc<Lease>> {
        self.lease.as_ref()
    }

    /// Takes the next `length` bytes, which are all in the first part.
    fn take(&mut self, length: usize) -> Option<Bytes> {
        let part = self.parts.front_mut()?;
        let piece = part.split_to(length);
        if part.is_empty() {
            self.parts.pop_front();
        }
        self.length -= length;
        Some(piece)
    }

    /// The whole body in one piece, which is a copy if it has several parts.
    pub fn into_bytes(mut self) -> Bytes {
        if self.parts.len() <= 1 {
            return self.parts.pop_front().unwrap_or_default();
        }
        let mut whole = BytesMut::with_capacity(self.length);
        for part in &self.parts {
            whole.extend_from_slice(part);
        }
        whole.freeze()
    }
}

impl From<Bytes> for Payload {
    fn from(bytes: Bytes) -> Payload {
        Payload {
            length: bytes.len(),
            parts: (!bytes.is_empty()).then_some(bytes).into_iter().collect(),
            lease: None,
        }
    }
}

impl Body for Payload {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let part = self.parts.pop_front();
        self.length -= part.as_ref().map_or(0, Bytes::len);
        Poll::Ready(part.map(|part| Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.parts.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length as u64)
    }
}

/// Why a body could not be collected.
#[derive(Debug)]
pub enum CollectError {
    /// It is longer than the limit.
    TooLong,
    /// It was given up because memory is short.
    Evicted,
    /// The connection failed.
    Failed(hyper::Error),
}

/// Collects a body of at most `limit` bytes, whose length is `expected` if it is known. Its
/// bytes are counted in `lease`, or not at all without one.
///
/// # Errors
///
/// Returns an error if the body is not complete.
pub async fn collect(
    body: impl Body<Data = Bytes, Error = hyper::Error>,
    expected: Option<usize>,
    limit: usize,
    lease: Option<&Arc<Lease>>,
) -> Result<Payload, CollectError> {
    if expected.is_some_and(|length| length > limit) {
        return Err(CollectError::TooLong);
    }
    let mut collector = Collector {
        payload: Payload {
            lease: lease.cloned(),
            ..Payload::default()
        },
        part: Vec::new(),
        expected,
    };
    let mut body = std::pin::pin!(body);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(CollectError::Failed)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if collector.len() + data.len() > limit {
            return Err(CollectError::TooLong);
        }
        collector.push(&data).await?;
    }
    Ok(collector.finish())
}

/// A body that arrives. Dropping it gives back what was reserved for its unfinished part.
struct Collector {
    payload: Payload,
    part: Vec<u8>,
    expected: Option<usize>,
}

impl Collector {
    fn len(&self) -> usize {
        self.payload.length + self.part.len()
    }

    async fn push(&mut self, mut data: &[u8]) -> Result<(), CollectError> {
        while !data.is_empty() {
            if self.part.len() == self.part.capacity() {
                self.grow().await?;
            }
            let length = data.len().min(self.part.capacity() - self.part.len());
            let (head, rest) = data.split_at(length);
            self.part.extend_from_slice(head);
            data = rest;
            if self.part.len() == PART_BYTES {
                self.seal();
            }
        }
        Ok(())
    }

    /// Makes room in the part. What is reserved is its capacity.
    async fn grow(&mut self) -> Result<(), CollectError> {
        let capacity = self.part.capacity();
        let wanted = match self.expected {
            Some(expected) => expected.saturating_sub(self.payload.length),
            None => (2 * capacity).max(FIRST_PART_BYTES),
        };
        let wanted = wanted.clamp(capacity + 1, PART_BYTES);
        if let Some(lease) = &self.payload.lease {
            let reserved = lease.reserve(wanted - capacity).await;
            reserved.map_err(|_| CollectError::Evicted)?;
        }
        let mut part = Vec::with_capacity(wanted);
        part.append(&mut self.part);
        self.part = part;
        Ok(())
    }

    fn seal(&mut self) {
        let part = std::mem::take(&mut self.part);
        self.payload.length += part.len();
        let part = match &self.payload.lease {
            Some(lease) => lease.seal(part),
            None => part.into(),
        };
        self.payload.parts.push_back(part);
    }

    fn finish(mut self) -> Payload {
        if !self.part.is_empty() {
            self.seal();
        }
        std::mem::take(&mut self.payload)
    }
}

impl Drop for Collector {
    fn drop(&mut self) {
        let reserved = self.part.capacity();
        if let (Some(lease), 1..) = (&self.payload.lease, reserved) {
            lease.give_back(reserved);
        }
    }
}

/// Length that a message announces for its body; `None` if it is not known in advance.
pub fn announced_length(body: &Incoming) -> Option<usize> {
    let length = body.size_hint().exact()?;
    usize::try_from(length).ok()
}
