//! Users, by the published protocol; the observer hears what they ask and are told.

use super::observer::{Question, Verb};
use super::{Action, Origin, Simulation};
use lilacfork::messages::{Listener, Request};
use serde_json::Value;

impl Simulation {
    pub fn ask(&mut self, node: usize, method: &str, path: &str, body: Value) -> u64 {
        let bytes = if body.is_null() {
            Vec::new()
        } else {
            body.to_string().into_bytes()
        };
        self.ask_raw(node, method, path, bytes)
    }

    pub fn ask_raw(&mut self, node: usize, method: &str, path: &str, body: Vec<u8>) -> u64 {
        self.next_user += 1;
        let user = self.next_user;
        self.note_question(user, path, &body);
        let request = Request {
            method: method.into(),
            path: path.into(),
            body,
        };
        self.at(
            self.now,
            Action::Request {
                node,
                origin: Origin::User(user),
                port: Listener::Client,
                request,
            },
        );
        user
    }

    /// Tells the observer what a user asks.
    pub(super) fn note_question(&mut self, user: u64, path: &str, body: &[u8]) {
        let Some(rest) = path.strip_prefix("/v2/runs") else {
            return;
        };
        let (verb, job) = match rest.strip_prefix('/').map(|r| r.split_once('/')) {
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
        let question = Question {
            verb,
            job,
            asked_ms: self.now,
        };
        self.questions.insert(user, question);
    }

    /// Submits and waits for the answer's status, as long as users do.
    pub fn submit(&mut self, node: usize, spec: &Value) -> u16 {
        let user = self.ask(node, "POST", "/v2/runs", spec.clone());
        self.wait(user, 5000);
        self.answers.get(&user).map_or(0, |r| r.status)
    }

    pub fn cancel(&mut self, node: usize, id: &str) -> (u16, String) {
        let user = self.ask(node, "POST", &format!("/v2/runs/{id}/abort"), Value::Null);
        self.run_for(50);
        self.answer(user)
    }

    /// Asks and waits for the answer, as long as users do.
    pub fn poll(&mut self, node: usize, id: &str) -> (u16, String) {
        let user = self.ask(node, "GET", &format!("/v2/runs/{id}"), Value::Null);
        self.wait(user, 2000);
        self.answer(user)
    }

    pub(super) fn wait(&mut self, user: u64, most_ms: u64) {
        let until = self.now + most_ms;
        self.run_for(50);
        while self.now < until && !self.answers.contains_key(&user) {
            self.run_for(10);
        }
    }

    pub fn answer(&self, user: u64) -> (u16, String) {
        let Some(reply) = self.answers.get(&user) else {
            return (0, String::new());
        };
        let body: Value = serde_json::from_slice(&reply.body).unwrap_or(Value::Null);
        (
            reply.status,
            body["etat"].as_str().unwrap_or("").to_string(),
        )
    }
}
