//! How the placements of a job's tasks are divided into ranges, one record each. A
//! job is divided into ranges of equal length first. A range whose record gets too
//! large for the key-value store is split again: its tasks go to finer ranges, which
//! name their tasks in their keys. While both records are stored, the finer one is
//! authoritative for its tasks, so a leader that finds any intermediate step of a
//! split reads the same facts.

use crate::ids::Attempt;
use crate::messages::Now;
use crate::records::placements::{max_record_bytes, RangeName};
use std::collections::BTreeMap;
use std::ops::Range;

/// A range of a job's tasks with one placement record, as the leader keeps it.
#[derive(Clone, Debug)]
pub struct PlacementRange {
    /// Which record it is.
    pub name: RangeName,
    /// The tasks of its name, some of which finer ranges may hold.
    tasks: Range<u32>,
    /// The revision of the stored record; 0: none is stored.
    pub(in crate::scheduler) revision: u64,
    /// The next attempt of its tasks.
    pub(in crate::scheduler) next_attempt: Attempt,
    /// Since when there is something to write; `None`: nothing is.
    pub(in crate::scheduler) dirty_ms: Option<u64>,
    /// It has to be written soon, not lazily.
    pub(in crate::scheduler) urgent: bool,
}

impl PlacementRange {
    fn new(name: RangeName, tasks: Range<u32>) -> PlacementRange {
        PlacementRange {
            name,
            tasks,
            revision: 0,
            next_attempt: Attempt::default(),
            dirty_ms: None,
            urgent: false,
        }
    }

    /// Whether it should be written now.
    pub(super) fn is_due(&self, now: Now, lazy_delay_ms: u64) -> bool {
        self.dirty_ms
            .is_some_and(|since| self.urgent || now.ms >= since + lazy_delay_ms)
    }

    /// Its record has to be written.
    pub(super) fn touch(&mut self, now_ms: u64, urgent: bool) {
        self.dirty_ms.get_or_insert(now_ms);
        self.urgent |= urgent;
    }
}

/// All ranges of a job's tasks. Ranges are numbered in the order in which they came
/// to be.
#[derive(Clone, Debug)]
pub struct PlacementRanges {
    /// How many tasks the job has.
    tasks: u32,
    /// Tasks in each of the equal ranges that the job was divided into first.
    tasks_per_range: u32,
    ranges: Vec<PlacementRange>,
    /// The first task of each segment of contiguous tasks, and the number of the
    /// range that holds them.
    segments: BTreeMap<u32, usize>,
}

impl PlacementRanges {
    /// Divides the tasks of a job into ranges of equal length.
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

    /// Tasks in each of the equal ranges that the job was divided into first.
    pub(super) fn tasks_per_range(&self) -> u32 {
        self.tasks_per_range
    }

    /// All ranges, by number.
    pub fn iter(&self) -> impl Iterator<Item = &PlacementRange> {
        self.ranges.iter()
    }

    /// How many ranges there are.
    pub fn len(&self) -> usize {
        self.ranges.len()
    }

    /// Whether there is none, which is so of no job.
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// The range of this number.
    pub fn get(&self, number: usize) -> Option<&PlacementRange> {
        self.ranges.get(number)
    }

    /// The range of this number, to be changed.
    pub(super) fn get_mut(&mut self, number: usize) -> Option<&mut PlacementRange> {
        self.ranges.get_mut(number)
    }

    /// The number of the range that holds a task.
    pub fn range_of_task(&self, task: u32) -> Option<usize> {
        let (_, number) = self.segments.range(..=task).next_back()?;
        (task < self.tasks).then_some(*number)
    }

    /// The range that holds a task, to be changed.
    pub(super) fn range_of_task_mut(&mut self, task: u32) -> Option<&mut PlacementRange> {
        let number = self.range_of_task(task)?;
        self.ranges.get_mut(number)
    }

    /// The tasks that a range holds, in contiguous segments: those that no finer
    /// range holds.
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

    /// The most bytes of a range's record, with all its tasks assigned.
    pub(super) fn max_record_bytes(&self, number: usize) -> usize {
        max_record_bytes(task_count(&self.tasks_of(number)))
    }

    /// The end of the segment that begins with this task.
    fn segment_end(&self, first: u32) -> u32 {
        let next = self.segments.range(first + 1..).next();
        next.map_or(self.tasks, |(start, _)| *start)
    }

    /// From now on these tasks are held by a finer range of their own. Returns its
    /// number; `None`: the job has no such tasks.
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

    /// Splits a range whose record is too large into finer ones of at most
    /// `max_tasks`, in multiples of `unit`. `false`: it can't be split any further.
    pub fn split(&mut self, number: usize, max_tasks: u32, unit: u32) -> bool {
        let segments = self.tasks_of(number);
        let held = task_count(&segments);
        // Half of them at the most, or the same record would come out again.
        let max_tasks = max_tasks.min(held / 2) / unit * unit;
        let length = max_tasks.max(unit);
        if held <= unit {
            return false;
        }
        let Some(coarse) = self.ranges.get_mut(number) else {
            return false;
        };
        let (next, dirty_ms, urgent) = (coarse.next_attempt, coarse.dirty_ms.take(), coarse.urgent);
        coarse.urgent = false;
        for segment in segments {
            for first in segment.clone().step_by(length as usize) {
                let tasks = first..(first + length).min(segment.end);
                let number = self.split_off(tasks);
                let Some(fine) = number.and_then(|number| self.ranges.get_mut(number)) else {
                    continue;
                };
                fine.next_attempt = next;
                fine.dirty_ms = dirty_ms;
                fine.urgent = urgent;
            }
        }
        true
    }

    /// A new attempt that is the same for the tasks of all ranges.
    pub(in crate::scheduler) fn common_attempt(&mut self) -> Attempt {
        let latest = self.ranges.iter().map(|range| range.next_attempt).max();
        let next = Attempt(latest.unwrap_or_default().0 + 1);
        for range in &mut self.ranges {
            range.next_attempt = next;
        }
        next
    }
}

fn task_count(segments: &[Range<u32>]) -> u32 {
    segments.iter().map(|tasks| tasks.end - tasks.start).sum()
}
