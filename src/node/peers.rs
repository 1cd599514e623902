//! What this controller knows of the others, and what they were last told.

use crate::ids::{JobId, Term};
use crate::messages::TaskProgress;
use crate::settings::{PeerSettings, Settings};
use std::collections::HashMap;

/// Another controller.
#[derive(Debug)]
pub(super) struct PeerStatus {
    pub(super) name: String,
    pub(super) zone: String,
    pub(super) address: String,
    /// When it was last heard.
    pub(super) heard_ms: Option<u64>,
    /// When it last answered a call of ours.
    pub(super) reached_ms: Option<u64>,
    /// When it last said that the state service answers it.
    pub(super) state_seen_ms: Option<u64>,
    /// When it last said that it leads.
    pub(super) leads_ms: Option<u64>,
    pub(super) leads_term: Term,
    /// It said that workers don't reach it.
    pub(super) unreachable: bool,
    /// When it last named us as its leader.
    pub(super) follows_ms: Option<u64>,
    /// Changes that it makes to the state service.
    pub(super) writes_per_s: f64,
    /// Its version, as it last said; empty: none, as before 0.2.
    pub(super) version: String,
}

impl PeerStatus {
    fn new(settings: &PeerSettings) -> PeerStatus {
        PeerStatus {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            address: settings.addr.to_string(),
            heard_ms: None,
            reached_ms: None,
            state_seen_ms: None,
            leads_ms: None,
            leads_term: Term(0),
            unreachable: false,
            follows_ms: None,
            writes_per_s: 0.0,
            version: String::new(),
        }
    }

    /// Which version runs where, for operators.
    pub(super) fn note_version(&mut self, version: &str) {
        if self.version != version {
            log::info!("node {} runs version {version}", self.name);
            self.version = version.to_string();
        }
    }
}

/// The other controllers, and the heartbeats that go to them.
#[derive(Debug)]
pub(super) struct Peers {
    /// The others, in the order in which they are numbered.
    pub(super) all: Vec<PeerStatus>,
    pub(super) heartbeat_interval_ms: u64,
    pub(super) heartbeat_due_ms: u64,
    /// What they were last told of jobs' progress, so that only changes go out.
    pub(super) sent_progress: HashMap<JobId, TaskProgress>,
    /// Jobs that were written here and are to be announced.
    pub(super) announcements: Vec<JobId>,
    /// They should hear of cancellations before the next heartbeat is due.
    pub(super) cancellations_pending: bool,
}

impl Peers {
    pub(super) fn new(settings: &Settings, heartbeat_interval_ms: u64) -> Peers {
        let others = settings.peers.iter();
        let others = others.filter(|peer| peer.name != settings.node_name);
        Peers {
            all: others.map(PeerStatus::new).collect(),
            heartbeat_interval_ms,
            heartbeat_due_ms: 0,
            sent_progress: HashMap::new(),
            announcements: Vec::new(),
            cancellations_pending: false,
        }
    }
}
