//! Callers' keys.
//!
//! A key is the prefix `bk_` and 32 random bytes in hexadecimal. Only its hash is ever stored, sent
//! between VMs or logged. A request's key is looked up by its hash, so that the time of the lookup
//! reveals nothing about the key.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use thiserror::Error;

const PREFIX: &str = "bk_";
const HASH_CONTEXT: &str = "basilgw 2026 caller key";
const KEY_BYTES: usize = 32;

/// Why a text cannot be parsed as a key or as the hash of a key.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum KeyError {
    /// The text of a hash is not the hexadecimal form of 32 bytes.
    #[error("expected 64 hexadecimal digits")]
    Hash,
    /// The text of a key lacks the prefix or the 64 hexadecimal digits.
    #[error("expected a key")]
    Key,
}

/// A caller's secret key. It has no `Display`, and its `Debug` hides the secret.
#[derive(Clone, PartialEq, Eq)]
pub struct Key(CompactString);

impl Key {
    /// Generates a random key.
    pub fn mint() -> Self {
        let bytes: [u8; KEY_BYTES] = rand::random();
        let hex = blake3::Hash::from_bytes(bytes).to_hex();
        Self(CompactString::from(PREFIX) + hex.as_str())
    }

    /// The hash under which the key is declared.
    pub fn hash(&self) -> KeyHash {
        KeyHash(blake3::derive_key(HASH_CONTEXT, self.0.as_bytes()))
    }

    /// The secret as text, to be shown once to its owner.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

impl FromStr for Key {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        let hex = text.strip_prefix(PREFIX).ok_or(KeyError::Key)?;
        blake3::Hash::from_hex(hex).or(Err(KeyError::Key))?;
        Ok(Self(CompactString::new(text)))
    }
}

/// The hash of a key; its text is 64 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "CompactString", into = "CompactString")]
pub struct KeyHash([u8; KEY_BYTES]);

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from_bytes(self.0).to_hex())
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyHash({self})")
    }
}

impl FromStr for KeyHash {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        let hash = blake3::Hash::from_hex(text).or(Err(KeyError::Hash))?;
        Ok(Self(*hash.as_bytes()))
    }
}

impl TryFrom<CompactString> for KeyHash {
    type Error = KeyError;

    fn try_from(text: CompactString) -> Result<Self, KeyError> {
        text.parse()
    }
}

impl From<KeyHash> for CompactString {
    fn from(hash: KeyHash) -> Self {
        CompactString::from(blake3::Hash::from_bytes(hash.0).to_hex().as_str())
    }
}
