//! Simulated users of the published API. Their requests and the replies are passed to the
//! observer.

use super::events::Sender;
use super::observation::check;
use super::observer::{RequestKind, UserRequest};
use super::Simulation;
use lilacfork::messages::{Listener, Reply, Request};
use serde_json::Value;

/// How long users wait for the reply to a submission.
const SUBMISSION_TIMEOUT_MS: u64 = 5000;
/// How long users wait for the reply to a query of a job.
const QUERY_TIMEOUT_MS: u64 = 2000;
/// Time from a request until users first check for the reply.
const FIRST_WAIT_MS: u64 = 50;
/// Interval between two later checks for the reply.
const WAIT_STEP_MS: u64 = 10;

impl Simulation {
    /// Sends a user's request with a JSON body, or without a body if `body` is `null`. Returns
    /// the request number, which identifies the reply in [`Simulation::replies`].
    pub fn request(&mut self, node: usize, method: &str, path: &str, body: Value) -> u64 {
        let bytes = if body.is_null() {
            Vec::new()
        } else {
            body.to_string().into_bytes()
        };
        self.request_with_body(node, method, path, bytes)
    }

    /// Sends a user's request with an arbitrary body. Returns the request number, as
    /// [`Simulation::request`] does.
    pub fn request_with_body(
        &mut self,
        node: usize,
        method: &str,
        path: &str,
        body: Vec<u8>,
    ) -> u64 {
        self.last_request += 1;
        let request_number = self.last_request;
        self.observe_request(request_number, path, &body);
        let request = Request {
            method: method.into(),
            path: path.into(),
            body,
        };
        self.send_request(
            node,
            0,
            Sender::User(request_number),
            Listener::Client,
            request,
        );
        request_number
    }

    /// Passes a user's request to the observer if it concerns a job.
    fn observe_request(&mut self, request_number: u64, path: &str, body: &[u8]) {
        let Some(rest) = path.strip_prefix("/v2/runs") else {
            return;
        };
        let (kind, job) = match rest.strip_prefix('/').map(|rest| rest.split_once('/')) {
            None => {
                let spec: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
                self.observer.record_submission(&spec);
                let id = spec["id"].as_str().unwrap_or("").to_string();
                (RequestKind::Submit, id)
            }
            Some(Some((id, _))) => {
                self.observer.record_cancellation_request(id);
                (RequestKind::Cancel, id.to_string())
            }
            Some(None) => (RequestKind::Query, rest[1..].to_string()),
        };
        let request = UserRequest {
            kind,
            job,
            sent_ms: self.now_ms,
        };
        self.observed_requests.insert(request_number, request);
    }

    /// Stores a controller's reply to a user and passes it to the observer.
    pub(super) fn receive_user_reply(&mut self, request_number: u64, reply: Reply) {
        self.replies.insert(request_number, reply);
        if let Some(request) = self.observed_requests.remove(&request_number) {
            let (status, state) = self.status_and_state(request_number);
            check(
                self.observer
                    .check_response(self.now_ms, &request, status, &state),
            );
        }
    }

    /// Submits a job and returns the status of the reply, or 0 after a timeout.
    pub fn submit(&mut self, node: usize, spec: &Value) -> u16 {
        let request_number = self.request(node, "POST", "/v2/runs", spec.clone());
        self.wait(request_number, SUBMISSION_TIMEOUT_MS);
        self.status_and_state(request_number).0
    }

    /// Cancels a job and returns the status and state in the reply, or status 0 if no reply
    /// arrives within [`FIRST_WAIT_MS`].
    pub fn cancel(&mut self, node: usize, id: &str) -> (u16, String) {
        let path = format!("/v2/runs/{id}/abort");
        let request_number = self.request(node, "POST", &path, Value::Null);
        self.run_for(FIRST_WAIT_MS);
        self.status_and_state(request_number)
    }

    /// Queries a job and returns the status and state in the reply, or status 0 after a timeout.
    pub fn query(&mut self, node: usize, id: &str) -> (u16, String) {
        let request_number = self.request(node, "GET", &format!("/v2/runs/{id}"), Value::Null);
        self.wait(request_number, QUERY_TIMEOUT_MS);
        self.status_and_state(request_number)
    }

    /// Returns how many tasks of a tracked job a controller reports as running. Fails the test
    /// if the controller reports a number that [`ReplicaTracker::may_report_running`] rejects.
    ///
    /// [`ReplicaTracker::may_report_running`]: super::replica_groups::ReplicaTracker::may_report_running
    pub fn reported_running_tasks(&mut self, node: usize, id: &str) -> u64 {
        let request_number = self.request(node, "GET", &format!("/v2/runs/{id}"), Value::Null);
        self.wait(request_number, QUERY_TIMEOUT_MS);
        let running = self.reply_body(request_number)["running"]
            .as_u64()
            .unwrap_or(0);
        let tracker = &self.replicas[id];
        assert!(
            tracker.may_report_running(self.now_ms, running),
            "{running} tasks of {id} are reported as running at {} ms: {tracker:?}",
            self.now_ms
        );
        running
    }

    /// Runs the simulation until the reply to a request arrives or the timeout expires.
    fn wait(&mut self, request_number: u64, timeout_ms: u64) {
        let until_ms = self.now_ms + timeout_ms;
        self.run_for(FIRST_WAIT_MS);
        while self.now_ms < until_ms && !self.replies.contains_key(&request_number) {
            self.run_for(WAIT_STEP_MS);
        }
    }

    /// Returns the JSON body of a reply, or `null` if there is no reply or no valid body.
    fn reply_body(&self, request_number: u64) -> Value {
        let reply = self.replies.get(&request_number);
        reply
            .and_then(|reply| serde_json::from_slice(&reply.body).ok())
            .unwrap_or(Value::Null)
    }

    /// Returns the status and the job's state in the reply to a request, or status 0 if no
    /// reply has arrived.
    pub fn status_and_state(&self, request_number: u64) -> (u16, String) {
        let status = self
            .replies
            .get(&request_number)
            .map_or(0, |reply| reply.status);
        let state = self.reply_body(request_number)["etat"]
            .as_str()
            .unwrap_or("")
            .into();
        (status, state)
    }
}
