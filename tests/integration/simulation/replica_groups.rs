//! Replica groups as observed from outside: which replicas are whole, what users are
//! shown of them, and how long an incomplete replica has parts on machines.

use super::{service, Simulation};
use ini::Ini;
use lilacfork::tuning::Tuning;
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// The longest time for which users may be shown an outdated state, with the settings of
/// the simulations: three heartbeats until a machine counts as silent, one more, and the
/// messages between controllers.
pub const LAG_MS: u64 = 6000;

/// The actual state of one replica.
#[derive(Clone, Debug, Default)]
struct ReplicaHistory {
    /// When all its parts last ran.
    last_whole_ms: Option<u64>,
    /// Since when some of its parts run and others are on no machine.
    incomplete_since_ms: Option<u64>,
}

/// Observes the replicas of a job.
#[derive(Clone, Debug)]
pub struct Watched {
    parts: u32,
    replicas: Vec<ReplicaHistory>,
    /// The longest time for which an incomplete replica had parts on machines.
    pub longest_incomplete_ms: u64,
}

impl Watched {
    /// Observes a job with this number of tasks, and of parts per replica.
    pub fn new(parts: u32, tasks: u32) -> Watched {
        Watched {
            parts,
            replicas: vec![ReplicaHistory::default(); (tasks / parts) as usize],
            longest_incomplete_ms: 0,
        }
    }

    /// Takes in the current state. `present`: the state of each of the job's tasks on the
    /// one machine that may have it.
    pub fn look(&mut self, now: u64, present: &BTreeMap<u32, &'static str>) {
        for (index, history) in self.replicas.iter_mut().enumerate() {
            let first = index as u32 * self.parts;
            let states: Vec<Option<&&str>> = (first..first + self.parts)
                .map(|task| present.get(&task))
                .collect();
            let running = states
                .iter()
                .filter(|state| **state == Some(&"running"))
                .count();
            let on_machines = states.iter().flatten().count();
            if running == self.parts as usize {
                history.last_whole_ms = Some(now);
            }
            if running > 0 && on_machines < self.parts as usize {
                let since_ms = *history.incomplete_since_ms.get_or_insert(now);
                self.longest_incomplete_ms = self.longest_incomplete_ms.max(now - since_ms);
            } else {
                history.incomplete_since_ms = None;
            }
        }
    }

    /// Whether users may be shown this number of running tasks.
    pub fn may_run(&self, now: u64, running: u64) -> bool {
        let recently_whole = |history: &&ReplicaHistory| {
            let last_ms = history.last_whole_ms;
            last_ms.is_some_and(|last_ms| now <= last_ms + LAG_MS)
        };
        let whole = self.replicas.iter().filter(recently_whole).count() as u64;
        let parts = u64::from(self.parts);
        running.is_multiple_of(parts) && running <= whole * parts
    }
}

/// Operators' settings from the text of an INI file.
pub fn options(text: &str) -> Tuning {
    let ini = Ini::load_from_str(text).expect("an INI file");
    Tuning::from_ini(&ini, "test.ini").expect("sound settings")
}

/// Settings under which replicas of the simulations' services have two parts.
pub fn pairs() -> Tuning {
    options("[replica_parts]\nchat = 2\n[replicas]\ngangs = 1\n")
}

/// Controllers, and machines in zone `a`, each of which has capacity for one part.
pub fn machines(nodes: usize, names: &[&str]) -> Simulation {
    let mut sim = Simulation::with_tuning(nodes, pairs());
    sim.capacity = 0;
    for name in names {
        sim.add_machine(name, "a", false, true);
    }
    sim.run_until(5000);
    assert!(sim.leader().is_some(), "somebody leads");
    sim
}

/// A service whose tasks take a whole machine each.
pub fn wide(id: &str, tasks: u32) -> Value {
    let mut spec = service(id, tasks);
    spec["gpus"] = json!(8.0);
    spec["cpus"] = json!(90.0);
    spec
}

/// Submits a service and waits until all of it runs.
pub fn started(sim: &mut Simulation, spec: &Value) {
    let id = spec["id"].as_str().expect("an id").to_string();
    let tasks = spec["pieces"].as_u64().expect("a number");
    sim.watch_replicas(&id, 2, tasks as u32);
    let node = sim.leader().expect("somebody leads");
    assert_eq!(sim.submit(node, spec), 201);
    sim.run_for(4000 + sim.image_fetch_ms);
    assert_eq!(shown(sim, &id), tasks, "all replicas serve");
}

/// How many running tasks users are shown, by the leader or else by any node.
pub fn shown(sim: &mut Simulation, id: &str) -> u64 {
    let is_up = |index: &usize| sim.nodes[*index].is_some();
    let node = sim.leader().or((0..sim.nodes.len()).find(is_up));
    sim.reported_running_tasks(node.expect("a node is up"), id)
}

/// The machines that have the job's tasks, by task.
pub fn places(sim: &Simulation, id: &str) -> BTreeMap<String, String> {
    let prefix = format!("{id}/");
    let mut places = BTreeMap::new();
    for (name, worker) in &sim.workers {
        for (task, running) in &worker.tasks {
            if task.starts_with(&prefix) && running.state != "ended" {
                places.insert(task.clone(), name.clone());
            }
        }
    }
    places
}

/// The attempts of the job's tasks that are on machines, by task.
pub fn attempts(sim: &Simulation, id: &str) -> BTreeMap<String, u64> {
    let prefix = format!("{id}/");
    let tasks = sim.workers.values().flat_map(|worker| &worker.tasks);
    tasks
        .filter(|(task, running)| task.starts_with(&prefix) && running.state != "ended")
        .map(|(task, running)| (task.clone(), running.attempt))
        .collect()
}

/// The job's first placement record, if it is stored.
pub fn placement<'a>(sim: &'a Simulation, id: &str) -> Option<&'a Value> {
    sim.kv_store
        .items
        .get(&format!("p/{id}/0"))
        .map(|item| &item.0)
}
