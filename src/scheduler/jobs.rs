//! Jobs as the leader holds them, and what of them is stored.

use super::job_table::Listed;
use crate::faults::FailureHistory;
use crate::gateway::{Final, JobRecord};
use crate::ids::{Attempt, JobId, MachineId, Session, TaskRef, Token};
use crate::msg::Now;
use crate::placement::{Resources, ZoneUse};
use crate::wire::{JobSpec, Kind, TaskPhase};
use lilacfork_replicas::record::GroupRecord;
use lilacfork_replicas::shape::Shape;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Prefix of the placement records.
pub const PLACEMENT_PREFIX: &str = "p/";

/// The key of a range's placement record.
pub fn shard_key(id: &JobId, shard: u32) -> String {
    format!("{PLACEMENT_PREFIX}{id}/{shard}")
}

/// The job and range of such a key.
pub fn parse_shard_key(key: &str) -> Option<(JobId, u32)> {
    let (job, shard) = key.strip_prefix(PLACEMENT_PREFIX)?.rsplit_once('/')?;
    Some((JobId::new(job), shard.parse().ok()?))
}

/// So many finished tasks make a job's usual run time.
const SIBLINGS: u32 = 3;
/// A run so many times as long as usual is the machine's fault: sound ones of
/// a type differ by a tenth.
const FAR_SLOWER: u64 = 3;
/// Bytes that one assignment may take in a stored record, generously.
const ROW_BYTES: f64 = 80.0;

/// Tasks per stored record, so that a full one stays under `value_kb`.
pub fn tasks_per_record(value_kb: f64) -> u32 {
    ((value_kb * 1024.0 / ROW_BYTES) as u32).clamp(16, 4096)
}

/// Task, attempt, machine, session, index of the zone in the settings.
pub type Row = (u32, Attempt, MachineId, Session, u32);

/// The placement record of a range of a job's tasks.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct ShardRecord {
    /// The next attempt; attempts are never reused within a shard.
    #[serde(rename = "n")]
    pub next: Attempt,
    /// Names the write, so that its author knows it again.
    #[serde(rename = "w")]
    pub write: u64,
    /// Done tasks as ranges: `0-4,7`.
    #[serde(rename = "d", default, skip_serializing_if = "String::is_empty")]
    pub done: String,
    /// The tasks that may be on a machine.
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    pub assigned: Vec<Row>,
    /// Failed probes of a job that fails everywhere, plus one; 0: it doesn't.
    #[serde(rename = "f", default, skip_serializing_if = "is_zero")]
    pub failures: u32,
    /// Replica groups of which more has to be said than where their parts are.
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    pub groups: Vec<GroupRecord>,
}

fn is_zero(count: &u32) -> bool {
    *count == 0
}

/// Task numbers, in order, as ranges: `0-4,7`.
pub fn write_ranges(tasks: impl Iterator<Item = u32>) -> String {
    let mut text = String::new();
    let mut run: Option<(u32, u32)> = None;
    let mut put = |run: (u32, u32)| {
        if !text.is_empty() {
            text.push(',');
        }
        text.push_str(&run.0.to_string());
        if run.1 > run.0 {
            text.push('-');
            text.push_str(&run.1.to_string());
        }
    };
    for t in tasks {
        match run {
            Some((from, to)) if t == to + 1 => run = Some((from, t)),
            Some(old) => {
                put(old);
                run = Some((t, t));
            }
            None => run = Some((t, t)),
        }
    }
    if let Some(last) = run {
        put(last);
    }
    text
}

/// The inverse; `None` for anything that `write_ranges` wouldn't write.
pub fn read_ranges(text: &str, limit: u32) -> Option<Vec<u32>> {
    let mut tasks = Vec::new();
    if text.is_empty() {
        return Some(tasks);
    }
    for part in text.split(',') {
        let (from, to) = part.split_once('-').unwrap_or((part, part));
        let (from, to): (u32, u32) = (from.parse().ok()?, to.parse().ok()?);
        if from > to || to >= limit {
            return None;
        }
        tasks.extend(from..=to);
    }
    Some(tasks)
}

/// How to stop a task that runs or may run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StopPlan {
    pub grace_s: u64,
    pub since_ms: u64,
}

/// A task that may be on a machine.
#[derive(Clone, Debug)]
pub struct Assign {
    pub attempt: Attempt,
    pub machine: MachineId,
    pub session: Session,
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
    pub stop: Option<StopPlan>,
    /// Absence under at least this token proves that it isn't there and
    /// never will be.
    pub absent_proof: Option<Token>,
}

impl Assign {
    /// A task that was just bound to a machine and that nothing is known of.
    pub fn new(attempt: Attempt, machine: MachineId, session: Session, zone: Rc<str>) -> Assign {
        Assign {
            attempt,
            machine,
            session,
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

#[derive(Clone, Debug, Default)]
pub struct Shard {
    /// Version of the stored record; 0: none.
    pub version: u64,
    pub next: Attempt,
    /// Something has to be written; since when.
    pub dirty_ms: Option<u64>,
    /// It has to be written soon, not at leisure.
    pub urgent: bool,
}

impl Shard {
    /// Whether it should be written now.
    pub fn due(&self, now: Now, leisure_ms: u64) -> bool {
        self.dirty_ms
            .is_some_and(|since| self.urgent || now.ms >= since + leisure_ms)
    }
}

/// An unfinished job, as the leader holds it.
#[derive(Debug)]
pub struct Job {
    /// The job as its user described it.
    pub spec: Rc<JobSpec>,
    /// What one task takes.
    pub need: Resources,
    /// When it was submitted, time of day.
    pub submitted: u64,
    /// When it was cancelled, time of day.
    pub cancelled: Option<u64>,
    /// The revision of its record.
    pub version: u64,
    /// How its tasks form replicas that span machines; `None`: they don't.
    pub shape: Option<Shape>,
    /// Tasks per placement record.
    pub shard_size: u32,
    /// Its placement records.
    pub shards: Vec<Shard>,
    /// The tasks that may be on a machine.
    pub assigns: BTreeMap<u32, Assign>,
    /// The tasks that are done.
    pub done: BTreeSet<u32>,
    /// The tasks that wait for a place.
    pub pending: BTreeSet<u32>,
    /// Ended attempts whose end isn't stored yet; not to be forgotten by
    /// their workers.
    pub unstored: BTreeSet<(u32, Attempt)>,
    /// The final record is being written.
    pub finishing: bool,
    /// Whether its tasks fail wherever they run.
    pub failures: FailureHistory,
    /// Tasks whose whole run was seen, and how long they took together.
    pub runs: (u32, u64),
    /// The record changed under us; read it before the next write.
    pub stale: bool,
    /// When this leader heard of it.
    pub arrived_ms: u64,
    /// How the table of jobs lists it.
    pub(super) listed: Listed,
    /// It may have changed since it was listed.
    pub(super) touched: bool,
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
            need: record.spec.need(),
            submitted: record.submitted,
            cancelled: record.cancelled,
            version,
            shard_size,
            shards: vec![Shard::default(); tasks.div_ceil(shard_size) as usize],
            assigns: BTreeMap::new(),
            done: BTreeSet::new(),
            pending: (0..tasks).collect(),
            unstored: BTreeSet::new(),
            finishing: false,
            failures: FailureHistory::default(),
            runs: (0, 0),
            stale: false,
            arrived_ms: now_ms,
            listed: Listed::default(),
            touched: false,
            spec: Rc::new(record.spec),
        }
    }

    /// Whether its tasks run until it is cancelled.
    pub fn is_service(&self) -> bool {
        self.spec.kind == Kind::Service
    }

    /// Whether nothing is left to run.
    pub fn all_done(&self) -> bool {
        self.done.len() as u32 == self.spec.tasks
    }

    /// How it has ended, if nothing of it is left to run or to stop.
    pub fn ending(&self) -> Option<Final> {
        match self.cancelled {
            Some(_) => self.assigns.is_empty().then_some(Final::Cancelled),
            None => self.all_done().then_some(Final::Done),
        }
    }

    /// Whether there is anything to store of it: its end, or where its tasks are.
    /// What a cancelled job's tasks do needs no record: whoever leads next stops
    /// them all.
    pub fn has_unwritten(&self) -> bool {
        let dirty = |shard: &Shard| shard.dirty_ms.is_some();
        self.ending().is_some() || (self.cancelled.is_none() && self.shards.iter().any(dirty))
    }

    /// How many of its tasks are seen running.
    pub fn running(&self) -> u32 {
        self.assigns
            .values()
            .filter(|a| matches!(a.phase, Some(TaskPhase::Running | TaskPhase::Saving)))
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
        if let Some(shard) = self.shards.get_mut((task / self.shard_size) as usize) {
            shard.dirty_ms.get_or_insert(now_ms);
            shard.urgent |= urgent;
        }
    }

    /// The next attempt of the shard that holds this task.
    pub fn next_attempt(&mut self, task: u32) -> Option<Attempt> {
        let shard = self.shards.get_mut((task / self.shard_size) as usize)?;
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

    /// One new attempt for tasks of every shard.
    pub fn common_attempt(&mut self) -> Attempt {
        let latest = self.shards.iter().map(|s| s.next).max().unwrap_or_default();
        let next = Attempt(latest.0 + 1);
        for shard in &mut self.shards {
            shard.next = next;
        }
        next
    }

    /// Where the job's tasks may be, for spread and samePlace.
    pub fn zone_use(&self) -> ZoneUse {
        let mut zones = ZoneUse::default();
        for assign in self.assigns.values() {
            zones.add(&assign.zone);
        }
        zones
    }

    /// What is to be stored of a range now.
    pub fn record(&self, shard: u32, write: u64, zones: &[String]) -> ShardRecord {
        let range = shard * self.shard_size..(shard + 1) * self.shard_size;
        ShardRecord {
            next: self.shards[shard as usize].next,
            write,
            done: write_ranges(self.done.range(range.clone()).copied()),
            assigned: self
                .assigns
                .range(range)
                .map(|(task, a)| {
                    let zone = zones.iter().position(|z| **z == *a.zone).unwrap_or(0) as u32;
                    (*task, a.attempt, a.machine.clone(), a.session, zone)
                })
                .collect(),
            failures: self.failures.to_record(),
            groups: Vec::new(),
        }
    }

    /// Takes over what an earlier leader stored. `false`: not readable.
    pub fn restore(
        &mut self,
        shard: u32,
        version: u64,
        record: ShardRecord,
        zones: &[String],
    ) -> bool {
        let Some(slot) = self.shards.get_mut(shard as usize) else {
            return false;
        };
        slot.version = version;
        slot.next = record.next;
        let Some(done) = read_ranges(&record.done, self.spec.tasks) else {
            return false;
        };
        self.failures.restore(record.failures);
        for task in done {
            self.pending.remove(&task);
            self.done.insert(task);
            self.failures.succeeded();
        }
        for (task, attempt, machine, session, zone) in record.assigned {
            self.pending.remove(&task);
            let zone = zones.get(zone as usize).map_or("", |z| z.as_str());
            self.assigns.insert(
                task,
                Assign {
                    recorded: true,
                    inherited: true,
                    ..Assign::new(attempt, machine, session, Rc::from(zone))
                },
            );
        }
        true
    }
}
