//! One replica group: its state machine.
//!
//! A group is evaluated as a whole each time that something about it may have
//! changed: the observed state of its parts goes in, and the actions to take come
//! out. Because the state is derived from the parts, an event that is missed or
//! seen twice does no harm.

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

/// The time since which a group that had served hasn't been whole.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct Outage {
    since_ms: u64,
    /// The generation that served.
    generation: Option<Attempt>,
}

/// Capacity that is reserved for the next generation.
#[derive(Clone, PartialEq, Eq, Debug)]
struct Reservation {
    targets: Vec<PartTarget>,
    expires_ms: u64,
}

/// One replica group.
#[derive(Debug)]
pub struct ReplicaGroup {
    replica: ReplicaIndex,
    state: GroupState,
    /// Since when it has served without interruption.
    serving_since_ms: Option<u64>,
    /// This generation has been counted as a success.
    success_recorded: bool,
    outage: Option<Outage>,
    /// The current generation can't become whole again, and this has been handled.
    generation_broken: bool,
    /// One of its machines is leaving and there is no capacity to migrate to.
    must_stop: bool,
    reservation: Option<Reservation>,
    migration: Option<Migration>,
    circuit_breaker: CircuitBreaker,
    /// The generation whose failure was counted last.
    failed_generation: Option<Attempt>,
}

impl ReplicaGroup {
    /// A group of whose parts nothing is known yet.
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
            failed_generation: None,
        }
    }

    /// Which replica of its job it is.
    pub fn replica(&self) -> ReplicaIndex {
        self.replica
    }

    /// Its state, as of the last evaluation.
    pub fn state(&self) -> GroupState {
        self.state
    }

    /// Whether it serves, as of the last evaluation.
    pub fn serves(&self) -> bool {
        self.state == GroupState::Serving
    }

    /// Its migration, if one is under way.
    pub fn migration(&self) -> Option<&Migration> {
        self.migration.as_ref()
    }

    /// Its circuit breaker.
    pub fn circuit_breaker(&self) -> &CircuitBreaker {
        &self.circuit_breaker
    }

    /// Whether it waits for capacity, and its circuit breaker lets it start now.
    pub fn awaits_placement(&self, now_ms: u64) -> bool {
        self.state == GroupState::Pending && self.circuit_breaker.allows_attempt(now_ms)
    }

    /// Where capacity is reserved for its next generation.
    pub fn reserved_targets(&self, now_ms: u64) -> &[PartTarget] {
        let migration = self.migration.as_ref();
        if let Some(migration) = migration.filter(|m| now_ms < m.reserved_until_ms) {
            return &migration.intent.targets;
        }
        let reservation = self.reservation.as_ref();
        let valid = reservation.filter(|reservation| now_ms < reservation.expires_ms);
        valid.map_or(&[], |reservation| &reservation.targets)
    }

    /// All its parts were bound to machines.
    pub fn parts_bound(&mut self) -> Option<GroupEvent> {
        self.reservation = None;
        self.migration.take().map(|_| GroupEvent::Migrated)
    }

    /// Capacity for a migration was found. The intent has to be stored before the
    /// first step.
    pub fn begin_migration(&mut self, now_ms: u64, timing: &GroupTiming, intent: MigrationIntent) {
        self.migration = Some(Migration {
            intent,
            stage: MigrationStage::Planned,
            inherited: false,
            reserved_until_ms: now_ms + timing.reservation_ms,
        });
    }

    /// There is no capacity to migrate to.
    pub fn migration_infeasible(&mut self) {
        self.must_stop = true;
    }

    /// The record with this intent is stored.
    pub fn intent_stored(&mut self, intent: &MigrationIntent) {
        let is_planned = |migration: &&mut Migration| {
            migration.stage == MigrationStage::Planned && migration.intent == *intent
        };
        if let Some(migration) = self.migration.as_mut().filter(is_planned) {
            migration.stage = MigrationStage::Stored;
        }
    }

    /// A part failed by itself. Returns whether this has opened the circuit breaker.
    /// A generation counts as one probe, however many of its parts fail.
    pub fn part_failed(
        &mut self,
        now_ms: u64,
        generation: Attempt,
        machine: &MachineId,
        timing: &GroupTiming,
    ) -> bool {
        let was_open = self.circuit_breaker.is_open();
        let is_first = self.failed_generation != Some(generation);
        self.failed_generation = Some(generation);
        self.circuit_breaker
            .record_failure(now_ms, machine, is_first, timing.heartbeat_ms);
        self.circuit_breaker.is_open() && !was_open
    }

    /// The start of a part was rejected: the group isn't placed before then.
    pub fn defer_until(&mut self, at_ms: u64) {
        self.circuit_breaker.defer_until(at_ms);
    }

    /// Takes over what an earlier leader stored.
    pub fn restore(&mut self, now_ms: u64, timing: &GroupTiming, record: GroupRecord) {
        self.circuit_breaker.restore(record.failures);
        self.migration = record.intent.map(|intent| Migration {
            intent,
            stage: MigrationStage::Stored,
            inherited: true,
            reserved_until_ms: now_ms + timing.reservation_ms,
        });
    }

    /// What has to be stored beside the bindings, if anything.
    pub fn to_record(&self) -> Option<GroupRecord> {
        let failures = self.circuit_breaker.to_record();
        let migration = self.migration.as_ref();
        let intent = migration.map(|migration| migration.intent.clone());
        (failures > 0 || intent.is_some()).then_some(GroupRecord {
            replica: self.replica.0,
            failures,
            intent,
        })
    }
}
