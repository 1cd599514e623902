//! Placement records: the assignments of the tasks in one placement range of a job
//! (`p/ID/N`, or `p/ID/FIRST-LAST` for ranges that were split).

use crate::ids::{AgentEpoch, Attempt, JobId, MachineId};
use lilacfork_replica_groups::record::GroupRecord;
use serde::{Deserialize, Serialize};

/// The key prefix of the placement records.
pub const PLACEMENT_PREFIX: &str = "p/";

/// An upper bound of the size of one assignment in a stored record.
const MAX_ASSIGNMENT_BYTES: usize = 80;
/// An upper bound of a record's size without its assignments, done tasks and groups.
const MAX_RECORD_OVERHEAD_BYTES: usize = 200;
/// An upper bound of the size of a migration's target in a stored record.
const MAX_MIGRATION_TARGET_BYTES: usize = 60;
/// The share of the size limit that a record leaves free after a split, because attempts,
/// agent epochs and machine names get longer.
const RECORD_HEADROOM_SHARE: f64 = 0.25;

/// Returns how many tasks a record covers, so that a record with all of them assigned stays
/// below `value_kb`.
pub fn tasks_per_record(value_kb: f64) -> u32 {
    ((value_kb * 1024.0 / MAX_ASSIGNMENT_BYTES as f64) as u32).clamp(16, 4096)
}

/// Returns an upper bound of the size of a record for this many tasks, all of them assigned.
pub fn max_record_bytes(tasks: u32) -> usize {
    MAX_RECORD_OVERHEAD_BYTES + MAX_ASSIGNMENT_BYTES * tasks as usize
}

/// The name of a placement range within its job, as used in the record's key.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RangeName {
    /// The range with this number when the job is divided into ranges of equal size.
    Uniform(u32),
    /// The tasks from `first` to `last`, even if the range of another record includes them.
    Tasks {
        /// The number of the first task.
        first: u32,
        /// The number of the last task, which is part of the range.
        last: u32,
    },
}

/// Returns the key of a job's placement record.
pub fn placement_key(id: &JobId, name: RangeName) -> String {
    match name {
        RangeName::Uniform(number) => format!("{PLACEMENT_PREFIX}{id}/{number}"),
        RangeName::Tasks { first, last } => format!("{PLACEMENT_PREFIX}{id}/{first}-{last}"),
    }
}

/// Parses the key of a placement record into the job and the range. The inner `None` means
/// that this version doesn't know the form of the range's name.
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

/// A stored assignment: a task that may be on a machine.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
#[serde(from = "RowFields", into = "RowFields")]
pub struct AssignmentRow {
    /// The task's number within the job.
    pub task: u32,
    /// The attempt of the task that is assigned.
    pub attempt: Attempt,
    /// The machine to which the task is assigned.
    pub machine: MachineId,
    /// The machine's agent epoch when the task was assigned to it.
    pub agent_epoch: AgentEpoch,
    /// The machine's zone, as its index in the settings.
    pub zone: u32,
}

/// The stored form of an [`AssignmentRow`]: an array of its fields in this order.
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

/// The value of a placement record: the state of one range of a job's tasks.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct PlacementRecord {
    /// The last attempt that was allocated in the range. Attempts are never reused within a
    /// range.
    #[serde(rename = "n")]
    pub last_attempt: Attempt,
    /// Identifies the write, so that the controller that sent it can determine whether it
    /// was applied.
    #[serde(rename = "w")]
    pub write_id: u64,
    /// The number of tasks in each of the equal ranges into which the job was first
    /// divided. Versions before 0.2 derive it from their settings and leave the field out.
    #[serde(rename = "z", default, skip_serializing_if = "super::is_default")]
    pub tasks_per_range: u32,
    /// The done tasks as ranges, such as `0-4,7`.
    #[serde(rename = "d", default, skip_serializing_if = "String::is_empty")]
    pub done: String,
    /// The assignments of the tasks that may be on a machine.
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    pub assigned: Vec<AssignmentRow>,
    /// The state of the job's circuit breaker: 0 if it is closed, otherwise one more than
    /// the number of failed probes.
    #[serde(rename = "f", default, skip_serializing_if = "super::is_default")]
    pub circuit_breaker: u32,
    /// The replica groups that have state beyond the assignments of their parts.
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    pub groups: Vec<GroupRecord>,
}

impl PlacementRecord {
    /// Returns an upper bound of the record's size when stored.
    pub fn max_bytes(&self) -> usize {
        let intents = self.groups.iter().flat_map(|group| &group.intent);
        let targets: usize = intents.map(|intent| intent.targets.len()).sum();
        let rows = MAX_ASSIGNMENT_BYTES * self.assigned.len();
        let groups = MAX_MIGRATION_TARGET_BYTES * (self.groups.len() + targets);
        MAX_RECORD_OVERHEAD_BYTES + self.done.len() + rows + groups
    }

    /// Returns whether the record's size when stored is at most `max_value_bytes`.
    pub fn fits(&self, max_value_bytes: usize) -> bool {
        self.max_bytes() <= max_value_bytes || self.bytes() <= max_value_bytes
    }

    /// Returns the record's size when stored.
    pub fn bytes(&self) -> usize {
        serde_json::to_vec(self).map_or(usize::MAX, |text| text.len())
    }

    /// Returns how many tasks a record may have to stay within the limit and leave
    /// `RECORD_HEADROOM_SHARE` of it free, if the average size per assignment stays the
    /// same.
    pub fn tasks_that_fit(&self, max_value_bytes: usize) -> u32 {
        let rows = self.assigned.len().max(1);
        let per_row = self.bytes().div_ceil(rows).max(1);
        let usable = (max_value_bytes as f64 * (1.0 - RECORD_HEADROOM_SHARE)) as usize;
        (usable.saturating_sub(MAX_RECORD_OVERHEAD_BYTES) / per_row) as u32
    }
}

/// Formats ascending task numbers as ranges, such as `0-4,7`.
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

/// Parses ranges of task numbers below `limit`. Returns `None` if the text isn't of the form
/// that [`format_task_ranges`] produces, or if a number is too large.
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
