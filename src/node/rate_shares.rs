//! This controller's share of the key-value store's request rates. The shares of all
//! controllers add up to roughly the key-value store's limit; a 429 response corrects an
//! excess.

use super::Node;
use crate::messages::Now;

/// Seconds for which a leader accumulates unused write tokens.
const LEADER_WRITE_BURST_S: f64 = 1.0;
/// Seconds for which a follower accumulates unused write tokens. Submissions arrive in
/// bursts, and the small share of a follower alone would delay them.
const FOLLOWER_WRITE_BURST_S: f64 = 2.5;
/// A follower's share, relative to an even division of the rates that the leader leaves.
/// It exceeds 1 because not all followers are busy at the same time.
const FOLLOWER_OVERCOMMIT: f64 = 1.5;
/// Factor by which the followers' write rate may grow before the leader receives the new
/// rate.
const FOLLOWER_WRITE_GROWTH: f64 = 1.5;

impl Node {
    /// Sets this controller's share of the key-value store's rates by its role.
    pub(super) fn set_rate_share(&mut self, now: Now) {
        let leads = self.election.is_leader();
        let peers = self.peers.len().max(1) as f64;
        let share = if self.peers.is_empty() {
            1.0
        } else if leads {
            self.leader_rate_share
        } else {
            ((1.0 - self.leader_rate_share) / peers * FOLLOWER_OVERCOMMIT).min(1.0)
        };
        let write_burst_s = if leads {
            LEADER_WRITE_BURST_S
        } else {
            FOLLOWER_WRITE_BURST_S
        };
        self.kv.set_share(now, share, write_burst_s);
    }

    /// As leader, sets the write rate to the rate that the followers leave unused.
    pub(super) fn update_write_share(&mut self, now: Now) {
        if !self.election.is_leader() || self.peers.is_empty() {
            return;
        }
        let followers_per_s = self.peers.writes_per_s(now) * FOLLOWER_WRITE_GROWTH;
        self.kv
            .set_write_share(now, self.leader_rate_share, followers_per_s);
    }
}
