//! Observation of replica groups from outside the controllers: which replicas run
//! completely, what controllers report to users, and how long incomplete replicas occupy
//! machines. Also fixtures for tests of replica groups.

use super::{service, Simulation};
use ini::Ini;
use lilacfork::tuning::Tuning;
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// The longest time for which controllers may report an outdated state to users, with the
/// settings of the simulations: three heartbeat intervals until a machine is unresponsive,
/// one more interval, and the messages between controllers.
const MAX_REPORTING_LAG_MS: u64 = 6000;

/// What the observation of one replica has shown so far. All times are virtual.
#[derive(Clone, Debug, Default)]
struct ReplicaHistory {
    /// When all parts of the replica were last running at the same time; `None` if they never
    /// were.
    last_complete_ms: Option<u64>,
    /// Since when some parts of the replica have been running while others are on no machine;
    /// `None` if that is not the case now.
    incomplete_since_ms: Option<u64>,
}

/// Tracks the replicas of one job.
#[derive(Clone, Debug)]
pub struct ReplicaTracker {
    parts: u32,
    replicas: Vec<ReplicaHistory>,
    /// The longest time for which a replica had running parts while other parts were on no
    /// machine.
    pub longest_incomplete_ms: u64,
}

impl ReplicaTracker {
    /// Creates a tracker for a job of `tasks` tasks, where each replica consists of `parts` tasks.
    pub fn new(parts: u32, tasks: u32) -> ReplicaTracker {
        ReplicaTracker {
            parts,
            replicas: vec![ReplicaHistory::default(); (tasks / parts) as usize],
            longest_incomplete_ms: 0,
        }
    }

    /// Records the current states of the job's tasks, by task index. Tasks that are on no
    /// machine are missing.
    pub fn update(&mut self, now_ms: u64, task_states: &BTreeMap<u32, &'static str>) {
        for (index, history) in self.replicas.iter_mut().enumerate() {
            let first = index as u32 * self.parts;
            let states: Vec<Option<&&str>> = (first..first + self.parts)
                .map(|task| task_states.get(&task))
                .collect();
            let running = states
                .iter()
                .filter(|state| **state == Some(&"running"))
                .count();
            let on_machines = states.iter().flatten().count();
            if running == self.parts as usize {
                history.last_complete_ms = Some(now_ms);
            }
            if running > 0 && on_machines < self.parts as usize {
                let since_ms = *history.incomplete_since_ms.get_or_insert(now_ms);
                self.longest_incomplete_ms = self.longest_incomplete_ms.max(now_ms - since_ms);
            } else {
                history.incomplete_since_ms = None;
            }
        }
    }

    /// Returns whether a controller may report this number of running tasks to users. Only tasks
    /// of replicas that were complete within [`MAX_REPORTING_LAG_MS`] count, and always all parts
    /// of a replica.
    pub fn may_report_running(&self, now_ms: u64, running: u64) -> bool {
        let recently_complete = |history: &&ReplicaHistory| {
            let last_ms = history.last_complete_ms;
            last_ms.is_some_and(|last_ms| now_ms <= last_ms + MAX_REPORTING_LAG_MS)
        };
        let complete = self.replicas.iter().filter(recently_complete).count() as u64;
        let parts = u64::from(self.parts);
        running.is_multiple_of(parts) && running <= complete * parts
    }
}

/// Parses operators' tuning from the text of an INI file.
pub fn tuning_from_ini(text: &str) -> Tuning {
    let ini = Ini::load_from_str(text).expect("valid INI syntax");
    Tuning::from_ini(&ini, "test.ini").expect("valid tuning")
}

/// Returns tuning under which replicas of class `chat` have two parts each.
fn two_part_tuning() -> Tuning {
    tuning_from_ini("[replica_parts]\nchat = 2\n[replicas]\ngangs = 1\n")
}

/// Creates a cluster with [`two_part_tuning`], an elected leader and running machines in zone
/// `a`. Each machine has capacity for one part of a [`whole_machine_service`].
pub fn cluster_with_machines(nodes: usize, names: &[&str]) -> Simulation {
    let mut sim = Simulation::with_tuning(nodes, two_part_tuning());
    sim.capacity = 0;
    for name in names {
        sim.add_machine(name, "a", false, true);
    }
    sim.run_until(5000);
    assert!(sim.leader().is_some(), "no leader was elected within 5 s");
    sim
}

/// Returns the specification of a service whose tasks take a whole machine each.
pub fn whole_machine_service(id: &str, tasks: u32) -> Value {
    let mut spec = service(id, tasks);
    spec["gpus"] = json!(8.0);
    spec["cpus"] = json!(90.0);
    spec
}

/// Submits a service with replicas of two parts, tracks the replicas and runs until all of them
/// serve.
pub fn start_service(sim: &mut Simulation, spec: &Value) {
    let id = spec["id"].as_str().expect("a job id").to_string();
    let tasks = spec["pieces"].as_u64().expect("a number of tasks");
    sim.track_replicas(&id, 2, tasks as u32);
    let node = sim.leader().expect("a leader is elected");
    assert_eq!(sim.submit(node, spec), 201);
    sim.run_for(4000 + sim.image_pull_ms);
    assert_eq!(running(sim, &id), tasks, "not all replicas serve");
}

/// Returns how many tasks of a tracked job the leader reports as running. Without a leader, the
/// first controller that is up is queried.
pub fn running(sim: &mut Simulation, id: &str) -> u64 {
    let is_up = |index: &usize| sim.nodes[*index].is_some();
    let node = sim.leader().or((0..sim.nodes.len()).find(is_up));
    sim.reported_running_tasks(node.expect("a controller is up"), id)
}

/// Returns the machine that has each task of a job, by task name.
pub fn machines_by_task(sim: &Simulation, id: &str) -> BTreeMap<String, String> {
    let prefix = format!("{id}/");
    let mut machines = BTreeMap::new();
    for (name, worker) in &sim.workers {
        for (task, running) in &worker.tasks {
            if task.starts_with(&prefix) && running.state != "ended" {
                machines.insert(task.clone(), name.clone());
            }
        }
    }
    machines
}

/// Returns the attempt of each task of a job that is on a machine, by task name.
pub fn attempts_by_task(sim: &Simulation, id: &str) -> BTreeMap<String, u64> {
    let prefix = format!("{id}/");
    let tasks = sim.workers.values().flat_map(|worker| &worker.tasks);
    tasks
        .filter(|(task, running)| task.starts_with(&prefix) && running.state != "ended")
        .map(|(task, running)| (task.clone(), running.attempt))
        .collect()
}

/// Returns the first placement record of a job in the key-value store.
pub fn first_placement_record<'a>(sim: &'a Simulation, id: &str) -> Option<&'a Value> {
    sim.kv_store
        .items
        .get(&format!("p/{id}/0"))
        .map(|item| &item.0)
}
