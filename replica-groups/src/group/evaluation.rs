//! The evaluation of a group: derives its new state and the actions to take from the
//! observed state of its parts.

use super::{GroupAction, GroupEvent, GroupState, GroupTiming, ReplicaGroup, StopCause};
use super::{Outage, Reservation};
use crate::observation::{MachineHealth, Part, PartState, Summary};
use crate::record::PartTarget;
use lilacfork_common::ids::Attempt;

/// Whether the target machines of a group's migration accept its parts.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum MigrationTargets {
    /// All target machines accept tasks.
    Available,
    /// At least one target machine doesn't accept tasks, or the group isn't migrating.
    Unavailable,
}

/// The inputs of one evaluation, and the actions collected so far.
pub(super) struct Evaluation<'a> {
    pub(super) now_ms: u64,
    pub(super) timing: &'a GroupTiming,
    pub(super) parts: &'a [Part],
    pub(super) summary: Summary,
    pub(super) targets: MigrationTargets,
    pub(super) actions: Vec<GroupAction>,
}

impl Evaluation<'_> {
    pub(super) fn emit(&mut self, event: GroupEvent) {
        self.actions.push(GroupAction::Emit(event));
    }
}

impl ReplicaGroup {
    /// Updates the group's state from the observed state of its parts, and returns the
    /// actions to take. `targets` applies to the group's migration, if there is one.
    pub fn evaluate(
        &mut self,
        now_ms: u64,
        timing: &GroupTiming,
        parts: &[Part],
        targets: MigrationTargets,
    ) -> Vec<GroupAction> {
        let mut evaluation = Evaluation {
            now_ms,
            timing,
            parts,
            summary: Summary::of(parts),
            targets,
            actions: Vec::new(),
        };
        let summary = &evaluation.summary;
        if summary.live == 0 {
            self.finish();
        } else if summary.bound == 0 {
            self.evaluate_unbound(&mut evaluation);
        } else if summary.is_broken() || (self.must_stop && summary.leaving > 0) {
            self.stop_generation(&mut evaluation);
        } else {
            self.generation_broken = false;
            self.evaluate_bound(&mut evaluation);
        }
        if self.state != GroupState::Serving {
            self.serving_since_ms = None;
        }
        evaluation.actions
    }

    /// Handles a group all of whose parts have completed.
    fn finish(&mut self) {
        self.state = GroupState::Finished;
        self.reservation = None;
        self.migration = None;
    }

    /// Evaluates a group none of whose parts is bound to a machine.
    fn evaluate_unbound(&mut self, evaluation: &mut Evaluation) {
        self.state = GroupState::Pending;
        self.generation_broken = false;
        self.must_stop = false;
        self.success_recorded = false;
        self.continue_unbound_migration(evaluation);
    }

    /// Stops the remaining parts of a generation that can't become complete again or must
    /// leave its machines.
    fn stop_generation(&mut self, evaluation: &mut Evaluation) {
        let stopped_by_others = evaluation.summary.stopping > 0;
        if !self.generation_broken {
            self.generation_broken = true;
            self.interrupt_migration(evaluation);
            if !stopped_by_others {
                self.record_broken_generation(evaluation);
            }
        }
        let remaining = unstopped_parts(evaluation.parts);
        if remaining.is_empty() {
            self.state = GroupState::Stopping;
            return;
        }
        let cause = if stopped_by_others {
            StopCause::PartStopped
        } else if self.must_stop && !evaluation.summary.is_broken() {
            StopCause::MachineLeaving
        } else {
            StopCause::PartLost
        };
        self.state = GroupState::Degraded;
        evaluation.actions.push(GroupAction::Stop {
            parts: remaining,
            cause,
        });
    }

    /// Starts the outage of a group that was in service, and reserves its healthy machines
    /// for the next generation unless a migration already reserves others. The caller skips
    /// this step for a generation that was stopped in favour of other work, because that work
    /// needs the capacity.
    fn record_broken_generation(&mut self, evaluation: &Evaluation) {
        if self.was_in_service() {
            self.begin_outage(evaluation.now_ms, evaluation.summary.generation);
        }
        if self.migration.is_none() {
            self.reservation = Some(Reservation {
                targets: parts_on_healthy_machines(evaluation.parts),
                expires_ms: evaluation.now_ms + evaluation.timing.reservation_ms,
            });
        }
    }

    /// Evaluates a group whose parts all belong to one generation and are all bound to
    /// machines that haven't been declared failed.
    fn evaluate_bound(&mut self, evaluation: &mut Evaluation) {
        if evaluation.summary.is_complete() {
            self.record_serving(evaluation);
        } else if self.was_in_service() {
            self.state = GroupState::Degraded;
            self.begin_outage(evaluation.now_ms, evaluation.summary.generation);
        } else {
            self.state = GroupState::Starting;
        }
        if self.migration.is_some() {
            self.advance_migration(evaluation);
        } else if evaluation.summary.leaving > 0 {
            if self.is_serving() {
                evaluation.actions.push(GroupAction::PlanMigration);
            } else {
                self.must_stop = true;
                self.stop_generation(evaluation);
            }
        }
    }

    /// Marks the group as serving, ends its outage, and counts a success once it has served
    /// for long enough.
    fn record_serving(&mut self, evaluation: &mut Evaluation) {
        let now_ms = evaluation.now_ms;
        self.state = GroupState::Serving;
        if let Some(outage) = self.outage.take() {
            let same_generation = outage.generation == evaluation.summary.generation;
            evaluation.emit(if same_generation {
                GroupEvent::InterruptionEnded
            } else {
                let took_ms = now_ms.saturating_sub(outage.started_ms);
                GroupEvent::Repaired { took_ms }
            });
        }
        let since_ms = *self.serving_since_ms.get_or_insert(now_ms);
        if !self.success_recorded && now_ms > since_ms + evaluation.timing.success_after_ms {
            self.success_recorded = true;
            self.circuit_breaker.record_success();
            evaluation.actions.push(GroupAction::RecordSuccess);
        }
    }

    /// Returns whether the group was serving or degraded at the last evaluation.
    fn was_in_service(&self) -> bool {
        matches!(self.state, GroupState::Serving | GroupState::Degraded)
    }

    fn begin_outage(&mut self, now_ms: u64, generation: Option<Attempt>) {
        self.outage.get_or_insert(Outage {
            started_ms: now_ms,
            generation,
        });
    }
}

/// Returns the tasks of the bound parts that aren't being stopped.
pub(super) fn unstopped_parts(parts: &[Part]) -> Vec<u32> {
    let unstopped = parts.iter().filter(|part| match &part.state {
        PartState::Bound(binding) => !binding.stopping,
        PartState::Completed | PartState::Waiting => false,
    });
    unstopped.map(|part| part.task).collect()
}

/// Returns the parts on machines that send heartbeats and aren't leaving, each with its
/// machine.
fn parts_on_healthy_machines(parts: &[Part]) -> Vec<PartTarget> {
    let targets = parts.iter().filter_map(|part| match &part.state {
        PartState::Bound(binding) if binding.health == MachineHealth::Reporting => {
            Some(PartTarget {
                task: part.task,
                machine: binding.machine.clone(),
            })
        }
        _ => None,
    });
    targets.collect()
}
