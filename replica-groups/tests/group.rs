//! One group's life, step by step, and through random interleavings of failures,
//! reports and changes of leader.

use lilacfork_common::ids::{Attempt, MachineId};
use lilacfork_replica_groups::group::{
    GroupAction, GroupEvent, GroupState, GroupTiming, ReplicaGroup, StopCause,
};
use lilacfork_replica_groups::migration::{AbandonReason, MigrationStage};
use lilacfork_replica_groups::observation::{
    Binding, MachineHealth, ObservedPart, Part, PartState,
};
use lilacfork_replica_groups::record::{MigrationIntent, PartTarget};
use lilacfork_replica_groups::shape::Replica;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const TIMING: GroupTiming = GroupTiming {
    hold_ms: 20_000,
    settled_ms: 30_000,
    report_ms: 1000,
};

fn machine(n: u32) -> MachineId {
    MachineId::new(&format!("vm-{n}"))
}

fn bound(task: u32, on: u32, seen: ObservedPart, health: MachineHealth) -> Part {
    Part {
        task,
        state: PartState::Bound(Binding {
            generation: Attempt(1),
            machine: machine(on),
            seen,
            health,
            stopping: false,
        }),
    }
}

fn running(task: u32) -> Part {
    bound(task, task, ObservedPart::Running, MachineHealth::Heard)
}

fn waiting(task: u32) -> Part {
    Part {
        task,
        state: PartState::Waiting,
    }
}

fn stopping(mut part: Part) -> Part {
    if let PartState::Bound(binding) = &mut part.state {
        binding.stopping = true;
    }
    part
}

fn stop(parts: &[u32], cause: StopCause) -> GroupAction {
    GroupAction::Stop {
        parts: parts.to_vec(),
        cause,
    }
}

fn held(group: &ReplicaGroup, now_ms: u64) -> Vec<u32> {
    group
        .held(now_ms)
        .iter()
        .map(|target| target.task)
        .collect()
}

fn serving(now_ms: u64) -> ReplicaGroup {
    let mut group = ReplicaGroup::new(Replica(0));
    let actions = group.observe(now_ms, &TIMING, &[running(0), running(1)], false);
    assert_eq!(actions, []);
    assert!(group.serves());
    group
}

#[test]
fn only_a_complete_generation_that_is_heard_serves() {
    let seen = |seen, health| {
        let mut group = ReplicaGroup::new(Replica(0));
        group.observe(0, &TIMING, &[running(0), bound(1, 1, seen, health)], false);
        group.state()
    };
    assert_eq!(
        seen(ObservedPart::Running, MachineHealth::Heard),
        GroupState::Serving
    );
    assert_eq!(
        seen(ObservedPart::Running, MachineHealth::Silent),
        GroupState::Starting
    );
    assert_eq!(
        seen(ObservedPart::Starting, MachineHealth::Heard),
        GroupState::Starting
    );
    assert_eq!(
        seen(ObservedPart::Not, MachineHealth::Heard),
        GroupState::Starting
    );
    assert_eq!(
        seen(ObservedPart::Running, MachineHealth::Lost),
        GroupState::Degraded
    );
}

#[test]
fn parts_of_two_generations_are_stopped() {
    let mut group = ReplicaGroup::new(Replica(0));
    let mut other = running(1);
    if let PartState::Bound(binding) = &mut other.state {
        binding.generation = Attempt(2);
    }
    let actions = group.observe(0, &TIMING, &[running(0), other], false);
    assert_eq!(actions, [stop(&[0, 1], StopCause::PartLost)]);
}

#[test]
fn a_lost_part_stops_the_others_and_holds_their_room_for_a_while() {
    let mut group = serving(0);
    let lost = bound(1, 1, ObservedPart::Running, MachineHealth::Lost);
    let actions = group.observe(5000, &TIMING, &[running(0), lost.clone()], false);
    assert_eq!(actions, [stop(&[0, 1], StopCause::PartLost)]);
    assert_eq!(group.state(), GroupState::Degraded);
    assert_eq!(held(&group, 5000), [0], "the survivor's machine");
    let both = [stopping(running(0)), stopping(lost)];
    assert_eq!(group.observe(5100, &TIMING, &both, false), []);
    assert_eq!(group.state(), GroupState::Stopping);
    group.observe(6000, &TIMING, &[waiting(0), waiting(1)], false);
    assert!(group.wants_place(6000));
    assert_eq!(held(&group, 24_999), [0]);
    assert!(held(&group, 25_000).is_empty(), "for a bounded time");
    assert_eq!(group.placed(), None);
    assert!(held(&group, 6000).is_empty());
    let next = |task| {
        let mut part = running(task);
        if let PartState::Bound(binding) = &mut part.state {
            binding.generation = Attempt(2);
        }
        part
    };
    let actions = group.observe(9000, &TIMING, &[next(0), next(1)], false);
    assert_eq!(
        actions,
        [GroupAction::Note(GroupEvent::Repaired { took_ms: 4000 })]
    );
}

#[test]
fn a_silence_that_ends_is_an_interruption() {
    let mut group = serving(0);
    let silent = bound(1, 1, ObservedPart::Running, MachineHealth::Silent);
    assert_eq!(
        group.observe(5000, &TIMING, &[running(0), silent], false),
        []
    );
    assert_eq!(group.state(), GroupState::Degraded);
    let actions = group.observe(7000, &TIMING, &[running(0), running(1)], false);
    assert_eq!(actions, [GroupAction::Note(GroupEvent::Interrupted)]);
}

/// What takes one part away for more important work must not be kept from the
/// room by a reservation of the rest.
#[test]
fn a_part_that_others_stop_takes_the_rest_along_and_nothing_is_held() {
    let mut group = serving(0);
    let parts = [running(0), stopping(running(1))];
    let actions = group.observe(1000, &TIMING, &parts, false);
    assert_eq!(actions, [stop(&[0], StopCause::PartStopped)]);
    assert!(held(&group, 1000).is_empty());
}

fn intent() -> MigrationIntent {
    let target = |task: u32, on: u32| PartTarget {
        task,
        machine: machine(on),
    };
    MigrationIntent {
        generation: Attempt(1),
        targets: vec![target(0, 0), target(1, 7)],
    }
}

fn leaving() -> [Part; 2] {
    [
        running(0),
        bound(1, 1, ObservedPart::Running, MachineHealth::Leaving),
    ]
}

#[test]
fn a_move_stops_nothing_before_it_is_stored() {
    let mut group = serving(0);
    let actions = group.observe(1000, &TIMING, &leaving(), false);
    assert_eq!(actions, [GroupAction::PlanMove]);
    group.begin_move(1000, &TIMING, intent());
    assert_eq!(group.observe(1100, &TIMING, &leaving(), true), []);
    assert!(group.serves(), "it goes on serving");
    let mut other = intent();
    other.generation = Attempt(9);
    group.stored(&other);
    assert_eq!(group.observe(1200, &TIMING, &leaving(), true), []);
    group.stored(&intent());
    let actions = group.observe(1300, &TIMING, &leaving(), true);
    assert_eq!(actions, [stop(&[0, 1], StopCause::Moves)]);
    let parts = leaving().map(stopping);
    assert_eq!(group.observe(1400, &TIMING, &parts, true), []);
    group.observe(1500, &TIMING, &[waiting(0), waiting(1)], true);
    assert_eq!(held(&group, 1500), [0, 1], "where it was meant to go");
    assert_eq!(group.placed(), Some(GroupEvent::Moved));
    assert_eq!(group.to_record(), None);
}

#[test]
fn a_move_whose_room_is_gone_is_given_up_before_anything_is_stopped() {
    let mut group = serving(0);
    group.begin_move(1000, &TIMING, intent());
    group.stored(&intent());
    let actions = group.observe(1100, &TIMING, &leaving(), false);
    let abandoned = GroupAction::Note(GroupEvent::MoveAbandoned(AbandonReason::NoRoom));
    assert_eq!(actions, [abandoned, GroupAction::Store]);
    assert_eq!(group.to_record(), None);
    assert_eq!(
        group.observe(1200, &TIMING, &leaving(), false),
        [GroupAction::PlanMove],
        "it is planned anew"
    );
}

#[test]
fn without_room_it_stops_as_a_whole() {
    let mut group = serving(0);
    group.observe(1000, &TIMING, &leaving(), false);
    group.cannot_move();
    let actions = group.observe(1000, &TIMING, &leaving(), false);
    assert_eq!(actions, [stop(&[0, 1], StopCause::MachineLeaves)]);
    assert_eq!(held(&group, 1000), [0]);
}

/// A leader that takes over finds a stored intent: nothing, something or all of it
/// may have been done.
#[test]
fn the_next_leader_resumes_or_abandons_a_move() {
    let inherited = || {
        let mut before = serving(0);
        before.begin_move(0, &TIMING, intent());
        let record = before.to_record().expect("something to store");
        let mut group = ReplicaGroup::new(Replica(0));
        group.restore(0, &TIMING, record);
        group
    };
    let resumed = GroupAction::Note(GroupEvent::MoveResumed);
    let mut nothing = inherited();
    assert_eq!(
        nothing.observe(100, &TIMING, &leaving(), false),
        [],
        "its machines haven't been heard yet"
    );
    assert_eq!(
        nothing.observe(200, &TIMING, &leaving(), true),
        [resumed.clone(), stop(&[0, 1], StopCause::Moves)]
    );
    let mut some = inherited();
    assert_eq!(
        some.observe(100, &TIMING, &[running(0), waiting(1)], false),
        [resumed.clone(), stop(&[0], StopCause::PartLost)]
    );
    assert_eq!(
        some.moving().map(|m| m.stage),
        Some(MigrationStage::Stopping)
    );
    let mut all = inherited();
    let actions = all.observe(100, &TIMING, &[waiting(0), waiting(1)], false);
    assert_eq!(actions, [resumed]);
    assert_eq!(held(&all, 100), [0, 1]);
    let mut late = inherited();
    let actions = late.observe(20_000, &TIMING, &leaving(), false);
    let abandoned = GroupAction::Note(GroupEvent::MoveAbandoned(AbandonReason::TooLate));
    assert_eq!(actions, [abandoned, GroupAction::Store]);
}

#[test]
fn a_generation_is_one_probe_however_many_parts_fail() {
    let mut group = ReplicaGroup::new(Replica(0));
    assert!(!group.part_failed(0, Attempt(1), &machine(0), &TIMING));
    assert!(!group.part_failed(0, Attempt(1), &machine(1), &TIMING));
    assert!(
        group.part_failed(0, Attempt(2), &machine(2), &TIMING),
        "opens"
    );
    group.observe(0, &TIMING, &[waiting(0), waiting(1)], false);
    assert!(!group.wants_place(499) && group.wants_place(500));
    group.part_failed(1000, Attempt(3), &machine(0), &TIMING);
    group.part_failed(1000, Attempt(3), &machine(1), &TIMING);
    assert!(
        !group.wants_place(1999) && group.wants_place(2000),
        "twice the pause, once"
    );
    let record = group.to_record().expect("an open breaker is stored");
    let mut next = ReplicaGroup::new(Replica(0));
    next.restore(0, &TIMING, record);
    assert!(next.failures().is_open());
    let both = [running(0), running(1)];
    next.observe(0, &TIMING, &both, false);
    let actions = next.observe(30_001, &TIMING, &both, false);
    assert_eq!(actions, [GroupAction::Settled]);
    assert!(!next.failures().is_open());
}

// ---- random interleavings ----

const PARTS: usize = 3;
const MACHINES: u32 = 6;

/// What happens next.
#[derive(Clone, Debug)]
enum Event {
    /// Time passes.
    Pass(u64),
    /// A part is reported, as far as its machine is sound.
    Report(usize),
    /// A machine becomes silent.
    Silence(u32),
    /// It is heard again.
    Return(u32),
    /// It is given up.
    GiveUp(u32),
    /// It is proven that what it had is gone.
    Gone(u32),
    /// It is to be taken away.
    Notice(u32),
    /// A part fails by itself.
    Fail(usize),
    /// A stop has had its effect.
    Stopped(usize),
    /// More important work takes a part's room.
    Preempt(usize),
    /// What was to be stored is stored.
    Store,
    /// The scheduler finds room for all parts, if they wait.
    Place,
    /// Another leader takes over.
    NewLeader,
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let part = || 0..PARTS;
    let on = || 0..MACHINES;
    let event = prop_oneof![
        3 => (1..4000u64).prop_map(Event::Pass),
        6 => part().prop_map(Event::Report),
        2 => on().prop_map(Event::Silence),
        2 => on().prop_map(Event::Return),
        2 => on().prop_map(Event::GiveUp),
        3 => on().prop_map(Event::Gone),
        1 => on().prop_map(Event::Notice),
        1 => part().prop_map(Event::Fail),
        5 => part().prop_map(Event::Stopped),
        1 => part().prop_map(Event::Preempt),
        4 => Just(Event::Store),
        5 => Just(Event::Place),
        1 => Just(Event::NewLeader),
    ];
    prop::collection::vec(event, 1..160)
}

/// A scheduler, machines and a state service, as small as can be.
struct Model {
    now_ms: u64,
    group: ReplicaGroup,
    /// What is on machines, as the scheduler knows it.
    parts: Vec<Option<Binding>>,
    health: Vec<MachineHealth>,
    /// The row that is stored.
    stored: Option<MigrationIntent>,
    next: u64,
    /// The generations in which a move stopped parts, and whether its intent was
    /// stored then.
    stopped_unstored: bool,
}

impl Model {
    fn new() -> Model {
        Model {
            now_ms: 0,
            group: ReplicaGroup::new(Replica(0)),
            parts: vec![None; PARTS],
            health: vec![MachineHealth::Heard; MACHINES as usize],
            stored: None,
            next: 0,
            stopped_unstored: false,
        }
    }

    fn view(&self) -> Vec<Part> {
        let part = |(task, binding): (usize, &Option<Binding>)| Part {
            task: task as u32,
            state: match binding {
                None => PartState::Waiting,
                Some(binding) => PartState::Bound(Binding {
                    health: self.health[number(&binding.machine)],
                    ..binding.clone()
                }),
            },
        };
        self.parts.iter().enumerate().map(part).collect()
    }

    fn free(&self) -> Vec<u32> {
        let sound = |n: &u32| self.health[*n as usize] == MachineHealth::Heard;
        let used = |n: &u32| {
            self.parts
                .iter()
                .flatten()
                .any(|b| number(&b.machine) == *n as usize)
        };
        (0..MACHINES).filter(|n| sound(n) && !used(n)).collect()
    }

    /// Looks until nothing more is wanted; it must come to an end.
    fn observe(&mut self) -> Result<(), TestCaseError> {
        for _ in 0..10 {
            let open = self.group.moving().is_some_and(|m| {
                let sound =
                    |t: &PartTarget| self.health[number(&t.machine)] == MachineHealth::Heard;
                m.intent.targets.iter().all(sound)
            });
            let actions = self.group.observe(self.now_ms, &TIMING, &self.view(), open);
            self.check()?;
            let mut again = false;
            for action in actions {
                again |= self.act(action)?;
            }
            if !again {
                return Ok(());
            }
        }
        Err(TestCaseError::fail("it wants something new at every look"))
    }

    fn act(&mut self, action: GroupAction) -> Result<bool, TestCaseError> {
        match action {
            GroupAction::Stop { parts, cause } => {
                prop_assert!(!parts.is_empty());
                let moving = self.group.moving().map(|m| &m.intent);
                self.stopped_unstored |=
                    cause == StopCause::Moves && self.stored.as_ref() != moving;
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
            GroupAction::PlanMove => {
                match self.plan() {
                    Some(intent) => self.group.begin_move(self.now_ms, &TIMING, intent),
                    None => self.group.cannot_move(),
                }
                Ok(true)
            }
            GroupAction::Store | GroupAction::Settled | GroupAction::Note(_) => Ok(false),
        }
    }

    fn plan(&self) -> Option<MigrationIntent> {
        let mut free = self.free().into_iter();
        let mut targets = Vec::new();
        for (task, binding) in self.parts.iter().enumerate() {
            let binding = binding.as_ref()?;
            let stays = self.health[number(&binding.machine)] == MachineHealth::Heard;
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

    /// What must hold at every moment.
    fn check(&self) -> Result<(), TestCaseError> {
        let whole = self.parts.iter().flatten().count() == PARTS;
        let one = |of: &Binding| {
            self.parts
                .iter()
                .flatten()
                .all(|b| b.generation == of.generation)
        };
        let sound = |b: &Binding| {
            let heard = matches!(
                self.health[number(&b.machine)],
                MachineHealth::Heard | MachineHealth::Leaving
            );
            heard && b.seen == ObservedPart::Running && !b.stopping && one(b)
        };
        if self.group.serves() {
            prop_assert!(
                whole && self.parts.iter().flatten().all(sound),
                "{:?}",
                self.parts
            );
        }
        let none = self.parts.iter().all(Option::is_none);
        prop_assert_eq!(self.group.state() == GroupState::Pending, none);
        prop_assert!(!self.group.wants_place(self.now_ms) || none);
        prop_assert!(!self.stopped_unstored, "a move began before it was stored");
        Ok(())
    }

    /// Once the dust has settled, what is left of a broken generation is being
    /// stopped.
    fn check_settled(&self) -> Result<(), TestCaseError> {
        let bound: Vec<&Binding> = self.parts.iter().flatten().collect();
        let broken = !bound.is_empty()
            && (bound.len() < PARTS
                || bound
                    .iter()
                    .any(|b| b.generation != bound[0].generation || b.stopping)
                || bound
                    .iter()
                    .any(|b| self.health[number(&b.machine)] == MachineHealth::Lost));
        if broken {
            prop_assert!(bound.iter().all(|b| b.stopping), "left alone: {:?}", bound);
        }
        Ok(())
    }

    fn step(&mut self, event: &Event) -> Result<(), TestCaseError> {
        match event {
            Event::Pass(ms) => self.now_ms += ms,
            Event::Report(part) => self.report(*part),
            Event::Silence(n) => self.become_if(*n, MachineHealth::Heard, MachineHealth::Silent),
            Event::Return(n) => self.become_if(*n, MachineHealth::Silent, MachineHealth::Heard),
            Event::GiveUp(n) => self.become_if(*n, MachineHealth::Silent, MachineHealth::Lost),
            Event::Notice(n) => self.become_if(*n, MachineHealth::Heard, MachineHealth::Leaving),
            Event::Gone(n) => self.gone(*n),
            Event::Fail(part) => self.fail(*part),
            Event::Stopped(part) => {
                let stops = |b: &Binding| {
                    let health = self.health[number(&b.machine)];
                    b.stopping && matches!(health, MachineHealth::Heard | MachineHealth::Leaving)
                };
                if self.parts[*part].as_ref().is_some_and(stops) {
                    self.parts[*part] = None;
                }
            }
            Event::Preempt(part) => {
                if let Some(binding) = &mut self.parts[*part] {
                    binding.stopping = true;
                }
            }
            Event::Store => {
                self.stored = self.group.moving().map(|m| m.intent.clone());
                if let Some(intent) = &self.stored {
                    self.group.stored(intent);
                }
            }
            Event::Place => self.place(),
            Event::NewLeader => self.new_leader(),
        }
        self.observe()?;
        self.check_settled()
    }

    fn become_if(&mut self, n: u32, from: MachineHealth, to: MachineHealth) {
        let health = &mut self.health[n as usize];
        if *health == from {
            *health = to;
        }
    }

    fn report(&mut self, part: usize) {
        let Some(binding) = &mut self.parts[part] else {
            return;
        };
        let heard = self.health[number(&binding.machine)] == MachineHealth::Heard;
        if heard && !binding.stopping {
            binding.seen = match binding.seen {
                ObservedPart::Not => ObservedPart::Starting,
                ObservedPart::Starting | ObservedPart::Running => ObservedPart::Running,
            };
        }
    }

    /// Its tasks are released by proof; another machine of that name comes.
    fn gone(&mut self, n: u32) {
        if matches!(
            self.health[n as usize],
            MachineHealth::Lost | MachineHealth::Leaving
        ) {
            self.health[n as usize] = MachineHealth::Heard;
            for part in &mut self.parts {
                if part
                    .as_ref()
                    .is_some_and(|b| number(&b.machine) == n as usize)
                {
                    *part = None;
                }
            }
        }
    }

    fn fail(&mut self, part: usize) {
        let sound = |b: &&Binding| self.health[number(&b.machine)] == MachineHealth::Heard;
        if let Some(binding) = self.parts[part].as_ref().filter(sound).cloned() {
            self.parts[part] = None;
            let (generation, on) = (binding.generation, binding.machine);
            self.group
                .part_failed(self.now_ms, generation, &on, &TIMING);
        }
    }

    fn place(&mut self) {
        let free = self.free();
        if !self.group.wants_place(self.now_ms) || free.len() < PARTS {
            return;
        }
        self.next += 1;
        for (part, on) in self.parts.iter_mut().zip(free) {
            *part = Some(Binding {
                generation: Attempt(self.next),
                machine: machine(on),
                seen: ObservedPart::Not,
                health: MachineHealth::Heard,
                stopping: false,
            });
        }
        self.group.placed();
        self.stored = None;
    }

    /// All it has is what is stored; nothing was reported to it, and what was being
    /// stopped is so no longer, as far as it knows.
    fn new_leader(&mut self) {
        self.group = ReplicaGroup::new(Replica(0));
        if let Some(intent) = self.stored.clone() {
            let record = lilacfork_replica_groups::record::GroupRecord {
                replica: 0,
                failures: 0,
                intent: Some(intent),
            };
            self.group.restore(self.now_ms, &TIMING, record);
        }
        for binding in self.parts.iter_mut().flatten() {
            binding.seen = ObservedPart::Not;
            binding.stopping = false;
        }
        for health in &mut self.health {
            if *health == MachineHealth::Lost {
                *health = MachineHealth::Silent;
            }
        }
    }

    /// All troubles end, and everything that is waited for happens.
    fn calm(&mut self) -> Result<(), TestCaseError> {
        for _ in 0..40 {
            self.step(&Event::Pass(5000))?;
            for n in 0..MACHINES {
                self.step(&Event::Return(n))?;
                self.step(&Event::Gone(n))?;
            }
            self.step(&Event::Store)?;
            for part in 0..PARTS {
                self.step(&Event::Report(part))?;
                self.step(&Event::Stopped(part))?;
            }
            self.step(&Event::Place)?;
        }
        Ok(())
    }
}

fn number(machine: &MachineId) -> usize {
    let digits = machine.as_str().trim_start_matches("vm-");
    digits.parse().expect("a machine of the model")
}

/// Whatever happens, in whatever order: only a whole replica serves, what is left
/// of one is stopped, no move begins before it is stored, and in the end it serves.
#[test]
fn random_interleavings_leave_no_half_behind() {
    let config = Config {
        cases: 3000,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&events(), |events| {
        let mut model = Model::new();
        for event in &events {
            model.step(event)?;
        }
        model.calm()?;
        prop_assert!(model.group.serves(), "{:?} {:?}", model.group, model.parts);
        Ok(())
    });
    if let Err(why) = result {
        panic!("{why}");
    }
}
