//! Declarations in parts below the store's bound on values.
//!
//! Entries fall into buckets by the hash of their name. A bucket is serialised as a declaration of
//! its own and stored under its content's hash, so that a small change writes one new part and a
//! part once read never changes. Long lists of an account are split over the buckets as well; the
//! union of all parts is the whole.

use blake3::Hash;
use bytes::Bytes;
use thiserror::Error;

use crate::ids::ObjectKey;
use crate::schema::declaration::{Account, ChunkRef, Declaration};
use crate::units::Bytes as Size;

const KEY_PREFIX: &str = "config/chunk/";
const PART_BYTES: usize = 48_000;
const MAX_PARTS: u32 = 1024;

/// Why parts do not form a declaration.
#[derive(Debug, Error)]
pub enum ChunkError {
    /// A part is not what its name says.
    #[error("a part of the configuration does not match its hash")]
    Hash,
    /// A part cannot be parsed.
    #[error("a part of the configuration cannot be parsed: {0}")]
    Json(#[from] serde_json::Error),
    /// The declaration is too large even in the greatest number of parts.
    #[error("the declaration is too large")]
    TooLarge,
}

/// One part and its name.
#[derive(Clone, Debug)]
pub struct Chunk {
    /// Where it is stored.
    pub reference: ChunkRef,
    /// What is stored there.
    pub value: Bytes,
}

/// Splits a declaration.
///
/// # Errors
///
/// [`ChunkError::TooLarge`] where no allowed number of parts is enough.
pub fn split(declaration: &Declaration) -> Result<Vec<Chunk>, ChunkError> {
    let whole = serde_json::to_vec(declaration)?.len();
    let mut parts = (whole.div_ceil(PART_BYTES / 2) as u32).next_power_of_two();
    while parts <= MAX_PARTS {
        let chunks = split_into(declaration, parts)?;
        if chunks.iter().all(|chunk| chunk.value.len() <= PART_BYTES) {
            return Ok(chunks);
        }
        parts *= 2;
    }
    Err(ChunkError::TooLarge)
}

/// Names the place of a value.
pub fn make_reference(value: &[u8]) -> Result<ChunkRef, ChunkError> {
    let hash = blake3::hash(value);
    let key = format!("{KEY_PREFIX}{}", hash.to_hex());
    let key: ObjectKey = key.parse().or(Err(ChunkError::Hash))?;
    Ok(ChunkRef {
        key,
        size: Size(value.len() as u64),
    })
}

/// Whether a value is the one that its place names.
pub fn verify(reference: &ChunkRef, value: &[u8]) -> bool {
    let named = reference.key.as_str().strip_prefix(KEY_PREFIX);
    named.and_then(|hex| Hash::from_hex(hex).ok()) == Some(blake3::hash(value))
}

/// Joins parts.
///
/// # Errors
///
/// [`ChunkError::Json`] where a part is not a declaration.
pub fn join<'a, I>(values: I) -> Result<Declaration, ChunkError>
where
    I: IntoIterator<Item = &'a Bytes>,
{
    let mut whole = Declaration::default();
    for value in values {
        let part: Declaration = serde_json::from_slice(value)?;
        whole.models.extend(part.models);
        whole.adapters.extend(part.adapters);
        whole.routes.extend(part.routes);
        for (name, account) in part.accounts {
            match whole.accounts.get_mut(&name) {
                Some(known) => merge(known, account),
                None => {
                    whole.accounts.insert(name, account);
                }
            }
        }
    }
    Ok(whole)
}

fn merge(known: &mut Account, part: Account) {
    known.models.extend(part.models);
    known.adapters.extend(part.adapters);
    known.routes.extend(part.routes);
    known.callers.extend(part.callers);
}

fn split_into(declaration: &Declaration, parts: u32) -> Result<Vec<Chunk>, ChunkError> {
    let mut split = vec![Declaration::default(); parts as usize];
    for (name, model) in &declaration.models {
        split[bucket(name.as_str(), parts)]
            .models
            .insert(name.clone(), model.clone());
    }
    for (name, adapter) in &declaration.adapters {
        split[bucket(name.as_str(), parts)]
            .adapters
            .insert(name.clone(), adapter.clone());
    }
    for (name, route) in &declaration.routes {
        split[bucket(name.as_str(), parts)]
            .routes
            .insert(name.clone(), route.clone());
    }
    for (name, account) in &declaration.accounts {
        for (index, part) in split.iter_mut().enumerate() {
            let home = bucket(name.as_str(), parts) == index;
            let portion = account_part(account, index, parts);
            if home || !is_bare(&portion) {
                part.accounts.insert(name.clone(), portion);
            }
        }
    }
    split.iter().map(store_form).collect()
}

fn store_form(part: &Declaration) -> Result<Chunk, ChunkError> {
    let value = serde_json::to_vec(part)?;
    Ok(Chunk {
        reference: make_reference(&value)?,
        value: Bytes::from(value),
    })
}

fn account_part(account: &Account, index: usize, parts: u32) -> Account {
    let here = |name: &str| bucket(name, parts) == index;
    Account {
        rate: account.rate,
        burst: account.burst,
        models: account
            .models
            .iter()
            .filter(|m| here(m.as_str()))
            .cloned()
            .collect(),
        adapters: account
            .adapters
            .iter()
            .filter(|a| here(a.as_str()))
            .cloned()
            .collect(),
        routes: account
            .routes
            .iter()
            .filter(|r| here(r.as_str()))
            .cloned()
            .collect(),
        callers: account
            .callers
            .iter()
            .filter(|(name, _)| here(name.as_str()))
            .map(|(name, caller)| (name.clone(), caller.clone()))
            .collect(),
    }
}

fn is_bare(account: &Account) -> bool {
    account.models.is_empty()
        && account.adapters.is_empty()
        && account.routes.is_empty()
        && account.callers.is_empty()
}

fn bucket(name: &str, parts: u32) -> usize {
    let hash = blake3::hash(name.as_bytes());
    let [a, b, c, d, ..] = *hash.as_bytes();
    (u32::from_le_bytes([a, b, c, d]) % parts) as usize
}
