//! Encoding of a configuration that one VM sends to another: its head and the chunks of its
//! declaration that the receiver may lack.
//!
//! The key of a chunk contains the hash of its content, so the receiver checks every chunk against
//! the head.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::OfferError;
use crate::ids::ObjectKey;
use crate::peer::Blob;
use crate::schema::declaration::{ChunkRef, Head};

const CHUNK_PREFIX: &str = "config/chunk/";

/// The store's key of a chunk: the prefix of all chunks and the hash of the content.
pub fn chunk_key(content: &[u8]) -> Result<ObjectKey, OfferError> {
    let hash = blake3::hash(content).to_hex();
    let key = format!("{CHUNK_PREFIX}{hash}").parse();
    key.or(Err(OfferError::Malformed))
}

/// The head of a configuration with some or all of its chunks, encoded as CBOR.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    head: Head,
    chunks: BTreeMap<ObjectKey, Blob>,
}

impl Bundle {
    /// Makes a bundle of a head and those of its chunks that the receiver may lack.
    pub fn pack<I>(head: Head, chunks: I) -> Self
    where
        I: IntoIterator<Item = (ObjectKey, Bytes)>,
    {
        let chunks = chunks.into_iter().map(|(key, bytes)| (key, Blob(bytes)));
        Self {
            head,
            chunks: chunks.collect(),
        }
    }

    /// The head as received; [`Self::verify`] checks only the chunks against it.
    pub fn head(&self) -> &Head {
        &self.head
    }

    /// Encodes the bundle as CBOR.
    pub fn encode(&self) -> Result<Bytes, OfferError> {
        let mut out = Vec::new();
        ciborium::into_writer(self, &mut out).or(Err(OfferError::Malformed))?;
        Ok(out.into())
    }

    /// Decodes a bundle; bytes after it are an error.
    pub fn decode(bytes: &[u8]) -> Result<Self, OfferError> {
        let mut rest = bytes;
        let bundle = ciborium::from_reader(&mut rest).or(Err(OfferError::Malformed))?;
        if rest.is_empty() {
            Ok(bundle)
        } else {
            Err(OfferError::Malformed)
        }
    }

    /// Returns the contents of all chunks of the head in its order, each checked against its hash
    /// and size; `find_value` returns those that the bundle leaves out.
    ///
    /// # Errors
    ///
    /// [`OfferError::Malformed`] where the bundle has a chunk that its head does not name,
    /// [`OfferError::Missing`] where a chunk is not found, [`OfferError::HashMismatch`] where one does
    /// not match.
    pub fn verify<H>(&self, find_value: H) -> Result<Vec<Bytes>, OfferError>
    where
        H: Fn(&ObjectKey) -> Option<Bytes>,
    {
        let named = |key: &ObjectKey| self.head.chunks.iter().any(|c| c.key == *key);
        if !self.chunks.keys().all(named) {
            return Err(OfferError::Malformed);
        }
        let chunks = self.head.chunks.iter();
        chunks
            .map(|chunk| self.verify_chunk(chunk, &find_value))
            .collect()
    }

    fn verify_chunk<H>(&self, chunk: &ChunkRef, find_value: &H) -> Result<Bytes, OfferError>
    where
        H: Fn(&ObjectKey) -> Option<Bytes>,
    {
        let packed = self.chunks.get(&chunk.key).map(|c| c.0.clone());
        let content = packed.or_else(|| find_value(&chunk.key));
        let content = content.ok_or_else(|| OfferError::Missing(chunk.key.clone()))?;
        if content.len() as u64 != chunk.size.0 || chunk_key(&content)? != chunk.key {
            return Err(OfferError::HashMismatch(chunk.key.clone()));
        }
        Ok(content)
    }
}
