//! A minimal scheduler with machines and a key-value store, which drives one group.

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

/// How many parts the group has.
pub const PARTS: usize = 3;
/// How many machines there are.
pub const MACHINES: u32 = 6;

/// A scheduler, machines and a key-value store, as small as can be.
pub struct Model {
    now_ms: u64,
    pub group: ReplicaGroup,
    /// The parts that are bound, as the scheduler knows it.
    pub parts: Vec<Option<Binding>>,
    /// The health of each machine.
    health: Vec<MachineHealth>,
    /// The intent that is stored.
    stored: Option<MigrationIntent>,
    last_generation: u64,
    /// A migration has stopped parts before its intent was stored.
    stopped_unstored: bool,
}

impl Model {
    pub fn new() -> Model {
        Model {
            now_ms: 0,
            group: ReplicaGroup::new(ReplicaIndex(0)),
            parts: vec![None; PARTS],
            health: vec![MachineHealth::Reporting; MACHINES as usize],
            stored: None,
            last_generation: 0,
            stopped_unstored: false,
        }
    }

    /// The parts as the group gets to see them.
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

    /// Healthy machines without a part.
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

    /// Evaluates the group until it asks for nothing more; this must come to an end.
    fn observe(&mut self) -> Result<(), TestCaseError> {
        for _ in 0..10 {
            let parts = self.observed_parts();
            let targets = self.migration_targets();
            let actions = self.group.observe(self.now_ms, &TIMING, &parts, targets);
            self.check_invariants()?;
            let mut again = false;
            for action in actions {
                again |= self.perform(action)?;
            }
            if !again {
                return Ok(());
            }
        }
        Err(TestCaseError::fail("it wants something new at every look"))
    }

    fn migration_targets(&self) -> MigrationTargets {
        let is_healthy =
            |target: &PartTarget| self.health_of(&target.machine) == MachineHealth::Reporting;
        match self.group.migration() {
            Some(migration) if migration.intent.targets.iter().all(is_healthy) => {
                MigrationTargets::Open
            }
            _ => MigrationTargets::Closed,
        }
    }

    /// Carries out an action. Returns whether the group has to be evaluated again.
    fn perform(&mut self, action: GroupAction) -> Result<bool, TestCaseError> {
        match action {
            GroupAction::Stop { parts, cause } => {
                prop_assert!(!parts.is_empty());
                let intent = self.group.migration().map(|m| &m.intent);
                self.stopped_unstored |=
                    cause == StopCause::Migration && self.stored.as_ref() != intent;
                for task in parts {
                    let binding = self.parts[task as usize].as_mut();
                    prop_assert!(binding.is_some(), "stops what is nowhere");
                    if let Some(binding) = binding {
                        prop_assert!(!binding.stopping, "stops twice");
                        binding.stopping = true;
                    }
                }
                Ok(true)
            }
            GroupAction::PlanMigration => {
                match self.plan_migration() {
                    Some(intent) => self.group.begin_migration(self.now_ms, &TIMING, intent),
                    None => self.group.migration_infeasible(),
                }
                Ok(true)
            }
            GroupAction::Persist | GroupAction::RecordSuccess | GroupAction::Emit(_) => Ok(false),
        }
    }

    /// Targets for all parts: those on healthy machines stay where they are.
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

    /// The invariants that hold at all times.
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
        if self.group.serves() {
            prop_assert!(
                all_bound && self.bindings().all(is_serving),
                "{:?}",
                self.parts
            );
        }
        let none = self.parts.iter().all(Option::is_none);
        prop_assert_eq!(self.group.state() == GroupState::Pending, none);
        prop_assert!(!self.group.awaits_placement(self.now_ms) || none);
        prop_assert!(!self.stopped_unstored, "a move began before it was stored");
        Ok(())
    }

    /// After the last evaluation all that is left of a broken generation is being
    /// stopped.
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
            prop_assert!(bound.iter().all(|b| b.stopping), "left alone: {:?}", bound);
        }
        Ok(())
    }

    /// Lets an event happen, and evaluates the group.
    pub fn step(&mut self, event: &Event) -> Result<(), TestCaseError> {
        match event {
            Event::TimePasses(ms) => self.now_ms += ms,
            Event::Heartbeat(part) => self.report(*part),
            Event::HeartbeatsStop(index) => {
                self.change_health(*index, MachineHealth::Reporting, MachineHealth::Silent)
            }
            Event::HeartbeatsResume(index) => {
                self.change_health(*index, MachineHealth::Silent, MachineHealth::Reporting)
            }
            Event::DeclaredFailed(index) => {
                self.change_health(*index, MachineHealth::Silent, MachineHealth::Lost)
            }
            Event::ReclaimNotice(index) => {
                self.change_health(*index, MachineHealth::Reporting, MachineHealth::Leaving)
            }
            Event::ReleaseProven(index) => self.release_machine(*index),
            Event::PartFails(part) => self.fail(*part),
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
                self.stored = self.group.migration().map(|m| m.intent.clone());
                if let Some(intent) = &self.stored {
                    self.group.intent_stored(intent);
                }
            }
            Event::PartsPlaced => self.place(),
            Event::NewLeader => self.new_leader(),
        }
        self.observe()?;
        self.check_broken_generation_stops()
    }

    fn change_health(&mut self, index: u32, from: MachineHealth, to: MachineHealth) {
        let health = &mut self.health[index as usize];
        if *health == from {
            *health = to;
        }
    }

    fn report(&mut self, part: usize) {
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

    /// The release of a machine is proven, so its parts are on no machine any more; a new
    /// machine with its name is created.
    fn release_machine(&mut self, index: u32) {
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

    fn fail(&mut self, part: usize) {
        let is_healthy = |b: &&Binding| self.health_of(&b.machine) == MachineHealth::Reporting;
        if let Some(binding) = self.parts[part].as_ref().filter(is_healthy).cloned() {
            self.parts[part] = None;
            self.group
                .part_failed(self.now_ms, binding.generation, &binding.machine, &TIMING);
        }
    }

    fn place(&mut self) {
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
        self.group.parts_bound();
        self.stored = None;
    }

    /// Another leader takes over. It knows only what is stored: it has had no heartbeats,
    /// and doesn't know which parts are being stopped.
    fn new_leader(&mut self) {
        self.group = ReplicaGroup::new(ReplicaIndex(0));
        if let Some(intent) = self.stored.clone() {
            let record = GroupRecord {
                replica: 0,
                failures: 0,
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
                *health = MachineHealth::Silent;
            }
        }
    }

    /// All faults end, and everything that the group waits for happens.
    pub fn recover(&mut self) -> Result<(), TestCaseError> {
        for _ in 0..40 {
            self.step(&Event::TimePasses(5000))?;
            for index in 0..MACHINES {
                self.step(&Event::HeartbeatsResume(index))?;
                self.step(&Event::ReleaseProven(index))?;
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
    digits.parse().expect("a machine of the model")
}
