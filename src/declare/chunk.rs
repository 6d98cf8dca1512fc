//! Declarations split into chunks below the store's limit on the size of a value.
//!
//! Models, adapters, routes and accounts are assigned to chunks by the hash of their name. A chunk
//! is serialised as a declaration of its own and stored under the hash of its content, so that a
//! small change writes one new chunk, and a chunk never changes once it is stored. The lists of an
//! account, which may be long, are split over the chunks in the same way. The union of all chunks
//! is the complete declaration.

use blake3::Hash;
use bytes::Bytes;
use thiserror::Error;

use crate::ids::ObjectKey;
use crate::schema::declaration::{Account, ChunkRef, Declaration};
use crate::units::Bytes as Size;

const KEY_PREFIX: &str = "config/chunk/";
const MAX_CHUNK_BYTES: usize = 48_000;
const MAX_CHUNKS: u32 = 1024;

/// Why a declaration cannot be split into chunks or joined from them.
#[derive(Debug, Error)]
pub enum ChunkError {
    /// A chunk is missing from the store, or its content does not match the hash in its key.
    #[error("a part of the configuration does not match its hash")]
    Hash,
    /// A chunk cannot be parsed or serialised.
    #[error("a part of the configuration cannot be parsed: {0}")]
    Json(#[from] serde_json::Error),
    /// A chunk is too large even with the most chunks allowed.
    #[error("the declaration is too large")]
    TooLarge,
}

/// One chunk of a declaration, with its reference.
#[derive(Clone, Debug)]
pub struct Chunk {
    /// Key and size of the stored object.
    pub reference: ChunkRef,
    /// Content of the stored object: a declaration as JSON.
    pub value: Bytes,
}

/// Splits a declaration into chunks of at most `MAX_CHUNK_BYTES` each. Their number is a power of
/// two, so that the split rarely changes when the declaration grows.
///
/// # Errors
///
/// [`ChunkError::TooLarge`] where a chunk is too large even with the most chunks allowed.
pub fn split(declaration: &Declaration) -> Result<Vec<Chunk>, ChunkError> {
    let size = serde_json::to_vec(declaration)?.len();
    let mut count = (size.div_ceil(MAX_CHUNK_BYTES / 2) as u32).next_power_of_two();
    while count <= MAX_CHUNKS {
        let chunks = split_into(declaration, count)?;
        if chunks
            .iter()
            .all(|chunk| chunk.value.len() <= MAX_CHUNK_BYTES)
        {
            return Ok(chunks);
        }
        count *= 2;
    }
    Err(ChunkError::TooLarge)
}

/// Makes the reference of a chunk with this content.
///
/// # Errors
///
/// [`ChunkError::Hash`] where the key is not a valid object key.
pub fn make_reference(value: &[u8]) -> Result<ChunkRef, ChunkError> {
    let hash = blake3::hash(value);
    let key = format!("{KEY_PREFIX}{}", hash.to_hex());
    let key: ObjectKey = key.parse().or(Err(ChunkError::Hash))?;
    Ok(ChunkRef {
        key,
        size: Size(value.len() as u64),
    })
}

/// Whether a value has the hash that its reference's key contains.
pub fn verify(reference: &ChunkRef, value: &[u8]) -> bool {
    let named = reference.key.as_str().strip_prefix(KEY_PREFIX);
    named.and_then(|hex| Hash::from_hex(hex).ok()) == Some(blake3::hash(value))
}

/// Joins the contents of all chunks of a declaration.
///
/// # Errors
///
/// [`ChunkError::Json`] where a chunk is not a declaration.
pub fn join<'a, I>(values: I) -> Result<Declaration, ChunkError>
where
    I: IntoIterator<Item = &'a Bytes>,
{
    let mut declaration = Declaration::default();
    for value in values {
        let chunk: Declaration = serde_json::from_slice(value)?;
        declaration.models.extend(chunk.models);
        declaration.adapters.extend(chunk.adapters);
        declaration.routes.extend(chunk.routes);
        for (name, account) in chunk.accounts {
            match declaration.accounts.get_mut(&name) {
                Some(known) => merge_account(known, account),
                None => {
                    declaration.accounts.insert(name, account);
                }
            }
        }
    }
    Ok(declaration)
}

fn merge_account(known: &mut Account, portion: Account) {
    known.models.extend(portion.models);
    known.adapters.extend(portion.adapters);
    known.routes.extend(portion.routes);
    known.callers.extend(portion.callers);
}

fn split_into(declaration: &Declaration, count: u32) -> Result<Vec<Chunk>, ChunkError> {
    let mut split = vec![Declaration::default(); count as usize];
    for (name, model) in &declaration.models {
        split[chunk_index(name.as_str(), count)]
            .models
            .insert(name.clone(), model.clone());
    }
    for (name, adapter) in &declaration.adapters {
        split[chunk_index(name.as_str(), count)]
            .adapters
            .insert(name.clone(), adapter.clone());
    }
    for (name, route) in &declaration.routes {
        split[chunk_index(name.as_str(), count)]
            .routes
            .insert(name.clone(), route.clone());
    }
    for (name, account) in &declaration.accounts {
        for (index, chunk) in split.iter_mut().enumerate() {
            // The account's own chunk has it even if all its lists are empty.
            let is_own = chunk_index(name.as_str(), count) == index;
            let portion = account_portion(account, index, count);
            if is_own || !is_empty(&portion) {
                chunk.accounts.insert(name.clone(), portion);
            }
        }
    }
    split.iter().map(encode).collect()
}

fn encode(declaration: &Declaration) -> Result<Chunk, ChunkError> {
    let value = serde_json::to_vec(declaration)?;
    Ok(Chunk {
        reference: make_reference(&value)?,
        value: Bytes::from(value),
    })
}

/// The account with those entries of its lists that belong to one chunk.
fn account_portion(account: &Account, index: usize, count: u32) -> Account {
    let belongs = |name: &str| chunk_index(name, count) == index;
    Account {
        rate: account.rate,
        burst: account.burst,
        models: account
            .models
            .iter()
            .filter(|m| belongs(m.as_str()))
            .cloned()
            .collect(),
        adapters: account
            .adapters
            .iter()
            .filter(|a| belongs(a.as_str()))
            .cloned()
            .collect(),
        routes: account
            .routes
            .iter()
            .filter(|r| belongs(r.as_str()))
            .cloned()
            .collect(),
        callers: account
            .callers
            .iter()
            .filter(|(name, _)| belongs(name.as_str()))
            .map(|(name, caller)| (name.clone(), caller.clone()))
            .collect(),
    }
}

fn is_empty(account: &Account) -> bool {
    account.models.is_empty()
        && account.adapters.is_empty()
        && account.routes.is_empty()
        && account.callers.is_empty()
}

fn chunk_index(name: &str, count: u32) -> usize {
    let hash = blake3::hash(name.as_bytes());
    let [a, b, c, d, ..] = *hash.as_bytes();
    (u32::from_le_bytes([a, b, c, d]) % count) as usize
}
