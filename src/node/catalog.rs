//! The catalog of machine types. It is read from the cloud, and a copy is kept in the
//! key-value store for when the cloud is unreachable.

use super::kv_responses::KvCallOwner;
use super::Node;
use crate::election::Role;
use crate::kv_client::{self, CallPriority, KvCall, KvResponse};
use crate::limits::RequestSize;
use crate::messages::Now;
use crate::records::catalog::CATALOG_KEY;
use crate::records::leadership::LEADER_KEY;
use crate::wire::cloud::Catalog;
use crate::wire::kv::{KeyValue, Txn};
use std::rc::Rc;

/// Interval between attempts to read the stored catalog.
const READ_INTERVAL_MS: u64 = 1000;
/// Interval between attempts to store the catalog.
const WRITE_INTERVAL_MS: u64 = 1000;
/// Timeout of the calls that read and store the catalog.
const CALL_TIMEOUT_MS: u64 = 1000;
/// Time after which a write that is still queued is abandoned.
const WRITE_EXPIRY_MS: u64 = 2000;

/// The latest catalog that this controller has received, and its stored copy.
#[derive(Debug, Default)]
pub(super) struct CatalogCache {
    catalog: Option<Rc<Catalog>>,
    /// Whether this controller, as leader, needs no further write of the catalog: it is
    /// stored, its write is in flight, or it is too large to store.
    needs_no_write: bool,
    next_read_ms: u64,
    next_write_ms: u64,
}

impl CatalogCache {
    pub(super) fn is_known(&self) -> bool {
        self.catalog.is_some()
    }

    /// Returns when to read the stored catalog next, or `None` if the catalog is known.
    pub(super) fn next_read_ms(&self) -> Option<u64> {
        (!self.is_known()).then_some(self.next_read_ms)
    }

    /// Records whether the write of the catalog succeeded. A failed write is repeated.
    pub(super) fn on_write_response(&mut self, response: &KvResponse) {
        self.needs_no_write = response.status() == Some(200);
    }
}

impl Node {
    fn set_catalog(&mut self, catalog: Catalog) {
        let catalog = Rc::new(catalog);
        self.gateway.set_catalog(catalog.clone());
        self.scheduler.set_catalog(catalog.clone());
        self.catalog.catalog = Some(catalog);
    }

    /// Applies a catalog received from the cloud.
    pub(super) fn on_cloud_catalog(&mut self, catalog: Catalog) {
        if !self.catalog.is_known() {
            self.catalog.needs_no_write = false;
        }
        self.set_catalog(catalog);
    }

    /// Applies the stored catalog, unless a catalog is already known: the cloud's own
    /// takes precedence.
    pub(super) fn on_stored_catalog(&mut self, response: &KvResponse) {
        if self.catalog.is_known() {
            return;
        }
        let catalog = response
            .parse_body::<KeyValue>(200)
            .and_then(|item| serde_json::from_value::<Catalog>(item.value).ok())
            .and_then(Catalog::validated);
        if let Some(catalog) = catalog {
            self.set_catalog(catalog);
        }
    }

    /// Reads the stored catalog until a catalog is known. As leader, stores the catalog.
    pub(super) fn maintain_catalog(&mut self, now: Now) {
        self.read_catalog(now);
        self.store_catalog(now);
    }

    fn read_catalog(&mut self, now: Now) {
        if self.catalog.is_known() || now.ms < self.catalog.next_read_ms {
            return;
        }
        self.catalog.next_read_ms = now.ms + READ_INTERVAL_MS;
        let call = kv_client::get(CATALOG_KEY, CALL_TIMEOUT_MS);
        self.kv.submit(KvCall::new(
            now,
            CallPriority::Submission,
            call,
            KvCallOwner::ReadCatalog,
        ));
    }

    fn store_catalog(&mut self, now: Now) {
        let Role::Leader {
            leader_key_revision,
            ..
        } = *self.election.role()
        else {
            return;
        };
        if self.catalog.needs_no_write || now.ms < self.catalog.next_write_ms {
            return;
        }
        let Some(catalog) = &self.catalog.catalog else {
            return;
        };
        let value = serde_json::to_value(&**catalog).unwrap_or_default();
        let txn = Txn::default()
            .compare(LEADER_KEY, leader_key_revision.0)
            .put(CATALOG_KEY, value);
        self.catalog.needs_no_write = true;
        let bytes = RequestSize::of(&txn).largest_value_bytes;
        if bytes > self.limits.guaranteed_value_bytes() {
            log::warn!("catalog not stored reason=\"too large for a value\" bytes={bytes}");
            return;
        }
        // A rejected write must not be retried at once: the next attempt waits for the
        // interval.
        self.catalog.next_write_ms = now.ms + WRITE_INTERVAL_MS;
        let call = KvCall::transaction(
            now,
            CallPriority::Background,
            &txn,
            CALL_TIMEOUT_MS,
            KvCallOwner::WriteCatalog,
        );
        self.kv.submit(call.expiring_at(now.ms + WRITE_EXPIRY_MS));
    }
}
