//! Identifiers.
//!
//! Every identifier is a newtype, so that a model cannot be passed where an adapter is meant. Text
//! identifiers hold 1 to 128 bytes; numeric ones are ordered counters. Both kinds print with
//! `Display`, parse with `FromStr` and serialise as their plain value.
//!
//! Most text identifiers become part of a path or of an object's key, and hold only
//! `A-Z a-z 0-9 . _ : / -`. Operators choose the names of accounts, routes, services and data
//! centres freely; such a name holds whatever a header carries unchanged: no control character,
//! and no blank at its ends. Where one becomes part of an object's key, a name that does not fit
//! there is hashed.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Greatest length of a text identifier, in bytes.
pub const MAX_ID_BYTES: usize = 128;

/// Why a text is not an identifier.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum IdError {
    /// The text is empty.
    #[error("an identifier must not be empty")]
    Empty,
    /// The text is longer than [`MAX_ID_BYTES`].
    #[error("an identifier holds at most {MAX_ID_BYTES} bytes, this one has {0}")]
    TooLong(usize),
    /// The text holds a character outside the allowed set.
    #[error("character {0:?} is not allowed in an identifier")]
    Character(char),
    /// A name begins or ends with a blank, which headers drop.
    #[error("a name must not begin or end with a blank")]
    OuterBlank,
    /// The text is not a number.
    #[error("expected a whole number")]
    Number,
}

fn check_length(text: &str) -> Result<(), IdError> {
    match text.len() {
        0 => Err(IdError::Empty),
        1..=MAX_ID_BYTES => Ok(()),
        length => Err(IdError::TooLong(length)),
    }
}

fn check_characters<F>(text: &str, allowed: F) -> Result<(), IdError>
where
    F: Fn(char) -> bool,
{
    match text.chars().find(|&c| !allowed(c)) {
        Some(c) => Err(IdError::Character(c)),
        None => Ok(()),
    }
}

/// Checks an identifier that may become part of a path or of an object's key.
fn check_id(text: &str) -> Result<(), IdError> {
    check_length(text)?;
    check_characters(text, |c| c.is_ascii_alphanumeric() || "._:/-".contains(c))
}

/// Checks a name that is sent in headers and never becomes a path.
fn check_name(text: &str) -> Result<(), IdError> {
    check_length(text)?;
    if text.trim() != text {
        return Err(IdError::OuterBlank);
    }
    check_characters(text, |c| !c.is_control())
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        text_id!($(#[$doc])* $name, check_id);
    };
    ($(#[$doc:meta])* $name:ident, $check:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "CompactString", into = "CompactString")]
        pub struct $name(CompactString);

        impl $name {
            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                $check(text)?;
                Ok(Self(CompactString::new(text)))
            }
        }

        impl TryFrom<CompactString> for $name {
            type Error = IdError;

            fn try_from(text: CompactString) -> Result<Self, IdError> {
                $check(&text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for CompactString {
            fn from(id: $name) -> Self {
                id.0
            }
        }
    };
}

macro_rules! counter_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The value that follows this one.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                text.parse().map(Self).or(Err(IdError::Number))
            }
        }
    };
}

text_id!(/// A VM that runs basilgw.
    VmId);
text_id!(/// A data centre.
    DataCentre, check_name);
text_id!(/// A client account.
    ClientAccount, check_name);
text_id!(/// A caller within a client account.
    CallerId);
text_id!(/// A key's public name; never the key itself.
    KeyId);
text_id!(/// A model engine or a plain service instance.
    UpstreamId);
text_id!(/// A group of upstreams that answer the same plain routes.
    ServiceId, check_name);
text_id!(/// A model.
    ModelId);
text_id!(/// An adapter of a model.
    AdapterId);
text_id!(/// A version of a model or an adapter.
    VersionId);
text_id!(/// A plain service route.
    RouteId, check_name);
text_id!(/// One request, as named by its caller or by the edge.
    RequestId);
text_id!(/// One replica of a model on one engine.
    ReplicaId);
text_id!(/// One submitted change of configuration.
    ChangeId);
text_id!(/// A key in the platform's object store.
    ObjectKey);

counter_id!(/// Number of an accepted configuration; only ever grows.
    Revision);
counter_id!(/// Version of an object in the platform's store; 0 stands for absent.
    Version);
counter_id!(/// Number of times that the platform's store has come back from an older copy.
    StoreGeneration);
counter_id!(/// Fencing number carried by orders and held shares.
    Epoch);
counter_id!(/// Incarnation of a VM or an upstream; grows with each start.
    Generation);

/// Hash of the content of a part of a prompt, which the caller computes; printed in hexadecimal.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct PartHash(pub u64);

impl fmt::Display for PartHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for PartHash {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        u64::from_str_radix(text, 16)
            .map(Self)
            .or(Err(IdError::Number))
    }
}

/// Digest of a whole request, the same for each copy of it; displayed as 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestDigest(pub u128);

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for RequestDigest {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        u128::from_str_radix(text, 16)
            .map(Self)
            .or(Err(IdError::Number))
    }
}

fn random_text() -> CompactString {
    compact_str::format_compact!("{:032x}", rand::random::<u128>())
}

impl ChangeId {
    /// A new name that no other change has.
    pub fn random() -> Self {
        Self(random_text())
    }
}

impl RequestId {
    /// A new name that no other request has.
    pub fn random() -> Self {
        Self(random_text())
    }
}

/// Free text in messages.
pub type Text = compact_str::CompactString;
