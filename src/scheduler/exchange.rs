//! Places change hands where an image is. Work whose aim leaves no time for a
//! fetch finds free room, but only where its image isn't, while settled
//! replicas that would hardly be missed stand where it is. They move into that
//! room, and the work takes theirs: less important replicas first, equals if
//! need be, more important ones never.

use super::rounds::Room;
use super::Scheduler;
use crate::fleet::Machine;
use crate::ids::TaskRef;
use crate::msg::Now;
use crate::placement::{may_stand, Resources, ZoneUse};
use crate::wire::JobSpec;

/// A fetch takes up to so many times its nominal time (PROTOCOL: give or take
/// a third).
const SLOWEST_FETCH: f64 = 4.0 / 3.0;
/// Stopping, storing and starting take about this share of a report interval.
const HANDOVER_REPORTS: f64 = 0.25;

/// A task that makes room, and the room that it goes to.
struct Moving {
    task: TaskRef,
    need: Resources,
    to: usize,
}

impl Scheduler {
    /// Makes room for one task on a machine that has its image, if the fetch
    /// that it would need on `cold` may cost it its aim. Tells where; the
    /// room is held for it from then on.
    pub(super) fn exchange(
        &mut self,
        now: Now,
        spec: &JobSpec,
        deadline: u64,
        zones: &ZoneUse,
        cold: usize,
        rooms: &mut [Room],
    ) -> Option<usize> {
        self.settings.start_aim_ms(spec)?;
        let slack_ms = deadline.saturating_sub(now.wall) as f64;
        let fetch_ms = self.fetch_s(&rooms[cold].id, spec)? * 1000.0;
        let handover_ms = self.handover_s() * 1000.0;
        if slack_ms < handover_ms || fetch_ms * SLOWEST_FETCH < slack_ms {
            return None;
        }
        let need = Resources::of_task(spec);
        self.examined += rooms.len() as u64 * 2;
        let (index, moves) = (0..rooms.len())
            .filter(|i| may_stand(spec, zones, &rooms[*i].offer))
            .filter_map(|i| {
                let machine = self.fleet.get(&rooms[i].id)?;
                if !machine.has_image(&spec.image) {
                    return None;
                }
                let (cost, moves) = self.movers(now, spec, &need, i, machine, rooms)?;
                Some((cost, i, moves))
            })
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, i, moves)| (i, moves))?;
        for moving in moves {
            log::info!("task {} makes place for {}", moving.task, spec.id);
            rooms[index].freeing.add(&moving.need);
            rooms[moving.to].free.take(&moving.need);
            rooms[moving.to].reserved = true;
            self.stop_task(now, &moving.task, true);
            self.migration_targets
                .insert(moving.task, rooms[moving.to].id.clone());
        }
        rooms[index].free.take(&need);
        Some(index)
    }

    /// Settled replicas of a machine that make enough room and have somewhere
    /// to go, with the seconds that they would be missed.
    fn movers(
        &self,
        now: Now,
        spec: &JobSpec,
        need: &Resources,
        from: usize,
        machine: &Machine,
        rooms: &[Room],
    ) -> Option<(f64, Vec<Moving>)> {
        let mut free = rooms[from].soon_free();
        let mut taken: Vec<(usize, Resources)> = Vec::new();
        let (mut cost, mut moves) = (0.0, Vec::new());
        for task in &machine.tasks {
            if free.holds(need) {
                break;
            }
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let movable = job.is_service()
                && job.cancelled.is_none()
                && job.spec.priority >= spec.priority
                && job
                    .assigns
                    .get(&task.index)
                    .is_some_and(|a| self.may_move(now, job, a));
            if !movable {
                continue;
            }
            let planned = moves.iter().map(|m: &Moving| (&m.task, &rooms[m.to].id));
            let mut zones = self.zones_ahead(job, planned);
            zones.remove(&machine.offer.zone);
            let goal = (0..rooms.len())
                .filter(|i| {
                    let mut left = rooms[*i].free;
                    for (_, gone) in taken.iter().filter(|(t, _)| t == i) {
                        left.take(gone);
                    }
                    *i != from && left.holds(&job.need)
                })
                .filter(|i| may_stand(&job.spec, &zones, &rooms[*i].offer))
                .filter_map(|i| {
                    let missed_s = self.missed_s(&rooms[i], &job.spec)?;
                    Some((missed_s, i))
                })
                .min_by(|a, b| a.0.total_cmp(&b.0));
            let Some((missed_s, to)) = goal.filter(|(s, _)| self.hardly_missed(*s)) else {
                continue;
            };
            cost += missed_s + self.handover_s();
            if job.spec.priority == spec.priority {
                cost += self.settings.site.workers.report_s;
            }
            free.add(&job.need);
            taken.push((to, job.need));
            moves.push(Moving {
                task: task.clone(),
                need: job.need,
                to,
            });
        }
        free.holds(need).then_some((cost, moves))
    }

    /// Stopping a task, storing that, and starting another in its place.
    pub(super) fn handover_s(&self) -> f64 {
        self.settings.site.workers.report_s * HANDOVER_REPORTS
    }

    /// How long a task would fetch that starts there.
    pub(super) fn missed_s(&self, room: &Room, spec: &JobSpec) -> Option<f64> {
        if self.fleet.get(&room.id)?.has_image(&spec.image) {
            return Some(0.0);
        }
        let fetches = f64::from(room.fetches + 1);
        Some(self.fetch_s(&room.id, spec)? * fetches)
    }
}
