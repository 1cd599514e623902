//! A round: waiting work in deadline order takes free room; the rest picks
//! rental rungs.

use super::learn::Flow;
use super::{Assign, Job, Scheduler};
use crate::cloud::{Cloud, Offer, RENT_MAX};
use crate::fleet::Phase;
use crate::ids::{JobId, MachineId, TaskRef};
use crate::msg::Now;
use crate::placement::{allows_offer, offers_for, Fit, Res, ZoneUse};
use crate::slackfit::{self, Rung};
use crate::wire::{JobSpec, Kind, Priority};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

/// A worker that has been silent for so many report intervals gets nothing new.
const FRESH_REPORTS: u64 = 3;
/// A new leader listens for so many report intervals before it rents.
const LISTEN_REPORTS: u64 = 3;

/// A machine with more than this share in use isn't emptied.
const MOST_MOVED: f64 = 0.6;
/// A replica that started less than this many leases ago isn't moved: its
/// start would count for nothing.
const SETTLED_LEASES: f64 = 4.0;
/// A fetch that takes so many report intervals is hardly missed.
const QUICK_FETCH_REPORTS: f64 = 2.5;

/// A job that is late by every aim is due at so many times its deadline, so
/// that its turn comes all the same.
const LAST_DEADLINE: f64 = 3.0;

/// A replica moves to spread an image at most once in so many fetch times.
const WARM_FETCHES: f64 = 10.0;
/// So many tasks of one job are looked at in one round.
const ROUND_TASKS: usize = 512;

/// One entry of the queue.
#[derive(Debug)]
struct Waiting {
    priority: Priority,
    /// Beyond what its team is guaranteed.
    beyond: bool,
    /// Time of day.
    deadline: u64,
    what: Work,
}

#[derive(Debug)]
enum Work {
    Job(JobId),
    /// Work that is expected, by what was seen.
    Forecast(Rc<JobSpec>, u32),
}

/// Free room of a machine during one round.
#[derive(Debug)]
struct Room {
    id: MachineId,
    offer: Offer,
    free: Res,
    /// What tasks that are being stopped will give back.
    freeing: Res,
    whole: Res,
    fetches: u32,
    reserved: bool,
    /// Room set aside for expected work.
    kept: Res,
}

impl Room {
    fn soon_free(&self) -> Res {
        let mut free = self.free;
        free.add(&self.freeing);
        free
    }
}

/// Room kept for expected work whose image isn't there.
#[derive(Debug)]
struct Cold {
    spec: Rc<JobSpec>,
    machine: MachineId,
}

/// Tasks that found no room.
#[derive(Debug)]
pub(super) struct Rest {
    spec: Rc<JobSpec>,
    count: u32,
    deadline: u64,
    zones: ZoneUse,
    forecast: bool,
}

/// Room that isn't there yet.
struct Coming {
    offer: Offer,
    free: Res,
    new: bool,
}

impl Scheduler {
    /// The time of day that orders a job in the queue.
    fn deadline_of(&self, now: Now, spec: &JobSpec, submitted: u64) -> u64 {
        let Some(deadline_s) = spec.deadline_s else {
            let ms = match self.settings.wait_objective_ms(&spec.class) {
                Some(ms) => ms,
                // The design's: twice the estimate.
                None => (spec.estimate_s * 2000.0) as u64,
            };
            return submitted + ms;
        };
        // What can't be on time any more would only make others late too:
        // it goes for the next deadline that still means something.
        let run_ms = (spec.estimate_s * self.learning.bias(&spec.class) * 1000.0) as u64;
        let at = |times: f64| submitted + (deadline_s * times * 1000.0) as u64;
        self.settings
            .deadline_times(&spec.class)
            .into_iter()
            .map(at)
            .find(|deadline| now.wall + run_ms <= *deadline)
            .unwrap_or_else(|| at(LAST_DEADLINE))
    }

    /// Jobs that fit into their team's guarantee together with the team's
    /// earlier unfinished ones.
    fn within_guarantee(&self) -> BTreeMap<JobId, bool> {
        let mut by_team: BTreeMap<&str, Vec<(u64, &JobId)>> = BTreeMap::new();
        for (id, job) in &self.jobs {
            if job.cancelled.is_none() {
                by_team
                    .entry(&job.spec.team)
                    .or_default()
                    .push((job.submitted, id));
            }
        }
        let mut within = BTreeMap::new();
        for (name, mut jobs) in by_team {
            let Some(team) = self.settings.team(name) else {
                continue;
            };
            if team.cpus <= 0.0 && team.gpus <= 0.0 {
                continue;
            }
            jobs.sort();
            let (mut cpus, mut gpus) = (0.0, 0.0);
            for (_, id) in jobs {
                let job = &self.jobs[id];
                let left = f64::from(job.spec.tasks) - job.done.len() as f64;
                cpus += job.need.cpus * left;
                gpus += job.need.gpus * left;
                let fits = (team.cpus <= 0.0 || cpus <= team.cpus + 1e-6)
                    && (team.gpus <= 0.0 || gpus <= team.gpus + 1e-6);
                within.insert(id.clone(), fits);
            }
        }
        within
    }

    /// What each team's tasks may be using now.
    fn team_use(&self) -> HashMap<Rc<str>, Res> {
        let mut used: HashMap<Rc<str>, Res> = HashMap::new();
        for job in self.jobs.values() {
            let total = used.entry(job.spec.team.clone()).or_default();
            for _ in &job.assigns {
                total.add(&job.need);
            }
        }
        used
    }

    /// Whether the team may take one more such task.
    fn quota_allows(&self, team: &str, used: &Res, need: &Res) -> bool {
        let Some(team) = self.settings.team(team) else {
            return false;
        };
        let ok = |used: f64, need: f64, max: f64| max <= 0.0 || used + need <= max + 1e-6;
        ok(used.cpus, need.cpus, team.cpus_max) && ok(used.gpus, need.gpus, team.gpus_max)
    }

    /// Room for arrivals: as many standard deviations of what comes and goes
    /// during one boot as the operator wants, pooled over the classes.
    fn forecasts(&mut self, now: Now) -> Vec<Waiting> {
        let Some(catalog) = self.catalog.clone() else {
            return Vec::new();
        };
        let slowest = catalog
            .types
            .iter()
            .map(|t| self.learning.boot_s(&t.name, t.boot_s))
            .fold(0.0, f64::max);
        let flows: Vec<Flow> = self
            .learning
            .flows(now.ms)
            .into_iter()
            .filter(|f| self.settings.wait_objective_ms(&f.spec.class).is_some())
            .collect();
        // In the scarcest amount's terms one class can stand in for another.
        let weigh = |f: &Flow| {
            let need = Res::of_task(&f.spec);
            let variance = 2.0 * f.jobs_per_s * slowest * f.tasks_squared;
            (variance, variance * need.gpus.max(need.cpus / 8.0).powi(2))
        };
        let pooled: f64 = flows.iter().map(|f| weigh(f).1).sum::<f64>().sqrt();
        let apart: f64 = flows.iter().map(|f| weigh(f).1.sqrt()).sum();
        let ratio = if apart > 0.0 { pooled / apart } else { 0.0 };
        let mut all = Vec::new();
        for f in &flows {
            let units = self.options.headroom * weigh(f).0.sqrt() * ratio;
            let images = self.images_of(&f.spec.class);
            let total: u32 = images.values().map(|(n, _)| n).sum();
            let mut images: Vec<(u32, Rc<JobSpec>)> = images.into_values().collect();
            images.sort_by_key(|(n, _)| std::cmp::Reverse(*n));
            if images.is_empty() {
                images.push((1, f.spec.clone()));
            }
            // Room is only of quick use where its image is, so each image
            // gets its part; what doesn't divide goes to the commonest.
            let (mut seen, mut given) = (0, 0);
            for (count, spec) in images {
                seen += count;
                let upto = (units.ceil() * f64::from(seen) / f64::from(total.max(1))).ceil() as u32;
                let part = upto - given;
                given = upto;
                if part > 0 {
                    all.push(Waiting {
                        priority: f.spec.priority,
                        beyond: true,
                        deadline: now.wall + (slowest * 1000.0) as u64,
                        what: Work::Forecast(spec, part),
                    });
                }
            }
        }
        all
    }

    /// The images of a class's unfinished jobs, how many have them, and one
    /// job that stands for them.
    fn images_of(&self, class: &str) -> BTreeMap<Rc<str>, (u32, Rc<JobSpec>)> {
        let mut images: BTreeMap<Rc<str>, (u32, Rc<JobSpec>)> = BTreeMap::new();
        for job in self.jobs.values().filter(|j| &*j.spec.class == class) {
            images
                .entry(job.spec.image.clone())
                .or_insert_with(|| (0, job.spec.clone()))
                .0 += 1;
        }
        images
    }

    fn queue(&mut self, now: Now) -> Vec<Waiting> {
        let within = self.within_guarantee();
        // A task on the move has its place already; nothing expected may
        // take that before it arrives.
        let moving: BTreeSet<&JobId> = self.bound_for.keys().map(|t| &t.job).collect();
        let mut queue: Vec<Waiting> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.cancelled.is_none() && !j.pending.is_empty() && !j.stale)
            .filter(|(_, j)| now.ms >= j.pause_until_ms)
            .map(|(id, job)| Waiting {
                priority: if moving.contains(id) {
                    Priority::Critical
                } else {
                    job.spec.priority
                },
                beyond: !moving.contains(id) && !within.get(id).copied().unwrap_or(false),
                deadline: self.deadline_of(now, &job.spec, job.submitted),
                what: Work::Job(id.clone()),
            })
            .collect();
        queue.extend(self.forecasts(now));
        queue.sort_by_key(|w| (w.priority, w.beyond, w.deadline));
        queue
    }

    /// Hands out free room in deadline order; what finds none is kept for
    /// `rent`.
    pub(super) fn place(&mut self, now: Now) {
        let fresh_ms = self.report_ms() * FRESH_REPORTS;
        let mut rooms: Vec<Room> = self
            .fleet
            .machines
            .values()
            .filter(|m| m.takes_work(now.ms, fresh_ms))
            .map(|m| Room {
                id: m.id.clone(),
                offer: m.offer.clone(),
                free: m.free(),
                freeing: self.freeing(&m.id),
                whole: m.room,
                fetches: m.fetching.len() as u32,
                reserved: false,
                kept: Res::default(),
            })
            .collect();
        let jobs = &self.jobs;
        self.bound_for.retain(|task, _| {
            jobs.get(&task.job).is_some_and(|j| {
                let leaving = j.assigns.get(&task.index).is_some_and(|a| a.stop.is_some());
                j.pending.contains(&task.index) || leaving
            })
        });
        let mut used = self.team_use();
        let mut rest = Vec::new();
        let mut cold = Vec::new();
        for waiting in self.queue(now) {
            match waiting.what {
                Work::Job(id) => {
                    let left = self.place_job(now, &id, waiting.deadline, &mut rooms, &mut used);
                    rest.extend(left);
                }
                Work::Forecast(spec, count) => {
                    let left = self.reserve(&spec, count, &mut rooms, &mut cold);
                    if left > 0 {
                        rest.push(Rest {
                            spec,
                            count: left,
                            deadline: waiting.deadline,
                            zones: ZoneUse::default(),
                            forecast: true,
                        });
                    }
                }
            }
        }
        self.preempt(now, &mut rest, &rooms);
        if rest.is_empty() {
            self.gather(now, &mut rooms);
            self.warm(now, cold);
        }
        self.rest = rest;
        self.reserved = rooms
            .into_iter()
            .filter(|r| r.reserved)
            .map(|r| r.id)
            .collect();
    }

    /// Expected work that would have to fetch its image for most of the time
    /// that its class may wait: a settled replica with that image moves to
    /// where it is missing, and leaves warm room behind. Seldom, so that the
    /// gaps stay far below what the aims allow.
    fn warm(&mut self, now: Now, cold: Vec<Cold>) {
        for Cold { spec, machine } in cold {
            let due_ms = self.warm_due_ms.get(&spec.class).copied();
            if due_ms.is_some_and(|due| now.ms < due) {
                continue;
            }
            let (Some(fetch_s), Some(objective_ms)) = (
                self.fetch_s(&machine, &spec),
                self.settings.wait_objective_ms(&spec.class),
            ) else {
                continue;
            };
            // Where the fetch is short beside the aim it may happen later;
            // where it is long the replica would be missed for too long.
            let hardly_missed =
                fetch_s <= self.settings.site.workers.report_s * QUICK_FETCH_REPORTS;
            if fetch_s * 2000.0 < objective_ms as f64 || !hardly_missed {
                continue;
            }
            let Some(task) = self.mover(now, &spec, &machine) else {
                continue;
            };
            log::info!("task {task} moves to {machine}, to leave warm room behind");
            let due_ms = now.ms + (fetch_s * 1000.0 * WARM_FETCHES) as u64;
            self.warm_due_ms.insert(spec.class.clone(), due_ms);
            self.stop_task(now, &task);
            self.bound_for.insert(task, machine);
        }
    }

    fn fetch_s(&self, machine: &MachineId, spec: &JobSpec) -> Option<f64> {
        let machine_type = &self.fleet.get(machine)?.offer.machine_type;
        let rate = self.catalog.as_ref()?.find(machine_type)?.fetch_gb_per_s;
        (rate > 0.0).then(|| spec.image_gb / rate)
    }

    /// A settled replica with this image that may go to `to`.
    fn mover(&self, now: Now, spec: &JobSpec, to: &MachineId) -> Option<TaskRef> {
        let zone = &self.fleet.get(to)?.offer.zone;
        let settled_ms = (self.lease_ms() as f64 * SETTLED_LEASES) as u64;
        let like = |j: &&Job| {
            j.is_service()
                && j.cancelled.is_none()
                && j.spec.class == spec.class
                && j.spec.image == spec.image
        };
        for job in self.jobs.values().filter(like) {
            for (index, assign) in &job.assigns {
                let settled = assign.stop.is_none()
                    && assign
                        .running_since_ms
                        .is_some_and(|at| now.ms > at + settled_ms);
                let up = self
                    .fleet
                    .get(&assign.machine)
                    .is_some_and(|m| m.phase == Phase::Up && m.notice_until_ms.is_none());
                let mut zones = job.zone_use();
                zones.remove(&assign.zone);
                if settled && up && assign.machine != *to && zones.allows(&job.spec, zone) {
                    return Some(job.task(*index));
                }
            }
        }
        None
    }

    /// Stops tasks of less important jobs where that gives room to work with
    /// a wait objective sooner than a rental would. What is stopped saves
    /// first, if it can, and waits again in the queue.
    fn preempt(&mut self, now: Now, rest: &mut Vec<Rest>, rooms: &[Room]) {
        let mut free: Vec<Res> = rooms.iter().map(Room::soon_free).collect();
        let mut chosen: Vec<TaskRef> = Vec::new();
        for waiting in rest.iter_mut().filter(|r| !r.forecast) {
            if self
                .settings
                .wait_objective_ms(&waiting.spec.class)
                .is_none()
            {
                continue;
            }
            let need = Res::of_task(&waiting.spec);
            while waiting.count > 0 {
                let allowed = |room: &Room| {
                    allows_offer(&waiting.spec, &room.offer)
                        && waiting.zones.allows(&waiting.spec, &room.offer.zone)
                };
                let best = (0..rooms.len())
                    .filter(|i| allowed(&rooms[*i]))
                    .filter_map(|i| {
                        let (cost, victims) = self.victims(
                            now,
                            &rooms[i].id,
                            waiting.spec.priority,
                            free[i],
                            &need,
                            &chosen,
                        )?;
                        Some((cost, i, victims))
                    })
                    .min_by(|a, b| a.0.total_cmp(&b.0));
                let Some((_, index, victims)) = best else {
                    break;
                };
                for task in victims {
                    if let Some(job) = self.jobs.get(&task.job) {
                        free[index].add(&job.need);
                    }
                    log::info!("task {task} gives way to {}", waiting.spec.id);
                    chosen.push(task);
                }
                free[index].take(&need);
                waiting.zones.add(&rooms[index].offer.zone);
                waiting.count -= 1;
            }
        }
        rest.retain(|r| r.count > 0);
        for task in chosen {
            self.stop_task(now, &task);
        }
    }

    fn freeing(&self, id: &MachineId) -> Res {
        let mut freeing = Res::default();
        for (job, assign) in self.tasks_on(id) {
            if assign.stop.is_some() {
                freeing.add(&job.need);
            }
        }
        freeing
    }

    /// Keeps room that is about to be free for work with a wait objective.
    /// Without this, what was stopped for it starts again in the first gap
    /// that is too small for it, and is stopped again, over and over.
    fn hold_room(
        &self,
        spec: &JobSpec,
        count: u32,
        zones: &mut ZoneUse,
        rooms: &mut [Room],
    ) -> u32 {
        if self.settings.wait_objective_ms(&spec.class).is_none() {
            return count;
        }
        let need = Res::of_task(spec);
        for n in 0..count {
            let room = rooms.iter_mut().find(|r| {
                r.soon_free().holds(&need)
                    && allows_offer(spec, &r.offer)
                    && zones.allows(spec, &r.offer.zone)
            });
            let Some(room) = room else {
                return count - n;
            };
            room.free.take(&need);
            zones.add(&room.offer.zone);
        }
        0
    }

    fn tasks_on(&self, id: &MachineId) -> impl Iterator<Item = (&Job, &Assign)> {
        let tasks = self.fleet.get(id).map(|m| &m.tasks);
        tasks.into_iter().flatten().filter_map(|task| {
            let job = self.jobs.get(&task.job)?;
            Some((job, job.assigns.get(&task.index)?))
        })
    }

    /// The tasks of less important jobs whose stop costs least and makes room
    /// on this machine, with that cost.
    fn victims(
        &self,
        now: Now,
        id: &MachineId,
        priority: Priority,
        mut free: Res,
        need: &Res,
        chosen: &[TaskRef],
    ) -> Option<(f64, Vec<TaskRef>)> {
        let machine = self.fleet.get(id)?;
        let settled_ms = (self.lease_ms() as f64 * SETTLED_LEASES) as u64;
        let mut candidates: Vec<(f64, &TaskRef, Res)> = Vec::new();
        for task in &machine.tasks {
            let job = self.jobs.get(&task.job)?;
            let assign = job.assigns.get(&task.index)?;
            if job.spec.priority <= priority || assign.stop.is_some() || chosen.contains(task) {
                continue;
            }
            let ran_ms = assign.running_since_ms.map_or(0, |at| now.ms - at);
            // Lost work in seconds; a start that was just made counts twice.
            let lost_s = if job.spec.checkpoint_s > 0.0 {
                job.spec.save_s
            } else {
                ran_ms as f64 / 1000.0
            };
            let fresh = assign.running_since_ms.is_some() && ran_ms < settled_ms;
            let cost = if fresh {
                lost_s * 2.0 + 1.0
            } else {
                lost_s + 1.0
            };
            candidates.push((cost, task, job.need));
        }
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (mut cost, mut victims) = (0.0, Vec::new());
        for (lost, task, room) in candidates {
            if free.holds(need) {
                break;
            }
            free.add(&room);
            cost += lost;
            victims.push(task.clone());
        }
        free.holds(need).then_some((cost, victims))
    }

    /// Scaling in: moves the replicas of the emptiest machine into free room
    /// that nobody expects to need, so that the machine can be returned. One
    /// machine at a time, and only where a replica is hardly missed.
    fn gather(&mut self, now: Now, rooms: &mut [Room]) {
        let moving = self
            .fleet
            .machines
            .values()
            .any(|m| m.phase == Phase::Draining && !m.tasks.is_empty());
        if moving {
            return;
        }
        let mut order: Vec<(f64, usize)> = rooms
            .iter()
            .enumerate()
            .filter(|(_, r)| !r.reserved)
            .filter_map(|(i, r)| {
                let machine = self.fleet.get(&r.id)?;
                let share = machine.used.share_of(&machine.room);
                (!machine.tasks.is_empty() && share <= MOST_MOVED).then_some((share, i))
            })
            .collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (share, index) in order {
            if let Some(moves) = self.can_empty(now, index, share, rooms) {
                self.bound_for.extend(moves);
                let id = rooms[index].id.clone();
                log::info!("machine {id} emptied, its replicas move");
                if let Some(machine) = self.fleet.get_mut(&id) {
                    machine.phase = Phase::Draining;
                }
                rooms[index].free = Res::default();
                self.drain(now, &id);
                return;
            }
        }
    }

    /// Where all tasks of a machine may move to, if they may and find room.
    fn can_empty(
        &self,
        now: Now,
        index: usize,
        share: f64,
        rooms: &[Room],
    ) -> Option<Vec<(TaskRef, MachineId)>> {
        let machine = self.fleet.get(&rooms[index].id)?;
        let settled_ms = (self.settings.site.workers.lease_s * 1000.0 * SETTLED_LEASES) as u64;
        let mut free: Vec<(usize, Res)> = rooms
            .iter()
            .enumerate()
            .filter(|(i, r)| {
                let fuller = self
                    .fleet
                    .get(&r.id)
                    .is_some_and(|m| m.used.share_of(&m.room) >= share && !m.tasks.is_empty());
                *i != index && fuller && r.offer.spot <= rooms[index].offer.spot
            })
            .map(|(i, r)| (i, r.free))
            .collect();
        let mut moves = Vec::new();
        for task in &machine.tasks {
            let job = self.jobs.get(&task.job)?;
            let assign = job.assigns.get(&task.index)?;
            let settled = assign.stop.is_none()
                && assign
                    .running_since_ms
                    .is_some_and(|at| now.ms > at + settled_ms);
            if !settled || !job.is_service() {
                return None;
            }
            let mut zones = job.zone_use();
            zones.remove(&assign.zone);
            let has_image = |i: usize| {
                let machine = self.fleet.get(&rooms[i].id);
                machine.is_some_and(|m| m.has_image(&job.spec.image))
            };
            let (to, free) = free
                .iter_mut()
                .filter(|(i, free)| {
                    let room = &rooms[*i];
                    free.holds(&job.need)
                        && allows_offer(&job.spec, &room.offer)
                        && zones.allows(&job.spec, &room.offer.zone)
                        && self.soon_there(&room.id, &job.spec)
                })
                .min_by_key(|(i, _)| !has_image(*i))?;
            free.take(&job.need);
            moves.push((task.clone(), rooms[*to].id.clone()));
        }
        Some(moves)
    }

    /// Whether a machine has the image, or fetches it within a few reports.
    fn soon_there(&self, id: &MachineId, spec: &JobSpec) -> bool {
        let Some(machine) = self.fleet.get(id) else {
            return false;
        };
        let rate = self
            .catalog
            .as_ref()
            .and_then(|c| c.find(&machine.offer.machine_type))
            .map_or(0.0, |t| t.fetch_gb_per_s);
        let patience_s = self.settings.site.workers.report_s * QUICK_FETCH_REPORTS;
        machine.has_image(&spec.image) || spec.image_gb <= rate * patience_s
    }

    /// Sets room aside for expected work: where its image is, and then on the
    /// fullest machines, so that empty ones can be returned. Says how much
    /// found none.
    fn reserve(
        &self,
        spec: &Rc<JobSpec>,
        count: u32,
        rooms: &mut [Room],
        cold: &mut Vec<Cold>,
    ) -> u32 {
        let need = Res::of_task(spec);
        for n in 0..count {
            let best = rooms
                .iter_mut()
                .filter(|r| r.free.holds(&need) && allows_offer(spec, &r.offer) && !r.offer.spot)
                .min_by(|a, b| {
                    let rank = |r: &Room| {
                        let has = self
                            .fleet
                            .get(&r.id)
                            .is_some_and(|m| m.has_image(&spec.image));
                        r.free.share_of(&r.whole) + if has { 0.0 } else { 1.0 }
                    };
                    rank(a).total_cmp(&rank(b))
                });
            match best {
                Some(room) => {
                    room.free.take(&need);
                    room.kept.add(&need);
                    room.reserved = true;
                    if !self
                        .fleet
                        .get(&room.id)
                        .is_some_and(|m| m.has_image(&spec.image))
                    {
                        cold.push(Cold {
                            spec: spec.clone(),
                            machine: room.id.clone(),
                        });
                    }
                }
                None => return count - n,
            }
        }
        0
    }

    fn place_job(
        &mut self,
        now: Now,
        id: &JobId,
        deadline: u64,
        rooms: &mut [Room],
        used: &mut HashMap<Rc<str>, Res>,
    ) -> Option<Rest> {
        let job = self.jobs.get(id)?;
        let (spec, need) = (job.spec.clone(), job.need);
        let mut zones = job.zone_use();
        // A gang is seen whole; of a huge array a round's worth will do.
        let most = match spec.kind {
            Kind::Group => usize::MAX,
            _ => ROUND_TASKS,
        };
        let tasks: Vec<u32> = job.pending.iter().copied().take(most).collect();
        if spec.kind == Kind::Group && !self.whole_fits(&spec, &need, &zones, rooms, &tasks, used) {
            // A gang starts whole, as one round, or waits.
            return Some(Rest {
                spec,
                count: tasks.len() as u32,
                deadline,
                zones,
                forecast: false,
            });
        }
        let mut placed = 0;
        let mut blocked = 0;
        // The tasks of a gang know each other by their common attempt.
        let shared = match spec.kind {
            Kind::Group => self.jobs.get_mut(id).map(|job| job.common_attempt()),
            _ => None,
        };
        for task in &tasks {
            let team = used.entry(spec.team.clone()).or_default();
            if !self.quota_allows(&spec.team, team, &need) {
                // Renting wouldn't help it: its team has to give room back.
                blocked = (tasks.len() - placed) as u32;
                log::debug!("job {id} waits for quota of {} tasks={blocked}", spec.team);
                break;
            }
            let bound = self.bound_for.remove(&TaskRef {
                job: id.clone(),
                index: *task,
            });
            let bound = bound.and_then(|to| {
                rooms.iter().position(|r| {
                    r.id == to
                        && r.free.holds(&need)
                        && allows_offer(&spec, &r.offer)
                        && zones.allows(&spec, &r.offer.zone)
                })
            });
            let mut best = bound.or_else(|| self.best_room(&spec, &need, &zones, rooms, id));
            if best.is_none() && self.settings.wait_objective_ms(&spec.class).is_some() {
                // What waits now goes before what is only expected.
                best = release_kept(&spec, &need, &zones, rooms);
            }
            let Some(index) = best else {
                break;
            };
            let room = &mut rooms[index];
            let (Some(job), Some(machine)) = (self.jobs.get_mut(id), self.fleet.get_mut(&room.id))
            else {
                break;
            };
            let Some(attempt) = shared.or_else(|| job.next_attempt(*task)) else {
                break;
            };
            log::debug!(
                "place {id}/{task} attempt={attempt} on {} zone={} free_gpus={} cached={}",
                room.id,
                room.offer.zone,
                room.free.gpus,
                machine.has_image(&spec.image)
            );
            job.pending.remove(task);
            job.assigns.insert(
                *task,
                Assign {
                    attempt,
                    machine: room.id.clone(),
                    session: machine.session,
                    zone: room.offer.zone.clone(),
                    recorded: false,
                    first_sent_ms: None,
                    sent_ms: None,
                    phase: None,
                    running_since_ms: None,
                    stop: None,
                    absent_proof: None,
                },
            );
            job.touch(*task, now.ms, true);
            machine.assign(job.task(*task), &need);
            room.free.take(&need);
            if !machine.has_image(&spec.image) && !machine.fetching.contains_key(&spec.image) {
                machine.fetching.insert(spec.image.clone(), 1);
                room.fetches += 1;
            }
            zones.add(&room.offer.zone);
            team.add(&need);
            placed += 1;
        }
        let count = (tasks.len() - placed) as u32 - blocked;
        let count = self.hold_room(&spec, count, &mut zones, rooms);
        (count > 0).then_some(Rest {
            spec,
            count,
            deadline,
            zones,
            forecast: false,
        })
    }

    /// Whether all these tasks find room at once.
    fn whole_fits(
        &self,
        spec: &JobSpec,
        need: &Res,
        zones: &ZoneUse,
        rooms: &[Room],
        tasks: &[u32],
        used: &HashMap<Rc<str>, Res>,
    ) -> bool {
        let mut used = used.get(&spec.team).copied().unwrap_or_default();
        let mut zones = zones.clone();
        let mut free: Vec<(&Room, Res)> = rooms
            .iter()
            .filter(|r| allows_offer(spec, &r.offer))
            .map(|r| (r, r.free))
            .collect();
        tasks.iter().all(|_| {
            let fits = self.quota_allows(&spec.team, &used, need);
            let room = free
                .iter_mut()
                .find(|(r, free)| free.holds(need) && zones.allows(spec, &r.offer.zone));
            match room {
                Some((room, free)) if fits => {
                    free.take(need);
                    zones.add(&room.offer.zone);
                    used.add(need);
                    true
                }
                _ => false,
            }
        })
    }

    fn best_room(
        &self,
        spec: &JobSpec,
        need: &Res,
        zones: &ZoneUse,
        rooms: &[Room],
        id: &JobId,
    ) -> Option<usize> {
        let job = self.jobs.get(id)?;
        let mut best: Option<(f64, usize)> = None;
        for (index, room) in rooms.iter().enumerate() {
            if !room.free.holds(need)
                || !allows_offer(spec, &room.offer)
                || !zones.allows(spec, &room.offer.zone)
            {
                continue;
            }
            let Some(machine) = self.fleet.get(&room.id) else {
                continue;
            };
            let mut left = room.free;
            left.take(need);
            // Replicas are kept apart; tasks that end soon fill machines up.
            let apart = u32::from(spec.kind == Kind::Service);
            let siblings = machine.tasks.iter().filter(|t| t.job == *id).count() as u32;
            let fit = Fit {
                cached: machine.has_image(&spec.image),
                coming: machine.fetching.contains_key(&spec.image),
                fetches: room.fetches,
                spot: room.offer.spot,
                left: left.share_of(&room.whole),
                siblings: siblings * apart,
                zone_siblings: zones.count(&room.offer.zone) * apart,
            };
            let mut rank = fit.rank();
            if job.failed_on.contains(&room.id) {
                rank += 10.0;
            }
            if best.is_none_or(|(r, _)| rank < r) {
                best = Some((rank, index));
            }
        }
        best.map(|(_, index)| index)
    }

    /// Rents for the work that found neither free room nor room that is
    /// already coming, and returns machines that nobody needs.
    pub(super) fn rent(&mut self, now: Now, cloud: &mut Cloud) {
        let Some(catalog) = self.catalog.clone() else {
            return;
        };
        if now.ms < self.elected_ms + self.report_ms() * LISTEN_REPORTS || !cloud.reachable() {
            return;
        }
        let mut coming = self.coming(now, cloud);
        for rest in std::mem::take(&mut self.rest) {
            self.cover(now, &rest, &catalog, &mut coming);
        }
        let mut wanted: BTreeMap<Offer, u32> = BTreeMap::new();
        for room in coming.iter().filter(|c| c.new) {
            *wanted.entry(room.offer.clone()).or_insert(0) += 1;
        }
        for (offer, count) in wanted {
            // One order of a kind at a time: its answer says what there is.
            if cloud.ordered(&offer) > 0 {
                continue;
            }
            self.rentals += 1;
            let name = format!("lf-{}-{}", self.term, self.rentals);
            log::info!(
                "rent {count} of {} in {} spot={} order={name}",
                offer.machine_type,
                offer.zone,
                offer.spot
            );
            cloud.rent(name, offer, count.min(RENT_MAX));
        }
        self.return_idle(now, cloud);
    }

    /// Room that is on its way: machines booting, ordered, or not heard yet.
    fn coming(&self, now: Now, cloud: &Cloud) -> Vec<Coming> {
        let mut coming: Vec<Coming> = Vec::new();
        let fresh_ms = self.report_ms() * FRESH_REPORTS;
        for machine in self.fleet.machines.values() {
            let boots = machine.phase == Phase::Booting
                && now.ms < machine.rented_ms + self.boot_ms(&machine.offer) * 2;
            // It will be back or be given up soon.
            let quiet = machine.phase == Phase::Up
                && !machine.takes_work(now.ms, fresh_ms)
                && machine.notice_until_ms.is_none()
                && machine.blamed_by.len() < 2
                && now.ms < machine.heard_ms + self.lease_ms() / 2;
            if boots || quiet {
                coming.push(Coming {
                    offer: machine.offer.clone(),
                    free: machine.free(),
                    new: false,
                });
            }
        }
        for (offer, count) in cloud.orders() {
            let whole = self
                .catalog
                .as_ref()
                .and_then(|c| c.find(&offer.machine_type))
                .map_or(Res::default(), Res::of_type);
            for _ in 0..count {
                coming.push(Coming {
                    offer: offer.clone(),
                    free: whole,
                    new: false,
                });
            }
        }
        coming
    }

    fn cover(
        &self,
        now: Now,
        rest: &Rest,
        catalog: &crate::wire::Catalog,
        coming: &mut Vec<Coming>,
    ) {
        let need = Res::of_task(&rest.spec);
        let mut zones = rest.zones.clone();
        let slack_ms = rest.deadline as i64 - now.wall as i64;
        let mut buckets: Option<Vec<Rung>> = None;
        for _ in 0..rest.count {
            let found = coming.iter_mut().find(|c| {
                c.free.holds(&need)
                    && allows_offer(&rest.spec, &c.offer)
                    && zones.allows(&rest.spec, &c.offer.zone)
            });
            if let Some(room) = found {
                room.free.take(&need);
                zones.add(&room.offer.zone);
                continue;
            }
            let rungs = buckets.get_or_insert_with(|| self.rungs(now, &rest.spec, catalog));
            let mut open: Vec<Rung> = rungs
                .iter()
                .filter(|r| zones.allows(&rest.spec, &r.offer.zone))
                .cloned()
                .collect();
            // Among equals, the zone with the fewest machines.
            for rung in &mut open {
                rung.crowd += coming
                    .iter()
                    .filter(|c| c.new && c.offer.zone == rung.offer.zone)
                    .count() as u32;
            }
            let chosen = if rest.spec.kind == Kind::Service {
                slackfit::cheapest(&open).cloned()
            } else {
                let buckets = slackfit::buckets(&open, self.options.buckets as usize);
                slackfit::choose(&buckets, slack_ms).cloned()
            };
            let Some(rung) = chosen else {
                return;
            };
            log::debug!(
                "rung for {} slack_ms={slack_ms} latency_ms={} cost={:.2} type={} zone={} spot={}",
                rest.spec.id,
                rung.latency_ms,
                rung.cost,
                rung.offer.machine_type,
                rung.offer.zone,
                rung.offer.spot
            );
            let mut free = catalog
                .find(&rung.offer.machine_type)
                .map_or(Res::default(), Res::of_type);
            free.take(&need);
            zones.add(&rung.offer.zone);
            coming.push(Coming {
                offer: rung.offer,
                free,
                new: true,
            });
        }
    }

    /// The rentals that could hold a task of the job and weren't refused
    /// lately.
    fn rungs(&self, now: Now, spec: &JobSpec, catalog: &crate::wire::Catalog) -> Vec<Rung> {
        let need = Res::of_task(spec);
        let run_s = spec.estimate_s * self.learning.bias(&spec.class);
        offers_for(spec, catalog)
            .into_iter()
            .filter(|(offer, ..)| {
                self.refused
                    .get(offer)
                    .is_none_or(|(until, _)| now.ms >= *until)
            })
            .map(|(offer, price, whole, boot_s)| {
                let boot_s = self.learning.boot_s(&offer.machine_type, boot_s);
                Rung {
                    latency_ms: ((boot_s + run_s) * 1000.0) as u64,
                    cost: price / f64::from(whole.times(&need).clamp(1, 10_000)),
                    crowd: self.fleet.crowd(&offer.zone),
                    offer,
                }
            })
            .collect()
    }

    /// Machines that have been empty for a while and that no expected work
    /// needs go back.
    fn return_idle(&mut self, now: Now, cloud: &mut Cloud) {
        let mut idle = Vec::new();
        for machine in self.fleet.machines.values() {
            let Some(since) = machine.idle_since_ms else {
                continue;
            };
            if !matches!(machine.phase, Phase::Up | Phase::Draining) || !machine.tasks.is_empty() {
                continue;
            }
            let patience = (self.boot_ms(&machine.offer) as f64 * self.options.idle_boots) as u64;
            let faulty = machine.blamed_by.len() >= 2;
            let emptied = machine.phase == Phase::Draining;
            let unneeded =
                emptied || (!self.reserved.contains(&machine.id) && now.ms > since + patience);
            // The first minute is paid for in any case.
            if faulty || (unneeded && now.ms > machine.rented_ms + 60_000) {
                idle.push(machine.id.clone());
            }
        }
        for id in idle {
            if let Some(machine) = self.fleet.get_mut(&id) {
                log::info!("machine {id} returned, idle");
                machine.phase = Phase::Releasing;
                cloud.release(id);
            }
        }
    }
}

/// Gives up room that was set aside, where that makes room for this task.
fn release_kept(spec: &JobSpec, need: &Res, zones: &ZoneUse, rooms: &mut [Room]) -> Option<usize> {
    let index = rooms.iter().position(|room| {
        let mut all = room.free;
        all.add(&room.kept);
        all.holds(need) && allows_offer(spec, &room.offer) && zones.allows(spec, &room.offer.zone)
    })?;
    let room = &mut rooms[index];
    room.free.add(&room.kept);
    room.kept = Res::default();
    Some(index)
}
