//! A controller, a state service, a cloud and workers on loopback: a machine dies,
//! and its replica is whole again. The test waits for what it asks for and for
//! nothing else, so a slow machine only takes longer.

use lilacfork::node::Node;
use lilacfork::reactor::Reactor;
use lilacfork::settings::Settings;
use lilacfork::tuning::Tuning;
use lilacfork_loadtest::checker::{Checker, Rule};
use lilacfork_loadtest::control::{self, Ready, SimulatorCommand};
use lilacfork_loadtest::harness::{settings_text, Addresses};
use lilacfork_loadtest::history;
use lilacfork_loadtest::process::{ProcessConfig, ProcessRole, WorkerProcess};
use lilacfork_loadtest::scenario::Scenario;
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Stdio};
use std::time::{Duration, Instant};

/// Four parts of two replicas; the planned scenario's first class, made small.
const JOB: &str = "run-0x0";
const MACHINES: u32 = 6;
/// Longer than anything here takes, on however busy a machine.
const PATIENCE: Duration = Duration::from_secs(90);

fn scenario() -> Scenario {
    let mut scenario =
        Scenario::parse(include_str!("../scenarios/replicas.toml")).expect("the shipped scenario");
    scenario.zones = vec!["east-1".into()];
    scenario.teams = 1;
    scenario.workers.count = MACHINES;
    scenario.workers.spare = 2;
    scenario.workers.per_process = 8;
    scenario.workers.report_s = 0.5;
    scenario.workers.lease_s = 4.0;
    scenario.workers.cancel_s = 12.0;
    scenario.controllers.count = 1;
    scenario.cloud.list_lag_s = 0.5;
    scenario.classes[0].tasks = vec![4];
    scenario.classes[0].image_gb = 1.0;
    // A part takes a machine.
    scenario.classes[0].cpus = 40.0;
    scenario
}

/// A simulator process that ends with the test.
struct SimulatorProcess {
    child: Child,
    ready: Ready,
    history: PathBuf,
}

impl Drop for SimulatorProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start_simulator(
    dir: &Path,
    name: &str,
    role: ProcessRole,
    controllers: &[SocketAddrV4],
) -> SimulatorProcess {
    let config = ProcessConfig {
        role,
        scenario: scenario(),
        controllers: controllers.to_vec(),
        history: dir.join(format!("{name}.history")),
    };
    let path = dir.join(format!("{name}.json"));
    let text = serde_json::to_vec(&config).expect("a configuration");
    std::fs::write(&path, text).expect("a directory to write to");
    let mut child = std::process::Command::new(env!("CARGO_BIN_EXE_lilacfork-loadtest"))
        .arg("simulate")
        .arg(&path)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the simulator starts");
    let stdout = child.stdout.take().expect("its output");
    let mut line = String::new();
    let mut output = BufReader::new(stdout);
    output.read_line(&mut line).expect("its first line");
    SimulatorProcess {
        child,
        ready: serde_json::from_str(&line).expect("where it listens"),
        history: config.history,
    }
}

/// Addresses that nobody uses.
fn free_addresses(count: usize) -> Vec<SocketAddrV4> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port"))
        .collect();
    let port = |listener: &TcpListener| listener.local_addr().expect("bound").port();
    let ports = listeners.iter().map(port);
    ports
        .map(|port| SocketAddrV4::new(Ipv4Addr::LOCALHOST, port))
        .collect()
}

/// Runs a controller until the process ends.
fn run_controller(settings: String) {
    std::thread::spawn(move || {
        let settings = Settings::parse(&settings, "test").expect("sound settings");
        let mut options = Tuning::default();
        let set = options.replica_classes.insert("large", "2");
        set.expect("two parts");
        let endpoints = settings.endpoints();
        let bounds = settings.site.limits.reactor_bounds();
        let mut node = Node::new(settings, options, 1);
        let reactor = Reactor::new(endpoints, bounds, 0).expect("it listens");
        reactor.run(&mut node)
    });
}

/// Asks until it is answered as wanted.
fn until<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let began = Instant::now();
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(
            began.elapsed() < PATIENCE,
            "{what}: not within {PATIENCE:?}"
        );
        std::thread::yield_now();
    }
}

fn get(to: SocketAddrV4, path: &str) -> Option<Value> {
    let body = control::request(to, "GET", path, b"").ok()?;
    serde_json::from_slice(&body).ok()
}

/// How many tasks the user is told to be running: whole replicas' alone.
fn running(client: SocketAddrV4) -> Option<u64> {
    let state = get(client, &format!("/v2/runs/{JOB}"))?;
    let running = state["running"].as_u64()?;
    assert!(running.is_multiple_of(2), "half a replica runs: {state}");
    Some(running)
}

/// Attempt and machine of each part, as stored.
fn placement(state: SocketAddrV4) -> Option<Vec<(u64, String)>> {
    let record = get(state, &format!("/kv/p/{JOB}/0"))?;
    let rows = record["v"]["a"].as_array()?;
    let row = |row: &Value| Some((row[1].as_u64()?, row[2].as_str()?.to_string()));
    rows.iter().map(row).collect()
}

/// A controller with the services and workers that it uses.
struct Site {
    kv_store: SimulatorProcess,
    cloud: SimulatorProcess,
    workers: SimulatorProcess,
    /// Where the controller accepts users.
    client: SocketAddrV4,
}

fn start_site(dir: &Path) -> Site {
    let addresses = free_addresses(2);
    let (clients, peers) = addresses.split_at(1);
    let kv_store = start_simulator(dir, "state", ProcessRole::KvStore, clients);
    let last = MACHINES + 1;
    let workers = start_simulator(
        dir,
        "workers",
        ProcessRole::Workers { first: 0, last },
        clients,
    );
    let known = WorkerProcess {
        first: 0,
        last,
        control: workers.ready.control,
        addresses: workers.ready.listeners.clone(),
    };
    let role = ProcessRole::Cloud {
        workers: vec![known],
    };
    let cloud = start_simulator(dir, "cloud", role, clients);
    let listens = Addresses {
        client_listeners: clients,
        peer_listeners: peers,
        kv_store: kv_store.ready.listeners[0],
        cloud: cloud.ready.listeners[0],
    };
    run_controller(settings_text(&scenario(), 0, &listens));
    Site {
        client: clients[0],
        kv_store,
        cloud,
        workers,
    }
}

#[test]
fn a_replica_that_loses_a_machine_is_whole_again_on_loopback() {
    let unique = format!("lilacfork-loopback-{}", std::process::id());
    let dir = std::env::temp_dir().join(unique);
    std::fs::create_dir_all(&dir).expect("a directory");
    let site = start_site(&dir);
    let (client, workers, cloud) = (site.client, &site.workers, &site.cloud);
    let kv_store_address = site.kv_store.ready.listeners[0];
    until("the controller is ready", || get(client, "/ready"));
    let spec = scenario().job(JOB).expect("a job of the scenario");
    let body = serde_json::to_vec(&spec).expect("a submission");
    until("the job is accepted", || {
        let answer = control::call(client, "POST", "/v2/runs", &body).ok();
        answer.filter(|answer| matches!(answer.status, 200 | 201))
    });
    until("both replicas serve", || {
        running(client).filter(|running| *running == 4)
    });
    let before = until("the placement", || placement(kv_store_address));
    assert_eq!(before[0].0, before[1].0, "one generation");
    assert_ne!(before[0].1, before[1].1, "two machines");
    let dies = Scenario::machine_number(&before[1].1).expect("a machine's name");
    let machines = vec![dies];
    let removed = control::send(
        workers.ready.control,
        &SimulatorCommand::Remove {
            machines: machines.clone(),
        },
    );
    removed.expect("the machine dies");
    let listed = control::send(
        cloud.ready.control,
        &SimulatorCommand::MarkFailed { machines },
    );
    listed.expect("the cloud knows");
    let after = until("the next generation is stored", || {
        placement(kv_store_address).filter(|rows| rows.len() == 4 && rows[0].0 > before[0].0)
    });
    assert_eq!(after[0].0, after[1].0, "one generation again");
    assert_ne!(after[1].1, before[1].1, "elsewhere");
    assert_eq!(after[2..], before[2..], "the other replica wasn't touched");
    until("both replicas serve again", || {
        running(client).filter(|running| *running == 4)
    });
    control::send(workers.ready.control, &SimulatorCommand::Stop).expect("the workers end");
    let events = history::read(std::slice::from_ref(&workers.history)).expect("their history");
    let (broken, _) = Checker::check_history(&scenario(), &events);
    let ever = [Rule::RanTwice, Rule::Quota, Rule::WrongPlace];
    assert!(!broken.iter().any(|b| ever.contains(&b.rule)), "{broken:?}");
    let _ = std::fs::remove_dir_all(&dir);
}
