//! Messages between a VM and its operators' commands.

use serde::{Deserialize, Serialize};

use crate::declare::ApplyError;
use crate::ids::{ChangeId, DataCentre, KeyId, Revision, Text, VmId};

/// Asks to withdraw a key.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Withdrawal {
    /// Names the change; a repeat with the same id is accepted once.
    pub id: ChangeId,
    /// Who asks.
    pub actor: Text,
    /// The key's public name.
    pub key: KeyId,
}

/// Answers an accepted change.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Accepted {
    /// The revision now in force.
    pub revision: Revision,
}

/// Why a change failed, as scripts tell it apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailedCode {
    /// The request cannot be parsed.
    Malformed,
    /// The declaration has faults.
    Declaration,
    /// Another change came first.
    Conflict,
    /// No such key is in force.
    NoKey,
    /// The store's answer was lost; the same change may be submitted again.
    Unsettled,
    /// The store cannot be reached; nothing changed.
    Unavailable,
}

/// Answers a change that failed.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Failed {
    /// Why.
    pub code: FailedCode,
    /// One line a fault.
    pub details: Vec<Text>,
}

impl From<&ApplyError> for Failed {
    fn from(error: &ApplyError) -> Self {
        let code = match error {
            ApplyError::Declaration(_) => FailedCode::Declaration,
            ApplyError::Conflict { .. } => FailedCode::Conflict,
            ApplyError::NoKey(_) => FailedCode::NoKey,
            ApplyError::OutcomeUnknown(_) => FailedCode::Unsettled,
            ApplyError::Store(_) | ApplyError::Chunk(_) | ApplyError::Json(_) => {
                FailedCode::Unavailable
            }
        };
        let details = match error {
            ApplyError::Declaration(faults) => {
                faults.iter().map(|f| f.to_string().into()).collect()
            }
            other => vec![other.to_string().into()],
        };
        Self { code, details }
    }
}

/// What a VM says of itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StatusReport {
    /// Its name.
    pub vm: VmId,
    /// Its data centre.
    pub centre: DataCentre,
    /// The revision in force.
    pub revision: Revision,
    /// Whether it takes callers.
    pub ready: bool,
    /// Whether it leaves.
    pub leaving: bool,
    /// Requests that run.
    pub running: u64,
    /// Milliseconds since the store was last heard; absent where it never was.
    pub heard: Option<u64>,
    /// Other VMs believed live.
    pub peers: u64,
    /// Upstreams in the list.
    pub upstreams: u64,
}
