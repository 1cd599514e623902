//! Processing of the cloud's events about machines: provisioned, listed and released.

use crate::cloud::{CloudClient, CloudEvent, Offer};
use crate::fleet::{Machine, MachinePhase};
use crate::ids::MachineId;
use crate::messages::Now;
use crate::placement::Resources;
use crate::scheduler::workers::reconciliation::AbsenceProof;
use crate::scheduler::{LeaderStage, Scheduler};
use crate::wire::cloud::{ListedMachine, ListedState};
use std::rc::Rc;

/// A released machine's name is kept for four times the lag of the cloud's machine list, in
/// milliseconds per second of that lag, plus a margin. An outdated list then doesn't add the
/// machine again.
const RELEASED_RETENTION_MS_PER_LAG_S: f64 = 4000.0;
/// The margin added to the retention time of a released machine's name.
const RELEASED_RETENTION_MARGIN_MS: u64 = 60_000;

impl Scheduler {
    /// Processes an event of the cloud. While stored records are being loaded, only the
    /// latest machine list is kept, to be processed afterwards.
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
            CloudEvent::Provisioned(offer, names) => {
                self.add_provisioned_machines(now, offer, names)
            }
            CloudEvent::NoCapacity(offer) => {
                let boot_ms = self.expected_boot_ms(&offer);
                self.provisioning
                    .capacity_unavailable(offer, now.ms, boot_ms);
            }
            CloudEvent::OrderFailed(offer) => self.provisioning.order_failed(offer, now.ms),
            CloudEvent::Released(names) => {
                for name in names {
                    self.remove_released_machine(now, &name);
                }
            }
            CloudEvent::Listed(list) => self.on_machine_list(now, list, cloud),
        }
    }

    /// Adds the machines of a completed provisioning order.
    fn add_provisioned_machines(&mut self, now: Now, offer: Offer, names: Vec<MachineId>) {
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

    /// Adds a machine, or sets the type and capacity of one of which only the name is known.
    /// `age_s` is the time since it was provisioned.
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
            // The machine was known only from a stored assignment.
            machine.set_type(offer, capacity, image_cache_gb);
        }
        machine.provisioned_ms = machine.provisioned_ms.min(provisioned_ms);
        machine
    }

    /// Processes the cloud's machine list. Released machines are skipped.
    pub(in crate::scheduler) fn on_machine_list(
        &mut self,
        now: Now,
        list: Vec<ListedMachine>,
        cloud: &mut CloudClient,
    ) {
        self.provisioning.machine_list_received = true;
        for listed in list {
            let id = MachineId::new(&listed.id);
            if !self.fleet.is_released(&id) {
                self.machine_listed(now, id, listed, cloud);
            }
        }
    }

    /// Processes one machine of the cloud's list.
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
            // The list may be outdated, so it doesn't prove that the machine is gone. The
            // confirmation of the release does.
            machine.phase = MachinePhase::Releasing;
            cloud.release(id.clone());
        }
        if machine.address.is_none() && !listed.address.is_empty() {
            machine.address = Some(listed.address);
            // The worker should receive the new leader's fencing token before commands of
            // other controllers arrive.
            if is_running {
                self.machines_to_command.insert(id);
            }
        }
    }

    /// Removes a machine whose release the cloud has confirmed, and drops its assignments, because
    /// the release proves that its tasks have ended.
    fn remove_released_machine(&mut self, now: Now, id: &MachineId) {
        let retention_ms =
            (self.settings.site.cloud.list_lag_s * RELEASED_RETENTION_MS_PER_LAG_S) as u64;
        let retained_until_ms = now.ms + retention_ms + RELEASED_RETENTION_MARGIN_MS;
        let Some(machine) = self.fleet.remove(id, retained_until_ms) else {
            return;
        };
        // The released machine leaves capacity for its offer, even if the cloud has recently
        // rejected an order for it.
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
