//! Stable digests, authentication codes and rendezvous weights (BLAKE3).

use std::fmt;

/// Bytes in a digest.
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

/// Builds a digest or an authentication code over length-prefixed fields.
pub struct Hasher(blake3::Hasher);

impl Hasher {
    /// A digest in the domain named by `context`, so that digests of different things never meet.
    pub fn new(context: &str) -> Self {
        Hasher(blake3::Hasher::new()).with_bytes(context.as_bytes())
    }

    /// An authentication code under `key`.
    pub fn with_key(key: &Digest, context: &str) -> Self {
        Hasher(blake3::Hasher::new_keyed(&key.0)).with_bytes(context.as_bytes())
    }

    /// Adds one field, prefixed by its length.
    pub fn with_bytes(mut self, bytes: &[u8]) -> Self {
        self.add(bytes);
        self
    }

    /// Adds one number.
    pub fn with_number(self, number: u64) -> Self {
        self.with_bytes(&number.to_le_bytes())
    }

    /// Adds one field in place.
    pub fn add(&mut self, bytes: &[u8]) {
        self.0.update(&(bytes.len() as u64).to_le_bytes());
        self.0.update(bytes);
    }

    /// The digest of what was added.
    pub fn finish(&self) -> Digest {
        Digest(*self.0.finalize().as_bytes())
    }
}

/// Digest of a bearer token, as it stands in the configuration.
pub fn hash_token(token: &str) -> Digest {
    Hasher::new("token").with_bytes(token.as_bytes()).finish()
}

/// Rendezvous weight of `member` for `key`: the highest weight is preferred (Thaler and
/// Ravishankar, "Using name-based mappings to increase hit rates", 1998).
pub fn rendezvous_weight(key: &str, member: &str) -> u64 {
    let digest =
        Hasher::new("rendezvous").with_bytes(key.as_bytes()).with_bytes(member.as_bytes()).finish();
    let mut first = [0; 8];
    first.copy_from_slice(&digest.0[..8]);
    u64::from_le_bytes(first)
}

/// Whether two digests are equal, in time that does not depend on where they differ.
pub fn constant_time_eq(a: &Digest, b: &Digest) -> bool {
    blake3::Hash::from_bytes(a.0) == blake3::Hash::from_bytes(b.0)
}
