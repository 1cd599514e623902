//! An unfinished job as the leader holds it, and which of its state is stored.

use crate::faults::CircuitBreaker;
use crate::ids::{Attempt, TaskRef};
use crate::placement::{Resources, ZoneCounts};
use crate::records::jobs::{FinalState, JobRecord};
use crate::records::placements::{
    format_task_ranges, parse_task_ranges, AssignmentRow, PlacementRecord, RangeName,
};
use crate::scheduler::state::assignment::Assignment;
use crate::scheduler::state::job_table::JobListing;
use crate::scheduler::state::placement_ranges::PlacementRanges;
use crate::wire::users::{JobKind, JobSpec, Priority};
use crate::wire::workers::TaskPhase;
use lilacfork_dependencies::propagation::StageUrgency;
use lilacfork_replica_groups::shape::Shape;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::rc::Rc;

/// After this many finished tasks a job's usual run time is known.
const MIN_COMPLETED_RUNS: u32 = 3;
/// A run that took this many times as long as usual is the machine's fault: sound
/// machines of a type differ by a tenth.
const SLOW_RUN_FACTOR: u64 = 3;

/// An unfinished job, as the leader holds it.
#[derive(Debug)]
pub struct Job {
    /// The job as its user described it, but with the priority that it is served by.
    pub(in crate::scheduler) spec: Rc<JobSpec>,
    /// The resources of one task.
    pub(in crate::scheduler) task_request: Resources,
    /// When it was submitted, time of day.
    pub(in crate::scheduler) submitted: u64,
    /// When it was cancelled, time of day.
    pub(in crate::scheduler) cancelled: Option<u64>,
    /// The revision of its record.
    pub(in crate::scheduler) revision: u64,
    /// How its tasks form replicas that span machines; `None`: they don't.
    pub(in crate::scheduler) shape: Option<Shape>,
    /// Since when its objectives count, time of day: its submission, or the end of
    /// the last job that it depends on.
    pub(in crate::scheduler) ready_at: u64,
    /// A job that it depends on isn't known to be done.
    pub(in crate::scheduler) dependencies_open: bool,
    /// The priority that its user gave it; `spec` holds the one that it is served by,
    /// which may be that of a job that depends on it.
    pub(in crate::scheduler) own_priority: Priority,
    /// How urgent the jobs that depend on it make it.
    pub(in crate::scheduler) inherited_urgency: Option<StageUrgency<Priority>>,
    /// The ranges of its tasks, with one placement record each.
    pub(in crate::scheduler) placements: PlacementRanges,
    /// One of its placement records can't be read: what it may have on machines isn't
    /// known, so none of its tasks is placed.
    pub unreadable: bool,
    /// The key-value store rejected its record: it isn't written again before this
    /// time.
    pub(in crate::scheduler) held_back_until_ms: u64,
    /// The tasks that may be on a machine.
    pub assignments: BTreeMap<u32, Assignment>,
    /// The tasks that are done.
    pub done: BTreeSet<u32>,
    /// The tasks that wait to be placed.
    pub(in crate::scheduler) pending: BTreeSet<u32>,
    /// Ended attempts whose end isn't stored yet: their workers must not forget them.
    pub(in crate::scheduler) unstored_ends: BTreeSet<(u32, Attempt)>,
    /// The final record is being written.
    pub(in crate::scheduler) finishing: bool,
    /// Whether its tasks fail wherever they run.
    pub(in crate::scheduler) failures: CircuitBreaker,
    /// How long its tasks usually run.
    run_times: RunTimes,
    /// Its record was changed by somebody else; it is read before the next write.
    pub(in crate::scheduler) stale: bool,
    /// How the table of jobs lists it.
    pub(super) listed: JobListing,
    /// It may have changed since it was listed.
    pub(super) dirty: bool,
}

/// Run times of a job's tasks whose whole run was seen.
#[derive(Clone, Copy, Debug, Default)]
struct RunTimes {
    count: u32,
    total_ms: u64,
}

impl Job {
    /// A job whose placements aren't known yet.
    pub fn new(record: JobRecord, revision: u64, tasks_per_range: u32) -> Job {
        let tasks = record.spec.tasks;
        let shape = record
            .replica_parts
            .and_then(|parts| Shape::new(parts, tasks));
        // A replica group lies in one record, so that its parts are bound by one write.
        let tasks_of_whole_replicas =
            shape.map(|shape| shape.max_tasks_in_whole_replicas(tasks_per_range));
        if tasks_of_whole_replicas == Some(None) {
            log::error!(
                "replica exceeds record job={} \
                 reason=\"a record holds no whole replica here, its tasks are placed one by one\"",
                record.spec.id
            );
        }
        let tasks_of_whole_replicas = tasks_of_whole_replicas.flatten();
        let shape = shape.filter(|_| tasks_of_whole_replicas.is_some());
        let tasks_per_range = tasks_of_whole_replicas.unwrap_or(tasks_per_range);
        Job {
            shape,
            task_request: record.spec.task_request(),
            submitted: record.submitted,
            ready_at: record.submitted,
            dependencies_open: false,
            own_priority: record.spec.priority,
            inherited_urgency: None,
            cancelled: record.cancelled,
            revision,
            placements: PlacementRanges::new(tasks, tasks_per_range),
            unreadable: false,
            held_back_until_ms: 0,
            assignments: BTreeMap::new(),
            done: BTreeSet::new(),
            pending: (0..tasks).collect(),
            unstored_ends: BTreeSet::new(),
            finishing: false,
            failures: CircuitBreaker::default(),
            run_times: RunTimes::default(),
            stale: false,
            listed: JobListing::default(),
            dirty: false,
            spec: Rc::new(record.spec),
        }
    }

    /// Whether its tasks run until it is cancelled.
    pub(in crate::scheduler) fn is_service(&self) -> bool {
        self.spec.kind == JobKind::Service
    }

    /// Whether all its tasks are done.
    fn all_done(&self) -> bool {
        self.done.len() as u32 == self.spec.tasks
    }

    /// How it has ended, if nothing of it is left to run or to stop.
    pub(in crate::scheduler) fn final_state(&self) -> Option<FinalState> {
        match self.cancelled {
            Some(_) => self.assignments.is_empty().then_some(FinalState::Cancelled),
            None => self.all_done().then_some(FinalState::Done),
        }
    }

    /// Whether there is anything to store of it: its end, or where its tasks are.
    /// What the tasks of a cancelled job do needs no record: the next leader stops
    /// them all.
    pub(super) fn has_unwritten_changes(&self) -> bool {
        // A record that couldn't be read must not be overwritten.
        let may_be_written = self.cancelled.is_none() && !self.unreadable;
        let has_dirty_range = || {
            let mut ranges = self.placements.iter();
            ranges.any(|range| range.dirty_ms.is_some())
        };
        self.final_state().is_some() || (may_be_written && has_dirty_range())
    }

    /// How many of its tasks are seen running.
    pub(in crate::scheduler) fn running(&self) -> u32 {
        self.assignments
            .values()
            .filter(|a| matches!(a.phase, Some(TaskPhase::Running | TaskPhase::Checkpointing)))
            .count() as u32
    }

    /// The name of one of its tasks.
    pub(in crate::scheduler) fn task(&self, index: u32) -> TaskRef {
        TaskRef {
            job: self.spec.id.clone(),
            index,
        }
    }

    /// The record that holds the task has to be written.
    pub(in crate::scheduler) fn touch(&mut self, task: u32, now_ms: u64, urgent: bool) {
        if let Some(range) = self.placements.range_of_task_mut(task) {
            range.touch(now_ms, urgent);
        }
    }

    /// The next attempt of the range that holds this task.
    pub(in crate::scheduler) fn next_attempt(&mut self, task: u32) -> Option<Attempt> {
        let range = self.placements.range_of_task_mut(task)?;
        range.next_attempt = Attempt(range.next_attempt.0 + 1);
        Some(range.next_attempt)
    }

    /// Records how long a task ran, and tells whether that was far longer than the
    /// job's other tasks took: users' estimates are too often wrong to compare with.
    pub(in crate::scheduler) fn record_run_time(&mut self, took_ms: u64) -> bool {
        let RunTimes { count, total_ms } = self.run_times;
        let is_slow =
            count >= MIN_COMPLETED_RUNS && took_ms > total_ms / u64::from(count) * SLOW_RUN_FACTOR;
        if !is_slow {
            self.run_times = RunTimes {
                count: count + 1,
                total_ms: total_ms + took_ms,
            };
        }
        is_slow
    }

    /// How many of its tasks may be in each zone, for spread and samePlace.
    pub(in crate::scheduler) fn zone_counts(&self) -> ZoneCounts {
        let mut zones = ZoneCounts::default();
        for assignment in self.assignments.values() {
            zones.add(&assignment.zone);
        }
        zones
    }

    /// What is to be stored now of the tasks of a range.
    pub(super) fn placement_record(
        &self,
        number: usize,
        write_id: u64,
        zones: &[String],
    ) -> PlacementRecord {
        let zone_number = |assignment: &Assignment| {
            let position = zones.iter().position(|zone| **zone == *assignment.zone);
            position.unwrap_or(0) as u32
        };
        let segments = self.placements.tasks_of(number);
        let done = segments.iter().flat_map(|s| self.done.range(s.clone()));
        let assigned = segments
            .iter()
            .flat_map(|s| self.assignments.range(s.clone()));
        let range = self.placements.get(number);
        PlacementRecord {
            next_attempt: range.map_or(Attempt(0), |range| range.next_attempt),
            write_id,
            tasks_per_range: self.placements.tasks_per_range(),
            done: format_task_ranges(done.copied()),
            assigned: assigned
                .map(|(task, assignment)| AssignmentRow {
                    task: *task,
                    attempt: assignment.attempt,
                    machine: assignment.machine.clone(),
                    agent_epoch: assignment.agent_epoch,
                    zone: zone_number(assignment),
                })
                .collect(),
            failures: self.failures.to_record(),
            groups: Vec::new(),
        }
    }

    /// How many tasks have to stay in one record together: the parts of a replica.
    pub(super) fn tasks_per_replica(&self) -> u32 {
        self.shape.map_or(1, |shape| shape.parts())
    }

    /// Restores what earlier leaders stored, from all of its placement records.
    pub fn restore(&mut self, mut stored: Vec<StoredPlacement>, zones: &[String]) {
        // The records say how the job was divided; today's settings may differ.
        let tasks_per_range = stored
            .iter()
            .map(|stored| stored.record.tasks_per_range)
            .find(|tasks| *tasks > 0)
            .filter(|tasks| *tasks != self.placements.tasks_per_range());
        if let Some(tasks_per_range) = tasks_per_range {
            self.placements = PlacementRanges::new(self.spec.tasks, tasks_per_range);
        }
        // The finer of two records is authoritative, so it comes last.
        stored.sort_by_key(|stored| match stored.name {
            RangeName::Uniform(_) => 0,
            RangeName::Tasks { first, last } => u32::MAX - (last - first),
        });
        for placement in stored {
            if self.restore_range(placement, zones).is_none() {
                self.unreadable = true;
            }
        }
    }

    /// Restores one range. `None`: its record doesn't fit the job.
    fn restore_range(&mut self, stored: StoredPlacement, zones: &[String]) -> Option<()> {
        let StoredPlacement {
            name,
            revision,
            record,
        } = stored;
        let number = match name {
            RangeName::Uniform(number) => number as usize,
            RangeName::Tasks { first, last } => {
                self.reset_tasks(first..last.checked_add(1)?);
                self.placements.split_off(first..last + 1)?
            }
        };
        let range = self.placements.get_mut(number)?;
        range.revision = revision;
        range.next_attempt = record.next_attempt;
        let done = parse_task_ranges(&record.done, self.spec.tasks)?;
        self.failures.restore(record.failures);
        for task in done {
            self.pending.remove(&task);
            self.done.insert(task);
            self.failures.record_success();
        }
        let mut fits = true;
        for row in record.assigned {
            fits &= self.placements.range_of_task(row.task) == Some(number);
            if row.task < self.spec.tasks {
                self.restore_assignment(row, zones);
            }
        }
        fits.then_some(())
    }

    fn restore_assignment(&mut self, row: AssignmentRow, zones: &[String]) {
        self.pending.remove(&row.task);
        let zone = zones
            .get(row.zone as usize)
            .map_or("", |zone| zone.as_str());
        let bound = Assignment::new(row.attempt, row.machine, row.agent_epoch, Rc::from(zone));
        let assignment = Assignment {
            recorded: true,
            started_by_earlier_leader: true,
            ..bound
        };
        self.assignments.insert(row.task, assignment);
    }

    /// Forgets what a coarser record said of these tasks: a finer one holds them.
    fn reset_tasks(&mut self, tasks: Range<u32>) {
        for task in tasks.start..tasks.end.min(self.spec.tasks) {
            self.assignments.remove(&task);
            self.done.remove(&task);
            self.pending.insert(task);
        }
    }
}

/// A placement record as it was read.
#[derive(Debug)]
pub struct StoredPlacement {
    /// Which record it is.
    pub name: RangeName,
    /// Its revision.
    pub revision: u64,
    /// What it holds.
    pub record: PlacementRecord,
}
