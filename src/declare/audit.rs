//! The audit trail of accepted changes.
//!
//! The head object contains the newest entries. When it has entries for two pages, the older half is
//! written as a page, an object that never changes, before the head that refers to the page. The
//! content of a page depends only on the previous head, so that two VMs that write the same page
//! write the same content.

use bytes::Bytes;

use super::apply::{ApplyError, head_key};
use crate::ids::{ObjectKey, Version};
use crate::schema::declaration::{AuditEntry, Head};
use crate::store::{ObjectStore, StoreError};

/// Audit entries in one page.
const PAGE_ENTRIES: usize = 64;

/// Returns the entries and the number of the newest page for the head after `head`, which adds
/// `entry`. Writes a page first where the head has entries for two.
pub(super) async fn append(
    store: &dyn ObjectStore,
    head: Option<&Head>,
    entry: &AuditEntry,
) -> Result<(Vec<AuditEntry>, u64), ApplyError> {
    let Some(head) = head else {
        return Ok((vec![entry.clone()], 0));
    };
    let mut entries = head.audit.clone();
    let mut page = head.page;
    if entries.len() >= 2 * PAGE_ENTRIES {
        let full: Vec<_> = entries.drain(..PAGE_ENTRIES).collect();
        page += 1;
        write_page(store, page, &full).await?;
    }
    entries.push(entry.clone());
    Ok((entries, page))
}

/// Reads the newest `limit` entries, newest first.
///
/// # Errors
///
/// [`ApplyError`] where the store cannot be reached, or the head or a page cannot be parsed.
pub async fn read(store: &dyn ObjectStore, limit: usize) -> Result<Vec<AuditEntry>, ApplyError> {
    let Some(object) = store.get(&head_key()?).await? else {
        return Ok(Vec::new());
    };
    let head: Head = serde_json::from_slice(&object.value)?;
    let mut entries: Vec<AuditEntry> = head.audit.into_iter().rev().collect();
    let mut page = head.page;
    while entries.len() < limit && page > 0 {
        let object = store
            .get(&page_key(page)?)
            .await?
            .ok_or(StoreError::Malformed)?;
        let older: Vec<AuditEntry> = serde_json::from_slice(&object.value)?;
        entries.extend(older.into_iter().rev());
        page -= 1;
    }
    entries.truncate(limit);
    Ok(entries)
}

async fn write_page(
    store: &dyn ObjectStore,
    page: u64,
    entries: &[AuditEntry],
) -> Result<(), ApplyError> {
    let value = Bytes::from(serde_json::to_vec(entries)?);
    match store.put(&page_key(page)?, Version::default(), value).await {
        // A page that exists has the same content.
        Ok(_) | Err(StoreError::Conflict(_)) => Ok(()),
        Err(e) => Err(e.into()),
    }
}

fn page_key(page: u64) -> Result<ObjectKey, StoreError> {
    format!("config/audit/{page}")
        .parse()
        .or(Err(StoreError::Malformed))
}
