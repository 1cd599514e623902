//! A round: waiting and expected work in deadline order takes free room.

use super::learn::Flow;
use super::{Assign, Job, Scheduler};
use crate::cloud::Offer;
use crate::ids::{Attempt, JobId, MachineId, TaskRef};
use crate::msg::Now;
use crate::placement::{allows_offer, may_stand, Fit, Resources, ZoneUse};
use crate::wire::{JobSpec, Kind, Priority};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

/// A worker that has been silent for so many report intervals gets nothing new.
pub(super) const FRESH_REPORTS: u64 = 3;
/// A job that is late by every aim is due at so many times its deadline, so
/// that its turn comes all the same.
const LAST_DEADLINE: f64 = 3.0;

/// So many tasks of one job are examined in one round.
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

/// So many tasks like this may come within one boot.
#[derive(Clone, Debug)]
pub(super) struct Expected {
    spec: Rc<JobSpec>,
    count: u32,
}

/// Free room of a machine during one round.
#[derive(Debug)]
pub(super) struct Room {
    pub(super) id: MachineId,
    pub(super) offer: Offer,
    pub(super) free: Resources,
    /// What tasks that are being stopped will give back.
    pub(super) freeing: Resources,
    pub(super) whole: Resources,
    pub(super) fetches: u32,
    pub(super) reserved: bool,
    /// Room set aside for expected work.
    pub(super) kept: Resources,
}

impl Room {
    pub(super) fn soon_free(&self) -> Resources {
        let mut free = self.free;
        free.add(&self.freeing);
        free
    }
}

/// Room kept for expected work whose image isn't there.
#[derive(Debug)]
pub(super) struct Cold {
    pub(super) spec: Rc<JobSpec>,
    pub(super) machine: MachineId,
}

/// What a room is worth to a job, as long as nothing changes there.
struct Ranked {
    index: usize,
    free: Resources,
    fetches: u32,
    rank: f64,
}

/// What one task of a job asks of a room.
struct Wanted<'a> {
    spec: &'a JobSpec,
    need: &'a Resources,
    /// Where the job's tasks are, those of this round included.
    zones: &'a ZoneUse,
    deadline: u64,
    /// The job's breaker is open.
    probing: bool,
}

/// Where a task goes.
enum Choice {
    /// Into this room, at once.
    Free(usize),
    /// Into this room, once it is made.
    Promised(usize),
    Nothing,
}

/// Tasks that found no room.
#[derive(Debug)]
pub(super) struct Unplaced {
    pub(super) spec: Rc<JobSpec>,
    pub(super) count: u32,
    pub(super) deadline: u64,
    pub(super) zones: ZoneUse,
    pub(super) forecast: bool,
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
        let class = &spec.class;
        let mut dates: Vec<u64> = self
            .settings
            .deadline_times(class)
            .into_iter()
            .map(at)
            .collect();
        let finish = self.settings.finish_objectives_ms(class);
        dates.extend(finish.map(|ms| submitted + ms));
        // Tasks that should begin by some time should end a run later.
        let begin_ms = self.settings.wait_objective_ms(class);
        dates.extend(begin_ms.map(|ms| submitted + ms + run_ms));
        dates.sort_unstable();
        let in_time = dates.into_iter().find(|date| now.wall + run_ms <= *date);
        in_time.unwrap_or_else(|| at(LAST_DEADLINE))
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
    fn team_use(&self) -> HashMap<Rc<str>, Resources> {
        let mut used: HashMap<Rc<str>, Resources> = HashMap::new();
        for job in self.jobs.values() {
            let total = used.entry(job.spec.team.clone()).or_default();
            total.add(&job.need.scaled(job.assigns.len() as f64));
        }
        used
    }

    /// Whether the team may take one more such task.
    fn quota_allows(&self, team: &str, used: &Resources, need: &Resources) -> bool {
        let Some(team) = self.settings.team(team) else {
            return false;
        };
        let ok = |used: f64, need: f64, max: f64| max <= 0.0 || used + need <= max + 1e-6;
        ok(used.cpus, need.cpus, team.cpus_max) && ok(used.gpus, need.gpus, team.gpus_max)
    }

    /// Room for arrivals: as many standard deviations of what comes and goes
    /// during one boot as the operator wants, pooled over the classes.
    fn forecasts(&mut self, now: Now) -> Vec<Expected> {
        let slowest = self.slowest_boot_s();
        let flows: Vec<Flow> = self
            .learning
            .flows(now.wall)
            .into_iter()
            .filter(|f| self.settings.start_aim_ms(&f.spec).is_some())
            .collect();
        // In the scarcest amount's terms one class can stand in for another.
        let weigh = |f: &Flow| {
            let need = Resources::of_task(&f.spec);
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
                    all.push(Expected { spec, count: part });
                }
            }
        }
        all
    }

    fn slowest_boot_s(&self) -> f64 {
        let types = self.catalog.iter().flat_map(|c| &c.types);
        types
            .map(|t| self.learning.boot_s(&t.name, t.boot_s))
            .fold(0.0, f64::max)
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
        let moving: BTreeSet<&JobId> = self.migration_targets.keys().map(|t| &t.job).collect();
        let mut queue: Vec<Waiting> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.cancelled.is_none() && !j.pending.is_empty() && !j.stale)
            .filter(|(_, j)| j.failures.may_retry(now.ms))
            .map(|(id, job)| Waiting {
                priority: if moving.contains(id) {
                    Priority::Critical
                } else if job.failures.is_open() {
                    // A probe goes after all that can succeed.
                    Priority::Idle
                } else {
                    job.spec.priority
                },
                beyond: !moving.contains(id) && !within.get(id).copied().unwrap_or(false),
                deadline: self.deadline_of(now, &job.spec, job.submitted),
                what: Work::Job(id.clone()),
            })
            .collect();
        let deadline = now.wall + (self.slowest_boot_s() * 1000.0) as u64;
        queue.extend(self.expected.iter().map(|e| Waiting {
            priority: e.spec.priority,
            beyond: true,
            deadline,
            what: Work::Forecast(e.spec.clone(), e.count),
        }));
        queue.sort_by_key(|w| (w.priority, w.beyond, w.deadline));
        queue
    }

    /// Hands out free room in deadline order; what finds none is kept for
    /// `rent`.
    pub(super) fn place(&mut self, now: Now, full: bool) {
        if full {
            self.expected = self.forecasts(now);
        }
        let freeing = self.freeing();
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
                freeing: freeing.get(&m.id).copied().unwrap_or_default(),
                whole: m.room,
                fetches: m.fetching.len() as u32,
                reserved: false,
                kept: Resources::default(),
            })
            .collect();
        let jobs = &self.jobs;
        self.migration_targets.retain(|task, _| {
            jobs.get(&task.job).is_some_and(|j| {
                let leaving = j.assigns.get(&task.index).is_some_and(|a| a.stop.is_some());
                j.pending.contains(&task.index) || leaving
            })
        });
        let mut used = self.team_use();
        self.examined += (self.jobs.len() + rooms.len()) as u64;
        let mut unplaced = Vec::new();
        let mut cold = Vec::new();
        for waiting in self.queue(now) {
            match waiting.what {
                Work::Job(id) => {
                    let left = self.place_job(now, &id, waiting.deadline, &mut rooms, &mut used);
                    unplaced.extend(left);
                }
                Work::Forecast(spec, count) => {
                    let left = self.reserve(&spec, count, &mut rooms, &mut cold);
                    if left > 0 {
                        unplaced.push(Unplaced {
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
        self.preempt(now, &mut unplaced, &rooms);
        if unplaced.is_empty() && full {
            self.consolidate(now, &mut rooms);
            self.preplace_images(now, cold);
        }
        self.unplaced = unplaced;
        self.reserved = rooms
            .into_iter()
            .filter(|r| r.reserved)
            .map(|r| r.id)
            .collect();
    }

    /// Sets room aside for expected work: where its image is, and then on the
    /// fullest machines, so that empty ones can be returned. Says how much
    /// found none.
    fn reserve(
        &mut self,
        spec: &Rc<JobSpec>,
        count: u32,
        rooms: &mut [Room],
        cold: &mut Vec<Cold>,
    ) -> u32 {
        let need = Resources::of_task(spec);
        self.examined += rooms.len() as u64;
        let mut open: Vec<(usize, bool)> = (0..rooms.len())
            .filter(|i| {
                let r = &rooms[*i];
                r.free.holds(&need) && allows_offer(spec, &r.offer) && !r.offer.spot
            })
            .map(|i| (i, self.has_image(&rooms[i].id, &spec.image)))
            .collect();
        for n in 0..count {
            self.examined += open.len() as u64;
            let rank = |(i, has): &(usize, bool)| {
                let room = &rooms[*i];
                room.free.share_of(&room.whole) + if *has { 0.0 } else { 1.0 }
            };
            let best = (0..open.len()).min_by(|a, b| rank(&open[*a]).total_cmp(&rank(&open[*b])));
            let Some(best) = best else {
                return count - n;
            };
            let (index, has) = open[best];
            let room = &mut rooms[index];
            room.free.take(&need);
            room.kept.add(&need);
            room.reserved = true;
            if !has {
                cold.push(Cold {
                    spec: spec.clone(),
                    machine: room.id.clone(),
                });
            }
            if !room.free.holds(&need) {
                open.remove(best);
            }
        }
        0
    }

    pub(super) fn has_image(&self, id: &MachineId, image: &str) -> bool {
        self.fleet.get(id).is_some_and(|m| m.has_image(image))
    }

    fn place_job(
        &mut self,
        now: Now,
        id: &JobId,
        deadline: u64,
        rooms: &mut [Room],
        used: &mut HashMap<Rc<str>, Resources>,
    ) -> Option<Unplaced> {
        let job = self.jobs.get(id)?;
        let (spec, need) = (job.spec.clone(), job.need);
        let mut zones = job.zone_use();
        let probing = job.failures.is_open();
        if probing && !job.assigns.is_empty() {
            return None;
        }
        // A gang is seen whole; of a huge array a round's worth will do.
        let most = match spec.kind {
            Kind::Group => usize::MAX,
            _ if probing => 1,
            _ => ROUND_TASKS,
        };
        let tasks: Vec<u32> = job.pending.iter().copied().take(most).collect();
        if spec.kind == Kind::Group && !self.whole_fits(&spec, &need, &zones, rooms, &tasks, used) {
            // A gang starts whole, as one round, or waits.
            return (!probing).then_some(Unplaced {
                spec,
                count: tasks.len() as u32,
                deadline,
                zones,
                forecast: false,
            });
        }
        let mut ranked = None;
        let mut placed = 0;
        let mut promised = 0;
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
                blocked = (tasks.len() - placed - promised) as u32;
                log::debug!("job {id} waits for quota of {} tasks={blocked}", spec.team);
                break;
            }
            let task_ref = TaskRef {
                job: id.clone(),
                index: *task,
            };
            let wanted = Wanted {
                spec: &spec,
                need: &need,
                zones: &zones,
                deadline,
                probing,
            };
            match self.choose_room(now, &wanted, &task_ref, rooms, &mut ranked) {
                Choice::Promised(index) => {
                    let room = &rooms[index];
                    self.migration_targets.insert(task_ref, room.id.clone());
                    zones.add(&room.offer.zone);
                    promised += 1;
                }
                Choice::Free(index) => {
                    let room = &mut rooms[index];
                    if self.bind(now, &task_ref, shared, room).is_none() {
                        break;
                    }
                    zones.add(&room.offer.zone);
                    placed += 1;
                }
                Choice::Nothing => break,
            }
            team.add(&need);
        }
        if probing {
            // Nothing is kept, rented or stopped for it.
            return None;
        }
        let count = (tasks.len() - placed - promised) as u32 - blocked;
        let count = self.hold_room(&spec, count, &mut zones, rooms);
        (count > 0).then_some(Unplaced {
            spec,
            count,
            deadline,
            zones,
            forecast: false,
        })
    }

    /// Where one more task of a job goes. Promised room is taken already.
    fn choose_room(
        &mut self,
        now: Now,
        wanted: &Wanted,
        task: &TaskRef,
        rooms: &mut [Room],
        ranked: &mut Option<Vec<Ranked>>,
    ) -> Choice {
        let &Wanted {
            spec,
            need,
            zones,
            deadline,
            probing,
        } = wanted;
        let target = self.migration_targets.remove(task).and_then(|to| {
            rooms
                .iter()
                .position(|r| r.id == to && may_stand(spec, zones, &r.offer))
        });
        if let Some(index) = target {
            if rooms[index].free.holds(need) {
                return Choice::Free(index);
            }
            // Room that is being made for it is worth waiting for while its
            // aim can still be met.
            if now.wall < deadline && rooms[index].soon_free().holds(need) {
                rooms[index].free.take(need);
                return Choice::Promised(index);
            }
        }
        let best = self.best_room(need, zones, rooms, &task.job, ranked);
        let cold = best.filter(|i| !probing && !self.has_image(&rooms[*i].id, &spec.image));
        let warm = cold.and_then(|cold| self.exchange(now, spec, deadline, zones, cold, rooms));
        if let Some(index) = warm {
            return Choice::Promised(index);
        }
        if let Some(index) = best {
            return Choice::Free(index);
        }
        if probing || self.settings.start_aim_ms(spec).is_none() {
            return Choice::Nothing;
        }
        // What waits now goes before what is only expected.
        match release_kept(spec, need, zones, rooms) {
            Some(index) => Choice::Free(index),
            None => Choice::Nothing,
        }
    }

    /// Binds a waiting task to a room; `None`: that can't be done. It starts
    /// once that is stored.
    fn bind(
        &mut self,
        now: Now,
        task: &TaskRef,
        shared: Option<Attempt>,
        room: &mut Room,
    ) -> Option<()> {
        let job = self.jobs.get_mut(&task.job)?;
        let machine = self.fleet.get_mut(&room.id)?;
        let attempt = shared.or_else(|| job.next_attempt(task.index))?;
        let image = &job.spec.image;
        log::debug!(
            "place {task} attempt={attempt} on {} zone={} free_gpus={} cached={}",
            room.id,
            room.offer.zone,
            room.free.gpus,
            machine.has_image(image)
        );
        if !machine.has_image(image) && !machine.fetching.contains_key(image) {
            machine.fetching.insert(image.clone(), 1);
            room.fetches += 1;
        }
        let zone = room.offer.zone.clone();
        let assign = Assign::new(attempt, room.id.clone(), machine.session, zone);
        job.pending.remove(&task.index);
        job.assigns.insert(task.index, assign);
        job.touch(task.index, now.ms, true);
        machine.assign(task.clone(), &job.need);
        room.free.take(&job.need);
        Some(())
    }

    /// Whether all these tasks find room at once.
    fn whole_fits(
        &self,
        spec: &JobSpec,
        need: &Resources,
        zones: &ZoneUse,
        rooms: &[Room],
        tasks: &[u32],
        used: &HashMap<Rc<str>, Resources>,
    ) -> bool {
        let mut used = used.get(&spec.team).copied().unwrap_or_default();
        let mut zones = zones.clone();
        let mut free: Vec<(&Room, Resources)> = rooms
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

    /// The best room for one more task of a job. What rooms are worth to it is
    /// kept in `ranked` from task to task, and found anew where one changed.
    fn best_room(
        &mut self,
        need: &Resources,
        zones: &ZoneUse,
        rooms: &[Room],
        id: &JobId,
        ranked: &mut Option<Vec<Ranked>>,
    ) -> Option<usize> {
        let job = self.jobs.get(id)?;
        let spec = &job.spec;
        let first = ranked.is_none();
        let ranked = ranked.get_or_insert_with(|| {
            let open = |(_, r): &(usize, &Room)| allows_offer(spec, &r.offer);
            let all = rooms.iter().enumerate().filter(open);
            all.filter_map(|(i, r)| self.rank(job, need, i, r))
                .collect()
        });
        // Replicas are kept apart; tasks that end soon fill machines up.
        let apart = f64::from(u32::from(spec.kind == Kind::Service));
        let mut best: Option<(f64, usize)> = None;
        for entry in ranked.iter_mut() {
            let room = &rooms[entry.index];
            if entry.free != room.free || entry.fetches != room.fetches {
                match self.rank(job, need, entry.index, room) {
                    Some(anew) => *entry = anew,
                    None => continue,
                }
            }
            if !zones.allows(spec, &room.offer.zone) {
                continue;
            }
            let rank = entry.rank + apart * Fit::crowded(zones.count(&room.offer.zone));
            if best.is_none_or(|(r, _)| rank < r) {
                best = Some((rank, entry.index));
            }
        }
        let examined = if first { rooms.len() } else { ranked.len() };
        self.examined += examined as u64;
        best.map(|(_, index)| index)
    }

    /// What a room is worth to a task of the job, its zone aside; `None`: it
    /// doesn't hold one.
    fn rank(&self, job: &Job, need: &Resources, index: usize, room: &Room) -> Option<Ranked> {
        if !room.free.holds(need) {
            return None;
        }
        let spec = &job.spec;
        let machine = self.fleet.get(&room.id)?;
        let mut left = room.free;
        left.take(need);
        let siblings = match spec.kind {
            Kind::Service => machine.tasks.iter().filter(|t| t.job == spec.id).count() as u32,
            _ => 0,
        };
        let fit = Fit {
            cached: machine.has_image(&spec.image),
            coming: machine.fetching.contains_key(&spec.image),
            fetches: room.fetches,
            spot: room.offer.spot,
            left: left.share_of(&room.whole),
            siblings,
        };
        let avoided = if job.failures.failed_on(&room.id) {
            10.0
        } else {
            0.0
        };
        Some(Ranked {
            index,
            free: room.free,
            fetches: room.fetches,
            rank: fit.rank() + avoided,
        })
    }
}

/// Gives up room that was set aside, where that makes room for this task.
fn release_kept(
    spec: &JobSpec,
    need: &Resources,
    zones: &ZoneUse,
    rooms: &mut [Room],
) -> Option<usize> {
    let index = rooms.iter().position(|room| {
        let mut all = room.free;
        all.add(&room.kept);
        all.holds(need) && may_stand(spec, zones, &room.offer)
    })?;
    let room = &mut rooms[index];
    room.free.add(&room.kept);
    room.kept = Resources::default();
    Some(index)
}
