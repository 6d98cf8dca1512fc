//! Messages and settings, generated from the JSON schemas under `schema/`.
//!
//! `make schema` writes these files; see CONTRIBUTING.md. They are committed so that a build needs
//! no generator, and CI checks by hash that neither side was edited alone.

#![allow(
    missing_docs,
    clippy::allow_attributes_without_reason,
    clippy::pedantic,
    clippy::style,
    clippy::complexity,
    clippy::perf,
    clippy::restriction,
    clippy::large_enum_variant,
    reason = "generated code"
)]

pub mod caller;
pub mod declaration;
pub mod engine;
pub mod mesh;
pub mod peer;
pub mod platform;
pub mod settings;
