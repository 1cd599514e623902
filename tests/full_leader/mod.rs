//! A leader of a full fleet, to which events are given one by one: what
//! `tests/allocations.rs` counts and `benches/events.rs` measures.

#[path = "../integration/simulation/mod.rs"]
#[allow(
    dead_code,
    unused_imports,
    reason = "measurements need a part of the simulation only"
)]
pub mod simulation;

use lilacfork::messages::{ConnectionId, Effect, Listener, Now, Request};
use lilacfork::node::Node;
use lilacfork::reactor::Handler;
use serde_json::{json, Value};
use simulation::{service, Simulation};

/// Tasks of each machine.
pub const TASKS_PER_MACHINE: usize = 8;
/// Tasks of each job.
const TASKS_PER_JOB: usize = 40;

/// Three controllers and full machines, all in one zone.
fn full_fleet(machines: usize) -> Simulation {
    let mut sim = Simulation::new(3);
    sim.capacity = 0;
    sim.task_duration_ms = 600_000;
    for n in 0..machines {
        sim.add_machine(&format!("vm-{n:04}"), "a", false, true);
    }
    sim.run_until(5000);
    for n in 0..machines * TASKS_PER_MACHINE / TASKS_PER_JOB {
        let mut spec = service(&format!("run-s{n}"), TASKS_PER_JOB as u32);
        spec["gabarit"] = json!("help");
        sim.request(n % 3, "POST", "/v2/runs", spec);
        sim.run_for(200);
    }
    sim.run_for(8000);
    assert_eq!(
        sim.on_machines("run-"),
        machines * TASKS_PER_MACHINE,
        "all are full"
    );
    sim
}

/// The leader, without the controllers and machines beside it.
pub struct Leader {
    pub node: Node,
    pub now: Now,
    /// What the last request made it send.
    pub effects: Vec<Effect>,
    /// The last heartbeat of one of its machines.
    pub heartbeat: Value,
    pub sequence: u64,
}

impl Leader {
    pub fn new(machines: usize) -> Leader {
        let mut sim = full_fleet(machines);
        let leader = sim.leader().expect("somebody leads");
        let heartbeat = sim.next_heartbeat("vm-0001");
        Leader {
            node: sim.nodes[leader].take().expect("the leader is up"),
            now: sim.clock(),
            effects: Vec::new(),
            sequence: heartbeat["numero"].as_u64().expect("a number"),
            heartbeat,
        }
    }

    /// Handles a request of a client.
    pub fn request(&mut self, request: Request) {
        self.effects.clear();
        self.node.request(
            self.now,
            ConnectionId(1),
            Listener::Client,
            request,
            &mut self.effects,
        );
    }

    /// The next heartbeat of the machine, as bytes.
    pub fn next_heartbeat(&mut self) -> Request {
        self.sequence += 1;
        self.heartbeat["numero"] = self.sequence.into();
        Request {
            method: "POST".into(),
            path: "/agent/beat".into(),
            body: self.heartbeat.to_string().into_bytes(),
        }
    }
}
