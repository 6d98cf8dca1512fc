//! Settings of one VM, read from an INI file.
//!
//! The schema decides which sections and keys there are, their types and defaults, so that every
//! fault is found in one run and named with its section, its key and what was expected.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;

use compact_str::{CompactString, ToCompactString};
use config::{Config, File, FileFormat, Map, Value};
use serde::Deserialize;

use crate::ids::{DataCentre, VmId};
pub use crate::schema::settings::Settings;

const SCHEMA: &str = include_str!("../schema/settings.json");

/// One fault in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFault {
    /// The file.
    pub file: CompactString,
    /// The section; empty where the fault is in no section.
    pub section: CompactString,
    /// The key; empty where the fault is in the section itself.
    pub key: CompactString,
    /// What is wrong.
    pub fault: FaultKind,
}

/// What is wrong with a setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// The file cannot be read as INI.
    Unreadable(CompactString),
    /// The section is not known.
    UnknownSection,
    /// The key is not known.
    UnknownKey,
    /// The key is required.
    Missing(Expected),
    /// The value is not of the expected kind.
    Bad(Expected),
}

/// What a setting holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// A whole number, zero or more.
    Number,
    /// An IP number and a port.
    Address,
    /// An identifier.
    Identifier,
    /// One of the listed words.
    Word(&'static str),
}

impl fmt::Display for Expected {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Number => f.write_str("a whole number, zero or more"),
            Self::Address => f.write_str("an IP number and a port, such as 10.0.0.1:8080"),
            Self::Identifier => f.write_str("an identifier"),
            Self::Word(words) => write!(f, "one of {words}"),
        }
    }
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.file)?;
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        match &self.fault {
            FaultKind::Unreadable(why) => write!(f, "cannot be read: {why}"),
            FaultKind::UnknownSection => f.write_str("unknown section"),
            FaultKind::UnknownKey => f.write_str("unknown key"),
            FaultKind::Missing(expected) => write!(f, "missing; expected {expected}"),
            FaultKind::Bad(expected) => write!(f, "bad value; expected {expected}"),
        }
    }
}

#[derive(Deserialize)]
struct Schema {
    definitions: BTreeMap<CompactString, Definition>,
}

#[derive(Deserialize)]
struct Definition {
    #[serde(default)]
    properties: BTreeMap<CompactString, Property>,
    #[serde(default)]
    required: Vec<CompactString>,
}

#[derive(Deserialize)]
struct Property {
    #[serde(rename = "$ref")]
    reference: Option<CompactString>,
    #[serde(default, rename = "allOf")]
    all: Vec<Reference>,
    #[serde(rename = "type")]
    kind: Option<CompactString>,
    #[serde(rename = "enum")]
    words: Option<Vec<CompactString>>,
}

#[derive(Deserialize)]
struct Reference {
    #[serde(rename = "$ref")]
    reference: CompactString,
}

impl Property {
    fn target(&self) -> Option<&str> {
        let inner = self.all.first().map(|part| part.reference.as_str());
        let path = self.reference.as_deref().or(inner)?;
        path.rsplit('/').next()
    }
}

/// Reads settings from a file.
///
/// # Errors
///
/// Every fault of the file.
pub fn read(path: &Path) -> Result<Settings, Vec<SettingsFault>> {
    let name = path.display().to_compact_string();
    let text = std::fs::read_to_string(path)
        .map_err(|e| vec![unreadable(&name, &e.to_compact_string())])?;
    parse(&name, &text)
}

/// Parses settings; `name` names the file in faults.
///
/// # Errors
///
/// Every fault of the text.
pub fn parse(name: &str, text: &str) -> Result<Settings, Vec<SettingsFault>> {
    let source = File::from_str(text, FileFormat::Ini);
    let config = Config::builder().add_source(source).build();
    let config = config.map_err(|e| vec![unreadable(name, &e.to_compact_string())])?;
    let tree: Map<String, Value> = config
        .clone()
        .try_deserialize()
        .map_err(|e| vec![unreadable(name, &e.to_compact_string())])?;
    let faults = Checker::open(name)?.check(&tree);
    if !faults.is_empty() {
        return Err(faults);
    }
    config
        .try_deserialize()
        .map_err(|e| vec![unreadable(name, &e.to_compact_string())])
}

fn unreadable(name: &str, why: &str) -> SettingsFault {
    SettingsFault {
        file: name.into(),
        section: CompactString::default(),
        key: CompactString::default(),
        fault: FaultKind::Unreadable(why.into()),
    }
}

struct Checker<'a> {
    name: &'a str,
    schema: Schema,
    faults: Vec<SettingsFault>,
}

impl<'a> Checker<'a> {
    fn open(name: &'a str) -> Result<Self, Vec<SettingsFault>> {
        let schema = serde_json::from_str(SCHEMA);
        let schema = schema.map_err(|e| vec![unreadable(name, &e.to_compact_string())])?;
        Ok(Self {
            name,
            schema,
            faults: Vec::new(),
        })
    }

    fn check(mut self, tree: &Map<String, Value>) -> Vec<SettingsFault> {
        let Some(root) = self.schema.definitions.remove("Settings") else {
            return self.faults;
        };
        let empty = Map::new();
        for (section, value) in tree {
            let known = root.properties.contains_key(section.as_str());
            let table = value.clone().into_table();
            if !known || table.is_err() {
                self.report(section, "", FaultKind::UnknownSection);
            }
        }
        for (section, property) in &root.properties {
            let table = tree
                .get(section.as_str())
                .and_then(|v| v.clone().into_table().ok());
            let required = root.required.contains(section);
            if table.is_none() && !required {
                continue;
            }
            self.check_section(section, property, table.as_ref().unwrap_or(&empty));
        }
        self.faults
    }

    fn check_section(&mut self, section: &str, property: &Property, table: &Map<String, Value>) {
        let Some(definition) = property
            .target()
            .and_then(|t| self.schema.definitions.remove(t))
        else {
            return;
        };
        for key in table.keys() {
            if !definition.properties.contains_key(key.as_str()) {
                self.report(section, key, FaultKind::UnknownKey);
            }
        }
        for (key, property) in &definition.properties {
            let expected = expect(property);
            match table.get(key.as_str()) {
                Some(value) if !fits(value, property, expected) => {
                    self.report(section, key, FaultKind::Bad(expected));
                }
                None if definition.required.contains(key) => {
                    self.report(section, key, FaultKind::Missing(expected));
                }
                _ => {}
            }
        }
    }

    fn report(&mut self, section: &str, key: &str, fault: FaultKind) {
        self.faults.push(SettingsFault {
            file: self.name.into(),
            section: section.into(),
            key: key.into(),
            fault,
        });
    }
}

fn expect(property: &Property) -> Expected {
    if property.words.is_some() {
        return Expected::Word("error, warning, info, debug");
    }
    if property.kind.as_deref() == Some("integer") {
        return Expected::Number;
    }
    match property.target() {
        Some("VmId" | "DataCentre") => Expected::Identifier,
        _ => Expected::Address,
    }
}

fn fits(value: &Value, property: &Property, expected: Expected) -> bool {
    let Ok(text) = value.clone().into_string() else {
        return false;
    };
    match expected {
        Expected::Number => text.parse::<u64>().is_ok(),
        Expected::Address => text.parse::<SocketAddr>().is_ok(),
        Expected::Identifier => text.parse::<VmId>().is_ok() && text.parse::<DataCentre>().is_ok(),
        Expected::Word(_) => property
            .words
            .as_ref()
            .is_some_and(|words| words.iter().any(|w| *w == text)),
    }
}
