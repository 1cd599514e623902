//! Stand-in of the cloud. Machines that it rents become workers.

use crate::base::{free_address, reply, serve, Answer, Record, Req, J};
use crate::state::{CUT, OPEN, REFUSES};
use crate::worker::{Jobs, Worker, WorkerSpec};
use std::collections::HashMap;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct MachineType {
    pub name: &'static str,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub startup_s: f64,
    /// How long a machine really takes to be up.
    pub boot_s: f64,
    pub pull_gb_per_s: f64,
    pub zones: Vec<&'static str>,
}

pub struct Machine {
    pub name: String,
    pub address: String,
    pub zone: String,
    pub spot: bool,
    machine_type: usize,
    rented: Instant,
    up: Option<Instant>,
    pub gone: Option<Instant>,
    taken: bool,
    pub worker: Option<Arc<Worker>>,
}

/// A request that changed something.
#[derive(Clone, Debug)]
pub struct Deed {
    pub at_s: f64,
    pub node: String,
    pub what: &'static str,
    pub machines: Vec<String>,
}

pub struct CloudSpec {
    pub types: Vec<MachineType>,
    pub list_lag_s: f64,
    pub report_s: f64,
    pub lease_s: f64,
    pub names: Vec<String>,
    pub clients: Vec<String>,
    /// The controller to which a new worker reports first.
    pub first_node: usize,
}

pub struct Cloud {
    spec: Mutex<CloudSpec>,
    jobs: Jobs,
    record: Arc<Record>,
    pub machines: Mutex<Vec<Machine>>,
    orders: Mutex<HashMap<String, Vec<String>>>,
    pub deeds: Mutex<Vec<Deed>>,
    pub links: Vec<Arc<AtomicU8>>,
    /// How many machines there are of each zone and kind (spot or ordinary). Machines that
    /// are returned are available again, those that were taken aren't.
    pub capacity: Mutex<Vec<(&'static str, bool, usize)>>,
    pub quiet_workers: AtomicBool,
    /// The tasks that were on machines when these were returned.
    pub lost: Mutex<Vec<String>>,
    /// Whether the interface goes down at the next request to return machines.
    pub down_at_return: AtomicBool,
    /// How many requests to return machines were refused because the interface was down.
    pub refused_returns: AtomicU32,
}

impl Cloud {
    pub fn start(
        spec: CloudSpec,
        jobs: Jobs,
        record: Arc<Record>,
        stop: Arc<AtomicBool>,
    ) -> (Arc<Cloud>, Vec<String>) {
        let nodes = spec.names.len();
        let cloud = Arc::new(Cloud {
            spec: Mutex::new(spec),
            jobs,
            record,
            machines: Mutex::new(Vec::new()),
            orders: Mutex::new(HashMap::new()),
            deeds: Mutex::new(Vec::new()),
            links: (0..nodes).map(|_| Arc::new(AtomicU8::new(OPEN))).collect(),
            capacity: Mutex::new(Vec::new()),
            quiet_workers: AtomicBool::new(false),
            lost: Mutex::new(Vec::new()),
            down_at_return: AtomicBool::new(false),
            refused_returns: AtomicU32::new(0),
        });
        let mut addresses = Vec::new();
        for node in 0..nodes {
            let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
            addresses.push(listener.local_addr().expect("address").to_string());
            let service = cloud.clone();
            serve(
                listener,
                stop.clone(),
                Arc::new(move |request| service.on_link(node, request)),
            );
        }
        let booting = cloud.clone();
        std::thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                booting.boot();
                std::thread::sleep(Duration::from_millis(20));
            }
        });
        (cloud, addresses)
    }

    pub fn set_clients(&self, clients: Vec<String>) {
        self.spec.lock().unwrap().clients = clients;
    }

    pub fn set_first_node(&self, node: usize) {
        self.spec.lock().unwrap().first_node = node;
    }

    /// The workers whose machines are up.
    pub fn workers(&self) -> Vec<Arc<Worker>> {
        let machines = self.machines.lock().unwrap();
        machines
            .iter()
            .filter(|machine| machine.gone.is_none())
            .filter_map(|machine| machine.worker.clone())
            .collect()
    }

    /// Makes the machines count as rented that much earlier.
    pub fn age(&self, seconds: f64) {
        let mut machines = self.machines.lock().unwrap();
        for machine in machines.iter_mut() {
            if let Some(earlier) = machine.rented.checked_sub(Duration::from_secs_f64(seconds)) {
                machine.rented = earlier;
            }
        }
    }

    /// Sets whether the cloud's interface is down for all.
    pub fn set_down(&self, down: bool) {
        for link in &self.links {
            link.store(if down { REFUSES } else { OPEN }, Ordering::SeqCst);
        }
        let text = if down { "is down" } else { "is back" };
        self.record.add(format!("the cloud's interface {text}"));
    }

    /// Rents machines as the platform does for those that are up at the start.
    pub fn rent(&self, machine_type: usize, zone: &str, spot: bool, count: usize) -> Vec<String> {
        let mut machines = self.machines.lock().unwrap();
        let mut names = Vec::new();
        for _ in 0..count {
            let name = format!("vm-{:06}", machines.len() + 1);
            names.push(name.clone());
            machines.push(Machine {
                name,
                address: free_address(),
                zone: zone.to_string(),
                spot,
                machine_type,
                rented: Instant::now(),
                up: None,
                gone: None,
                taken: false,
                worker: None,
            });
        }
        names
    }

    /// Takes a spot machine back without notice.
    pub fn take(&self, name: &str) {
        let mut machines = self.machines.lock().unwrap();
        for machine in machines.iter_mut().filter(|machine| machine.name == name) {
            if let Some(worker) = &machine.worker {
                worker.gone.store(true, Ordering::SeqCst);
            }
            machine.gone = Some(Instant::now());
            machine.taken = true;
            self.record
                .add(format!("cloud: {name} is taken without notice"));
        }
    }

    fn boot(&self) {
        let spec = self.spec.lock().unwrap();
        let mut machines = self.machines.lock().unwrap();
        for machine in machines.iter_mut() {
            let machine_type = &spec.types[machine.machine_type];
            let due = machine.rented.elapsed().as_secs_f64() >= machine_type.boot_s;
            if !due || machine.up.is_some() || machine.gone.is_some() {
                continue;
            }
            machine.up = Some(Instant::now());
            self.record.add(format!("cloud: {} is up", machine.name));
            let nodes = spec.names.iter().cloned().zip(spec.clients.iter().cloned());
            let worker = Worker::start(
                WorkerSpec {
                    name: machine.name.clone(),
                    address: machine.address.clone(),
                    machine_type: machine_type.name.to_string(),
                    zone: machine.zone.clone(),
                    spot: machine.spot,
                    cpus: machine_type.cpus,
                    gpus: machine_type.gpus,
                    memory_gb: machine_type.memory_gb,
                    pull_gb_per_s: machine_type.pull_gb_per_s,
                    report_s: spec.report_s,
                    lease_s: spec.lease_s,
                    nodes: nodes.collect(),
                    first_node: spec.first_node,
                },
                self.jobs.clone(),
                self.record.clone(),
            );
            let quiet = self.quiet_workers.load(Ordering::SeqCst);
            worker.verbose.store(!quiet, Ordering::SeqCst);
            machine.worker = Some(worker);
        }
    }

    fn on_link(&self, node: usize, request: &Req) -> Answer {
        let link = &self.links[node];
        let returns = request.path == "/machines/release";
        if returns && self.down_at_return.swap(false, Ordering::SeqCst) {
            self.set_down(true);
        }
        match link.load(Ordering::SeqCst) {
            REFUSES => {
                if returns {
                    let node = self.node_name(node);
                    let names = request
                        .json()
                        .get("bancs")
                        .map_or(String::new(), J::to_text);
                    self.record
                        .add(format!("cloud: {node} asks to return {names}: 503, down"));
                    self.refused_returns.fetch_add(1, Ordering::SeqCst);
                }
                return reply(503, "{\"error\":\"trouble\"}");
            }
            CUT => {
                while link.load(Ordering::SeqCst) == CUT {
                    std::thread::sleep(Duration::from_millis(20));
                }
                return Answer::Close;
            }
            _ => {}
        }
        std::thread::sleep(Duration::from_millis(125));
        let answer = self.handle(node, request);
        std::thread::sleep(Duration::from_millis(125));
        answer
    }

    fn handle(&self, node: usize, request: &Req) -> Answer {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/catalog") => self.catalog(),
            ("GET", "/machines") => self.list(request),
            ("POST", "/machines") => self.provision(node, &request.json()),
            ("POST", "/machines/release") => self.release(node, &request.json()),
            _ => reply(400, "{}"),
        }
    }

    fn catalog(&self) -> Answer {
        let spec = self.spec.lock().unwrap();
        let types: Vec<String> = spec
            .types
            .iter()
            .map(|t| {
                let zones: Vec<String> = t.zones.iter().map(|z| format!("\"{z}\"")).collect();
                format!(
                    "{{\"sku\":\"{}\",\"cpus\":{:.1},\"gpus\":{:.1},\"memoryGb\":{:.1},\"cacheGb\":600.0,\
                     \"pullGbPerS\":{:.1},\"hourly\":13.2,\"marketPrice\":5.0,\"startupS\":{:.1},\"secteurs\":[{}]}}",
                    t.name,
                    t.cpus,
                    t.gpus,
                    t.memory_gb,
                    t.pull_gb_per_s,
                    t.startup_s,
                    zones.join(",")
                )
            })
            .collect();
        reply(200, format!("{{\"gammes\":[{}]}}", types.join(",")))
    }

    fn list(&self, request: &Req) -> Answer {
        let spec = self.spec.lock().unwrap();
        let machines = self.machines.lock().unwrap();
        let after = request.query.get("from").cloned().unwrap_or_default();
        let lag = Duration::from_secs_f64(spec.list_lag_s);
        // What the list describes lies `list_lag_s` back.
        let Some(at) = Instant::now().checked_sub(lag) else {
            return reply(200, "{\"bancs\":[],\"truncated\":false}");
        };
        let rows: Vec<String> = machines
            .iter()
            .filter(|m| m.rented <= at && m.gone.is_none_or(|gone| gone > at) && m.name > after)
            .map(|m| {
                let state = if m.up.is_some_and(|up| up <= at) {
                    "running"
                } else {
                    "starting"
                };
                format!(
                    "{{\"id\":\"{}\",\"address\":\"{}\",\"gamme\":\"{}\",\"secteur\":\"{}\",\
                     \"occasion\":{},\"etat\":\"{state}\",\"heldS\":{:.3}}}",
                    m.name,
                    m.address,
                    spec.types[m.machine_type].name,
                    m.zone,
                    m.spot,
                    (at - m.rented).as_secs_f64()
                )
            })
            .collect();
        reply(
            200,
            format!("{{\"bancs\":[{}],\"truncated\":false}}", rows.join(",")),
        )
    }

    fn node_name(&self, node: usize) -> String {
        self.spec.lock().unwrap().names[node].clone()
    }

    fn deed(&self, node: usize, what: &'static str, machines: Vec<String>) {
        let node = self.node_name(node);
        self.record
            .add(format!("cloud: {node} {what} {}", machines.join(" ")));
        self.deeds.lock().unwrap().push(Deed {
            at_s: self.record.now(),
            node,
            what,
            machines,
        });
    }

    fn provision(&self, node: usize, body: &J) -> Answer {
        let order = body.text("bon");
        if let Some(names) = self.orders.lock().unwrap().get(&order) {
            return reply(200, names_json(names));
        }
        let named = body.text("gamme");
        let spec = self.spec.lock().unwrap();
        let machine_type = spec.types.iter().position(|t| t.name == named);
        drop(spec);
        let Some(machine_type) = machine_type else {
            return reply(400, "{}");
        };
        let zone = body.text("secteur");
        let spot = body.get("occasion") == Some(&J::Bool(true));
        let wanted = body.num("howMany").min(50) as usize;
        let count = wanted.min(self.available(&zone, spot));
        if count == 0 {
            let node = self.node_name(node);
            self.record
                .add(format!("cloud: {node} asks for {wanted}: no capacity"));
            return reply(503, "{\"error\":\"no capacity\"}");
        }
        let names = self.rent(machine_type, &zone, spot, count);
        self.orders.lock().unwrap().insert(order, names.clone());
        self.deed(node, "rents", names.clone());
        reply(200, names_json(&names))
    }

    /// Sets how many ordinary and spot machines there are in these zones.
    pub fn set_capacity(&self, zones: &[(&'static str, usize, usize)]) {
        let counts = zones
            .iter()
            .flat_map(|(zone, ordinary, spot)| [(*zone, false, *ordinary), (*zone, true, *spot)]);
        *self.capacity.lock().unwrap() = counts.collect();
    }

    fn available(&self, zone: &str, spot: bool) -> usize {
        let capacity = self.capacity.lock().unwrap();
        let Some((_, _, count)) = capacity.iter().find(|(z, s, _)| *z == zone && *s == spot) else {
            return usize::MAX;
        };
        let machines = self.machines.lock().unwrap();
        let used = machines
            .iter()
            .filter(|m| m.zone == zone && m.spot == spot && (m.gone.is_none() || m.taken));
        count.saturating_sub(used.count())
    }

    fn release(&self, node: usize, body: &J) -> Answer {
        let names = body.get("bancs").map(J::arr).unwrap_or(&[]);
        let names: Vec<String> = names
            .iter()
            .filter_map(|name| name.str().map(str::to_string))
            .collect();
        self.deed(node, "returns", names.clone());
        let mut machines = self.machines.lock().unwrap();
        for machine in machines.iter_mut() {
            if names.contains(&machine.name) && machine.gone.is_none() {
                if let Some(worker) = &machine.worker {
                    let tasks = worker.on_machine();
                    let mut by_job: HashMap<&str, usize> = HashMap::new();
                    for task in &tasks {
                        let job = task.piece.split('/').next().unwrap_or("");
                        *by_job.entry(job).or_insert(0) += 1;
                    }
                    for (job, count) in by_job {
                        self.record.add(format!(
                            "cloud: {} is gone with {count} tasks of {job} on it",
                            machine.name
                        ));
                    }
                    self.lost
                        .lock()
                        .unwrap()
                        .extend(tasks.into_iter().map(|task| task.piece));
                    worker.gone.store(true, Ordering::SeqCst);
                }
                machine.gone = Some(Instant::now());
                self.record.add(format!("cloud: {} is gone", machine.name));
            }
        }
        reply(200, "{}")
    }
}

fn names_json(names: &[String]) -> String {
    let names = names.iter().map(|name| J::Str(name.clone())).collect();
    format!("{{\"bancs\":{}}}", J::Arr(names).to_text())
}
