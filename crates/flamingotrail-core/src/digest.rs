//! BLAKE3 digests, message authentication codes and rendezvous hashing.

use std::fmt;

/// Length of a [`Digest`] in bytes.
pub const DIGEST_BYTES: usize = 32;

/// A 256-bit BLAKE3 digest.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Digest(pub [u8; DIGEST_BYTES]);

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from_bytes(self.0).to_hex())
    }
}

/// Builds a digest or a message authentication code (MAC) over length-prefixed fields.
///
/// The length prefixes keep different sequences of fields from hashing the same bytes.
pub struct Hasher(blake3::Hasher);

impl Hasher {
    /// Starts an unkeyed digest. `context` separates domains, so that different kinds of data with
    /// the same fields have different digests.
    pub fn new(context: &str) -> Self {
        Hasher(blake3::Hasher::new()).with_bytes(context.as_bytes())
    }

    /// Starts a MAC keyed with `key`; `context` separates domains as in [`Hasher::new`].
    pub fn with_key(key: &Digest, context: &str) -> Self {
        Hasher(blake3::Hasher::new_keyed(&key.0)).with_bytes(context.as_bytes())
    }

    /// Returns the hasher with `bytes` added as one length-prefixed field.
    pub fn with_bytes(mut self, bytes: &[u8]) -> Self {
        self.add(bytes);
        self
    }

    /// Returns the hasher with `number` added as a field of 8 little-endian bytes.
    pub fn with_number(self, number: u64) -> Self {
        self.with_bytes(&number.to_le_bytes())
    }

    /// Adds `bytes` as one length-prefixed field.
    pub fn add(&mut self, bytes: &[u8]) {
        self.0.update(&(bytes.len() as u64).to_le_bytes());
        self.0.update(bytes);
    }

    /// Returns the digest of the context and all fields added so far.
    pub fn finish(&self) -> Digest {
        Digest(*self.0.finalize().as_bytes())
    }
}

/// Hashes a bearer token the way the configuration stores it.
pub fn hash_token(token: &str) -> Digest {
    Hasher::new("token").with_bytes(token.as_bytes()).finish()
}

/// Returns the weight of `member` for `key` in rendezvous (highest random weight) hashing; the
/// member with the highest weight is preferred (Thaler and Ravishankar, "Using name-based mappings
/// to increase hit rates", 1998).
pub fn rendezvous_weight(key: &str, member: &str) -> u64 {
    let digest =
        Hasher::new("rendezvous").with_bytes(key.as_bytes()).with_bytes(member.as_bytes()).finish();
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&digest.0[..8]);
    u64::from_le_bytes(prefix)
}

/// Compares two digests in constant time, so that timing does not reveal where they differ.
pub fn constant_time_eq(a: &Digest, b: &Digest) -> bool {
    blake3::Hash::from_bytes(a.0) == blake3::Hash::from_bytes(b.0)
}
