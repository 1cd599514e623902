//! How the placements of a job's tasks are divided into ranges, one record each. A
//! job is divided into ranges of equal length first. A range whose record gets too
//! large for the key-value store is split again: its tasks go to finer ranges, which
//! name their tasks in their keys. As long as both records stand, the finer one
//! holds for its tasks, so a leader may find any step of this and reads the same
//! facts.

use crate::ids::Attempt;
use crate::messages::Now;
use crate::records::placements::{record_bytes_at_most, RangeName};
use std::collections::BTreeMap;
use std::ops::Range;

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
        record_bytes_at_most(held)
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
