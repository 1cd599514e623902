//! Division of a job's tasks into placement ranges, each stored as one placement record.
//! A job is first divided into ranges of equal length. A range whose record exceeds the
//! key-value store's size limit is split: its tasks move to finer ranges, whose keys name
//! their tasks. While both records are stored, the finer one is authoritative for its
//! tasks. A leader therefore restores the same state at any intermediate step of a split.

use crate::ids::Attempt;
use crate::messages::Now;
use crate::records::placements::{max_record_bytes, RangeName};
use std::collections::BTreeMap;
use std::ops::Range;

/// A range of a job's tasks that is stored as one placement record.
#[derive(Clone, Debug)]
pub struct PlacementRange {
    /// The name from which the key of the placement record is built.
    pub name: RangeName,
    /// The tasks that the name covers. Finer ranges may hold some of them.
    tasks: Range<u32>,
    /// The revision of the stored record; 0: no record is stored.
    pub(in crate::scheduler) revision: u64,
    /// The last attempt allocated in the range. Each allocation increments it.
    pub(in crate::scheduler) last_attempt: Attempt,
    /// Since when the range has unwritten changes; `None`: it has none.
    pub(in crate::scheduler) dirty_since_ms: Option<u64>,
    /// Whether the changes are written as soon as possible rather than lazily.
    pub(in crate::scheduler) urgent: bool,
}

impl PlacementRange {
    fn new(name: RangeName, tasks: Range<u32>) -> PlacementRange {
        PlacementRange {
            name,
            tasks,
            revision: 0,
            last_attempt: Attempt::default(),
            dirty_since_ms: None,
            urgent: false,
        }
    }

    /// Returns whether the record should be written now.
    pub(super) fn is_due(&self, now: Now, lazy_delay_ms: u64) -> bool {
        self.dirty_since_ms
            .is_some_and(|since_ms| self.urgent || now.ms >= since_ms + lazy_delay_ms)
    }

    /// Marks the range as having unwritten changes.
    pub(super) fn mark_dirty(&mut self, now_ms: u64, urgent: bool) {
        self.dirty_since_ms.get_or_insert(now_ms);
        self.urgent |= urgent;
    }
}

/// All ranges of a job's tasks, numbered in the order of their creation.
#[derive(Clone, Debug)]
pub struct PlacementRanges {
    /// The number of tasks of the job.
    tasks: u32,
    /// The number of tasks in each of the equal ranges of the first division.
    tasks_per_range: u32,
    ranges: Vec<PlacementRange>,
    /// The number of the range that holds each segment of contiguous tasks, by the first
    /// task of the segment.
    segments: BTreeMap<u32, usize>,
}

impl PlacementRanges {
    /// Divides the tasks of a job into ranges of `tasks_per_range` tasks each; the last
    /// range may be shorter.
    pub fn new(tasks: u32, tasks_per_range: u32) -> PlacementRanges {
        let count = tasks.div_ceil(tasks_per_range);
        let tasks_of =
            |number: u32| number * tasks_per_range..((number + 1) * tasks_per_range).min(tasks);
        PlacementRanges {
            tasks,
            tasks_per_range,
            ranges: (0..count)
                .map(|number| PlacementRange::new(RangeName::Uniform(number), tasks_of(number)))
                .collect(),
            segments: (0..count)
                .map(|number| (number * tasks_per_range, number as usize))
                .collect(),
        }
    }

    /// Returns the number of tasks in each of the equal ranges of the first division.
    pub(super) fn tasks_per_range(&self) -> u32 {
        self.tasks_per_range
    }

    /// Iterates over all ranges in the order of their numbers.
    pub fn iter(&self) -> impl Iterator<Item = &PlacementRange> {
        self.ranges.iter()
    }

    /// Returns the number of ranges, including those whose tasks all moved to finer ones.
    pub fn len(&self) -> usize {
        self.ranges.len()
    }

    /// Returns whether there are no ranges, which is never the case for a job with tasks.
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// Returns the range of this number; `None` if the number is out of range.
    pub fn get(&self, number: usize) -> Option<&PlacementRange> {
        self.ranges.get(number)
    }

    pub(super) fn get_mut(&mut self, number: usize) -> Option<&mut PlacementRange> {
        self.ranges.get_mut(number)
    }

    /// Returns the number of the range that holds a task; `None`: the job has no such task.
    pub fn range_of_task(&self, task: u32) -> Option<usize> {
        let (_, number) = self.segments.range(..=task).next_back()?;
        (task < self.tasks).then_some(*number)
    }

    pub(super) fn range_of_task_mut(&mut self, task: u32) -> Option<&mut PlacementRange> {
        let number = self.range_of_task(task)?;
        self.ranges.get_mut(number)
    }

    /// Returns the tasks that a range holds, as contiguous segments. Tasks that finer
    /// ranges hold are excluded.
    pub fn tasks_of(&self, number: usize) -> Vec<Range<u32>> {
        let Some(range) = self.ranges.get(number) else {
            return Vec::new();
        };
        self.segments
            .range(range.tasks.clone())
            .filter(|(_, holder)| **holder == number)
            .map(|(first, _)| *first..self.segment_end(*first))
            .collect()
    }

    /// Returns the most bytes that a range's record can take, with all its tasks assigned.
    pub(super) fn max_record_bytes(&self, number: usize) -> usize {
        max_record_bytes(task_count(&self.tasks_of(number)))
    }

    /// Returns the end (exclusive) of the segment that begins with this task.
    fn segment_end(&self, first: u32) -> u32 {
        let next = self.segments.range(first + 1..).next();
        next.map_or(self.tasks, |(start, _)| *start)
    }

    /// Moves these tasks to a finer range of their own. Returns the number of the new
    /// range; `None`: the job has no such tasks.
    pub(super) fn split_off(&mut self, tasks: Range<u32>) -> Option<usize> {
        if tasks.is_empty() || tasks.end > self.tasks {
            return None;
        }
        let holder_after = self.range_of_task(tasks.end);
        let number = self.ranges.len();
        let name = RangeName::Tasks {
            first: tasks.start,
            last: tasks.end - 1,
        };
        self.ranges.push(PlacementRange::new(name, tasks.clone()));
        self.segments.retain(|start, _| !tasks.contains(start));
        self.segments.insert(tasks.start, number);
        if let Some(holder) = holder_after {
            self.segments.entry(tasks.end).or_insert(holder);
        }
        Some(number)
    }

    /// Splits a range whose record is too large into finer ranges of at most `max_tasks`
    /// tasks, in multiples of `unit`. Returns `false` if the range can't be split further.
    pub fn split(&mut self, number: usize, max_tasks: u32, unit: u32) -> bool {
        let segments = self.tasks_of(number);
        let total = task_count(&segments);
        // A finer range holds at most half of the tasks: otherwise the split could produce
        // the same record again.
        let max_tasks = max_tasks.min(total / 2) / unit * unit;
        let length = max_tasks.max(unit);
        if total <= unit {
            return false;
        }
        let Some(coarse) = self.ranges.get_mut(number) else {
            return false;
        };
        let (last_attempt, dirty_since_ms, urgent) = (
            coarse.last_attempt,
            coarse.dirty_since_ms.take(),
            coarse.urgent,
        );
        coarse.urgent = false;
        for segment in segments {
            for first in segment.clone().step_by(length as usize) {
                let tasks = first..(first + length).min(segment.end);
                let number = self.split_off(tasks);
                let Some(fine) = number.and_then(|number| self.ranges.get_mut(number)) else {
                    continue;
                };
                fine.last_attempt = last_attempt;
                fine.dirty_since_ms = dirty_since_ms;
                fine.urgent = urgent;
            }
        }
        true
    }

    /// Allocates a new attempt that is the same for the tasks of all ranges.
    pub(in crate::scheduler) fn allocate_common_attempt(&mut self) -> Attempt {
        let latest = self.ranges.iter().map(|range| range.last_attempt).max();
        let next = Attempt(latest.unwrap_or_default().0 + 1);
        for range in &mut self.ranges {
            range.last_attempt = next;
        }
        next
    }
}

fn task_count(segments: &[Range<u32>]) -> u32 {
    segments.iter().map(|tasks| tasks.end - tasks.start).sum()
}
