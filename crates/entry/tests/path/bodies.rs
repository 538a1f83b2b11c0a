//! Bodies that are collected in parts and counted.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame};
use medlarreel_core::entry::memory::Stage;
use medlarreel_entry::body::{CollectError, collect};
use medlarreel_entry::clock::Clock;
use medlarreel_entry::memory::Memory;

/// Memory of the process in bytes.
const MEMORY: u64 = 64_000_000;

/// A body of `left` bytes that arrives in pieces of a size.
struct Pieces {
    left: usize,
    size: usize,
}

impl Body for Pieces {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let length = self.size.min(self.left);
        self.left -= length;
        let piece = (length > 0).then(|| Frame::data(Bytes::from(vec![b'y'; length])));
        Poll::Ready(piece.map(Ok))
    }
}

/// Guards against a cost for each piece that is many times its size, and against bytes that
/// stay counted after the body is dropped.
#[tokio::test]
async fn pieces_of_a_body_cost_no_more_than_their_bytes() {
    let memory = Memory::new(Clock::start(), MEMORY);
    for (length, size, expected) in [
        (200_000, 1, None),
        (200_000, 7_000, Some(200_000)),
        (3, 1, Some(3)),
        (70_000, 70_000, None),
    ] {
        let pieces = Pieces { left: length, size };
        let lease = memory.open(Stage::Reading, false);

        let body = collect(pieces, expected, length, Some(&lease))
            .await
            .unwrap();

        let (held, ..) = memory.usage();
        let parts: Vec<usize> = body.parts().map(<[u8]>::len).collect();
        drop((body, lease));
        let (left, ..) = memory.usage();
        assert_eq!(parts.iter().sum::<usize>(), length);
        assert!(held <= length + (64 << 10), "{held} bytes for {length}");
        assert!(parts.len() <= length / (64 << 10) + 1, "{parts:?}");
        assert_eq!(left, 0);
    }
}

/// Guards against a body beyond the limit that is collected, or that keeps memory when it is
/// given up.
#[tokio::test]
async fn body_beyond_the_limit_leaves_nothing_behind() {
    let memory = Memory::new(Clock::start(), MEMORY);
    for expected in [None, Some(200_000)] {
        let pieces = Pieces {
            left: 200_000,
            size: 1_000,
        };
        let lease = memory.open(Stage::Reading, false);

        let outcome = collect(pieces, expected, 100_000, Some(&lease)).await;

        drop(lease);
        assert!(matches!(outcome, Err(CollectError::TooLong)));
        assert_eq!(memory.usage().0, 0);
    }
}
