//! Limit of the memory that buffers of one kind take together. One thread adds to them; others may read
//! the count.

use std::sync;
use std::sync::atomic;

/// The buffers take as much memory as they may.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("buffers take as much memory as they may; what was to be held has to be dropped")]
pub struct OutOfBudget;

/// Number of bytes that buffers may hold together. Clones share the count.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    max_bytes: usize,
    /// Size up to which a buffer may grow in any case.
    free_bytes: usize,
    used_bytes: sync::Arc<atomic::AtomicUsize>,
}

impl ByteBudget {
    /// Creates a budget of `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        ByteBudget { max_bytes, free_bytes: 0, used_bytes: sync::Arc::default() }
    }

    /// Lets each buffer grow to `bytes` in any case, so that large ones do not take the memory of small
    /// ones.
    pub fn with_free_bytes(mut self, bytes: usize) -> Self {
        self.free_bytes = bytes;
        self
    }

    /// Maximum number of bytes.
    pub fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    /// Number of bytes that are held.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.load(atomic::Ordering::Relaxed)
    }

    /// Begins a buffer, whose bytes are released when the returned value is dropped.
    pub fn begin(&self) -> HeldBytes {
        HeldBytes { budget: self.clone(), bytes: 0 }
    }

    /// Begins a buffer of `bytes`.
    ///
    /// # Errors
    ///
    /// Fails if there is no room for it.
    pub fn hold(&self, bytes: usize) -> Result<HeldBytes, OutOfBudget> {
        let mut held = self.begin();
        held.add(bytes)?;
        Ok(held)
    }
}

/// Bytes that one buffer holds.
#[derive(Debug)]
#[must_use]
pub struct HeldBytes {
    budget: ByteBudget,
    bytes: usize,
}

impl HeldBytes {
    /// Adds `count` bytes.
    ///
    /// # Errors
    ///
    /// Fails if all buffers together exceed the budget, unless this one is small or the only one.
    pub fn add(&mut self, count: usize) -> Result<(), OutOfBudget> {
        let (used, own) = (self.budget.used_bytes() + count, self.bytes + count);
        if used > self.budget.max_bytes && own > self.budget.free_bytes && own < used {
            return Err(OutOfBudget);
        }
        self.bytes = own;
        self.budget.used_bytes.store(used, atomic::Ordering::Relaxed);
        Ok(())
    }

    /// Releases all but `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        let released = self.bytes.saturating_sub(bytes);
        self.bytes -= released;
        let used = self.budget.used_bytes().saturating_sub(released);
        self.budget.used_bytes.store(used, atomic::Ordering::Relaxed);
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}
