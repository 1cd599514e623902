//! Placement records: where the tasks of a range of a job are (`p/ID/N`, or
//! `p/ID/FIRST-LAST` for ranges that were split).

use crate::ids::{AgentEpoch, Attempt, JobId, MachineId};
use lilacfork_replica_groups::record::GroupRecord;
use serde::{Deserialize, Serialize};

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
const HEADROOM_SHARE: f64 = 0.25;

/// Tasks per stored record, so that a full one stays under `value_kb`.
pub fn tasks_per_record(value_kb: f64) -> u32 {
    ((value_kb * 1024.0 / ROW_BYTES as f64) as u32).clamp(16, 4096)
}

/// What the record of so many tasks may take when all of them are assigned.
pub fn max_record_bytes(tasks: u32) -> usize {
    HEAD_BYTES + ROW_BYTES * tasks as usize
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
    pub tasks_per_range: u32,
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
    pub fn max_bytes(&self) -> usize {
        let targets = self.groups.iter().flat_map(|g| &g.intent);
        let targets: usize = targets.map(|i| i.targets.len()).sum();
        let groups = self.groups.len() + targets;
        HEAD_BYTES + self.done.len() + ROW_BYTES * self.assigned.len() + TARGET_BYTES * groups
    }

    /// Whether it is stored in at most so many bytes.
    pub fn fits(&self, value_bytes: usize) -> bool {
        self.max_bytes() <= value_bytes || self.bytes() <= value_bytes
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
        let room = (value_bytes as f64 * (1.0 - HEADROOM_SHARE)) as usize;
        (room.saturating_sub(HEAD_BYTES) / per_row) as u32
    }
}

/// Task numbers, in order, as ranges: `0-4,7`.
pub fn format_task_ranges(tasks: impl Iterator<Item = u32>) -> String {
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
pub fn parse_task_ranges(text: &str, limit: u32) -> Option<Vec<u32>> {
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
