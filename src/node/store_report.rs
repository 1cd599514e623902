//! What a peer's heartbeats report about its access to the key-value store.

use super::peer::is_within;
use crate::messages::Now;
use crate::wire::peers::PeerHeartbeat;

/// Bounds for reading reports.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportBounds {
    /// How far each controller's wall clock may be off.
    pub(super) max_clock_skew_ms: u64,
    /// The time without a report, or without a response of the store, that interrupts a
    /// peer's access as this controller sees it.
    pub(super) interruption_ms: u64,
}

/// The latest report of a peer. All times are on this controller's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct StoreReport {
    /// When the report was sent, at the latest.
    pub(super) sent_ms: u64,
    /// Whether the peer's latest call succeeded.
    pub(super) reaches_store: bool,
    /// When the store last responded to the peer; `None` if it hasn't responded to the
    /// peer's process.
    pub(super) last_response_ms: Option<u64>,
    /// Since when the peer has reported responses without interruption; `None` if the
    /// latest report has no recent one.
    pub(super) responding_since_ms: Option<u64>,
    /// Time up to the report without a failed call; 0 if it is unknown.
    without_failure_ms: u64,
}

impl StoreReport {
    /// Reads the report from a heartbeat. `previous` is the peer's latest report before it.
    pub(super) fn read(
        now: Now,
        heartbeat: &PeerHeartbeat,
        bounds: ReportBounds,
        previous: Option<StoreReport>,
    ) -> StoreReport {
        let sent_ms = sent_ms(now, heartbeat, bounds.max_clock_skew_ms);
        let last_response_ms = last_response_ms(sent_ms, heartbeat);
        let is_responding = last_response_ms
            .is_some_and(|response_ms| sent_ms <= response_ms + bounds.interruption_ms);
        let uninterrupted_since_ms = previous
            .filter(|previous| sent_ms <= previous.sent_ms + bounds.interruption_ms)
            .and_then(|previous| previous.responding_since_ms);
        StoreReport {
            sent_ms,
            reaches_store: heartbeat.kv_reachable,
            last_response_ms,
            responding_since_ms: is_responding.then(|| uninterrupted_since_ms.unwrap_or(sent_ms)),
            without_failure_ms: without_failure_ms(heartbeat),
        }
    }

    /// Returns whether the report was sent within this period.
    pub(super) fn sent_within(&self, now: Now, period_ms: u64) -> bool {
        is_within(Some(self.sent_ms), now, period_ms)
    }

    /// Returns whether the peer had no failed call over this period, up to the report.
    pub(super) fn is_steady(&self, period_ms: u64) -> bool {
        self.without_failure_ms >= period_ms
    }
}

/// Returns whether the sender's version reports times. Earlier versions only report
/// whether they reach the store.
fn reports_times(heartbeat: &PeerHeartbeat) -> bool {
    heartbeat.sent_wall_ms != 0
}

fn last_response_ms(sent_ms: u64, heartbeat: &PeerHeartbeat) -> Option<u64> {
    if !reports_times(heartbeat) {
        return heartbeat.kv_reachable.then_some(sent_ms);
    }
    let age_ms = heartbeat.store_response_age_ms?;
    Some(sent_ms.saturating_sub(age_ms))
}

fn without_failure_ms(heartbeat: &PeerHeartbeat) -> u64 {
    if !reports_times(heartbeat) {
        return 0;
    }
    heartbeat.store_failure_age_ms.unwrap_or(u64::MAX)
}

/// Returns when the heartbeat was sent. A heartbeat that a network interruption has held
/// back is recognized by the sender's wall clock, as far as the clocks' skew allows.
fn sent_ms(now: Now, heartbeat: &PeerHeartbeat, max_clock_skew_ms: u64) -> u64 {
    if !reports_times(heartbeat) {
        return now.ms;
    }
    let age_ms = now
        .wall_ms
        .saturating_sub(heartbeat.sent_wall_ms)
        .saturating_sub(2 * max_clock_skew_ms);
    now.ms.saturating_sub(age_ms)
}
