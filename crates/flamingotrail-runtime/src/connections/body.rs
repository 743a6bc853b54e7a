//! Buffer of a body that is being received.

use bytes::Bytes;

/// Size of a segment in bytes. Segments of one size leave no holes behind when many bodies that grow
/// together are dropped.
const SEGMENT_BYTES: usize = 32 << 10;
/// Smallest size of the last segment, which doubles up to that of the others, in bytes.
const MIN_SEGMENT_BYTES: usize = 2 << 10;

/// Buffer that grows in segments, so that what it takes is close to what it holds and nothing is
/// copied while it grows.
#[derive(Debug, Default)]
pub struct BodyBuffer {
    full: Vec<Vec<u8>>,
    last: Vec<u8>,
    max_bytes: usize,
}

impl BodyBuffer {
    /// Creates an empty buffer for up to `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        BodyBuffer { full: Vec::new(), last: Vec::new(), max_bytes }
    }

    /// Number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.full.len() * SEGMENT_BYTES + self.last.len()
    }

    /// Whether the buffer is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Memory that the buffer takes, in bytes.
    pub fn capacity(&self) -> usize {
        self.full.len() * SEGMENT_BYTES + self.last.capacity()
    }

    /// Returns the memory that the buffer takes with `count` further bytes; `None` if these are more
    /// than it may hold.
    pub fn capacity_with(&self, count: usize) -> Option<usize> {
        let len = self.len().checked_add(count).filter(|len| *len <= self.max_bytes)?;
        let last = last_segment_bytes(len % SEGMENT_BYTES);
        Some((len / SEGMENT_BYTES * SEGMENT_BYTES + last).max(self.capacity()))
    }

    /// Adds bytes, for which `capacity_with` has returned a size.
    pub fn extend(&mut self, mut data: &[u8]) {
        while !data.is_empty() {
            let count = data.len().min(SEGMENT_BYTES - self.last.len());
            let capacity = last_segment_bytes(self.last.len() + count);
            self.last.reserve_exact(capacity.saturating_sub(self.last.len()));
            self.last.extend_from_slice(&data[..count]);
            data = &data[count..];
            if self.last.len() == SEGMENT_BYTES {
                self.full.push(std::mem::take(&mut self.last));
            }
        }
    }

    /// Returns the complete body without unused memory.
    pub fn into_bytes(mut self) -> Bytes {
        if self.full.is_empty() {
            self.last.shrink_to_fit();
            return self.last.into();
        }
        let mut whole = Vec::with_capacity(self.len());
        for segment in self.full {
            whole.extend_from_slice(&segment);
        }
        whole.extend_from_slice(&self.last);
        whole.into()
    }
}

/// Size of the last segment with `len` bytes.
fn last_segment_bytes(len: usize) -> usize {
    match len {
        0 => 0,
        len => len.next_power_of_two().clamp(MIN_SEGMENT_BYTES, SEGMENT_BYTES),
    }
}
