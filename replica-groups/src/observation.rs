//! The observed state of a group's parts, which is the input of the group's evaluation.

use lilacfork_common::ids::{Attempt, MachineId};

/// The activity of a part according to its machine's last heartbeat in the current agent
/// epoch and the current term.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PartActivity {
    /// No such heartbeat has reported the part.
    NotReported,
    /// The part is on the machine but isn't running, for example because its image is being
    /// pulled.
    Starting,
    /// The part is running.
    Running,
}

/// The health of the machine that a part is bound to.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum MachineHealth {
    /// The machine sends heartbeats and isn't leaving.
    Reporting,
    /// The machine hasn't sent a heartbeat for several intervals.
    Unresponsive,
    /// The machine is draining or has a preemption notice.
    Leaving,
    /// The machine was declared failed. Its tasks have ended once its release is confirmed.
    Lost,
}

/// The binding of a part to a machine.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Binding {
    /// The attempt number, which all parts of one generation share.
    pub generation: Attempt,
    /// The machine that the part's task is assigned to.
    pub machine: MachineId,
    /// The activity that the machine last reported for the part.
    pub activity: PartActivity,
    /// The health of that machine.
    pub health: MachineHealth,
    /// Whether the part's task is being stopped.
    pub stopping: bool,
}

/// The state of a part.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum PartState {
    /// The part has completed. Only parts of gangs complete.
    Completed,
    /// The part is confirmed not to be on any machine.
    Waiting,
    /// The part may be on a machine.
    Bound(Binding),
}

/// A part of a group.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Part {
    /// Index of the part's task in the job.
    pub task: u32,
    /// Whether the part is completed, waiting or bound.
    pub state: PartState,
}

/// Counts over the states of all parts of a group.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub(crate) struct Summary {
    /// Number of parts that haven't completed.
    pub(crate) live: usize,
    /// Number of parts that may be on machines.
    pub(crate) bound: usize,
    /// The generation of all bound parts. `None` if no part is bound or the generations
    /// differ.
    pub(crate) generation: Option<Attempt>,
    /// Whether the bound parts belong to more than one generation.
    mixed_generations: bool,
    /// Number of bound parts that are running.
    running: usize,
    /// Number of bound parts that are being stopped.
    pub(crate) stopping: usize,
    /// Number of bound parts on unresponsive machines.
    unresponsive: usize,
    /// Number of bound parts on machines that are draining or have a preemption notice.
    pub(crate) leaving: usize,
    /// Number of bound parts on machines that were declared failed.
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
            MachineHealth::Unresponsive => self.unresponsive += 1,
            MachineHealth::Leaving => self.leaving += 1,
            MachineHealth::Lost => self.lost += 1,
        }
    }

    /// Returns whether the bound parts can't form a complete replica any more.
    pub(crate) fn is_broken(&self) -> bool {
        let incomplete = self.bound < self.live || self.mixed_generations;
        self.bound > 0 && (incomplete || self.lost > 0 || self.stopping > 0)
    }

    /// Returns whether every part runs on a machine that sends heartbeats.
    pub(crate) fn is_complete(&self) -> bool {
        let is_intact = self.bound > 0 && !self.is_broken();
        is_intact && self.running == self.bound && self.unresponsive == 0
    }
}
