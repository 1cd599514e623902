//! The leader's state of an unfinished job, how that state is restored from placement
//! records, and which part of it is not stored yet.

use crate::faults::CircuitBreaker;
use crate::ids::{Attempt, TaskRef};
use crate::messages::Now;
use crate::placement::{Resources, ZoneCounts};
use crate::records::jobs::{FinalState, JobRecord};
use crate::records::placements::{
    format_task_ranges, parse_task_ranges, AssignmentRow, PlacementRecord, RangeName,
};
use crate::scheduler::state::assignment::Assignment;
use crate::scheduler::state::job_table::JobListing;
use crate::scheduler::state::placement_ranges::PlacementRanges;
use crate::waiting::MAX_WAIT_MS;
use crate::wire::users::{JobKind, JobSpec, Priority};
use crate::wire::workers::TaskPhase;
use lilacfork_replica_groups::shape::Shape;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::rc::Rc;

/// The average of a job's run times is used once this many have been recorded.
const MIN_COMPLETED_RUNS: u32 = 3;
/// A run that takes longer than this many times the job's average is attributed to the
/// machine: healthy machines of one type differ by about 10 %.
const SLOW_RUN_FACTOR: u64 = 3;
/// Time without progress after which free capacity isn't kept from a job for other purposes. The
/// rest of the limit is for storing the assignment, the image and the start.
const OVERDUE_AFTER_MS: u64 = MAX_WAIT_MS * 2 / 3;

/// An unfinished job with its tasks and their assignments.
#[derive(Debug)]
pub struct Job {
    /// The specification that the user submitted, except that `priority` is the one by
    /// which the job is currently scheduled and that `dependencies` is empty: the
    /// dependency graph holds them.
    pub(in crate::scheduler) spec: Rc<JobSpec>,
    /// The resources that each task needs.
    pub(in crate::scheduler) task_request: Resources,
    /// The time of submission.
    pub(in crate::scheduler) submitted_wall_ms: u64,
    /// The time of cancellation; `None`: the job is not cancelled.
    pub(in crate::scheduler) cancelled_wall_ms: Option<u64>,
    /// The revision of the job record that was read last.
    pub(in crate::scheduler) revision: u64,
    /// How the tasks form replicas that span machines; `None`: each task is placed on its
    /// own.
    pub(in crate::scheduler) shape: Option<Shape>,
    /// The time from which the service-level objectives count: the submission, or the end
    /// of the last dependency.
    pub(in crate::scheduler) ready_wall_ms: u64,
    /// Whether the job was submitted with dependencies.
    pub(in crate::scheduler) has_dependencies: bool,
    /// Whether at least one dependency is not known to be done.
    pub(in crate::scheduler) has_open_dependencies: bool,
    /// The priority that the user gave the job. `spec.priority` may instead be the
    /// priority of a dependent.
    pub(in crate::scheduler) own_priority: Priority,
    /// The ranges into which the tasks are divided, each with its own placement record.
    pub(in crate::scheduler) placements: PlacementRanges,
    /// Whether a placement record is unreadable. The tasks that may run on machines are
    /// then unknown, so none of the job's tasks is placed.
    pub unreadable: bool,
    /// The earliest time at which the job is written again after the key-value store
    /// rejected its record; 0: no limit.
    pub(in crate::scheduler) write_retry_due_ms: u64,
    /// The assignments of the tasks that may be on a machine, by task index.
    pub assignments: BTreeMap<u32, Assignment>,
    /// The indices of the tasks that have completed successfully.
    pub done: BTreeSet<u32>,
    /// The indices of the tasks that wait to be placed.
    pub(in crate::scheduler) pending: BTreeSet<u32>,
    /// Ended attempts whose end is not stored yet. Workers must keep the results of these
    /// attempts.
    pub(in crate::scheduler) unstored_ends: BTreeSet<(u32, Attempt)>,
    /// Whether the final record is part of the current transaction.
    pub(in crate::scheduler) finishing: bool,
    /// Opens once tasks have failed on several machines and none has succeeded.
    pub(in crate::scheduler) circuit_breaker: CircuitBreaker,
    /// Since when the job has waited without progress: none of its tasks was placed although its
    /// team was under its limit. `None`: not determined since a task last became pending.
    pub(in crate::scheduler) waiting_since_ms: Option<u64>,
    run_times: RunTimes,
    /// Whether another writer has changed the job record, which must then be read before
    /// the next write.
    pub(in crate::scheduler) stale: bool,
    /// The membership in the lists of the job table, as of the last refresh.
    pub(super) listed: JobListing,
    /// Whether the job may have changed since the last refresh of the job table.
    pub(super) touched: bool,
}

/// Run times of a job's tasks whose whole run this leader observed.
#[derive(Clone, Copy, Debug, Default)]
struct RunTimes {
    count: u32,
    total_ms: u64,
}

impl Job {
    /// Creates a job from its record, with all tasks pending and no placement records.
    pub fn new(mut record: JobRecord, revision: u64, tasks_per_range: u32) -> Job {
        let tasks = record.spec.tasks;
        let shape = record
            .replica_parts
            .and_then(|parts| Shape::new(parts, tasks));
        // A replica group is stored in one record, so that one write binds all its parts.
        let tasks_of_whole_replicas =
            shape.map(|shape| shape.max_tasks_in_whole_replicas(tasks_per_range));
        if tasks_of_whole_replicas == Some(None) {
            log::error!(
                "replica exceeds record job={} \
                 reason=\"no placement record can hold a whole replica, tasks are placed individually\"",
                record.spec.id
            );
        }
        let tasks_of_whole_replicas = tasks_of_whole_replicas.flatten();
        let shape = shape.filter(|_| tasks_of_whole_replicas.is_some());
        let tasks_per_range = tasks_of_whole_replicas.unwrap_or(tasks_per_range);
        let dependencies = std::mem::take(&mut record.spec.dependencies);
        Job {
            shape,
            task_request: record.spec.task_request(),
            submitted_wall_ms: record.submitted_wall_ms,
            ready_wall_ms: record.submitted_wall_ms,
            has_dependencies: !dependencies.is_empty(),
            has_open_dependencies: false,
            own_priority: record.spec.priority,
            cancelled_wall_ms: record.cancelled_wall_ms,
            revision,
            placements: PlacementRanges::new(tasks, tasks_per_range),
            unreadable: false,
            write_retry_due_ms: 0,
            assignments: BTreeMap::new(),
            done: BTreeSet::new(),
            pending: (0..tasks).collect(),
            unstored_ends: BTreeSet::new(),
            finishing: false,
            circuit_breaker: CircuitBreaker::default(),
            waiting_since_ms: None,
            run_times: RunTimes::default(),
            stale: false,
            listed: JobListing::default(),
            touched: false,
            spec: Rc::new(record.spec),
        }
    }

    /// Returns whether the job is a service, whose tasks run until it is cancelled.
    pub(in crate::scheduler) fn is_service(&self) -> bool {
        self.spec.kind == JobKind::Service
    }

    fn all_done(&self) -> bool {
        self.done.len() as u32 == self.spec.tasks
    }

    /// Returns how the job ended; `None` while tasks remain to be run or stopped.
    pub(in crate::scheduler) fn final_state(&self) -> Option<FinalState> {
        match self.cancelled_wall_ms {
            Some(_) => self.assignments.is_empty().then_some(FinalState::Cancelled),
            None => self.all_done().then_some(FinalState::Done),
        }
    }

    /// Returns whether the end of the job or any placement has yet to be stored. The
    /// placements of a cancelled job need not be stored, because a new leader stops all its
    /// tasks.
    pub(super) fn has_unwritten_changes(&self) -> bool {
        // An unreadable record must not be overwritten.
        let may_be_written = self.cancelled_wall_ms.is_none() && !self.unreadable;
        let has_dirty_range = || {
            let mut ranges = self.placements.iter();
            ranges.any(|range| range.dirty_since_ms.is_some())
        };
        self.final_state().is_some() || (may_be_written && has_dirty_range())
    }

    /// Returns the number of tasks that are reported as running.
    pub(in crate::scheduler) fn running(&self) -> u32 {
        self.assignments
            .values()
            .filter(|a| matches!(a.phase, Some(TaskPhase::Running | TaskPhase::Checkpointing)))
            .count() as u32
    }

    /// Returns the reference to the task of this index.
    pub(in crate::scheduler) fn task(&self, index: u32) -> TaskRef {
        TaskRef {
            job: self.spec.id.clone(),
            index,
        }
    }

    /// Marks the placement record that holds the task as having unwritten changes.
    pub(in crate::scheduler) fn mark_dirty(&mut self, task: u32, now_ms: u64, urgent: bool) {
        if let Some(range) = self.placements.range_of_task_mut(task) {
            range.mark_dirty(now_ms, urgent);
        }
    }

    /// Allocates the next attempt in the range that holds the task; `None`: the job has no
    /// such task.
    pub(in crate::scheduler) fn allocate_attempt(&mut self, task: u32) -> Option<Attempt> {
        let range = self.placements.range_of_task_mut(task)?;
        range.last_attempt = Attempt(range.last_attempt.0 + 1);
        Some(range.last_attempt)
    }

    /// Returns whether the job has waited without progress for so long that free capacity must
    /// not be kept from it any longer.
    pub(in crate::scheduler) fn is_overdue(&self, now: Now) -> bool {
        self.waiting_since_ms
            .is_some_and(|since_ms| now.ms >= since_ms + OVERDUE_AFTER_MS)
    }

    /// Determines since when the job has been waiting, if it has only begun to or this leader
    /// sees it for the first time.
    pub(in crate::scheduler) fn begin_waiting(&mut self, now: Now) {
        let mut ranges = self.placements.iter();
        let was_never_tried = ranges.all(|range| range.last_attempt == Attempt(0));
        // Such a job has waited since it became ready, under whichever leader.
        let waited_ms = if was_never_tried {
            now.wall_ms.saturating_sub(self.ready_wall_ms)
        } else {
            0
        };
        self.waiting_since_ms = Some(now.ms.saturating_sub(waited_ms));
    }

    /// Records that a task was placed, or that the job waits for its team's limit.
    pub(in crate::scheduler) fn record_progress(&mut self, now: Now) {
        self.waiting_since_ms = (!self.pending.is_empty()).then_some(now.ms);
    }

    /// Records the run time of a task, unless it is an outlier, and returns whether it is
    /// one. The reference is the average of the job's other tasks, because users'
    /// estimates are often wrong.
    pub(in crate::scheduler) fn record_run_time(&mut self, run_ms: u64) -> bool {
        let RunTimes { count, total_ms } = self.run_times;
        let is_slow =
            count >= MIN_COMPLETED_RUNS && run_ms > total_ms / u64::from(count) * SLOW_RUN_FACTOR;
        if !is_slow {
            self.run_times = RunTimes {
                count: count + 1,
                total_ms: total_ms + run_ms,
            };
        }
        is_slow
    }

    /// Counts the assigned tasks in each zone, for the constraints `spread` and
    /// `samePlace`.
    pub(in crate::scheduler) fn zone_counts(&self) -> ZoneCounts {
        let mut zones = ZoneCounts::default();
        for assignment in self.assignments.values() {
            zones.add(&assignment.zone);
        }
        zones
    }

    /// Builds the placement record of a range from the current state, without its replica
    /// groups.
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
            last_attempt: range.map_or(Attempt(0), |range| range.last_attempt),
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
            circuit_breaker: self.circuit_breaker.to_record(),
            groups: Vec::new(),
        }
    }

    /// Returns the number of tasks that must share a placement record: the parts of a
    /// replica, or 1 without replica groups.
    pub(super) fn tasks_per_replica(&self) -> u32 {
        self.shape.map_or(1, |shape| shape.parts())
    }

    /// Restores the job's assignments and results from all its placement records.
    pub fn restore(&mut self, mut stored: Vec<StoredPlacement>, zones: &[String]) {
        // The length of the stored ranges is authoritative: the settings may have changed
        // since.
        let tasks_per_range = stored
            .iter()
            .map(|stored| stored.record.tasks_per_range)
            .find(|tasks| *tasks > 0)
            .filter(|tasks| *tasks != self.placements.tasks_per_range());
        if let Some(tasks_per_range) = tasks_per_range {
            self.placements = PlacementRanges::new(self.spec.tasks, tasks_per_range);
        }
        // The finer of two overlapping records is authoritative, so it is applied last.
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

    /// Restores one range from its record; `None` if the record is inconsistent with the
    /// job.
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
        range.last_attempt = record.last_attempt;
        let done = parse_task_ranges(&record.done, self.spec.tasks)?;
        self.circuit_breaker.restore(record.circuit_breaker);
        for task in done {
            self.pending.remove(&task);
            self.done.insert(task);
            self.circuit_breaker.record_success();
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

    /// Discards the state of these tasks that a coarser record set: a finer record holds
    /// them.
    fn reset_tasks(&mut self, tasks: Range<u32>) {
        for task in tasks.start..tasks.end.min(self.spec.tasks) {
            self.assignments.remove(&task);
            self.done.remove(&task);
            self.pending.insert(task);
        }
    }
}

/// A placement record read from the key-value store.
#[derive(Debug)]
pub struct StoredPlacement {
    /// The range of tasks that the record covers, from the key.
    pub name: RangeName,
    /// The revision at which the key-value store last changed the record.
    pub revision: u64,
    /// The decoded value.
    pub record: PlacementRecord,
}
