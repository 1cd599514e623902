//! The record of the machine types (`catalog`), in the form in which the cloud gives
//! them.

/// Where every controller finds the machine types, even while the cloud is
/// away.
pub const CATALOG_KEY: &str = "catalog";
