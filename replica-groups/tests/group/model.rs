//! A minimal model of a scheduler, its machines and a key-value store that drives one group.

use crate::fixtures::{machine, TIMING};
use crate::random_interleavings::Event;
use lilacfork_common::ids::{Attempt, MachineId};
use lilacfork_replica_groups::group::{
    GroupAction, GroupState, MigrationTargets, ReplicaGroup, StopCause,
};
use lilacfork_replica_groups::observation::{
    Binding, MachineHealth, Part, PartActivity, PartState,
};
use lilacfork_replica_groups::record::{GroupRecord, MigrationIntent, PartTarget};
use lilacfork_replica_groups::shape::ReplicaIndex;
use proptest::prelude::*;

/// Number of parts of the group.
pub const PARTS: usize = 3;
/// Number of machines.
pub const MACHINES: u32 = 6;

/// The state of the scheduler, the machines and the key-value store.
pub struct Model {
    now_ms: u64,
    pub group: ReplicaGroup,
    /// The scheduler's binding of each part. `None` if the part isn't bound.
    pub parts: Vec<Option<Binding>>,
    /// The health of each machine, by index.
    health: Vec<MachineHealth>,
    /// The intent in the key-value store.
    stored_intent: Option<MigrationIntent>,
    last_generation: u64,
    /// Whether a migration has stopped parts before its intent was stored.
    stopped_before_stored: bool,
}

impl Model {
    pub fn new() -> Model {
        Model {
            now_ms: 0,
            group: ReplicaGroup::new(ReplicaIndex(0)),
            parts: vec![None; PARTS],
            health: vec![MachineHealth::Reporting; MACHINES as usize],
            stored_intent: None,
            last_generation: 0,
            stopped_before_stored: false,
        }
    }

    /// Returns the parts as input for an evaluation of the group.
    fn observed_parts(&self) -> Vec<Part> {
        let part = |(task, binding): (usize, &Option<Binding>)| Part {
            task: task as u32,
            state: match binding {
                None => PartState::Waiting,
                Some(binding) => PartState::Bound(Binding {
                    health: self.health_of(&binding.machine),
                    ..binding.clone()
                }),
            },
        };
        self.parts.iter().enumerate().map(part).collect()
    }

    fn health_of(&self, machine: &MachineId) -> MachineHealth {
        self.health[index_of(machine)]
    }

    fn bindings(&self) -> impl Iterator<Item = &Binding> {
        self.parts.iter().flatten()
    }

    /// Returns the healthy machines without a part.
    fn free_machines(&self) -> Vec<u32> {
        let is_healthy = |index: &u32| self.health[*index as usize] == MachineHealth::Reporting;
        let is_used = |index: &u32| {
            self.bindings()
                .any(|b| index_of(&b.machine) == *index as usize)
        };
        (0..MACHINES)
            .filter(|index| is_healthy(index) && !is_used(index))
            .collect()
    }

    /// Evaluates the group until it returns no action that requires another evaluation. Fails
    /// after 10 evaluations.
    fn evaluate(&mut self) -> Result<(), TestCaseError> {
        for _ in 0..10 {
            let parts = self.observed_parts();
            let targets = self.migration_targets();
            let actions = self.group.evaluate(self.now_ms, &TIMING, &parts, targets);
            self.check_invariants()?;
            let mut reevaluate = false;
            for action in actions {
                reevaluate |= self.perform(action)?;
            }
            if !reevaluate {
                return Ok(());
            }
        }
        Err(TestCaseError::fail(
            "the group still requires another evaluation after 10 evaluations",
        ))
    }

    fn migration_targets(&self) -> MigrationTargets {
        let is_healthy =
            |target: &PartTarget| self.health_of(&target.machine) == MachineHealth::Reporting;
        match self.group.migration() {
            Some(migration) if migration.intent.targets.iter().all(is_healthy) => {
                MigrationTargets::Available
            }
            _ => MigrationTargets::Unavailable,
        }
    }

    /// Performs an action. Returns whether the group has to be evaluated again.
    fn perform(&mut self, action: GroupAction) -> Result<bool, TestCaseError> {
        match action {
            GroupAction::Stop { parts, cause } => {
                prop_assert!(!parts.is_empty());
                let intent = self.group.migration().map(|m| &m.intent);
                self.stopped_before_stored |=
                    cause == StopCause::Migration && self.stored_intent.as_ref() != intent;
                for task in parts {
                    let binding = self.parts[task as usize].as_mut();
                    prop_assert!(binding.is_some(), "the group stops a part that isn't bound");
                    if let Some(binding) = binding {
                        prop_assert!(
                            !binding.stopping,
                            "the group stops a part that is already being stopped"
                        );
                        binding.stopping = true;
                    }
                }
                Ok(true)
            }
            GroupAction::PlanMigration => {
                match self.plan_migration() {
                    Some(intent) => self.group.begin_migration(self.now_ms, &TIMING, intent),
                    None => self.group.mark_migration_infeasible(),
                }
                Ok(true)
            }
            GroupAction::Persist | GroupAction::RecordSuccess | GroupAction::Emit(_) => Ok(false),
        }
    }

    /// Returns targets for all parts. Parts on healthy machines stay there. `None` if there
    /// aren't enough free machines.
    fn plan_migration(&self) -> Option<MigrationIntent> {
        let mut free = self.free_machines().into_iter();
        let mut targets = Vec::new();
        for (task, binding) in self.parts.iter().enumerate() {
            let binding = binding.as_ref()?;
            let stays = self.health_of(&binding.machine) == MachineHealth::Reporting;
            targets.push(PartTarget {
                task: task as u32,
                machine: if stays {
                    binding.machine.clone()
                } else {
                    machine(free.next()?)
                },
            });
        }
        Some(MigrationIntent {
            generation: self.parts[0].as_ref()?.generation,
            targets,
        })
    }

    /// Checks the invariants that must hold after every evaluation.
    fn check_invariants(&self) -> Result<(), TestCaseError> {
        let all_bound = self.bindings().count() == PARTS;
        let same_generation =
            |binding: &Binding| self.bindings().all(|b| b.generation == binding.generation);
        let is_serving = |binding: &Binding| {
            let reporting = matches!(
                self.health_of(&binding.machine),
                MachineHealth::Reporting | MachineHealth::Leaving
            );
            let running = binding.activity == PartActivity::Running && !binding.stopping;
            reporting && running && same_generation(binding)
        };
        if self.group.is_serving() {
            prop_assert!(
                all_bound && self.bindings().all(is_serving),
                "{:?}",
                self.parts
            );
        }
        let none_bound = self.parts.iter().all(Option::is_none);
        prop_assert_eq!(self.group.state() == GroupState::Pending, none_bound);
        prop_assert!(!self.group.awaits_placement(self.now_ms) || none_bound);
        prop_assert!(
            !self.stopped_before_stored,
            "a migration stopped parts before its intent was stored"
        );
        Ok(())
    }

    /// Checks that all remaining parts of a broken generation are being stopped once
    /// evaluation has ended.
    fn check_broken_generation_stops(&self) -> Result<(), TestCaseError> {
        let bound: Vec<&Binding> = self.bindings().collect();
        let broken = !bound.is_empty()
            && (bound.len() < PARTS
                || bound
                    .iter()
                    .any(|b| b.generation != bound[0].generation || b.stopping)
                || bound
                    .iter()
                    .any(|b| self.health_of(&b.machine) == MachineHealth::Lost));
        if broken {
            prop_assert!(
                bound.iter().all(|b| b.stopping),
                "parts of a broken generation aren't being stopped: {:?}",
                bound
            );
        }
        Ok(())
    }

    /// Applies an event, and evaluates the group.
    pub fn step(&mut self, event: &Event) -> Result<(), TestCaseError> {
        match event {
            Event::TimePasses(ms) => self.now_ms += ms,
            Event::Heartbeat(part) => self.receive_heartbeat(*part),
            Event::HeartbeatsStop(index) => self.change_health(
                *index,
                MachineHealth::Reporting,
                MachineHealth::Unresponsive,
            ),
            Event::HeartbeatsResume(index) => self.change_health(
                *index,
                MachineHealth::Unresponsive,
                MachineHealth::Reporting,
            ),
            Event::DeclaredFailed(index) => {
                self.change_health(*index, MachineHealth::Unresponsive, MachineHealth::Lost)
            }
            Event::PreemptionNotice(index) => {
                self.change_health(*index, MachineHealth::Reporting, MachineHealth::Leaving)
            }
            Event::ReleaseConfirmed(index) => self.confirm_release(*index),
            Event::PartFails(part) => self.fail_part(*part),
            Event::PartStopped(part) => {
                let stops = |b: &Binding| {
                    let health = self.health_of(&b.machine);
                    b.stopping
                        && matches!(health, MachineHealth::Reporting | MachineHealth::Leaving)
                };
                if self.parts[*part].as_ref().is_some_and(stops) {
                    self.parts[*part] = None;
                }
            }
            Event::PartPreempted(part) => {
                if let Some(binding) = &mut self.parts[*part] {
                    binding.stopping = true;
                }
            }
            Event::RecordStored => {
                self.stored_intent = self.group.migration().map(|m| m.intent.clone());
                if let Some(intent) = &self.stored_intent {
                    self.group.mark_intent_stored(intent);
                }
            }
            Event::PartsPlaced => self.place_parts(),
            Event::NewLeader => self.replace_leader(),
        }
        self.evaluate()?;
        self.check_broken_generation_stops()
    }

    fn change_health(&mut self, index: u32, from: MachineHealth, to: MachineHealth) {
        let health = &mut self.health[index as usize];
        if *health == from {
            *health = to;
        }
    }

    fn receive_heartbeat(&mut self, part: usize) {
        let Some(binding) = &mut self.parts[part] else {
            return;
        };
        let reporting = self.health[index_of(&binding.machine)] == MachineHealth::Reporting;
        if reporting && !binding.stopping {
            binding.activity = match binding.activity {
                PartActivity::NotReported => PartActivity::Starting,
                PartActivity::Starting | PartActivity::Running => PartActivity::Running,
            };
        }
    }

    /// Confirms the release of a machine, which unbinds its parts, and creates a new machine
    /// with the same name.
    fn confirm_release(&mut self, index: u32) {
        if matches!(
            self.health[index as usize],
            MachineHealth::Lost | MachineHealth::Leaving
        ) {
            self.health[index as usize] = MachineHealth::Reporting;
            for part in &mut self.parts {
                let on_machine = |b: &Binding| index_of(&b.machine) == index as usize;
                if part.as_ref().is_some_and(on_machine) {
                    *part = None;
                }
            }
        }
    }

    fn fail_part(&mut self, part: usize) {
        let is_healthy = |b: &&Binding| self.health_of(&b.machine) == MachineHealth::Reporting;
        if let Some(binding) = self.parts[part].as_ref().filter(is_healthy).cloned() {
            self.parts[part] = None;
            self.group.record_part_failure(
                self.now_ms,
                binding.generation,
                &binding.machine,
                &TIMING,
            );
        }
    }

    fn place_parts(&mut self) {
        let free = self.free_machines();
        if !self.group.awaits_placement(self.now_ms) || free.len() < PARTS {
            return;
        }
        self.last_generation += 1;
        for (part, index) in self.parts.iter_mut().zip(free) {
            *part = Some(Binding {
                generation: Attempt(self.last_generation),
                machine: machine(index),
                activity: PartActivity::NotReported,
                health: MachineHealth::Reporting,
                stopping: false,
            });
        }
        self.group.record_parts_bound();
        self.stored_intent = None;
    }

    /// Replaces the leader. The new leader has only the stored state: it has received no
    /// heartbeats and doesn't know which parts are being stopped.
    fn replace_leader(&mut self) {
        self.group = ReplicaGroup::new(ReplicaIndex(0));
        if let Some(intent) = self.stored_intent.clone() {
            let record = GroupRecord {
                replica: 0,
                circuit_breaker: 0,
                intent: Some(intent),
            };
            self.group.restore(self.now_ms, &TIMING, record);
        }
        for binding in self.parts.iter_mut().flatten() {
            binding.activity = PartActivity::NotReported;
            binding.stopping = false;
        }
        for health in &mut self.health {
            if *health == MachineHealth::Lost {
                *health = MachineHealth::Unresponsive;
            }
        }
    }

    /// Ends all faults, and repeats every event that the group may wait for.
    pub fn recover(&mut self) -> Result<(), TestCaseError> {
        for _ in 0..40 {
            self.step(&Event::TimePasses(5000))?;
            for index in 0..MACHINES {
                self.step(&Event::HeartbeatsResume(index))?;
                self.step(&Event::ReleaseConfirmed(index))?;
            }
            self.step(&Event::RecordStored)?;
            for part in 0..PARTS {
                self.step(&Event::Heartbeat(part))?;
                self.step(&Event::PartStopped(part))?;
            }
            self.step(&Event::PartsPlaced)?;
        }
        Ok(())
    }
}

fn index_of(machine: &MachineId) -> usize {
    let digits = machine.as_str().trim_start_matches("vm-");
    digits.parse().expect("the machine id ends in its index")
}
