//! The machine types: asked of the cloud, stored for the time when it is away.

use super::{Node, StateTag, CATALOG_KEY};
use crate::election::Role;
use crate::limits::RequestSize;
use crate::msg::Now;
use crate::store::{self, StateCall, Urgency};
use crate::wire::{Catalog, Txn};
use std::rc::Rc;

/// It is tried so often to store the catalogue.
const WRITE_EVERY_MS: u64 = 1000;

impl Node {
    pub(super) fn set_catalog(&mut self, catalog: Catalog) {
        let catalog = Rc::new(catalog);
        self.gateway.set_catalog(catalog.clone());
        self.scheduler.set_catalog(catalog.clone());
        self.catalog = Some(catalog);
    }

    /// Reads the stored catalogue until there is one; stores it as leader.
    pub(super) fn maintain_catalog(&mut self, now: Now) {
        if self.catalog.is_none() && now.ms >= self.catalog_read_ms {
            self.catalog_read_ms = now.ms + 1000;
            self.store.submit(StateCall {
                urgency: Urgency::Submission,
                call: store::get(CATALOG_KEY, 1000),
                writes: 0,
                give_up_ms: now.ms + 1000,
                tag: StateTag::ReadCatalog,
            });
        }
        let Role::Leader { key_version, .. } = self.election.role else {
            return;
        };
        if self.catalog_stored || now.ms < self.catalog_due_ms {
            return;
        }
        if let Some(catalog) = &self.catalog {
            self.catalog_stored = true;
            let value = serde_json::to_value(&**catalog).unwrap_or_default();
            let txn = Txn::default()
                .guard(crate::election::LEADER_KEY, key_version.0)
                .put(CATALOG_KEY, value);
            let bytes = RequestSize::of(&txn).largest_value;
            if bytes > self.limits.least().value_bytes {
                log::warn!("the catalogue takes {bytes} bytes and isn't stored");
                return;
            }
            // One that is refused must not be written again and again at once.
            self.catalog_due_ms = now.ms + WRITE_EVERY_MS;
            let (call, writes) = store::txn(&txn, 1000);
            self.store.submit(StateCall {
                urgency: Urgency::Background,
                call,
                writes,
                give_up_ms: now.ms + 2000,
                tag: StateTag::WriteCatalog,
            });
        }
    }
}
