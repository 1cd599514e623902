//! Jobs that need others: whether a submission may name them, and whether an
//! unfinished job is cancelled because one that it needs is.

use super::records::{read_final, Final, Known};
use super::{final_key, Fact, Gateway, GatewayCall, GatewayOut, Goal, Step, Task, MAX_TRIES};
use crate::cancellations::{Cancellations, Standing};
use crate::ids::JobId;
use crate::msg::{Now, Reply};
use crate::store::{self, Answer, StateCall, Urgency};
use lilacfork_pipelines::standing::{judge, Known as NeedKnown, Verdict};

/// A read of how a needed job has ended.
#[derive(Debug)]
pub(super) struct NeedRead {
    /// The request that waits for it.
    waiting: GatewayCall,
    need: JobId,
}

impl Task {
    /// Whether it is a submission, not written yet, that names this job.
    fn names(&self, need: &JobId) -> bool {
        match &self.goal {
            Goal::Submit(submission) => self.tries == 0 && submission.spec.needs.contains(need),
            _ => false,
        }
    }
}

impl Gateway {
    /// What the records, and what can't change any more, say of a job that is needed.
    fn known_of<'a>(&self, need: &JobId, records: &'a Cancellations) -> NeedKnown<'a> {
        match self.facts.get(need) {
            Some(Fact::Over(Final::Done, _)) => NeedKnown::Done,
            Some(Fact::Over(Final::Cancelled, _)) => NeedKnown::Cancelled,
            _ => match records.standing(need) {
                Standing::Cancelled => NeedKnown::Cancelled,
                Standing::Unfinished => NeedKnown::Unfinished(records.needs(need)),
                Standing::None => NeedKnown::Unread,
            },
        }
    }

    fn is_unread(&self, need: &JobId, records: &Cancellations) -> bool {
        matches!(self.known_of(need, records), NeedKnown::Unread)
    }

    fn judge_needs(&self, needs: &[JobId], records: &Cancellations) -> Verdict {
        judge(needs, |need| self.known_of(need, records))
    }

    /// A job's record stands, and doesn't say that it is cancelled.
    pub(super) fn judge_unfinished(
        &mut self,
        now: Now,
        number: GatewayCall,
        task: Task,
        records: &Cancellations,
        out: &mut GatewayOut,
    ) {
        let known = match self.judge_needs(records.needs(&task.id), records) {
            Verdict::Ready | Verdict::Waiting => Known::Unfinished,
            Verdict::Cancelled => Known::Cancelled,
            Verdict::Unread(needs) => {
                self.read_needs(now, number, task, needs, out);
                return;
            }
        };
        self.known(now, number, task, known, out);
    }

    /// A submission names jobs that it needs: the read that was made for it tells
    /// whether they were accepted, and how they stand.
    pub(super) fn judge_submission(
        &mut self,
        now: Now,
        number: GatewayCall,
        mut task: Task,
        records: &Cancellations,
        out: &mut GatewayOut,
    ) {
        let Goal::Submit(submission) = &task.goal else {
            self.give_up(task, out);
            return;
        };
        let needs = &submission.spec.needs;
        // That one is cancelled says nothing of whether the others were ever accepted.
        let named = needs.iter().filter(|need| self.is_unread(need, records));
        let named: Vec<JobId> = named.cloned().collect();
        if !named.is_empty() {
            self.read_needs(now, number, task, named, out);
            return;
        }
        match self.judge_needs(needs, records) {
            Verdict::Unread(needs) => self.read_needs(now, number, task, needs, out),
            verdict => {
                task.born_cancelled = verdict == Verdict::Cancelled;
                self.accept(now, number, task, out);
            }
        }
    }

    fn read_needs(
        &mut self,
        now: Now,
        number: GatewayCall,
        mut task: Task,
        needs: Vec<JobId>,
        out: &mut GatewayOut,
    ) {
        if task.need_rounds >= MAX_TRIES {
            self.give_up(task, out);
            return;
        }
        task.step = Step::ReadNeeds;
        task.need_rounds += 1;
        task.need_reads = needs.len();
        let left = task.until_ms.saturating_sub(now.ms).max(1);
        for need in needs {
            self.next += 1;
            out.calls.push(StateCall {
                urgency: Urgency::Submission,
                call: store::get(&final_key(&need), left),
                writes: 0,
                give_up_ms: task.until_ms,
                tag: self.next,
            });
            let waiting = number;
            self.need_reads
                .insert(self.next, NeedRead { waiting, need });
        }
        self.tasks.insert(number, task);
    }

    /// How a needed job has ended was read, or couldn't be.
    pub(super) fn need_answered(
        &mut self,
        now: Now,
        read: &NeedRead,
        answer: &Answer,
        out: &mut GatewayOut,
    ) {
        let known = read_final(answer);
        if let Some(Known::Over(record)) = &known {
            self.remember(&read.need, Fact::Over(record.state, record.tasks));
        }
        let Some(mut task) = self.tasks.remove(&read.waiting) else {
            return;
        };
        task.need_reads = task.need_reads.saturating_sub(1);
        let done = task.need_reads == 0;
        match known {
            None => self.give_up(task, out),
            // It had no record when all were read, and is not over: nobody accepted
            // it. A repeat of what was accepted gets its answer all the same.
            Some(Known::Absent) if task.names(&read.need) => {
                let why = format!("attend: no such job {}", read.need);
                task.goal = Goal::Refuse(Reply::error(422, &why));
                self.read(now, read.waiting, task, Step::ReadFinal, out);
            }
            Some(_) => {
                self.tasks.insert(read.waiting, task);
                if done {
                    self.needs_read.push(read.waiting);
                }
            }
        }
    }

    /// Goes on with the requests for which everything asked for has been read.
    pub fn judge_read(&mut self, now: Now, records: &Cancellations, out: &mut GatewayOut) {
        for number in std::mem::take(&mut self.needs_read) {
            if let Some(task) = self.tasks.remove(&number) {
                self.told(now, number, task, records, out);
            }
        }
    }
}
