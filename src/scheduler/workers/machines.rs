//! Machines come, boot, are listed, are looked after by followers, and go.

use crate::cloud::{CloudClient, CloudEvent, Offer};
use crate::fleet::{Machine, MachinePhase};
use crate::ids::{AgentEpoch, MachineId, TaskRef};
use crate::messages::Now;
use crate::placement::Resources;
use crate::scheduler::{LeaderStage, Scheduler};
use crate::wire::cloud::{ListedMachine, ListedState};
use std::rc::Rc;

impl Scheduler {
    /// Takes in what the cloud says.
    pub fn cloud_event(&mut self, now: Now, event: CloudEvent, cloud: &mut CloudClient) {
        if self.stage != LeaderStage::Active {
            if let (LeaderStage::Loading, CloudEvent::Listed(list)) = (self.stage, event) {
                self.loading.early_cloud_list = Some(list);
            }
            return;
        }
        self.pacing.requested = true;
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
                self.provisioning.refused.remove(&offer);
            }
            CloudEvent::NoCapacity(offer) => {
                let boot_ms = self.boot_ms(&offer);
                self.provisioning.capacity_refused(offer, now.ms, boot_ms);
            }
            CloudEvent::OrderFailed(offer) => self.provisioning.order_failed(offer, now.ms),
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
        self.provisioning.fleet_listed = true;
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
        self.provisioning.refused.remove(&machine.offer);
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
        self.pacing.requested = true;
        self.commits.has_changes = true;
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
