//! Many of the faults that operators have met, several at a time, drawn at random from
//! fixed seeds. The observer checks the rules throughout; once all faults are over, every
//! accepted job has to be served.

use crate::simulation::fixtures::node_at;
use crate::simulation::{array, service, Delivery, Simulation};
use lilacfork::messages::Destination;
use serde_json::{json, Value};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// How likely each fault is, in percent; it changes over time.
#[derive(Clone, Copy, Default)]
struct FaultRates {
    late_txns: u32,
    lost_txn_responses: u32,
    slow_store_calls: u32,
    /// The node whose calls the key-value store rejects.
    rejected_node: Option<usize>,
    /// The node that is partitioned from its peers.
    partitioned_node: Option<usize>,
    lost_peer_calls: u32,
    late_commands: u32,
    /// Malformed responses, from anybody.
    garbled_responses: u32,
}

struct RandomFaults {
    sim: Simulation,
    rng: fastrand::Rng,
    rates: Rc<Cell<FaultRates>>,
    jobs: BTreeMap<String, Value>,
    /// Jobs whose cancellation was confirmed to a user.
    cancelled: Vec<String>,
    asked: Vec<(u64, String, &'static str)>,
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
        let hook_rates = rates.clone();
        let mut rng = fastrand::Rng::with_seed(seed ^ 0x5eed);
        sim.fault_injector = Box::new(move |_, node, call| {
            let rates = hook_rates.get();
            let mut chance = |percent: u32| percent > 0 && rng.u32(0..100) < percent;
            if call.destination != Destination::KvWatch && chance(rates.garbled_responses) {
                return Delivery::Garbled([200, 404, 409, 500][rng.usize(0..4)]);
            }
            match &call.destination {
                Destination::KvStore | Destination::KvWatch
                    if rates.rejected_node == Some(node) =>
                {
                    Delivery::Rejected
                }
                Destination::KvStore if call.path == "/txn" && chance(rates.late_txns) => {
                    Delivery::RequestDelayed(2000 + rng.u64(0..10_000))
                }
                Destination::KvStore if call.path == "/txn" && chance(rates.lost_txn_responses) => {
                    Delivery::ResponseLost
                }
                Destination::KvStore if chance(rates.slow_store_calls) => {
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
                Destination::Worker(_) if chance(rates.late_commands) => {
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
            asked: Vec::new(),
            old_heartbeats: Vec::new(),
            next_job: 0,
        }
    }

    fn node(&mut self) -> usize {
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
        let node = self.node();
        let user = self.sim.request(node, "POST", "/v2/runs", spec.clone());
        let id = spec["id"].as_str().unwrap().to_string();
        self.asked.push((user, id, "submit"));
    }

    fn cancel(&mut self) {
        let Some(id) = self.some_job() else { return };
        for _ in 0..self.rng.u32(1..3) {
            let node = self.node();
            let path = format!("/v2/runs/{id}/abort");
            let user = self.sim.request(node, "POST", &path, Value::Null);
            self.asked.push((user, id.clone(), "cancel"));
        }
    }

    fn look(&mut self) {
        let Some(id) = self.some_job() else { return };
        for node in 0..3 {
            let user = self
                .sim
                .request(node, "GET", &format!("/v2/runs/{id}"), Value::Null);
            self.asked.push((user, id.clone(), "show"));
            let pause = self.rng.u64(0..6);
            self.sim.run_for(pause);
        }
    }

    fn some_job(&mut self) -> Option<String> {
        let known: Vec<&String> = self.jobs.keys().collect();
        (!known.is_empty()).then(|| known[self.rng.usize(0..known.len())].clone())
    }

    fn some_machine(&mut self) -> Option<String> {
        let up: Vec<&String> = self
            .sim
            .workers
            .iter()
            .filter(|(_, m)| !m.released && m.up)
            .map(|(name, _)| name)
            .collect();
        (!up.is_empty()).then(|| up[self.rng.usize(0..up.len())].clone())
    }

    /// Begins a fault, or ends one.
    fn inject_fault(&mut self) {
        let mut rates = self.rates.get();
        let node = self.node();
        match self.rng.u32(0..23) {
            0 if self.sim.nodes[node].is_some() => self.sim.kill(node),
            1 => {
                if let Some(leader) = self.sim.leader() {
                    self.sim.kill(leader);
                }
            }
            2..=5 if self.sim.nodes[node].is_none() => self.sim.start(node),
            6 => rates.late_txns = self.rng.u32(0..40),
            7 => rates.lost_txn_responses = self.rng.u32(0..40),
            8 => rates.slow_store_calls = self.rng.u32(0..60),
            9 => rates.rejected_node = self.sim.leader(),
            10 => rates.partitioned_node = self.sim.leader(),
            11 => (rates.rejected_node, rates.partitioned_node) = (None, None),
            12 => rates.lost_peer_calls = self.rng.u32(0..50),
            13 => rates.late_commands = self.rng.u32(0..50),
            14 => self.sim.kv_store.unavailable = true,
            15 | 16 if self.sim.kv_store.unavailable => self.sim.end_kv_store_outage(),
            17 => {
                if let Some(name) = self.some_machine() {
                    let deaf = self.rng.bool();
                    let m = self.sim.workers.get_mut(&name).unwrap();
                    (m.inbound_blocked, m.outbound_blocked) = (deaf, !deaf);
                }
            }
            18 => {
                if let Some(name) = self.some_machine() {
                    let m = self.sim.workers.get_mut(&name).unwrap();
                    m.unresponsive = !m.unresponsive;
                }
            }
            19 => {
                let until = self.sim.now_ms + self.rng.u64(1000..9000);
                self.sim.paused_until_ms.insert(node, until);
            }
            20 => self.sim.cloud_unavailable = !self.sim.cloud_unavailable,
            22 => rates.garbled_responses = self.rng.u32(0..12),
            21 => self.sim.kv_store.watches_stalled = !self.sim.kv_store.watches_stalled,
            _ => {}
        }
        self.rates.set(rates);
    }

    /// Copies a heartbeat, and lets an earlier copy arrive at all nodes.
    fn replay_heartbeats(&mut self) {
        if let Some(name) = self.some_machine() {
            let mut copy = self.sim.next_heartbeat(&name);
            // As if it were one heartbeat older.
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
                    if let Some(id) = self.some_job() {
                        let spec = self.jobs[&id].clone();
                        self.send_spec(&spec);
                    }
                }
                6..=8 => self.look(),
                9..=11 => self.replay_heartbeats(),
                12..=14 => self.inject_fault(),
                _ => {}
            }
            let pause = self.rng.u64(1..700);
            self.sim.run_for(pause);
        }
    }

    fn calm(&mut self) {
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

    /// Submissions and cancellations are repeated until they are answered.
    fn settle(&mut self) {
        self.calm();
        self.sim.run_for(20_000);
        let specs: Vec<Value> = self.jobs.values().cloned().collect();
        let wanted: Vec<String> = self
            .asked
            .iter()
            .filter(|(_, _, verb)| *verb == "cancel")
            .map(|(_, id, _)| id.clone())
            .collect();
        for spec in &specs {
            let node = self.node();
            let status = self.sim.submit(node, spec);
            assert!(status == 200 || status == 201, "{spec} gets {status}");
        }
        for id in &wanted {
            let node = self.node();
            let (status, state) = self.sim.cancel(node, id);
            assert_eq!(status, 200, "{id}");
            if state == "cancelled" {
                self.cancelled.push(id.clone());
            }
        }
        // No job is left waiting for 90 s beside room that fits: arrays end,
        // and of services as much runs as the fleet and the limits hold.
        self.sim.run_for(90_000);
        let mut waiting = Vec::new();
        let mut services = Vec::new();
        for (id, spec) in self.jobs.clone() {
            let node = self.node();
            let (status, state) = self.sim.poll(node, &id);
            assert_eq!(status, 200, "{id}");
            if self.cancelled.contains(&id) {
                assert_eq!(state, "cancelled", "{id}");
                assert_eq!(self.sim.on_machines(&format!("{id}/")), 0, "{id}");
            } else if state != "done" && spec["genre"] == "service" {
                services.push((id, spec));
            } else if state != "done" {
                waiting.push((id, spec));
            }
        }
        let missing: Vec<String> = services
            .iter()
            .filter(|(id, spec)| {
                let on = self.sim.on_machines(&format!("{id}/")) as u64;
                on < spec["pieces"].as_u64().unwrap()
            })
            .chain(&waiting)
            .map(|(id, spec)| format!("{id} {spec}"))
            .collect();
        // The limit of the team, or the cloud's capacity, may leave some out.
        let blue = self.gpus_of(&services, "blue");
        let all = blue + self.gpus_of(&services, "red");
        let full = all >= (self.sim.capacity * 8) as f64 * 0.8;
        let excused = |m: &&String| full || (m.contains("blue") && blue >= 12.0);
        let fair: Vec<&String> = missing.iter().filter(|m| !excused(m)).collect();
        assert!(fair.is_empty(), "left waiting: {fair:#?}");
    }

    fn gpus_of(&self, services: &[(String, Value)], team: &str) -> f64 {
        services
            .iter()
            .filter(|(_, s)| s["equipe"] == team)
            .map(|(_, s)| s["pieces"].as_f64().unwrap_or(0.0) * s["gpus"].as_f64().unwrap_or(0.0))
            .sum()
    }
}

/// Two minutes of random faults, and then time for everything to be served.
fn run_seed(seed: u64) {
    let mut run = RandomFaults::new(seed);
    run.sim.run_until(4000);
    run.run_with_faults(120_000);
    run.settle();
}

/// `SEEDS=FROM..TO` in the environment runs other seeds.
#[test]
fn random_faults_break_no_rule_and_leave_no_job_waiting() {
    let seeds = std::env::var("SEEDS").ok();
    let seeds = seeds
        .as_deref()
        .and_then(|s| s.split_once(".."))
        .and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    for seed in seeds.unwrap_or(0..24) {
        println!("seed {seed}");
        run_seed(seed);
    }
}
