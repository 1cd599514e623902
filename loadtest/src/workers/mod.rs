//! Simulated workers that implement the published worker protocol: periodic heartbeats,
//! expedited heartbeats on state changes, fencing tokens, agent epochs, leases, commands,
//! image pulls, and tasks that run for a set time. Each worker has its own listener and
//! its own connection.

mod heartbeats;
mod protocol;
mod tasks;

use crate::control::{SimulatorCommand, Stats};
use crate::history::Recorder;
use crate::net::{now_us, Incoming, Link, Network, RequestHandle};
use crate::process::{ProcessConfig, ProcessRole, Simulator, CONTROL_LISTENER};
use crate::scenario::{Machine, Scenario};
use lilacfork::messages::{Reply, Request};
use lilacfork::placement::Resources;
use lilacfork::wire::users::JobSpec;
use lilacfork::wire::workers::WORKER_COMMANDS_PATH;
use protocol::{CommandsBody, EndReason, Phase};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::net::SocketAddrV4;

/// The interval between ticks while no timer is set.
const IDLE_INTERVAL_US: u64 = 1_000_000;

struct Task {
    attempt: u64,
    phase: Phase,
    reason: Option<EndReason>,
    /// `None` once the task has ended.
    spec: Option<JobSpec>,
}

/// An image in a worker's cache.
struct CachedImage {
    name: String,
    size_gb: f64,
}

/// A heartbeat that awaits its response.
#[derive(Clone, Copy)]
struct HeartbeatInFlight {
    sent_us: u64,
    epoch: u64,
}

struct Worker {
    /// The machine's number in the scenario.
    number: u32,
    machine: Machine,
    address: SocketAddrV4,
    up: bool,
    epoch: u64,
    sequence: u64,
    /// The highest fencing token received.
    token: u64,
    /// The number of the controller to which heartbeats are sent.
    controller: usize,
    tasks: BTreeMap<String, Task>,
    used: Resources,
    /// In order of use; the most recently used image is last.
    cached_images: VecDeque<CachedImage>,
    pulling_images: BTreeSet<String>,
    /// The time from which the lease runs: when the last accepted heartbeat was sent, the
    /// agent epoch began or the worker was activated, whichever is latest.
    lease_renewed_us: u64,
    in_flight: Option<HeartbeatInFlight>,
    last_heartbeat_us: u64,
    heartbeat_due_us: u64,
    /// The time until which a fault isolates the machine.
    isolated_until_us: u64,
}

impl Worker {
    /// Records a received fencing token if it is the highest one.
    fn observe_token(&mut self, token: u64) {
        self.token = self.token.max(token);
    }
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Heartbeat,
    Lease,
    Boot,
    ImagePulled {
        image: String,
    },
    TaskDone {
        task: String,
        attempt: u64,
        epoch: u64,
    },
}

/// A timer of a worker, ordered by due time.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledTimer {
    due_us: u64,
    /// The worker's index in [`WorkerSimulator::workers`].
    worker: usize,
    timer: Timer,
}

/// The workers of one simulator process, with consecutive machine numbers.
pub struct WorkerSimulator {
    scenario: Scenario,
    controllers: Vec<SocketAddrV4>,
    workers: Vec<Worker>,
    /// The machine number of the worker with index 0.
    first_number: u32,
    timers: BTreeSet<ScheduledTimer>,
    recorder: Recorder,
    rng: fastrand::Rng,
    /// The time until which a fault isolates each zone's workers; 0 if none has been set.
    zone_isolated_until_us: Vec<u64>,
    heartbeats: u64,
    starts: u64,
    expired_leases: u64,
}

impl WorkerSimulator {
    /// Creates the workers and opens a listener for each, including the spare machines,
    /// which are down until they boot.
    pub fn new(
        config: &ProcessConfig,
        net: &mut Network,
        listeners: &mut Vec<SocketAddrV4>,
    ) -> io::Result<WorkerSimulator> {
        let ProcessRole::Workers { first, last } = config.role else {
            return Err(io::ErrorKind::InvalidInput.into());
        };
        let scenario = config.scenario.clone();
        let now_us = now_us();
        let mut simulator = WorkerSimulator {
            controllers: config.controllers.clone(),
            workers: Vec::new(),
            first_number: first,
            timers: BTreeSet::new(),
            recorder: Recorder::create(&config.history)?,
            rng: fastrand::Rng::with_seed(scenario.seed + u64::from(first)),
            zone_isolated_until_us: vec![0; scenario.zones.len()],
            heartbeats: 0,
            starts: 0,
            expired_leases: 0,
            scenario,
        };
        for number in first..=last {
            let address = net.listen()?;
            listeners.push(address);
            simulator.add_worker(number, address, now_us);
        }
        Ok(simulator)
    }

    fn add_worker(&mut self, number: u32, address: SocketAddrV4, now_us: u64) {
        let up = number < self.scenario.workers.count;
        let index = self.workers.len();
        self.workers.push(Worker {
            number,
            machine: self.scenario.machine(number),
            address,
            up,
            epoch: 1,
            sequence: 0,
            token: 0,
            controller: self.rng.usize(..self.controllers.len()),
            tasks: BTreeMap::new(),
            used: Resources::default(),
            cached_images: VecDeque::new(),
            pulling_images: BTreeSet::new(),
            lease_renewed_us: now_us,
            in_flight: None,
            last_heartbeat_us: 0,
            heartbeat_due_us: 0,
            isolated_until_us: 0,
        });
        if up {
            // Random delays keep the workers from sending their heartbeats simultaneously.
            let delay_us = self
                .rng
                .u64(..(self.scenario.workers.report_s * 1e6) as u64);
            self.activate(index, now_us + delay_us);
        }
    }

    /// Starts a worker's lease and schedules its first heartbeat, both for this time.
    fn activate(&mut self, index: usize, start_us: u64) {
        self.workers[index].lease_renewed_us = start_us;
        self.schedule_heartbeat(index, start_us);
        self.set_timer(start_us + self.lease_us(), index, Timer::Lease);
    }

    fn lease_us(&self) -> u64 {
        (self.scenario.workers.lease_s * 1e6) as u64
    }

    fn set_timer(&mut self, due_us: u64, worker: usize, timer: Timer) {
        self.timers.insert(ScheduledTimer {
            due_us,
            worker,
            timer,
        });
    }

    /// Schedules the next heartbeat in place of the one that is scheduled.
    fn schedule_heartbeat(&mut self, index: usize, due_us: u64) {
        let worker = &mut self.workers[index];
        self.timers.remove(&ScheduledTimer {
            due_us: worker.heartbeat_due_us,
            worker: index,
            timer: Timer::Heartbeat,
        });
        worker.heartbeat_due_us = due_us;
        self.set_timer(due_us, index, Timer::Heartbeat);
    }

    fn is_isolated(&self, index: usize, now_us: u64) -> bool {
        let worker = &self.workers[index];
        now_us < self.zone_isolated_until_us[worker.machine.zone].max(worker.isolated_until_us)
    }

    /// Returns the worker index of the machine with this number.
    fn index_of(&self, number: u32) -> usize {
        (number - self.first_number) as usize
    }

    /// Handles a controller's request. Commands with a fencing token below the highest
    /// received one, or for another agent epoch, are rejected with status 409.
    fn handle_request(
        &mut self,
        net: &mut Network,
        index: usize,
        request_handle: RequestHandle,
        request: &Request,
    ) -> io::Result<()> {
        if !self.workers[index].up || self.is_isolated(index, now_us()) {
            // A worker that is down or isolated doesn't respond.
            return Ok(());
        }
        let mut status = 200;
        if request.path == WORKER_COMMANDS_PATH {
            let Ok(body) = serde_json::from_slice::<CommandsBody>(&request.body) else {
                net.reply(request_handle, &Reply::error(400, "malformed"));
                return Ok(());
            };
            let (Some(token), Some(epoch)) = (body.token, body.epoch) else {
                net.reply(
                    request_handle,
                    &Reply::error(400, "jeton or quart is missing"),
                );
                return Ok(());
            };
            let worker = &self.workers[index];
            if token < worker.token || epoch != worker.epoch {
                status = 409;
            }
            self.workers[index].observe_token(token);
            if status == 200 {
                self.execute_commands(index, &body.commands)?;
            }
        }
        let reply = Reply {
            status,
            body: self.heartbeat_body(index),
            retry_after_s: None,
        };
        net.reply(request_handle, &reply);
        Ok(())
    }

    fn remove_machines(&mut self, net: &mut Network, machines: &[u32]) -> io::Result<()> {
        for number in machines {
            let index = self.index_of(*number);
            self.end_all_tasks(index)?;
            self.workers[index].up = false;
            net.close_link(index as Link);
            net.close_listener_connections(CONTROL_LISTENER + 1 + index);
        }
        Ok(())
    }

    fn handle_timer(
        &mut self,
        net: &mut Network,
        index: usize,
        timer: Timer,
        now_us: u64,
    ) -> io::Result<()> {
        match timer {
            Timer::Heartbeat => self.send_heartbeat(net, index, now_us),
            Timer::Lease => self.check_lease(index, now_us)?,
            Timer::Boot => {
                self.workers[index].up = true;
                self.activate(index, now_us);
            }
            Timer::ImagePulled { image } => self.complete_image_pull(index, &image)?,
            Timer::TaskDone {
                task,
                attempt,
                epoch,
            } => {
                let worker = &self.workers[index];
                let is_current = worker
                    .tasks
                    .get(&task)
                    .is_some_and(|known| known.attempt == attempt);
                if is_current && worker.epoch == epoch {
                    self.end_task(index, &task, EndReason::Done)?;
                }
            }
        }
        Ok(())
    }
}

impl Simulator for WorkerSimulator {
    fn incoming(&mut self, net: &mut Network, incoming: Incoming) -> io::Result<()> {
        match incoming {
            Incoming::Request {
                listener,
                request_handle,
                request,
            } => self.handle_request(
                net,
                listener - CONTROL_LISTENER - 1,
                request_handle,
                &request,
            ),
            Incoming::Response { link, response } => self.handle_response(link as usize, response),
        }
    }

    fn tick(&mut self, net: &mut Network) -> io::Result<u64> {
        let now_us = now_us();
        while self
            .timers
            .first()
            .is_some_and(|first| first.due_us <= now_us)
        {
            let Some(due) = self.timers.pop_first() else {
                break;
            };
            // A lease that expired while this process was paused is handled before other
            // timers, so that its tasks end first.
            let expires_us = self.workers[due.worker].lease_renewed_us + self.lease_us();
            if due.timer != Timer::Lease && now_us > expires_us {
                self.check_lease(due.worker, now_us)?;
            }
            self.handle_timer(net, due.worker, due.timer, now_us)?;
        }
        let first_us = self.timers.first().map(|first| first.due_us);
        Ok(first_us.unwrap_or(now_us + IDLE_INTERVAL_US))
    }

    fn command(&mut self, net: &mut Network, command: &SimulatorCommand) -> io::Result<()> {
        match command {
            SimulatorCommand::Boot { machines, after_ms } => {
                for number in machines {
                    let index = self.index_of(*number);
                    self.set_timer(now_us() + after_ms * 1000, index, Timer::Boot);
                }
            }
            SimulatorCommand::Remove { machines } => self.remove_machines(net, machines)?,
            SimulatorCommand::Isolate { machines, for_ms } => {
                for number in machines {
                    let index = self.index_of(*number);
                    self.workers[index].isolated_until_us = now_us() + for_ms * 1000;
                }
            }
            SimulatorCommand::IsolateZone { zone, for_ms } => {
                self.zone_isolated_until_us[*zone] = now_us() + for_ms * 1000
            }
            _ => {}
        }
        Ok(())
    }

    fn stats(&self, stats: &mut Stats) {
        let up = self.workers.iter().filter(|worker| worker.up).count();
        let running = |worker: &Worker| {
            worker
                .tasks
                .values()
                .filter(|task| task.phase == Phase::Running)
                .count()
        };
        let tasks: usize = self.workers.iter().map(running).sum();
        let counters = [
            ("workers", up as f64),
            ("tasks_running", tasks as f64),
            ("reports", self.heartbeats as f64),
            ("starts", self.starts as f64),
            ("leases_ended", self.expired_leases as f64),
        ];
        stats
            .counters
            .extend(counters.map(|(name, n)| (name.to_string(), n)));
    }

    fn recorder(&mut self) -> Option<&mut Recorder> {
        Some(&mut self.recorder)
    }
}
