//! What the leader sets aside is used again or replaced in time, whatever happens to it
//! meanwhile. Each test is a row of the table in `docs/UNUSED_CAPACITY.md`.

mod capacity;
mod cordons;
mod draining;
mod machines;
mod randomized;
mod tasks;

use crate::simulation::Simulation;

/// The aim for a machine that is gone: the time until its tasks run elsewhere. Failure
/// detection takes 0.8 leases.
const REPLACED_MS: u64 = 12_000;

/// How a machine becomes useless from one moment to the next.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Loss {
    /// It sends no heartbeats and receives no commands; its tasks go on until its lease ends.
    Silent,
    /// The cloud takes it back without notice.
    Taken,
    /// It hangs and goes on after its lease has ended.
    Hung,
}

impl Loss {
    const ALL: [Loss; 3] = [Loss::Silent, Loss::Taken, Loss::Hung];
}

/// Lets a machine become useless. A machine that hangs is to be woken by [`end_hang`].
fn lose_machine(sim: &mut Simulation, name: &str, loss: Loss) {
    match loss {
        Loss::Silent | Loss::Hung => sim.workers.get_mut(name).unwrap().unresponsive = true,
        Loss::Taken => sim.take_machine(name),
    }
}

/// Lets a machine that hung go on.
fn end_hang(sim: &mut Simulation, name: &str, loss: Loss) {
    if loss == Loss::Hung {
        sim.workers.get_mut(name).unwrap().unresponsive = false;
    }
}

/// Returns the tasks of a job, or of several, that are on one machine and haven't ended.
fn tasks_on(sim: &Simulation, machine: &str, prefix: &str) -> usize {
    let tasks = &sim.workers[machine].tasks;
    tasks
        .iter()
        .filter(|(name, task)| name.starts_with(prefix) && task.state != "ended")
        .count()
}

/// Runs the simulation until a condition holds, and returns after how many milliseconds it did.
/// Fails the test if it doesn't within `limit_ms`.
#[track_caller]
fn time_until(
    sim: &mut Simulation,
    limit_ms: u64,
    what: &str,
    holds: impl Fn(&Simulation) -> bool,
) -> u64 {
    const STEP_MS: u64 = 100;
    let began_ms = sim.now_ms;
    while !holds(sim) {
        assert!(
            sim.now_ms < began_ms + limit_ms,
            "not within {limit_ms} ms: {what}; starts: {:?}",
            sim.start_log
        );
        sim.run_for(STEP_MS);
    }
    sim.now_ms - began_ms
}
