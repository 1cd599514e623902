//! The observed state of a group's parts: the input of its evaluation.

use lilacfork_common::ids::{Attempt, MachineId};

/// What a part does according to the last heartbeat of its machine, in the current
/// agent epoch and under the current term.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PartActivity {
    /// Not reported.
    NotReported,
    /// On the machine, but not running: its image is being pulled.
    Starting,
    /// Running.
    Running,
}

/// The health of a part's machine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum MachineHealth {
    /// It sends heartbeats and stays.
    Reporting,
    /// It has been silent for several heartbeat intervals.
    Silent,
    /// It is going to be taken away: it is draining or was reclaimed.
    Leaving,
    /// It was declared failed: its tasks are gone as soon as its release is proven.
    Lost,
}

/// The binding of a part to a machine.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Binding {
    /// The attempt that all parts of one generation share.
    pub generation: Attempt,
    /// Its machine.
    pub machine: MachineId,
    /// What it was last reported to do.
    pub activity: PartActivity,
    /// The health of its machine.
    pub health: MachineHealth,
    /// It is being stopped.
    pub stopping: bool,
}

/// Where a part stands.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum PartState {
    /// It has completed; only the parts of gangs do.
    Completed,
    /// It is proven to be on no machine.
    Waiting,
    /// It may be on a machine.
    Bound(Binding),
}

/// A part of a group.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Part {
    /// Its task's index in the job.
    pub task: u32,
    /// Where it stands.
    pub state: PartState,
}

/// The state of all parts together.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub(crate) struct Summary {
    /// Parts that haven't completed.
    pub(crate) live: usize,
    /// Parts that may be on machines.
    pub(crate) bound: usize,
    /// The generation of all bound parts; `None`: none is bound, or their
    /// generations differ.
    pub(crate) generation: Option<Attempt>,
    /// Parts of several generations are bound.
    mixed_generations: bool,
    running: usize,
    /// Bound parts that are being stopped.
    pub(crate) stopping: usize,
    /// Bound parts whose machines are silent.
    silent: usize,
    /// Bound parts whose machines are leaving.
    pub(crate) leaving: usize,
    /// Bound parts whose machines were declared failed.
    pub(crate) lost: usize,
}

impl Summary {
    pub(crate) fn of(parts: &[Part]) -> Summary {
        let mut summary = Summary::default();
        for part in parts {
            match &part.state {
                PartState::Completed => {}
                PartState::Waiting => summary.live += 1,
                PartState::Bound(binding) => {
                    summary.live += 1;
                    summary.add(binding);
                }
            }
        }
        if summary.mixed_generations {
            summary.generation = None;
        }
        summary
    }

    fn add(&mut self, binding: &Binding) {
        self.bound += 1;
        match self.generation {
            None => self.generation = Some(binding.generation),
            Some(other) => self.mixed_generations |= other != binding.generation,
        }
        self.running += usize::from(binding.activity == PartActivity::Running);
        self.stopping += usize::from(binding.stopping);
        match binding.health {
            MachineHealth::Reporting => {}
            MachineHealth::Silent => self.silent += 1,
            MachineHealth::Leaving => self.leaving += 1,
            MachineHealth::Lost => self.lost += 1,
        }
    }

    /// The parts that are bound can't form a whole replica any more.
    pub(crate) fn is_broken(&self) -> bool {
        let incomplete = self.bound < self.live || self.mixed_generations;
        self.bound > 0 && (incomplete || self.lost > 0 || self.stopping > 0)
    }

    /// Every part runs on a machine that sends heartbeats.
    pub(crate) fn is_complete(&self) -> bool {
        let whole = self.bound > 0 && !self.is_broken();
        whole && self.running == self.bound && self.silent == 0
    }
}
