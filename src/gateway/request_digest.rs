//! Recognises the copies of a request.
//!
//! A caller that tries again sends a new request id, and may change headers, its key or the framing
//! of the body. A request is therefore known by what an upstream works on: the client account, the
//! method, the host, the path with its query, the model, the shared parts of the prompt and the
//! body. The last part of the prompt is left out, as a copy may come in another session. The
//! account is part of it, so that no account can have the requests of another one held back. 128
//! bits of the digest suffice: two requests of one account that collide harm this account alone,
//! and the digest of another account's request cannot be met on purpose.

use blake3::Hasher;

use crate::ids::{AdapterId, ClientAccount, RequestDigest};

use super::request::RequestHead;

/// Keeps these digests apart from others made by the same function.
const CONTEXT: &str = "basilgw 2026 digest of a whole request";
/// Bytes of the digest that are kept.
const DIGEST_BYTES: usize = 16;

/// The digest of a request of `account`, which is absent where no key was needed.
pub fn request_digest(
    account: Option<&ClientAccount>,
    head: &RequestHead,
    body: &[u8],
) -> RequestDigest {
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    let target = head.target.as_ref();
    let adapter = target.and_then(|target| target.adapter.as_ref());
    let mut hasher = Hasher::new_derive_key(CONTEXT);
    add_optional(&mut hasher, account.map(ClientAccount::as_str));
    add(&mut hasher, head.method.as_str().as_bytes());
    add(&mut hasher, head.host.as_bytes());
    add(&mut hasher, path.as_bytes());
    add_optional(&mut hasher, target.map(|target| target.model.as_str()));
    add_optional(&mut hasher, adapter.map(AdapterId::as_str));
    let parts = head.shared_parts();
    hasher.update(&(parts.hashes().count() as u64).to_be_bytes());
    for part in parts.hashes() {
        hasher.update(&part.0.to_be_bytes());
    }
    add(&mut hasher, body);
    let mut digest = [0; DIGEST_BYTES];
    hasher.finalize_xof().fill(&mut digest);
    RequestDigest(u128::from_be_bytes(digest))
}

/// Adds a field with its length, so that no two lists of fields give the same bytes.
fn add(hasher: &mut Hasher, field: &[u8]) {
    hasher.update(&(field.len() as u64).to_be_bytes());
    hasher.update(field);
}

/// Adds a field that may be absent, which differs from an empty one.
fn add_optional(hasher: &mut Hasher, field: Option<&str>) {
    hasher.update(&[u8::from(field.is_some())]);
    add(hasher, field.unwrap_or_default().as_bytes());
}
