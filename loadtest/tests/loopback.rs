//! Runs a controller against a simulated key-value store, cloud and workers on loopback, and
//! checks that a replica serves again after one of its machines has failed.
//!
//! The test polls for each expected state instead of sleeping, so it also passes on a slow
//! host.

use lilacfork::node::Node;
use lilacfork::reactor::Reactor;
use lilacfork::settings::Settings;
use lilacfork::tuning::Tuning;
use lilacfork_loadtest::checker::{Checker, Rule, Violation};
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

/// A job of the first class of `replicas.toml`, reduced to two replicas of two parts each.
const JOB: &str = "run-0x0";
const MACHINES: u32 = 6;
/// The upper bound for each expected state to occur, large enough for a busy host.
const TIMEOUT: Duration = Duration::from_secs(90);

fn scenario() -> Scenario {
    let mut scenario = Scenario::parse(include_str!("../scenarios/replicas.toml"))
        .expect("the shipped scenario is valid");
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
    // Each part occupies a whole machine.
    scenario.classes[0].cpus = 40.0;
    scenario
}

/// A simulator process, killed when it is dropped.
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
    let text = serde_json::to_vec(&config).expect("the configuration is serializable");
    std::fs::write(&path, text).expect("the configuration is written");
    let mut child = std::process::Command::new(env!("CARGO_BIN_EXE_lilacfork-loadtest"))
        .arg("simulate")
        .arg(&path)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the simulator starts");
    let stdout = child.stdout.take().expect("standard output is piped");
    let mut line = String::new();
    let mut output = BufReader::new(stdout);
    output
        .read_line(&mut line)
        .expect("the simulator prints a line");
    SimulatorProcess {
        child,
        ready: serde_json::from_str(&line).expect("the line holds the listening addresses"),
        history: config.history,
    }
}

/// Returns loopback addresses that are currently free.
fn free_addresses(count: usize) -> Vec<SocketAddrV4> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port is free"))
        .collect();
    let port =
        |listener: &TcpListener| listener.local_addr().expect("the listener is bound").port();
    let ports = listeners.iter().map(port);
    ports
        .map(|port| SocketAddrV4::new(Ipv4Addr::LOCALHOST, port))
        .collect()
}

/// Runs a controller on a thread until the test process exits.
fn run_controller(settings: String) {
    std::thread::spawn(move || {
        let settings = Settings::parse(&settings, "test").expect("the settings are valid");
        let mut options = Tuning::default();
        let inserted = options.replica_classes.insert("large", "2");
        inserted.expect("the class is valid");
        let endpoints = settings.endpoints();
        let bounds = settings.site.limits.reactor_bounds();
        let mut node = Node::new(settings, options, 1);
        let reactor = Reactor::new(endpoints, bounds, 0).expect("the reactor listens");
        reactor.run(&mut node)
    });
}

/// Polls until `poll` returns a value, and fails after [`TIMEOUT`].
fn wait_for<T>(state: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(value) = poll() {
            return value;
        }
        assert!(
            started.elapsed() < TIMEOUT,
            "{state}: not reached within {TIMEOUT:?}"
        );
        std::thread::yield_now();
    }
}

fn get(address: SocketAddrV4, path: &str) -> Option<Value> {
    let body = control::request(address, "GET", path, b"").ok()?;
    serde_json::from_slice(&body).ok()
}

/// Returns the number of running tasks that the controller reports to users. Only complete
/// replicas count, so the number must be even.
fn running_tasks(client: SocketAddrV4) -> Option<u64> {
    let state = get(client, &format!("/v2/runs/{JOB}"))?;
    let running = state["running"].as_u64()?;
    assert!(
        running.is_multiple_of(2),
        "tasks of an incomplete replica are reported as running: {state}"
    );
    Some(running)
}

/// Returns attempt and machine of each part, as in the stored placement record.
fn placement(kv_store: SocketAddrV4) -> Option<Vec<(u64, String)>> {
    let record = get(kv_store, &format!("/kv/p/{JOB}/0"))?;
    let rows = record["v"]["a"].as_array()?;
    let row = |row: &Value| Some((row[1].as_u64()?, row[2].as_str()?.to_string()));
    rows.iter().map(row).collect()
}

/// A controller, and the simulators of the services and workers that it uses.
struct Cluster {
    kv_store: SimulatorProcess,
    cloud: SimulatorProcess,
    workers: SimulatorProcess,
    /// The address at which the controller accepts users' requests.
    client: SocketAddrV4,
}

fn start_cluster(dir: &Path) -> Cluster {
    let controller_addresses = free_addresses(2);
    let (clients, peers) = controller_addresses.split_at(1);
    let kv_store = start_simulator(dir, "state", ProcessRole::KvStore, clients);
    let last = MACHINES + 1;
    let workers = start_simulator(
        dir,
        "workers",
        ProcessRole::Workers { first: 0, last },
        clients,
    );
    let worker_process = WorkerProcess {
        first: 0,
        last,
        control: workers.ready.control,
        addresses: workers.ready.listeners.clone(),
    };
    let role = ProcessRole::Cloud {
        workers: vec![worker_process],
    };
    let cloud = start_simulator(dir, "cloud", role, clients);
    let addresses = Addresses {
        client_listeners: clients,
        peer_listeners: peers,
        kv_store: kv_store.ready.listeners[0],
        cloud: cloud.ready.listeners[0],
    };
    run_controller(settings_text(&scenario(), 0, &addresses));
    Cluster {
        client: clients[0],
        kv_store,
        cloud,
        workers,
    }
}

#[test]
fn replica_serves_again_after_machine_failure_on_loopback() {
    let unique = format!("lilacfork-loopback-{}", std::process::id());
    let dir = std::env::temp_dir().join(unique);
    std::fs::create_dir_all(&dir).expect("the directory is created");
    let cluster = start_cluster(&dir);
    let (client, workers, cloud) = (cluster.client, &cluster.workers, &cluster.cloud);
    let kv_store_address = cluster.kv_store.ready.listeners[0];
    wait_for("the controller is ready", || get(client, "/ready"));
    let spec = scenario().job(JOB).expect("the job is in the scenario");
    let body = serde_json::to_vec(&spec).expect("the submission is serializable");
    wait_for("the job is accepted", || {
        let response = control::call(client, "POST", "/v2/runs", &body).ok();
        response.filter(|response| matches!(response.status, 200 | 201))
    });
    wait_for("both replicas serve", || {
        running_tasks(client).filter(|running| *running == 4)
    });
    let before = wait_for("the placement is stored", || placement(kv_store_address));
    assert_eq!(before[0].0, before[1].0, "parts share a generation");
    assert_ne!(before[0].1, before[1].1, "parts use two machines");
    let failed_machine = Scenario::machine_number(&before[1].1).expect("a machine name");
    let machines = vec![failed_machine];
    let removed = control::send(
        workers.ready.control,
        &SimulatorCommand::Remove {
            machines: machines.clone(),
        },
    );
    removed.expect("the workers remove the machine");
    let marked = control::send(
        cloud.ready.control,
        &SimulatorCommand::MarkFailed { machines },
    );
    marked.expect("the cloud lists the machine as failed");
    let after = wait_for("the next generation is stored", || {
        placement(kv_store_address).filter(|rows| rows.len() == 4 && rows[0].0 > before[0].0)
    });
    assert_eq!(after[0].0, after[1].0, "parts share a generation");
    assert_ne!(after[1].1, before[1].1, "part left failed machine");
    assert_eq!(after[2..], before[2..], "the other replica is unchanged");
    wait_for("both replicas serve again", || {
        running_tasks(client).filter(|running| *running == 4)
    });
    control::send(workers.ready.control, &SimulatorCommand::Stop).expect("the workers stop");
    let events = history::read(std::slice::from_ref(&workers.history)).expect("a readable history");
    let (violations, _) = Checker::check_history(&scenario(), &events);
    let rules = [Rule::RanTwice, Rule::Quota, Rule::WrongPlace];
    let is_checked = |violation: &Violation| rules.contains(&violation.rule);
    assert!(!violations.iter().any(is_checked), "{violations:?}");
    let _ = std::fs::remove_dir_all(&dir);
}
