//! The operators' limits on a load test, checked before anything is started.

use super::RunError;
use crate::scenario::Scenario;

/// The operators' limit on processes.
const MAX_PROCESSES: u32 = 200;
/// The operators' limit on the memory of all processes together, in MB.
pub(super) const MAX_MEMORY_MB: f64 = 12_000.0;
/// Key-value store, cloud, users and the harness itself.
const OTHER_PROCESSES: u32 = 4;
/// Sockets of a process of simulated workers per worker: its listener, its link,
/// and a direct connection of each of two controllers during a failover.
const SOCKETS_PER_WORKER: u64 = 4;
/// Sockets and files of a process besides those that its size asks for.
const RESERVED_FILES: u64 = 200;

/// Rejects what doesn't fit on this machine, before anything is started.
pub fn check_size(scenario: &Scenario, open_files_limit: Option<u64>) -> Result<(), RunError> {
    let worker_processes = scenario
        .machine_count()
        .div_ceil(scenario.workers.per_process);
    let processes = worker_processes + scenario.controllers.count + OTHER_PROCESSES;
    if processes > MAX_PROCESSES {
        return Err(RunError::TooManyProcesses {
            needed: processes,
            limit: MAX_PROCESSES,
        });
    }
    let for_workers = u64::from(scenario.workers.per_process) * SOCKETS_PER_WORKER;
    let for_controller = u64::from(scenario.controllers.max_connections);
    let needed = for_workers.max(for_controller) + RESERVED_FILES;
    match open_files_limit {
        Some(limit) if limit < needed => Err(RunError::TooManyFiles { needed, limit }),
        _ => Ok(()),
    }
}
