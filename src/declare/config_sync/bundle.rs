//! The form in which a configuration is handed on: its head, with chunks of its declaration.
//!
//! Chunks are named by their content, so a bundle is checked against its head before use.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::OfferError;
use crate::ids::ObjectKey;
use crate::peer::Blob;
use crate::schema::declaration::{ChunkRef, Head};

const CHUNK_PREFIX: &str = "config/chunk/";

/// The key of a chunk: its content's hash, below the prefix for chunks.
pub fn chunk_key(content: &[u8]) -> Result<ObjectKey, OfferError> {
    let hash = blake3::hash(content).to_hex();
    let key = format!("{CHUNK_PREFIX}{hash}").parse();
    key.or(Err(OfferError::Malformed))
}

/// A head with chunks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    head: Head,
    chunks: BTreeMap<ObjectKey, Blob>,
}

impl Bundle {
    /// Packs a head with those of its chunks that the reader may lack.
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

    /// The head; not yet checked.
    pub fn head(&self) -> &Head {
        &self.head
    }

    /// Encodes the bundle.
    pub fn encode(&self) -> Result<Bytes, OfferError> {
        let mut out = Vec::new();
        ciborium::into_writer(self, &mut out).or(Err(OfferError::Malformed))?;
        Ok(out.into())
    }

    /// Decodes a bundle.
    pub fn decode(bytes: &[u8]) -> Result<Self, OfferError> {
        let mut rest = bytes;
        let bundle = ciborium::from_reader(&mut rest).or(Err(OfferError::Malformed))?;
        if rest.is_empty() {
            Ok(bundle)
        } else {
            Err(OfferError::Malformed)
        }
    }

    /// All chunks of the head in order, each checked against its address; `held` gives those that
    /// the bundle leaves out.
    pub fn verify<H>(&self, held: H) -> Result<Vec<Bytes>, OfferError>
    where
        H: Fn(&ObjectKey) -> Option<Bytes>,
    {
        let named = |key: &ObjectKey| self.head.chunks.iter().any(|c| c.key == *key);
        if !self.chunks.keys().all(named) {
            return Err(OfferError::Malformed);
        }
        let chunks = self.head.chunks.iter();
        chunks.map(|chunk| self.chunk(chunk, &held)).collect()
    }

    fn chunk<H>(&self, chunk: &ChunkRef, held: &H) -> Result<Bytes, OfferError>
    where
        H: Fn(&ObjectKey) -> Option<Bytes>,
    {
        let packed = self.chunks.get(&chunk.key).map(|c| c.0.clone());
        let content = packed.or_else(|| held(&chunk.key));
        let content = content.ok_or_else(|| OfferError::Missing(chunk.key.clone()))?;
        if content.len() as u64 != chunk.size.0 || chunk_key(&content)? != chunk.key {
            return Err(OfferError::Address(chunk.key.clone()));
        }
        Ok(content)
    }
}
