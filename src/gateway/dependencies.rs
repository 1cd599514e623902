//! Jobs with dependencies: whether a submission may name them, and whether an unfinished
//! job is cancelled because one of its dependencies is.

use super::job_lookup::{read_final, JobLookup};
use super::pending_request::{PendingRequest, RequestKind, RequestNumber, RequestStep};
use super::{Gateway, GatewayEffects, MAX_RETRIES};
use crate::cancellations::{Cancellations, RecordStatus};
use crate::ids::JobId;
use crate::kv_client::KvResponse;
use crate::messages::{Now, Reply};
use crate::records::jobs::FinalState;
use lilacfork_dependencies::status::{dependency_status, DependencyState, DependencyStatus};

/// A read of how a dependency has ended.
#[derive(Debug)]
pub(super) struct DependencyRead {
    /// The request that waits for it.
    request: RequestNumber,
    dependency: JobId,
}

impl Gateway {
    /// What the records, and what can't change any more, say of a dependency.
    fn dependency_state<'a>(
        &self,
        dependency: &JobId,
        records: &'a Cancellations,
    ) -> DependencyState<'a> {
        match self.memory.final_state(dependency) {
            Some(FinalState::Done) => DependencyState::Done,
            Some(FinalState::Cancelled) => DependencyState::Cancelled,
            None => match records.record_status(dependency) {
                RecordStatus::Cancelled => DependencyState::Cancelled,
                RecordStatus::Unfinished => {
                    DependencyState::Unfinished(records.dependencies(dependency))
                }
                RecordStatus::None => DependencyState::Unknown,
            },
        }
    }

    fn is_unread(&self, dependency: &JobId, records: &Cancellations) -> bool {
        matches!(
            self.dependency_state(dependency, records),
            DependencyState::Unknown
        )
    }

    fn dependency_status(
        &self,
        dependencies: &[JobId],
        records: &Cancellations,
    ) -> DependencyStatus {
        dependency_status(dependencies, |dependency| {
            self.dependency_state(dependency, records)
        })
    }

    /// Continues a request whose job has a record that doesn't say that it is cancelled.
    pub(super) fn evaluate_unfinished(
        &mut self,
        now: Now,
        request: PendingRequest,
        records: &Cancellations,
        effects: &mut GatewayEffects,
    ) {
        let dependencies = records.dependencies(&request.id);
        let lookup = match self.dependency_status(dependencies, records) {
            DependencyStatus::Ready | DependencyStatus::Waiting => JobLookup::Unfinished,
            DependencyStatus::Cancelled => JobLookup::Cancelled,
            DependencyStatus::Unknown(unread) => {
                self.read_dependencies(now, request, unread, effects);
                return;
            }
        };
        self.on_lookup(now, request, lookup, effects);
    }

    /// Continues a submission with dependencies: the records, which were read since it
    /// arrived, show whether these were accepted, and their state.
    pub(super) fn evaluate_submission(
        &mut self,
        now: Now,
        mut request: PendingRequest,
        records: &Cancellations,
        effects: &mut GatewayEffects,
    ) {
        let RequestKind::Submit(submission) = &request.kind else {
            self.reply_unavailable(&request, effects);
            return;
        };
        let dependencies = &submission.spec.dependencies;
        // That one of them is cancelled doesn't show that the others were ever accepted.
        let unread: Vec<JobId> = dependencies
            .iter()
            .filter(|dependency| self.is_unread(dependency, records))
            .cloned()
            .collect();
        if !unread.is_empty() {
            self.read_dependencies(now, request, unread, effects);
            return;
        }
        match self.dependency_status(dependencies, records) {
            DependencyStatus::Unknown(unread) => {
                self.read_dependencies(now, request, unread, effects);
            }
            status => {
                request.cancelled_by_dependency = status == DependencyStatus::Cancelled;
                self.accept(now, request, effects);
            }
        }
    }

    fn read_dependencies(
        &mut self,
        now: Now,
        mut request: PendingRequest,
        dependencies: Vec<JobId>,
        effects: &mut GatewayEffects,
    ) {
        if request.dependency_rounds >= MAX_RETRIES {
            self.reply_unavailable(&request, effects);
            return;
        }
        request.step = RequestStep::ReadDependencies;
        request.dependency_rounds += 1;
        for dependency in dependencies {
            self.last_number += 1;
            let number = self.last_number;
            effects
                .calls
                .push(request.dependency_read_call(now, number, &dependency));
            let read = DependencyRead {
                request: request.number,
                dependency,
            };
            self.dependency_reads.insert(number, read);
        }
        self.requests.insert(request.number, request);
    }

    /// How a dependency has ended was read, or couldn't be.
    pub(super) fn on_dependency_response(
        &mut self,
        now: Now,
        read: &DependencyRead,
        response: &KvResponse,
        effects: &mut GatewayEffects,
    ) {
        let lookup = read_final(response);
        if let Some(JobLookup::Ended(record)) = &lookup {
            self.memory
                .set_ended(&read.dependency, record.state, record.tasks);
        }
        let Some(mut request) = self.requests.remove(&read.request) else {
            return;
        };
        match lookup {
            None => self.reply_unavailable(&request, effects),
            // It had no record when all were read, and is not over: it was never accepted.
            // A submission that was itself accepted before gets its answer all the same.
            Some(JobLookup::Absent) if request.depends_on(&read.dependency) => {
                let reason = format!("attend: no such job {}", read.dependency);
                request.kind = RequestKind::Reject(Reply::error(422, &reason));
                self.read(now, request, RequestStep::ReadFinal, effects);
            }
            Some(_) => {
                self.requests.insert(read.request, request);
                if !self.has_dependency_reads(read.request) {
                    self.resumable_requests.push(read.request);
                }
            }
        }
    }

    /// Whether the request waits for further reads of its dependencies.
    fn has_dependency_reads(&self, request: RequestNumber) -> bool {
        self.dependency_reads
            .values()
            .any(|read| read.request == request)
    }

    /// Continues the requests whose dependencies have all been read.
    pub fn resume_after_dependency_reads(
        &mut self,
        now: Now,
        records: &Cancellations,
        effects: &mut GatewayEffects,
    ) {
        for number in std::mem::take(&mut self.resumable_requests) {
            if let Some(request) = self.requests.remove(&number) {
                self.evaluate(now, request, records, effects);
            }
        }
    }
}
