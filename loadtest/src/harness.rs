//! Starts all processes of a run, disturbs some, measures, and ends them all.

use crate::checker::Checker;
use crate::control::{self, Command as PartCommand, Ready, Stats};
use crate::failover::{self, How, LeaderEnd};
use crate::history::{self, Entry, Event, Recorder};
use crate::net::now_us;
use crate::part::{PartConfig, Role, WorkerProcess};
use crate::process_stats::{open_files_limit, Usage, Used};
use crate::report::{self, Report};
use crate::scenario::{ClassSettings, FaultKind, FaultSettings, Scenario};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// The operators' bounds: processes, and memory of all together in MB.
const MOST_PROCESSES: u32 = 200;
const MOST_MEMORY_MB: f64 = 12_000.0;
/// Sockets of a hollow process per worker: its listener, its link, and a direct
/// connection of each of two controllers while the lead changes.
const SOCKETS_PER_WORKER: u64 = 4;
const SPARE_SOCKETS: u64 = 200;
/// How long controllers may take to be ready.
const READY_PATIENCE_US: u64 = 30_000_000;
const SAMPLE: Duration = Duration::from_millis(1000);
const PROGRESS_EVERY: u32 = 5;
/// Between the ends of two controllers that are restarted in turn.
const RESTART_GAP_US: u64 = 2_000_000;
const RESTART_AFTER_US: u64 = 300_000;
/// Ports for controllers lie below those that the kernel gives away.
const CONTROLLER_PORTS: std::ops::Range<u16> = 15_000..30_000;
const PORT_TRIES: u32 = 1000;

/// Why a run couldn't be made.
#[derive(Debug, Error)]
pub enum RunError {
    /// The machine is too small for it.
    #[error("{0}")]
    TooLarge(String),
    /// It was interrupted.
    #[error("interrupted; everything that was started has been ended")]
    Interrupted,
    /// A process couldn't be started or talked to.
    #[error("{what}: {source}")]
    Process {
        /// Which.
        what: String,
        /// Why.
        source: io::Error,
    },
}

fn process_error(what: &str) -> impl Fn(io::Error) -> RunError + '_ {
    move |source| RunError::Process {
        what: what.to_string(),
        source,
    }
}

/// A process that ends with this one, whatever happens.
struct Owned {
    name: String,
    child: Child,
    /// It was paused, or ended by a fault.
    out: bool,
}

impl Drop for Owned {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(mut command: Command, name: &str) -> Result<Owned, RunError> {
    // Safety: prctl is safe to call between fork and exec.
    unsafe {
        command.pre_exec(|| {
            libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL);
            Ok(())
        });
    }
    let child = command.spawn().map_err(process_error(name))?;
    Ok(Owned {
        name: name.to_string(),
        child,
        out: false,
    })
}

/// A hollow part that runs.
struct PartProcess {
    owned: Owned,
    ready: Ready,
    history: PathBuf,
}

impl PartProcess {
    fn start(
        dir: &Path,
        name: &str,
        role: Role,
        scenario: &Scenario,
        controllers: &[SocketAddrV4],
    ) -> Result<PartProcess, RunError> {
        let error = process_error(name);
        let config = PartConfig {
            role,
            scenario: scenario.clone(),
            controllers: controllers.to_vec(),
            history: dir.join(format!("{name}.history")),
        };
        let path = dir.join(format!("{name}.json"));
        std::fs::write(&path, serde_json::to_vec(&config).unwrap_or_default()).map_err(&error)?;
        let mut command = Command::new(std::env::current_exe().map_err(&error)?);
        let log = File::create(dir.join(format!("{name}.log"))).map_err(&error)?;
        command
            .arg("part")
            .arg(&path)
            .stdout(Stdio::piped())
            .stderr(log);
        let mut owned = spawn(command, name)?;
        let stdout = owned
            .child
            .stdout
            .take()
            .ok_or(io::ErrorKind::BrokenPipe.into())
            .map_err(&error)?;
        let mut line = String::new();
        BufReader::new(stdout)
            .read_line(&mut line)
            .map_err(&error)?;
        let ready: Ready = serde_json::from_str(&line).map_err(|e| error(e.into()))?;
        Ok(PartProcess {
            owned,
            ready,
            history: config.history,
        })
    }

    fn tell(&self, command: &PartCommand) -> Stats {
        if self.owned.out {
            return Stats::default();
        }
        control::send(self.ready.control, command).unwrap_or_default()
    }
}

/// A controller's addresses and settings.
struct Controller {
    settings: PathBuf,
    log: PathBuf,
    process: Option<Owned>,
}

/// What happens at a set time.
enum Step {
    Fault(FaultSettings),
    Kill(usize),
    Start(usize),
    Resume(usize),
    /// This controller goes on.
    Wake(usize),
    /// This machine dies.
    Replace(u32),
    /// This machine reaches nobody for so many milliseconds.
    Silence(u32, u64),
}

/// A run under way.
struct Run {
    scenario: Scenario,
    dir: PathBuf,
    program: PathBuf,
    log_level: String,
    /// Where the controllers take users and workers.
    addresses: Vec<SocketAddrV4>,
    controllers: Vec<Controller>,
    state: PartProcess,
    cloud: Option<PartProcess>,
    workers: Vec<PartProcess>,
    ranges: Vec<(u32, u32)>,
    users: Option<PartProcess>,
    steps: BTreeMap<(u64, u32), Step>,
    step_count: u32,
    /// Arguments that name the operators' settings.
    ini: Vec<PathBuf>,
    recorder: Recorder,
    leader_ends: Vec<LeaderEnd>,
    usage: Usage,
    rng: fastrand::Rng,
}

/// What a run needs besides its scenario.
pub struct RunOptions {
    /// The controllers' program.
    pub program: PathBuf,
    /// Where files go.
    pub dir: PathBuf,
    /// The variable `LOG_LEVEL` of the controllers.
    pub log_level: String,
}

/// Refuses what this machine can't bear, before anything is started.
pub fn check_size(scenario: &Scenario, files: Option<u64>) -> Result<(), RunError> {
    let hollow = scenario
        .machine_count()
        .div_ceil(scenario.workers.per_process);
    let processes = hollow + scenario.controllers.count + 4;
    if processes > MOST_PROCESSES {
        return Err(RunError::TooLarge(format!(
            "{processes} processes, at most {MOST_PROCESSES}: raise workers.per_process"
        )));
    }
    let needed = u64::from(scenario.workers.per_process) * SOCKETS_PER_WORKER + SPARE_SOCKETS;
    let needed = needed.max(u64::from(scenario.controllers.max_connections) + SPARE_SOCKETS);
    match files {
        Some(limit) if limit < needed => Err(RunError::TooLarge(format!(
            "a process may open {limit} files and needs {needed}: lower workers.per_process or controllers.max_connections, or raise `ulimit -n`"
        ))),
        _ => Ok(()),
    }
}

/// An address that is free, outside the range from which the kernel gives ports to
/// connections: it has to stay free until its controller is started, and started
/// again.
fn free_address(rng: &mut fastrand::Rng, taken: &[SocketAddrV4]) -> io::Result<SocketAddrV4> {
    for _ in 0..PORT_TRIES {
        let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, rng.u16(CONTROLLER_PORTS));
        if !taken.contains(&address) && TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::ErrorKind::AddrNotAvailable.into())
}

impl Run {
    fn start(scenario: Scenario, options: &RunOptions) -> Result<Run, RunError> {
        let dir = options.dir.clone();
        std::fs::create_dir_all(&dir).map_err(process_error("run directory"))?;
        let count = scenario.controllers.count as usize;
        let mut rng = fastrand::Rng::new();
        let mut addresses = Vec::new();
        for _ in 0..count * 2 {
            let address = free_address(&mut rng, &addresses).map_err(process_error("ports"))?;
            addresses.push(address);
        }
        let (clients, peers) = addresses.split_at(count);
        let state = PartProcess::start(&dir, "state", Role::State, &scenario, clients)?;
        let (mut workers, mut ranges, mut known) = (Vec::new(), Vec::new(), Vec::new());
        let per_process = scenario.workers.per_process;
        for first in (0..scenario.machine_count()).step_by(per_process as usize) {
            let last = (first + per_process).min(scenario.machine_count()) - 1;
            let name = format!("workers-{first}");
            let part = PartProcess::start(
                &dir,
                &name,
                Role::Workers { first, last },
                &scenario,
                clients,
            )?;
            known.push(WorkerProcess {
                first,
                last,
                control: part.ready.control,
                addresses: part.ready.listeners.clone(),
            });
            workers.push(part);
            ranges.push((first, last));
        }
        let cloud = PartProcess::start(
            &dir,
            "cloud",
            Role::Cloud { workers: known },
            &scenario,
            clients,
        )?;
        let ini = write_ini(&dir, &scenario).map_err(process_error("settings"))?;
        let mut run = Run {
            ini,
            rng: fastrand::Rng::with_seed(scenario.seed),
            recorder: Recorder::create(&dir.join("harness.history"))
                .map_err(process_error("history"))?,
            program: options.program.clone(),
            log_level: options.log_level.clone(),
            addresses: clients.to_vec(),
            controllers: Vec::new(),
            state,
            workers,
            ranges,
            users: None,
            steps: BTreeMap::new(),
            step_count: 0,
            leader_ends: Vec::new(),
            usage: Usage::default(),
            cloud: None,
            scenario,
            dir,
        };
        let cloud_address = cloud.ready.listeners[0];
        run.cloud = Some(cloud);
        for number in 0..count {
            run.write_settings(number, clients, peers, cloud_address)
                .map_err(process_error("settings"))?;
            run.start_controller(number)?;
        }
        run.wait_ready(clients)?;
        Ok(run)
    }

    fn write_settings(
        &mut self,
        number: usize,
        clients: &[SocketAddrV4],
        peers: &[SocketAddrV4],
        cloud: SocketAddrV4,
    ) -> io::Result<()> {
        let addresses = Addresses {
            clients,
            peers,
            state: self.state.ready.listeners[number],
            cloud,
        };
        let text = settings_text(&self.scenario, number, &addresses);
        let settings = self.dir.join(format!("controller-{number}.toml"));
        let log = self.dir.join(format!("controller-{number}.log"));
        std::fs::write(&settings, text)?;
        self.controllers.push(Controller {
            settings,
            log,
            process: None,
        });
        Ok(())
    }

    fn start_controller(&mut self, number: usize) -> Result<(), RunError> {
        let controller = &mut self.controllers[number];
        let name = format!("controller-{number}");
        let log = File::options()
            .create(true)
            .append(true)
            .open(&controller.log);
        let log = log.map_err(process_error(&name))?;
        let mut command = Command::new(&self.program);
        command
            .arg("--config")
            .arg(&controller.settings)
            .args(&self.ini)
            .env("LOG_LEVEL", &self.log_level)
            .stderr(log);
        controller.process = Some(spawn(command, &name)?);
        Ok(())
    }

    fn wait_ready(&self, clients: &[SocketAddrV4]) -> Result<(), RunError> {
        let until_us = now_us() + READY_PATIENCE_US;
        for address in clients {
            while control::request(*address, "GET", lilacfork::wire::users::READY_PATH, b"")
                .is_err()
            {
                if now_us() > until_us {
                    let source = io::ErrorKind::TimedOut.into();
                    return Err(RunError::Process {
                        what: "controllers don't get ready".into(),
                        source,
                    });
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        }
        Ok(())
    }

    fn schedule(&mut self, at_us: u64, step: Step) {
        self.step_count += 1;
        self.steps.insert((at_us, self.step_count), step);
    }

    /// The controller that was elected last, by the controllers' own logs.
    fn leader(&self) -> usize {
        let latest = |c: &Controller| elected_terms(&c.log).into_iter().max().unwrap_or(0);
        let all = self.controllers.iter().enumerate();
        all.max_by_key(|(_, c)| latest(c)).map_or(0, |(n, _)| n)
    }

    fn act(&mut self, step: Step, now: u64) -> Result<(), RunError> {
        match step {
            Step::Fault(fault) => self.fault(&fault, now)?,
            Step::Kill(number) => {
                if number == self.leader() {
                    self.leader_ends.push(LeaderEnd {
                        at_us: now,
                        how: How::Killed,
                    });
                }
                self.controllers[number].process = None;
            }
            Step::Start(number) => self.start_controller(number)?,
            Step::Wake(number) => {
                if let Some(process) = &mut self.controllers[number].process {
                    signal(process, libc::SIGCONT);
                    process.out = false;
                }
            }
            Step::Replace(machine) => self.replace(machine)?,
            Step::Silence(machine, for_ms) => {
                let machines = vec![machine];
                self.tell_holder(machine, &PartCommand::Silence { machines, for_ms });
            }
            Step::Resume(number) => {
                signal(&self.workers[number].owned, libc::SIGCONT);
                self.workers[number].owned.out = false;
            }
        }
        Ok(())
    }

    fn fault(&mut self, fault: &FaultSettings, now: u64) -> Result<(), RunError> {
        let for_us = (fault.for_s * 1e6) as u64;
        let for_ms = for_us / 1000;
        eprintln!("fault: {:?}", fault.kind);
        match fault.kind {
            FaultKind::LeaderKill => {
                let leader = self.leader();
                self.schedule(now, Step::Kill(leader));
                self.schedule(now + for_us, Step::Start(leader));
            }
            FaultKind::LeaderPause => {
                let leader = self.leader();
                if let Some(process) = &mut self.controllers[leader].process {
                    signal(process, libc::SIGSTOP);
                    process.out = true;
                    self.leader_ends.push(LeaderEnd {
                        at_us: now,
                        how: How::Paused,
                    });
                    self.schedule(now + for_us, Step::Wake(leader));
                }
            }
            FaultKind::RestartAll => {
                for number in 0..self.controllers.len() {
                    let at_us = now + RESTART_GAP_US * number as u64;
                    self.schedule(at_us, Step::Kill(number));
                    self.schedule(at_us + RESTART_AFTER_US, Step::Start(number));
                }
            }
            FaultKind::RackLost => {
                let number = self.rng.usize(..self.workers.len());
                self.workers[number].owned.out = true;
                let _ = self.workers[number].owned.child.kill();
                self.machines_lost(self.ranges[number])?;
            }
            FaultKind::RackPaused => {
                let number = self.rng.usize(..self.workers.len());
                self.workers[number].owned.out = true;
                signal(&self.workers[number].owned, libc::SIGSTOP);
                self.schedule(now + for_us, Step::Resume(number));
            }
            FaultKind::ZoneCut => {
                let named = fault
                    .zone
                    .as_ref()
                    .and_then(|z| self.scenario.zones.iter().position(|s| s == z));
                let zone = named.unwrap_or(0);
                for part in &self.workers {
                    part.tell(&PartCommand::Cut { zone, for_ms });
                }
            }
            FaultKind::StateDown => {
                self.state.tell(&PartCommand::Refuse {
                    controller: None,
                    for_ms,
                });
            }
            FaultKind::StateRefusesLeader => {
                let controller = Some(self.leader());
                self.state.tell(&PartCommand::Refuse { controller, for_ms });
            }
            FaultKind::LimitsFall => {
                self.state.tell(&PartCommand::LowerLimits);
            }
            FaultKind::Replace => self.hit_machines(fault, now, Step::Replace),
            FaultKind::Silent => self.hit_machines(fault, now, |m| Step::Silence(m, for_ms)),
        }
        Ok(())
    }

    /// Machines are hit at random moments within the time that the fault names.
    fn hit_machines(&mut self, fault: &FaultSettings, now: u64, step: impl Fn(u32) -> Step) {
        let over_us = (fault.over_s * 1e6) as u64;
        for _ in 0..fault.count {
            let machine = self.rng.u32(..self.scenario.workers.count);
            let at_us = now + self.rng.u64(..=over_us);
            self.schedule(at_us, step(machine));
        }
    }

    fn replace(&mut self, machine: u32) -> Result<(), RunError> {
        let machines = vec![machine];
        self.tell_holder(machine, &PartCommand::Remove { machines });
        self.machines_lost((machine, machine))
    }

    /// Tells the process that has the machine.
    fn tell_holder(&self, machine: u32, command: &PartCommand) {
        let holds = |(first, last): &(u32, u32)| (*first..=*last).contains(&machine);
        if let Some(holder) = self.ranges.iter().position(holds) {
            self.workers[holder].tell(command);
        }
    }

    fn machines_lost(&mut self, machines: (u32, u32)) -> Result<(), RunError> {
        let noted = self
            .recorder
            .note(Event::Lost { machines })
            .and_then(|()| self.recorder.flush());
        noted.map_err(process_error("history"))?;
        if let Some(cloud) = &self.cloud {
            cloud.tell(&PartCommand::Failed {
                machines: (machines.0..=machines.1).collect(),
            });
        }
        Ok(())
    }

    fn parts(&self) -> impl Iterator<Item = &PartProcess> {
        let services = std::iter::once(&self.state)
            .chain(&self.cloud)
            .chain(&self.users);
        services.chain(&self.workers)
    }

    /// What all parts have counted, by name.
    fn stats(&self) -> BTreeMap<String, Stats> {
        self.parts()
            .map(|p| (p.owned.name.clone(), p.tell(&PartCommand::Stats)))
            .collect()
    }

    fn sample(&mut self, at_s: f64) -> Result<(), RunError> {
        let mut pids: Vec<(String, u32)> = self
            .parts()
            .map(|p| (p.owned.name.clone(), p.owned.child.id()))
            .collect();
        let controllers = self.controllers.iter().filter_map(|c| c.process.as_ref());
        pids.extend(controllers.map(|p| (p.name.clone(), p.child.id())));
        let resident_mb = self
            .usage
            .sample(at_s, pids.iter().map(|(name, pid)| (name.as_str(), *pid)));
        if resident_mb > MOST_MEMORY_MB {
            return Err(RunError::TooLarge(format!(
                "{resident_mb:.0} MB in use, at most {MOST_MEMORY_MB:.0}"
            )));
        }
        Ok(())
    }

    /// Lets the run go on until then: faults, samples, progress.
    fn until(
        &mut self,
        end_us: u64,
        measured: bool,
        interrupted: &AtomicBool,
    ) -> Result<(), RunError> {
        let mut samples = 0;
        while now_us() < end_us {
            if interrupted.load(Ordering::Relaxed) {
                return Err(RunError::Interrupted);
            }
            let now = now_us();
            while let Some(((at, n), _)) = self.steps.first_key_value() {
                let key = (*at, *n);
                if key.0 > now {
                    break;
                }
                if let Some(step) = self.steps.remove(&key) {
                    self.act(step, now)?;
                }
            }
            if measured {
                self.sample(now as f64 / 1e6)?;
            }
            samples += 1;
            if samples % PROGRESS_EVERY == 0 {
                self.progress(end_us, measured);
            }
            std::thread::sleep(SAMPLE.min(Duration::from_micros(end_us.saturating_sub(now_us()))));
        }
        Ok(())
    }

    fn progress(&self, end_us: u64, measured: bool) {
        let sum = |name: &str| -> f64 {
            let of = |p: &PartProcess| {
                p.tell(&PartCommand::Stats)
                    .counters
                    .get(name)
                    .copied()
                    .unwrap_or(0.0)
            };
            self.workers.iter().map(of).sum()
        };
        let what = if measured { "measuring" } else { "warming up" };
        let left_s = end_us.saturating_sub(now_us()) / 1_000_000;
        eprintln!(
            "{what}, {left_s} s left: {} workers up, {} tasks running, {} started",
            sum("workers"),
            sum("tasks_running"),
            sum("starts")
        );
    }
}

/// Who listens where in a run.
pub struct Addresses<'a> {
    /// The controllers, for users and workers.
    pub clients: &'a [SocketAddrV4],
    /// The controllers, for each other.
    pub peers: &'a [SocketAddrV4],
    /// The state service, for this controller.
    pub state: SocketAddrV4,
    /// The cloud.
    pub cloud: SocketAddrV4,
}

/// A controller's settings file.
pub fn settings_text(s: &Scenario, number: usize, addresses: &Addresses) -> String {
    use std::fmt::Write;
    let (clients, peers, cloud) = (addresses.clients, addresses.peers, addresses.cloud);
    let zone = |n: usize| &s.zones[n % s.zones.len()];
    let mut text = format!(
        "node_name = \"controller-{number}\"\ndomain = \"{}\"\nclient_listen = \"{}\"\nback = \"{}\"\n",
        zone(number), clients[number], peers[number]
    );
    for (n, peer) in peers.iter().enumerate().filter(|(n, _)| *n != number) {
        let _ = write!(
            text,
            "[[peers]]\nnode_name = \"controller-{n}\"\ndomain = \"{}\"\npeer_addr = \"{peer}\"\n",
            zone(n)
        );
    }
    let zones: Vec<String> = s.zones.iter().map(|z| format!("\"{z}\"")).collect();
    let _ = write!(
        text,
        "[services]\ncloud = \"{cloud}\"\nstate = \"{}\"\n[settings]\ncount = {}\nzones = [{}]\nskew_ms = 5.0\n",
        addresses.state, s.controllers.count, zones.join(", ")
    );
    for n in 0..s.teams {
        let most = s.team_gpus_max;
        let _ = write!(
            text,
            "[[settings.teams]]\nname = \"team-{n}\"\ngpus = {:.1}\ngpus_max = {most:.1}\n",
            most / 4.0
        );
    }
    for class in &s.classes {
        if let Some(within_s) = class.start_within_s {
            let _ = write!(text, "[[settings.objectives]]\nkind = \"wait\"\nclass = \"{}\"\nwithin_s = {within_s:.2}\nshare = 0.9\n", class.name);
        }
    }
    let (w, c) = (&s.workers, &s.controllers);
    let _ = write!(
        text,
        "[settings.workers]\nreport_s = {:.2}\nlease_s = {:.2}\ncancel_s = {:.2}\n[settings.state]\nrps = {:.1}\nwrite_rps = {:.1}\nvalue_kb = {:.1}\ntxn_ops = {}\n[settings.cloud]\nrps = {:.1}\nlist_lag_s = {:.1}\n[settings.limits]\ncores = {:.3}\nram_mb = {:.1}\nmax_connections = {}\n",
        w.report_s, w.lease_s, w.cancel_s, s.state.rps, s.state.write_rps, s.state.value_kb, s.state.txn_ops, s.cloud.rps, s.cloud.list_lag_s, c.cores, c.ram_mb, c.max_connections
    );
    if let Some(next) = &s.state.next {
        let _ = write!(
            text,
            "[settings.state.next]\nwrite_rps = {:.1}\nvalue_kb = {:.1}\ntxn_ops = {}\n",
            next.write_rps, next.value_kb, next.txn_ops
        );
    }
    text
}

/// The operators' settings, if the scenario asks for any: which classes span
/// machines.
fn write_ini(dir: &Path, scenario: &Scenario) -> io::Result<Vec<PathBuf>> {
    let spans = |class: &&ClassSettings| class.parts > 0 && !scenario.parts_alone;
    let lines: Vec<String> = scenario
        .classes
        .iter()
        .filter(spans)
        .map(|class| format!("{} = {}\n", class.name, class.parts))
        .collect();
    if lines.is_empty() {
        return Ok(Vec::new());
    }
    let path = dir.join("operators.ini");
    std::fs::write(&path, format!("[replica_parts]\n{}", lines.concat()))?;
    Ok(vec![PathBuf::from("--ini"), path])
}

fn signal(process: &Owned, signal: i32) {
    if let Ok(pid) = i32::try_from(process.child.id()) {
        // Safety: a plain system call; the child isn't waited for yet, so that
        // its id is still its own.
        unsafe { libc::kill(pid, signal) };
    }
}

/// The terms for which a controller's log says that it was elected.
fn elected_terms(log: &Path) -> Vec<u64> {
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let lines = text.lines().filter(|l| l.ends_with(" elected, loading"));
    let term = |l: &str| l.split("term=").nth(1)?.split(' ').next()?.parse().ok();
    lines.filter_map(term).collect()
}

/// Makes a whole run and reports on it.
pub fn run(scenario: Scenario, options: &RunOptions) -> Result<Report, RunError> {
    check_size(&scenario, open_files_limit())?;
    let interrupted = Arc::new(AtomicBool::new(false));
    let flag = interrupted.clone();
    let handler = ctrlc::set_handler(move || flag.store(true, Ordering::Relaxed));
    handler.map_err(|e| process_error("signals")(io::Error::other(e)))?;
    let mut run = Run::start(scenario, options)?;
    let addresses = &run.addresses;
    let users = PartProcess::start(&run.dir, "users", Role::Users, &run.scenario, addresses)?;
    run.users = Some(users);
    let began_us = now_us();
    let from_us = began_us + (run.scenario.warm_s * 1e6) as u64;
    let to_us = from_us + (run.scenario.run_s * 1e6) as u64;
    for fault in run.scenario.faults.clone() {
        let at_us = from_us + (fault.at_s * 1e6) as u64;
        run.schedule(at_us, Step::Fault(fault));
    }
    run.until(from_us, false, &interrupted)?;
    let before = run.stats();
    run.until(to_us, true, &interrupted)?;
    let after = run.stats();
    for part in run.parts() {
        part.tell(&PartCommand::Stop);
    }
    let mut paths: Vec<PathBuf> = run
        .parts()
        .map(|p| p.history.clone())
        .filter(|p| p.exists())
        .collect();
    paths.push(run.dir.join("harness.history"));
    let history = history::read(&paths).map_err(process_error("history"))?;
    Ok(run.report(&history, (from_us, to_us), &before, &after))
}

impl Run {
    fn report(
        &self,
        history: &[Entry],
        (from_us, to_us): (u64, u64),
        before: &BTreeMap<String, Stats>,
        after: &BTreeMap<String, Stats>,
    ) -> Report {
        let measured_s = (to_us - from_us) as f64 / 1e6;
        let leader = format!("controller-{}", self.leader());
        let role_of = |name: &str| match name.split('-').next() {
            _ if name == leader => "controller, last leader".to_string(),
            Some("controller") => "controllers, others".to_string(),
            Some("workers") => "hollow workers".to_string(),
            role => role.unwrap_or(name).to_string(),
        };
        let names: BTreeSet<String> = self
            .usage
            .processes
            .keys()
            .map(|name| role_of(name))
            .collect();
        let mut roles = BTreeMap::new();
        for role in names {
            let of_role = |name: &&String| role_of(name) == role;
            let used: Vec<Used> = self
                .usage
                .processes
                .iter()
                .filter(|(n, _)| of_role(n))
                .map(|(_, u)| *u)
                .collect();
            let counted = |stats: &BTreeMap<String, Stats>| -> Vec<Stats> {
                stats
                    .iter()
                    .filter(|(n, _)| of_role(n))
                    .map(|(_, s)| s.clone())
                    .collect()
            };
            let figures =
                report::role_figures(&used, &counted(before), &counted(after), measured_s);
            roles.insert(role, figures);
        }
        let workers = f64::from(self.scenario.workers.count);
        let (messages, bytes) = roles.get("hollow workers").map_or((0.0, 0.0), |r| {
            let sum = |pair: [f64; 2]| pair[0] + pair[1];
            (sum(r.messages_per_s), sum(r.bytes_per_s))
        });
        let mut counters = BTreeMap::new();
        for (part, stats) in after {
            let name = part.split('-').next().unwrap_or(part);
            for (counter, value) in &stats.counters {
                *counters.entry(format!("{name} {counter}")).or_insert(0.0) += value;
            }
        }
        let logged = failover::read_logs(self.controllers.iter().map(|c| c.log.as_path()));
        let (broken, replicas) = Checker::judge(&self.scenario, history);
        let mut by_rule = BTreeMap::new();
        for one in &broken {
            *by_rule.entry(one.rule).or_insert(0) += 1;
        }
        Report {
            workers: self.scenario.workers.count,
            controllers: self.scenario.controllers.count,
            measured_s,
            roles,
            starts_per_s: report::starts_per_s(history, from_us, to_us),
            tasks_running: counters
                .get("workers tasks_running")
                .copied()
                .unwrap_or(0.0),
            replicas,
            waits: report::waits(&self.scenario, history, from_us, to_us),
            worker_messages_per_s: messages / workers,
            worker_bytes_per_s: bytes / workers,
            counters,
            takeovers: failover::takeovers(&self.leader_ends, &logged, history),
            leader_usage: last_usage(&self.controllers[self.leader()].log),
            elections: self
                .controllers
                .iter()
                .map(|c| elected_terms(&c.log).len())
                .sum(),
            broken: by_rule,
            first_broken: broken.into_iter().take(5).collect(),
        }
    }
}

fn last_usage(log: &Path) -> String {
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let last = text
        .lines()
        .filter_map(|l| l.split(" usage ").nth(1))
        .next_back();
    last.unwrap_or("").to_string()
}
