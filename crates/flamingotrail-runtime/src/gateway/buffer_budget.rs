//! Limit of the memory that responses of endpoints take together: unfinished ones, and the outputs of
//! turns until these have ended.

use std::cell;
use std::rc;

/// All unfinished responses together may take the process's memory divided by this number.
const MEMORY_DIVISOR: usize = 5;
/// Size up to which a response is buffered in any case, in bytes, so that large ones do not take the
/// memory of others.
const MIN_RESPONSE_BYTES: usize = 64 << 10;

/// The unfinished responses take too much memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unfinished responses exceed their memory; the request may have been processed")]
pub struct BufferFull;

/// Bytes that are buffered for unfinished responses. Clones share the count.
#[derive(Clone)]
pub struct BufferBudget {
    max_bytes: usize,
    used_bytes: rc::Rc<cell::Cell<usize>>,
}

impl BufferBudget {
    /// Creates a budget for a process that may use `memory_bytes`.
    pub fn new(memory_bytes: usize) -> Self {
        BufferBudget { max_bytes: memory_bytes / MEMORY_DIVISOR, used_bytes: rc::Rc::default() }
    }

    /// Begins a response, whose bytes are released when the returned value is dropped.
    pub fn begin(&self) -> BufferedBytes {
        BufferedBytes { budget: self.clone(), bytes: 0 }
    }
}

/// Bytes that are buffered for one response.
#[must_use]
pub struct BufferedBytes {
    budget: BufferBudget,
    bytes: usize,
}

impl BufferedBytes {
    /// Adds `count` bytes.
    ///
    /// # Errors
    ///
    /// Fails if all responses together exceed their limit, unless this one is small.
    pub fn add(&mut self, count: usize) -> Result<(), BufferFull> {
        let used = self.budget.used_bytes.get() + count;
        if used > self.budget.max_bytes && self.bytes + count > MIN_RESPONSE_BYTES {
            return Err(BufferFull);
        }
        self.bytes += count;
        self.budget.used_bytes.set(used);
        Ok(())
    }
}

impl BufferedBytes {
    /// Releases all but `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        let released = self.bytes.saturating_sub(bytes);
        self.bytes -= released;
        self.budget.used_bytes.set(self.budget.used_bytes.get().saturating_sub(released));
    }
}

impl Drop for BufferedBytes {
    fn drop(&mut self) {
        self.budget.used_bytes.set(self.budget.used_bytes.get().saturating_sub(self.bytes));
    }
}
