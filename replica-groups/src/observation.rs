//! What the scheduler says of a group's parts.

use lilacfork_common::ids::{Attempt, MachineId};

/// What a part was last reported to do, in its machine's current session and
/// under the current term.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ObservedPart {
    /// Not reported.
    Not,
    /// On the machine, but not running: it fetches its image.
    Starting,
    /// Running.
    Running,
}

/// How a part's machine is.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum MachineHealth {
    /// It reports.
    Heard,
    /// It has been silent for longer than a few reports.
    Silent,
    /// It is going to be taken away.
    Leaving,
    /// It is given up: its tasks are gone as soon as that is proven.
    Lost,
}

/// A part that may be on a machine.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Binding {
    /// The attempt that all parts of one generation share.
    pub generation: Attempt,
    /// Its machine.
    pub machine: MachineId,
    /// What was seen of it.
    pub seen: ObservedPart,
    /// How its machine is.
    pub health: MachineHealth,
    /// It is being stopped.
    pub stopping: bool,
}

/// What a part is.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum PartState {
    /// It has completed; only parts of gangs do.
    Done,
    /// It is on no machine, by proof.
    Waiting,
    /// It may be on a machine.
    Bound(Binding),
}

/// A part of a group.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Part {
    /// Its task's number in the job.
    pub task: u32,
    /// What it is.
    pub state: PartState,
}

/// What follows from all parts together.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub(crate) struct Summary {
    /// Parts that aren't done.
    pub live: usize,
    /// Parts that may be on machines.
    pub bound: usize,
    /// The generation of them all; `None`: none is bound, or they differ.
    pub generation: Option<Attempt>,
    pub mixed: bool,
    pub running: usize,
    pub stopping: usize,
    pub silent: usize,
    pub leaving: usize,
    pub lost: usize,
}

impl Summary {
    pub fn of(parts: &[Part]) -> Summary {
        let mut summary = Summary::default();
        for part in parts {
            match &part.state {
                PartState::Done => {}
                PartState::Waiting => summary.live += 1,
                PartState::Bound(binding) => {
                    summary.live += 1;
                    summary.add(binding);
                }
            }
        }
        if summary.mixed {
            summary.generation = None;
        }
        summary
    }

    fn add(&mut self, binding: &Binding) {
        self.bound += 1;
        match self.generation {
            None => self.generation = Some(binding.generation),
            Some(other) => self.mixed |= other != binding.generation,
        }
        self.running += usize::from(binding.seen == ObservedPart::Running);
        self.stopping += usize::from(binding.stopping);
        match binding.health {
            MachineHealth::Heard => {}
            MachineHealth::Silent => self.silent += 1,
            MachineHealth::Leaving => self.leaving += 1,
            MachineHealth::Lost => self.lost += 1,
        }
    }

    /// Parts are on machines that can't form a whole replica any more.
    pub fn broken(&self) -> bool {
        let incomplete = self.bound < self.live || self.mixed;
        self.bound > 0 && (incomplete || self.lost > 0 || self.stopping > 0)
    }

    /// Every part is running on a machine that reports.
    pub fn complete(&self) -> bool {
        let whole = self.bound > 0 && !self.broken();
        whole && self.running == self.bound && self.silent == 0
    }
}
