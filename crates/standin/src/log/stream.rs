//! Records of one stream.

use std::collections::VecDeque;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Bytes of records after which an answer is cut off.
const PAGE_BYTES: usize = 4 << 20;

/// Records with consecutive offsets; the oldest are dropped.
#[derive(Debug, Default)]
pub(super) struct Stream {
    earliest: u64,
    records: VecDeque<Bytes>,
}

/// Answer to a read.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Page {
    /// Offset of the oldest record kept.
    pub earliest: u64,
    /// Offset that the next append will get.
    pub next: u64,
    /// Records found.
    pub records: Vec<Record>,
}

/// One record of an answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Record {
    /// Position in the stream.
    pub offset: u64,
    /// Bytes in base64.
    pub data: String,
}

/// Extent of a stream.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct StreamSummary {
    /// Offset of the oldest record kept.
    pub earliest: u64,
    /// Offset that the next append will get.
    pub next: u64,
    /// Bytes of all records kept.
    pub bytes: usize,
}

impl Stream {
    /// Adds a record and returns its offset; drops records over `retention`.
    pub(super) fn append(&mut self, data: Bytes, retention: usize) -> u64 {
        let offset = self.next();
        self.records.push_back(data);
        let over = self.records.len().saturating_sub(retention.max(1));
        self.trim(self.earliest + over as u64);
        offset
    }

    /// Drops the records below an offset.
    pub(super) fn trim(&mut self, before: u64) {
        let before = before.clamp(self.earliest, self.next());
        let count = (before - self.earliest) as usize;
        self.records.drain(..count);
        self.earliest = before;
    }

    /// Records from an offset on; none if that offset has been dropped.
    pub(super) fn page(&self, from: u64, max: usize) -> Page {
        let (earliest, next) = (self.earliest, self.next());
        let mut records = Vec::new();
        if (earliest..next).contains(&from) {
            let mut bytes = 0;
            let found = self.records.iter().skip((from - earliest) as usize);
            for (offset, data) in (from..).zip(found).take(max) {
                // The first record is always returned, or a reader would not advance.
                if bytes + data.len() > PAGE_BYTES && !records.is_empty() {
                    break;
                }
                bytes += data.len();
                let data = STANDARD.encode(data);
                records.push(Record { offset, data });
            }
        }
        Page {
            earliest,
            next,
            records,
        }
    }

    pub(super) fn summary(&self) -> StreamSummary {
        let (earliest, next) = (self.earliest, self.next());
        let bytes = self.records.iter().map(Bytes::len).sum();
        StreamSummary {
            earliest,
            next,
            bytes,
        }
    }

    fn next(&self) -> u64 {
        self.earliest + self.records.len() as u64
    }
}
