//! The record of the machine types (`catalog`), in the form in which the cloud lists
//! them.

/// The key under which every controller finds the machine types, even while the
/// cloud is unavailable.
pub const CATALOG_KEY: &str = "catalog";
