//! The JSON of users, workers, cloud and state service. Field names are the
//! field's English terms; the renames are what goes over the wire.

use crate::ids::{Attempt, JobId, Session, Token};
use serde::{Deserialize, Serialize};
use std::rc::Rc;

pub const USER_JOBS: &str = "/v2/runs";
pub const READY: &str = "/ready";
pub const WORKER_REPORT: &str = "/agent/beat";
pub const WORKER_COMMANDS: &str = "/commands";
pub const CLOUD_CATALOG: &str = "/catalog";
pub const CLOUD_MACHINES: &str = "/machines";
pub const CLOUD_RELEASE: &str = "/machines/release";

#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    Array,
    Service,
    /// A gang: tasks that run together or not at all.
    Group,
}

/// Most important first, so that the derived order is the serving order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    Critical,
    High,
    Standard,
    Idle,
}

/// A job as its user describes it.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct JobSpec {
    pub id: JobId,
    #[serde(rename = "gabarit")]
    pub class: Rc<str>,
    #[serde(rename = "equipe")]
    pub team: Rc<str>,
    #[serde(rename = "genre")]
    pub kind: Kind,
    #[serde(rename = "rang")]
    pub priority: Priority,
    #[serde(rename = "pieces")]
    pub tasks: u32,
    pub cpus: f64,
    pub gpus: f64,
    #[serde(rename = "memoryGb")]
    pub memory_gb: f64,
    #[serde(rename = "moule")]
    pub image: Rc<str>,
    #[serde(rename = "pullGb")]
    pub image_gb: f64,
    #[serde(rename = "gammes", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<Rc<str>>>,
    #[serde(rename = "secteur", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<Rc<str>>,
    #[serde(rename = "samePlace")]
    pub one_zone: bool,
    pub spread: bool,
    #[serde(rename = "occasion")]
    pub spot: bool,
    #[serde(rename = "prevuS")]
    pub estimate_s: f64,
    #[serde(rename = "jalonS")]
    pub checkpoint_s: f64,
    #[serde(rename = "sauvegardeS")]
    pub save_s: f64,
    #[serde(rename = "echeanceS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

const MAX_TASKS: u32 = 100_000;

impl JobSpec {
    /// Reads and checks a submission. Everything wrong with it is a 400.
    pub fn parse(body: &[u8]) -> Result<JobSpec, String> {
        let spec: JobSpec = serde_json::from_slice(body).map_err(|e| e.to_string())?;
        if !valid_job_id(spec.id.as_str()) {
            return Err("id: not a job id".into());
        }
        if spec.tasks == 0 || spec.tasks > MAX_TASKS {
            return Err("pieces: out of range".into());
        }
        let amounts = [
            ("cpus", spec.cpus),
            ("gpus", spec.gpus),
            ("memoryGb", spec.memory_gb),
            ("pullGb", spec.image_gb),
            ("prevuS", spec.estimate_s),
            ("jalonS", spec.checkpoint_s),
            ("sauvegardeS", spec.save_s),
            ("echeanceS", spec.deadline_s.unwrap_or(0.0)),
        ];
        for (name, amount) in amounts {
            if !amount.is_finite() || !(0.0..=1e9).contains(&amount) {
                return Err(format!("{name}: out of range"));
            }
        }
        for (name, text) in [
            ("gabarit", &spec.class),
            ("equipe", &spec.team),
            ("moule", &spec.image),
        ] {
            if text.is_empty() || text.len() > 200 {
                return Err(format!("{name}: empty or too long"));
            }
        }
        Ok(spec)
    }
}

/// The id alone, from a body that may otherwise be invalid.
pub fn peek_job_id(body: &[u8]) -> Option<JobId> {
    #[derive(Deserialize)]
    struct Peek {
        id: JobId,
    }
    let peek: Peek = serde_json::from_slice(body).ok()?;
    valid_job_id(peek.id.as_str()).then_some(peek.id)
}

/// `run-` and digits or letters; ids become keys of the state service, so
/// nothing that could leave its place in a path gets through.
pub fn valid_job_id(id: &str) -> bool {
    id.len() <= 100
        && id.strip_prefix("run-").is_some_and(|rest| {
            !rest.is_empty()
                && rest
                    .bytes()
                    .all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_')
        })
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UserState {
    Pending,
    Running,
    Done,
    Cancelled,
}

#[derive(Debug, Serialize)]
pub struct JobState<'a> {
    pub id: &'a JobId,
    #[serde(rename = "etat")]
    pub state: UserState,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

// ---- workers ----

#[derive(Clone, Copy, PartialEq, Eq, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskPhase {
    #[serde(rename = "pulling")]
    Fetching,
    Running,
    #[serde(rename = "flushing")]
    Saving,
    Ended,
    /// Anything newer than this program: on the machine, as far as we know.
    #[serde(other)]
    Other,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndReason {
    Done,
    Stopped,
    Error,
    Full,
    Busy,
    Unknown,
    #[serde(other)]
    Other,
}

#[derive(Clone, Debug, Deserialize)]
pub struct ReportedTask {
    #[serde(rename = "piece")]
    pub task: String,
    #[serde(rename = "essai")]
    pub attempt: Attempt,
    #[serde(rename = "etat")]
    pub phase: TaskPhase,
    #[serde(rename = "motif", default)]
    pub reason: Option<EndReason>,
    #[serde(rename = "stored", default)]
    pub saved: Option<bool>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Report {
    #[serde(rename = "banc")]
    pub machine: String,
    #[serde(default)]
    pub address: String,
    #[serde(rename = "gamme")]
    pub machine_type: String,
    #[serde(rename = "secteur")]
    pub zone: String,
    #[serde(rename = "occasion")]
    pub spot: bool,
    #[serde(rename = "quart")]
    pub session: Session,
    #[serde(rename = "numero")]
    pub seq: u64,
    #[serde(rename = "jeton")]
    pub token: Token,
    #[serde(rename = "preavisS", default)]
    pub notice_s: Option<f64>,
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<ReportedTask>,
}

#[derive(Clone, PartialEq, Debug, Serialize)]
#[serde(tag = "geste", rename_all = "lowercase")]
pub enum Command {
    Start {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "essai")]
        attempt: Attempt,
    },
    #[serde(rename = "halt")]
    Stop {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "essai")]
        attempt: Attempt,
        #[serde(rename = "delaiS")]
        grace_s: u64,
    },
    #[serde(rename = "reap")]
    Forget {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "essai")]
        attempt: Attempt,
    },
}

#[derive(Debug, Serialize)]
pub struct ReportAnswer<'a> {
    #[serde(rename = "jeton")]
    pub token: Token,
    #[serde(rename = "consignes")]
    pub commands: &'a [Command],
}

#[derive(Debug, Serialize)]
pub struct DirectCommands<'a> {
    #[serde(rename = "jeton")]
    pub token: Token,
    #[serde(rename = "quart")]
    pub session: Session,
    #[serde(rename = "consignes")]
    pub commands: &'a [Command],
}

#[derive(Debug, Serialize)]
pub struct ReportTo<'a> {
    #[serde(rename = "rendreA", skip_serializing_if = "Option::is_none")]
    pub node: Option<&'a str>,
}

// ---- cloud ----

#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct MachineType {
    #[serde(rename = "sku")]
    pub name: Rc<str>,
    pub cpus: f64,
    pub gpus: f64,
    #[serde(rename = "memoryGb")]
    pub memory_gb: f64,
    #[serde(rename = "cacheGb", default)]
    pub cache_gb: f64,
    #[serde(rename = "pullGbPerS", default)]
    pub fetch_gb_per_s: f64,
    #[serde(rename = "hourly")]
    pub price: f64,
    #[serde(rename = "marketPrice", default)]
    pub spot_price: f64,
    #[serde(rename = "startupS")]
    pub boot_s: f64,
    #[serde(rename = "secteurs")]
    pub zones: Vec<Rc<str>>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Catalog {
    #[serde(rename = "gammes")]
    pub types: Vec<MachineType>,
}

impl Catalog {
    pub fn checked(self) -> Option<Catalog> {
        let fine = |t: &MachineType| {
            [
                t.cpus,
                t.gpus,
                t.memory_gb,
                t.cache_gb,
                t.price,
                t.spot_price,
                t.boot_s,
            ]
            .iter()
            .all(|x| x.is_finite() && *x >= 0.0)
                && t.fetch_gb_per_s.is_finite()
        };
        (!self.types.is_empty() && self.types.iter().all(fine)).then_some(self)
    }
    pub fn find(&self, name: &str) -> Option<&MachineType> {
        self.types.iter().find(|t| &*t.name == name)
    }
}

#[derive(Debug, Serialize)]
pub struct Rent<'a> {
    #[serde(rename = "bon")]
    pub request: &'a str,
    #[serde(rename = "gamme")]
    pub machine_type: &'a str,
    #[serde(rename = "secteur")]
    pub zone: &'a str,
    #[serde(rename = "occasion")]
    pub spot: bool,
    #[serde(rename = "howMany")]
    pub count: u32,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct MachineNames {
    #[serde(rename = "bancs")]
    pub machines: Vec<String>,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    #[serde(rename = "starting")]
    Booting,
    Running,
    Failed,
    #[serde(other)]
    Other,
}

#[derive(Clone, Debug, Deserialize)]
pub struct ListedMachine {
    pub id: String,
    #[serde(default)]
    pub address: String,
    #[serde(rename = "gamme")]
    pub machine_type: String,
    #[serde(rename = "secteur")]
    pub zone: String,
    #[serde(rename = "occasion")]
    pub spot: bool,
    #[serde(rename = "etat")]
    pub state: ListedState,
    #[serde(rename = "heldS", default)]
    pub age_s: f64,
}

#[derive(Debug, Deserialize)]
pub struct MachineList {
    #[serde(rename = "bancs")]
    pub machines: Vec<ListedMachine>,
    #[serde(rename = "truncated", default)]
    pub more: bool,
}

// ---- state service ----

pub type Value = serde_json::Value;

#[derive(Clone, Debug, Deserialize)]
pub struct Item {
    #[serde(rename = "k")]
    pub key: String,
    #[serde(rename = "v")]
    pub value: Value,
    #[serde(rename = "retouche")]
    pub version: u64,
}

#[derive(Debug, Deserialize)]
pub struct Items {
    #[serde(rename = "rows")]
    pub items: Vec<Item>,
    #[serde(rename = "truncated", default)]
    pub more: bool,
    #[serde(rename = "tirage")]
    pub revision: u64,
}

#[derive(Debug, Deserialize)]
pub struct RevisionOnly {
    #[serde(rename = "tirage")]
    pub revision: u64,
    #[serde(default)]
    pub failed: Vec<String>,
}

#[derive(Clone, Debug, Serialize)]
pub struct Guard {
    #[serde(rename = "k")]
    pub key: String,
    #[serde(rename = "retouche")]
    pub version: u64,
}

#[derive(Clone, Debug, Serialize)]
#[serde(untagged)]
pub enum Write {
    Put {
        #[serde(rename = "set")]
        key: String,
        #[serde(rename = "v")]
        value: Value,
        #[serde(rename = "bail", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    Delete {
        #[serde(rename = "drop")]
        key: String,
    },
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Txn {
    #[serde(rename = "guards")]
    pub guards: Vec<Guard>,
    #[serde(rename = "writes")]
    pub writes: Vec<Write>,
}

impl Txn {
    pub fn guard(mut self, key: impl Into<String>, version: u64) -> Self {
        self.guards.push(Guard {
            key: key.into(),
            version,
        });
        self
    }
    pub fn put(mut self, key: impl Into<String>, value: Value) -> Self {
        self.writes.push(Write::Put {
            key: key.into(),
            value,
            lease: None,
        });
        self
    }
    pub fn put_leased(mut self, key: impl Into<String>, value: Value, lease: u64) -> Self {
        self.writes.push(Write::Put {
            key: key.into(),
            value,
            lease: Some(lease),
        });
        self
    }
    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.writes.push(Write::Delete { key: key.into() });
        self
    }
}

#[derive(Debug, Deserialize)]
pub struct LeaseGranted {
    #[serde(rename = "bail")]
    pub lease: u64,
}

#[derive(Debug, Deserialize)]
pub struct WatchEvent {
    #[serde(rename = "set", default)]
    pub put: Option<String>,
    #[serde(rename = "drop", default)]
    pub delete: Option<String>,
    #[serde(rename = "v", default)]
    pub value: Value,
    #[serde(rename = "retouche")]
    pub version: u64,
}

#[derive(Debug, Deserialize)]
pub struct WatchAnswer {
    #[serde(rename = "tirage")]
    pub revision: u64,
    pub events: Vec<WatchEvent>,
}
