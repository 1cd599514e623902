//! The limits on the size of a load test, set by the operators of the machine.

use super::RunError;
use crate::scenario::Scenario;

/// The maximum number of processes of a load test.
const MAX_PROCESSES: u32 = 200;
/// The maximum resident memory of all processes together, in MB.
pub(super) const MAX_MEMORY_MB: f64 = 12_000.0;
/// The key-value store, the cloud, the users and the harness itself.
const OTHER_PROCESSES: u32 = 4;
/// The sockets that a process of simulated workers needs per worker: a listener, the
/// worker's connection to a controller, and direct connections from two controllers during
/// a failover.
const SOCKETS_PER_WORKER: u64 = 4;
/// The sockets and files that a process needs regardless of its size.
const RESERVED_FILES: u64 = 200;

/// Checks that the load test stays within the allowed number of processes and within the
/// limit of open files per process; `None`: that limit is unknown or there is none. To be
/// called before any process is started.
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
    let worker_sockets = u64::from(scenario.workers.per_process) * SOCKETS_PER_WORKER;
    let controller_sockets = u64::from(scenario.controllers.max_connections);
    let needed = worker_sockets.max(controller_sockets) + RESERVED_FILES;
    match open_files_limit {
        Some(limit) if limit < needed => Err(RunError::TooManyFiles { needed, limit }),
        _ => Ok(()),
    }
}
