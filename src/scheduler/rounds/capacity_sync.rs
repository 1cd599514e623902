//! Keeps the capacity index in step with the fleet and the jobs, and checks that it
//! still is.

use crate::capacity_index::CapacityState;
use crate::fleet::Machine;
use crate::ids::MachineId;
use crate::placement::Resources;
use crate::scheduler::Scheduler;
use std::collections::BTreeSet;

impl Scheduler {
    /// The machine as the capacity index should hold it now.
    fn capacity_state(&self, machine: &Machine) -> CapacityState {
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

    /// Updates the capacity index for every machine that changed since the last call.
    pub(super) fn refresh_capacity(&mut self) {
        for id in self.fleet.take_dirty() {
            self.refresh_machine_capacity(&id);
        }
    }

    /// Updates the capacity index for one machine.
    fn refresh_machine_capacity(&mut self, id: &MachineId) {
        match self.fleet.get(id) {
            Some(machine) => {
                let state = self.capacity_state(machine);
                self.capacity.refresh(id, state, machine.last_heartbeat_ms);
            }
            None => self.capacity.remove(id),
        }
    }

    /// Recomputes everything that is maintained incrementally and compares; the error
    /// names the first difference. For tests.
    pub fn check_invariants(&mut self) -> Result<(), String> {
        self.jobs.refresh();
        self.jobs.check_invariants()?;
        self.refresh_capacity();
        let indexed = self.capacity.contents();
        let known: BTreeSet<MachineId> = self.fleet.iter().map(|m| m.id.clone()).collect();
        let indexed_ids: BTreeSet<MachineId> = indexed.ids().cloned().collect();
        if indexed_ids != known {
            return Err(format!("machines {known:?}, in the index {indexed_ids:?}"));
        }
        for machine in self.fleet.iter() {
            self.check_machine(machine)?;
            let state = self.capacity_state(machine);
            let indexed_state = indexed.schedulable.get(&machine.id);
            if indexed_state.is_some_and(|indexed| **indexed != state) {
                return Err(format!("{} is filed as it was before", machine.id));
            }
        }
        self.check_groups()?;
        self.capacity.check_invariants()
    }

    /// Checks that the jobs and the machine agree on which tasks it runs and on the
    /// resources that they use.
    fn check_machine(&self, machine: &Machine) -> Result<(), String> {
        let mut used = Resources::default();
        for task in &machine.tasks {
            let assign = self
                .jobs
                .get(&task.job)
                .and_then(|j| Some((j, j.assignments.get(&task.index)?)));
            match assign {
                Some((job, assign)) if assign.machine == machine.id => used.add(&job.task_request),
                _ => {
                    return Err(format!(
                        "{task} is on {} by the machine's word alone",
                        machine.id
                    ))
                }
            }
        }
        let off = (used.gpus - machine.used.gpus).abs() + (used.cpus - machine.used.cpus).abs();
        if off > 1e-6 {
            return Err(format!(
                "{} uses {:?}, counted anew {used:?}",
                machine.id, machine.used
            ));
        }
        Ok(())
    }
}
