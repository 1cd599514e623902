//! Which offers the cloud has refused lately, and until when they aren't ordered.

use crate::cloud::Offer;
use std::collections::HashMap;

/// The shortest pause after a refused order.
const MIN_PAUSE_MS: u64 = 1000;
/// The first pause after a refusal for lack of capacity is the boot time divided
/// by this.
const FIRST_PAUSE_DIVISOR: u64 = 8;

/// An offer that isn't ordered for a while.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(in crate::scheduler) struct RefusedOffer {
    /// Until when it isn't ordered.
    until_ms: u64,
    /// The pause that led there; it doubles with each refusal.
    pause_ms: u64,
}

/// The state of provisioning in this term.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct Provisioning {
    refused: HashMap<Offer, RefusedOffer>,
    /// How many orders were placed in this term; they are named by this number.
    pub(super) orders_placed: u64,
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

    /// Whether an offer may be ordered again.
    pub(super) fn may_order(&self, offer: &Offer, now_ms: u64) -> bool {
        self.refused
            .get(offer)
            .is_none_or(|refused| now_ms >= refused.until_ms)
    }

    /// The cloud has capacity for this offer: it may be ordered at once.
    pub(in crate::scheduler) fn capacity_available(&mut self, offer: &Offer) {
        self.refused.remove(offer);
    }

    /// The cloud has no capacity for this offer: the pause doubles at each refusal
    /// in a row, within bounds that the boot time sets.
    pub(in crate::scheduler) fn capacity_refused(
        &mut self,
        offer: Offer,
        now_ms: u64,
        boot_ms: u64,
    ) {
        let pause_ms = self
            .refused
            .get(&offer)
            .map_or(boot_ms / FIRST_PAUSE_DIVISOR, |refused| {
                refused.pause_ms * 2
            })
            .clamp(MIN_PAUSE_MS, boot_ms.max(MIN_PAUSE_MS));
        let until_ms = now_ms + pause_ms;
        self.refused
            .insert(offer, RefusedOffer { until_ms, pause_ms });
    }

    /// An order could not be placed: the offer isn't ordered for a moment.
    pub(in crate::scheduler) fn order_failed(&mut self, offer: Offer, now_ms: u64) {
        let until_ms = now_ms + MIN_PAUSE_MS;
        self.refused
            .entry(offer)
            .and_modify(|refused| refused.until_ms = refused.until_ms.max(until_ms))
            .or_insert(RefusedOffer {
                until_ms,
                // A refusal for lack of capacity doubles it to the shortest.
                pause_ms: MIN_PAUSE_MS / 2,
            });
    }
}
