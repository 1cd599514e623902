//! When not all can be on time. Plain deadline order then makes nearly every
//! job late: each takes its turn when it has just become hopeless. Moore and
//! Hodgson's rule keeps as many on time as can be: in deadline order, whenever
//! one would be late, the largest so far is put off.

use super::rounds::{Room, Waiting, Work, LAST_DEADLINE};
use super::{Job, Scheduler};
use crate::msg::Now;
use crate::placement::Res;
use crate::wire::Kind;

/// A job that wants room, as the rule sees it.
struct Claim {
    place: usize,
    /// Milliseconds of one slot.
    work: f64,
}

impl Scheduler {
    /// What a task of the job is expected to take, by its siblings or else by
    /// the estimate as its class has borne it out.
    pub(super) fn run_ms(&self, job: &Job) -> f64 {
        let learned = self.learning.bias(&job.spec.class);
        job.usual_ms()
            .unwrap_or(job.spec.estimate_s * learned * 1000.0)
    }

    /// Marks those jobs of the ordered queue that are put off, so that the
    /// others can be on time. Slots are counted in tasks of the first such job.
    pub(super) fn put_off(&self, now: Now, rooms: &[Room], queue: &mut [Waiting]) {
        let dated = |w: &Waiting| match &w.what {
            Work::Job(id) => self.jobs.get(id).filter(|j| is_dated(j)),
            Work::Forecast(..) => None,
        };
        let Some(unit) = queue.iter().find_map(dated).map(|j| j.need) else {
            return;
        };
        // Slots that are free, and those that such tasks hold and will leave.
        let mut slots: f64 = rooms.iter().map(|r| f64::from(r.free.times(&unit))).sum();
        let mut work = 0.0;
        for job in self.jobs.values().filter(|j| is_dated(j)) {
            let (size, run_ms) = (size_of(&job.need, &unit), self.run_ms(job));
            for assign in job.assigns.values() {
                let ran_ms = assign.running_since_ms.map_or(0, |at| now.ms - at);
                slots += size;
                work += size * (run_ms - ran_ms as f64).max(0.0);
            }
        }
        let slots = slots.max(1.0);
        let mut group = None;
        let mut kept: Vec<Claim> = Vec::new();
        for place in 0..queue.len() {
            let waiting = &queue[place];
            let Some(job) = dated(waiting) else {
                continue;
            };
            // Only equals are put off for each other.
            let rank = (waiting.priority, waiting.beyond);
            if group != Some(rank) {
                group = Some(rank);
                kept.clear();
            }
            let run_ms = self.run_ms(job);
            let claim = size_of(&job.need, &unit) * job.pending.len() as f64 * run_ms;
            work += claim;
            kept.push(Claim { place, work: claim });
            let last = job.spec.deadline_s.unwrap_or(0.0) * LAST_DEADLINE * 1000.0;
            let at_last = waiting.deadline as f64 >= job.submitted as f64 + last;
            let done = now.wall as f64 + run_ms.max(work / slots);
            if at_last || done <= waiting.deadline as f64 {
                continue;
            }
            let largest = (0..kept.len()).max_by(|a, b| kept[*a].work.total_cmp(&kept[*b].work));
            if let Some(largest) = largest {
                let off = kept.swap_remove(largest);
                work -= off.work;
                queue[off.place].put_off = true;
            }
        }
    }
}

fn is_dated(job: &Job) -> bool {
    job.spec.kind == Kind::Array && job.spec.deadline_s.is_some() && job.cancelled.is_none()
}

/// How many units of room a task takes.
fn size_of(need: &Res, unit: &Res) -> f64 {
    need.share_of(unit).max(f64::MIN_POSITIVE)
}
