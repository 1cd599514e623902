//! What the leader knows of the cloud's offers: which were refused, and until when.

use crate::cloud::Offer;
use std::collections::HashMap;

/// How long an offer that was refused for lack of capacity isn't asked for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(in crate::scheduler) struct RefusedOffer {
    /// Until when it isn't asked for.
    pub(in crate::scheduler) until_ms: u64,
    /// The pause that led there; it doubles with each refusal.
    pub(in crate::scheduler) pause_ms: u64,
}

/// What the leader knows of its dealings with the cloud.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct Provisioning {
    pub(in crate::scheduler) refused: HashMap<Offer, RefusedOffer>,
    /// How many orders were placed in this term: their names count on.
    pub(in crate::scheduler) orders_placed: u64,
    /// The cloud's machine list has come since the election.
    pub(in crate::scheduler) fleet_listed: bool,
}

impl Provisioning {
    /// The leader was deposed.
    pub(in crate::scheduler) fn reset(&mut self) {
        self.refused.clear();
        self.orders_placed = 0;
        self.fleet_listed = false;
    }

    /// Whether an offer may be asked for again.
    pub(in crate::scheduler) fn may_order(&self, offer: &Offer, now_ms: u64) -> bool {
        self.refused
            .get(offer)
            .is_none_or(|refused| now_ms >= refused.until_ms)
    }

    /// The cloud has no capacity for this offer: twice the pause at each refusal in a
    /// row, within bounds that a boot time sets.
    pub(in crate::scheduler) fn capacity_refused(
        &mut self,
        offer: Offer,
        now_ms: u64,
        boot_ms: u64,
    ) {
        let before = self.refused.get(&offer);
        let pause_ms = before
            .map_or(boot_ms / 8, |refused| refused.pause_ms * 2)
            .clamp(1000, boot_ms.max(1000));
        let until_ms = now_ms + pause_ms;
        self.refused
            .insert(offer, RefusedOffer { until_ms, pause_ms });
    }

    /// An order could not be placed: the offer is left alone for a moment.
    pub(in crate::scheduler) fn order_failed(&mut self, offer: Offer, now_ms: u64) {
        let until_ms = now_ms + 1000;
        self.refused
            .entry(offer)
            .and_modify(|refused| refused.until_ms = refused.until_ms.max(until_ms))
            .or_insert(RefusedOffer {
                until_ms,
                pause_ms: 500,
            });
    }
}
