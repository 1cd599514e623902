//! The evaluation of a group: from the observed state of its parts to its new state
//! and the actions to take.

use super::{GroupAction, GroupEvent, GroupState, GroupTiming, ReplicaGroup, StopCause};
use super::{Outage, Reservation};
use crate::observation::{MachineHealth, Part, PartState, Summary};
use crate::record::PartTarget;
use lilacfork_common::ids::Attempt;

/// Whether the machines that a group migrates to still accept its parts.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum MigrationTargets {
    /// All of them do.
    Open,
    /// One of them doesn't, or the group doesn't migrate.
    Closed,
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
    /// Evaluates the group by its parts, and returns the actions to take. `targets`
    /// is about the machines of its migration, if it has one.
    pub fn observe(
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
            self.observe_unbound(&mut evaluation);
        } else if summary.is_broken() || (self.must_stop && summary.leaving > 0) {
            self.stop_generation(&mut evaluation);
        } else {
            self.generation_broken = false;
            self.observe_bound(&mut evaluation);
        }
        if self.state != GroupState::Serving {
            self.serving_since_ms = None;
        }
        evaluation.actions
    }

    /// All parts have completed.
    fn finish(&mut self) {
        self.state = GroupState::Finished;
        self.reservation = None;
        self.migration = None;
    }

    /// No part is on a machine.
    fn observe_unbound(&mut self, evaluation: &mut Evaluation) {
        self.state = GroupState::Pending;
        self.generation_broken = false;
        self.must_stop = false;
        self.success_recorded = false;
        self.continue_unbound_migration(evaluation);
    }

    /// The generation can't become whole again: the parts that are left of it are
    /// stopped.
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

    /// Begins the outage of a group that was in service, and reserves the machines
    /// that are left for its next generation. Neither is done for a generation that
    /// was stopped for other work: that work needs the capacity.
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

    /// All parts of one generation are bound to machines that haven't been declared
    /// failed.
    fn observe_bound(&mut self, evaluation: &mut Evaluation) {
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
            if self.serves() {
                evaluation.actions.push(GroupAction::PlanMigration);
            } else {
                self.must_stop = true;
                self.stop_generation(evaluation);
            }
        }
    }

    /// Every part runs.
    fn record_serving(&mut self, evaluation: &mut Evaluation) {
        let now_ms = evaluation.now_ms;
        self.state = GroupState::Serving;
        if let Some(outage) = self.outage.take() {
            let same_generation = outage.generation == evaluation.summary.generation;
            evaluation.emit(if same_generation {
                GroupEvent::Interrupted
            } else {
                let took_ms = now_ms.saturating_sub(outage.since_ms);
                GroupEvent::Repaired { took_ms }
            });
        }
        let since_ms = *self.serving_since_ms.get_or_insert(now_ms);
        if !self.success_recorded && now_ms > since_ms + evaluation.timing.settled_ms {
            self.success_recorded = true;
            self.circuit_breaker.record_success();
            evaluation.actions.push(GroupAction::RecordSuccess);
        }
    }

    /// Whether it was serving or degraded at the last evaluation.
    fn was_in_service(&self) -> bool {
        matches!(self.state, GroupState::Serving | GroupState::Degraded)
    }

    fn begin_outage(&mut self, now_ms: u64, generation: Option<Attempt>) {
        self.outage.get_or_insert(Outage {
            since_ms: now_ms,
            generation,
        });
    }
}

/// The tasks of parts that may be on machines and aren't being stopped.
pub(super) fn unstopped_parts(parts: &[Part]) -> Vec<u32> {
    let unstopped = parts.iter().filter(|part| match &part.state {
        PartState::Bound(binding) => !binding.stopping,
        PartState::Completed | PartState::Waiting => false,
    });
    unstopped.map(|part| part.task).collect()
}

/// The parts whose machines report and stay, each with its machine.
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
