//! The machine types: asked of the cloud, stored for the time when it is away.

use super::{KvCallOwner, Node};
use crate::election::Role;
use crate::kv_client::{self, CallPriority, KvCall};
use crate::limits::RequestSize;
use crate::messages::Now;
use crate::records::catalog::CATALOG_KEY;
use crate::wire::cloud::Catalog;
use crate::wire::kv::Txn;
use std::rc::Rc;

/// The machine types, as far as they are known here.
#[derive(Debug, Default)]
pub(super) struct CatalogCache {
    pub(super) catalog: Option<Rc<Catalog>>,
    /// This leader has stored them, or is about to.
    pub(super) stored: bool,
    pub(super) read_due_ms: u64,
    write_due_ms: u64,
}

/// It is tried so often to store the catalogue.
const WRITE_EVERY_MS: u64 = 1000;

impl Node {
    pub(super) fn set_catalog(&mut self, catalog: Catalog) {
        let catalog = Rc::new(catalog);
        self.gateway.set_catalog(catalog.clone());
        self.scheduler.set_catalog(catalog.clone());
        self.catalog_cache.catalog = Some(catalog);
    }

    /// Reads the stored catalogue until there is one; stores it as leader.
    pub(super) fn maintain_catalog(&mut self, now: Now) {
        if self.catalog_cache.catalog.is_none() && now.ms >= self.catalog_cache.read_due_ms {
            self.catalog_cache.read_due_ms = now.ms + 1000;
            self.kv.submit(KvCall {
                priority: CallPriority::Submission,
                call: kv_client::get(CATALOG_KEY, 1000),
                writes: 0,
                expires_ms: now.ms + 1000,
                tag: KvCallOwner::ReadCatalog,
            });
        }
        let Role::Leader {
            leader_key_revision,
            ..
        } = *self.election.role()
        else {
            return;
        };
        if self.catalog_cache.stored || now.ms < self.catalog_cache.write_due_ms {
            return;
        }
        if let Some(catalog) = &self.catalog_cache.catalog {
            self.catalog_cache.stored = true;
            let value = serde_json::to_value(&**catalog).unwrap_or_default();
            let txn = Txn::default()
                .compare(
                    crate::records::leadership::LEADER_KEY,
                    leader_key_revision.0,
                )
                .put(CATALOG_KEY, value);
            let bytes = RequestSize::of(&txn).largest_value_bytes;
            if bytes > self.limits_tracker.effective.guaranteed().value_bytes {
                log::warn!("the catalogue takes {bytes} bytes and isn't stored");
                return;
            }
            // One that is refused must not be written again and again at once.
            self.catalog_cache.write_due_ms = now.ms + WRITE_EVERY_MS;
            let (call, writes) = kv_client::txn(&txn, 1000);
            self.kv.submit(KvCall {
                priority: CallPriority::Background,
                call,
                writes,
                expires_ms: now.ms + 2000,
                tag: KvCallOwner::WriteCatalog,
            });
        }
    }
}
