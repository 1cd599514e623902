//! Jobs with dependencies: decides whether a submission may name its dependencies, and
//! whether an unfinished job is cancelled because one of its dependencies is.

use super::job_lookup::{parse_final_record, JobLookup};
use super::pending_request::{PendingRequest, RequestKind, RequestNumber, RequestStep};
use super::{Gateway, GatewayEffects, MAX_RETRIES};
use crate::cancellations::{Cancellations, RecordStatus};
use crate::ids::JobId;
use crate::kv_client::KvResponse;
use crate::messages::{Now, Reply};
use crate::records::jobs::FinalState;
use lilacfork_dependencies::status::{dependency_status, DependencyState, DependencyStatus};

/// A read of a dependency's final record.
#[derive(Debug)]
pub(super) struct DependencyRead {
    /// The request that waits for the read.
    request: RequestNumber,
    dependency: JobId,
}

impl Gateway {
    /// Returns the state of a dependency according to the job memory and the records.
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

    /// Continues a request whose job has a record that shows no cancellation.
    pub(super) fn continue_unfinished(
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

    /// Continues a submission with dependencies. The records, which were read after the
    /// submission arrived, show whether the dependencies were accepted, and their state.
    pub(super) fn continue_submission(
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
        // Every dependency must have been accepted, so all of them are read even if one is
        // known to be cancelled.
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

    /// Processes the response to the read of a dependency's final record.
    pub(super) fn on_dependency_response(
        &mut self,
        now: Now,
        read: &DependencyRead,
        response: &KvResponse,
        effects: &mut GatewayEffects,
    ) {
        let lookup = parse_final_record(response);
        if let Some(JobLookup::Ended(record)) = &lookup {
            self.memory
                .set_ended(&read.dependency, record.state, record.tasks);
        }
        let Some(mut request) = self.requests.remove(&read.request) else {
            return;
        };
        match lookup {
            None => self.reply_unavailable(&request, effects),
            // The dependency had no record when all records were read, and it has no final
            // record: it was never accepted. The rejection doesn't apply if the submission
            // itself is a retry of one that was accepted.
            Some(JobLookup::Absent) if request.depends_on(&read.dependency) => {
                let reason = format!("attend: no such job {}", read.dependency);
                request.kind = RequestKind::Reject(Reply::error(422, &reason));
                self.read(now, request, RequestStep::ReadFinalRecord, effects);
            }
            Some(_) => {
                self.requests.insert(read.request, request);
                if !self.has_dependency_reads(read.request) {
                    self.resumable_requests.push(read.request);
                }
            }
        }
    }

    /// Returns whether the request waits for further reads of its dependencies.
    fn has_dependency_reads(&self, request: RequestNumber) -> bool {
        self.dependency_reads
            .values()
            .any(|read| read.request == request)
    }

    /// Continues the requests for which the reads of all dependencies have completed.
    pub fn resume_after_dependency_reads(
        &mut self,
        now: Now,
        records: &Cancellations,
        effects: &mut GatewayEffects,
    ) {
        for number in std::mem::take(&mut self.resumable_requests) {
            if let Some(request) = self.requests.remove(&number) {
                self.continue_with_records(now, request, records, effects);
            }
        }
    }
}
