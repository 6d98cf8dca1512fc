//! The operators' commands.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use crate::declare::{Change, Key, validate};
use crate::error::Error;
use crate::ids::{ChangeId, KeyId, Revision, Text};
use crate::ops::Withdrawal;
use crate::ops::client::OpsClient;
use crate::schema::declaration::Declaration;
use crate::settings;

/// What `apply` submits.
#[derive(Clone, Debug)]
pub struct Submission<'a> {
    /// File of the declaration.
    pub file: &'a Path,
    /// Who submits it.
    pub actor: Text,
    /// Revision that it was made on.
    pub base: Option<Revision>,
    /// Name of the change.
    pub change: Option<ChangeId>,
}

/// Reads a declaration from a file.
///
/// # Errors
///
/// [`Error::Read`] or [`Error::Json`].
pub fn read_declaration(path: &Path) -> Result<Declaration, Error> {
    let text = fs::read(path).map_err(|source| Error::Read {
        path: path.display().to_string(),
        source,
    })?;
    Ok(serde_json::from_slice(&text)?)
}

/// Checks files offline.
///
/// # Errors
///
/// [`Error::Settings`] or [`Error::Declaration`] with every fault.
pub fn check(settings: Option<&Path>, declaration: Option<&Path>) -> Result<(), Error> {
    if let Some(path) = settings {
        settings::read(path).map_err(Error::Settings)?;
    }
    if let Some(path) = declaration {
        let faults = validate(&read_declaration(path)?);
        if !faults.is_empty() {
            return Err(Error::Declaration(faults));
        }
    }
    Ok(())
}

/// Submits a declaration.
///
/// # Errors
///
/// [`Error::Ops`] with the VM's reason.
pub async fn apply(vm: SocketAddr, submission: Submission<'_>) -> Result<Revision, Error> {
    let change = Change {
        id: name_change(submission.change),
        actor: submission.actor,
        parent: submission.base,
        declaration: read_declaration(submission.file)?,
    };
    Ok(OpsClient::open(vm).apply(&change).await?.revision)
}

/// Withdraws a key.
///
/// # Errors
///
/// [`Error::Ops`] with the VM's reason.
pub async fn withdraw(
    vm: SocketAddr,
    key: KeyId,
    actor: Text,
    change: Option<ChangeId>,
) -> Result<Revision, Error> {
    let ask = Withdrawal {
        id: name_change(change),
        actor,
        key,
    };
    Ok(OpsClient::open(vm).withdraw(&ask).await?.revision)
}

/// Prints the audit trail as JSON lines.
///
/// # Errors
///
/// [`Error::Ops`] with the VM's reason.
pub async fn audit(vm: SocketAddr, limit: usize) -> Result<(), Error> {
    for entry in OpsClient::open(vm).audit(limit).await? {
        println!("{}", serde_json::to_string(&entry)?);
    }
    Ok(())
}

/// Prints a VM's status.
///
/// # Errors
///
/// [`Error::Ops`] where the VM cannot be reached.
pub async fn status(vm: SocketAddr) -> Result<(), Error> {
    let status = OpsClient::open(vm).status().await?;
    println!("{}", serde_json::to_string_pretty(&status)?);
    Ok(())
}

/// Makes a key and prints it with the hash to declare.
pub fn mint_key() {
    let key = Key::mint();
    println!("key  {}", key.reveal());
    println!("hash {}", key.hash());
}

fn name_change(named: Option<ChangeId>) -> ChangeId {
    named.unwrap_or_else(ChangeId::random)
}
