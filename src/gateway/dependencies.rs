//! Jobs that need others: whether a submission may name them, and whether an
//! unfinished job is cancelled because one that it needs is.

use super::job_lookup::{read_final, JobLookup};
use super::{
    Gateway, GatewayEffects, PendingRequest, RequestKind, RequestNumber, RequestStep, SettledFact,
    MAX_TRIES,
};
use crate::cancellations::{Cancellations, RecordStatus};
use crate::ids::JobId;
use crate::kv_client::{self, CallPriority, KvCall, KvResponse};
use crate::messages::{Now, Reply};
use crate::records::jobs::{final_key, FinalState};
use lilacfork_dependencies::status::{dependency_status, DependencyState, DependencyStatus};

/// A read of how a needed job has ended.
#[derive(Debug)]
pub(super) struct DependencyRead {
    /// The request that waits for it.
    waiting: RequestNumber,
    need: JobId,
}

impl PendingRequest {
    /// Whether it is a submission, not written yet, that names this job.
    fn names(&self, need: &JobId) -> bool {
        match &self.goal {
            RequestKind::Submit(submission) => {
                self.tries == 0 && submission.spec.dependencies.contains(need)
            }
            _ => false,
        }
    }
}

impl Gateway {
    /// What the records, and what can't change any more, say of a job that is needed.
    fn known_of<'a>(&self, need: &JobId, records: &'a Cancellations) -> DependencyState<'a> {
        match self.facts.get(need) {
            Some(SettledFact::Over(FinalState::Done, _)) => DependencyState::Done,
            Some(SettledFact::Over(FinalState::Cancelled, _)) => DependencyState::Cancelled,
            _ => match records.record_status(need) {
                RecordStatus::Cancelled => DependencyState::Cancelled,
                RecordStatus::Unfinished => DependencyState::Unfinished(records.dependencies(need)),
                RecordStatus::None => DependencyState::Unread,
            },
        }
    }

    fn is_unread(&self, need: &JobId, records: &Cancellations) -> bool {
        matches!(self.known_of(need, records), DependencyState::Unread)
    }

    fn judge_needs(&self, needs: &[JobId], records: &Cancellations) -> DependencyStatus {
        dependency_status(needs, |need| self.known_of(need, records))
    }

    /// A job's record stands, and doesn't say that it is cancelled.
    pub(super) fn judge_unfinished(
        &mut self,
        now: Now,
        number: RequestNumber,
        task: PendingRequest,
        records: &Cancellations,
        out: &mut GatewayEffects,
    ) {
        let known = match self.judge_needs(records.dependencies(&task.id), records) {
            DependencyStatus::Ready | DependencyStatus::Waiting => JobLookup::Unfinished,
            DependencyStatus::Cancelled => JobLookup::Cancelled,
            DependencyStatus::Unread(needs) => {
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
        number: RequestNumber,
        mut task: PendingRequest,
        records: &Cancellations,
        out: &mut GatewayEffects,
    ) {
        let RequestKind::Submit(submission) = &task.goal else {
            self.give_up(task, out);
            return;
        };
        let needs = &submission.spec.dependencies;
        // That one is cancelled says nothing of whether the others were ever accepted.
        let named = needs.iter().filter(|need| self.is_unread(need, records));
        let named: Vec<JobId> = named.cloned().collect();
        if !named.is_empty() {
            self.read_needs(now, number, task, named, out);
            return;
        }
        match self.judge_needs(needs, records) {
            DependencyStatus::Unread(needs) => self.read_needs(now, number, task, needs, out),
            verdict => {
                task.born_cancelled = verdict == DependencyStatus::Cancelled;
                self.accept(now, number, task, out);
            }
        }
    }

    fn read_needs(
        &mut self,
        now: Now,
        number: RequestNumber,
        mut task: PendingRequest,
        needs: Vec<JobId>,
        out: &mut GatewayEffects,
    ) {
        if task.need_rounds >= MAX_TRIES {
            self.give_up(task, out);
            return;
        }
        task.step = RequestStep::ReadNeeds;
        task.need_rounds += 1;
        task.need_reads = needs.len();
        let left = task.until_ms.saturating_sub(now.ms).max(1);
        for need in needs {
            self.next += 1;
            out.calls.push(KvCall {
                priority: CallPriority::Submission,
                call: kv_client::get(&final_key(&need), left),
                writes: 0,
                expires_ms: task.until_ms,
                tag: self.next,
            });
            let waiting = number;
            self.need_reads
                .insert(self.next, DependencyRead { waiting, need });
        }
        self.tasks.insert(number, task);
    }

    /// How a needed job has ended was read, or couldn't be.
    pub(super) fn need_answered(
        &mut self,
        now: Now,
        read: &DependencyRead,
        answer: &KvResponse,
        out: &mut GatewayEffects,
    ) {
        let known = read_final(answer);
        if let Some(JobLookup::Over(record)) = &known {
            self.remember(&read.need, SettledFact::Over(record.state, record.tasks));
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
            Some(JobLookup::Absent) if task.names(&read.need) => {
                let why = format!("attend: no such job {}", read.need);
                task.goal = RequestKind::Refuse(Reply::error(422, &why));
                self.read(now, read.waiting, task, RequestStep::ReadFinal, out);
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
    pub fn judge_read(&mut self, now: Now, records: &Cancellations, out: &mut GatewayEffects) {
        for number in std::mem::take(&mut self.needs_read) {
            if let Some(task) = self.tasks.remove(&number) {
                self.told(now, number, task, records, out);
            }
        }
    }
}
