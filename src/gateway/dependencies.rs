//! Jobs with dependencies: decides whether a submission may name its dependencies, and
//! whether an unfinished job is cancelled because one of its dependencies is.

use super::dependency_reads::DependencyRead;
use super::job_lookup::{parse_final_record, JobLookup};
use super::pending_request::{PendingRequest, RequestKind, RequestNumber, RequestStep};
use super::{Gateway, GatewayEffects, MAX_RETRIES};
use crate::cancellations::Cancellations;
use crate::ids::JobId;
use crate::kv_client::KvResponse;
use crate::messages::{Now, Reply};
use crate::records::jobs::FinalState;
use lilacfork_dependencies::status::{DependencyState, DependencyStatus, Outcome};

/// The maximum number of reads in flight for dependencies of stored jobs.
const MAX_STORED_DEPENDENCY_READS: usize = 32;

/// What a read of a dependency's final record has shown.
#[derive(Debug)]
pub(super) struct DependencyOutcome {
    dependency: JobId,
    /// How the dependency ended; `None` if the record couldn't be read.
    outcome: Option<Outcome>,
}

fn outcome_of(state: FinalState) -> Outcome {
    match state {
        FinalState::Done => Outcome::Done,
        FinalState::Cancelled => Outcome::Cancelled,
    }
}

/// The states of a submission's dependencies.
#[derive(Default)]
struct NamedDependencies {
    /// Dependencies that no record in memory shows to be accepted.
    unread: Vec<JobId>,
    any_cancelled: bool,
    any_undetermined: bool,
}

impl Gateway {
    /// Returns the state of a dependency according to the job memory and the records.
    fn dependency_state(&self, dependency: &JobId, records: &Cancellations) -> DependencyState {
        match self.memory.final_state(dependency) {
            Some(FinalState::Done) => DependencyState::Done,
            Some(FinalState::Cancelled) => DependencyState::Cancelled,
            None => records.jobs().state(dependency),
        }
    }

    /// Continues a request whose job has a record that shows no cancellation.
    pub(super) fn continue_unfinished(
        &mut self,
        now: Now,
        request: PendingRequest,
        records: &mut Cancellations,
        effects: &mut GatewayEffects,
    ) {
        let mut status = records.jobs().status(&request.id);
        if status == DependencyStatus::Undetermined {
            self.read_stored_dependencies(now, &request, records, effects);
            status = records.jobs().status(&request.id);
        }
        let lookup = match status {
            DependencyStatus::NotCancelled => JobLookup::Unfinished,
            DependencyStatus::Cancelled => JobLookup::Cancelled,
            DependencyStatus::Undetermined => {
                self.await_outcomes(now, request, effects);
                return;
            }
        };
        self.on_lookup(now, request, lookup, effects);
    }

    /// Queues a request for a later poll, by which the outcomes that it depends on may be
    /// known.
    fn await_outcomes(&mut self, now: Now, request: PendingRequest, effects: &mut GatewayEffects) {
        if now.ms >= request.deadline_ms {
            self.reply_unavailable(&request, effects);
        } else {
            self.await_poll(request, effects);
        }
    }

    /// Reads the outcomes of dependencies that stored jobs name, each once for all requests.
    /// Outcomes in the job memory aren't read.
    fn read_stored_dependencies(
        &mut self,
        now: Now,
        request: &PendingRequest,
        records: &mut Cancellations,
        effects: &mut GatewayEffects,
    ) {
        while self.dependency_reads.len() < MAX_STORED_DEPENDENCY_READS {
            let Some(dependency) = records.jobs_mut().take_unread() else {
                return;
            };
            match self.memory.final_state(&dependency) {
                Some(state) => records.jobs_mut().resolve(&dependency, outcome_of(state)),
                None if self.dependency_reads.find_mut(&dependency).is_some() => {}
                None => self.send_dependency_read(now, request, dependency, Vec::new(), effects),
            }
        }
    }

    /// Continues a submission with dependencies. The records, which were read after the
    /// submission arrived, show whether the dependencies were accepted, and their state.
    pub(super) fn continue_submission(
        &mut self,
        now: Now,
        mut request: PendingRequest,
        records: &mut Cancellations,
        effects: &mut GatewayEffects,
    ) {
        let RequestKind::Submit(submission) = &request.kind else {
            self.reply_unavailable(&request, effects);
            return;
        };
        let named = self.named_dependencies(&submission.spec.dependencies, records);
        if !named.unread.is_empty() {
            self.read_dependencies(now, request, named.unread, effects);
        } else if named.any_undetermined && !named.any_cancelled {
            self.read_stored_dependencies(now, &request, records, effects);
            self.await_outcomes(now, request, effects);
        } else {
            request.cancelled_by_dependency = named.any_cancelled;
            self.accept(now, request, effects);
        }
    }

    /// Returns the states of a submission's dependencies. Every dependency must have been
    /// accepted, so all of them are looked up even if one is known to be cancelled.
    fn named_dependencies(
        &self,
        dependencies: &[JobId],
        records: &Cancellations,
    ) -> NamedDependencies {
        let mut named = NamedDependencies::default();
        for dependency in dependencies {
            match self.dependency_state(dependency, records) {
                DependencyState::Unknown => named.unread.push(dependency.clone()),
                DependencyState::Cancelled => named.any_cancelled = true,
                DependencyState::Unfinished => {
                    let status = records.jobs().status(dependency);
                    named.any_undetermined |= status == DependencyStatus::Undetermined;
                }
                DependencyState::Done => {}
            }
        }
        named
    }

    /// Reads the final records of a submission's dependencies.
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
        request.outstanding_reads = dependencies.len();
        for dependency in dependencies {
            match self.dependency_reads.find_mut(&dependency) {
                Some(read) => read.waiting.push(request.number),
                None => {
                    let waiting = vec![request.number];
                    self.send_dependency_read(now, &request, dependency, waiting, effects);
                }
            }
        }
        self.requests.insert(request.number, request);
    }

    fn send_dependency_read(
        &mut self,
        now: Now,
        request: &PendingRequest,
        dependency: JobId,
        waiting: Vec<RequestNumber>,
        effects: &mut GatewayEffects,
    ) {
        self.last_number += 1;
        let number = self.last_number;
        effects
            .calls
            .push(request.dependency_read_call(now, number, &dependency));
        let read = DependencyRead {
            dependency,
            waiting,
        };
        self.dependency_reads.insert(number, read);
    }

    /// Processes the response to the read of a dependency's final record.
    pub(super) fn on_dependency_response(
        &mut self,
        now: Now,
        read: DependencyRead,
        response: &KvResponse,
        effects: &mut GatewayEffects,
    ) {
        let lookup = parse_final_record(response);
        let mut outcome = None;
        if let Some(JobLookup::Ended(record)) = &lookup {
            self.memory
                .set_ended(&read.dependency, record.state, record.tasks);
            outcome = Some(outcome_of(record.state));
        }
        for number in &read.waiting {
            self.on_dependency_looked_up(now, *number, &read.dependency, lookup.as_ref(), effects);
        }
        self.dependency_outcomes.push(DependencyOutcome {
            dependency: read.dependency,
            outcome,
        });
    }

    /// Continues a submission after one of the reads that it waits for.
    fn on_dependency_looked_up(
        &mut self,
        now: Now,
        number: RequestNumber,
        dependency: &JobId,
        lookup: Option<&JobLookup>,
        effects: &mut GatewayEffects,
    ) {
        let Some(mut request) = self.requests.remove(&number) else {
            return;
        };
        if request.step != RequestStep::ReadDependencies {
            // The request was rejected after another read and waits for its own record.
            self.requests.insert(number, request);
            return;
        }
        match lookup {
            None => self.reply_unavailable(&request, effects),
            // The dependency had no record when all records were read, and it has no final
            // record: it was never accepted. The rejection doesn't apply if the submission
            // itself is a retry of one that was accepted.
            Some(JobLookup::Absent) if request.depends_on(dependency) => {
                let reason = format!("attend: no such job {dependency}");
                request.kind = RequestKind::Reject(Reply::error(422, &reason));
                self.read(now, request, RequestStep::ReadFinalRecord, effects);
            }
            Some(_) => {
                request.outstanding_reads = request.outstanding_reads.saturating_sub(1);
                if request.outstanding_reads == 0 {
                    self.resumable_requests.push(number);
                }
                self.requests.insert(number, request);
            }
        }
    }

    /// Applies the outcomes that were read, and continues the requests for which the reads
    /// of all dependencies have completed.
    pub fn resume_after_dependency_reads(
        &mut self,
        now: Now,
        records: &mut Cancellations,
        effects: &mut GatewayEffects,
    ) {
        for read in std::mem::take(&mut self.dependency_outcomes) {
            match read.outcome {
                Some(outcome) => records.jobs_mut().resolve(&read.dependency, outcome),
                None => records.jobs_mut().return_unread(&read.dependency),
            }
        }
        for number in std::mem::take(&mut self.resumable_requests) {
            if let Some(request) = self.requests.remove(&number) {
                self.continue_with_records(now, request, records, effects);
            }
        }
    }
}
