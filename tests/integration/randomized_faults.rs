//! Random combinations of faults that operators have encountered, drawn from fixed seeds. The
//! observer checks the protocol's rules throughout. Once all faults have ended, every accepted
//! job must be served.

use crate::simulation::fixtures::{node_at, seeds_or};
use crate::simulation::{array, service, Delivery, Simulation};
use lilacfork::messages::Destination;
use serde_json::{json, Value};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The probability of each fault in percent, and the controllers whose calls currently all fail.
/// All of these values change during the run.
#[derive(Clone, Copy, Default)]
struct FaultRates {
    /// Transactions that time out and are executed 2 to 12 s later.
    delayed_transactions: u32,
    lost_transaction_responses: u32,
    /// Calls to the key-value store, other than watches, whose responses are delayed by up to
    /// 0.8 s.
    slow_kv_calls: u32,
    /// The controller whose calls the key-value store rejects; `None` if it rejects no calls.
    rejected_node: Option<usize>,
    /// The controller that is partitioned from its peers; `None` if there is no such partition.
    partitioned_node: Option<usize>,
    lost_peer_calls: u32,
    /// Direct commands that time out and are executed 0.5 to 6 s later.
    delayed_commands: u32,
    /// Malformed responses to any call except a watch.
    malformed_responses: u32,
}

/// A simulation with random requests of users and random faults.
struct RandomFaults {
    sim: Simulation,
    rng: fastrand::Rng,
    rates: Rc<Cell<FaultRates>>,
    /// Specifications of all submitted jobs, by job ID.
    jobs: BTreeMap<String, Value>,
    /// Jobs whose cancellation was confirmed to a user.
    cancelled: Vec<String>,
    /// Request number, job and kind (`submit`, `cancel` or `query`) of each request that users
    /// sent.
    requests: Vec<(u64, String, &'static str)>,
    /// Copies of earlier heartbeats that haven't been delivered yet.
    old_heartbeats: Vec<Value>,
    next_job: u32,
}

impl RandomFaults {
    fn new(seed: u64) -> RandomFaults {
        let mut sim = Simulation::new(3);
        sim.capacity = 12;
        sim.boot_ms = 1500;
        for (n, zone) in ["a", "b", "a", "b"].into_iter().enumerate() {
            sim.add_machine(&format!("vm-{n}"), zone, false, true);
        }
        let rates = Rc::new(Cell::new(FaultRates::default()));
        let injector_rates = rates.clone();
        let mut rng = fastrand::Rng::with_seed(seed ^ 0x5eed);
        sim.fault_injector = Box::new(move |_, node, call| {
            let rates = injector_rates.get();
            let mut chance = |percent: u32| percent > 0 && rng.u32(0..100) < percent;
            if call.destination != Destination::KvWatch && chance(rates.malformed_responses) {
                return Delivery::MalformedResponse([200, 404, 409, 500][rng.usize(0..4)]);
            }
            match &call.destination {
                Destination::KvStore | Destination::KvWatch
                    if rates.rejected_node == Some(node) =>
                {
                    Delivery::Rejected
                }
                Destination::KvStore
                    if call.path == "/txn" && chance(rates.delayed_transactions) =>
                {
                    Delivery::RequestDelayed(2000 + rng.u64(0..10_000))
                }
                Destination::KvStore
                    if call.path == "/txn" && chance(rates.lost_transaction_responses) =>
                {
                    Delivery::ResponseLost
                }
                Destination::KvStore if chance(rates.slow_kv_calls) => {
                    Delivery::ResponseDelayed(rng.u64(0..800))
                }
                Destination::Peer(addr) => {
                    let to = node_at(addr);
                    let partitioned = rates.partitioned_node.is_some_and(|n| n == node || n == to);
                    if partitioned || chance(rates.lost_peer_calls) {
                        Delivery::RequestLost
                    } else {
                        Delivery::Normal
                    }
                }
                Destination::Worker(_) if chance(rates.delayed_commands) => {
                    Delivery::RequestDelayed(rng.u64(500..6000))
                }
                _ => Delivery::Normal,
            }
        });
        RandomFaults {
            sim,
            rng: fastrand::Rng::with_seed(seed),
            rates,
            jobs: BTreeMap::new(),
            cancelled: Vec::new(),
            requests: Vec::new(),
            old_heartbeats: Vec::new(),
            next_job: 0,
        }
    }

    fn random_node(&mut self) -> usize {
        self.rng.usize(0..3)
    }

    fn submit(&mut self) {
        let id = format!("run-{}", self.next_job);
        self.next_job += 1;
        let mut spec = match self.rng.u32(0..3) {
            0 => service(&id, self.rng.u32(1..5)),
            _ => array(&id, self.rng.u32(1..5)),
        };
        if self.rng.bool() {
            spec["equipe"] = json!("blue");
        }
        match self.rng.u32(0..6) {
            0 => spec["secteur"] = json!("a"),
            1 => spec["spread"] = json!(true),
            2 => spec["samePlace"] = json!(true),
            _ => {}
        }
        self.jobs.insert(id, spec.clone());
        self.send_spec(&spec);
    }

    fn send_spec(&mut self, spec: &Value) {
        let node = self.random_node();
        let user = self.sim.request(node, "POST", "/v2/runs", spec.clone());
        let id = spec["id"].as_str().unwrap().to_string();
        self.requests.push((user, id, "submit"));
    }

    fn cancel(&mut self) {
        let Some(id) = self.random_job() else { return };
        for _ in 0..self.rng.u32(1..3) {
            let node = self.random_node();
            let path = format!("/v2/runs/{id}/abort");
            let user = self.sim.request(node, "POST", &path, Value::Null);
            self.requests.push((user, id.clone(), "cancel"));
        }
    }

    /// Queries a random job at every controller.
    fn query(&mut self) {
        let Some(id) = self.random_job() else { return };
        for node in 0..3 {
            let user = self
                .sim
                .request(node, "GET", &format!("/v2/runs/{id}"), Value::Null);
            self.requests.push((user, id.clone(), "query"));
            let pause = self.rng.u64(0..6);
            self.sim.run_for(pause);
        }
    }

    fn random_job(&mut self) -> Option<String> {
        let known: Vec<&String> = self.jobs.keys().collect();
        (!known.is_empty()).then(|| known[self.rng.usize(0..known.len())].clone())
    }

    fn random_machine(&mut self) -> Option<String> {
        let up: Vec<&String> = self
            .sim
            .workers
            .iter()
            .filter(|(_, m)| !m.released && m.up)
            .map(|(name, _)| name)
            .collect();
        (!up.is_empty()).then(|| up[self.rng.usize(0..up.len())].clone())
    }

    /// Starts or ends a random fault.
    fn inject_fault(&mut self) {
        let mut rates = self.rates.get();
        let node = self.random_node();
        match self.rng.u32(0..23) {
            0 if self.sim.nodes[node].is_some() => self.sim.kill(node),
            1 => {
                if let Some(leader) = self.sim.leader() {
                    self.sim.kill(leader);
                }
            }
            2..=5 if self.sim.nodes[node].is_none() => self.sim.start(node),
            6 => rates.delayed_transactions = self.rng.u32(0..40),
            7 => rates.lost_transaction_responses = self.rng.u32(0..40),
            8 => rates.slow_kv_calls = self.rng.u32(0..60),
            9 => rates.rejected_node = self.sim.leader(),
            10 => rates.partitioned_node = self.sim.leader(),
            11 => (rates.rejected_node, rates.partitioned_node) = (None, None),
            12 => rates.lost_peer_calls = self.rng.u32(0..50),
            13 => rates.delayed_commands = self.rng.u32(0..50),
            14 => self.sim.kv_store.unavailable = true,
            15 | 16 if self.sim.kv_store.unavailable => self.sim.end_kv_store_outage(),
            17 => {
                if let Some(name) = self.random_machine() {
                    let inbound_blocked = self.rng.bool();
                    let m = self.sim.workers.get_mut(&name).unwrap();
                    (m.inbound_blocked, m.outbound_blocked) = (inbound_blocked, !inbound_blocked);
                }
            }
            18 => {
                if let Some(name) = self.random_machine() {
                    let m = self.sim.workers.get_mut(&name).unwrap();
                    m.unresponsive = !m.unresponsive;
                }
            }
            19 => {
                let resumes_ms = self.sim.now_ms + self.rng.u64(1000..9000);
                self.sim.paused_until_ms.insert(node, resumes_ms);
            }
            20 => self.sim.cloud_unavailable = !self.sim.cloud_unavailable,
            22 => rates.malformed_responses = self.rng.u32(0..12),
            21 => self.sim.kv_store.watches_stalled = !self.sim.kv_store.watches_stalled,
            _ => {}
        }
        self.rates.set(rates);
    }

    /// Copies the next heartbeat of a random machine, and may deliver an earlier copy to all
    /// controllers.
    fn replay_heartbeats(&mut self) {
        if let Some(name) = self.random_machine() {
            let mut copy = self.sim.next_heartbeat(&name);
            // The copy gets the sequence number of the previous heartbeat.
            copy["numero"] = json!(copy["numero"].as_u64().unwrap_or(1) - 1);
            self.old_heartbeats.push(copy);
        }
        if !self.old_heartbeats.is_empty() && self.rng.bool() {
            let n = self.rng.usize(0..self.old_heartbeats.len());
            let copy = self.old_heartbeats.swap_remove(n);
            for node in 0..3 {
                if self.sim.nodes[node].is_some() {
                    self.sim.deliver_heartbeat(node, &copy);
                }
            }
        }
    }

    fn run_with_faults(&mut self, until_ms: u64) {
        while self.sim.now_ms < until_ms {
            match self.rng.u32(0..20) {
                0..=3 => self.submit(),
                4 => self.cancel(),
                5 => {
                    if let Some(id) = self.random_job() {
                        let spec = self.jobs[&id].clone();
                        self.send_spec(&spec);
                    }
                }
                6..=8 => self.query(),
                9..=11 => self.replay_heartbeats(),
                12..=14 => self.inject_fault(),
                _ => {}
            }
            let pause = self.rng.u64(1..700);
            self.sim.run_for(pause);
        }
    }

    fn end_all_faults(&mut self) {
        self.rates.set(FaultRates::default());
        self.sim.paused_until_ms.clear();
        self.sim.cloud_unavailable = false;
        self.sim.kv_store.watches_stalled = false;
        if self.sim.kv_store.unavailable {
            self.sim.end_kv_store_outage();
        }
        for node in 0..3 {
            if self.sim.nodes[node].is_none() {
                self.sim.start(node);
            }
        }
        for m in self.sim.workers.values_mut() {
            (m.unresponsive, m.inbound_blocked, m.outbound_blocked) = (false, false, false);
        }
    }

    /// Ends all faults, repeats all submissions and cancellations, and checks that every job is
    /// cancelled or served.
    fn check_jobs_after_faults(&mut self) {
        self.end_all_faults();
        self.sim.run_for(20_000);
        let specs: Vec<Value> = self.jobs.values().cloned().collect();
        let cancellations: Vec<String> = self
            .requests
            .iter()
            .filter(|(_, _, kind)| *kind == "cancel")
            .map(|(_, id, _)| id.clone())
            .collect();
        for spec in &specs {
            let node = self.random_node();
            let status = self.sim.submit(node, spec);
            assert!(
                status == 200 || status == 201,
                "status {status} for submission {spec}"
            );
        }
        for id in &cancellations {
            let node = self.random_node();
            let (status, state) = self.sim.cancel(node, id);
            assert_eq!(status, 200, "cancellation of {id}");
            if state == "cancelled" {
                self.cancelled.push(id.clone());
            }
        }
        // No job must wait for 90 s while suitable capacity is free: arrays must complete, and
        // services must run as many tasks as the capacity and the quotas allow.
        self.sim.run_for(90_000);
        let mut waiting = Vec::new();
        let mut services = Vec::new();
        for (id, spec) in self.jobs.clone() {
            let node = self.random_node();
            let (status, state) = self.sim.query(node, &id);
            assert_eq!(status, 200, "query of {id}");
            if self.cancelled.contains(&id) {
                assert_eq!(state, "cancelled", "{id} did not stay cancelled");
                assert_eq!(self.sim.on_machines(&format!("{id}/")), 0, "tasks of {id}");
            } else if state != "done" && spec["genre"] == "service" {
                services.push((id, spec));
            } else if state != "done" {
                waiting.push((id, spec));
            }
        }
        let incomplete: Vec<String> = services
            .iter()
            .filter(|(id, spec)| {
                let placed = self.sim.on_machines(&format!("{id}/")) as u64;
                placed < spec["pieces"].as_u64().unwrap()
            })
            .chain(&waiting)
            .map(|(id, spec)| format!("{id} {spec}"))
            .collect();
        // Jobs may wait if their team is at its quota or the cloud's capacity is exhausted.
        let blue_gpus = self.service_gpus(&services, "blue");
        let all_gpus = blue_gpus + self.service_gpus(&services, "red");
        let capacity_exhausted = all_gpus >= (self.sim.capacity * 8) as f64 * 0.8;
        let may_wait =
            |job: &&String| capacity_exhausted || (job.contains("blue") && blue_gpus >= 12.0);
        let unserved: Vec<&String> = incomplete.iter().filter(|job| !may_wait(job)).collect();
        assert!(
            unserved.is_empty(),
            "not served although capacity is free: {unserved:#?}"
        );
    }

    /// Returns how many GPUs all tasks of a team's services take together.
    fn service_gpus(&self, services: &[(String, Value)], team: &str) -> f64 {
        services
            .iter()
            .filter(|(_, s)| s["equipe"] == team)
            .map(|(_, s)| s["pieces"].as_f64().unwrap_or(0.0) * s["gpus"].as_f64().unwrap_or(0.0))
            .sum()
    }
}

/// Runs two minutes of random faults and then checks all jobs.
fn run_seed(seed: u64) {
    let mut run = RandomFaults::new(seed);
    run.sim.run_until(4000);
    run.run_with_faults(120_000);
    run.check_jobs_after_faults();
}

/// Runs the seeds 0 to 23, or those of `SEEDS=FROM..TO` in the environment (`TO` is excluded).
#[test]
fn random_faults_violate_no_rule_and_leave_no_job_unserved() {
    for seed in seeds_or(0..24) {
        println!("seed {seed}");
        run_seed(seed);
    }
}
