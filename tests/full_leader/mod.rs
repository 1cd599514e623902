//! Fixture for `tests/allocations.rs` and `benches/events.rs`: a leader whose fleet is fully
//! occupied, and which handles one event at a time.

#[path = "../integration/simulation/mod.rs"]
#[allow(
    dead_code,
    unused_imports,
    reason = "the fixture uses only a part of the simulation"
)]
pub mod simulation;

use lilacfork::messages::{ConnectionId, Effect, Listener, Now, Request};
use lilacfork::node::Node;
use lilacfork::reactor::Handler;
use serde_json::{json, Value};
use simulation::{service, Simulation};

/// The number of tasks on each machine.
pub const TASKS_PER_MACHINE: usize = 8;
/// The number of tasks of each job.
const TASKS_PER_JOB: usize = 40;

/// Creates a simulation with three controllers and `machines` machines in zone `a`, all of them
/// fully occupied.
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
        "some machines are not fully occupied"
    );
    sim
}

/// The leader of a simulated fleet, detached from the other controllers and the machines.
pub struct Leader {
    pub node: Node,
    pub now: Now,
    /// The effects of the last request.
    pub effects: Vec<Effect>,
    /// The last heartbeat of machine `vm-0001`.
    pub heartbeat: Value,
    /// The sequence number of [`Leader::heartbeat`].
    pub sequence: u64,
}

impl Leader {
    /// Creates the leader of a fleet of `machines` fully occupied machines.
    pub fn new(machines: usize) -> Leader {
        let mut sim = full_fleet(machines);
        let leader = sim.leader().expect("no leader was elected");
        let heartbeat = sim.next_heartbeat("vm-0001");
        Leader {
            node: sim.nodes[leader].take().expect("the leader is not running"),
            now: sim.clock(),
            effects: Vec::new(),
            sequence: heartbeat["numero"]
                .as_u64()
                .expect("sequence number is not an unsigned integer"),
            heartbeat,
        }
    }

    /// Passes a client's request to the leader and records the effects.
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

    /// Returns a request that repeats [`Leader::heartbeat`] with the next sequence number.
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
