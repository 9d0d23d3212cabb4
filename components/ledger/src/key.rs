//! Idempotency keys: UUIDs of version 7, which contain a time.

use clock::Millis;
use snafu::Snafu;
use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64;

/// Result of parsing a key.
pub type Result<T, E = KeyError> = std::result::Result<T, E>;

/// How far a key's time may be ahead of this daemon's clock.
pub const FUTURE_SKEW: Millis = Millis(10_000);

const BUCKETS_PER_SERVICE: u64 = 4;

/// Why a text is not an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum KeyError {
    /// The text is not a UUID.
    #[snafu(display("the Idempotency-Key is not a UUID"))]
    NotUuid,
    /// The UUID has another version.
    #[snafu(display("the Idempotency-Key is a UUID of version {version}; version 7 is needed"))]
    NotVersion7 {
        /// The version of the UUID.
        version: usize,
    },
}

/// An idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Key {
    /// The UUID in its canonical form.
    pub text: String,
    /// The time encoded in the key, as wall-clock time.
    pub time: Millis,
}

impl Key {
    /// Parses the value of a caller's `Idempotency-Key` header.
    ///
    /// # Errors
    ///
    /// Fails if the text is not a UUID of version 7.
    pub fn parse(text: &str) -> Result<Self> {
        let uuid = Uuid::try_parse(text.trim()).map_err(|_| KeyError::NotUuid)?;
        let version = uuid.get_version_num();
        let timestamp = uuid.get_timestamp().filter(|_| version == 7);
        let (seconds, nanos) = timestamp
            .ok_or(KeyError::NotVersion7 { version })?
            .to_unix();
        let time = Millis(seconds * 1_000 + u64::from(nanos) / 1_000_000);
        Ok(Self {
            text: uuid.to_string(),
            time,
        })
    }

    /// Returns the store key of the bucket that holds this key's claim.
    pub fn bucket(&self, service: &str) -> String {
        format!(
            "ledger/{service}/{}",
            xxh3_64(self.text.as_bytes()) % BUCKETS_PER_SERVICE
        )
    }
}
