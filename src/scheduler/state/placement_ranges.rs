//! How the placements of a job's tasks are cut into records, and the records
//! themselves. A job is cut into ranges of equal length first. A record that gets
//! too large for the state service is cut again: its tasks go to finer records,
//! which name their tasks in their keys, one by one and in any order. As long as
//! both stand, the finer one holds for its tasks, so a leader may find any step of
//! this and reads the same facts.

use crate::ids::{AgentEpoch, Attempt, JobId, MachineId};
use crate::messages::Now;
use lilacfork_replica_groups::record::GroupRecord;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::ops::Range;

/// Prefix of the placement records.
pub const PLACEMENT_PREFIX: &str = "p/";

/// Bytes that one assignment may take in a stored record, generously.
const ROW_BYTES: usize = 80;
/// Bytes of a record beside its assignments and its finished tasks, generously.
const HEAD_BYTES: usize = 200;
/// Bytes of a move's target in a stored record, generously.
const TARGET_BYTES: usize = 60;
/// A record that is cut keeps this share of the limit free: attempts, sessions and
/// names of machines get longer.
const SPARE_SHARE: f64 = 0.25;

/// Tasks per stored record, so that a full one stays under `value_kb`.
pub fn tasks_per_record(value_kb: f64) -> u32 {
    ((value_kb * 1024.0 / ROW_BYTES as f64) as u32).clamp(16, 4096)
}

/// Which tasks a record is for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RangeName {
    /// The range of this number in the cut into equal ranges.
    Uniform(u32),
    /// The tasks from the first to the last, whatever else stands.
    Tasks {
        /// The first task.
        first: u32,
        /// The last task.
        last: u32,
    },
}

/// The key of a placement record.
pub fn placement_key(id: &JobId, name: RangeName) -> String {
    match name {
        RangeName::Uniform(number) => format!("{PLACEMENT_PREFIX}{id}/{number}"),
        RangeName::Tasks { first, last } => format!("{PLACEMENT_PREFIX}{id}/{first}-{last}"),
    }
}

/// The job that a placement record's key names, and which record it is; `None`
/// inside: one of a form that this version doesn't know.
pub fn parse_placement_key(key: &str) -> Option<(JobId, Option<RangeName>)> {
    let (job, name) = key.strip_prefix(PLACEMENT_PREFIX)?.split_once('/')?;
    Some((JobId::new(job), parse_name(name)))
}

fn parse_name(name: &str) -> Option<RangeName> {
    match name.split_once('-') {
        None => Some(RangeName::Uniform(name.parse().ok()?)),
        Some((first, last)) => {
            let (first, last) = (first.parse().ok()?, last.parse().ok()?);
            (first <= last).then_some(RangeName::Tasks { first, last })
        }
    }
}

/// A task that may be on a machine, as it is stored.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
#[serde(from = "RowFields", into = "RowFields")]
pub struct AssignmentRow {
    /// The task's number.
    pub task: u32,
    /// Its attempt.
    pub attempt: Attempt,
    /// The machine.
    pub machine: MachineId,
    /// The machine's session when the task was bound to it.
    pub agent_epoch: AgentEpoch,
    /// The machine's zone, by its place in the settings.
    pub zone: u32,
}

type RowFields = (u32, Attempt, MachineId, AgentEpoch, u32);

impl From<RowFields> for AssignmentRow {
    fn from((task, attempt, machine, session, zone): RowFields) -> AssignmentRow {
        AssignmentRow {
            task,
            attempt,
            machine,
            agent_epoch: session,
            zone,
        }
    }
}

impl From<AssignmentRow> for RowFields {
    fn from(row: AssignmentRow) -> RowFields {
        (
            row.task,
            row.attempt,
            row.machine,
            row.agent_epoch,
            row.zone,
        )
    }
}

/// The placement record of a range of a job's tasks.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct PlacementRecord {
    /// The next attempt; attempts are never reused within a shard.
    #[serde(rename = "n")]
    pub next: Attempt,
    /// Names the write, so that its author knows it again.
    #[serde(rename = "w")]
    pub write: u64,
    /// How many tasks each record of the job's cut into equal ranges has. Versions
    /// before 0.2 work it out from their settings and leave it out.
    #[serde(rename = "z", default, skip_serializing_if = "is_zero")]
    pub uniform: u32,
    /// Done tasks as ranges: `0-4,7`.
    #[serde(rename = "d", default, skip_serializing_if = "String::is_empty")]
    pub done: String,
    /// The tasks that may be on a machine.
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    pub assigned: Vec<AssignmentRow>,
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

impl PlacementRecord {
    /// What it takes at the most when stored.
    pub fn most_bytes(&self) -> usize {
        let targets = self.groups.iter().flat_map(|g| &g.intent);
        let targets: usize = targets.map(|i| i.targets.len()).sum();
        let groups = self.groups.len() + targets;
        HEAD_BYTES + self.done.len() + ROW_BYTES * self.assigned.len() + TARGET_BYTES * groups
    }

    /// Whether it is stored in at most so many bytes.
    pub fn fits(&self, value_bytes: usize) -> bool {
        self.most_bytes() <= value_bytes || self.bytes() <= value_bytes
    }

    /// What it takes when stored.
    pub fn bytes(&self) -> usize {
        serde_json::to_vec(self).map_or(usize::MAX, |text| text.len())
    }

    /// How many tasks a record should have for each to stay below the limit, if
    /// they are like these.
    pub fn tasks_that_fit(&self, value_bytes: usize) -> u32 {
        let rows = self.assigned.len().max(1);
        let per_row = self.bytes().div_ceil(rows).max(1);
        let room = (value_bytes as f64 * (1.0 - SPARE_SHARE)) as usize;
        (room.saturating_sub(HEAD_BYTES) / per_row) as u32
    }
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

/// One record of a job's placements, as its leader keeps it.
#[derive(Clone, Debug)]
pub struct PlacementRange {
    /// Which record it is.
    pub name: RangeName,
    /// The tasks that its name says, some of which finer records may hold.
    span: Range<u32>,
    /// Version of the stored record; 0: none.
    pub revision: u64,
    /// The next attempt of its tasks.
    pub next: Attempt,
    /// Something has to be written; since when.
    pub dirty_ms: Option<u64>,
    /// It has to be written soon, not at leisure.
    pub urgent: bool,
}

impl PlacementRange {
    fn new(name: RangeName, span: Range<u32>) -> PlacementRange {
        PlacementRange {
            name,
            span,
            revision: 0,
            next: Attempt::default(),
            dirty_ms: None,
            urgent: false,
        }
    }

    /// Whether it should be written now.
    pub fn due(&self, now: Now, leisure_ms: u64) -> bool {
        self.dirty_ms
            .is_some_and(|since| self.urgent || now.ms >= since + leisure_ms)
    }

    /// It has to be written.
    pub fn touch(&mut self, now_ms: u64, urgent: bool) {
        self.dirty_ms.get_or_insert(now_ms);
        self.urgent |= urgent;
    }
}

/// All records of a job's placements.
#[derive(Clone, Debug)]
pub struct PlacementRanges {
    tasks: u32,
    uniform: u32,
    shards: Vec<PlacementRange>,
    /// Where each stretch of tasks begins, and which shard holds it.
    stretches: BTreeMap<u32, usize>,
}

impl PlacementRanges {
    /// So many tasks cut into ranges of equal length.
    pub fn new(tasks: u32, uniform: u32) -> PlacementRanges {
        let count = tasks.div_ceil(uniform);
        let span = |number: u32| number * uniform..((number + 1) * uniform).min(tasks);
        PlacementRanges {
            tasks,
            uniform,
            shards: (0..count)
                .map(|n| PlacementRange::new(RangeName::Uniform(n), span(n)))
                .collect(),
            stretches: (0..count).map(|n| (n * uniform, n as usize)).collect(),
        }
    }

    /// Tasks in each range of the first cut.
    pub fn uniform(&self) -> u32 {
        self.uniform
    }

    /// All records, by number.
    pub fn iter(&self) -> impl Iterator<Item = &PlacementRange> {
        self.shards.iter()
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.shards.len()
    }

    /// Whether there is none, as in no job.
    pub fn is_empty(&self) -> bool {
        self.shards.is_empty()
    }

    /// The record of this number.
    pub fn get(&self, number: usize) -> Option<&PlacementRange> {
        self.shards.get(number)
    }

    /// The record of this number, to be changed.
    pub fn get_mut(&mut self, number: usize) -> Option<&mut PlacementRange> {
        self.shards.get_mut(number)
    }

    /// The number of the record that holds a task.
    pub fn holding(&self, task: u32) -> Option<usize> {
        let (_, number) = self.stretches.range(..=task).next_back()?;
        (task < self.tasks).then_some(*number)
    }

    /// The record that holds a task, to be changed.
    pub fn holding_mut(&mut self, task: u32) -> Option<&mut PlacementRange> {
        let number = self.holding(task)?;
        self.shards.get_mut(number)
    }

    /// The tasks that a record holds: those that no finer one does.
    pub fn tasks_of(&self, number: usize) -> Vec<Range<u32>> {
        let Some(shard) = self.shards.get(number) else {
            return Vec::new();
        };
        let inside = self.stretches.range(shard.span.clone());
        let held = inside.filter(|(_, holder)| **holder == number);
        held.map(|(first, _)| *first..self.end_of_stretch(*first))
            .collect()
    }

    /// What a record may take when all its tasks are assigned.
    pub fn most_bytes(&self, number: usize) -> usize {
        let held = self.tasks_of(number);
        let held: u32 = held.iter().map(|tasks| tasks.end - tasks.start).sum();
        HEAD_BYTES + ROW_BYTES * held as usize
    }

    fn end_of_stretch(&self, first: u32) -> u32 {
        let next = self.stretches.range(first + 1..).next();
        next.map_or(self.tasks, |(start, _)| *start)
    }

    /// A finer record holds these tasks from now on. Returns its number; `None`:
    /// the job has no such tasks.
    pub fn carve(&mut self, tasks: Range<u32>) -> Option<usize> {
        if tasks.is_empty() || tasks.end > self.tasks {
            return None;
        }
        let after = self.holding(tasks.end);
        let number = self.shards.len();
        let name = RangeName::Tasks {
            first: tasks.start,
            last: tasks.end - 1,
        };
        self.shards.push(PlacementRange::new(name, tasks.clone()));
        self.stretches.retain(|start, _| !tasks.contains(start));
        self.stretches.insert(tasks.start, number);
        if let Some(holder) = after {
            self.stretches.entry(tasks.end).or_insert(holder);
        }
        Some(number)
    }

    /// Cuts a record whose tasks take too much room into finer ones of at most so
    /// many tasks, in multiples of `unit`. `false`: it can't be cut any further.
    pub fn split(&mut self, number: usize, most: u32, unit: u32) -> bool {
        let stretches = self.tasks_of(number);
        let held: u32 = stretches.iter().map(|tasks| tasks.end - tasks.start).sum();
        // Half of them at the most, or the same record would come out again.
        let most = most.min(held / 2) / unit * unit;
        let length = most.max(unit);
        if held <= unit {
            return false;
        }
        let Some(coarse) = self.shards.get_mut(number) else {
            return false;
        };
        let (next, dirty_ms, urgent) = (coarse.next, coarse.dirty_ms.take(), coarse.urgent);
        coarse.urgent = false;
        for stretch in stretches {
            for first in stretch.clone().step_by(length as usize) {
                let tasks = first..(first + length).min(stretch.end);
                let Some(fine) = self.carve(tasks).and_then(|n| self.shards.get_mut(n)) else {
                    continue;
                };
                fine.next = next;
                fine.dirty_ms = dirty_ms;
                fine.urgent = urgent;
            }
        }
        true
    }

    /// One new attempt for tasks of every record.
    pub fn common_attempt(&mut self) -> Attempt {
        let latest = self.shards.iter().map(|s| s.next).max().unwrap_or_default();
        let next = Attempt(latest.0 + 1);
        for shard in &mut self.shards {
            shard.next = next;
        }
        next
    }
}
