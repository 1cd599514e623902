//! Random troubles of machines and leaders, drawn from fixed seeds. The observer judges that no job
//! is left waiting for 90 s beside room once they are over.

use crate::simulation::fixtures::{seeds_or, service_without_objective};
use crate::simulation::{array, service, Simulation, Worker};
use lilacfork::waiting::MAX_WAIT_MS;
use serde_json::{json, Value};

/// The machines at the beginning, each with its zone.
const MACHINES: [(&str, &str); 4] = [("vm-0", "a"), ("vm-1", "b"), ("vm-2", "a"), ("vm-3", "b")];
/// For how long troubles begin.
const TROUBLES_MS: u64 = 60_000;
/// Mean time between two events.
const EVENT_INTERVAL_MS: u64 = 1500;
/// The longest time for which a trouble lasts.
const MAX_TROUBLE_MS: u64 = 25_000;

/// What is wrong with a machine for a while.
#[derive(Clone, Copy, Debug)]
enum MachineTrouble {
    Silent,
    Deaf,
    Mute,
    Sick,
    Notice,
}

impl MachineTrouble {
    const ALL: [MachineTrouble; 5] = [
        MachineTrouble::Silent,
        MachineTrouble::Deaf,
        MachineTrouble::Mute,
        MachineTrouble::Sick,
        MachineTrouble::Notice,
    ];

    fn set(self, worker: &mut Worker, is_on: bool) {
        match self {
            MachineTrouble::Silent => worker.unresponsive = is_on,
            MachineTrouble::Deaf => worker.inbound_blocked = is_on,
            MachineTrouble::Mute => worker.outbound_blocked = is_on,
            MachineTrouble::Sick => worker.faulty = is_on,
            MachineTrouble::Notice => worker.preemption_notice_s = is_on.then_some(30.0),
        }
    }
}

/// A trouble that ends at a known time.
struct Ending {
    at_ms: u64,
    machine: String,
    trouble: MachineTrouble,
}

struct RandomTroubles {
    sim: Simulation,
    rng: fastrand::Rng,
    endings: Vec<Ending>,
    /// When each controller that is down is started again.
    restarts: Vec<(u64, usize)>,
    services: Vec<String>,
    next_job: u32,
}

impl RandomTroubles {
    /// Creates a cluster of four machines with a replica each, which keep them from being idle.
    /// Others can be provisioned only in place of machines that are gone.
    fn new(seed: u64) -> RandomTroubles {
        let mut sim = Simulation::new(3);
        sim.capacity = MACHINES.len();
        sim.boot_ms = 20_000;
        sim.task_duration_ms = 12_000;
        for (name, zone) in MACHINES {
            sim.add_machine(name, zone, false, true);
        }
        sim.run_until(5000);
        for (name, zone) in MACHINES {
            let mut replica = service_without_objective(&name.replace("vm-", "run-90"));
            replica["pieces"] = json!(1);
            replica["gpus"] = json!(4.0);
            replica["secteur"] = json!(zone);
            assert_eq!(sim.submit(0, &replica), 201);
            sim.run_for(200);
        }
        RandomTroubles {
            sim,
            rng: fastrand::Rng::with_seed(seed),
            endings: Vec::new(),
            restarts: Vec::new(),
            services: Vec::new(),
            next_job: 1,
        }
    }

    /// Submits a job to any controller that is up. It may fail everywhere.
    fn submit(&mut self) {
        let id = format!("run-{}", self.next_job);
        self.next_job += 1;
        let mut spec = self.draw_job(&id);
        if self.rng.u32(0..3) == 0 {
            spec["secteur"] = json!(["a", "b"][self.rng.usize(0..2)]);
        }
        if self.rng.u32(0..12) == 0 {
            self.sim.failing_jobs.insert(id.clone());
        }
        self.submit_spec(spec);
    }

    fn submit_spec(&mut self, spec: Value) {
        if let Some(node) = (0..3).find(|node| self.sim.nodes[*node].is_some()) {
            self.sim.request(node, "POST", "/v2/runs", spec);
        }
    }

    fn draw_job(&mut self, id: &str) -> Value {
        let tasks = self.rng.u32(1..9);
        match self.rng.u32(0..6) {
            0 => {
                self.services.push(id.to_string());
                let mut spec = service(id, tasks.min(4));
                spec["occasion"] = json!(true);
                spec["jalonS"] = json!(1.0);
                spec["sauvegardeS"] = json!(f64::from(self.rng.u32(0..5)));
                spec
            }
            1 => {
                let mut spec = array(id, tasks.min(3));
                spec["genre"] = json!("group");
                spec["gpus"] = json!(f64::from(self.rng.u32(1..5)));
                spec
            }
            _ => array(id, tasks),
        }
    }

    fn cancel_a_service(&mut self) {
        if self.services.len() < 3 {
            return;
        }
        let index = self.rng.usize(0..self.services.len());
        let id = self.services.swap_remove(index);
        if let Some(leader) = self.sim.leader() {
            let path = format!("/v2/runs/{id}/abort");
            self.sim.request(leader, "POST", &path, Value::Null);
        }
    }

    fn trouble_a_machine(&mut self) {
        let names: Vec<String> = self.sim.workers.keys().cloned().collect();
        let machine = names[self.rng.usize(0..names.len())].clone();
        let trouble = MachineTrouble::ALL[self.rng.usize(0..MachineTrouble::ALL.len())];
        let at_ms = self.sim.now_ms + 2000 + self.rng.u64(0..MAX_TROUBLE_MS);
        trouble.set(self.sim.workers.get_mut(&machine).unwrap(), true);
        self.endings.push(Ending {
            at_ms,
            machine,
            trouble,
        });
    }

    fn take_a_machine(&mut self) {
        let names: Vec<String> = self.sim.workers.keys().cloned().collect();
        let machine = &names[self.rng.usize(0..names.len())];
        self.sim.take_machine(machine);
    }

    fn kill_the_leader(&mut self) {
        if let Some(leader) = self.sim.leader().filter(|_| self.restarts.is_empty()) {
            self.sim.kill(leader);
            let at_ms = self.sim.now_ms + 500 + self.rng.u64(0..8000);
            self.restarts.push((at_ms, leader));
        }
    }

    fn end_troubles(&mut self, until_ms: u64) {
        for ending in &self.endings {
            let worker = self.sim.workers.get_mut(&ending.machine);
            if let Some(worker) = worker.filter(|_| ending.at_ms <= until_ms) {
                ending.trouble.set(worker, false);
            }
        }
        self.endings.retain(|ending| ending.at_ms > until_ms);
        for (_, node) in self.restarts.iter().filter(|(at_ms, _)| *at_ms <= until_ms) {
            self.sim.start(*node);
        }
        self.restarts.retain(|(at_ms, _)| *at_ms > until_ms);
    }

    fn step(&mut self) {
        match self.rng.u32(0..40) {
            0..=15 => self.submit(),
            16..=21 => self.cancel_a_service(),
            22..=36 => self.trouble_a_machine(),
            37 => self.take_a_machine(),
            _ => self.kill_the_leader(),
        }
        let now_ms = self.sim.now_ms;
        self.end_troubles(now_ms);
        let pause_ms = self.rng.u64(0..2 * EVENT_INTERVAL_MS);
        self.sim.run_for(pause_ms);
    }

    /// Runs through all troubles, and then for as long as the observer needs for its verdict.
    fn run(mut self) {
        let troubles_end_ms = self.sim.now_ms + TROUBLES_MS;
        while self.sim.now_ms < troubles_end_ms {
            self.step();
        }
        for zone in ["a", "b"] {
            let mut last = array(&format!("run-80{}", u32::from(zone == "b")), 2);
            last["secteur"] = json!(zone);
            self.submit_spec(last);
            self.sim.run_for(1000);
        }
        self.end_troubles(u64::MAX);
        self.sim.run_for(MAX_WAIT_MS + MAX_WAIT_MS / 2);
    }
}

/// Seeds that found a fault: one job's failures kept a machine closed to all others for the whole
/// pause (326), and a job with an open circuit breaker waited for a machine that another one, with
/// a mistake, kept cordoned (362).
const REGRESSION_SEEDS: [u64; 2] = [326, 362];

/// Runs the seeds 0 to 11 and those that found a fault, or those of `SEEDS=FROM..TO` in the environment (`TO` is excluded).
#[test]
fn no_job_is_left_waiting_after_random_troubles() {
    for seed in seeds_or(0..12).chain(REGRESSION_SEEDS) {
        println!("seed {seed}");
        RandomTroubles::new(seed).run();
    }
}
