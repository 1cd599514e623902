//! The workers' heartbeats to controllers, and the worker leases that heartbeat responses
//! renew.

use super::protocol::{CommandsBody, HeartbeatBody, TaskStatus};
use super::{HeartbeatInFlight, Timer, WorkerSimulator};
use crate::net::{now_us, Link, Network};
use lilacfork::http::Response;
use lilacfork::wire::workers::WORKER_HEARTBEAT_PATH;
use std::io;

/// How long a worker waits for a heartbeat response.
const HEARTBEAT_TIMEOUT_MS: u64 = 4000;
/// The minimum time between two heartbeats that the worker protocol allows.
const MIN_HEARTBEAT_INTERVAL_US: u64 = 500_000;
/// The delay before a worker tries the next controller, as set by the worker protocol.
const CONTROLLER_RETRY_DELAY_US: u64 = 1_000_000;
/// Each heartbeat interval varies randomly by up to this share in either direction.
const HEARTBEAT_JITTER: f64 = 0.25;

/// Returns the number that a controller's name holds.
fn controller_number(name: &str) -> Option<usize> {
    name.strip_prefix("controller-")?.parse().ok()
}

impl WorkerSimulator {
    /// Brings the next heartbeat forward, as far as the minimum interval allows, so that it
    /// reports a state change without delay.
    pub(super) fn expedite_heartbeat(&mut self, index: usize) {
        let worker = &self.workers[index];
        let earliest_us = (worker.last_heartbeat_us + MIN_HEARTBEAT_INTERVAL_US).max(now_us());
        if worker.in_flight.is_none() && earliest_us < worker.heartbeat_due_us {
            self.schedule_heartbeat(index, earliest_us);
        }
    }

    pub(super) fn heartbeat_body(&mut self, index: usize) -> Vec<u8> {
        let worker = &mut self.workers[index];
        worker.sequence += 1;
        let tasks = worker.tasks.iter().map(|(name, task)| TaskStatus {
            task: name,
            attempt: task.attempt,
            phase: task.phase,
            reason: task.reason,
        });
        let body = HeartbeatBody {
            machine: &worker.machine.name,
            address: worker.address.to_string(),
            machine_type: &self.scenario.machine_types[worker.machine.machine_type].name,
            zone: &self.scenario.zones[worker.machine.zone],
            spot: false,
            epoch: worker.epoch,
            sequence: worker.sequence,
            token: worker.token,
            tasks: tasks.collect(),
        };
        serde_json::to_vec(&body).unwrap_or_default()
    }

    /// Sends a heartbeat, unless the worker is down or has a heartbeat in flight. An isolated
    /// worker schedules an attempt with the next controller instead.
    pub(super) fn send_heartbeat(&mut self, net: &mut Network, index: usize, now_us: u64) {
        if !self.workers[index].up || self.workers[index].in_flight.is_some() {
            return;
        }
        if self.is_isolated(index, now_us) {
            self.try_next_controller(index, now_us);
            return;
        }
        let body = self.heartbeat_body(index);
        let worker = &mut self.workers[index];
        worker.in_flight = Some(HeartbeatInFlight {
            sent_us: now_us,
            epoch: worker.epoch,
        });
        worker.last_heartbeat_us = now_us;
        let controller_address = self.controllers[worker.controller];
        self.heartbeats += 1;
        net.call(
            index as Link,
            controller_address,
            "POST",
            WORKER_HEARTBEAT_PATH,
            &body,
            HEARTBEAT_TIMEOUT_MS,
        );
    }

    fn try_next_controller(&mut self, index: usize, now_us: u64) {
        let count = self.controllers.len();
        let worker = &mut self.workers[index];
        worker.controller = (worker.controller + 1) % count;
        self.schedule_heartbeat(index, now_us + CONTROLLER_RETRY_DELAY_US);
    }

    /// Handles a heartbeat response, or the failure of a heartbeat if `response` is `None`.
    pub(super) fn handle_response(
        &mut self,
        index: usize,
        response: Option<Response>,
    ) -> io::Result<()> {
        let now_us = now_us();
        let Some(in_flight) = self.workers[index].in_flight.take() else {
            return Ok(());
        };
        if !self.workers[index].up {
            return Ok(());
        }
        let response = response.filter(|_| !self.is_isolated(index, now_us));
        let Response { status, body } = response.unwrap_or_default();
        let body: Option<CommandsBody> = serde_json::from_slice(&body).ok();
        match (status, body) {
            (200, Some(body)) => self.accept_response(index, in_flight, &body)?,
            (421, Some(body)) => self.follow_redirect(index, body.redirect_to, now_us),
            _ => self.try_next_controller(index, now_us),
        }
        Ok(())
    }

    /// Renews the worker's lease and executes the commands in the response to an accepted
    /// heartbeat. A response to a heartbeat of another agent epoch, or with a fencing
    /// token that is missing or lower than the worker's highest, only schedules the next
    /// heartbeat.
    fn accept_response(
        &mut self,
        index: usize,
        heartbeat: HeartbeatInFlight,
        body: &CommandsBody,
    ) -> io::Result<()> {
        let interval_us = self.scenario.workers.report_s * 1e6;
        let jitter = 1.0 + HEARTBEAT_JITTER * (self.rng.f64() * 2.0 - 1.0);
        let next_us = heartbeat.sent_us + (interval_us * jitter) as u64;
        self.schedule_heartbeat(index, next_us);
        let worker = &mut self.workers[index];
        let token = body.token.unwrap_or(0);
        if heartbeat.epoch != worker.epoch || token < worker.token || token == 0 {
            return Ok(());
        }
        worker.lease_renewed_us = heartbeat.sent_us;
        worker.observe_token(token);
        self.execute_commands(index, &body.commands)
    }

    /// Switches to the controller that a heartbeat response names, or to the next controller
    /// if the named one is unknown or the current one.
    fn follow_redirect(&mut self, index: usize, redirect_to: Option<String>, now_us: u64) {
        let current = self.workers[index].controller;
        let target = redirect_to
            .and_then(|name| controller_number(&name))
            .filter(|number| *number < self.controllers.len() && *number != current);
        match target {
            Some(number) => {
                self.workers[index].controller = number;
                let delay_us = self.rng.u64(..MIN_HEARTBEAT_INTERVAL_US);
                self.schedule_heartbeat(index, now_us + delay_us);
            }
            None => self.try_next_controller(index, now_us),
        }
    }

    /// Ends all tasks and begins a new agent epoch if the lease has expired, and schedules
    /// the next check.
    pub(super) fn check_lease(&mut self, index: usize, now_us: u64) -> io::Result<()> {
        let expires_us = self.workers[index].lease_renewed_us + self.lease_us();
        if !self.workers[index].up {
            return Ok(());
        }
        if now_us > expires_us {
            self.expired_leases += 1;
            self.end_all_tasks(index)?;
            let worker = &mut self.workers[index];
            worker.epoch += 1;
            worker.sequence = 0;
            worker.lease_renewed_us = now_us;
        }
        let next_us = self.workers[index].lease_renewed_us + self.lease_us() + 1;
        self.set_timer(next_us, index, Timer::Lease);
        Ok(())
    }
}
