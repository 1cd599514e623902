//! One replica group: what it is, and what it wants done.
//!
//! A group is judged as a whole each time that something of it may have changed:
//! its parts go in as they are, and what has to be done comes out. So an event
//! that is missed, or seen twice, does no harm.

use crate::migration::{AbandonReason, Migration, MigrationStage};
use crate::observation::{MachineHealth, Part, PartState, Summary};
use crate::record::{GroupRecord, MigrationIntent, PartTarget};
use crate::shape::Replica;
use lilacfork_common::faults::CircuitBreaker;
use lilacfork_common::ids::{Attempt, MachineId};

/// What a group is doing.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum GroupState {
    /// None of its parts is on a machine; it waits for room.
    Pending,
    /// All parts of a generation are bound, and not all run yet.
    Starting,
    /// Every part of the current generation runs, by a report of this term.
    Serving,
    /// A part is lost or silent.
    Degraded,
    /// Its parts are being stopped.
    Stopping,
    /// All its parts are done.
    Finished,
}

impl GroupState {
    /// All of them.
    pub const ALL: [GroupState; 6] = [
        GroupState::Pending,
        GroupState::Starting,
        GroupState::Serving,
        GroupState::Degraded,
        GroupState::Stopping,
        GroupState::Finished,
    ];

    /// For logs.
    pub fn name(self) -> &'static str {
        match self {
            GroupState::Pending => "pending",
            GroupState::Starting => "starting",
            GroupState::Serving => "serving",
            GroupState::Degraded => "degraded",
            GroupState::Stopping => "stopping",
            GroupState::Finished => "finished",
        }
    }
}

/// Times that decide, each a ratio to the platform's settings.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct GroupTiming {
    /// For so long the room of a generation that ended is held for the next.
    pub hold_ms: u64,
    /// A group that has served for so long has succeeded.
    pub settled_ms: u64,
    /// The workers' report interval.
    pub report_ms: u64,
}

/// Why parts are stopped.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum StopCause {
    /// Another part is lost.
    PartLost,
    /// Another part is being stopped.
    PartStopped,
    /// A machine is taken away, and there is no room to move to.
    MachineLeaves,
    /// The group moves.
    Moves,
}

impl StopCause {
    /// For the log.
    pub fn why(self) -> &'static str {
        match self {
            StopCause::PartLost => "a part is lost",
            StopCause::PartStopped => "a part is stopped",
            StopCause::MachineLeaves => "a machine is taken away",
            StopCause::Moves => "it moves",
        }
    }
}

/// What is worth telling.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum GroupEvent {
    /// It serves again, so long after it lost a part.
    Repaired {
        /// In milliseconds.
        took_ms: u64,
    },
    /// A silent part is heard again; nothing was stopped.
    Interrupted,
    /// An earlier leader's move goes on.
    MoveResumed,
    /// A move was given up.
    MoveAbandoned(AbandonReason),
    /// A move has found its place.
    Moved,
}

/// What a group wants done.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum GroupAction {
    /// Stop these parts.
    Stop {
        /// Their tasks.
        parts: Vec<u32>,
        /// Why.
        cause: StopCause,
    },
    /// Find room for all parts where the group can move to, and say so by
    /// [`Group::begin_move`] or [`Group::cannot_move`].
    PlanMove,
    /// What is stored of the group has changed.
    Store,
    /// It has served for long enough to count as a success.
    Settled,
    /// To be told.
    Note(GroupEvent),
}

/// A loss that isn't mended yet.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct Loss {
    since_ms: u64,
    generation: Option<Attempt>,
}

/// Room that is held for the next generation.
#[derive(Clone, PartialEq, Eq, Debug)]
struct Reservation {
    targets: Vec<PartTarget>,
    until_ms: u64,
}

/// One replica group.
#[derive(Debug)]
pub struct ReplicaGroup {
    replica: Replica,
    state: GroupState,
    /// Since when it has been serving without a gap.
    serving_since_ms: Option<u64>,
    /// This generation has counted as a success.
    settled: bool,
    loss: Option<Loss>,
    /// The generation under way can't become whole again, and that is known.
    breaking: bool,
    /// A machine of it is taken away and there is no room to move to.
    must_leave: bool,
    reservation: Option<Reservation>,
    moving: Option<Migration>,
    failures: CircuitBreaker,
    /// The generation whose failure was counted last.
    failed_generation: Option<Attempt>,
}

impl ReplicaGroup {
    /// Nothing is known of its parts yet.
    pub fn new(replica: Replica) -> ReplicaGroup {
        ReplicaGroup {
            replica,
            state: GroupState::Pending,
            serving_since_ms: None,
            settled: false,
            loss: None,
            breaking: false,
            must_leave: false,
            reservation: None,
            moving: None,
            failures: CircuitBreaker::default(),
            failed_generation: None,
        }
    }

    /// Which replica of its job it is.
    pub fn replica(&self) -> Replica {
        self.replica
    }

    /// What it is doing, as of the last look.
    pub fn state(&self) -> GroupState {
        self.state
    }

    /// Whether it serves, as of the last look.
    pub fn serves(&self) -> bool {
        self.state == GroupState::Serving
    }

    /// Its move, if it is on the move.
    pub fn moving(&self) -> Option<&Migration> {
        self.moving.as_ref()
    }

    /// Its circuit breaker.
    pub fn failures(&self) -> &CircuitBreaker {
        &self.failures
    }

    /// Whether it waits for a place, and may have one.
    pub fn wants_place(&self, now_ms: u64) -> bool {
        self.state == GroupState::Pending && self.failures.allows_attempt(now_ms)
    }

    /// Where room is held for its next generation.
    pub fn held(&self, now_ms: u64) -> &[PartTarget] {
        let moving = self.moving.as_ref().filter(|m| now_ms < m.until_ms);
        if let Some(moving) = moving {
            return &moving.intent.targets;
        }
        let reservation = self.reservation.as_ref().filter(|r| now_ms < r.until_ms);
        reservation.map_or(&[], |r| &r.targets)
    }

    // ---- what the scheduler tells ----

    /// All its parts were bound to machines.
    pub fn placed(&mut self) -> Option<GroupEvent> {
        self.reservation = None;
        self.moving.take().map(|_| GroupEvent::Moved)
    }

    /// Room was found: the move is to be stored before its first step.
    pub fn begin_move(&mut self, now_ms: u64, timing: &GroupTiming, intent: MigrationIntent) {
        self.moving = Some(Migration {
            intent,
            stage: MigrationStage::Planned,
            inherited: false,
            until_ms: now_ms + timing.hold_ms,
        });
    }

    /// There is no room to move to.
    pub fn cannot_move(&mut self) {
        self.must_leave = true;
    }

    /// The record with this intent is stored.
    pub fn stored(&mut self, intent: &MigrationIntent) {
        let planned =
            |m: &&mut Migration| m.stage == MigrationStage::Planned && m.intent == *intent;
        if let Some(moving) = self.moving.as_mut().filter(planned) {
            moving.stage = MigrationStage::Stored;
        }
    }

    /// A part failed by itself. Tells whether the breaker has opened by that. A
    /// generation counts as one probe, however many of its parts fail.
    pub fn part_failed(
        &mut self,
        now_ms: u64,
        generation: Attempt,
        machine: &MachineId,
        timing: &GroupTiming,
    ) -> bool {
        let was_open = self.failures.is_open();
        let first = self.failed_generation != Some(generation);
        self.failed_generation = Some(generation);
        self.failures
            .record_failure(now_ms, machine, first, timing.report_ms);
        self.failures.is_open() && !was_open
    }

    /// The start of a part was refused: it waits a little.
    pub fn delay_until(&mut self, at_ms: u64) {
        self.failures.defer_until(at_ms);
    }

    /// Takes over what an earlier leader stored.
    pub fn restore(&mut self, now_ms: u64, timing: &GroupTiming, record: GroupRecord) {
        self.failures.restore(record.failures);
        self.moving = record.intent.map(|intent| Migration {
            intent,
            stage: MigrationStage::Stored,
            inherited: true,
            until_ms: now_ms + timing.hold_ms,
        });
    }

    /// What has to be stored beside the bindings, if anything.
    pub fn to_record(&self) -> Option<GroupRecord> {
        let failures = self.failures.to_record();
        let intent = self.moving.as_ref().map(|m| m.intent.clone());
        (failures > 0 || intent.is_some()).then_some(GroupRecord {
            replica: self.replica.0,
            failures,
            intent,
        })
    }

    // ---- the look at all parts ----

    /// Judges the group by its parts. `targets_open`: the machines that its move
    /// goes to still take it.
    pub fn observe(
        &mut self,
        now_ms: u64,
        timing: &GroupTiming,
        parts: &[Part],
        targets_open: bool,
    ) -> Vec<GroupAction> {
        let summary = Summary::of(parts);
        let mut actions = Vec::new();
        if summary.live == 0 {
            self.state = GroupState::Finished;
            self.reservation = None;
            self.moving = None;
        } else if summary.bound == 0 {
            self.off_machines(now_ms, &mut actions);
        } else if summary.broken() || (self.must_leave && summary.leaving > 0) {
            self.break_up(now_ms, timing, parts, &summary, &mut actions);
        } else {
            self.breaking = false;
            self.whole(now_ms, timing, parts, &summary, targets_open, &mut actions);
        }
        if self.state != GroupState::Serving {
            self.serving_since_ms = None;
        }
        actions
    }

    /// No part is on a machine.
    fn off_machines(&mut self, now_ms: u64, actions: &mut Vec<GroupAction>) {
        self.state = GroupState::Pending;
        self.breaking = false;
        self.must_leave = false;
        self.settled = false;
        let Some(moving) = &mut self.moving else {
            return;
        };
        if now_ms >= moving.until_ms {
            self.abandon(AbandonReason::TooLate, actions);
        } else if moving.stage != MigrationStage::Stopping {
            let resumed = std::mem::take(&mut moving.inherited);
            moving.stage = MigrationStage::Stopping;
            actions.extend(resumed.then_some(GroupAction::Note(GroupEvent::MoveResumed)));
        }
    }

    /// The generation can't be whole again: what is left of it is stopped.
    fn break_up(
        &mut self,
        now_ms: u64,
        timing: &GroupTiming,
        parts: &[Part],
        summary: &Summary,
        actions: &mut Vec<GroupAction>,
    ) {
        let stopped_by_others = summary.stopping > 0;
        if !self.breaking {
            self.breaking = true;
            self.break_move(summary, actions);
            let served = matches!(self.state, GroupState::Serving | GroupState::Degraded);
            if !stopped_by_others && served {
                self.lose(now_ms, summary.generation);
            }
            if !stopped_by_others && self.moving.is_none() {
                self.reservation = Some(Reservation {
                    targets: survivors(parts),
                    until_ms: now_ms + timing.hold_ms,
                });
            }
        }
        let left = running_on(parts);
        if left.is_empty() {
            self.state = GroupState::Stopping;
            return;
        }
        let cause = if stopped_by_others {
            StopCause::PartStopped
        } else if self.must_leave && !summary.broken() {
            StopCause::MachineLeaves
        } else {
            StopCause::PartLost
        };
        self.state = GroupState::Degraded;
        actions.push(GroupAction::Stop { parts: left, cause });
    }

    /// What becomes of a move whose group breaks up.
    fn break_move(&mut self, summary: &Summary, actions: &mut Vec<GroupAction>) {
        let Some(moving) = &mut self.moving else {
            return;
        };
        if moving.stage == MigrationStage::Stopping {
            return;
        }
        // The leader before had begun to stop it for the move.
        let begun = moving.inherited && summary.lost == 0;
        if begun {
            moving.stage = MigrationStage::Stopping;
            moving.inherited = false;
            actions.push(GroupAction::Note(GroupEvent::MoveResumed));
        } else {
            self.abandon(AbandonReason::PartLost, actions);
        }
    }

    /// All parts of a generation are bound to machines that weren't given up.
    fn whole(
        &mut self,
        now_ms: u64,
        timing: &GroupTiming,
        parts: &[Part],
        summary: &Summary,
        targets_open: bool,
        actions: &mut Vec<GroupAction>,
    ) {
        if summary.complete() {
            self.serve(now_ms, timing, summary, actions);
        } else if matches!(self.state, GroupState::Serving | GroupState::Degraded) {
            self.state = GroupState::Degraded;
            self.lose(now_ms, summary.generation);
        } else {
            self.state = GroupState::Starting;
        }
        if self.moving.is_some() {
            self.move_on(now_ms, parts, summary, targets_open, actions);
        } else if summary.leaving > 0 {
            if self.serves() {
                actions.push(GroupAction::PlanMove);
            } else {
                self.must_leave = true;
                self.break_up(now_ms, timing, parts, summary, actions);
            }
        }
    }

    fn serve(
        &mut self,
        now_ms: u64,
        timing: &GroupTiming,
        summary: &Summary,
        actions: &mut Vec<GroupAction>,
    ) {
        self.state = GroupState::Serving;
        if let Some(loss) = self.loss.take() {
            let note = if loss.generation == summary.generation {
                GroupEvent::Interrupted
            } else {
                let took_ms = now_ms.saturating_sub(loss.since_ms);
                GroupEvent::Repaired { took_ms }
            };
            actions.push(GroupAction::Note(note));
        }
        let since_ms = *self.serving_since_ms.get_or_insert(now_ms);
        if !self.settled && now_ms > since_ms + timing.settled_ms {
            self.settled = true;
            self.failures.record_success();
            actions.push(GroupAction::Settled);
        }
    }

    fn lose(&mut self, now_ms: u64, generation: Option<Attempt>) {
        self.loss.get_or_insert(Loss {
            since_ms: now_ms,
            generation,
        });
    }

    /// The next step of a move whose group is still whole.
    fn move_on(
        &mut self,
        now_ms: u64,
        parts: &[Part],
        summary: &Summary,
        targets_open: bool,
        actions: &mut Vec<GroupAction>,
    ) {
        let Some(moving) = &mut self.moving else {
            return;
        };
        let other = summary.generation != Some(moving.intent.generation);
        if other || now_ms >= moving.until_ms {
            self.abandon(AbandonReason::TooLate, actions);
            return;
        }
        if moving.stage != MigrationStage::Stored {
            return;
        }
        if !targets_open {
            // A new leader has yet to hear of those machines.
            if !moving.inherited {
                self.abandon(AbandonReason::NoRoom, actions);
            }
            return;
        }
        if !summary.complete() {
            return;
        }
        moving.stage = MigrationStage::Stopping;
        if std::mem::take(&mut moving.inherited) {
            actions.push(GroupAction::Note(GroupEvent::MoveResumed));
        }
        actions.push(GroupAction::Stop {
            parts: running_on(parts),
            cause: StopCause::Moves,
        });
    }

    fn abandon(&mut self, why: AbandonReason, actions: &mut Vec<GroupAction>) {
        self.moving = None;
        actions.push(GroupAction::Note(GroupEvent::MoveAbandoned(why)));
        actions.push(GroupAction::Store);
    }
}

/// Parts that may be on machines and aren't being stopped.
fn running_on(parts: &[Part]) -> Vec<u32> {
    let left = parts.iter().filter(|part| match &part.state {
        PartState::Bound(binding) => !binding.stopping,
        _ => false,
    });
    left.map(|part| part.task).collect()
}

/// The parts whose machines are sound, with these machines.
fn survivors(parts: &[Part]) -> Vec<PartTarget> {
    let sound = parts.iter().filter_map(|part| match &part.state {
        PartState::Bound(binding) if binding.health == MachineHealth::Heard => Some(PartTarget {
            task: part.task,
            machine: binding.machine.clone(),
        }),
        _ => None,
    });
    sound.collect()
}
