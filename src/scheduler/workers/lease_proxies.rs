//! Lease proxying: followers renew workers' leases for the leader and record the renewals in the
//! key-value store, from which the leader reads them.

use crate::ids::MachineId;
use crate::kv_client::{self, CallPriority, KvResponse};
use crate::messages::Now;
use crate::records::lease_proxies::{LeaseProxyRecord, LEASE_PROXY_PREFIX};
use crate::scheduler::{Scheduler, SchedulerEffects, SchedulerKvCall};
use crate::wire::kv::KeyPage;

/// The leader reads the followers' records once a machine has sent no heartbeat for this many
/// heartbeat intervals.
const POLL_AFTER_HEARTBEATS: u64 = 3;
/// The timeout for reading the page that holds the records of all followers.
const PAGE_TIMEOUT_MS: u64 = 1000;

/// State of reading the followers' records while machines are unresponsive.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct LeaseProxyPoll {
    next_poll_ms: u64,
    in_flight: bool,
}

impl LeaseProxyPoll {
    /// Resets the state when the leader is deposed.
    pub(in crate::scheduler) fn reset(&mut self) {
        self.in_flight = false;
    }
}

impl Scheduler {
    /// Requests the followers' records if any machine is unresponsive.
    pub(in crate::scheduler) fn poll_lease_proxies(
        &mut self,
        now: Now,
        effects: &mut SchedulerEffects,
    ) {
        let unresponsive_after_ms = self.heartbeat_interval_ms() * POLL_AFTER_HEARTBEATS;
        let any_unresponsive = self.fleet.iter().any(|machine| {
            machine.expects_heartbeats()
                && now.ms > machine.last_heartbeat_ms + unresponsive_after_ms
        });
        if !any_unresponsive
            || self.lease_proxies.in_flight
            || now.ms < self.lease_proxies.next_poll_ms
        {
            return;
        }
        self.lease_proxies.in_flight = true;
        self.lease_proxies.next_poll_ms = now.ms + unresponsive_after_ms / 2;
        let call = kv_client::list(LEASE_PROXY_PREFIX, None, PAGE_TIMEOUT_MS);
        self.call_kv(
            now,
            CallPriority::Leadership,
            call,
            0,
            SchedulerKvCall::ListLeaseProxies,
            effects,
        );
    }

    /// Applies the followers' records.
    pub(in crate::scheduler) fn on_lease_proxies(&mut self, now: Now, response: &KvResponse) {
        self.lease_proxies.in_flight = false;
        let Some(page) = response.parse_body::<KeyPage>(200) else {
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

    /// Updates the machines from one follower's record: the leases it has renewed and the agent
    /// epochs it has received.
    fn apply_lease_proxy_record(&mut self, now: Now, record: LeaseProxyRecord) {
        // The clocks of the controllers differ slightly, so the age is approximate. The
        // renewals in a record older than a lease have expired.
        let age_ms = now.wall_ms.saturating_sub(record.written_wall_ms);
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
            // A later agent epoch proves that earlier ones have expired, regardless of which
            // controller received the heartbeat.
            if agent_epoch > machine.agent_epoch {
                self.expire_earlier_epochs(now, &id, agent_epoch);
            }
        }
    }
}
