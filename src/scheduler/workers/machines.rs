//! The machines' lifecycle as the cloud reports it: provisioned, listed, released.

use crate::cloud::{CloudClient, CloudEvent, Offer};
use crate::fleet::{Machine, MachinePhase};
use crate::ids::MachineId;
use crate::messages::Now;
use crate::placement::Resources;
use crate::scheduler::workers::reconciliation::AbsenceProof;
use crate::scheduler::{LeaderStage, Scheduler};
use crate::wire::cloud::{ListedMachine, ListedState};
use std::rc::Rc;

/// The cloud's list may lag by so much. A released machine's name is remembered
/// for four times as long, and for a minute more, so that a list that is late
/// doesn't bring it back.
const RELEASED_LIST_LAGS_MS: f64 = 4000.0;
const RELEASED_MARGIN_MS: u64 = 60_000;

impl Scheduler {
    /// Handles an event of the cloud.
    pub fn on_cloud_event(&mut self, now: Now, event: CloudEvent, cloud: &mut CloudClient) {
        if self.stage != LeaderStage::Active {
            if let (LeaderStage::Loading, CloudEvent::Listed(list)) = (self.stage, event) {
                self.loading.early_cloud_list = Some(list);
            }
            return;
        }
        self.pacing.requested = true;
        match event {
            CloudEvent::Catalog(_) => {}
            CloudEvent::Provisioned(offer, names) => self.machines_provisioned(now, offer, names),
            CloudEvent::NoCapacity(offer) => {
                let boot_ms = self.expected_boot_ms(&offer);
                self.provisioning.capacity_refused(offer, now.ms, boot_ms);
            }
            CloudEvent::OrderFailed(offer) => self.provisioning.order_failed(offer, now.ms),
            CloudEvent::Released(names) => {
                for name in names {
                    self.machine_released(now, &name);
                }
            }
            CloudEvent::Listed(list) => self.on_machine_list(now, list, cloud),
        }
    }

    /// The cloud has carried out an order.
    fn machines_provisioned(&mut self, now: Now, offer: Offer, names: Vec<MachineId>) {
        log::info!(
            "machines provisioned count={} type={} zone={} spot={}",
            names.len(),
            offer.machine_type,
            offer.zone,
            offer.spot
        );
        for name in names {
            self.add_machine(now, name, offer.clone(), 0.0)
                .provisioned_this_term = true;
        }
        self.provisioning.capacity_available(&offer);
    }

    /// Adds a machine, or describes one that is known by its name only. `age_s`:
    /// how long ago it was provisioned.
    pub(super) fn add_machine(
        &mut self,
        now: Now,
        id: MachineId,
        offer: Offer,
        age_s: f64,
    ) -> &mut Machine {
        let machine_type = self
            .catalog
            .as_ref()
            .and_then(|catalog| catalog.find(&offer.machine_type));
        let (capacity, image_cache_gb) = machine_type
            .map_or((Resources::default(), 0.0), |machine_type| {
                (machine_type.capacity(), machine_type.image_cache_gb)
            });
        let term = self.term;
        let provisioned_ms = now.ms.saturating_sub((age_s * 1000.0) as u64);
        let machine = self.fleet.get_or_add(&id, || {
            Machine::new(
                id.clone(),
                offer.clone(),
                capacity,
                image_cache_gb,
                term,
                now.ms,
            )
        });
        if !machine.has_known_type() {
            // It was known from a stored assignment only.
            machine.set_type(offer, capacity, image_cache_gb);
        }
        machine.provisioned_ms = machine.provisioned_ms.min(provisioned_ms);
        machine
    }

    /// Handles the cloud's list of machines.
    pub(in crate::scheduler) fn on_machine_list(
        &mut self,
        now: Now,
        list: Vec<ListedMachine>,
        cloud: &mut CloudClient,
    ) {
        self.provisioning.fleet_listed = true;
        for listed in list {
            let id = MachineId::new(&listed.id);
            if !self.fleet.is_released(&id) {
                self.machine_listed(now, id, listed, cloud);
            }
        }
    }

    /// Handles one machine of the cloud's list.
    fn machine_listed(
        &mut self,
        now: Now,
        id: MachineId,
        listed: ListedMachine,
        cloud: &mut CloudClient,
    ) {
        let offer = Offer {
            machine_type: Rc::from(listed.machine_type.as_str()),
            zone: Rc::from(listed.zone.as_str()),
            spot: listed.spot,
        };
        let is_running = listed.state == ListedState::Running;
        let machine = self.add_machine(now, id.clone(), offer, listed.age_s);
        machine.listed_running |= is_running;
        if listed.state == ListedState::Failed {
            // The list is a hint, and it lags: the confirmed release is the
            // proof that the machine is gone.
            machine.phase = MachinePhase::Releasing;
            cloud.release(id.clone());
        }
        if machine.address.is_none() && !listed.address.is_empty() {
            machine.address = Some(listed.address);
            // A new leader's token should reach the worker before commands of
            // other controllers do.
            if is_running {
                self.machines_to_command.insert(id);
            }
        }
    }

    /// The cloud has confirmed the release of a machine, which proves that its
    /// tasks have ended.
    fn machine_released(&mut self, now: Now, id: &MachineId) {
        let list_lags_ms = (self.settings.site.cloud.list_lag_s * RELEASED_LIST_LAGS_MS) as u64;
        let forget_ms = now.ms + list_lags_ms + RELEASED_MARGIN_MS;
        let Some(machine) = self.fleet.remove(id, forget_ms) else {
            return;
        };
        // The cloud has capacity for this offer again, even if it refused it
        // lately.
        self.provisioning.capacity_available(&machine.offer);
        log::info!(
            "machine released machine={id} tasks={}",
            machine.tasks.len()
        );
        for task in machine.tasks {
            self.drop_assignment(now, &task, AbsenceProof::MachineReleased);
        }
    }
}
