//! Backoff for offers for which the cloud has rejected orders.

use crate::cloud::Offer;
use std::collections::HashMap;

/// Minimum backoff after an order that was rejected or failed.
const MIN_BACKOFF_MS: u64 = 1000;
/// The initial backoff after a rejection for lack of capacity is the boot time divided by
/// this number.
const INITIAL_BACKOFF_DIVISOR: u64 = 8;

/// The backoff period during which an offer isn't ordered.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(in crate::scheduler) struct OfferBackoff {
    /// When the offer may be ordered again.
    retry_at_ms: u64,
    /// The length of the latest backoff; doubled by each rejection in a row.
    backoff_ms: u64,
}

/// The state of provisioning in the current term.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct Provisioning {
    backoffs: HashMap<Offer, OfferBackoff>,
    /// Number of orders placed in this term; part of the name of each provisioning order.
    pub(super) orders_placed: u64,
    /// Whether the cloud's machine list has been received since the election.
    pub(in crate::scheduler) machine_list_received: bool,
}

impl Provisioning {
    /// Clears the state when the leader is deposed.
    pub(in crate::scheduler) fn reset(&mut self) {
        self.backoffs.clear();
        self.orders_placed = 0;
        self.machine_list_received = false;
    }

    /// Returns whether the offer isn't in a backoff period.
    pub(super) fn may_order(&self, offer: &Offer, now_ms: u64) -> bool {
        self.backoffs
            .get(offer)
            .is_none_or(|backoff| now_ms >= backoff.retry_at_ms)
    }

    /// Ends the offer's backoff, because the cloud has capacity for the offer again.
    pub(in crate::scheduler) fn capacity_available(&mut self, offer: &Offer) {
        self.backoffs.remove(offer);
    }

    /// Starts a backoff after the cloud has rejected an order for lack of capacity. The
    /// backoff doubles with each rejection in a row, up to the boot time.
    pub(in crate::scheduler) fn capacity_unavailable(
        &mut self,
        offer: Offer,
        now_ms: u64,
        boot_ms: u64,
    ) {
        let backoff_ms = self
            .backoffs
            .get(&offer)
            .map_or(boot_ms / INITIAL_BACKOFF_DIVISOR, |backoff| {
                backoff.backoff_ms * 2
            })
            .clamp(MIN_BACKOFF_MS, boot_ms.max(MIN_BACKOFF_MS));
        let retry_at_ms = now_ms + backoff_ms;
        let backoff = OfferBackoff {
            retry_at_ms,
            backoff_ms,
        };
        self.backoffs.insert(offer, backoff);
    }

    /// Starts a short backoff after an order failed for another reason than lack of
    /// capacity.
    pub(in crate::scheduler) fn order_failed(&mut self, offer: Offer, now_ms: u64) {
        let retry_at_ms = now_ms + MIN_BACKOFF_MS;
        self.backoffs
            .entry(offer)
            .and_modify(|backoff| backoff.retry_at_ms = backoff.retry_at_ms.max(retry_at_ms))
            .or_insert(OfferBackoff {
                retry_at_ms,
                // A rejection for lack of capacity doubles this value to the minimum.
                backoff_ms: MIN_BACKOFF_MS / 2,
            });
    }
}
