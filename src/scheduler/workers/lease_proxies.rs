//! What followers have stored of the machines whose leases they renew for the leader.

use crate::fleet::MachinePhase;
use crate::ids::MachineId;
use crate::kv_client::{self, CallPriority, KvResponse};
use crate::messages::Now;
use crate::records::lease_proxies::{LeaseProxyRecord, LEASE_PROXY_PREFIX};
use crate::scheduler::{Scheduler, SchedulerEffects, SchedulerKvCall};
use crate::wire::kv::KeyPage;

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
    /// Asks for followers' word when machines are silent.
    pub(in crate::scheduler) fn ask_proxied(&mut self, now: Now, out: &mut SchedulerEffects) {
        let quiet_ms = self.heartbeat_interval_ms() * 3;
        let silent = self
            .fleet
            .iter()
            .any(|m| m.phase == MachinePhase::Up && now.ms > m.last_heartbeat_ms + quiet_ms);
        if !silent || self.lease_proxies.in_flight || now.ms < self.lease_proxies.due_ms {
            return;
        }
        self.lease_proxies.in_flight = true;
        self.lease_proxies.due_ms = now.ms + quiet_ms / 2;
        let call = kv_client::list(LEASE_PROXY_PREFIX, None, 1000);
        self.ask(
            now,
            CallPriority::Leadership,
            call,
            0,
            SchedulerKvCall::ListProxied,
            out,
        );
    }

    pub(in crate::scheduler) fn on_proxied(&mut self, now: Now, answer: &KvResponse) {
        self.lease_proxies.in_flight = false;
        let Some(items) = answer.read::<KeyPage>(200) else {
            return;
        };
        for item in items.items {
            let Ok(record) = serde_json::from_value::<LeaseProxyRecord>(item.value) else {
                continue;
            };
            // Clocks differ a little; an old word says nothing.
            let age_ms = now.wall.saturating_sub(record.at);
            if age_ms > self.lease_ms() {
                continue;
            }
            for (name, session) in record.machines {
                let id = MachineId::new(&name);
                let Some(machine) = self.fleet.get_mut(&id) else {
                    continue;
                };
                machine.lease_proxied_ms =
                    machine.lease_proxied_ms.max(now.ms.saturating_sub(age_ms));
                // A later session is proof, whoever saw the report.
                if session > machine.agent_epoch {
                    self.session_over(now, &id, session);
                }
            }
        }
    }
}
