//! Bytes of responses that the kernel holds, since their clients do not take them.

use std::io;
use std::os::fd;
use std::time;

/// Bytes that are written without asking the kernel whether the client has taken what was before.
const CHECK_BYTES: usize = 8 << 10;
/// Most bytes that the kernel takes at once, whatever it holds already.
const KERNEL_PIECE_BYTES: usize = 64 << 10;

/// Lets the kernel take further bytes of a connection only while it holds less than `bytes` that were not
/// sent. Connections that a listener accepts have its limit.
///
/// # Errors
///
/// Fails if the system does not have this limit.
pub fn limit(socket: &impl fd::AsFd, bytes: usize) -> io::Result<()> {
    let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
    socket2::SockRef::from(socket).set_tcp_notsent_lowat(bytes)
}

/// Whether the kernel has sent nearly all that was written. It counts a connection as writable only while
/// it holds less than half of the limit.
pub fn is_taken(socket: &impl fd::AsFd) -> bool {
    let mut polled = [rustix::event::PollFd::new(socket, rustix::event::PollFlags::OUT)];
    let now = rustix::event::Timespec::default();
    // An error is no evidence that the client does not read.
    rustix::event::poll(&mut polled, Some(&now)) != Ok(0)
}

/// Discards what the kernel holds when `socket` is closed: it would go on to offer it to its client.
pub fn discard_on_close(socket: &impl fd::AsFd) {
    if let Err(error) = socket2::SockRef::from(socket).set_linger(Some(time::Duration::ZERO)) {
        log::debug!("event=socket_option_failed option=linger error={error:?}");
    }
}

/// Bytes of a connection's responses that its client may not have taken.
#[derive(Debug)]
pub struct Unsent {
    /// Most that the kernel holds.
    max_bytes: usize,
    /// Bytes that were written since the client had taken all, as far as is known.
    written_bytes: usize,
    /// Bytes that count as held.
    held_bytes: usize,
}

impl Unsent {
    /// Creates the count of a connection with this limit.
    pub fn new(limit_bytes: usize) -> Self {
        let max_bytes = limit_bytes.saturating_add(KERNEL_PIECE_BYTES);
        Unsent { max_bytes, written_bytes: 0, held_bytes: 0 }
    }

    /// Bytes that count as held.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Records that `bytes` were written. Returns how many the process no longer has to count.
    pub fn record_written(&mut self, bytes: usize, is_taken: impl FnOnce() -> bool) -> usize {
        self.written_bytes = self.written_bytes.saturating_add(bytes);
        self.held_bytes = self.held_bytes.saturating_add(bytes);
        if self.written_bytes < CHECK_BYTES {
            return std::mem::take(&mut self.held_bytes);
        }
        self.release(is_taken)
    }

    /// Returns how many bytes the process no longer has to count.
    pub fn release(&mut self, is_taken: impl FnOnce() -> bool) -> usize {
        let kept = if is_taken() { 0 } else { self.held_bytes.min(self.max_bytes) };
        if kept == 0 {
            self.written_bytes = 0;
        }
        std::mem::replace(&mut self.held_bytes, kept) - kept
    }
}
