//! Users of the published API; the observer learns what they ask and are told.

use super::events::Sender;
use super::observation::check;
use super::observer::{UserRequest, Verb};
use super::Simulation;
use lilacfork::messages::{Listener, Reply, Request};
use serde_json::Value;

/// How long users wait for a submission, and for the state of a job.
const SUBMISSION_TIMEOUT_MS: u64 = 5000;
const QUERY_TIMEOUT_MS: u64 = 2000;
/// How long a test waits before it looks for a reply, and between two looks.
const FIRST_WAIT_MS: u64 = 50;
const WAIT_STEP_MS: u64 = 10;

impl Simulation {
    /// Sends a request with a JSON body, or with none for `null`; returns the number by
    /// which its reply is found.
    pub fn ask(&mut self, node: usize, method: &str, path: &str, body: Value) -> u64 {
        let bytes = if body.is_null() {
            Vec::new()
        } else {
            body.to_string().into_bytes()
        };
        self.ask_raw(node, method, path, bytes)
    }

    /// [`Simulation::ask`] with any body.
    pub fn ask_raw(&mut self, node: usize, method: &str, path: &str, body: Vec<u8>) -> u64 {
        self.last_user += 1;
        let user = self.last_user;
        self.observe_request(user, path, &body);
        let request = Request {
            method: method.into(),
            path: path.into(),
            body,
        };
        self.send_request(node, 0, Sender::User(user), Listener::Client, request);
        user
    }

    /// Shows the observer what a user asks.
    fn observe_request(&mut self, user: u64, path: &str, body: &[u8]) {
        let Some(rest) = path.strip_prefix("/v2/runs") else {
            return;
        };
        let (verb, job) = match rest.strip_prefix('/').map(|rest| rest.split_once('/')) {
            None => {
                let spec: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
                self.observer.submitted(&spec);
                let id = spec["id"].as_str().unwrap_or("").to_string();
                (Verb::Submit, id)
            }
            Some(Some((id, _))) => {
                self.observer.cancel_asked(id);
                (Verb::Cancel, id.to_string())
            }
            Some(None) => (Verb::Show, rest[1..].to_string()),
        };
        let request = UserRequest {
            verb,
            job,
            asked_ms: self.now,
        };
        self.observed_requests.insert(user, request);
    }

    /// A node has replied to a user.
    pub(super) fn user_answered(&mut self, user: u64, reply: Reply) {
        self.replies.insert(user, reply);
        if let Some(request) = self.observed_requests.remove(&user) {
            let (status, state) = self.answer(user);
            check(self.observer.answered(self.now, &request, status, &state));
        }
    }

    /// Submits a job and returns the reply's status, or 0 after a timeout.
    pub fn submit(&mut self, node: usize, spec: &Value) -> u16 {
        let user = self.ask(node, "POST", "/v2/runs", spec.clone());
        self.wait(user, SUBMISSION_TIMEOUT_MS);
        self.answer(user).0
    }

    /// Cancels a job and returns the reply's status and state if it comes soon.
    pub fn cancel(&mut self, node: usize, id: &str) -> (u16, String) {
        let path = format!("/v2/runs/{id}/abort");
        let user = self.ask(node, "POST", &path, Value::Null);
        self.run_for(FIRST_WAIT_MS);
        self.answer(user)
    }

    /// Asks for a job and returns the reply's status and state.
    pub fn poll(&mut self, node: usize, id: &str) -> (u16, String) {
        let user = self.ask(node, "GET", &format!("/v2/runs/{id}"), Value::Null);
        self.wait(user, QUERY_TIMEOUT_MS);
        self.answer(user)
    }

    /// How many tasks of a watched job a node reports as running. It must not report
    /// more than it can know to run.
    pub fn reported_running_tasks(&mut self, node: usize, id: &str) -> u64 {
        let user = self.ask(node, "GET", &format!("/v2/runs/{id}"), Value::Null);
        self.wait(user, QUERY_TIMEOUT_MS);
        let running = self.reply_body(user)["running"].as_u64().unwrap_or(0);
        let watched = &self.watched[id];
        assert!(
            watched.may_run(self.now, running),
            "{running} tasks of {id} are said to run at {}: {watched:?}",
            self.now
        );
        running
    }

    /// Runs until a reply has come, or for so long.
    fn wait(&mut self, user: u64, timeout_ms: u64) {
        let until_ms = self.now + timeout_ms;
        self.run_for(FIRST_WAIT_MS);
        while self.now < until_ms && !self.replies.contains_key(&user) {
            self.run_for(WAIT_STEP_MS);
        }
    }

    fn reply_body(&self, user: u64) -> Value {
        let reply = self.replies.get(&user);
        reply
            .and_then(|reply| serde_json::from_slice(&reply.body).ok())
            .unwrap_or(Value::Null)
    }

    /// The status and the job's state in a reply; status 0 while there is none.
    pub fn answer(&self, user: u64) -> (u16, String) {
        let status = self.replies.get(&user).map_or(0, |reply| reply.status);
        let state = self.reply_body(user)["etat"].as_str().unwrap_or("").into();
        (status, state)
    }
}
