//! Moves of replicas that span machines: room first, then the intent.

use crate::capacity_index::Slot;
use crate::ids::JobId;
use crate::messages::Now;
use crate::placement::Resources;
use crate::scheduler::replica_groups::search::{GroupSearch, PartMachine, SearchScope};
use crate::scheduler::rounds::task_placement::PlacementRequest;
use crate::scheduler::Scheduler;
use lilacfork_replica_groups::observation::{Binding, MachineHealth, PartState};
use lilacfork_replica_groups::record::{MigrationIntent, PartTarget};
use lilacfork_replica_groups::registry::GroupId;

impl Scheduler {
    /// Finds room for a group of which a machine is taken away. Its other parts
    /// stay where they are, if there is room for the rest in their zone.
    pub(in crate::scheduler) fn plan_move(&mut self, now: Now, id: &GroupId) {
        self.refresh(now);
        match self.move_intent(now, id) {
            Some(intent) => {
                log::info!("replica {id} is to move, generation={}", intent.generation);
                self.give_up_kept(&intent, &id.job);
                self.groups.begin_move(now.ms, id, intent);
                self.hold_for(now, id);
                self.store_group(now, id, true);
            }
            None => {
                log::info!("replica {id} finds no room to move to");
                if let Some(group) = self.groups.group_mut(id) {
                    group.cannot_move();
                }
            }
        }
        self.groups.touch_group(id);
    }

    /// What is expected gives way to what moves now.
    fn give_up_kept(&mut self, intent: &MigrationIntent, job: &JobId) {
        let Some(need) = self.jobs.get(job).map(|job| job.task_request) else {
            return;
        };
        for target in &intent.targets {
            let slot = self.capacity.slot(&target.machine);
            let room = slot.and_then(|slot| Some((slot, self.capacity.get(slot)?)));
            if let Some((slot, room)) = room {
                if !room.free().covers(&need) && room.forecast_reserved() != Resources::default() {
                    self.capacity.release_forecast(slot);
                }
            }
        }
    }

    fn move_intent(&self, now: Now, id: &GroupId) -> Option<MigrationIntent> {
        let job = self.jobs.get(&id.job)?;
        let bound: Vec<(u32, Binding)> = self
            .parts_of(now, id)
            .into_iter()
            .filter_map(|part| match part.state {
                PartState::Bound(binding) => Some((part.task, binding)),
                _ => None,
            })
            .collect();
        let generation = bound.first()?.1.generation;
        let mut wanted = PlacementRequest::new(job, now.wall);
        wanted.zones = job.zone_use();
        for (task, _) in &bound {
            wanted.zones.remove(&job.assignments.get(task)?.zone);
        }
        let (staying, leaving): (Vec<_>, Vec<_>) = bound
            .into_iter()
            .partition(|(_, binding)| binding.health == MachineHealth::Heard);
        let slot_of = |(_, binding): &(u32, Binding)| self.capacity.slot(&binding.machine);
        let all: Vec<Slot> = staying.iter().chain(&leaving).filter_map(slot_of).collect();
        let partly = self.move_some(id, &wanted, &staying, &leaving, &all);
        let targets = partly.or_else(|| {
            let tasks: Vec<u32> = staying.iter().chain(&leaving).map(|(t, _)| *t).collect();
            let search = GroupSearch {
                id,
                wanted: &wanted,
                count: tasks.len(),
                zone: None,
                taken: &all,
            };
            let rooms = self.find_rooms(&search, SearchScope::Kept)?;
            self.targets(&tasks, &rooms)
        })?;
        Some(MigrationIntent {
            generation,
            targets,
        })
    }

    /// The parts on sound machines start again there, the others beside them.
    fn move_some(
        &self,
        id: &GroupId,
        wanted: &PlacementRequest,
        staying: &[(u32, Binding)],
        leaving: &[(u32, Binding)],
        taken: &[Slot],
    ) -> Option<Vec<PartTarget>> {
        let stays = |(_, binding): &(u32, Binding)| self.capacity.slot(&binding.machine);
        let slots: Vec<Slot> = staying.iter().filter_map(stays).collect();
        if slots.is_empty() {
            return None;
        }
        let zone = self.common_zone(&wanted.spec, &slots);
        let mut around = PlacementRequest::like(wanted);
        around.zones = wanted.zones.clone();
        for (_, binding) in staying {
            around
                .zones
                .add(&self.fleet.get(&binding.machine)?.offer.zone);
        }
        let search = GroupSearch {
            id,
            wanted: &around,
            count: leaving.len(),
            zone: zone.as_deref(),
            taken,
        };
        let rooms = self.find_rooms(&search, SearchScope::Kept)?;
        let tasks: Vec<u32> = leaving.iter().map(|(task, _)| *task).collect();
        let mut targets = self.targets(&tasks, &rooms)?;
        targets.extend(staying.iter().map(|(task, binding)| PartTarget {
            task: *task,
            machine: binding.machine.clone(),
        }));
        Some(targets)
    }

    fn targets(&self, tasks: &[u32], rooms: &[PartMachine]) -> Option<Vec<PartTarget>> {
        let targets = tasks.iter().zip(rooms).map(|(task, part)| {
            Some(PartTarget {
                task: *task,
                machine: self.capacity.get(part.slot)?.id.clone(),
            })
        });
        targets.collect()
    }
}
