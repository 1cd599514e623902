//! A scheduling round: queued jobs and forecast demand take free capacity in queue
//! order; what finds none preempts other work or is provisioned for. A round is done in
//! slices, so that it never blocks the thread: heartbeats, lease renewals,
//! cancellations and submissions are handled between two slices, and each slice sees
//! what has changed meanwhile.

use crate::cloud::CloudClient;
use crate::ids::JobId;
use crate::messages::Now;
use crate::placement::{Resources, ZoneCounts};
use crate::scheduler::displacement::compaction::Compaction;
use crate::scheduler::provisioning::scale_out::ProvisionPlan;
use crate::scheduler::rounds::demand_forecast::ColdReservation;
use crate::scheduler::rounds::queue_order::{QueueKey, QueuedWork};
use crate::scheduler::{Scheduler, EXAMINED_ENTRY_MS};
use crate::wire::users::JobSpec;
use lilacfork_replica_groups::registry::GroupId;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

/// A worker that has been silent for this many heartbeat intervals gets no new tasks.
const FRESH_HEARTBEATS: u64 = 3;
/// A slice may take this share of the leader's lease.
const SLICE_LEASES: f64 = 1.0 / 300.0;

/// Tasks for which a round has found no capacity.
#[derive(Debug)]
pub(in crate::scheduler) struct Unplaced {
    pub(in crate::scheduler) spec: Rc<JobSpec>,
    pub(in crate::scheduler) count: u32,
    pub(in crate::scheduler) deadline: u64,
    pub(in crate::scheduler) zones: ZoneCounts,
    pub(in crate::scheduler) forecast: bool,
    /// Set for the parts of one replica that spans machines: they need `count`
    /// machines, all or none.
    pub(in crate::scheduler) group: Option<GroupDemand>,
}

/// What a replica that spans machines asks for beside capacity.
#[derive(Clone, Debug, PartialEq)]
pub(in crate::scheduler) struct GroupDemand {
    /// The replica.
    pub(in crate::scheduler) id: GroupId,
    /// The zone in which its other parts have their machines.
    pub(in crate::scheduler) zone: Option<Rc<str>>,
}

/// How far a round has got.
#[derive(Debug)]
enum RoundStage {
    /// Queued work is placed.
    Placing,
    /// The unplaced work at this position preempts less important tasks.
    Preempting(usize),
    /// Replicas are compacted, so that machines become empty.
    Compacting(Compaction),
    /// The remaining unplaced work is provisioned for; `None`: not begun yet.
    Provisioning(Option<ProvisionPlan>),
}

/// Whether a round, or one of its stages, goes on after a step.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(in crate::scheduler) enum Progress {
    Unfinished,
    Finished,
}

/// The round under way.
#[derive(Debug)]
pub(in crate::scheduler) struct Round {
    /// It also compacts and scales in, and doesn't only place queued work.
    full: bool,
    queue: BTreeMap<QueueKey, QueuedWork>,
    /// How many entries have been queued, those served included.
    queued_total: u64,
    /// Jobs whose tasks were migrating when the round began.
    migrating: BTreeSet<JobId>,
    pub(in crate::scheduler) unplaced: Vec<Unplaced>,
    pub(super) cold_reservations: Vec<ColdReservation>,
    /// Capacity held for tasks of a team that can't be assigned yet.
    pub(super) held_by_team: HashMap<Rc<str>, Resources>,
    stage: RoundStage,
    /// Entries that had been examined before it began.
    examined_before: u64,
}

impl Round {
    fn new(full: bool, migrating: BTreeSet<JobId>, examined_before: u64) -> Round {
        Round {
            full,
            queue: BTreeMap::new(),
            queued_total: 0,
            migrating,
            unplaced: Vec::new(),
            cold_reservations: Vec::new(),
            held_by_team: HashMap::new(),
            stage: RoundStage::Placing,
            examined_before,
        }
    }

    /// The number of queue entries that haven't been served yet.
    pub(in crate::scheduler) fn queued(&self) -> usize {
        self.queue.len()
    }

    fn enqueue(&mut self, key: QueueKey, work: QueuedWork) {
        self.queued_total += 1;
        self.queue.insert(key, work);
    }
}

impl Scheduler {
    /// A machine that has been silent for this long gets no new tasks.
    pub(in crate::scheduler) fn fresh_ms(&self) -> u64 {
        self.heartbeat_interval_ms() * FRESH_HEARTBEATS
    }

    /// Brings the job table and the capacity index up to date.
    pub(in crate::scheduler) fn refresh(&mut self, now: Now) {
        self.capacity.set_time(now.ms, self.fresh_ms());
        self.pacing.examined += self.jobs.refresh();
        self.refresh_capacity();
    }

    /// Begins a round, with no reservations but those of replica groups.
    pub(in crate::scheduler) fn begin_round(&mut self, now: Now, full: bool) {
        let examined_before = self.examined();
        self.refresh(now);
        self.capacity.begin_round();
        self.reserve_for_groups(now);
        self.forget_ended_migrations();
        if full {
            self.demand_forecast = self.forecast_demand(now);
        }
        let mut round = Round::new(full, self.migrating_jobs(), examined_before);
        self.jobs.take_newly_waiting();
        let waiting: Vec<JobId> = self.jobs.waiting().iter().cloned().collect();
        self.enqueue_jobs(now, waiting, &mut round);
        self.enqueue_forecast(now, &mut round);
        self.round = Some(round);
    }

    /// Keeps the migration targets of tasks that are pending or being stopped only.
    fn forget_ended_migrations(&mut self) {
        let jobs = &self.jobs;
        self.migrations.targets.retain(|task, _| {
            jobs.get(&task.job).is_some_and(|job| {
                let assignment = job.assignments.get(&task.index);
                let stopping = assignment.is_some_and(|assignment| assignment.stop.is_some());
                job.pending.contains(&task.index) || stopping
            })
        });
    }

    /// Queues those of these jobs that have something to place now.
    fn enqueue_jobs(&mut self, now: Now, jobs: Vec<JobId>, round: &mut Round) {
        for id in jobs {
            if let Some(key) = self.queue_key(now, &id, &round.migrating, round.queued_total) {
                round.enqueue(key, QueuedWork::Job(id));
            }
        }
    }

    /// Queues the forecast demand, due once a machine ordered now would have booted.
    fn enqueue_forecast(&mut self, now: Now, round: &mut Round) {
        let deadline = now.wall + (self.slowest_boot_s() * 1000.0) as u64;
        for demand in &self.demand_forecast {
            let key = QueueKey {
                priority: demand.spec.priority,
                over_guarantee: true,
                deadline,
                sequence: round.queued_total,
            };
            round.enqueue(key, QueuedWork::Forecast(demand.clone()));
        }
    }

    /// The number of entries that one slice may examine.
    fn entries_per_slice(&self) -> u64 {
        let lease_ms = self.lease_ms() as f64 * self.tuning.lease_share;
        let entries_per_ms = self.settings.site.limits.cores / EXAMINED_ENTRY_MS;
        (lease_ms * SLICE_LEASES * entries_per_ms) as u64
    }

    /// Does one slice of the round under way, if any.
    pub(in crate::scheduler) fn continue_round(&mut self, now: Now, cloud: &mut CloudClient) {
        let Some(mut round) = self.round.take() else {
            return;
        };
        let examined_before = self.examined();
        let slice_end = examined_before + self.entries_per_slice();
        self.refresh(now);
        // Jobs that have arrived since the last slice are served in their turn.
        let arrived = self.jobs.take_newly_waiting();
        if matches!(round.stage, RoundStage::Placing) {
            self.enqueue_jobs(now, arrived, &mut round);
        }
        let mut progress = Progress::Unfinished;
        while progress == Progress::Unfinished && self.examined() < slice_end {
            progress = self.step(now, &mut round, cloud);
        }
        let slice_examined = self.examined() - examined_before;
        self.pacing.longest_slice = self.pacing.longest_slice.max(slice_examined);
        self.commits.has_changes = true;
        match progress {
            Progress::Unfinished => self.round = Some(round),
            Progress::Finished => {
                self.pacing.gap_ms = self.round_gap_ms(self.examined() - round.examined_before);
            }
        }
    }

    /// Does the next step of a round.
    fn step(&mut self, now: Now, round: &mut Round, cloud: &mut CloudClient) -> Progress {
        match &mut round.stage {
            RoundStage::Placing => match round.queue.pop_first() {
                Some((key, work)) => self.serve(now, &key, work, round),
                None => round.stage = RoundStage::Preempting(0),
            },
            RoundStage::Preempting(next) => match round.unplaced.get_mut(*next) {
                Some(unplaced) => {
                    *next += 1;
                    self.preempt(now, unplaced);
                }
                None => self.finish_preempting(round),
            },
            RoundStage::Compacting(compaction) => {
                if self.compact_next(now, compaction) == Progress::Finished {
                    let cold_reservations = std::mem::take(&mut round.cold_reservations);
                    self.preplace_images(now, cold_reservations);
                    round.stage = RoundStage::Provisioning(None);
                }
            }
            RoundStage::Provisioning(_) => return self.step_provisioning(now, round, cloud),
        }
        Progress::Unfinished
    }

    /// Serves one entry of the queue.
    fn serve(&mut self, now: Now, key: &QueueKey, work: QueuedWork, round: &mut Round) {
        match work {
            QueuedWork::Job(id) => {
                if self.groups.get(&id).is_some() {
                    self.place_groups(now, &id, key.deadline, round);
                } else {
                    let unplaced = self.place_job(now, &id, key.deadline, round);
                    round.unplaced.extend(unplaced);
                }
                self.refresh(now);
            }
            QueuedWork::Forecast(demand) => {
                let count = self.reserve_for_demand(&demand, round);
                if count > 0 {
                    round.unplaced.push(Unplaced {
                        spec: demand.spec,
                        count,
                        deadline: key.deadline,
                        zones: ZoneCounts::default(),
                        forecast: true,
                        group: None,
                    });
                }
            }
        }
    }

    /// Machines are only compacted if no work is left without capacity.
    fn finish_preempting(&mut self, round: &mut Round) {
        round.unplaced.retain(|unplaced| unplaced.count > 0);
        round.stage = if round.unplaced.is_empty() && round.full {
            RoundStage::Compacting(self.begin_compaction())
        } else {
            RoundStage::Provisioning(None)
        };
    }

    /// Begins provisioning, or covers the next unplaced work, or orders machines.
    fn step_provisioning(
        &mut self,
        now: Now,
        round: &mut Round,
        cloud: &mut CloudClient,
    ) -> Progress {
        let RoundStage::Provisioning(Some(plan)) = &mut round.stage else {
            self.refresh(now);
            let plan = self.begin_scale_out(now, cloud);
            let progress = match plan {
                Some(_) => Progress::Unfinished,
                None => Progress::Finished,
            };
            round.stage = RoundStage::Provisioning(plan);
            return progress;
        };
        if let Some(unplaced) = round.unplaced.get(plan.next_unplaced) {
            plan.next_unplaced += 1;
            self.cover_unplaced(now, unplaced, plan);
            return Progress::Unfinished;
        }
        self.place_orders(plan, cloud);
        if round.full {
            self.scale_in(now, cloud);
        }
        Progress::Finished
    }
}
