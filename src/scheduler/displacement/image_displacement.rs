//! Places change hands where an image is. Work whose aim leaves no time for a
//! fetch finds free room, but only where its image isn't, while settled
//! replicas that would hardly be missed stand where it is. They move into that
//! room, and the work takes theirs: less important replicas first, equals if
//! need be, more important ones never.

use crate::capacity_index::{MachineCapacity, Slot};
use crate::fleet::Machine;
use crate::ids::{JobId, MachineId, TaskRef};
use crate::messages::Now;
use crate::placement::{Resources, ZoneCounts};
use crate::scheduler::rounds::task_placement::PlacementRequest;
use crate::scheduler::{Job, Scheduler};
use crate::wire::users::JobSpec;
use std::collections::HashMap;

/// A fetch takes up to so many times its nominal time (PROTOCOL: give or take
/// a third).
const SLOWEST_FETCH: f64 = 4.0 / 3.0;
/// Stopping, storing and starting take about this share of a report interval.
const HANDOVER_REPORTS: f64 = 0.25;
/// So many machines of one type, zone and kind are examined at most.
pub(in crate::scheduler) const MOST_CANDIDATES: usize = 64;

/// A task that makes room, and the room that it goes to.
struct DisplacedTask {
    task: TaskRef,
    need: Resources,
    to: Slot,
    machine: MachineId,
}

/// A room that a task may move to, and for how long it would be missed.
#[derive(Clone, Copy)]
struct MigrationTarget {
    missed_s: f64,
    to: Slot,
}

/// Where the replicas of each job could move, while nothing is promised there.
type MigrationTargets = HashMap<JobId, Option<MigrationTarget>>;

/// What the tasks of a machine that move together take elsewhere.
#[derive(Default)]
pub(in crate::scheduler) struct PlannedUse(Vec<(Slot, Resources)>);

impl PlannedUse {
    pub(in crate::scheduler) fn add(&mut self, slot: Slot, need: Resources) {
        self.0.push((slot, need));
    }

    /// Whether a room holds one more task beside these.
    pub(in crate::scheduler) fn leaves(
        &self,
        slot: Slot,
        room: &MachineCapacity,
        need: &Resources,
    ) -> bool {
        let mut left = room.free();
        for (_, gone) in self.0.iter().filter(|(taken, _)| *taken == slot) {
            left.subtract(gone);
        }
        left.covers(need)
    }

    fn touches(&self, slot: Slot) -> bool {
        self.0.iter().any(|(taken, _)| *taken == slot)
    }
}

impl Scheduler {
    /// Makes room for one task on a machine that has its image, if the fetch
    /// that it would need on `cold` may cost it its aim. Tells where; the
    /// room is held for it from then on.
    pub(in crate::scheduler) fn displace_for_image(
        &mut self,
        now: Now,
        wanted: &PlacementRequest,
        cold: Slot,
    ) -> Option<Slot> {
        let spec = &wanted.spec;
        self.settings.start_slo_ms(spec)?;
        let slack_ms = wanted.deadline.saturating_sub(now.wall) as f64;
        let fetch_ms = self.fetch_s(&self.capacity.get(cold)?.id, spec)? * 1000.0;
        let handover_ms = self.handover_s() * 1000.0;
        if slack_ms < handover_ms || fetch_ms * SLOWEST_FETCH < slack_ms {
            return None;
        }
        let (slot, moves) = self.cheapest_displacement(now, wanted)?;
        for moving in moves {
            log::info!("task {} makes place for {}", moving.task, spec.id);
            self.capacity.reserve_for_incoming(moving.to, &moving.need);
            self.stop_task(now, &moving.task, true);
            self.migrations.targets.insert(moving.task, moving.machine);
        }
        self.capacity.hold(slot, &wanted.need);
        self.refresh(now);
        Some(slot)
    }

    /// The machine with the image whose replicas would be missed least, and those
    /// that move.
    fn cheapest_displacement(
        &self,
        now: Now,
        wanted: &PlacementRequest,
    ) -> Option<(Slot, Vec<DisplacedTask>)> {
        let mut goals = MigrationTargets::new();
        let mut best: Option<(f64, Slot, Vec<DisplacedTask>)> = None;
        let least = self.handover_s();
        let rooms = self
            .capacity
            .with_image(&wanted.spec, &wanted.zones, MOST_CANDIDATES);
        for (slot, room) in rooms {
            let Some((cost, moves)) = self.movers(now, wanted, slot, room, &mut goals) else {
                continue;
            };
            if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
                best = Some((cost, slot, moves));
            }
            if cost <= least {
                // One replica that isn't missed at all: no machine does better.
                break;
            }
        }
        best.map(|(_, slot, moves)| (slot, moves))
    }

    /// Settled replicas of a machine that make enough room and have somewhere
    /// to go, with the seconds that they would be missed.
    fn movers(
        &self,
        now: Now,
        wanted: &PlacementRequest,
        from: Slot,
        room: &MachineCapacity,
        goals: &mut MigrationTargets,
    ) -> Option<(f64, Vec<DisplacedTask>)> {
        let machine = self.fleet.get(&room.id)?;
        let priority = wanted.spec.priority;
        let mut free = room.free_after_stops();
        let mut taken = PlannedUse::default();
        let (mut cost, mut moves) = (0.0, Vec::new());
        for task in &machine.tasks {
            if free.covers(&wanted.need) {
                break;
            }
            let movable = |job: &Job| {
                let assign = job.assignments.get(&task.index);
                job.is_service()
                    && job.cancelled.is_none()
                    && job.spec.priority >= priority
                    && assign.is_some_and(|a| self.may_move(now, job, a))
            };
            let Some(job) = self.jobs.get(&task.job).filter(|job| movable(job)) else {
                continue;
            };
            let goal = self.goal(job, machine, from, &moves, &taken, goals);
            let Some(MigrationTarget { missed_s, to }) =
                goal.filter(|g| self.hardly_missed(g.missed_s))
            else {
                continue;
            };
            cost += missed_s + self.handover_s();
            if job.spec.priority == priority {
                cost += self.settings.site.workers.heartbeat_s;
            }
            free.add(&job.task_request);
            taken.add(to, job.task_request);
            moves.push(DisplacedTask {
                task: task.clone(),
                need: job.task_request,
                to,
                machine: self.capacity.get(to)?.id.clone(),
            });
        }
        free.covers(&wanted.need).then_some((cost, moves))
    }

    /// Where a replica would be missed least, beside those that move with it.
    fn goal(
        &self,
        job: &Job,
        machine: &Machine,
        from: Slot,
        moves: &[DisplacedTask],
        taken: &PlannedUse,
        goals: &mut MigrationTargets,
    ) -> Option<MigrationTarget> {
        // Where a job's replicas may go doesn't depend on which of them moves, but
        // for those that are spread.
        let alike = !job.spec.spread && !job.spec.same_zone;
        let known = goals.get(&job.spec.id).filter(|_| alike);
        match known {
            Some(None) => return None,
            Some(Some(goal)) if goal.to != from && !taken.touches(goal.to) => return Some(*goal),
            _ => {}
        }
        let planned = moves.iter().map(|m| (&m.task, &m.machine));
        let mut zones = self.zones_ahead(job, planned);
        zones.remove(&machine.offer.zone);
        let accept = |slot: Slot, room: &MachineCapacity| {
            slot != from && taken.leaves(slot, room, &job.task_request)
        };
        let goal = self.nearest_goal(job, &zones, accept);
        if known.is_none() && alike && taken.0.is_empty() {
            goals.insert(job.spec.id.clone(), goal);
        }
        goal
    }

    fn nearest_goal(
        &self,
        job: &Job,
        zones: &ZoneCounts,
        accept: impl Fn(Slot, &MachineCapacity) -> bool,
    ) -> Option<MigrationTarget> {
        let (spec, need) = (&job.spec, &job.task_request);
        if let Some(to) = self.capacity.first_with_image(spec, need, zones, &accept) {
            return Some(MigrationTarget { missed_s: 0.0, to });
        }
        let rooms = self.capacity.first_of_groups(spec, need, zones, accept);
        let goals = rooms.filter_map(|to| {
            let missed_s = self.missed_s(self.capacity.get(to)?, spec)?;
            Some(MigrationTarget { missed_s, to })
        });
        goals.min_by(|a, b| a.missed_s.total_cmp(&b.missed_s))
    }

    /// Stopping a task, storing that, and starting another in its place.
    pub(in crate::scheduler) fn handover_s(&self) -> f64 {
        self.settings.site.workers.heartbeat_s * HANDOVER_REPORTS
    }

    /// How long a task would fetch that starts there.
    pub(in crate::scheduler) fn missed_s(
        &self,
        room: &MachineCapacity,
        spec: &JobSpec,
    ) -> Option<f64> {
        if room.has_image(&spec.image) {
            return Some(0.0);
        }
        let fetches = (room.state.pulling_images.len() + 1) as f64;
        Some(self.fetch_s(&room.id, spec)? * fetches)
    }
}
