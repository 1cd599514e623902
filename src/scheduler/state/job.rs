//! Jobs as the leader holds them, and what of them is stored.

use crate::faults::CircuitBreaker;
use crate::ids::{AgentEpoch, Attempt, FencingToken, MachineId, TaskRef};
use crate::placement::{Resources, ZoneCounts};
use crate::records::jobs::{FinalState, JobRecord};
use crate::records::placements::{
    read_ranges, write_ranges, AssignmentRow, PlacementRecord, RangeName,
};
use crate::scheduler::state::job_table::JobListing;
use crate::scheduler::state::placement_ranges::PlacementRanges;
use crate::wire::users::{JobKind, JobSpec, Priority};
use crate::wire::workers::TaskPhase;
use lilacfork_dependencies::propagation::StageUrgency;
use lilacfork_replica_groups::shape::Shape;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// So many finished tasks make a job's usual run time.
const SIBLINGS: u32 = 3;
/// A run so many times as long as usual is the machine's fault: sound ones of
/// a type differ by a tenth.
const FAR_SLOWER: u64 = 3;

/// How to stop a task that runs or may run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StopRequest {
    pub grace_s: u64,
    pub since_ms: u64,
}

/// A task that may be on a machine.
#[derive(Clone, Debug)]
pub struct Assignment {
    pub attempt: Attempt,
    pub machine: MachineId,
    pub agent_epoch: AgentEpoch,
    pub zone: Rc<str>,
    /// The state service holds it: only then is it started.
    pub recorded: bool,
    pub first_sent_ms: Option<u64>,
    pub sent_ms: Option<u64>,
    /// As last reported; `None`: not seen there.
    pub phase: Option<TaskPhase>,
    /// Since when it was seen running, under this leader.
    pub running_since_ms: Option<u64>,
    /// An earlier leader started it: it may have run for longer.
    pub inherited: bool,
    /// It started later than its class may wait.
    pub late: bool,
    pub stop: Option<StopRequest>,
    /// Absence under at least this token proves that it isn't there and
    /// never will be.
    pub absent_proof: Option<FencingToken>,
}

impl Assignment {
    /// A task that was just bound to a machine and that nothing is known of.
    pub fn new(
        attempt: Attempt,
        machine: MachineId,
        session: AgentEpoch,
        zone: Rc<str>,
    ) -> Assignment {
        Assignment {
            attempt,
            machine,
            agent_epoch: session,
            zone,
            recorded: false,
            first_sent_ms: None,
            sent_ms: None,
            phase: None,
            running_since_ms: None,
            inherited: false,
            late: false,
            stop: None,
            absent_proof: None,
        }
    }
}

/// An unfinished job, as the leader holds it.
#[derive(Debug)]
pub struct Job {
    /// The job as its user described it.
    pub spec: Rc<JobSpec>,
    /// What one task takes.
    pub task_request: Resources,
    /// When it was submitted, time of day.
    pub submitted: u64,
    /// When it was cancelled, time of day.
    pub cancelled: Option<u64>,
    /// The revision of its record.
    pub revision: u64,
    /// How its tasks form replicas that span machines; `None`: they don't.
    pub shape: Option<Shape>,
    /// Since when its aims count, time of day: its submission, or the end of the last
    /// job that it needs.
    pub ready: u64,
    /// A job that it needs isn't known to be done.
    pub dependencies_open: bool,
    /// The priority that its user gave it; `spec` holds the one that it is served by,
    /// which may be that of a job that needs it.
    pub own_priority: Priority,
    /// How urgent the jobs that need it make it.
    pub inherited: Option<StageUrgency<Priority>>,
    /// Its placement records.
    pub placements: PlacementRanges,
    /// A placement record of it can't be read: what it may have on machines isn't
    /// known, so nothing of it is placed.
    pub unreadable: bool,
    /// The state service refused its record: until when it isn't written again.
    pub held_back_until_ms: u64,
    /// The tasks that may be on a machine.
    pub assignments: BTreeMap<u32, Assignment>,
    /// The tasks that are done.
    pub done: BTreeSet<u32>,
    /// The tasks that wait for a place.
    pub pending: BTreeSet<u32>,
    /// Ended attempts whose end isn't stored yet; not to be forgotten by
    /// their workers.
    pub unstored_ends: BTreeSet<(u32, Attempt)>,
    /// The final record is being written.
    pub finishing: bool,
    /// Whether its tasks fail wherever they run.
    pub failures: CircuitBreaker,
    /// Tasks whose whole run was seen, and how long they took together.
    pub runs: (u32, u64),
    /// The record changed under us; read it before the next write.
    pub stale: bool,
    /// When this leader heard of it.
    pub arrived_ms: u64,
    /// How the table of jobs lists it.
    pub(in crate::scheduler) listed: JobListing,
    /// It may have changed since it was listed.
    pub(in crate::scheduler) dirty: bool,
}

impl Job {
    /// A job whose placements aren't known yet.
    pub fn new(record: JobRecord, version: u64, shard_size: u32, now_ms: u64) -> Job {
        let tasks = record.spec.tasks;
        let shape = record
            .replica_parts
            .and_then(|parts| Shape::new(parts, tasks));
        // A group lies in one record, so that its parts are bound by one write.
        let whole = shape.map(|shape| shape.whole_replicas(shard_size));
        if whole == Some(None) {
            log::error!(
                "job {}: a record holds no whole replica here, its tasks are placed one by one",
                record.spec.id
            );
        }
        let shape = shape.filter(|_| whole.flatten().is_some());
        let shard_size = whole.flatten().unwrap_or(shard_size);
        Job {
            shape,
            task_request: record.spec.task_request(),
            submitted: record.submitted,
            ready: record.submitted,
            dependencies_open: false,
            own_priority: record.spec.priority,
            inherited: None,
            cancelled: record.cancelled,
            revision: version,
            placements: PlacementRanges::new(tasks, shard_size),
            unreadable: false,
            held_back_until_ms: 0,
            assignments: BTreeMap::new(),
            done: BTreeSet::new(),
            pending: (0..tasks).collect(),
            unstored_ends: BTreeSet::new(),
            finishing: false,
            failures: CircuitBreaker::default(),
            runs: (0, 0),
            stale: false,
            arrived_ms: now_ms,
            listed: JobListing::default(),
            dirty: false,
            spec: Rc::new(record.spec),
        }
    }

    /// Whether its tasks run until it is cancelled.
    pub fn is_service(&self) -> bool {
        self.spec.kind == JobKind::Service
    }

    /// Whether nothing is left to run.
    pub fn all_done(&self) -> bool {
        self.done.len() as u32 == self.spec.tasks
    }

    /// How it has ended, if nothing of it is left to run or to stop.
    pub fn ending(&self) -> Option<FinalState> {
        match self.cancelled {
            Some(_) => self.assignments.is_empty().then_some(FinalState::Cancelled),
            None => self.all_done().then_some(FinalState::Done),
        }
    }

    /// Whether there is anything to store of it: its end, or where its tasks are.
    /// What a cancelled job's tasks do needs no record: whoever leads next stops
    /// them all.
    pub fn has_unwritten(&self) -> bool {
        let dirty = |shard: &crate::scheduler::state::placement_ranges::PlacementRange| {
            shard.dirty_ms.is_some()
        };
        // A record that couldn't be read must not be written over.
        let may_be_written = self.cancelled.is_none() && !self.unreadable;
        self.ending().is_some() || (may_be_written && self.placements.iter().any(dirty))
    }

    /// How many of its tasks are seen running.
    pub fn running(&self) -> u32 {
        self.assignments
            .values()
            .filter(|a| matches!(a.phase, Some(TaskPhase::Running | TaskPhase::Checkpointing)))
            .count() as u32
    }

    /// The name of one of its tasks.
    pub fn task(&self, index: u32) -> TaskRef {
        TaskRef {
            job: self.spec.id.clone(),
            index,
        }
    }

    /// The record that holds the task has to be written.
    pub fn touch(&mut self, task: u32, now_ms: u64, urgent: bool) {
        if let Some(shard) = self.placements.holding_mut(task) {
            shard.touch(now_ms, urgent);
        }
    }

    /// The next attempt of the shard that holds this task.
    pub fn next_attempt(&mut self, task: u32) -> Option<Attempt> {
        let shard = self.placements.holding_mut(task)?;
        shard.next = Attempt(shard.next.0 + 1);
        Some(shard.next)
    }

    /// Notes how long a task ran, and tells whether that was far longer than
    /// its siblings took: estimates are too often wrong to go by.
    pub fn ran(&mut self, took_ms: u64) -> bool {
        let (count, total) = self.runs;
        let slow = count >= SIBLINGS && took_ms > total / u64::from(count) * FAR_SLOWER;
        if !slow {
            self.runs = (count + 1, total + took_ms);
        }
        slow
    }

    /// Where the job's tasks may be, for spread and samePlace.
    pub fn zone_use(&self) -> ZoneCounts {
        let mut zones = ZoneCounts::default();
        for assign in self.assignments.values() {
            zones.add(&assign.zone);
        }
        zones
    }

    /// What is to be stored of a record's tasks now.
    pub fn record(&self, number: usize, write: u64, zones: &[String]) -> PlacementRecord {
        let zone_of =
            |a: &Assignment| zones.iter().position(|z| **z == *a.zone).unwrap_or(0) as u32;
        let stretches = self.placements.tasks_of(number);
        let done = stretches.iter().flat_map(|s| self.done.range(s.clone()));
        let assigned = stretches
            .iter()
            .flat_map(|s| self.assignments.range(s.clone()));
        PlacementRecord {
            next: self.placements.get(number).map_or(Attempt(0), |s| s.next),
            write,
            uniform: self.placements.uniform(),
            done: write_ranges(done.copied()),
            assigned: assigned
                .map(|(task, assign)| AssignmentRow {
                    task: *task,
                    attempt: assign.attempt,
                    machine: assign.machine.clone(),
                    agent_epoch: assign.agent_epoch,
                    zone: zone_of(assign),
                })
                .collect(),
            failures: self.failures.to_record(),
            groups: Vec::new(),
        }
    }

    /// Tasks that have to stay in one record: the parts of a replica.
    pub fn inseparable(&self) -> u32 {
        self.shape.map_or(1, |shape| shape.parts())
    }

    /// Takes over what earlier leaders stored, all of it.
    pub fn restore(&mut self, mut stored: Vec<StoredPlacement>, zones: &[String]) {
        // How the job was cut is told by its records, not by today's settings.
        let uniform = stored.iter().map(|s| s.record.uniform).find(|z| *z > 0);
        if let Some(uniform) = uniform.filter(|z| *z != self.placements.uniform()) {
            self.placements = PlacementRanges::new(self.spec.tasks, uniform);
        }
        // What is finer holds, so it comes last.
        stored.sort_by_key(|s| match s.name {
            RangeName::Uniform(_) => 0,
            RangeName::Tasks { first, last } => u32::MAX - (last - first),
        });
        for shard in stored {
            if self.restore_shard(shard, zones).is_none() {
                self.unreadable = true;
            }
        }
    }

    /// `None`: the record doesn't fit the job.
    fn restore_shard(&mut self, stored: StoredPlacement, zones: &[String]) -> Option<()> {
        let StoredPlacement {
            name,
            revision: version,
            record,
        } = stored;
        let number = match name {
            RangeName::Uniform(number) => number as usize,
            RangeName::Tasks { first, last } => {
                self.forget_tasks(first..last.checked_add(1)?);
                self.placements.carve(first..last + 1)?
            }
        };
        let shard = self.placements.get_mut(number)?;
        shard.revision = version;
        shard.next = record.next;
        let done = read_ranges(&record.done, self.spec.tasks)?;
        self.failures.restore(record.failures);
        for task in done {
            self.pending.remove(&task);
            self.done.insert(task);
            self.failures.record_success();
        }
        let mut fits = true;
        for row in record.assigned {
            fits &= self.placements.holding(row.task) == Some(number);
            if row.task >= self.spec.tasks {
                continue;
            }
            self.pending.remove(&row.task);
            let zone = zones.get(row.zone as usize).map_or("", |z| z.as_str());
            let bound = Assignment::new(row.attempt, row.machine, row.agent_epoch, Rc::from(zone));
            self.assignments.insert(
                row.task,
                Assignment {
                    recorded: true,
                    inherited: true,
                    ..bound
                },
            );
        }
        fits.then_some(())
    }

    /// What a coarser record said of these tasks doesn't hold.
    fn forget_tasks(&mut self, tasks: std::ops::Range<u32>) {
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
    /// Its version.
    pub revision: u64,
    /// What it holds.
    pub record: PlacementRecord,
}
