//! This controller's share of the key-value store's rates. The shares of all
//! controllers together stay near what the store takes; a 429 corrects an excess.

use super::Node;
use crate::messages::Now;

/// For so many seconds a leader saves up unused write tokens.
const LEADER_WRITE_BURST_S: f64 = 1.0;
/// The same for a follower: submissions come in bursts, which a small share would
/// stretch.
const FOLLOWER_WRITE_BURST_S: f64 = 2.5;
/// A follower's share, relative to an even part of what the leader leaves: not all
/// followers are busy at once.
const FOLLOWER_OVERCOMMIT: f64 = 1.5;
/// By how much the followers' rate of writes may grow before the leader is informed.
const FOLLOWER_WRITE_GROWTH: f64 = 1.5;

impl Node {
    /// Sets the share that follows from this controller's role.
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

    /// As leader, takes the writes that the followers leave.
    pub(super) fn share_writes(&mut self, now: Now) {
        if !self.election.is_leader() || self.peers.is_empty() {
            return;
        }
        let followers_per_s = self.peers.writes_per_s(now) * FOLLOWER_WRITE_GROWTH;
        self.kv
            .set_write_share(now, self.leader_rate_share, followers_per_s);
    }
}
