//! Whether this controller should receive users' requests. `docs/READINESS.md` derives the
//! rules.
//!
//! Every request of a user needs the key-value store, so a controller that has lost the
//! store can't serve. It stays ready only as long as there is evidence that no other
//! controller can serve either: during an outage of the store for all controllers, a load
//! balancer that removes all of them is slow to add them back.

use super::peers::Peers;
use super::store_report::StoreReport;
use crate::messages::Now;
use std::fmt;

/// Number of heartbeat intervals without a response of the store after which a controller
/// isn't ready while a peer reaches the store without interruption.
const STEADY_PEER_GRACE_HEARTBEATS: u64 = 4;
/// Number of heartbeat intervals without a failed call after which a peer counts as reaching
/// the store without interruption.
const STEADY_HEARTBEATS: u64 = 10;
/// Number of heartbeat intervals by which a peer's last response of the store must be
/// later than this controller's. Exceeds the time between two calls of an idle controller,
/// so that the last responses before an outage for all aren't taken for later access.
const LATER_HEARTBEATS: u64 = 3;
/// Number of heartbeat intervals that a controller has to reach the store itself after it
/// has heard that a peer reaches it again. When an outage ends, calls that hang delay some
/// controllers by their timeout.
const CATCH_UP_HEARTBEATS: u64 = 3;
/// Number of heartbeat intervals after which a controller isn't ready that may alone, or
/// with a part of its peers, be cut off from the store. Exceeds the time in which a
/// controller that has crashed is restarted.
const ISOLATED_GRACE_HEARTBEATS: u64 = 10;
/// Number of heartbeat intervals without a response of the store after which a controller
/// isn't ready while its peers reach the store with interruptions. Gaps of that length are
/// rare if the store is slow for all.
const UNSTEADY_PEER_GRACE_HEARTBEATS: u64 = 14;
/// Number of heartbeat intervals for which the absence of a peer that went down before or
/// during an outage doesn't count against the outage.
const ABSENT_PEER_GRACE_HEARTBEATS: u64 = 40;

/// This controller's own access to the key-value store.
#[derive(Clone, Copy, Debug)]
pub(super) struct StoreAccess {
    /// When the store last responded to a call other than a watch; `None` if it hasn't
    /// responded to this process.
    pub(super) last_response_ms: Option<u64>,
    /// Whether the latest call failed, or none has succeeded yet.
    pub(super) latest_call_failed: bool,
    /// When this process handled its first event.
    pub(super) started_ms: u64,
}

impl StoreAccess {
    /// Returns whether the store has responded so recently that it counts as reachable.
    pub(super) fn responded_recently(&self, now: Now, peers: &Peers) -> bool {
        let recent_ms = peers.heartbeat_interval_ms() * STEADY_PEER_GRACE_HEARTBEATS;
        self.last_response_ms
            .is_some_and(|response_ms| now.ms <= response_ms + recent_ms)
    }
}

/// Why a controller isn't ready.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum UnreadyReason {
    /// The machine types, which submissions are checked against, are unknown.
    CatalogUnknown,
    /// A peer has reached the store since this controller last did.
    PeerReachesStore,
    /// Neither the store nor enough peers are heard from.
    Isolated,
    /// Some peers have been silent for too long during what looks like an outage for all.
    PeersAbsent,
}

impl fmt::Display for UnreadyReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            UnreadyReason::CatalogUnknown => "machine types unknown yet",
            UnreadyReason::PeerReachesStore => "the state service can't be reached from here",
            UnreadyReason::Isolated => {
                "neither the state service nor enough controllers can be reached"
            }
            UnreadyReason::PeersAbsent => {
                "the state service can't be reached and some controllers are silent"
            }
        })
    }
}

/// How long a controller without access to the store stays ready, by the evidence about
/// its peers.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Grace {
    /// No other controller can serve.
    Unlimited,
    /// The controller is unready from this time on.
    Until(u64, UnreadyReason),
}

/// Decides at each probe whether this controller is ready.
#[derive(Debug, Default)]
pub(super) struct Readiness {
    /// Why the latest probe found this controller unready; `None` if it was ready.
    unready_reason: Option<UnreadyReason>,
}

impl Readiness {
    /// Returns why the latest probe found this controller unready; `None` if it was ready.
    pub(super) fn unready_reason(&self) -> Option<UnreadyReason> {
        self.unready_reason
    }

    /// Returns why this controller isn't ready, or `None` if it is ready.
    pub(super) fn probe(
        &mut self,
        now: Now,
        access: &StoreAccess,
        has_catalog: bool,
        peers: &Peers,
    ) -> Option<UnreadyReason> {
        // During an outage, a controller that has started without the machine types is as
        // ready as the others, which is for the peers' reports to show.
        let needs_catalog = access.responded_recently(now, peers) || peers.is_empty();
        let reason = if needs_catalog {
            (!has_catalog).then_some(UnreadyReason::CatalogUnknown)
        } else {
            self.reason_without_store(now, access, peers)
        };
        self.unready_reason = reason;
        reason
    }

    fn reason_without_store(
        &self,
        now: Now,
        access: &StoreAccess,
        peers: &Peers,
    ) -> Option<UnreadyReason> {
        let grace = grace_behind_peer(access, peers)
            .unwrap_or_else(|| grace_without_store_anywhere(now, access, peers));
        match grace {
            Grace::Unlimited => None,
            Grace::Until(until_ms, reason) => {
                // A controller that isn't ready stays so for as long as the reason applies,
                // even if the grace period is extended, so that it doesn't alternate.
                let is_over = now.ms >= until_ms || self.unready_reason == Some(reason);
                is_over.then_some(reason)
            }
        }
    }
}

/// Returns the grace period if a peer has reported a later response of the store than this
/// controller has had. The report counts until this controller reaches the store again,
/// even if the peer is no longer heard: it shows that the store was lost here alone.
fn grace_behind_peer(access: &StoreAccess, peers: &Peers) -> Option<Grace> {
    peers
        .store_reports()
        .filter(|report| is_ahead(report, access, peers))
        .map(|report| behind_until_ms(report, access, peers))
        .min()
        .map(|until_ms| Grace::Until(until_ms, UnreadyReason::PeerReachesStore))
}

/// Returns whether the report has a later response of the store than this controller's last.
fn is_ahead(report: &StoreReport, access: &StoreAccess, peers: &Peers) -> bool {
    let margin_ms = peers.heartbeat_interval_ms() * LATER_HEARTBEATS;
    match access.last_response_ms {
        Some(response_ms) => report.last_response_ms >= Some(response_ms + margin_ms),
        // A new process has no response to compare with, so the peer's word counts.
        None => report.reaches_store || report.last_response_ms >= Some(access.started_ms),
    }
}

/// Returns until when this controller stays ready although this peer is ahead.
fn behind_until_ms(report: &StoreReport, access: &StoreAccess, peers: &Peers) -> u64 {
    let Some(response_ms) = access.last_response_ms else {
        return access.started_ms;
    };
    let heartbeat_ms = peers.heartbeat_interval_ms();
    let is_steady = report.is_steady(heartbeat_ms * STEADY_HEARTBEATS);
    let grace_heartbeats = if access.latest_call_failed && is_steady {
        STEADY_PEER_GRACE_HEARTBEATS
    } else {
        UNSTEADY_PEER_GRACE_HEARTBEATS
    };
    let grace_until_ms = response_ms + heartbeat_ms * grace_heartbeats;
    let responding_since_ms = report.responding_since_ms.unwrap_or(0);
    grace_until_ms.max(responding_since_ms + heartbeat_ms * CATCH_UP_HEARTBEATS)
}

/// Returns the grace period if no peer is known to have reached the store later than this
/// controller.
fn grace_without_store_anywhere(now: Now, access: &StoreAccess, peers: &Peers) -> Grace {
    let heard = peers.heard(now).count();
    if heard == peers.len() {
        return Grace::Unlimited;
    }
    let silent = || peers.fallen_silent(now);
    let heartbeat_ms = peers.heartbeat_interval_ms();
    let lost_ms = access.last_response_ms.unwrap_or(access.started_ms);
    let last_word_ms = silent().map(|report| report.sent_ms).max();
    let since_ms = last_word_ms.unwrap_or(0).max(lost_ms);
    let controllers = peers.len() + 1;
    let hears_half = 2 * (heard + 1) >= controllers;
    // A peer whose last report claims access, and that fell silent when the store was lost,
    // may be on the other side of a network partition and serve users there. One that was
    // silent before, or that had lost the store too, has gone down.
    let together_ms = heartbeat_ms * LATER_HEARTBEATS;
    let lost_together =
        silent().any(|report| report.reaches_store && report.sent_ms + together_ms >= lost_ms);
    if hears_half && !lost_together {
        let until_ms = since_ms + heartbeat_ms * ABSENT_PEER_GRACE_HEARTBEATS;
        return Grace::Until(until_ms, UnreadyReason::PeersAbsent);
    }
    let until_ms = match access.last_response_ms {
        Some(_) => since_ms + heartbeat_ms * ISOLATED_GRACE_HEARTBEATS,
        None => access.started_ms,
    };
    Grace::Until(until_ms, UnreadyReason::Isolated)
}
