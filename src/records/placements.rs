//! Placement records: where the tasks of a range of a job are (`p/ID/N`, or
//! `p/ID/FIRST-LAST` for ranges that were split).

use crate::ids::{AgentEpoch, Attempt, JobId, MachineId};
use lilacfork_replica_groups::record::GroupRecord;
use serde::{Deserialize, Serialize};

/// Prefix of the placement records.
pub const PLACEMENT_PREFIX: &str = "p/";

/// Bytes that one assignment may take in a stored record, generously.
const MAX_ASSIGNMENT_BYTES: usize = 80;
/// Bytes of a record beside its assignments and its finished tasks, generously.
const MAX_RECORD_OVERHEAD_BYTES: usize = 200;
/// Bytes of a migration's target in a stored record, generously.
const MAX_MIGRATION_TARGET_BYTES: usize = 60;
/// The share of the limit that a record keeps free after a split: attempts, agent
/// epochs and names of machines get longer.
const RECORD_HEADROOM_SHARE: f64 = 0.25;

/// Tasks per stored record, so that a full one stays under `value_kb`.
pub fn tasks_per_record(value_kb: f64) -> u32 {
    ((value_kb * 1024.0 / MAX_ASSIGNMENT_BYTES as f64) as u32).clamp(16, 4096)
}

/// The most bytes of a record for this many tasks, with all of them assigned.
pub fn max_record_bytes(tasks: u32) -> usize {
    MAX_RECORD_OVERHEAD_BYTES + MAX_ASSIGNMENT_BYTES * tasks as usize
}

/// Which tasks a record is for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RangeName {
    /// The range of this number in the division into equal ranges.
    Uniform(u32),
    /// The tasks from the first to the last, whatever other records hold of them.
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

/// The job that a placement record's key names, and which record it is; an inner
/// `None`: the name has a form that this version doesn't know.
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
    /// The epoch of the machine's agent when the task was bound to it.
    pub agent_epoch: AgentEpoch,
    /// The machine's zone, by its position in the settings.
    pub zone: u32,
}

/// The stored form of an [`AssignmentRow`]: its fields as an array.
type RowFields = (u32, Attempt, MachineId, AgentEpoch, u32);

impl From<RowFields> for AssignmentRow {
    fn from((task, attempt, machine, agent_epoch, zone): RowFields) -> AssignmentRow {
        AssignmentRow {
            task,
            attempt,
            machine,
            agent_epoch,
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
    /// The next attempt; attempts are never reused within a range.
    #[serde(rename = "n")]
    pub next_attempt: Attempt,
    /// Identifies the write, so that its author can tell whether it was carried out.
    #[serde(rename = "w")]
    pub write_id: u64,
    /// How many tasks each of the equal ranges has that the job was divided into
    /// first. Versions before 0.2 work it out from their settings and leave it out.
    #[serde(rename = "z", default, skip_serializing_if = "super::is_default")]
    pub tasks_per_range: u32,
    /// Done tasks as ranges: `0-4,7`.
    #[serde(rename = "d", default, skip_serializing_if = "String::is_empty")]
    pub done: String,
    /// The tasks that may be on a machine.
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    pub assigned: Vec<AssignmentRow>,
    /// Failed probes of a job that fails everywhere, plus one; 0: it doesn't.
    #[serde(rename = "f", default, skip_serializing_if = "super::is_default")]
    pub failures: u32,
    /// Replica groups with more state than where their parts are.
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    pub groups: Vec<GroupRecord>,
}

impl PlacementRecord {
    /// An upper bound of its size when stored.
    pub fn max_bytes(&self) -> usize {
        let intents = self.groups.iter().flat_map(|group| &group.intent);
        let targets: usize = intents.map(|intent| intent.targets.len()).sum();
        let rows = MAX_ASSIGNMENT_BYTES * self.assigned.len();
        let groups = MAX_MIGRATION_TARGET_BYTES * (self.groups.len() + targets);
        MAX_RECORD_OVERHEAD_BYTES + self.done.len() + rows + groups
    }

    /// Whether its size when stored is within the limit.
    pub fn fits(&self, max_value_bytes: usize) -> bool {
        self.max_bytes() <= max_value_bytes || self.bytes() <= max_value_bytes
    }

    /// Its size when stored.
    pub fn bytes(&self) -> usize {
        serde_json::to_vec(self).map_or(usize::MAX, |text| text.len())
    }

    /// How many tasks a record should have to stay below the limit, if they are like
    /// these.
    pub fn tasks_that_fit(&self, max_value_bytes: usize) -> u32 {
        let rows = self.assigned.len().max(1);
        let per_row = self.bytes().div_ceil(rows).max(1);
        let usable = (max_value_bytes as f64 * (1.0 - RECORD_HEADROOM_SHARE)) as usize;
        (usable.saturating_sub(MAX_RECORD_OVERHEAD_BYTES) / per_row) as u32
    }
}

/// Task numbers, in order, as ranges: `0-4,7`.
pub fn format_task_ranges(tasks: impl Iterator<Item = u32>) -> String {
    let mut text = String::new();
    let mut current: Option<(u32, u32)> = None;
    let mut append = |(first, last): (u32, u32)| {
        if !text.is_empty() {
            text.push(',');
        }
        text.push_str(&first.to_string());
        if last > first {
            text.push('-');
            text.push_str(&last.to_string());
        }
    };
    for task in tasks {
        match current {
            Some((first, last)) if task == last + 1 => current = Some((first, task)),
            previous => {
                if let Some(range) = previous {
                    append(range);
                }
                current = Some((task, task));
            }
        }
    }
    if let Some(range) = current {
        append(range);
    }
    text
}

/// Parses ranges of task numbers below `limit`; `None`: they aren't of the form that
/// [`format_task_ranges`] gives.
pub fn parse_task_ranges(text: &str, limit: u32) -> Option<Vec<u32>> {
    let mut tasks = Vec::new();
    if text.is_empty() {
        return Some(tasks);
    }
    for part in text.split(',') {
        let (first, last) = part.split_once('-').unwrap_or((part, part));
        let (first, last): (u32, u32) = (first.parse().ok()?, last.parse().ok()?);
        if first > last || last >= limit {
            return None;
        }
        tasks.extend(first..=last);
    }
    Some(tasks)
}
