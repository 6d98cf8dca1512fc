//! Objects of the platform's store that cannot be read, so that each is counted and logged once.
//!
//! Writers repeat their objects, some of them every second.

use std::collections::BTreeSet;

use compact_str::CompactString;

use super::platform_api::DecodeError;

/// Most objects that are remembered; further ones are neither counted nor logged.
const MAX_OBJECTS: usize = 1000;

/// Kind, name and fault of the objects that were logged.
#[derive(Debug, Default)]
pub struct UnreadableObjects(BTreeSet<(&'static str, CompactString, CompactString)>);

impl UnreadableObjects {
    /// Adds an object; true if it was not known with this fault.
    pub fn add(&mut self, kind: &'static str, name: &str, error: &DecodeError) -> bool {
        if self.0.len() == MAX_OBJECTS {
            return false;
        }
        self.0.insert((kind, name.into(), error.message.clone()))
    }
}
