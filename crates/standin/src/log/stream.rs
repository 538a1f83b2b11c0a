//! In-memory stream of records.

use std::collections::VecDeque;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Maximum size of the records in one response, before base64 encoding. A single record
/// may be larger.
const MAX_PAGE_BYTES: usize = 4 << 20;

/// Records with consecutive offsets, of which the oldest may have been dropped.
#[derive(Debug, Default)]
pub(super) struct Stream {
    earliest: u64,
    records: VecDeque<Bytes>,
}

/// Response to a read.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Page {
    /// Offset of the oldest record that is kept; equal to `next` if there is none.
    pub earliest: u64,
    /// Offset of the next record to be appended.
    pub next: u64,
    /// Records from the requested offset on. The stream may contain more, since the
    /// number and the size of the records in a response are limited.
    pub records: Vec<Record>,
}

/// A record in a response.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Record {
    /// Offset in the stream.
    pub offset: u64,
    /// Content, encoded as base64.
    pub data: String,
}

/// Offsets and size of a stream.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct StreamSummary {
    /// Offset of the oldest record that is kept; equal to `next` if there is none.
    pub earliest: u64,
    /// Offset of the next record to be appended.
    pub next: u64,
    /// Total size of the records that are kept, in bytes.
    pub bytes: usize,
}

impl Stream {
    /// Appends a record, drops the oldest records beyond `retention`, and returns the
    /// record's offset.
    pub(super) fn append(&mut self, data: Bytes, retention: usize) -> u64 {
        let offset = self.next_offset();
        self.records.push_back(data);
        let excess = self.records.len().saturating_sub(retention.max(1));
        self.trim(self.earliest + excess as u64);
        offset
    }

    /// Drops the records below an offset. An offset past the end drops all of them.
    pub(super) fn trim(&mut self, new_earliest: u64) {
        let new_earliest = new_earliest.clamp(self.earliest, self.next_offset());
        let count = (new_earliest - self.earliest) as usize;
        self.records.drain(..count);
        self.earliest = new_earliest;
    }

    /// Returns records from an offset on, limited by `max_records` and `MAX_PAGE_BYTES`.
    /// Fewer than `max_records` are therefore no sign of the end of the stream. Returns
    /// none if the offset has been dropped or not been reached.
    pub(super) fn page(&self, from: u64, max_records: usize) -> Page {
        let (earliest, next) = (self.earliest, self.next_offset());
        let mut records = Vec::new();
        if (earliest..next).contains(&from) {
            let mut bytes = 0;
            let found = self.records.iter().skip((from - earliest) as usize);
            for (offset, data) in (from..).zip(found).take(max_records) {
                // The first record is returned whatever its size, or readers would be
                // stuck.
                if bytes + data.len() > MAX_PAGE_BYTES && !records.is_empty() {
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
        let (earliest, next) = (self.earliest, self.next_offset());
        let bytes = self.records.iter().map(Bytes::len).sum();
        StreamSummary {
            earliest,
            next,
            bytes,
        }
    }

    fn next_offset(&self) -> u64 {
        self.earliest + self.records.len() as u64
    }
}
