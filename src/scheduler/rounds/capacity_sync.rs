//! What the index of rooms is told of a machine, and whether it still says so.

use crate::capacity_index::CapacityState;
use crate::fleet::Machine;
use crate::ids::MachineId;
use crate::placement::Resources;
use crate::scheduler::{InvariantViolation, Scheduler};
use std::collections::BTreeSet;

impl Scheduler {
    /// What a machine looks like now.
    fn room_state(&self, machine: &Machine) -> CapacityState {
        let mut freeing = Resources::default();
        let mut least_important = None;
        for task in &machine.tasks {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            match job.assignments.get(&task.index) {
                Some(assign) if assign.stop.is_some() => freeing.add(&job.task_request),
                Some(_) => least_important = least_important.max(Some(job.spec.priority)),
                None => {}
            }
        }
        CapacityState {
            offer: machine.offer.clone(),
            total: machine.capacity,
            unassigned: machine.free(),
            freeing,
            schedulable: machine.is_schedulable(),
            occupied: !machine.tasks.is_empty(),
            least_important,
            images: machine.images().cloned().collect(),
            pulling_images: machine.pulling_images.keys().cloned().collect(),
        }
    }

    /// Tells the index of rooms of the machines that have changed.
    pub(in crate::scheduler) fn refresh_rooms(&mut self) {
        for id in self.fleet.take_dirty() {
            self.refresh_room(&id);
        }
    }

    /// Tells the index of rooms what one machine looks like now.
    fn refresh_room(&mut self, id: &MachineId) {
        match self.fleet.get(id) {
            Some(machine) => {
                let state = self.room_state(machine);
                self.capacity.refresh(id, state, machine.last_heartbeat_ms);
            }
            None => self.capacity.remove(id),
        }
    }

    /// Counts everything that is kept up from scratch and compares; the error
    /// names what is wrong. For tests.
    pub fn check_invariants(&mut self) -> Result<(), InvariantViolation> {
        self.jobs.refresh();
        self.jobs.check_invariants()?;
        self.refresh_rooms();
        let (open, closed) = self.capacity.contents();
        let machines: BTreeSet<MachineId> = self.fleet.iter().map(|m| m.id.clone()).collect();
        let indexed: BTreeSet<MachineId> = open.keys().chain(&closed).cloned().collect();
        if indexed != machines {
            return Err(InvariantViolation::IndexedMachines { machines, indexed });
        }
        for machine in self.fleet.iter() {
            self.check_machine(machine)?;
            let state = self.room_state(machine);
            if open.get(&machine.id).is_some_and(|filed| **filed != state) {
                return Err(InvariantViolation::StaleCapacity(machine.id.clone()));
            }
        }
        self.check_groups()?;
        Ok(self.capacity.check_invariants()?)
    }

    /// Jobs and machines say the same of who is where.
    fn check_machine(&self, machine: &Machine) -> Result<(), InvariantViolation> {
        let mut used = Resources::default();
        for task in &machine.tasks {
            let assign = self
                .jobs
                .get(&task.job)
                .and_then(|j| Some((j, j.assignments.get(&task.index)?)));
            match assign {
                Some((job, assign)) if assign.machine == machine.id => used.add(&job.task_request),
                _ => {
                    return Err(InvariantViolation::UnassignedTask {
                        task: task.clone(),
                        machine: machine.id.clone(),
                    })
                }
            }
        }
        let off = (used.gpus - machine.used.gpus).abs() + (used.cpus - machine.used.cpus).abs();
        if off > 1e-6 {
            return Err(InvariantViolation::MachineUsage {
                machine: machine.id.clone(),
                used: machine.used,
                recounted: used,
            });
        }
        Ok(())
    }
}
