//! A scheduling round. The round assigns free capacity to queued jobs and forecast
//! demand in queue order. For work that finds no free capacity, the round preempts other
//! work or provisions machines. A round runs in slices so that it doesn't block the
//! thread: heartbeats, lease renewals, cancellations and submissions are handled between
//! slices, and each slice starts from the updated state.

use crate::cloud::CloudClient;
use crate::ids::{JobId, MachineId};
use crate::messages::Now;
use crate::placement::{Resources, ZoneCounts};
use crate::scheduler::displacement::compaction::Compaction;
use crate::scheduler::provisioning::scale_out::ProvisionPlan;
use crate::scheduler::rounds::demand_forecast::ColdReservation;
use crate::scheduler::rounds::queue_order::{QueueKey, QueuedWork};
use crate::scheduler::{Scheduler, EXAMINED_ENTRY_CPU_MS};
use crate::wire::users::JobSpec;
use lilacfork_replica_groups::registry::GroupId;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

/// A machine whose last heartbeat is this many heartbeat intervals old gets no new tasks.
const MAX_HEARTBEAT_AGE_INTERVALS: u64 = 3;
/// The share of the leader's lease that one slice may take.
const SLICE_LEASE_SHARE: f64 = 1.0 / 300.0;

/// Tasks of a job, or of forecast demand, for which a round has found no capacity.
#[derive(Debug)]
pub(in crate::scheduler) struct Unplaced {
    pub(in crate::scheduler) spec: Rc<JobSpec>,
    pub(in crate::scheduler) count: u32,
    pub(in crate::scheduler) deadline_wall_ms: u64,
    pub(in crate::scheduler) zones: ZoneCounts,
    pub(in crate::scheduler) is_forecast: bool,
    /// Set for the parts of one replica that spans machines. The parts need `count`
    /// different machines and can't be placed on fewer.
    pub(in crate::scheduler) group: Option<GroupDemand>,
}

/// The requirements of a replica that spans machines, in addition to capacity.
#[derive(Clone, Debug, PartialEq)]
pub(in crate::scheduler) struct GroupDemand {
    /// The replica group whose parts are unplaced.
    pub(in crate::scheduler) id: GroupId,
    /// The zone of the machines that the replica's other parts already have; `None` if
    /// there are none.
    pub(in crate::scheduler) zone: Option<Rc<str>>,
}

/// The stage of a round.
#[derive(Debug)]
enum RoundStage {
    /// Places queued work.
    Placing,
    /// Preempts tasks of lower priority for the unplaced work with this index.
    Preempting(usize),
    /// Places single tasks of unplaced work on these cordoned machines.
    Probing(Vec<MachineId>),
    /// Compacts replicas so that machines become empty.
    Compacting(Compaction),
    /// Provisions machines for the remaining unplaced work; `None` until the plan is
    /// begun.
    Provisioning(Option<ProvisionPlan>),
}

/// Whether a round, or one of its stages, continues after a step.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(in crate::scheduler) enum Progress {
    Unfinished,
    Finished,
}

/// A round in progress.
#[derive(Debug)]
pub(in crate::scheduler) struct Round {
    /// Whether the round also compacts and scales in.
    full: bool,
    queue: BTreeMap<QueueKey, QueuedWork>,
    /// The number of entries queued so far, including those already served.
    queued_total: u64,
    /// The jobs whose tasks were migrating when the round began.
    migrating: BTreeSet<JobId>,
    pub(in crate::scheduler) unplaced: Vec<Unplaced>,
    pub(super) cold_reservations: Vec<ColdReservation>,
    /// The capacity reserved for each team's tasks that can't be assigned yet.
    pub(super) reserved_by_team: HashMap<Rc<str>, Resources>,
    stage: RoundStage,
    /// The scheduler's count of examined entries when the round began.
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
            reserved_by_team: HashMap::new(),
            stage: RoundStage::Placing,
            examined_before,
        }
    }

    /// Returns the number of queue entries that have not been served yet.
    pub(in crate::scheduler) fn queued(&self) -> usize {
        self.queue.len()
    }

    fn enqueue(&mut self, key: QueueKey, work: QueuedWork) {
        self.queued_total += 1;
        self.queue.insert(key, work);
    }
}

impl Scheduler {
    /// Returns the age that the last heartbeat of a machine must not reach for the machine to
    /// get new tasks.
    pub(in crate::scheduler) fn max_heartbeat_age_ms(&self) -> u64 {
        self.heartbeat_interval_ms() * MAX_HEARTBEAT_AGE_INTERVALS
    }

    /// Brings the job table and the capacity index up to date.
    pub(in crate::scheduler) fn refresh(&mut self, now: Now) {
        self.capacity.set_time(now.ms, self.max_heartbeat_age_ms());
        self.pacing.examined += self.jobs.refresh();
        self.refresh_capacity();
    }

    /// Begins a round: clears the reservations of the previous round, reserves capacity
    /// for replica groups, and queues the jobs and the forecast demand.
    pub(in crate::scheduler) fn begin_round(&mut self, now: Now, full: bool) {
        let examined_before = self.examined_entries();
        self.refresh(now);
        self.capacity.begin_round();
        self.reserve_for_groups(now);
        self.remove_ended_migrations();
        self.cordoned_machines = self.find_cordoned_machines(now);
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

    /// Removes the migration targets of tasks that are neither pending nor stopping.
    fn remove_ended_migrations(&mut self) {
        let jobs = &self.jobs;
        self.migrations.targets.retain(|task, _| {
            jobs.get(&task.job).is_some_and(|job| {
                let assignment = job.assignments.get(&task.index);
                let stopping = assignment.is_some_and(|assignment| assignment.stop.is_some());
                job.pending.contains(&task.index) || stopping
            })
        });
    }

    /// Queues the given jobs, except those that have nothing to place now.
    fn enqueue_jobs(&mut self, now: Now, jobs: Vec<JobId>, round: &mut Round) {
        for id in jobs {
            if let Some(key) = self.queue_key(now, &id, &round.migrating, round.queued_total) {
                round.enqueue(key, QueuedWork::Job(id));
            }
        }
    }

    /// Queues the forecast demand. Its deadline is the time at which a machine ordered now
    /// would have booted.
    fn enqueue_forecast(&mut self, now: Now, round: &mut Round) {
        let deadline_wall_ms = now.wall_ms + (self.slowest_boot_s() * 1000.0) as u64;
        for demand in &self.demand_forecast {
            let key = QueueKey {
                priority: demand.spec.priority,
                over_guarantee: true,
                deadline_wall_ms,
                sequence: round.queued_total,
            };
            round.enqueue(key, QueuedWork::Forecast(demand.clone()));
        }
    }

    /// Returns the number of entries that one slice may examine.
    pub(in crate::scheduler) fn entries_per_slice(&self) -> u64 {
        let lease_ms = self.lease_ms() as f64 * self.tuning.lease_share;
        let entries_per_ms = self.settings.site.limits.cores / EXAMINED_ENTRY_CPU_MS;
        (lease_ms * SLICE_LEASE_SHARE * entries_per_ms) as u64
    }

    /// Runs one slice of the round in progress, if there is one.
    pub(in crate::scheduler) fn continue_round(&mut self, now: Now, cloud: &mut CloudClient) {
        let Some(mut round) = self.round.take() else {
            return;
        };
        let examined_before = self.examined_entries();
        let slice_end = examined_before + self.entries_per_slice();
        self.refresh(now);
        // Jobs that have arrived since the last slice take their place in the queue order.
        let arrived = self.jobs.take_newly_waiting();
        if matches!(round.stage, RoundStage::Placing) {
            self.enqueue_jobs(now, arrived, &mut round);
        }
        let mut progress = Progress::Unfinished;
        while progress == Progress::Unfinished && self.examined_entries() < slice_end {
            progress = self.step(now, &mut round, cloud);
        }
        let slice_examined = self.examined_entries() - examined_before;
        self.pacing.longest_slice = self.pacing.longest_slice.max(slice_examined);
        self.commits.has_changes = true;
        match progress {
            Progress::Unfinished => self.round = Some(round),
            Progress::Finished => {
                self.pacing.gap_ms =
                    self.round_gap_ms(self.examined_entries() - round.examined_before);
            }
        }
    }

    /// Runs the next step of a round.
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
                None => self.finish_preempting(now, round),
            },
            RoundStage::Probing(machines) => match machines.pop() {
                Some(id) => self.probe_machine(now, &id, round),
                None => self.finish_probing(round),
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
                    self.place_groups(now, &id, key.deadline_wall_ms, round);
                } else {
                    let unplaced = self.place_job(now, &id, key.deadline_wall_ms, round);
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
                        deadline_wall_ms: key.deadline_wall_ms,
                        zones: ZoneCounts::default(),
                        is_forecast: true,
                        group: None,
                    });
                }
            }
        }
    }

    /// Uses draining machines again for work without other capacity, and begins to probe cordoned
    /// ones if any is left.
    fn finish_preempting(&mut self, now: Now, round: &mut Round) {
        self.cancel_drains(now, round);
        round.unplaced.retain(|unplaced| unplaced.count > 0);
        let machines = if round.unplaced.is_empty() {
            Vec::new()
        } else {
            self.cordoned_machines.clone()
        };
        round.stage = RoundStage::Probing(machines);
    }

    /// Selects the stage after probing: compaction if the round is full and no work is left
    /// without capacity, otherwise provisioning.
    fn finish_probing(&mut self, round: &mut Round) {
        round.unplaced.retain(|unplaced| unplaced.count > 0);
        round.stage = if round.unplaced.is_empty() && round.full {
            RoundStage::Compacting(self.begin_compaction())
        } else {
            RoundStage::Provisioning(None)
        };
    }

    /// Runs one step of provisioning: begins the plan, covers the next unplaced work, or
    /// orders the machines.
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
