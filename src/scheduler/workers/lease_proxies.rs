//! Lease proxying: which workers' leases followers renew for the leader, as they
//! have recorded it in the key-value store.

use crate::fleet::MachinePhase;
use crate::ids::MachineId;
use crate::kv_client::{self, CallPriority, KvResponse};
use crate::messages::Now;
use crate::records::lease_proxies::{LeaseProxyRecord, LEASE_PROXY_PREFIX};
use crate::scheduler::{Scheduler, SchedulerEffects, SchedulerKvCall};
use crate::wire::kv::KeyPage;

/// A machine without a heartbeat for so many intervals makes the leader read the
/// followers' records.
const QUIET_HEARTBEATS: u64 = 3;
/// One page holds the records of all followers.
const PAGE_KEYS: u64 = 1000;

/// The reading of followers' records while machines are silent.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct LeaseProxyPoll {
    due_ms: u64,
    in_flight: bool,
}

impl LeaseProxyPoll {
    /// The leader was deposed.
    pub(in crate::scheduler) fn reset(&mut self) {
        self.in_flight = false;
    }
}

impl Scheduler {
    /// Reads the followers' records when machines are silent.
    pub(in crate::scheduler) fn poll_lease_proxies(
        &mut self,
        now: Now,
        out: &mut SchedulerEffects,
    ) {
        let quiet_ms = self.heartbeat_interval_ms() * QUIET_HEARTBEATS;
        let any_quiet = self.fleet.iter().any(|machine| {
            machine.phase == MachinePhase::Up && now.ms > machine.last_heartbeat_ms + quiet_ms
        });
        if !any_quiet || self.lease_proxies.in_flight || now.ms < self.lease_proxies.due_ms {
            return;
        }
        self.lease_proxies.in_flight = true;
        self.lease_proxies.due_ms = now.ms + quiet_ms / 2;
        let call = kv_client::list(LEASE_PROXY_PREFIX, None, PAGE_KEYS);
        self.call_kv(
            now,
            CallPriority::Leadership,
            call,
            0,
            SchedulerKvCall::ListLeaseProxies,
            out,
        );
    }

    /// Handles the page of the followers' records.
    pub(in crate::scheduler) fn on_lease_proxies(&mut self, now: Now, response: &KvResponse) {
        self.lease_proxies.in_flight = false;
        let Some(page) = response.read::<KeyPage>(200) else {
            return;
        };
        let records = page
            .items
            .into_iter()
            .filter_map(|item| serde_json::from_value::<LeaseProxyRecord>(item.value).ok());
        for record in records {
            self.apply_lease_proxy_record(now, record);
        }
    }

    /// Notes which leases a follower has renewed, and the agent epochs that it
    /// has seen.
    fn apply_lease_proxy_record(&mut self, now: Now, record: LeaseProxyRecord) {
        // The controllers' clocks differ a little. A record that is older than
        // a lease says nothing.
        let age_ms = now.wall_ms.saturating_sub(record.at);
        if age_ms > self.lease_ms() {
            return;
        }
        let renewed_ms = now.ms.saturating_sub(age_ms);
        for (name, agent_epoch) in record.machines {
            let id = MachineId::new(&name);
            let Some(machine) = self.fleet.get_mut(&id) else {
                continue;
            };
            machine.lease_proxied_ms = machine.lease_proxied_ms.max(renewed_ms);
            // A later epoch is proof that the earlier one is over, whichever
            // controller got the heartbeat.
            if agent_epoch > machine.agent_epoch {
                self.expire_earlier_epochs(now, &id, agent_epoch);
            }
        }
    }
}
