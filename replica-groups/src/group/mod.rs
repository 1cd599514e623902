//! The state machine of one replica group.
//!
//! The scheduler evaluates a whole group each time that one of its inputs may have
//! changed. An evaluation takes the observed state of all parts and returns the actions
//! to take. The group's state is derived from its parts, so a missed or duplicated event
//! is harmless.

mod action;
mod evaluation;
mod migrating;
mod state;

pub use action::{GroupAction, GroupEvent, StopCause};
pub use evaluation::MigrationTargets;
pub use state::{GroupState, GroupTiming};

use crate::migration::{Migration, MigrationStage};
use crate::record::{GroupRecord, MigrationIntent, PartTarget};
use crate::shape::ReplicaIndex;
use lilacfork_common::faults::CircuitBreaker;
use lilacfork_common::ids::{Attempt, MachineId};

/// A period in which a group that was serving doesn't serve.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct Outage {
    started_ms: u64,
    /// The generation that was serving. `None` if the outage began with bound parts of
    /// several generations.
    generation: Option<Attempt>,
}

/// Capacity that is reserved for a group's next generation.
#[derive(Clone, PartialEq, Eq, Debug)]
struct Reservation {
    targets: Vec<PartTarget>,
    expires_ms: u64,
}

/// The life cycle of one replica group.
#[derive(Debug)]
pub struct ReplicaGroup {
    replica: ReplicaIndex,
    state: GroupState,
    /// Time of the evaluation since which the group has served without interruption.
    serving_since_ms: Option<u64>,
    /// Whether the current generation has been counted as a success.
    success_recorded: bool,
    outage: Option<Outage>,
    /// Whether the current generation is broken and its first evaluation as a broken one
    /// is done.
    generation_broken: bool,
    /// Whether the group has to stop when a machine is leaving, because it isn't serving or
    /// there is no capacity to migrate to.
    must_stop: bool,
    reservation: Option<Reservation>,
    migration: Option<Migration>,
    circuit_breaker: CircuitBreaker,
    /// The generation of the part that failed last.
    last_failed_generation: Option<Attempt>,
}

impl ReplicaGroup {
    /// Creates a group that hasn't been evaluated yet. Its state is pending.
    pub fn new(replica: ReplicaIndex) -> ReplicaGroup {
        ReplicaGroup {
            replica,
            state: GroupState::Pending,
            serving_since_ms: None,
            success_recorded: false,
            outage: None,
            generation_broken: false,
            must_stop: false,
            reservation: None,
            migration: None,
            circuit_breaker: CircuitBreaker::default(),
            last_failed_generation: None,
        }
    }

    /// Returns the index of the group's replica in its job.
    pub fn replica(&self) -> ReplicaIndex {
        self.replica
    }

    /// Returns the group's state as of the last evaluation.
    pub fn state(&self) -> GroupState {
        self.state
    }

    /// Returns whether the group was serving at the last evaluation.
    pub fn is_serving(&self) -> bool {
        self.state == GroupState::Serving
    }

    /// Returns the migration in progress, if there is one.
    pub fn migration(&self) -> Option<&Migration> {
        self.migration.as_ref()
    }

    /// Returns the circuit breaker that limits restarts after the group's failures.
    pub fn circuit_breaker(&self) -> &CircuitBreaker {
        &self.circuit_breaker
    }

    /// Returns whether the group waits for capacity and its circuit breaker allows an attempt
    /// now.
    pub fn awaits_placement(&self, now_ms: u64) -> bool {
        self.state == GroupState::Pending && self.circuit_breaker.allows_attempt(now_ms)
    }

    /// Returns the machines on which capacity is reserved for the next generation. Empty if
    /// there is no reservation or the reservation has expired.
    pub fn reserved_targets(&self, now_ms: u64) -> &[PartTarget] {
        let migration = self.migration.as_ref();
        if let Some(migration) = migration.filter(|m| now_ms < m.reserved_until_ms) {
            return &migration.intent.targets;
        }
        let reservation = self.reservation.as_ref();
        let valid = reservation.filter(|reservation| now_ms < reservation.expires_ms);
        valid.map_or(&[], |reservation| &reservation.targets)
    }

    /// Records that all parts were bound to machines, and ends the reservation. Returns an
    /// event if this completes a migration.
    pub fn record_parts_bound(&mut self) -> Option<GroupEvent> {
        self.reservation = None;
        self.migration.take().map(|_| GroupEvent::Migrated)
    }

    /// Starts a migration for which capacity was found. No part is stopped before
    /// [`Self::mark_intent_stored`] confirms that the intent is stored.
    pub fn begin_migration(&mut self, now_ms: u64, timing: &GroupTiming, intent: MigrationIntent) {
        self.migration = Some(Migration {
            intent,
            stage: MigrationStage::Planned,
            inherited: false,
            reserved_until_ms: now_ms + timing.reservation_ms,
        });
    }

    /// Records that there is no capacity to migrate to. The next evaluation stops the group
    /// if one of its machines is still leaving.
    pub fn mark_migration_infeasible(&mut self) {
        self.must_stop = true;
    }

    /// Records that the intent is stored. An intent other than that of the planned migration
    /// is ignored.
    pub fn mark_intent_stored(&mut self, intent: &MigrationIntent) {
        let is_planned = |migration: &&mut Migration| {
            migration.stage == MigrationStage::Planned && migration.intent == *intent
        };
        if let Some(migration) = self.migration.as_mut().filter(is_planned) {
            migration.stage = MigrationStage::Stored;
        }
    }

    /// Records that a part failed on its own, and returns whether this failure opened the circuit
    /// breaker. A generation counts as one probe, however many of its parts fail.
    pub fn record_part_failure(
        &mut self,
        now_ms: u64,
        generation: Attempt,
        machine: &MachineId,
        timing: &GroupTiming,
    ) -> bool {
        let was_open = self.circuit_breaker.is_open();
        let is_first = self.last_failed_generation != Some(generation);
        self.last_failed_generation = Some(generation);
        self.circuit_breaker
            .record_failure(now_ms, machine, is_first, timing.heartbeat_ms);
        self.circuit_breaker.is_open() && !was_open
    }

    /// Records that another job succeeded on a machine on which the group had failed. Returns
    /// whether this opened the circuit breaker.
    pub fn record_contradiction(&mut self) -> bool {
        self.circuit_breaker.record_contradiction()
    }

    /// Postpones the next placement of the group until `at_ms`, because a machine rejected
    /// the start of a part.
    pub fn defer_until(&mut self, at_ms: u64) {
        self.circuit_breaker.defer_until(at_ms);
    }

    /// Restores the circuit breaker and the migration from an earlier leader's record.
    pub fn restore(&mut self, now_ms: u64, timing: &GroupTiming, record: GroupRecord) {
        self.circuit_breaker.restore(record.circuit_breaker);
        self.migration = record.intent.map(|intent| Migration {
            intent,
            stage: MigrationStage::Stored,
            inherited: true,
            reserved_until_ms: now_ms + timing.reservation_ms,
        });
    }

    /// Returns the group's entry for the placement record. `None` if the circuit breaker is
    /// closed and there is no migration.
    pub fn to_record(&self) -> Option<GroupRecord> {
        let circuit_breaker = self.circuit_breaker.to_record();
        let migration = self.migration.as_ref();
        let intent = migration.map(|migration| migration.intent.clone());
        (circuit_breaker > 0 || intent.is_some()).then_some(GroupRecord {
            replica: self.replica.0,
            circuit_breaker,
            intent,
        })
    }
}
