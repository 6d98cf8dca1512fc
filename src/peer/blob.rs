//! Bytes that serde encodes as one byte string; it encodes `Vec<u8>` as a list of numbers.

use std::fmt;

use bytes::Bytes;
use serde::de::Visitor;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Bytes that are serialised as a byte string.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Blob(pub Bytes);

impl Serialize for Blob {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_byte_buf(BlobVisitor)
    }
}

struct BlobVisitor;

impl Visitor<'_> for BlobVisitor {
    type Value = Blob;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a byte string")
    }

    fn visit_bytes<E>(self, v: &[u8]) -> Result<Blob, E> {
        Ok(Blob(Bytes::copy_from_slice(v)))
    }

    fn visit_byte_buf<E>(self, v: Vec<u8>) -> Result<Blob, E> {
        Ok(Blob(v.into()))
    }
}
