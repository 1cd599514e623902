//! A round: waiting and expected work in deadline order takes free room; what
//! finds none makes room or is rented for. A round is done in slices, so that it
//! never holds the thread: between two of them reports, renewals, cancellations
//! and new work come first, and what has changed meanwhile is known to the next.

use crate::cloud::CloudClient;
use crate::ids::JobId;
use crate::messages::Now;
use crate::placement::{Resources, ZoneCounts};
use crate::scheduler::displacement::compaction::Compaction;
use crate::scheduler::provisioning::scaling::ProvisionPlan;
use crate::scheduler::rounds::demand_forecast::ColdReservation;
use crate::scheduler::rounds::queue_order::{QueueKey, QueuedWork};
use crate::scheduler::Scheduler;
use crate::wire::users::JobSpec;
use lilacfork_replica_groups::registry::GroupId;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

/// A worker that has been silent for so many report intervals gets nothing new.
pub(in crate::scheduler) const FRESH_HEARTBEATS: u64 = 3;
/// A slice may take this share of the time that the leader's lease lasts.
const SLICE_LEASES: f64 = 1.0 / 300.0;

/// Tasks that found no room.
#[derive(Debug)]
pub(in crate::scheduler) struct Unplaced {
    pub(in crate::scheduler) spec: Rc<JobSpec>,
    pub(in crate::scheduler) count: u32,
    pub(in crate::scheduler) deadline: u64,
    pub(in crate::scheduler) zones: ZoneCounts,
    pub(in crate::scheduler) forecast: bool,
    /// They are parts of one replica that spans machines: so many machines, all of
    /// them or none.
    pub(in crate::scheduler) group: Option<GroupDemand>,
}

/// What a replica that spans machines asks of them beside room.
#[derive(Clone, Debug, PartialEq)]
pub(in crate::scheduler) struct GroupDemand {
    /// The replica.
    pub(in crate::scheduler) id: GroupId,
    /// The zone in which the rest of it has its room.
    pub(in crate::scheduler) zone: Option<Rc<str>>,
}

/// How far a round has got.
#[derive(Debug)]
enum RoundStage {
    /// The queue is served.
    Placing,
    /// Work of this place in the list of what found no room makes some.
    Preempting(usize),
    /// Replicas are gathered, so that machines become empty.
    Consolidating(Compaction),
    /// What is left is rented for; `None`: not begun yet.
    Renting(Option<ProvisionPlan>),
}

/// A round under way.
#[derive(Debug)]
pub(in crate::scheduler) struct Round {
    /// It does everything, and not only place what waits.
    full: bool,
    queue: BTreeMap<QueueKey, QueuedWork>,
    queued: u64,
    /// Jobs whose tasks are on the move, as of its beginning.
    moving: BTreeSet<JobId>,
    pub(in crate::scheduler) unplaced: Vec<Unplaced>,
    pub(in crate::scheduler) cold: Vec<ColdReservation>,
    /// What teams were promised that isn't assigned yet.
    pub(in crate::scheduler) promised: HashMap<Rc<str>, Resources>,
    stage: RoundStage,
    /// Entries that had been examined when it began.
    examined_before: u64,
}

impl Round {
    /// How much still waits for its turn.
    pub(in crate::scheduler) fn queued(&self) -> usize {
        self.queue.len()
    }

    fn add(&mut self, key: QueueKey, work: QueuedWork) {
        self.queued += 1;
        self.queue.insert(key, work);
    }
}

impl Scheduler {
    /// After so long without a report a machine gets nothing new.
    pub(in crate::scheduler) fn fresh_ms(&self) -> u64 {
        self.heartbeat_interval_ms() * FRESH_HEARTBEATS
    }

    /// Brings what is known of jobs and rooms up to date with what has changed.
    pub(in crate::scheduler) fn refresh(&mut self, now: Now) {
        self.capacity.set_time(now.ms, self.fresh_ms());
        self.pacing.examined += self.jobs.refresh();
        self.refresh_rooms();
    }

    /// Begins a round: nothing is promised yet.
    pub(in crate::scheduler) fn begin_round(&mut self, now: Now, full: bool) {
        let examined_before = self.examined();
        self.refresh(now);
        self.capacity.begin_round();
        self.hold_for_groups(now);
        let jobs = &self.jobs;
        self.migrations.targets.retain(|task, _| {
            jobs.get(&task.job).is_some_and(|j| {
                let leaving = j
                    .assignments
                    .get(&task.index)
                    .is_some_and(|a| a.stop.is_some());
                j.pending.contains(&task.index) || leaving
            })
        });
        if full {
            self.demand_forecast = self.forecast_demand(now);
        }
        let mut round = Round {
            full,
            queue: BTreeMap::new(),
            queued: 0,
            moving: self.moving_jobs(),
            unplaced: Vec::new(),
            cold: Vec::new(),
            promised: HashMap::new(),
            stage: RoundStage::Placing,
            examined_before,
        };
        self.jobs.take_newly_waiting();
        let waiting: Vec<JobId> = self.jobs.waiting().iter().cloned().collect();
        self.queue_jobs(now, waiting, &mut round);
        self.queue_forecasts(now, &mut round);
        self.round = Some(round);
    }

    fn queue_jobs(&mut self, now: Now, jobs: Vec<JobId>, round: &mut Round) {
        for id in jobs {
            if let Some(key) = self.queue_key_of(now, &id, &round.moving, round.queued) {
                round.add(key, QueuedWork::Job(id));
            }
        }
    }

    fn queue_forecasts(&mut self, now: Now, round: &mut Round) {
        let deadline = now.wall + (self.slowest_boot_s() * 1000.0) as u64;
        for expected in &self.demand_forecast {
            let key = QueueKey {
                priority: expected.spec.priority,
                beyond: true,
                deadline,
                number: round.queued,
            };
            round.add(
                key,
                QueuedWork::Forecast(expected.spec.clone(), expected.count),
            );
        }
    }

    /// So many entries may be examined in one slice.
    fn slice_entries(&self) -> u64 {
        let lease_ms = self.lease_ms() as f64 * self.tuning.lease_share;
        let entries_per_ms = self.settings.site.limits.cores / crate::scheduler::EXAMINE_MS;
        (lease_ms * SLICE_LEASES * entries_per_ms) as u64
    }

    /// Does one slice of the round under way.
    pub(in crate::scheduler) fn continue_round(&mut self, now: Now, cloud: &mut CloudClient) {
        let Some(mut round) = self.round.take() else {
            return;
        };
        let before = self.examined();
        let stop_at = before + self.slice_entries();
        self.refresh(now);
        // What has come since then is served in its turn.
        let arrived = self.jobs.take_newly_waiting();
        if matches!(round.stage, RoundStage::Placing) {
            self.queue_jobs(now, arrived, &mut round);
        }
        let mut goes_on = true;
        while goes_on && self.examined() < stop_at {
            goes_on = self.step(now, &mut round, cloud);
        }
        self.pacing.longest_slice = self.pacing.longest_slice.max(self.examined() - before);
        self.commits.has_changes = true;
        if goes_on {
            self.round = Some(round);
        } else {
            self.pacing.gap_ms = self.gap_ms(self.examined() - round.examined_before);
        }
    }

    /// Does the next piece of a round's work. `false`: it is over.
    fn step(&mut self, now: Now, round: &mut Round, cloud: &mut CloudClient) -> bool {
        match &mut round.stage {
            RoundStage::Placing => match round.queue.pop_first() {
                Some((key, work)) => self.serve(now, &key, work, round),
                None => round.stage = RoundStage::Preempting(0),
            },
            RoundStage::Preempting(next) => match round.unplaced.get_mut(*next) {
                Some(waiting) => {
                    *next += 1;
                    self.preempt(now, waiting);
                }
                None => self.after_preempting(round),
            },
            RoundStage::Consolidating(consolidation) => {
                if !self.compact_next(now, consolidation) {
                    let cold = std::mem::take(&mut round.cold);
                    self.preplace_images(now, cold);
                    round.stage = RoundStage::Renting(None);
                }
            }
            RoundStage::Renting(None) => {
                self.refresh(now);
                let rentals = self.begin_scale_out(now, cloud);
                let goes_on = rentals.is_some();
                round.stage = RoundStage::Renting(rentals);
                return goes_on;
            }
            RoundStage::Renting(Some(rentals)) => match round.unplaced.get(rentals.next) {
                Some(unplaced) => {
                    rentals.next += 1;
                    self.cover(now, unplaced, rentals);
                }
                None => {
                    self.order(rentals, cloud);
                    if round.full {
                        self.scale_in(now, cloud);
                    }
                    return false;
                }
            },
        }
        true
    }

    fn serve(&mut self, now: Now, key: &QueueKey, work: QueuedWork, round: &mut Round) {
        match work {
            QueuedWork::Job(id) => {
                if self.groups.get(&id).is_some() {
                    self.place_groups(now, &id, key.deadline, round);
                } else {
                    let left = self.place_job(now, &id, key.deadline, round);
                    round.unplaced.extend(left);
                }
                self.refresh(now);
            }
            QueuedWork::Forecast(spec, count) => {
                let left = self.reserve(&spec, count, round);
                if left > 0 {
                    round.unplaced.push(Unplaced {
                        spec,
                        count: left,
                        deadline: key.deadline,
                        zones: ZoneCounts::default(),
                        forecast: true,
                        group: None,
                    });
                }
            }
        }
    }

    fn after_preempting(&mut self, round: &mut Round) {
        round.unplaced.retain(|waiting| waiting.count > 0);
        round.stage = if round.unplaced.is_empty() && round.full {
            RoundStage::Consolidating(self.begin_compaction())
        } else {
            RoundStage::Renting(None)
        };
    }
}
