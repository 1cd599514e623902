//! Keeps the capacity index consistent with the fleet and the jobs, and checks the
//! scheduler's invariants.

use crate::capacity_index::CapacityState;
use crate::fleet::Machine;
use crate::ids::MachineId;
use crate::placement::Resources;
use crate::scheduler::{InvariantViolation, Scheduler};
use std::collections::BTreeSet;

impl Scheduler {
    /// Returns the state that the capacity index should have for the machine.
    fn capacity_state(&self, machine: &Machine) -> CapacityState {
        let mut freeing = Resources::default();
        let mut least_important = None;
        for task in &machine.tasks {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            match job.assignments.get(&task.index) {
                Some(assignment) if assignment.stop.is_some() => freeing.add(&job.task_request),
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

    /// Updates the capacity index for all machines that changed since the last call.
    pub(super) fn refresh_capacity(&mut self) {
        for id in self.fleet.take_dirty() {
            self.refresh_machine_capacity(&id);
        }
    }

    fn refresh_machine_capacity(&mut self, id: &MachineId) {
        match self.fleet.get(id) {
            Some(machine) => {
                let state = self.capacity_state(machine);
                self.capacity.refresh(id, state, machine.last_heartbeat_ms);
            }
            None => self.capacity.remove(id),
        }
    }

    /// Recomputes the incrementally maintained state and compares it with the maintained
    /// one, for tests. Returns the first difference as an error.
    pub fn check_invariants(&mut self) -> Result<(), InvariantViolation> {
        self.jobs.refresh();
        self.jobs.check_invariants()?;
        self.refresh_capacity();
        let contents = self.capacity.contents();
        let machines: BTreeSet<MachineId> = self.fleet.iter().map(|m| m.id.clone()).collect();
        let indexed: BTreeSet<MachineId> = contents.ids().cloned().collect();
        if indexed != machines {
            return Err(InvariantViolation::IndexedMachines { machines, indexed });
        }
        for machine in self.fleet.iter() {
            self.check_machine(machine)?;
            let state = self.capacity_state(machine);
            let indexed_state = contents.schedulable.get(&machine.id);
            if indexed_state.is_some_and(|indexed| **indexed != state) {
                return Err(InvariantViolation::StaleCapacity(machine.id.clone()));
            }
        }
        self.check_groups()?;
        Ok(self.capacity.check_invariants()?)
    }

    /// Checks that all tasks of the machine are assigned to it and that its allocated
    /// resources are the sum over these tasks.
    fn check_machine(&self, machine: &Machine) -> Result<(), InvariantViolation> {
        let mut used = Resources::default();
        for task in &machine.tasks {
            let job_and_assignment = self
                .jobs
                .get(&task.job)
                .and_then(|job| Some((job, job.assignments.get(&task.index)?)));
            match job_and_assignment {
                Some((job, assignment)) if assignment.machine == machine.id => {
                    used.add(&job.task_request)
                }
                _ => {
                    return Err(InvariantViolation::UnassignedTask {
                        task: task.clone(),
                        machine: machine.id.clone(),
                    })
                }
            }
        }
        let difference =
            (used.gpus - machine.allocated.gpus).abs() + (used.cpus - machine.allocated.cpus).abs();
        if difference > 1e-6 {
            return Err(InvariantViolation::MachineUsage {
                machine: machine.id.clone(),
                used: machine.allocated,
                recomputed: used,
            });
        }
        Ok(())
    }
}
