//! The record of the machine types (`catalog`), in the format of the cloud's catalog.

/// The key of the record, from which every controller can read the machine types even while
/// the cloud is unavailable.
pub const CATALOG_KEY: &str = "catalog";
