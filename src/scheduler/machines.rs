//! Machines come, boot, are listed, are looked after by followers, and go.

use super::{ProxiedRecord, Scheduler, SchedulerCall, SchedulerOut, Stage, PROXIED_PREFIX};
use crate::cloud::{Cloud, CloudEvent, Offer};
use crate::fleet::{Machine, Phase};
use crate::ids::{MachineId, Session, TaskRef};
use crate::msg::Now;
use crate::placement::Resources;
use crate::store::{self, Answer, Urgency};
use crate::wire::{Items, ListedMachine, ListedState};
use std::rc::Rc;

impl Scheduler {
    /// Asks for followers' word when machines are silent.
    pub(super) fn ask_proxied(&mut self, now: Now, out: &mut SchedulerOut) {
        let quiet_ms = self.report_ms() * 3;
        let silent = self
            .fleet
            .iter()
            .any(|m| m.phase == Phase::Up && now.ms > m.heard_ms + quiet_ms);
        if !silent || self.asking_proxied || now.ms < self.proxied_due_ms {
            return;
        }
        self.asking_proxied = true;
        self.proxied_due_ms = now.ms + quiet_ms / 2;
        let call = store::list(PROXIED_PREFIX, None, 1000);
        self.ask(
            now,
            Urgency::Leadership,
            call,
            0,
            SchedulerCall::ListProxied,
            out,
        );
    }

    pub(super) fn on_proxied(&mut self, now: Now, answer: &Answer) {
        self.asking_proxied = false;
        let Some(items) = answer.read::<Items>(200) else {
            return;
        };
        for item in items.items {
            let Ok(record) = serde_json::from_value::<ProxiedRecord>(item.value) else {
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
                machine.proxied_ms = machine.proxied_ms.max(now.ms.saturating_sub(age_ms));
                // A later session is proof, whoever saw the report.
                if session > machine.session {
                    self.session_over(now, &id, session);
                }
            }
        }
    }

    /// Takes in what the cloud says.
    pub fn cloud_event(&mut self, now: Now, event: CloudEvent, cloud: &mut Cloud) {
        if self.stage != Stage::Active {
            if let (Stage::Loading, CloudEvent::Listed(list)) = (self.stage, event) {
                self.early_list = Some(list);
            }
            return;
        }
        self.round_wanted = true;
        match event {
            CloudEvent::Catalog(_) => {}
            CloudEvent::Rented(offer, names) => {
                log::info!(
                    "rented {} of {} in {} spot={}",
                    names.len(),
                    offer.machine_type,
                    offer.zone,
                    offer.spot
                );
                for name in names {
                    self.add_machine(now, name, offer.clone(), 0.0).own_rental = true;
                }
                self.refused.remove(&offer);
            }
            CloudEvent::NoCapacity(offer) => {
                // Twice the pause at each refusal in a row, within bounds
                // that a boot time sets.
                let boot_ms = self.boot_ms(&offer);
                let pause = self
                    .refused
                    .get(&offer)
                    .map_or(boot_ms / 8, |(_, p)| p * 2)
                    .clamp(1000, boot_ms.max(1000));
                self.refused.insert(offer, (now.ms + pause, pause));
            }
            CloudEvent::Unavailable(offer) => {
                self.refused
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
    pub(super) fn nominal_boot_s(&self, machine_type: &str) -> f64 {
        self.catalog
            .as_ref()
            .and_then(|c| c.find(machine_type))
            .map_or(self.settings.site.workers.lease_s, |t| t.boot_s)
    }

    /// How long a boot is expected to take.
    pub(super) fn boot_ms(&self, offer: &Offer) -> u64 {
        let nominal_s = self.nominal_boot_s(&offer.machine_type);
        (self.learning.boot_s(&offer.machine_type, nominal_s) * 1000.0) as u64
    }

    /// How long a boot may take without being unusual. However quick boots
    /// were of late, the next one may take what the catalog says: machines
    /// were once given up over and over before they could come up.
    pub(super) fn usual_boot_ms(&self, offer: &Offer) -> u64 {
        let nominal_s = self.nominal_boot_s(&offer.machine_type);
        self.boot_ms(offer).max((nominal_s * 1000.0) as u64)
    }

    pub(super) fn add_machine(
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
        let (room, cache) = known.map_or((Resources::default(), 0.0), |t| (t.room(), t.cache_gb));
        let term = self.term;
        let rented_ms = now.ms.saturating_sub((age_s * 1000.0) as u64);
        let machine = self.fleet.get_or_add(&id, || {
            Machine::new(id.clone(), offer.clone(), room, cache, term, now.ms)
        });
        if !machine.is_described() {
            // A stub from a stored assignment learns what it is.
            machine.offer = offer;
            machine.room = room;
            machine.cache_gb = cache;
        }
        machine.rented_ms = machine.rented_ms.min(rented_ms);
        machine
    }

    pub(super) fn on_listed(&mut self, now: Now, list: Vec<ListedMachine>, cloud: &mut Cloud) {
        self.listed = true;
        for listed in list {
            let id = MachineId::new(&listed.id);
            if self.fleet.is_gone(&id) {
                continue;
            }
            let offer = Offer {
                machine_type: Rc::from(listed.machine_type.as_str()),
                zone: Rc::from(listed.zone.as_str()),
                spot: listed.spot,
            };
            let machine = self.add_machine(now, id.clone(), offer, listed.age_s);
            machine.listed_up |= listed.state == ListedState::Running;
            if machine.address.is_none() && !listed.address.is_empty() {
                machine.address = Some(listed.address);
                // A new leader's token should reach it before others' words.
                if listed.state == ListedState::Running {
                    self.push.insert(id.clone());
                }
            }
            if listed.state == ListedState::Failed {
                if let Some(machine) = self.fleet.get_mut(&id) {
                    // A hint, and a lagging one: returning it is the proof.
                    machine.phase = Phase::Releasing;
                    cloud.release(id);
                }
            }
        }
    }

    /// Proof: the cloud answered 200 to its return.
    pub(super) fn machine_gone(&mut self, now: Now, id: &MachineId) {
        let forget_ms = now.ms + (self.settings.site.cloud.list_lag_s * 4000.0) as u64 + 60_000;
        let Some(machine) = self.fleet.remove(id, forget_ms) else {
            return;
        };
        // Its place is free again, whatever was refused before.
        self.refused.remove(&machine.offer);
        log::info!("machine {id} gone, tasks={}", machine.tasks.len());
        for task in machine.tasks {
            self.drop_assign(now, &task, "machine gone");
        }
    }

    /// It is proven that the task is on no machine: it waits again, or its
    /// cancelled job is one task nearer to its end.
    pub(super) fn drop_assign(&mut self, now: Now, task: &TaskRef, why: &str) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(assign) = job.assigns.remove(&task.index) else {
            return;
        };
        log::debug!(
            "task {task} attempt={} off {}: {why}",
            assign.attempt,
            assign.machine
        );
        let need = job.need;
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
    pub(super) fn session_over(&mut self, now: Now, id: &MachineId, session: Session) {
        let Some(machine) = self.fleet.get(id) else {
            return;
        };
        for task in machine.tasks.clone() {
            let earlier = self
                .jobs
                .get(&task.job)
                .and_then(|j| j.assigns.get(&task.index))
                .is_some_and(|a| a.machine == *id && a.session < session);
            if earlier {
                self.drop_assign(now, &task, "session over");
            }
        }
    }
}
