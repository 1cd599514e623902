//! Machines come, boot, are listed, are looked after by followers, and go.

use crate::cloud::{CloudClient, CloudEvent, Offer};
use crate::fleet::{Machine, MachinePhase};
use crate::ids::{AgentEpoch, MachineId, TaskRef};
use crate::kv_client::{self, CallPriority, KvResponse};
use crate::messages::Now;
use crate::placement::Resources;
use crate::records::lease_proxies::{LeaseProxyRecord, LEASE_PROXY_PREFIX};
use crate::scheduler::{LeaderStage, Scheduler, SchedulerEffects, SchedulerKvCall};
use crate::wire::cloud::{ListedMachine, ListedState};
use crate::wire::kv::KeyPage;
use std::rc::Rc;

impl Scheduler {
    /// Asks for followers' word when machines are silent.
    pub(in crate::scheduler) fn ask_proxied(&mut self, now: Now, out: &mut SchedulerEffects) {
        let quiet_ms = self.heartbeat_interval_ms() * 3;
        let silent = self
            .fleet
            .iter()
            .any(|m| m.phase == MachinePhase::Up && now.ms > m.last_heartbeat_ms + quiet_ms);
        if !silent || self.asking_proxied || now.ms < self.proxied_due_ms {
            return;
        }
        self.asking_proxied = true;
        self.proxied_due_ms = now.ms + quiet_ms / 2;
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
        self.asking_proxied = false;
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

    /// Takes in what the cloud says.
    pub fn cloud_event(&mut self, now: Now, event: CloudEvent, cloud: &mut CloudClient) {
        if self.stage != LeaderStage::Active {
            if let (LeaderStage::Loading, CloudEvent::Listed(list)) = (self.stage, event) {
                self.early_list = Some(list);
            }
            return;
        }
        self.round_wanted = true;
        match event {
            CloudEvent::Catalog(_) => {}
            CloudEvent::Provisioned(offer, names) => {
                log::info!(
                    "rented {} of {} in {} spot={}",
                    names.len(),
                    offer.machine_type,
                    offer.zone,
                    offer.spot
                );
                for name in names {
                    self.add_machine(now, name, offer.clone(), 0.0)
                        .provisioned_this_term = true;
                }
                self.refused_offers.remove(&offer);
            }
            CloudEvent::NoCapacity(offer) => {
                // Twice the pause at each refusal in a row, within bounds
                // that a boot time sets.
                let boot_ms = self.boot_ms(&offer);
                let pause = self
                    .refused_offers
                    .get(&offer)
                    .map_or(boot_ms / 8, |(_, p)| p * 2)
                    .clamp(1000, boot_ms.max(1000));
                self.refused_offers.insert(offer, (now.ms + pause, pause));
            }
            CloudEvent::OrderFailed(offer) => {
                self.refused_offers
                    .entry(offer)
                    .and_modify(|(until, _)| *until = (*until).max(now.ms + 1000))
                    .or_insert((now.ms + 1000, 500));
            }
            CloudEvent::Released(names) => {
                for name in names {
                    self.machine_gone(now, &name);
                }
            }
            CloudEvent::Listed(list) => self.on_listed(now, list, cloud),
        }
    }

    /// The boot time that the catalog states.
    pub(in crate::scheduler) fn nominal_boot_s(&self, machine_type: &str) -> f64 {
        self.catalog
            .as_ref()
            .and_then(|c| c.find(machine_type))
            .map_or(self.settings.site.workers.lease_s, |t| t.boot_s)
    }

    /// How long a boot is expected to take.
    pub(in crate::scheduler) fn boot_ms(&self, offer: &Offer) -> u64 {
        let nominal_s = self.nominal_boot_s(&offer.machine_type);
        (self.estimates.boot_s(&offer.machine_type, nominal_s) * 1000.0) as u64
    }

    /// How long a boot may take without being unusual. However quick boots
    /// were of late, the next one may take what the catalog says: machines
    /// were once given up over and over before they could come up.
    pub(in crate::scheduler) fn usual_boot_ms(&self, offer: &Offer) -> u64 {
        let nominal_s = self.nominal_boot_s(&offer.machine_type);
        self.boot_ms(offer).max((nominal_s * 1000.0) as u64)
    }

    pub(in crate::scheduler) fn add_machine(
        &mut self,
        now: Now,
        id: MachineId,
        offer: Offer,
        age_s: f64,
    ) -> &mut Machine {
        let known = self
            .catalog
            .as_ref()
            .and_then(|c| c.find(&offer.machine_type));
        let (room, cache) = known.map_or((Resources::default(), 0.0), |t| {
            (t.capacity(), t.image_cache_gb)
        });
        let term = self.term;
        let rented_ms = now.ms.saturating_sub((age_s * 1000.0) as u64);
        let machine = self.fleet.get_or_add(&id, || {
            Machine::new(id.clone(), offer.clone(), room, cache, term, now.ms)
        });
        if !machine.is_described() {
            // A stub from a stored assignment learns what it is.
            machine.offer = offer;
            machine.capacity = room;
            machine.image_cache_gb = cache;
        }
        machine.provisioned_ms = machine.provisioned_ms.min(rented_ms);
        machine
    }

    pub(in crate::scheduler) fn on_listed(
        &mut self,
        now: Now,
        list: Vec<ListedMachine>,
        cloud: &mut CloudClient,
    ) {
        self.listed = true;
        for listed in list {
            let id = MachineId::new(&listed.id);
            if self.fleet.is_released(&id) {
                continue;
            }
            let offer = Offer {
                machine_type: Rc::from(listed.machine_type.as_str()),
                zone: Rc::from(listed.zone.as_str()),
                spot: listed.spot,
            };
            let machine = self.add_machine(now, id.clone(), offer, listed.age_s);
            machine.listed_running |= listed.state == ListedState::Running;
            if machine.address.is_none() && !listed.address.is_empty() {
                machine.address = Some(listed.address);
                // A new leader's token should reach it before others' words.
                if listed.state == ListedState::Running {
                    self.machines_to_command.insert(id.clone());
                }
            }
            if listed.state == ListedState::Failed {
                if let Some(machine) = self.fleet.get_mut(&id) {
                    // A hint, and a lagging one: returning it is the proof.
                    machine.phase = MachinePhase::Releasing;
                    cloud.release(id);
                }
            }
        }
    }

    /// Proof: the cloud answered 200 to its return.
    pub(in crate::scheduler) fn machine_gone(&mut self, now: Now, id: &MachineId) {
        let forget_ms = now.ms + (self.settings.site.cloud.list_lag_s * 4000.0) as u64 + 60_000;
        let Some(machine) = self.fleet.remove(id, forget_ms) else {
            return;
        };
        // Its place is free again, whatever was refused before.
        self.refused_offers.remove(&machine.offer);
        log::info!("machine {id} gone, tasks={}", machine.tasks.len());
        for task in machine.tasks {
            self.drop_assign(now, &task, "machine gone");
        }
    }

    /// It is proven that the task is on no machine: it waits again, or its
    /// cancelled job is one task nearer to its end.
    pub(in crate::scheduler) fn drop_assign(&mut self, now: Now, task: &TaskRef, why: &str) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(assign) = job.assignments.remove(&task.index) else {
            return;
        };
        log::debug!(
            "task {task} attempt={} off {}: {why}",
            assign.attempt,
            assign.machine
        );
        let need = job.task_request;
        if job.cancelled.is_none() {
            job.pending.insert(task.index);
        }
        job.touch(task.index, now.ms, false);
        if let Some(machine) = self.fleet.get_mut(&assign.machine) {
            machine.unassign(task, &need, now.ms);
        }
        self.groups.touch_task(&task.job, task.index);
        self.round_wanted = true;
        self.changed = true;
    }

    /// All that was assigned in an earlier session is gone: with its session
    /// a worker's tasks end, and commands of that session are refused.
    pub(in crate::scheduler) fn session_over(
        &mut self,
        now: Now,
        id: &MachineId,
        session: AgentEpoch,
    ) {
        let Some(machine) = self.fleet.get(id) else {
            return;
        };
        for task in machine.tasks.clone() {
            let earlier = self
                .jobs
                .get(&task.job)
                .and_then(|j| j.assignments.get(&task.index))
                .is_some_and(|a| a.machine == *id && a.agent_epoch < session);
            if earlier {
                self.drop_assign(now, &task, "session over");
            }
        }
    }
}
